#pragma once

#include <string>

#include "Process/Error.h"
#include "Process/Time.h"
#include "Version/LogRecord.h"

namespace wisteria {

/// The platform's append-only log service, as narrow as the project needs it. Calls block and
/// belong on a control thread.
class LogClient
{
public:
    virtual ~LogClient() = default;

    /// Appends one record.
    /// @return Its offset; Unavailable when it was surely not appended; OutcomeUnknown when the
    /// answer was lost or late, in which case the record may stand in the log already or later.
    virtual Result<Offset> append(const std::string &stream, const std::string &data,
                                  milliseconds timeout) = 0;

    /// Reads records from an offset on, waiting up to `wait` for the first one.
    /// @return Unavailable or Timeout when the log gives no answer. A batch whose `first` is above
    /// `from` says that records between were dropped by retention.
    virtual Result<LogBatch> read(const std::string &stream, Offset from, milliseconds wait) = 0;

    /// Makes the present and every later call end soon, for shutdown. Any thread may call it.
    virtual void interrupt() { }
};

} // namespace wisteria
