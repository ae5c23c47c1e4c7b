#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "Process/Error.h"

namespace wisteria {

/// Fields of one log line in the order of output: the inputs and the outcome of a decision.
using LogFields = nlohmann::ordered_json;

/// Severity of a log line, in ascending order.
enum class LogLevel { Debug, Info, Warning, Error };

/// Returns the level with this name, or Info for an unknown name.
LogLevel logLevelFromName(const std::string &name);

/// Level filter and queue capacity of an EventLog.
struct LogSettings
{
    /// Lines below this level are not written.
    LogLevel minLevel = LogLevel::Info;
    /// Lines that each of the two queues holds for a slow reader: some seconds of output of a busy
    /// process, usually about 1 MB.
    std::size_t queueCapacity = 4096;
};

/// Returns log fields of bounded size: longer texts are cut off and say how many bytes are missing,
/// and longer lists are left out. Fields hold values of other parties, such as entries and header
/// fields, whose size must not decide how much memory the queued lines take.
LogFields boundedFields(LogFields fields);

/// Structured log of one process: one JSON object per line on standard output.
///
/// Background threads write the lines from bounded queues, so a reader that stops reading never
/// blocks a request. A full queue drops its oldest lines; droppedLines() counts them, and the event
/// "log.dropped" reports them with a later line. Warnings and errors have a separate queue, so
/// that many lines about successes can't displace lines about failures.
class EventLog
{
public:
    /// @param process Name of the process; each line has it as a field.
    EventLog(std::string process, const LogSettings &settings);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Whether lines of this level are written. Check it before building fields that are costly.
    bool shouldLog(LogLevel level) const;

    /// Queues one line if its level is enabled.
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

    /// Number of lines that were dropped from full queues since the process started.
    std::uint64_t droppedLines() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
