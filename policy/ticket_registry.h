#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/order_ticket.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// One header of a stored answer.
struct answer_header {
    std::string name;
    std::string value;

    friend bool operator==(const answer_header& a, const answer_header& b);
    friend bool operator!=(const answer_header& a, const answer_header& b) { return !(a == b); }
};

/// A target's answer to an order, kept for repeats.
struct order_answer {
    int status = 0; ///< HTTP status.
    std::vector<answer_header> headers;
    std::string body;

    /// @return the memory that the answer counts for, in bytes.
    std::size_t getMemoryBytes() const;

    friend bool operator==(const order_answer& a, const order_answer& b);
    friend bool operator!=(const order_answer& a, const order_answer& b) { return !(a == b); }
};

/// What the ledger says of a ticket.
enum class ticket_verdict {
    Run, ///< Hand the order to the target now. Given once for a ticket.
    InProgress, ///< Handed over or queued; no answer yet.
    AnswerKept, ///< The answer is known.
    AnswerDropped, ///< It ran and was answered; the answer is no longer kept.
    TicketExpired, ///< It never ran and never will.
    TicketMismatch, ///< The ticket belongs to another request.
    TicketOutcomeUnknown, ///< It may have run, and never will again.
    TicketOwnerGone, ///< Minted by another node life; this one knows nothing of it.
};

/// @return the error kind that answers a caller, or nothing for Run and AnswerKept.
std::optional<error_kind> getErrorKind(ticket_verdict verdict);

/// What the ledger says of a ticket, with the answer if it has one.
struct ticket_result {
    ticket_verdict verdict = ticket_verdict::TicketOwnerGone;
    std::shared_ptr<const order_answer> answer; ///< Set for AnswerKept only.
};

/// What became of a ticket, for a caller who asks.
enum class ticket_state {
    Unused,
    Running,
    Answered,
    Unknown,
    Expired, ///< It never ran and never will.
};

/// @return the stable word of a state: `unused`, `running`, `answered`, `unknown` or `expired`.
const char* getTicketStateName(ticket_state state);

/// Bounds on the ledger's memory.
struct ticket_registry_limits {
    milliseconds ticketLifetime { 600000 }; ///< An unused ticket expires this long after its minting.
    milliseconds answerLifetime { 600000 }; ///< An answer is kept this long.
    std::size_t maxTickets = 262144; ///< Tickets remembered, newest first.
    std::size_t maxAnswerBytes = 33554432; ///< Memory for kept answers.
    std::size_t maxWaiters = 16; ///< Repeats that may wait for one running order.
};

/// The memory of the one node life that may run the orders of the tickets it minted.
///
/// A ticket starts as unused. submit() gives Run for it once; after that it is running until finish(),
/// refuse() or markUnknown(). No path leads back to unused, so a delayed duplicate never runs, whatever
/// was said of the ticket meanwhile. What the ledger forgets is never reported as not run.
class ticket_registry {
public:
    using random_hook = std::function<double()>;
    using result_hook = std::function<void(const ticket_result&)>;

    /// Makes the ledger of one node life.
    /// @param instance the node's instance id.
    /// @param startNumber the node's start number.
    /// @param random returns a number in [0, 1); draws the life's nonce.
    /// @param limits bounds on memory.
    ticket_registry(std::string instance, std::uint64_t startNumber, const random_hook& random,
        ticket_registry_limits limits = {});

    /// Issues a new, unused ticket.
    /// @param now the present instant on the node's clock.
    /// @param service service that runs the order.
    /// @param className class of the order.
    /// @return the ticket, or nothing with error_kind::Shed while every remembered ticket is still valid.
    std::optional<order_ticket> mint(
        milliseconds now, const std::string& service, const std::string& className);

    /// Presents an order.
    /// @param now the present instant.
    /// @param ticket the order's ticket, from parseOrderTicket().
    /// @param requestDigest from computeRequestDigest().
    /// @return Run for the first valid submission; otherwise what is known.
    ticket_result submit(milliseconds now, const order_ticket& ticket, std::uint64_t requestDigest);

    /// Makes an unused ticket void, so that its order is certain not to run.
    /// @return TicketExpired if the order never ran and never will; otherwise what is known.
    ticket_result voidTicket(milliseconds now, const order_ticket& ticket);

    /// Records the target's answer to a running order and tells the waiters.
    ///
    /// An answer that comes after markUnknown() still counts.
    void finish(milliseconds now, const order_ticket& ticket, order_answer answer);

    /// Records that a running order was refused before any byte was handed to the target.
    ///
    /// The ticket becomes void, because whoever is told `not-run` may order again with a new ticket.
    void refuse(milliseconds now, const order_ticket& ticket);

    /// Records that a running order was handed over and that no answer came.
    void markUnknown(milliseconds now, const order_ticket& ticket);

    /// Registers a hook that is called once with the result of a running order.
    /// @return a number for removeWaiter(), or nothing with error_kind::TicketInProgress when the order
    /// is not running or has its full number of waiters.
    std::optional<std::uint64_t> addWaiter(const order_ticket& ticket, result_hook notify);

    /// Forgets a waiter that gave up.
    void removeWaiter(const order_ticket& ticket, std::uint64_t waiterId);

    /// @return what became of the ticket.
    ticket_state query(milliseconds now, const order_ticket& ticket);

    /// @return the tickets remembered now.
    std::size_t getTicketCount() const { return m_records.size(); }

    /// @return the memory of the kept answers, in bytes.
    std::size_t getAnswerBytes() const { return m_answerBytes; }

    /// @return the orders running now.
    std::size_t getRunningCount() const { return m_running.size(); }

private:
    enum class record_state : std::uint8_t { Unused, Running, Answered, Unknown, Void };

    struct ticket_record {
        std::uint64_t requestDigest = 0;
        milliseconds mintTime;
        record_state state = record_state::Unused;
    };

    struct registered_waiter {
        std::uint64_t id;
        result_hook notify;
    };

    struct running_order {
        std::vector<registered_waiter> waiters;
    };

    struct kept_answer {
        std::shared_ptr<const order_answer> answer;
        std::size_t bytes;
    };

    struct answer_expiry {
        milliseconds expiresAt;
        std::uint64_t sequence;
    };

    bool isIssuedHere(const order_ticket& ticket) const;
    bool isExpired(milliseconds now, const ticket_record& record) const;
    ticket_record* findRecord(std::uint64_t sequence);
    ticket_result lookUp(milliseconds now, const order_ticket& ticket);
    void endRun(milliseconds now, const order_ticket& ticket, record_state state);
    void keepAnswer(milliseconds now, std::uint64_t sequence, order_answer answer);
    void dropOldestAnswer();
    void dropExpiredAnswers(milliseconds now);
    bool ensureCapacity(milliseconds now);

    std::string m_instance;
    std::uint64_t m_startNumber;
    std::uint64_t m_processNonce;
    ticket_registry_limits m_limits;
    std::uint64_t m_firstSequence = 1; ///< Sequence of the oldest remembered ticket.
    std::deque<ticket_record> m_records;
    std::map<std::uint64_t, running_order> m_running; ///< By sequence.
    std::map<std::uint64_t, kept_answer> m_answers; ///< By sequence.
    std::deque<answer_expiry> m_answerExpiries; ///< Oldest first.
    std::size_t m_answerBytes = 0;
    std::uint64_t m_nextWaiterId = 1;
};

} // namespace fuchsiagauge
