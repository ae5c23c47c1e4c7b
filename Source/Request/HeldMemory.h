#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Process/Time.h"

namespace wisteria {

/// What a gateway holds of the requests and answers of one caller's connection.
struct HeldBytes
{
    std::uint64_t session = 0;
    std::size_t bytes = 0;
    /// When the connection began with its current request, or to wait for one.
    TimePoint since;
};

/// Returns the bytes that all connections of a gateway together may hold, for a process that may
/// use `processBytes`. The rest is for what the bytes are copied into on their way, and for the
/// process itself.
std::size_t heldBytesLimit(std::uint64_t processBytes);

/// Returns the sessions to be cut so that the others hold at most `limit` bytes: one after the
/// other the newest of those that hold about the average or more, for which small ones do not
/// count.
///
/// Callers and backend servers decide how much they send and how slowly they read. Without a bound
/// on the sum a few of them exhaust the memory of the VM, and all requests end with the process. An
/// answer without end is cut before sound ones, and of many long requests those that were there
/// first are served.
std::vector<std::uint64_t> sessionsToCut(std::vector<HeldBytes> held, std::size_t limit);

} // namespace wisteria
