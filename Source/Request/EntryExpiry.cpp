#include "Request/EntryExpiry.h"

#include <algorithm>

namespace wisteria {

namespace {

/// Heartbeat intervals of silence after which an entry expires.
constexpr int intervalsToExpiry = 3;
/// Shortest estimate of an outage in which entries may have expired, in heartbeat intervals. Such
/// an outage lasts for two intervals or more, as its servers wrote up to one interval before it;
/// the estimate is up to one interval too short or too long.
constexpr double shortestOutage = 1.25;
/// Live servers are back in the list at most this long after an outage.
constexpr milliseconds maxReappearanceTime{2000};
/// Time allowed for the read that returns them.
constexpr milliseconds readAllowance{100};
/// Time from the decision to send a request until it arrives at its server.
constexpr milliseconds sendAllowance{50};

milliseconds intervals(const EntryHistory &history, double count)
{
    return std::chrono::duration_cast<milliseconds>(history.times.heartbeatInterval * count);
}

/// Estimates for how long no server could write since the last complete read: the part of the time
/// that their heartbeats do not account for.
milliseconds timeWithoutHeartbeats(const EntryHistory &history, const ListRead &read)
{
    // If the store lost its history, only the newest heartbeat of each server was read.
    const std::uint64_t appended = history.endOffset - history.endOffsetBefore;
    const std::uint64_t unread = appended - std::min(appended, history.removals);
    const auto heartbeats = static_cast<double>(std::max(history.heartbeats, unread));
    const auto servers = static_cast<double>(std::max<std::size_t>(1, history.writtenAfter.size()));
    return remaining(history.lastRead->begunAt, read.endedAt)
        - intervals(history, heartbeats / servers);
}

std::optional<milliseconds> longestSilence(const EntryHistory &history, const std::string &id,
                                           TimePoint now)
{
    const auto written = history.writtenAfter.find(id);
    if (written == history.writtenAfter.end() || !written->second)
        return std::nullopt;
    return remaining(*written->second, now);
}

} // namespace

void noteHeartbeat(EntryHistory &history, const std::string &id, std::uint64_t offset)
{
    ++history.heartbeats;
    history.endOffset = std::max(history.endOffset, offset + 1);
    std::optional<TimePoint> &written = history.writtenAfter[id];
    if (history.lastRead)
        written = history.lastRead->begunAt;
}

void noteRemovalRead(EntryHistory &history)
{
    ++history.removals;
}

void forgetHeartbeats(EntryHistory &history, const std::string &id)
{
    history.writtenAfter.erase(id);
}

void noteCompleteRead(EntryHistory &history, const ListRead &read)
{
    const bool callFailed = history.lastRead && read.failedCallAt > history.lastRead->begunAt;
    const milliseconds length = callFailed ? timeWithoutHeartbeats(history, read) : milliseconds(0);
    if (callFailed && length >= intervals(history, shortestOutage)) {
        history.outage = StoreOutage{.awayAt = read.failedCallAt,
                                     .backBefore = read.begunAt,
                                     .backAt = read.endedAt,
                                     .length = length};
    }
    history.heartbeats = 0;
    history.removals = 0;
    history.endOffsetBefore = history.endOffset;
    history.readBefore = history.lastRead;
    history.lastRead = read;
}

bool certainlyLeft(const EntryHistory &history, const std::string &id, TimePoint now)
{
    const auto silence = longestSilence(history, id, now);
    return silence && *silence < intervals(history, intervalsToExpiry);
}

Removal judgeRemoval(const EntryHistory &history, const std::string &id)
{
    const TimePoint now = history.lastRead->endedAt;
    Removal removal{.silence = longestSilence(history, id, now)};
    if (certainlyLeft(history, id, now) || !history.readBefore || !history.outage)
        return removal;
    const StoreOutage &outage = *history.outage;
    const auto written = history.writtenAfter.find(id);
    const bool wroteSince = written != history.writtenAfter.end() && written->second
        && *written->second >= outage.backBefore;
    if (wroteSince)
        return removal;
    removal.outage = outage.length;
    const TimePoint backBy =
        outage.backAt + maxReappearanceTime + history.times.readInterval + readAllowance;
    const TimePoint leftAfter = std::max(outage.awayAt, history.readBefore->begunAt);
    removal.usableUntil = std::min(backBy, leftAfter + history.times.drainTime - sendAllowance);
    return removal;
}

} // namespace wisteria
