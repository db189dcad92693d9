#pragma once

#include "core/traffic_rules.h"
#include "policy/fleet_size.h"
#include "policy/quota_coordinator.h"
#include "policy/quota_share.h"
#include "policy/quota_tolerance.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Keeps the limits of the organisations together with the other nodes.
///
/// Admits requests by the node's share, reports to the coordinator, and is the coordinator if the other nodes
/// choose this one. Does nothing while no organisation has a limit.
class quota_agent {
public:
    /// Receives the answer to a report, or nothing if there is none in time.
    using answer_hook = std::function<void(milliseconds now, const std::optional<quota_answer>& answer)>;

    struct hooks {
        std::function<void(
            const std::string& host, const quota_report& report, milliseconds timeout, answer_hook onAnswer)>
            sendReport;
        std::function<void(const std::string& host, const quota_answer& call, milliseconds timeout)> sendCall;
        /// Called when another node is chosen as the coordinator; may be empty.
        std::function<void(const std::string& host, const std::string& before, const char* reason)>
            onCoordinatorChanged;
    };

    struct decision {
        bool isAdmitted = false;
        milliseconds retryAfter; ///< If not admitted: when the share will admit the request.
    };
    using decision_hook = std::function<void(const decision& result)>;

    struct statistics {
        std::uint64_t admitted = 0; ///< Requests of organisations with a limit.
        std::uint64_t refused = 0;
        std::uint64_t returned = 0; ///< Credits of admitted requests that have not run.
        std::uint64_t reports = 0; ///< Sent to the coordinator.
    };

    /// @param now start of the process.
    /// @param self host of this node.
    /// @param process random number of this process.
    quota_agent(milliseconds now, std::string self, std::uint32_t process, hooks agentHooks);

    /// Sets by how much the limits may be exceeded. To be called before setRules().
    void setTolerance(const quota_tolerance& tolerance);

    /// Adopts the limits of the rules.
    void setRules(milliseconds now, const traffic_rules& rules);

    /// Sets the listed nodes.
    /// @param hosts hosts of all listed instances of existing services, this one included if it is listed.
    /// @param isRefreshed whether the listing is in contact with the store.
    void setNodes(milliseconds now, std::vector<std::string> hosts, bool isRefreshed);

    /// @return whether an organisation has a limit.
    bool isEnabled() const { return !m_limits.empty(); }

    /// Decides about a request, at once or within 50 ms.
    /// @param onDecision called once.
    void admit(milliseconds now, const std::string& organisation, decision_hook onDecision);

    /// Returns the credit of an admitted request that has not run and never will.
    void giveBack(milliseconds now, const std::string& organisation);

    /// Handles a report of another node.
    quota_answer handleReport(milliseconds now, const std::string& sender, const quota_report& report);

    /// Handles a call for reports.
    void handleCall(milliseconds now, const std::string& sender, const quota_answer& call);

    /// Sends due reports and ends waits. Must be called every 20 ms or so.
    void tick(milliseconds now);

    /// @return the part of an organisation's limit that this node may use now, from 0 to 1.
    double getShare(milliseconds now, const std::string& organisation) const;

    const statistics& getStatistics() const { return m_statistics; }
    const std::string& getCoordinator() const { return m_chosen; }
    /// @return the share of an organisation's limit that this node may use now, 0 to 1; 0 if it has no limit.
    double getUsableShare(milliseconds now, const std::string& organisation) const;

    double getLentShare(milliseconds now) const { return m_share.getLentShare(now); }
    double getBorrowedShare(milliseconds now) const { return m_share.getBorrowedShare(now); }
    double getGrantedShare() const { return m_coordinator.getGrantedShare(); }
    double getNodeCount() const { return m_size.get(); }

private:
    struct waiter {
        milliseconds until;
        decision_hook onDecision;
    };
    /// Requests of one organisation that wait.
    struct queue {
        std::deque<waiter> waiters;
        milliseconds askedAt { -1000 };
        milliseconds blockedUntil { -1 }; ///< After an answer without grants.
        milliseconds grantableAt { -1 }; ///< As told by the coordinator.
    };
    struct exchange {
        std::string host;
        milliseconds sentAt;
        bool isUrgent = false;
        std::vector<std::uint32_t> organisations;
    };
    struct candidate {
        std::string host;
        milliseconds avoidedUntil { -1 };
        milliseconds calledAt { -1e6 };
    };

    std::optional<std::size_t> find(const std::string& organisation) const;
    void observe(milliseconds now);
    void updateOwnShare(milliseconds now);
    void rankCandidates();
    bool hasNeed(milliseconds now);
    void expire(milliseconds now);
    void chooseCoordinator(milliseconds now, const char* reason);
    void callNodes(milliseconds now);
    void sendRegularReport(milliseconds now);
    void sendUrgentReport(milliseconds now);
    void send(milliseconds now, const quota_report& report);
    void adoptStamp(const std::string& host, const quota_answer& answer);
    void onAnswer(milliseconds now, std::uint64_t number, const std::optional<quota_answer>& answer);
    void onFailure(milliseconds now, const std::string& host);
    void applyAnswer(
        milliseconds now, std::uint64_t number, const exchange& sent, const quota_answer& answer);
    void serveWaiting(milliseconds now, std::size_t organisation, std::uint32_t credits);
    void refuseWaiting(milliseconds now, std::size_t organisation);
    void block(milliseconds now, std::size_t organisation, milliseconds wait);
    void decide(const decision_hook& onDecision, bool isAdmitted, milliseconds retryAfter);
    milliseconds getRetryAfter(milliseconds now, std::size_t organisation);
    bool isAskDue(milliseconds now, const queue& line) const;

    std::string m_self;
    std::uint32_t m_process;
    hooks m_hooks;
    quota_share m_share;
    quota_coordinator m_coordinator;
    fleet_size m_size;
    quota_timing m_timing;
    quota_tolerance m_tolerance;
    std::vector<organisation> m_limits; ///< Sorted by name.
    std::uint32_t m_table = 0;
    std::vector<queue> m_queues;
    std::vector<candidate> m_candidates; ///< The best one first.
    std::string m_chosen;
    std::vector<std::uint32_t> m_active; ///< As told by the coordinator.
    quota_stamp m_stamp; ///< The latest of the coordinator.
    std::string m_stampHost;
    quota_stamp m_borrower; ///< Process that has the latest loans.
    milliseconds m_lentUntil { -1 };
    std::map<std::uint64_t, exchange> m_sent;
    std::uint64_t m_number = 0;
    int m_failures = 0; ///< Of the coordinator, in sequence.
    milliseconds m_startedAt;
    milliseconds m_ownUsableAt;
    milliseconds m_observedAt;
    milliseconds m_reportedAt { -1e6 };
    milliseconds m_urgentAt { -1e6 };
    milliseconds m_calledAt { -1e6 };
    milliseconds m_tickedAt;
    std::vector<std::string> m_hosts; ///< Sorted.
    std::size_t m_waitingCount = 0;
    statistics m_statistics;
    std::shared_ptr<bool> m_life = std::make_shared<bool>(true); ///< Answers may come after the end.
};

} // namespace fuchsiagauge
