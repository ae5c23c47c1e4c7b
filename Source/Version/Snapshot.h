#pragma once

#include "Version/ConfigState.h"

namespace wisteria {

/// The whole state as a record. Equal states give equal bytes.
v1::SnapshotRecord snapshotOf(const ConfigState &state);

/// Replaces the state by a snapshot's if that moves it forward.
/// @return Whether it did. A snapshot that is not newer, or that was made by rules which this
/// program does not know, changes nothing.
bool adoptSnapshot(ConfigState &state, const v1::SnapshotRecord &snapshot);

} // namespace wisteria
