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

/// How the nodes of the model keep an order from running twice.
enum class deduplication_mode {
    Tickets, ///< The product's ledger and outcome policy.
    CallerKeys, ///< Naive: each node remembers the callers' keys that it has seen itself.
    TicketsWithAssumedNotRun, ///< Tickets, but an edge node says not-run for what it did not send itself.
};

/// What can happen in a history.
enum class model_event {
    Submit, ///< Caller of order `subject` presents it; divisible by 3: its node does not send it on yet.
    Deliver, ///< Message `subject` arrives, and stays on its way to arrive again.
    Lose, ///< Message `subject` is lost.
    ReceiveAnswer, ///< Answer `subject` arrives at its edge node, which tells the caller.
    EndAttempt, ///< The edge node of request `subject` ends it; odd: as a timeout or refused connection.
    Send, ///< The edge node of request `subject` sends it; even: asks to void its ticket.
    FinishRun, ///< The target ends running order `subject`; odd: its answer is lost.
    ReplaceProcess, ///< Instance `subject` gets a new node life; even: with the same start number.
    ToggleFrozen, ///< Life `subject` stops or goes on.
    Wait, ///< Time passes.
};

constexpr unsigned modelEventCount = 10;

/// How a target takes an order that is handed to it, by the `choice` of Deliver.
enum class target_behaviour {
    Answered,
    Shed,
    Refused,
    AnswerLost,
    Timeout,
    Running,
};

/// One event of a history; `choice` picks among what is possible then.
struct model_step {
    model_event event = model_event::Wait;
    unsigned subject = 0;
    unsigned choice = 0;
};

/// Callers, edge nodes and node lives with messages that are delayed, doubled, lost and reordered.
class order_run_model {
public:
    explicit order_run_model(deduplication_mode mode);

    /// Applies one event.
    void apply(const model_step& step);

    /// Wakes every node and delivers all that is still on its way.
    void settle();

    /// @return orders that ran more than once.
    int getOrdersRunTwice() const;

    /// @return requests whose caller was told `not-run` and that ran, before or after.
    int getRunsAfterNotRun() const;

    /// @return what the caller of an order was told last, if anything.
    std::optional<run_outcome> getReportedOutcome(std::size_t order) const
    {
        return m_orders.at(order).reportedOutcome;
    }

    /// @return how often an order ran.
    int getRunCount(std::size_t order) const { return m_orders.at(order).runs; }

    /// @return orders that were answered.
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
        bool isOpen = true; ///< Whether the caller still waits for it.
        bool wasReportedNotRun = false; ///< Its edge node is done with it.
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

    struct answer_message {
        std::size_t request;
        attempt_report report;
    };

    void submit(std::size_t order, unsigned choice);
    void send(std::size_t request, unsigned choice, bool isVoid);
    void deliver(const message& sent, unsigned choice);
    void deliverByKey(const message& sent, unsigned choice);
    void deliverToTarget(const message& sent, unsigned choice);
    void finishRun(unsigned subject, bool hasAnswer);
    void recordAttemptEnd(const message& sent, attempt_end end, error_kind kind);
    void countRun(std::size_t request);
    void sendAnswer(std::size_t request, const attempt_report& report);
    void receiveAnswer(const answer_message& received);
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
    std::vector<std::vector<std::size_t>> m_instances; ///< Lives of each instance, oldest first.
    std::vector<order_state> m_orders;
    std::vector<edge_request> m_requests;
    std::vector<message> m_messages;
    std::vector<answer_message> m_answers;
    std::vector<running_order> m_running;
    std::map<std::string, int> m_runsByKey;
    std::set<std::string> m_keysReportedNotRun;
};

} // namespace fuchsiagauge
