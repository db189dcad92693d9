#pragma once

#include <string>

namespace fuchsiagauge {

/// Severity of a log message.
enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};

/// Starts logging to the standard output stream.
/// @param level minimum severity of the messages that are written.
/// @param origin prefix of each message, such as the name of the instance.
void startLog(log_level level, const std::string& origin);

/// @return the level with this name; Info if the name is unknown.
log_level findLogLevel(const std::string& name);

/// Writes one message. Only for changes of state: frequent events are counted in metrics instead.
void writeLog(log_level level, const std::string& text);

} // namespace fuchsiagauge
