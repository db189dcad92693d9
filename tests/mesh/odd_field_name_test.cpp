#include "tests/mesh/test_mesh.h"

#include <iterator>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

const std::string oddNames[] = { "Na me", "Name ", "Na\tme", "Name\t", std::string("Na\0me", 5), "Na\x01me",
    "Na\x1fme", "Na\x7fme", "Na\x80me", "Na\rme", "Na\nme", "Na\r\nme", "Na:\nme", "" };

} // namespace

// A head with a field whose name is no name is no response. Forwarded, the line could pass for the end of the
// head or for another field.
TEST_GROUP(odd_field_name)
{
    test_mesh mesh;
    test_mesh::vm* entry = nullptr;
    std::string name;
    bool isFirst = false; ///< The odd line is the first one behind the status line.
    int requestCount = 0;

    void setup() override
    {
        entry = &mesh.addVm("i-1", "front");
        for (const char* service : { "front", "orders" }) {
            auto& faulty = service == std::string("front") ? *entry : mesh.addVm("i-2", service);
            mesh.replaceInstance(
                faulty, [this](const auto& connection, const raw_instance::request& request) {
                    const std::string oddLine = name + ": x\r\n";
                    const std::string lines
                        = "Request-Id: " + request.id + "\r\nServer-Stamp: s\r\nServer-Load: 0,0,4\r\n";
                    connection->write(raw_instance::formatResponse(
                        "200 OK", {}, isFirst ? oddLine + lines : lines + oddLine, "body"));
                });
        }
        mesh.publishInstances();
    }
};

TEST(odd_field_name, answers502)
{
    const std::vector<std::string> lastNames(std::begin(oddNames), std::end(oddNames));
    // Behind another field, a blank begins a further line of that field.
    auto firstNames = lastNames;
    firstNames.insert(firstNames.end(), { " Name", "\tName" });
    for (const char* service : { "front", "orders" }) {
        mesh.publishRules(test_mesh::makeRules(service, false));
        for (const bool isFirstLine : { true, false }) {
            for (const auto& oddName : isFirstLine ? firstNames : lastNames) {
                isFirst = isFirstLine;
                name = oddName;
                const auto& result = mesh.await(mesh.send(*entry, "id-" + std::to_string(++requestCount),
                    "/x", { { "Request-Deadline", "3000" } }));
                CHECK(result.isAnswered);
                LONGS_EQUAL_TEXT(502, result.head.status, oddName.c_str());
                CHECK(result.head.fields.find("Server-Stamp") == nullptr);
                CHECK(result.body != "body");
            }
        }
    }
}
