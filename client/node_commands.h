#pragma once

#include "client/client_environment.h"

#include <string>

namespace fuchsiagauge {

/// Prints which preset is in force on each node, which nodes have an older revision, and why.
/// @return the exit code: ExitUnreachable when a node has no status, ExitProblemFound for other problems.
int runStatus(const client_environment& environment, const client_options& options);

/// Prints the state of the nodes and their request rates, refreshed periodically.
/// @return the exit code of the last refresh.
int runTop(
    const client_environment& environment, const client_options& options, const refresh_options& refresh);

/// Prints why the nodes treat a class, a service or an instance as they do.
/// @param name name of a class, a service or an instance.
/// @return the exit code: ExitProblemFound when no node knows the name.
int runWhy(const client_environment& environment, const client_options& options, const std::string& name);

/// Prints the nodes' audit trails, merged by time.
/// @param shouldFollow whether to keep printing new entries.
/// @param refresh how often to fetch new entries.
/// @return the exit code.
int runAudit(const client_environment& environment, const client_options& options, bool shouldFollow,
    const refresh_options& refresh);

/// Prints the outcome of an order. Queries the nodes in turn until one returns the state of its
/// ticket.
/// @param ticket the order's ticket.
/// @return the exit code: ExitSuccess when the order is known to be unused, running or answered.
int runTicket(
    const client_environment& environment, const client_options& options, const std::string& ticket);

} // namespace fuchsiagauge
