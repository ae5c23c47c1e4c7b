#include "Process/EventLog.h"

#include <utility>

#include <spdlog/async.h>
#include <unistd.h>

#include "Process/OutputSink.h"
#include "Process/Time.h"

namespace wisteria {

namespace {

/// Time limit for writing queued lines when the process ends.
constexpr milliseconds shutdownFlushTimeout{300};
/// Minimum time between two "log.dropped" lines.
constexpr seconds droppedReportInterval{1};
/// Longest text of a field in bytes: a sentence and some names.
constexpr std::size_t maxTextBytes = 1024;
/// Longest list or object of a field in bytes as JSON: the requests in flight at a server.
constexpr std::size_t maxListBytes = 16384;

std::string cutText(const std::string &text)
{
    return text.substr(0, maxTextBytes) + "... (" + std::to_string(text.size() - maxTextBytes)
        + " bytes more)";
}

/// Returns roughly how long a value is as JSON.
std::size_t sizeOf(const LogFields &value)
{
    constexpr std::size_t scalarBytes = 8;
    if (value.is_string())
        return value.get_ref<const std::string &>().size();
    if (!value.is_structured())
        return scalarBytes;
    std::size_t size = 0;
    for (const auto &element : value)
        size += sizeOf(element);
    return size;
}

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

LogFields boundedFields(LogFields fields)
{
    for (auto &value : fields) {
        if (value.is_string() && value.get_ref<const std::string &>().size() > maxTextBytes)
            value = cutText(value.get_ref<const std::string &>());
        else if (value.is_structured() && sizeOf(value) > maxListBytes)
            value = "left out: " + std::to_string(value.size()) + " elements are too long";
    }
    return fields;
}

LogLevel logLevelFromName(const std::string &name)
{
    for (const LogLevel level : {LogLevel::Debug, LogLevel::Warning, LogLevel::Error}) {
        if (name == levelName(level))
            return level;
    }
    return LogLevel::Info;
}

class EventLog::Private
{
public:
    Private(std::string process, const LogSettings &settings)
        : process_(std::move(process)), minLevel_(settings.minLevel),
          sink_(std::make_shared<OutputSink>(STDOUT_FILENO)),
          successes_(sink_, settings.queueCapacity), failures_(sink_, settings.queueCapacity)
    {
        sink_->set_pattern("%v");
    }

    ~Private() { sink_->setDeadline(monotonicNow() + shutdownFlushTimeout); }

    /// A bounded queue and the thread that writes its lines.
    struct Queue
    {
        Queue(const std::shared_ptr<OutputSink> &sink, std::size_t lines)
            : pool_(std::make_shared<spdlog::details::thread_pool>(lines, 1)),
              logger_(std::make_shared<spdlog::async_logger>(
                  "events", sink, pool_, spdlog::async_overflow_policy::overrun_oldest))
        { }

        std::shared_ptr<spdlog::details::thread_pool> pool_;
        std::shared_ptr<spdlog::async_logger> logger_;
    };

    std::uint64_t droppedLines() const
    {
        return successes_.pool_->overrun_counter() + failures_.pool_->overrun_counter();
    }

    void writeLine(LogLevel level, const char *event, const LogFields &fields, WallTime now)
    {
        LogFields line = {{"t", now.time_since_epoch().count()},
                          {"level", levelName(level)},
                          {"process", process_},
                          {"event", event}};
        line.update(fields);
        // Fields may contain bytes from the network. Invalid UTF-8 is replaced, since dump() would
        // throw by default.
        const std::string text =
            boundedFields(std::move(line))
                .dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
        const bool failure = level == LogLevel::Warning || level == LogLevel::Error;
        (failure ? failures_ : successes_).logger_->info("{}", text);
    }

    /// Logs how many lines were dropped since the last report.
    void reportDropped(WallTime now)
    {
        if (now - reportedAt_ < droppedReportInterval && now >= reportedAt_)
            return;
        reportedAt_ = now;
        const std::uint64_t total = droppedLines();
        if (total == reportedDrops_)
            return;
        writeLine(LogLevel::Warning, "log.dropped",
                  {{"lines", total - reportedDrops_}, {"since_start", total}}, now);
        reportedDrops_ = total;
    }

    std::string process_;
    LogLevel minLevel_;
    std::shared_ptr<OutputSink> sink_;
    Queue successes_;
    Queue failures_;
    WallTime reportedAt_{};
    std::uint64_t reportedDrops_ = 0;
};

EventLog::EventLog(std::string process, const LogSettings &settings)
    : private_(std::make_unique<Private>(std::move(process), settings))
{ }

EventLog::~EventLog() = default;

bool EventLog::shouldLog(LogLevel level) const
{
    return level >= private_->minLevel_;
}

void EventLog::write(LogLevel level, const char *event, const LogFields &fields)
{
    if (!shouldLog(level))
        return;
    const WallTime now = wallNow();
    private_->reportDropped(now);
    private_->writeLine(level, event, fields, now);
}

std::uint64_t EventLog::droppedLines() const
{
    return private_->droppedLines();
}

} // namespace wisteria
