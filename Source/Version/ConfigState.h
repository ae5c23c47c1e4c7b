#pragma once

#include <map>
#include <string>

#include "Config.pb.h"
#include "Process/Error.h"
#include "Version/LogRecord.h"

namespace wisteria {

/// Key of a declared object: a name is unique within its kind.
struct ObjectKey
{
    v1::ObjectKind kind = v1::OBJECT_KIND_UNSPECIFIED;
    std::string name;

    auto operator<=>(const ObjectKey &) const = default;
};

/// The configuration after every record up to `position`. A plain value: replaying the same records
/// gives the same state on every process.
struct ConfigState
{
    std::map<ObjectKey, v1::VersionedObject> objects;
    /// Offset of the newest accepted change; the version that processes tell each other.
    Offset version = 0;
    /// Offset of the newest record that was replayed, accepted or not.
    Offset position = 0;
    /// Verdicts by change id, so that a repeated record has no second effect; the newest
    /// changeWindow offsets are kept.
    std::map<std::string, v1::SeenChange> seen;
    /// Offsets at which objects were removed; the newest changeWindow offsets are kept.
    std::map<ObjectKey, Offset> removed;
    /// Highest rules that an accepted change was checked by.
    std::uint32_t rulesVersion = 0;
};

/// What replay made of one record.
struct ReplayVerdict
{
    bool accepted = false;
    /// Why it was rejected and what to do; empty when accepted.
    std::string reason;
    /// Set when this program can't judge the record; the state did not move past it.
    bool undecided = false;
};

/// Replays one record of the configuration stream onto the state. Deterministic: depends on the
/// state and the record alone. Records at or below `state.position` are ignored. A change is taken
/// as a whole or not at all.
ReplayVerdict replayRecord(ConfigState &state, const LogRecord &record);

} // namespace wisteria
