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
/// An entry counts as gone when the log has answered for this long without a record of it.
constexpr milliseconds memberSilence{35'000};

/// One entry as others know it.
struct EntryMember
{
    std::string address;
    std::uint64_t incarnation = 0;
    TimePoint lastRecord;
};

/// The entries that share the callers' work, as the log's stream of membership records tells. The
/// log is asked for this rather than a coordination service of the project's own.
struct EntryMembers
{
    std::map<std::string, EntryMember> members;
    /// Offset up to which records were taken in.
    Offset position = 0;
    /// When the log last answered; no entry ages while it is out.
    TimePoint lastContact;
};

/// Takes in what one read of the stream gave, and drops entries that went silent or said goodbye.
/// @return Whether the set of names or addresses changed.
bool updateMembers(EntryMembers &members, const LogBatch &batch, TimePoint now);

/// Names of the present entries, sorted.
std::vector<std::string> memberNames(const EntryMembers &members);

/// Peer address of an entry; empty when it is not known.
std::string memberAddress(const EntryMembers &members, const std::string &name);

} // namespace wisteria
