#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Process/Endpoint.h"
#include "Process/Time.h"

namespace wisteria {

/// One backend server in the list of backend servers. Not an entry process, see EntryMembers.
struct BackendEntry
{
    std::string id;
    std::string service;
    Endpoint address;
    std::string failureDomain;
    /// Number of requests that it processes concurrently.
    std::uint32_t slots = 1;
    /// It takes no new work and will shut down.
    bool draining = false;
    /// Remaining time of its cold phase, as of when the entry was written; nothing when the entry
    /// does not state it.
    std::optional<milliseconds> coldRemaining{};
    /// Why the stated cold time could not be used as it is, and the remedy; empty normally.
    std::string coldProblem{};
    /// Start time. It may restart under the same id, and then keeps no state.
    std::uint64_t startedAt = 0;
    /// Number of this heartbeat since the start; nothing when the entry does not state it.
    std::optional<std::uint64_t> sequence{};
    /// Offset of this entry's record in the log of the list; later records have higher offsets.
    std::optional<std::uint64_t> recordOffset{};
};

} // namespace wisteria
