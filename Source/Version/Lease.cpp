#include "Version/Lease.h"

namespace wisteria {

namespace {

bool isHolder(const LeaseState &lease, const GroupState &group)
{
    return group.token != 0 && group.holder == lease.self;
}

/// Ranks wait a little longer one after the other, so that they don't all claim in one moment.
constexpr milliseconds claimStagger(20);

bool othersLeaseLapsed(const LeaseState &lease, const GroupState &group, TimePoint now,
                       const MapSwitchTiming &timing)
{
    if (group.token == 0)
        return true;
    const milliseconds stagger = claimStagger * lease.self.rank;
    return now >= lease.observedAt + timing.lease + timing.leaseMargin + stagger;
}

v1::GroupRecord makeClaim(const LeaseState &lease, const GroupState &group)
{
    v1::GroupRecord record;
    v1::LeaseClaim &claim = *record.mutable_claim();
    claim.set_rank(lease.self.rank);
    claim.set_incarnation(lease.self.incarnation);
    claim.set_base(group.leaseOffset);
    claim.set_nonce(lease.lastNonce);
    return record;
}

v1::GroupRecord makeRenewal(const LeaseState &lease, const GroupState &group)
{
    v1::GroupRecord record;
    record.mutable_renewal()->set_token(group.token);
    record.mutable_renewal()->set_nonce(lease.lastNonce);
    return record;
}

} // namespace

bool holdsLease(const LeaseState &lease, const GroupState &group, TimePoint now)
{
    return isHolder(lease, group) && now < lease.heldUntil;
}

/// Failure: the holder is paused after it sent a renewal and counts its lease from the moment it
/// reads the answer, while others count from when they read the record. It would believe in a lease
/// that another has taken. Counting from before the send makes the holder's end the earliest of
/// all.
void observeLease(LeaseState &lease, const GroupState &group, TimePoint now,
                  const MapSwitchTiming &timing)
{
    if (group.leaseOffset == lease.observed)
        return;
    lease.observed = group.leaseOffset;
    lease.observedAt = now;
    if (!lease.pending || !isHolder(lease, group) || group.leaseNonce != lease.pending->nonce)
        return;
    lease.heldUntil = lease.pending->sentAt + timing.lease;
    lease.pending.reset();
}

std::optional<v1::GroupRecord> dueLeaseRecord(LeaseState &lease, const GroupState &group,
                                              TimePoint now, const MapSwitchTiming &timing,
                                              bool eligible)
{
    if (!eligible)
        return std::nullopt;
    if (lease.pending && now < lease.pending->sentAt + timing.renewEvery)
        return std::nullopt;
    const bool held = holdsLease(lease, group, now);
    if (held && now < lease.heldUntil - timing.lease + timing.renewEvery)
        return std::nullopt;
    if (!held && !othersLeaseLapsed(lease, group, now, timing))
        return std::nullopt;
    ++lease.lastNonce;
    lease.pending = PendingLeaseRecord{lease.lastNonce, now};
    return held ? makeRenewal(lease, group) : makeClaim(lease, group);
}

} // namespace wisteria
