#include "core/log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace fuchsiagauge {
namespace {

    std::string originName;
    log_level minLevel = log_level::Info;

} // namespace

void startLog(log_level level, const std::string& origin)
{
    originName = origin;
    minLevel = level;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
}

log_level findLogLevel(const std::string& name)
{
    if (name == "debug")
        return log_level::Debug;
    if (name == "warning")
        return log_level::Warning;
    if (name == "error")
        return log_level::Error;
    return log_level::Info;
}

void writeLog(log_level level, const std::string& text)
{
    if (level < minLevel)
        return;
    switch (level) {
    case log_level::Debug:
        LOG(DEBUG) << originName << ' ' << text;
        return;
    case log_level::Info:
        LOG(INFO) << originName << ' ' << text;
        return;
    case log_level::Warning:
        LOG(WARNING) << originName << ' ' << text;
        return;
    case log_level::Error:
        break;
    }
    LOG(ERROR) << originName << ' ' << text;
}

} // namespace fuchsiagauge
