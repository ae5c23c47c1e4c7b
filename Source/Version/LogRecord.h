#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wisteria {

/// Position of a record in one stream of the platform's log. Offsets start at 1 and only grow;
/// 0 means "before every record".
using Offset = std::uint64_t;

/// One record of the log.
struct LogRecord
{
    Offset offset = 0;
    std::string data;
};

/// Result of one read of a stream.
struct LogBatch
{
    std::vector<LogRecord> records;
    /// Oldest offset that the log still holds; one past the newest when it holds none.
    Offset first = 1;
    /// One past the newest record.
    Offset end = 1;
};

} // namespace wisteria
