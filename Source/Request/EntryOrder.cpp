#include "Request/EntryOrder.h"

namespace wisteria {

namespace {

/// Longest time from a removal to the execution of an earlier write. A server that goes on writing
/// after it is alive.
constexpr seconds lateWriteTime{10};
/// How long removed servers are remembered.
constexpr std::chrono::minutes removedLifetime{10};

/// A late write is at most this many heartbeats behind, far more than a server sends within
/// lateWriteTime. A number further ahead is not the server's own, and what follows it is newer.
constexpr std::uint64_t maxLateHeartbeats = 1000;

bool isEarlierNumber(std::uint64_t number, std::uint64_t known)
{
    return number < known && known - number <= maxLateHeartbeats;
}

bool isSameIncarnation(const BackendEntry &first, const BackendEntry &second)
{
    return first.startedAt == second.startedAt && first.address == second.address;
}

} // namespace

bool isOlder(const BackendEntry &entry, const BackendEntry &known)
{
    if (entry.draining || !isSameIncarnation(entry, known))
        return false;
    if (!entry.sequence || !known.sequence)
        return known.draining && known.sequence;
    return isEarlierNumber(*entry.sequence, *known.sequence)
        || (known.draining && *entry.sequence == *known.sequence);
}

bool isNextHeartbeat(const BackendEntry &entry, const BackendEntry &known)
{
    if (!isSameIncarnation(entry, known))
        return true;
    const bool sequenceMoved = entry.sequence && known.sequence && entry.sequence != known.sequence;
    return sequenceMoved || entry.recordOffset > known.recordOffset;
}

void noteRemoved(RemovedServers &servers, const RemovedServer &server)
{
    std::erase_if(servers, [&server](const auto &item) {
        return server.removedAt - item.second.removedAt > removedLifetime;
    });
    servers[server.entry.id] = server;
}

bool isLateWrite(const RemovedServers &servers, const BackendEntry &entry, TimePoint now)
{
    const auto found = servers.find(entry.id);
    if (found == servers.end())
        return false;
    const RemovedServer &server = found->second;
    if (entry.draining || !isSameIncarnation(entry, server.entry))
        return false;
    if (server.certainlyLeft && now - server.removedAt < lateWriteTime)
        return true;
    return entry.sequence && server.entry.sequence
        && (*entry.sequence == *server.entry.sequence
            || isEarlierNumber(*entry.sequence, *server.entry.sequence));
}

} // namespace wisteria
