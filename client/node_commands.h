#pragma once

#include "client/client_environment.h"

#include <string>

namespace fuchsiagauge {

/// Shows which preset is in force where, who is behind and why.
/// @return the exit code.
int runStatus(const client_environment& environment, const client_options& options);

/// Shows the state and the rates of requests again and again.
/// @return the exit code of the last refresh.
int runTop(
    const client_environment& environment, const client_options& options, const refresh_options& refresh);

/// Shows why nodes treat a class, a service or an instance as they do.
/// @param name a class, a service or an instance.
/// @return the exit code: ExitProblemFound when no node knows the name.
int runWhy(const client_environment& environment, const client_options& options, const std::string& name);

/// Shows the nodes' audit trails, merged by time.
/// @param shouldFollow whether to go on with new entries.
/// @param refresh how often to look for new entries.
/// @return the exit code.
int runAudit(const client_environment& environment, const client_options& options, bool shouldFollow,
    const refresh_options& refresh);

/// Asks what became of an order.
/// @param ticket the order's ticket.
/// @return the exit code: ExitSuccess when the order is known to be unused, running or answered.
int runTicket(
    const client_environment& environment, const client_options& options, const std::string& ticket);

} // namespace fuchsiagauge
