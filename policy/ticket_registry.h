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

/// An HTTP header of a stored response.
struct order_response_header {
    std::string name;
    std::string value;

    friend bool operator==(const order_response_header& a, const order_response_header& b);
    friend bool operator!=(const order_response_header& a, const order_response_header& b)
    {
        return !(a == b);
    }
};

/// A target's response to an order, stored so that repeated submissions get the same response.
struct order_response {
    int status = 0; ///< HTTP status.
    std::vector<order_response_header> headers;
    std::string body;

    /// @return the memory charged for the response, in bytes, with a fixed overhead.
    std::size_t getMemoryBytes() const;

    friend bool operator==(const order_response& a, const order_response& b);
    friend bool operator!=(const order_response& a, const order_response& b) { return !(a == b); }
};

/// Result of looking up a ticket in the registry.
enum class ticket_verdict {
    Run, ///< The order must be sent to the target now. Returned once for each ticket.
    InProgress, ///< The order is queued or was sent to the target, and no response has arrived.
    AnswerKept, ///< The order was answered and the response is stored.
    AnswerDropped, ///< The order was answered, but the response is no longer stored.
    TicketExpired, ///< The order never ran and never will.
    TicketMismatch, ///< The ticket belongs to another request.
    TicketOutcomeUnknown, ///< The order may have run and will not run again.
    TicketOwnerGone, ///< Issued by another node process, so this one has no record of it.
};

/// @return the error kind to return to the caller, or nothing for Run and AnswerKept.
std::optional<error_kind> getErrorKind(ticket_verdict verdict);

/// Result of looking up a ticket, with the stored response if there is one.
struct ticket_result {
    ticket_verdict verdict = ticket_verdict::TicketOwnerGone;
    std::shared_ptr<const order_response> response; ///< Set for AnswerKept only.
};

/// State of a ticket as reported to a caller that queries it.
enum class ticket_state {
    Unused,
    Running,
    Answered,
    Unknown,
    Expired, ///< The order never ran and never will.
};

/// @return the name of a state in the API, which must not change: `unused`, `running`, `answered`, `unknown`
/// or `expired`.
const char* getTicketStateName(ticket_state state);

/// Limits on the registry's memory.
struct ticket_registry_limits {
    milliseconds ticketLifetime { 600000 }; ///< Time after which an unused ticket expires.
    milliseconds responseLifetime { 600000 }; ///< Time for which a response is stored.
    std::size_t maxTickets = 262144; ///< Largest number of tickets held; the oldest is evicted first.
    std::size_t maxResponseBytes = 33554432; ///< Memory for stored responses.
    std::size_t maxWaiters = 16; ///< Repeated submissions that may wait for one running order.
};

/// Registry of the order tickets issued by one node process, which ensures that an order runs at most once.
///
/// Only the process that issued a ticket may run its order. A ticket starts as unused. submit() returns Run
/// for it once; after that it is running until finish(), refuse() or markUnknown(). A ticket never becomes
/// unused again, so a delayed duplicate never runs, whatever was reported about the ticket in the meantime.
/// The order of an evicted ticket is reported as unknown, never as not run.
class ticket_registry {
public:
    using random_hook = std::function<double()>;
    using result_hook = std::function<void(const ticket_result&)>;

    /// Creates the registry of one node process.
    /// @param instance the node's instance id.
    /// @param startNumber the node's start number.
    /// @param random returns a number in [0, 1); used to draw the nonce of the process.
    /// @param limits limits on memory.
    ticket_registry(std::string instance, std::uint64_t startNumber, const random_hook& random,
        ticket_registry_limits limits = {});

    /// Issues a new, unused ticket.
    /// @param now current time on the node's clock.
    /// @param service service that runs the order.
    /// @param className class of the order.
    /// @return the ticket, or nothing with error_kind::Shed while the registry is full and its oldest ticket
    /// is running or not expired.
    std::optional<order_ticket> mint(
        milliseconds now, const std::string& service, const std::string& className);

    /// Submits an order.
    /// @param now current time on the node's clock.
    /// @param ticket the order's ticket, from parseOrderTicket().
    /// @param requestDigest from computeRequestDigest().
    /// @return Run for the first valid submission; otherwise the state of the ticket.
    ticket_result submit(milliseconds now, const order_ticket& ticket, std::uint64_t requestDigest);

    /// Voids an unused ticket, so that its order can never run.
    /// @return TicketExpired if the order never ran and never will; otherwise the state of the ticket.
    ticket_result voidTicket(milliseconds now, const order_ticket& ticket);

    /// Records the target's response to a running order and notifies its waiters.
    ///
    /// A response that arrives after markUnknown() is still recorded.
    void finish(milliseconds now, const order_ticket& ticket, order_response response);

    /// Records that a running order was refused before any byte was sent to the target.
    ///
    /// The ticket becomes void, because a caller that is told `not-run` may submit the order again with a new
    /// ticket.
    void refuse(milliseconds now, const order_ticket& ticket);

    /// Records that a running order was sent to the target and that no response arrived.
    void markUnknown(milliseconds now, const order_ticket& ticket);

    /// Registers a hook that is called once with the result of a running order.
    /// @return the id to pass to removeWaiter(), or nothing with error_kind::TicketInProgress when the order
    /// is not running or already has the maximum number of waiters.
    std::optional<std::uint64_t> addWaiter(const order_ticket& ticket, result_hook notify);

    /// Removes a waiter that no longer needs the result.
    void removeWaiter(const order_ticket& ticket, std::uint64_t waiterId);

    /// @return the state of the ticket.
    ticket_state query(milliseconds now, const order_ticket& ticket);

    /// @return the number of tickets held.
    std::size_t getTicketCount() const { return m_records.size(); }

    /// @return the memory used by stored responses, in bytes.
    std::size_t getResponseBytes() const { return m_responseBytes; }

    /// @return the number of running orders.
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

    struct stored_response {
        std::shared_ptr<const order_response> response;
        std::size_t bytes;
    };

    struct response_expiry {
        milliseconds expiresAt;
        std::uint64_t sequence;
    };

    bool isIssuedHere(const order_ticket& ticket) const;
    bool isExpired(milliseconds now, const ticket_record& record) const;
    ticket_record* findRecord(std::uint64_t sequence);
    ticket_result lookUp(milliseconds now, const order_ticket& ticket);
    void endRun(milliseconds now, const order_ticket& ticket, record_state state);
    void storeResponse(milliseconds now, std::uint64_t sequence, order_response response);
    void dropOldestResponse();
    void dropExpiredResponses(milliseconds now);
    bool ensureCapacity(milliseconds now);

    std::string m_instance;
    std::uint64_t m_startNumber;
    std::uint64_t m_processNonce;
    ticket_registry_limits m_limits;
    std::uint64_t m_firstSequence = 1; ///< Sequence number of the oldest ticket held.
    std::deque<ticket_record> m_records;
    std::map<std::uint64_t, running_order> m_running; ///< By sequence number.
    std::map<std::uint64_t, stored_response> m_responses; ///< By sequence number.
    std::deque<response_expiry> m_responseExpiries; ///< Oldest first.
    std::size_t m_responseBytes = 0;
    std::uint64_t m_nextWaiterId = 1;
};

} // namespace fuchsiagauge
