#pragma once

#include <map>
#include <string>
#include <vector>

#include "Peer.pb.h"
#include "Process/Error.h"
#include "Process/Time.h"
#include "Version/LogRecord.h"

namespace wisteria {

/// How often an entry appends its membership record.
constexpr milliseconds memberInterval{10'000};
/// An entry counts as gone if the log has answered for this long without a record of the entry.
constexpr milliseconds memberTimeout{35'000};

/// Address and last record of one entry.
struct EntryMember
{
    std::string address;
    std::uint64_t incarnation = 0;
    TimePoint lastRecord;
};

/// The live entries, from the log's stream of membership records. The log is used for membership
/// so that the project needs no separate coordination service.
struct EntryMembers
{
    std::map<std::string, EntryMember> members;
    /// Offset of the newest record that was applied.
    Offset position = 0;
    /// When the log last answered; no entry times out while the log doesn't answer.
    TimePoint lastContact;
};

/// Applies the result of one read of the stream. Removes entries that announced their shutdown or
/// timed out.
/// @return Whether the set of names or addresses changed.
bool updateMembers(EntryMembers &members, const LogBatch &batch, TimePoint now);

/// Names of the live entries, sorted.
std::vector<std::string> memberNames(const EntryMembers &members);

/// Peer address of an entry; empty if the entry is unknown.
std::string memberAddress(const EntryMembers &members, const std::string &name);

} // namespace wisteria
