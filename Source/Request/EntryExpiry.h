#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Process/Time.h"

// A backend server leaves when its entry in the store is removed. An entry also expires when its
// server can't write to the store for three heartbeat intervals; in an outage of the store this
// happens to live servers, which are back within two seconds of its end. The functions here tell
// the two apart by what the reads of the list show. A failed call alone is no evidence of an
// outage: the store may have refused one caller, or lost one answer.

namespace wisteria {

/// Times of the platform and of the reads that limit how long an entry may be missing.
struct EntryTimes
{
    /// Interval between two heartbeats of a backend server.
    milliseconds heartbeatInterval{1200};
    /// How long a backend server may get requests after the store took its leaving.
    milliseconds drainTime{2000};
    /// Interval between two reads of the list.
    milliseconds readInterval{900};
};

/// A read of the list that reached its end.
struct ListRead
{
    /// All records that the store had at this time were read.
    TimePoint begunAt;
    /// When the latest call before it began that shows that the store may have been away: one
    /// that it did not answer, or refused otherwise than for too many calls. The epoch if none.
    TimePoint failedCallAt;
    TimePoint endedAt;
};

/// A time without heartbeats that was long enough for entries of live servers to expire.
struct StoreOutage
{
    /// The store was still away at this time.
    TimePoint awayAt;
    /// Begin and end of the first read after it.
    TimePoint backBefore;
    TimePoint backAt;
    /// Estimate of its length.
    milliseconds length{0};
};

/// What the reads of the list have shown. A value type without I/O.
struct EntryHistory
{
    EntryTimes times{};
    /// The two latest complete reads.
    std::optional<ListRead> lastRead{};
    std::optional<ListRead> readBefore{};
    /// Each server's newest heartbeat was written at this time or later, by id; empty if unknown.
    std::map<std::string, std::optional<TimePoint>> writtenAfter{};
    /// Heartbeats and removals that were read since the last complete read.
    std::uint64_t heartbeats = 0;
    std::uint64_t removals = 0;
    /// Offset after the latest record, now and at the last complete read.
    std::uint64_t endOffset = 0;
    std::uint64_t endOffsetBefore = 0;
    /// The latest outage.
    std::optional<StoreOutage> outage{};
};

/// Records a heartbeat that was just read for the first time.
/// @param offset Offset of its record in the log of the list.
void noteHeartbeat(EntryHistory &history, const std::string &id, std::uint64_t offset);
/// Records that an entry was just found removed.
void noteRemovalRead(EntryHistory &history);
/// Forgets a server that is gone.
void forgetHeartbeats(EntryHistory &history, const std::string &id);

/// Records that a read of the list is complete, and whether there was an outage before it. Removals
/// that it returned can be judged from then on.
void noteCompleteRead(EntryHistory &history, const ListRead &read);

/// Returns whether an entry whose removal has been read can't have expired: its server wrote to the
/// store less than three heartbeat intervals ago.
bool certainlyLeft(const EntryHistory &history, const std::string &id, TimePoint now);

/// What follows from the removal of an entry.
struct Removal
{
    /// Until when the server may get requests; a time that has passed if it has left.
    TimePoint usableUntil{};
    /// Upper bound of the time from its last heartbeat to the removal; nothing if unknown.
    std::optional<milliseconds> silence{};
    /// Estimated length of the outage that kept it; zero if none.
    milliseconds outage{0};
};

/// Judges a removal that the last complete read returned.
///
/// A server is kept if its entry may have expired in an outage, until it must be back. If it left
/// instead, the store took that after the previous read, and after the outage; it is therefore
/// never kept for longer than the drain time after both.
Removal judgeRemoval(const EntryHistory &history, const std::string &id);

} // namespace wisteria
