#include "Process/EventLog.h"

#include <utility>

#include <spdlog/async.h>
#include <unistd.h>

#include "Process/OutputSink.h"
#include "Process/Time.h"

namespace wisteria {

namespace {

/// For how long an ending process waits for the reader of its last lines.
constexpr milliseconds lastLinesTime{300};
/// Pause between two lines about dropped lines.
constexpr seconds tellDroppedPeriod{1};

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
        : process_(std::move(process)), least_(settings.least),
          sink_(std::make_shared<OutputSink>(STDOUT_FILENO)),
          successes_(sink_, settings.queuedLines), failures_(sink_, settings.queuedLines)
    {
        sink_->set_pattern("%v");
    }

    ~Private() { sink_->giveUpAt(monotonicNow() + lastLinesTime); }

    /// One bounded queue and the thread that empties it.
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

    std::uint64_t dropped() const
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
        // Bytes of other parties may stand in the fields; what is not UTF-8 is replaced, not
        // thrown.
        const std::string text =
            line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
        const bool failure = level == LogLevel::Warning || level == LogLevel::Error;
        (failure ? failures_ : successes_).logger_->info("{}", text);
    }

    /// Says how many lines were dropped since it was last said.
    void tellDropped(WallTime now)
    {
        if (now - toldAt_ < tellDroppedPeriod && now >= toldAt_)
            return;
        toldAt_ = now;
        const std::uint64_t all = dropped();
        if (all == told_)
            return;
        writeLine(LogLevel::Warning, "log.dropped", {{"lines", all - told_}, {"since_start", all}},
                  now);
        told_ = all;
    }

    std::string process_;
    LogLevel least_;
    std::shared_ptr<OutputSink> sink_;
    Queue successes_;
    Queue failures_;
    WallTime toldAt_{};
    std::uint64_t told_ = 0;
};

EventLog::EventLog(std::string process, const LogSettings &settings)
    : private_(std::make_unique<Private>(std::move(process), settings))
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
    const WallTime now = wallNow();
    private_->tellDropped(now);
    private_->writeLine(level, event, fields, now);
}

std::uint64_t EventLog::dropped() const
{
    return private_->dropped();
}

} // namespace wisteria
