#include "Process/Logging.h"

#include <mutex>

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace wisteria {

namespace {

const char *const textPattern = "%Y-%m-%dT%H:%M:%S.%e %l %n: %v";
const char *const jsonPattern =
    R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l","part":"%n","message":"%v"})";

std::shared_ptr<spdlog::sinks::sink> standardErrorSink()
{
    static const auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    return sink;
}

} // namespace

Result<void> setUpLogging(const std::string &level, LogFormat format)
{
    const auto parsed = spdlog::level::from_str(level);
    if (parsed == spdlog::level::off && level != "off") {
        return failure(ErrorKind::BadSettings,
                       "unknown log level '" + level
                           + "'; use trace, debug, info, warning, error or off");
    }
    spdlog::set_level(parsed);
    const bool json = format == LogFormat::Json;
    spdlog::set_pattern(json ? jsonPattern : textPattern, spdlog::pattern_time_type::utc);
    return boost::outcome_v2::success();
}

std::shared_ptr<spdlog::logger> loggerFor(const std::string &part)
{
    static std::mutex mutex;
    const std::lock_guard<std::mutex> lock(mutex);
    if (auto existing = spdlog::get(part))
        return existing;
    auto logger = std::make_shared<spdlog::logger>(part, standardErrorSink());
    spdlog::initialize_logger(logger);
    return logger;
}

} // namespace wisteria
