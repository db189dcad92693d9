#pragma once

#include "core/traffic_rules.h"
#include "mesh/mesh_node.h"
#include "transport/http_server.h"
#include "transport/outgoing_pool.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Nodes of a mesh beside scripted instances on loopback, all in one io_context.
///
/// Every VM has an address of its own, as on the platform; ports are the same on all of them.
class test_mesh {
public:
    /// One VM: the node and the scripted instance beside it.
    struct vm {
        std::string id; ///< Of the instance.
        std::string host;
        std::string service;
        std::string zone;
        std::unique_ptr<fuchsiagauge::http_server> instance;
        std::unique_ptr<fuchsiagauge::mesh_node> node;
        /// Serves a request at the instance; unless it is set, requests are answered with 200 and their path.
        std::function<void(const std::shared_ptr<fuchsiagauge::incoming_call>&)> handler;
        std::vector<fuchsiagauge::call_request> received;
        std::vector<std::shared_ptr<fuchsiagauge::incoming_call>> held; ///< Kept by the script hold().
    };

    test_mesh();
    ~test_mesh();

    /// Starts a VM; its instance is not listed yet.
    vm& addVm(const std::string& id, const std::string& service, const std::string& zone = "a");

    /// Lists every instance at every node.
    void publishInstances();

    /// Puts rules in force at every node.
    void publishRules(const fuchsiagauge::traffic_rules& rules);

    /// @return rules with one route `/` of host `shop` to a service.
    static fuchsiagauge::traffic_rules makeRules(const std::string& service, bool isIdempotent);

    /// Sends a client's request to the node of a VM.
    /// @return a number for getResult().
    std::size_t send(const vm& entry, const std::string& id, const std::string& path = "/x",
        const std::vector<fuchsiagauge::call_field>& fields = {});

    /// Gives a client's request up.
    void disconnectClient(std::size_t clientIndex);

    /// @return how a client's request ended, if it has.
    const std::optional<fuchsiagauge::outgoing_result>& getResult(std::size_t clientIndex) const;

    /// Runs until a condition holds; fails the test when it doesn't in time.
    void runUntil(const std::function<bool()>& isMet);

    /// Runs until a client's request has ended.
    const fuchsiagauge::outgoing_result& await(std::size_t clientIndex);

    /// @return a script that answers with a status and header fields.
    static std::function<void(const std::shared_ptr<fuchsiagauge::incoming_call>&)> makeRespondingHandler(
        int status, const std::vector<fuchsiagauge::call_field>& fields = {});

    /// @return a script that closes the connection in place of an answer.
    static std::function<void(const std::shared_ptr<fuchsiagauge::incoming_call>&)> makeDroppingHandler();

    /// @return a script that keeps the request in `held`.
    static std::function<void(const std::shared_ptr<fuchsiagauge::incoming_call>&)> makeHoldingHandler(
        vm& owner);

private:
    struct client {
        std::unique_ptr<fuchsiagauge::outgoing_pool> pool;
        fuchsiagauge::outgoing_pool::handle call;
        std::optional<fuchsiagauge::outgoing_result> result;
    };

    boost::asio::io_context m_io;
    std::vector<std::unique_ptr<vm>> m_vms;
    std::vector<std::unique_ptr<client>> m_clients;
};
