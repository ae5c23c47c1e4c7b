#pragma once

#include <cstdint>
#include <vector>

#include "Process/Time.h"
#include "Request/BackendRegistry.h"

namespace wisteria {

/// A backend server that may get the request, with the properties that rank it.
struct RankedBackend
{
    BackendState *state = nullptr;
    double load = 0;
    bool avoided = false;
    bool otherDomain = false;
    bool overFreeShare = false;
    bool isCold = false;
    /// When this gateway's share of requests allows the next one; see nextSendAt().
    TimePoint shareFreeAt{};

    /// Returns the load plus a penalty for another failure domain.
    double cost() const;
    bool hasSlot(double maxLoad) const { return load <= maxLoad && !overFreeShare; }
    bool isBetterThan(const RankedBackend &other) const;
};

/// Drops the slow ones of `candidates` unless all of them are slow, even if the others are full: a
/// single request on a slow rank slows down the passes of its whole group.
void dropSlow(std::vector<RankedBackend> &candidates, TimePoint now, milliseconds loadLifetime);

/// Removes the candidates without a slot if a cold candidate has one. Otherwise a full warm
/// candidate, which ranks before every cold one, would be the best, and no server would be chosen.
/// Cold candidates that are avoided count only if all are.
void dropFullBesideCold(std::vector<RankedBackend> &candidates, double maxLoad);

/// Returns a candidate that is beyond this gateway's share of free slots, but has a slot for the
/// request and another one besides; null when there is none. Avoided and cold servers are not
/// chosen, and those in this gateway's failure domain come first.
///
/// A gateway that restarts has no requests in flight whose slots it could use again, and its equal
/// share of the few free slots is less than its urgent requests need, while other gateways start
/// less urgent ones in slots of their own. The choice is random because all gateways see the same
/// slots: they would all choose the same best server, and its requests would wait. The second slot
/// is for another gateway that chooses the same server before the next report.
/// @param randomUnit Uniform random number in [0, 1).
const RankedBackend *anyBeyondFreeShare(const std::vector<RankedBackend> &candidates,
                                        double maxLoad, TimePoint now, milliseconds loadLifetime,
                                        double randomUnit);

/// Returns the candidate with a slot that rendezvous hashing gives a request, or null when none has
/// a slot. Gateways that know the same servers with slots choose the same one. Avoided servers are
/// chosen only if all are.
const RankedBackend *designatedOf(const std::vector<RankedBackend> &candidates, std::uint64_t hash,
                                  double maxLoad);

/// Returns the best candidate, or null when there is none. The search begins at a random index, so
/// that equal candidates share the work.
/// @param randomUnit Uniform random number in [0, 1).
const RankedBackend *bestOf(const std::vector<RankedBackend> &candidates, double randomUnit);

} // namespace wisteria
