#include "Request/EvidenceGap.h"

namespace wisteria {

void noteRecordsRead(EvidenceGap &gap, const EvidenceRead &read, TimePoint now)
{
    gap.recordsReadAt = now;
    gap.knownUntil = read.knownUntil;
    const bool mayHaveBeenAway =
        read.knownUntil && (read.callFailed || read.readAt - *read.knownUntil > maxRestartTime);
    gap.closed = gap.closed || !mayHaveBeenAway;
}

void closeIfExpired(EvidenceGap &gap, milliseconds lifetime, TimePoint now)
{
    gap.closed = gap.closed || now - gap.startedAt > lifetime;
}

bool mayHaveCrashedIn(const EvidenceGap &gap, std::uint64_t startedAt)
{
    if (gap.closed)
        return false;
    if (!gap.knownUntil || startedAt == 0)
        return true;
    const WallTime started{milliseconds(static_cast<std::int64_t>(startedAt))};
    return started > *gap.knownUntil - startTimeTolerance;
}

std::set<std::string> servicesInDoubt(const EvidenceGap &gap, const BackendRegistry &registry,
                                      TimePoint now)
{
    std::set<std::string> services;
    // Before the records are read, a gateway can't claim either, as it knows no others.
    if (gap.closed || !gap.recordsReadAt)
        return services;
    const bool anyMay = now - *gap.recordsReadAt < restartVisibleTime;
    for (const auto &[id, backend] : registry.backends) {
        if (anyMay || mayHaveCrashedIn(gap, backend.entry.startedAt))
            services.insert(backend.entry.service);
    }
    return services;
}

} // namespace wisteria
