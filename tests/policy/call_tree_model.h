#pragma once

#include "policy/call_tree_node.h"
#include "policy/entry_admission.h"
#include "policy/retry_schedule.h"
#include "policy/slot_gate.h"
#include "tests/policy/target_model.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// One call that a request makes: `count` calls one after the other, or in parallel.
struct tree_call {
    std::string service;
    int count = 1;
    bool isParallel = false;
};

/// A kind of requests at a service, by route.
struct tree_route {
    std::string service;
    double workMs = 0; ///< Own work before the calls.
    milliseconds aim;
    milliseconds deadline;
    int priority = 0;
    std::vector<tree_call> calls;
};

/// Simulates a chain of services A, B, C, D with uneven instances of D, a second entry service E, and
/// requests of D's own, in virtual time.
class call_tree_model {
public:
    /// What became of the requests of an entry route.
    struct counts {
        int offered = 0;
        int served = 0; ///< Within the aim of the route.
        int answered = 0; ///< Within the deadline.
        int refusals = 0;
        double bottleneckMs = 0; ///< Time of slots of D.
        double wastedMs = 0; ///< The part of it for requests that failed.
        double getServedShare() const { return static_cast<double>(served) / offered; }
    };

    /// @param hasTreeAdmission whether entries admit by the load further down.
    call_tree_model(unsigned seed, bool hasTreeAdmission);
    ~call_tree_model();

    /// Runs with a multiple of the usual rate of A.
    /// @return the counts of the requests that arrive, by entry service, updated until they end.
    std::shared_ptr<std::map<std::string, counts>> run(double seconds, double factor);

private:
    struct node;
    struct client_request;
    struct call;

    using end_hook = std::function<void(bool isSuccess, bool isCapacityFailure)>;

    void arrive(const std::string& service, double perSecond);
    void send(const std::shared_ptr<client_request>& request);
    void onRefused(
        const std::shared_ptr<client_request>& request, node& entry, bool isShed, milliseconds wait);
    void submit(const std::shared_ptr<call>& made, int attemptsLeft);
    void begin(const std::shared_ptr<call>& running);
    void makeCalls(const std::shared_ptr<call>& running, std::size_t index, int done);
    void startCall(const std::shared_ptr<call>& parent, const std::string& service, end_hook onEnd);
    void learnFromReply(const call& ended);
    void finish(const std::shared_ptr<call>& ended, bool isSuccess, bool isCapacityFailure);
    node& choose(const std::string& service, const node* avoided);
    bool isAdmitted(node& entry, const client_request& request);
    void tick();

    event_loop m_loop;
    seeded_random m_random;
    bool m_hasTreeAdmission;
    std::map<std::string, std::vector<std::unique_ptr<node>>> m_services;
    std::map<std::string, double> m_rates; ///< Factor of the usual rate, by entry service.
    std::shared_ptr<std::map<std::string, counts>> m_counts;
    std::uint64_t m_lastId = 0;
};

} // namespace fuchsiagauge
