#pragma once

#include <map>
#include <string>

#include "Process/Time.h"
#include "Version/BackendEntry.h"

// A write of a backend server that got no answer may be executed seconds later, after the server
// has written that it drains, or after its entry was removed. The functions here tell such entries
// from those of servers that take work.

namespace wisteria {

/// Returns whether an entry that follows another one in the log was written before it. An entry
/// that says that its server drains is never older, as the server says so until it ends; one
/// without a number does not undo it.
bool isOlder(const BackendEntry &entry, const BackendEntry &known);

/// Returns whether an entry is a heartbeat that follows the known one, and not the same record read
/// again.
bool isNextHeartbeat(const BackendEntry &entry, const BackendEntry &known);

/// A backend server whose entry was removed.
struct RemovedServer
{
    BackendEntry entry;
    TimePoint removedAt;
    /// The entry can't have expired, so the server has left.
    bool certainlyLeft = false;
};

/// Removed backend servers by id.
using RemovedServers = std::map<std::string, RemovedServer>;

/// Records the removal of an entry, and forgets servers whose late writes have been executed.
void noteRemoved(RemovedServers &servers, const RemovedServer &server);

/// Returns whether an entry is a late write of a server that has left.
bool isLateWrite(const RemovedServers &servers, const BackendEntry &entry, TimePoint now);

} // namespace wisteria
