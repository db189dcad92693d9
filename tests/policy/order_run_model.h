#pragma once

#include "policy/run_outcome_policy.h"
#include "policy/ticket_registry.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// How the nodes of the model prevent an order from running twice.
enum class deduplication_mode {
    Tickets, ///< The ticket registry and outcome policy under test.
    CallerKeys, ///< Naive: each node remembers only the caller keys that it has received itself.
    TicketsWithAssumedNotRun, ///< Tickets, but an edge node assumes not-run for unsent requests.
};

/// Events of a history; `subject` and `choice` are the fields of model_step.
enum class model_event {
    Submit, ///< The caller submits order `subject`; `choice` divisible by 3: it is not sent yet.
    Deliver, ///< Message `subject` arrives and stays in flight, so that it can arrive again.
    Lose, ///< Message `subject` is lost.
    ReceiveResponse, ///< Response `subject` arrives at its edge node, which reports to the caller.
    EndAttempt, ///< The edge node of request `subject` ends it; odd `choice`: timeout or failed connection.
    Send, ///< The edge node of request `subject` sends it; even `choice`: asks to void its ticket instead.
    FinishRun, ///< The target finishes running order `subject`; odd `choice`: its response is lost.
    ReplaceProcess, ///< Instance `subject` gets a new process; even `choice`: with the same start number.
    ToggleFrozen, ///< Process `subject` freezes or resumes.
    Wait, ///< `choice` modulo 200 milliseconds pass.
};

constexpr unsigned modelEventCount = 10;

/// How a target responds to an order, selected by the `choice` of Deliver.
enum class target_behaviour {
    Answered,
    Shed,
    Refused,
    AnswerLost,
    Timeout,
    Running,
};

/// One event of a history; `subject` selects what it applies to and `choice` its variant.
struct model_step {
    model_event event = model_event::Wait;
    unsigned subject = 0;
    unsigned choice = 0;
};

/// Simulates callers, edge nodes and node processes whose messages are delayed, duplicated, lost and
/// reordered.
class order_run_model {
public:
    explicit order_run_model(deduplication_mode mode);

    /// Applies one event.
    void apply(const model_step& step);

    /// Resumes every process, delivers all messages in flight and finishes all running orders.
    void runToCompletion();

    /// @return the number of orders that ran more than once.
    int getOrdersRunTwice() const;

    /// @return the number of requests that were reported as `not-run` and ran, before or after the report.
    int getRunsAfterNotRun() const;

    /// @return the outcome last reported to the caller of an order, if any.
    std::optional<run_outcome> getReportedOutcome(std::size_t order) const
    {
        return m_orders.at(order).reportedOutcome;
    }

    /// @return the number of times an order ran.
    int getRunCount(std::size_t order) const { return m_orders.at(order).runs; }

    /// @return the number of orders that were answered.
    int getAnsweredCount() const;

private:
    struct node_process {
        ticket_registry registry;
        std::set<std::size_t> seenKeys;
        bool isFrozen = false;
    };

    struct order_state {
        std::optional<order_ticket> ticket;
        std::string requestKey;
        bool isAnswered = false;
        std::optional<run_outcome> reportedOutcome;
        int runs = 0;
    };

    struct edge_request {
        std::size_t order;
        std::optional<order_ticket> ticket;
        std::string requestKey;
        request_facts facts;
        bool isOpen = true; ///< Whether the caller is still waiting for it.
        bool wasReportedNotRun = false; ///< Once set, the edge node sends nothing more for it.
    };

    struct message {
        std::size_t request;
        std::size_t process;
        bool isVoid;
    };

    struct running_order {
        message origin;
        order_ticket ticket;
    };

    struct response_message {
        std::size_t request;
        attempt_report report;
    };

    void submit(std::size_t order, unsigned choice);
    void send(std::size_t request, unsigned choice, bool isVoid);
    void deliver(const message& sent, unsigned choice);
    void deliverByKey(const message& sent, unsigned choice);
    void deliverToTarget(const message& sent, unsigned choice);
    void finishRun(unsigned subject, bool hasResponse);
    void recordAttemptEnd(const message& sent, attempt_end end, error_kind kind);
    void countRun(std::size_t request);
    void sendResponse(std::size_t request, const attempt_report& report);
    void receiveResponse(const response_message& received);
    void endAttempt(std::size_t request, unsigned choice);
    void reportToCaller(std::size_t request, run_outcome outcome);
    void replaceProcess(std::size_t instance, bool isSameStartNumber);
    node_process makeProcess(std::size_t instance);

    deduplication_mode m_mode;
    milliseconds m_now { 1000 };
    std::uint64_t m_startNumber = 1;
    double m_lastRandom = 0;
    int m_nextKey = 0;
    std::vector<node_process> m_processes;
    std::vector<std::vector<std::size_t>> m_instances; ///< Processes of each instance, oldest first.
    std::vector<order_state> m_orders;
    std::vector<edge_request> m_requests;
    std::vector<message> m_messages;
    std::vector<response_message> m_responses;
    std::vector<running_order> m_running;
    std::map<std::string, int> m_runsByKey;
    std::set<std::string> m_keysReportedNotRun;
};

} // namespace fuchsiagauge
