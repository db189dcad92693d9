#pragma once

#include "core/traffic_rules.h"
#include "mesh/mesh_node.h"
#include "tests/mesh/raw_instance.h"
#include "transport/http_server.h"
#include "transport/pooled_http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Test fixture that runs mesh nodes and simulated instances on loopback, all in one io_context.
///
/// As on the platform, each VM has its own address, and the ports are the same on all VMs.
class test_mesh {
public:
    /// One VM with a node and a simulated instance.
    struct vm {
        std::string id; ///< Id of the instance.
        std::string host;
        std::string service;
        std::string zone;
        int slots = 2; ///< As listed by publishInstances().
        bool isDraining = false; ///< As listed by publishInstances().
        std::unique_ptr<fuchsiagauge::http_server> instance;
        std::unique_ptr<raw_instance> rawInstance; ///< Replaces `instance` after replaceInstance().
        std::unique_ptr<fuchsiagauge::mesh_node> node;
        /// Handles requests at the instance; by default responds with status 200 and the request's path.
        std::function<void(const std::shared_ptr<fuchsiagauge::incoming_call>&)> handler;
        std::vector<fuchsiagauge::call_request> received;
        /// Requests kept by makeHoldingHandler().
        std::vector<std::shared_ptr<fuchsiagauge::incoming_call>> held;
    };

    bool usesCallTrees = false; ///< Setting of the nodes that are started from then on.

    test_mesh();
    ~test_mesh();

    /// Sets the time for revoking a key at the nodes that are started from now on.
    void setRevokeTime(fuchsiagauge::milliseconds revokeTime) { m_revokeTime = revokeTime; }

    /// Starts a VM. Its instance is not listed until publishInstances() is called.
    vm& addVm(const std::string& id, const std::string& service, const std::string& zone = "a");

    /// Replaces the simulated instance of a VM by one whose responses the test writes itself.
    void replaceInstance(vm& entry, raw_instance::request_hook onRequest);

    /// Replaces the node of a VM by one that knows nothing.
    void restartNode(vm& entry);

    /// @return the entry of a VM's instance.
    static fuchsiagauge::instance_record makeRecord(const vm& entry);

    /// Sends the list of all instances to every node.
    void publishInstances();

    /// Applies traffic rules at every node.
    void publishRules(const fuchsiagauge::traffic_rules& rules);

    /// @return rules with one route for host `shop` and path prefix `/` to a service.
    static fuchsiagauge::traffic_rules makeRules(const std::string& service, bool isIdempotent);

    /// Sends a request of a new client to the node of a VM; one with a body is a POST.
    /// @return the index of the client, for getResult(), await() and disconnectClient().
    std::size_t send(const vm& entry, const std::string& id, const std::string& path = "/x",
        const std::vector<fuchsiagauge::header_field>& fields = {}, const std::string& body = {});

    /// Asks a node on the listener for its readiness, which serves the paths of the metrics listener too.
    /// @return the response.
    fuchsiagauge::outgoing_result fetchAdmin(const vm& entry, const std::string& path);

    /// Cancels a client's request by closing its connection.
    void disconnectClient(std::size_t clientIndex);

    /// @return the result of a client's request, or nothing while it has not ended.
    const std::optional<fuchsiagauge::outgoing_result>& getResult(std::size_t clientIndex) const;

    /// Connects a client that sends raw bytes to the node of a VM.
    boost::asio::ip::tcp::socket connectRawClient(const vm& entry);

    /// Runs until a condition holds; fails the test if it does not hold within 20 s.
    void runUntil(const std::function<bool()>& isMet);

    /// Runs until a client's request has ended.
    /// @return its result.
    const fuchsiagauge::outgoing_result& await(std::size_t clientIndex);

    /// @return a handler that responds with a status and header fields.
    static std::function<void(const std::shared_ptr<fuchsiagauge::incoming_call>&)> makeRespondingHandler(
        int status, const std::vector<fuchsiagauge::header_field>& fields = {});

    /// @return a handler that closes the connection without a response.
    static std::function<void(const std::shared_ptr<fuchsiagauge::incoming_call>&)> makeDroppingHandler();

    /// @return a handler that keeps the request in `held` without responding.
    static std::function<void(const std::shared_ptr<fuchsiagauge::incoming_call>&)> makeHoldingHandler(
        vm& owner);

private:
    std::size_t sendTo(const fuchsiagauge::address& listener, const std::string& id, const std::string& path,
        const std::vector<fuchsiagauge::header_field>& fields, const std::string& body = {});

    struct client {
        std::unique_ptr<fuchsiagauge::pooled_http_client> pool;
        fuchsiagauge::pooled_http_client::handle call;
        std::optional<fuchsiagauge::outgoing_result> result;
    };

    boost::asio::io_context m_io;
    fuchsiagauge::milliseconds m_revokeTime;
    std::vector<std::unique_ptr<vm>> m_vms;
    std::vector<std::unique_ptr<client>> m_clients;
};
