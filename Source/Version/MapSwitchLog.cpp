#include "Version/MapSwitchLog.h"

#include <algorithm>

namespace wisteria {

namespace {

void acceptLease(GroupState &state, Offset offset, std::uint64_t nonce)
{
    state.leaseOffset = offset;
    state.leaseNonce = nonce;
}

/// Failure: two ranks claim at once, or a claim lands late, and both believe that they hold the
/// lease. A claim names the newest lease record that its sender knew, so of two claims with one
/// base only the first counts, and every reader agrees which.
bool replayClaim(GroupState &state, Offset offset, const v1::LeaseClaim &claim)
{
    if (claim.base() != state.leaseOffset)
        return false;
    acceptLease(state, offset, claim.nonce());
    state.token = offset;
    state.holder = {claim.rank(), claim.incarnation()};
    return true;
}

bool replayRenewal(GroupState &state, Offset offset, const v1::LeaseRenewal &renewal)
{
    if (renewal.token() != state.token)
        return false;
    acceptLease(state, offset, renewal.nonce());
    return true;
}

bool replayJoin(GroupState &state, Offset offset, const v1::RankJoin &join)
{
    std::uint64_t &incarnation = state.members[join.rank()];
    if (join.incarnation() <= incarnation)
        return false;
    incarnation = join.incarnation();
    state.membersVersion = offset;
    return true;
}

/// Failures: a holder that was paused appends its commit after another took the lease; a rank was
/// replaced after it armed, so its promise is gone; a commit lands after ranks were released by an
/// abort. Each shows as ranks that run a step on two maps. The stream itself orders the commit
/// against the claim, the join and the abort, so every reader rejects it alike.
bool commitCounts(const GroupState &state, const v1::SwitchCommit &commit,
                  const MapSwitchGuards &guards)
{
    const SwitchKey key = keyOf(commit.id());
    if (key == state.committed)
        return false;
    if (guards.replayChecksToken && key.token != state.token)
        return false;
    if (guards.replayChecksMembers && commit.members_version() != state.membersVersion)
        return false;
    return !guards.firstDecisionWins || key > state.decided;
}

bool replayCommit(GroupState &state, Offset offset, const v1::SwitchCommit &commit,
                  const MapSwitchGuards &guards)
{
    if (!commitCounts(state, commit, guards))
        return false;
    const SwitchKey key = keyOf(commit.id());
    state.decided = std::max(state.decided, key);
    state.committed = key;
    state.previous = std::move(state.current);
    state.current = {offset, commit.map()};
    state.currentFromStep = commit.step();
    return true;
}

bool replayAbort(GroupState &state, const v1::SwitchAbort &abort)
{
    const SwitchKey key = keyOf(abort.id());
    if (key <= state.decided || key.token > state.token)
        return false;
    state.decided = key;
    return true;
}

/// Failure: a change between a snapshot's "as of" and its own offset is skipped, and a rank that
/// starts runs on an older map than the others. A snapshot serves only when the batch holds every
/// record after its "as of".
bool replacesMissing(const v1::GroupRecord &record, const LogBatch &batch)
{
    const Offset heldFrom = batch.records.front().offset;
    return record.has_snapshot() && record.snapshot().as_of() + 1 >= heldFrom;
}

bool startFromSnapshot(GroupState &state, const LogBatch &batch, const MapSwitchGuards &guards)
{
    for (const LogRecord &each : batch.records) {
        v1::GroupRecord record;
        if (!record.ParseFromString(each.data) || !replacesMissing(record, batch))
            continue;
        state = GroupState();
        replayGroupRecord(state, each.offset, record, guards);
        return true;
    }
    return false;
}

/// A snapshot is used only by a reader that has nothing yet; for others it repeats what they know.
bool replaySnapshot(GroupState &state, const v1::GroupSnapshot &snapshot)
{
    if (state.position != 0)
        return false;
    state.token = snapshot.token();
    state.holder = {snapshot.holder_rank(), snapshot.holder_incarnation()};
    state.leaseOffset = snapshot.lease_offset();
    state.leaseNonce = snapshot.lease_nonce();
    for (const v1::MemberIncarnation &member : snapshot.members())
        state.members[member.rank()] = member.incarnation();
    state.membersVersion = snapshot.members_version();
    state.decided = keyOf(snapshot.decided());
    state.committed = keyOf(snapshot.committed());
    state.current = {snapshot.map_version(), snapshot.map()};
    state.previous = {snapshot.previous_version(), snapshot.previous_map()};
    state.currentFromStep = snapshot.map_step();
    return true;
}

bool replayKnown(GroupState &state, Offset offset, const v1::GroupRecord &record,
                 const MapSwitchGuards &guards)
{
    switch (record.record_case()) {
    case v1::GroupRecord::kClaim:
        return replayClaim(state, offset, record.claim());
    case v1::GroupRecord::kRenewal:
        return replayRenewal(state, offset, record.renewal());
    case v1::GroupRecord::kJoin:
        return replayJoin(state, offset, record.join());
    case v1::GroupRecord::kCommit:
        return replayCommit(state, offset, record.commit(), guards);
    case v1::GroupRecord::kAbort:
        return replayAbort(state, record.abort());
    default:
        return false;
    }
}

} // namespace

bool replayGroupRecord(GroupState &state, Offset offset, const v1::GroupRecord &record,
                       const MapSwitchGuards &guards)
{
    if (offset <= state.position)
        return false;
    if (record.has_snapshot()) {
        state.snapshotAt = offset;
        // A snapshot leaves out what was appended between its own "as of" and itself, so the reader
        // goes on from "as of" and reads those records too.
        if (!replaySnapshot(state, record.snapshot())) {
            state.position = offset;
            return false;
        }
        state.position = record.snapshot().as_of();
        return true;
    }
    const bool effective = replayKnown(state, offset, record, guards);
    state.position = offset;
    return effective;
}

bool takeRecords(GroupState &state, const LogBatch &batch, const MapSwitchGuards &guards)
{
    const bool missing = state.position + 1 < batch.first;
    if (missing && !startFromSnapshot(state, batch, guards))
        return false;
    for (const LogRecord &each : batch.records) {
        v1::GroupRecord record;
        // A record that can't be read has no effect for anybody, but keeps its place.
        if (!record.ParseFromString(each.data))
            record.Clear();
        replayGroupRecord(state, each.offset, record, guards);
    }
    return true;
}

SwitchOutcome outcomeOf(const GroupState &state, const SwitchKey &key, Offset membersVersion)
{
    if (key == state.committed)
        return SwitchOutcome::Committed;
    const bool superseded = key.token < state.token || membersVersion < state.membersVersion;
    if (key <= state.decided || superseded)
        return SwitchOutcome::Aborted;
    return SwitchOutcome::Undecided;
}

const MapInForce &mapForStep(const GroupState &state, std::uint64_t step)
{
    return step < state.currentFromStep ? state.previous : state.current;
}

v1::GroupSnapshot snapshotOf(const GroupState &state)
{
    v1::GroupSnapshot snapshot;
    snapshot.set_as_of(state.position);
    snapshot.set_token(state.token);
    snapshot.set_holder_rank(state.holder.rank);
    snapshot.set_holder_incarnation(state.holder.incarnation);
    snapshot.set_lease_offset(state.leaseOffset);
    snapshot.set_lease_nonce(state.leaseNonce);
    for (const auto &[rank, incarnation] : state.members) {
        v1::MemberIncarnation &member = *snapshot.add_members();
        member.set_rank(rank);
        member.set_incarnation(incarnation);
    }
    snapshot.set_members_version(state.membersVersion);
    *snapshot.mutable_decided() = idOf(state.decided);
    *snapshot.mutable_committed() = idOf(state.committed);
    snapshot.set_map_version(state.current.version);
    *snapshot.mutable_map() = state.current.map;
    snapshot.set_map_step(state.currentFromStep);
    snapshot.set_previous_version(state.previous.version);
    *snapshot.mutable_previous_map() = state.previous.map;
    return snapshot;
}

} // namespace wisteria
