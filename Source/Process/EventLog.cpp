#include "Process/EventLog.h"

#include <utility>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include "Process/Time.h"

namespace wisteria {

namespace {

/// Lines that may wait for a slow reader: some seconds of a busy process, about 2 MB.
constexpr std::size_t queuedLines = 8192;

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

} // namespace

class EventLog::Private
{
public:
    Private(std::string process, LogLevel least)
        : process_(std::move(process)), least_(least),
          pool_(std::make_shared<spdlog::details::thread_pool>(queuedLines, 1)),
          logger_(std::make_shared<spdlog::async_logger>(
              "events", std::make_shared<spdlog::sinks::stdout_sink_mt>(), pool_,
              spdlog::async_overflow_policy::overrun_oldest))
    {
        logger_->set_pattern("%v");
        logger_->flush_on(spdlog::level::info);
    }

    std::string process_;
    LogLevel least_;
    std::shared_ptr<spdlog::details::thread_pool> pool_;
    std::shared_ptr<spdlog::async_logger> logger_;
};

EventLog::EventLog(std::string process, LogLevel least)
    : private_(std::make_unique<Private>(std::move(process), least))
{ }

EventLog::~EventLog() = default;

bool EventLog::writes(LogLevel level) const
{
    return level >= private_->least_;
}

void EventLog::write(LogLevel level, const char *event, const LogFields &fields)
{
    if (!writes(level))
        return;
    LogFields line = {{"t", wallNow().time_since_epoch().count()},
                      {"level", levelName(level)},
                      {"process", private_->process_},
                      {"event", event}};
    line.update(fields);
    // Bytes of other parties may stand in the fields; what is not UTF-8 is replaced, not thrown.
    const std::string text =
        line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    private_->logger_->info("{}", text);
}

std::uint64_t EventLog::dropped() const
{
    return private_->pool_->overrun_counter();
}

} // namespace wisteria
