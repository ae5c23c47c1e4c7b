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

/// Structured log lines of one process: one JSON object a line on standard output.
///
/// A background thread writes them from a bounded queue, so that a reader that does not read never
/// holds up a request. When the queue is full the oldest lines go; dropped() counts them.
class EventLog
{
public:
    /// @param process Name of the process, written on each line.
    /// @param least Lines below this level are left out.
    EventLog(std::string process, LogLevel least);
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
