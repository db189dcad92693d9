#include "policy/vm_list.h"

#include "core/error.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fuchsiagauge {
namespace {

    using json = nlohmann::json;

    listed_vm readVm(const json& value)
    {
        listed_vm vm;
        vm.instance = value.at("instance").get<std::string>();
        vm.service = value.at("service").get<std::string>();
        vm.region = value.at("region").get<std::string>();
        vm.zone = value.at("zone").get<std::string>();
        vm.meshAddress = value.at("mesh").get<std::string>();
        vm.peerAddress = value.at("peer").get<std::string>();
        vm.isLeaving = value.at("state").get<std::string>() == "leaving";
        return vm;
    }

} // namespace

std::optional<vm_list> parseVmList(const std::string& text)
{
    if (text.size() > maxVmListBytes)
        return fail(error_kind::BadDocument, "VM list larger than 1 MiB");
    try {
        vm_list list;
        const auto document = json::parse(text);
        for (const auto& item : document.at("vms")) {
            auto vm = readVm(item);
            if (vm.instance.empty())
                return fail(error_kind::BadDocument, "VM list entry without an instance name");
            list.vms[vm.instance] = std::move(vm);
        }
        return list;
    } catch (const json::exception& exception) {
        return fail(error_kind::BadDocument, std::string("invalid VM list: ") + exception.what());
    }
}

} // namespace fuchsiagauge
