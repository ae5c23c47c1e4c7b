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

/// The configuration after every record up to `position`. A value type without I/O: replaying the
/// same records gives the same state in every process.
struct ConfigState
{
    std::map<ObjectKey, v1::VersionedObject> objects;
    /// Offset of the newest accepted change; processes report it to each other as the version.
    Offset version = 0;
    /// Offset of the newest record that was replayed, accepted or not.
    Offset position = 0;
    /// Verdicts by change id, so that a repeated record has no second effect; kept for the newest
    /// changeWindow offsets.
    std::map<std::string, v1::SeenChange> seen;
    /// Offsets at which objects were removed; kept for the newest changeWindow offsets.
    std::map<ObjectKey, Offset> removed;
    /// Rules version of the newest accepted change; changes with a lower one are refused.
    std::uint32_t rulesVersion = 0;
};

/// Result of replaying one record.
struct ReplayVerdict
{
    bool accepted = false;
    /// Why the record was refused or is undecided, and the remedy; empty when accepted.
    std::string reason;
    /// Set if the record needs newer rules than this program has; the state stays before it.
    bool undecided = false;
};

/// Replays one record of the configuration stream onto the state. Deterministic: depends only on
/// the state and the record. Records at or below `state.position` are ignored. A change is applied
/// as a whole or not at all.
ReplayVerdict replayRecord(ConfigState &state, const LogRecord &record);

} // namespace wisteria
