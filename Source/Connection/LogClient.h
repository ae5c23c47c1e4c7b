#pragma once

#include <string>

#include "Process/Error.h"
#include "Process/Time.h"
#include "Version/LogRecord.h"

namespace wisteria {

/// The platform's append-only log service, reduced to the operations that are used. Calls block, so
/// they must not run on an event loop's thread.
class LogClient
{
public:
    virtual ~LogClient() = default;

    /// Appends one record.
    /// @param stream Name of the log's record stream, such as "config".
    /// @return Its offset; BadInput when the log rejected the record; Unavailable when it was
    /// certainly not appended for another reason; OutcomeUnknown when the answer was lost, late or
    /// invalid: the record may be in the log already or be appended later.
    virtual Result<Offset> append(const std::string &stream, const std::string &data,
                                  milliseconds timeout) = 0;

    /// Reads records from an offset on, and waits up to `wait` for the first one.
    /// @return Unavailable or Timeout when the log doesn't answer. If the batch's `first` is above
    /// `from`, retention has dropped the records between them.
    virtual Result<LogBatch> read(const std::string &stream, Offset from, milliseconds wait) = 0;

    /// Makes the current call and all later ones end soon, for shutdown. Thread-safe.
    virtual void interrupt() { }
};

} // namespace wisteria
