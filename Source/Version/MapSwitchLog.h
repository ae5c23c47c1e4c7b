#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Version/LogRecord.h"
#include "Version/MapSwitchTypes.h"

namespace wisteria {

/// An expert map and the offset of the commit that put it in force; version 0 is the map that a
/// group starts with.
struct MapInForce
{
    Offset version = 0;
    v1::ExpertMap map;
};

/// What the group's stream says up to `position`. A plain value: replaying the same records gives
/// the same state on every rank.
struct GroupState
{
    Offset position = 0;
    /// Newest accepted lease claim; the fencing token.
    Offset token = 0;
    Member holder;
    /// Newest accepted lease record, claim or renewal.
    Offset leaseOffset = 0;
    std::uint64_t leaseNonce = 0;
    /// Newest incarnation of each rank.
    std::map<std::uint32_t, std::uint64_t> members;
    /// Offset of the newest join.
    Offset membersVersion = 0;
    /// Highest attempt that has an outcome; lower ones are decided too.
    SwitchKey decided;
    /// Attempt that put the present map in force.
    SwitchKey committed;
    MapInForce current;
    MapInForce previous;
    /// First step that runs on the present map; steps before it run on the previous one.
    std::uint64_t currentFromStep = 0;
    /// Offset of the newest snapshot seen.
    Offset snapshotAt = 0;
};

/// What the stream says about one attempt.
enum class SwitchOutcome { Undecided, Committed, Aborted };

/// Replays one record of the group's stream. Deterministic; records at or below the state's
/// position are ignored.
/// @return Whether the record had an effect.
bool replayGroupRecord(GroupState &state, Offset offset, const v1::GroupRecord &record,
                       const MapSwitchGuards &guards);

/// Replays what one read gave. When retention dropped records that were not read, it goes on from a
/// snapshot in the batch.
/// @return False when records are missing and the batch holds no snapshot that replaces them; the
/// state stays.
bool takeRecords(GroupState &state, const LogBatch &batch, const MapSwitchGuards &guards);

/// Outcome of an attempt that was armed when the newest join was `membersVersion`.
SwitchOutcome outcomeOf(const GroupState &state, const SwitchKey &key, Offset membersVersion);

/// The map that a step runs on, as far as the stream has been read.
const MapInForce &mapForStep(const GroupState &state, std::uint64_t step);

/// The state as a record that replaces all records up to the state's position.
v1::GroupSnapshot snapshotOf(const GroupState &state);

} // namespace wisteria
