#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "Process/Error.h"

namespace wisteria {

/// The inputs and the outcome of one decision, in the order in which they are written.
using LogFields = nlohmann::ordered_json;

/// How much a process writes.
enum class LogLevel { Debug, Info, Warning, Error };

/// The level of that name; Info for any other.
LogLevel logLevelFromName(const std::string &name);

/// Bounds of what a process writes.
struct LogSettings
{
    /// Lines below this level are left out.
    LogLevel least = LogLevel::Info;
    /// Lines that may wait for a slow reader, in each of the two queues: some seconds of a busy
    /// process, about 1 MB.
    std::size_t queuedLines = 4096;
};

/// Structured log lines of one process: one JSON object a line on standard output.
///
/// Background threads write them from bounded queues, so that a reader that does not read never
/// holds up a request. When a queue is full its oldest lines go; dropped() counts them, and a line
/// "log.dropped" says so once lines are read again. Warnings and errors have a queue of their own:
/// a flood of successes can't push out the lines about failures.
class EventLog
{
public:
    /// @param process Name of the process, written on each line.
    EventLog(std::string process, const LogSettings &settings);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Whether lines of this level are written; callers check it before they build costly fields.
    bool writes(LogLevel level) const;

    /// Writes one line.
    /// @param event Short name of the decision, such as "request.end".
    void write(LogLevel level, const char *event, const LogFields &fields);

    void debug(const char *event, const LogFields &fields)
    {
        write(LogLevel::Debug, event, fields);
    }
    void info(const char *event, const LogFields &fields) { write(LogLevel::Info, event, fields); }
    void warn(const char *event, const LogFields &fields)
    {
        write(LogLevel::Warning, event, fields);
    }

    /// Lines that were dropped because nobody read them in time.
    std::uint64_t dropped() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
