#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace fuchsiagauge {

/// Size limit of the platform's JSON document with the VM list, in bytes.
constexpr std::size_t maxVmListBytes = 1048576;

/// One VM of the platform's list.
struct listed_vm {
    std::string instance;
    std::string service;
    std::string region;
    std::string zone;
    std::string meshAddress;
    std::string peerAddress;
    bool isLeaving = false;

    friend bool operator==(const listed_vm& a, const listed_vm& b)
    {
        const auto tie = [](const listed_vm& v) {
            return std::tie(
                v.instance, v.service, v.region, v.zone, v.meshAddress, v.peerAddress, v.isLeaving);
        };
        return tie(a) == tie(b);
    }
    friend bool operator!=(const listed_vm& a, const listed_vm& b) { return !(a == b); }
};

/// The platform's list of VMs, by instance name.
struct vm_list {
    std::map<std::string, listed_vm> vms;

    friend bool operator==(const vm_list& a, const vm_list& b) { return a.vms == b.vms; }
    friend bool operator!=(const vm_list& a, const vm_list& b) { return !(a == b); }
};

/// Parses the platform's list of VMs.
/// @param text the JSON document.
/// @return the list, or nothing with error_kind::BadDocument.
std::optional<vm_list> parseVmList(const std::string& text);

} // namespace fuchsiagauge
