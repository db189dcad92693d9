#include "tests/mesh/test_mesh.h"

#include "platform/platform_protocol.h"

#include <chrono>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr std::chrono::seconds runTimeout { 20 };
constexpr std::uint16_t targetPort = 18101;
constexpr std::uint16_t callersPort = 18102;
constexpr std::uint16_t peersPort = 18103;
constexpr std::uint16_t readyPort = 18104;
constexpr int okStatus = 200;

fuchsiagauge::clock getClock() { return fuchsiagauge::clock::makeBoot(); }

/// @return a loopback address that is unique per VM and test process.
std::string makeHost(std::size_t index)
{
    constexpr int valuesPerOctet = 250;
    return "127." + std::to_string(getpid() / valuesPerOctet % valuesPerOctet + 1) + '.'
        + std::to_string(getpid() % valuesPerOctet + 1) + '.' + std::to_string(index + 1);
}

mesh_settings makeSettings(const test_mesh::vm& owner)
{
    mesh_settings config;
    config.node = "node-" + owner.id;
    config.service = owner.service;
    config.location = { owner.zone, { { "a", "west" }, { "b", "west" }, { "c", "east" } } };
    config.target = { owner.host, targetPort };
    config.callersListener = { owner.host, callersPort };
    config.peersListener = { owner.host, peersPort };
    config.readyListener = { owner.host, readyPort };
    config.platform = { owner.host, 1 };
    config.logLevel = "error";
    return config;
}

} // namespace

test_mesh::test_mesh() = default;

test_mesh::~test_mesh()
{
    m_clients.clear();
    m_vms.clear();
    m_io.poll();
}

test_mesh::vm& test_mesh::addVm(const std::string& id, const std::string& service, const std::string& zone)
{
    m_vms.push_back(std::make_unique<vm>());
    auto& added = *m_vms.back();
    added.id = id;
    added.host = makeHost(m_vms.size());
    added.service = service;
    added.zone = zone;
    added.handler = makeRespondingHandler(okStatus);
    added.instance = std::make_unique<http_server>(
        m_io, getClock(), 100, [&added](const std::shared_ptr<incoming_call>& call) {
            added.received.push_back(call->getRequest());
            added.handler(call);
        });
    CHECK(added.instance->open({ added.host, targetPort }).has_value());
    restartNode(added);
    return added;
}

void test_mesh::replaceInstance(vm& entry, raw_instance::request_hook onRequest)
{
    entry.instance.reset();
    m_io.poll(); // Runs what the sockets of the old instance have left, so that the address is free.
    entry.rawInstance
        = std::make_unique<raw_instance>(m_io, address { entry.host, targetPort }, std::move(onRequest));
}

void test_mesh::restartNode(vm& entry)
{
    entry.node.reset();
    m_io.poll(); // Runs what the sockets of the old node have left, so that the addresses are free.
    auto config = makeSettings(entry);
    config.usesCallTrees = usesCallTrees;
    config.revokeTime = m_revokeTime;
    entry.node = std::make_unique<mesh_node>(m_io, std::move(config), makePlatformProtocol());
    CHECK(entry.node->start());
}

instance_record test_mesh::makeRecord(const vm& entry)
{
    instance_record record;
    record.id = entry.id;
    record.service = entry.service;
    record.target = { entry.host, targetPort };
    record.zone = entry.zone;
    record.slots = entry.slots;
    record.isDraining = entry.isDraining;
    return record;
}

void test_mesh::publishInstances()
{
    std::vector<instance_record> listed;
    for (const auto& member : m_vms)
        listed.push_back(makeRecord(*member));
    for (const auto& member : m_vms)
        member->node->setInstances(listed);
}

void test_mesh::publishRules(const traffic_rules& rules)
{
    for (const auto& member : m_vms)
        member->node->applyRules(rules);
}

traffic_rules test_mesh::makeRules(const std::string& service, bool isIdempotent)
{
    traffic_rules rules;
    rules.version = 1;
    call_route route;
    route.name = "route";
    route.host = "shop";
    route.pathPrefix = "/";
    route.destinations = { { service, 1 } };
    route.isIdempotent = isIdempotent;
    route.maxInstances = 2;
    rules.routes.push_back(route);
    return rules;
}

std::size_t test_mesh::send(const vm& entry, const std::string& id, const std::string& path,
    const std::vector<header_field>& fields, const std::string& body)
{
    return sendTo({ entry.host, callersPort }, id, path, fields, body);
}

outgoing_result test_mesh::fetchAdmin(const vm& entry, const std::string& path)
{
    return await(sendTo({ entry.host, readyPort }, "admin", path, {}));
}

std::size_t test_mesh::sendTo(const address& listener, const std::string& id, const std::string& path,
    const std::vector<header_field>& fields, const std::string& body)
{
    m_clients.push_back(std::make_unique<client>());
    auto& added = *m_clients.back();
    added.pool = std::make_unique<pooled_http_client>(m_io, getClock(), listener, pool_limits {});
    outgoing_request outgoing;
    outgoing.request.method = body.empty() ? "GET" : "POST";
    outgoing.request.target = path;
    outgoing.request.body = body;
    outgoing.request.fields.add("Host", "shop");
    outgoing.request.fields.add("Request-Id", id);
    for (const auto& field : fields)
        outgoing.request.fields.add(field.name, field.value);
    outgoing.expiresAt = getClock().now() + milliseconds(15000);
    added.call = added.pool->send(
        std::move(outgoing), [&added](outgoing_result result) { added.result = std::move(result); });
    return m_clients.size() - 1;
}

void test_mesh::disconnectClient(std::size_t clientIndex)
{
    pooled_http_client::cancel(m_clients.at(clientIndex)->call);
}

const std::optional<outgoing_result>& test_mesh::getResult(std::size_t clientIndex) const
{
    return m_clients.at(clientIndex)->result;
}

boost::asio::ip::tcp::socket test_mesh::connectRawClient(const vm& entry)
{
    constexpr int receiveBufferBytes = 65536; // Small, so that an unread response stays at the node.
    boost::asio::ip::tcp::socket socket(m_io, boost::asio::ip::tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
    socket.connect({ boost::asio::ip::make_address(entry.host), callersPort });
    return socket;
}

void test_mesh::runUntil(const std::function<bool()>& isMet)
{
    const auto end = std::chrono::steady_clock::now() + runTimeout;
    while (!isMet() && std::chrono::steady_clock::now() < end)
        m_io.run_one_for(std::chrono::milliseconds(50));
    CHECK(isMet());
}

const outgoing_result& test_mesh::await(std::size_t clientIndex)
{
    runUntil([&] { return getResult(clientIndex).has_value(); });
    return *getResult(clientIndex);
}

std::function<void(const std::shared_ptr<incoming_call>&)> test_mesh::makeRespondingHandler(
    int status, const std::vector<header_field>& fields)
{
    return [status, fields](const std::shared_ptr<incoming_call>& call) {
        response_head head;
        head.status = status;
        head.fields.add("Request-Id", call->getRequest().fields.get("Request-Id"));
        for (const auto& field : fields)
            head.fields.add(field.name, field.value);
        call->respond(head, call->getRequest().target);
    };
}

std::function<void(const std::shared_ptr<incoming_call>&)> test_mesh::makeDroppingHandler()
{
    return [](const std::shared_ptr<incoming_call>& call) { call->drop(); };
}

std::function<void(const std::shared_ptr<incoming_call>&)> test_mesh::makeHoldingHandler(vm& owner)
{
    return [&owner](const std::shared_ptr<incoming_call>& call) { owner.held.push_back(call); };
}
