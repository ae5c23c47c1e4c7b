#include "Version/Snapshot.h"

#include "Version/ChangeValidation.h"
#include "Version/ConfigObject.h"

namespace wisteria {

v1::SnapshotRecord snapshotOf(const ConfigState &state)
{
    v1::SnapshotRecord snapshot;
    snapshot.set_as_of(state.position);
    snapshot.set_version(state.version);
    for (const auto &[key, object] : state.objects)
        *snapshot.add_objects() = object;
    for (const auto &[id, seen] : state.seen)
        *snapshot.add_seen() = seen;
    for (const auto &[key, version] : state.removed) {
        v1::RemovedObject &removed = *snapshot.add_removed();
        removed.set_kind(key.kind);
        removed.set_name(key.name);
        removed.set_version(version);
    }
    snapshot.set_rules_version(state.rulesVersion);
    return snapshot;
}

bool adoptSnapshot(ConfigState &state, const v1::SnapshotRecord &snapshot)
{
    if (snapshot.as_of() <= state.position || snapshot.version() < state.version)
        return false;
    if (snapshot.rules_version() > newestRules)
        return false;
    ConfigState adopted;
    adopted.position = snapshot.as_of();
    adopted.version = snapshot.version();
    for (const v1::VersionedObject &object : snapshot.objects())
        adopted.objects[keyOf(object.object())] = object;
    for (const v1::SeenChange &seen : snapshot.seen())
        adopted.seen[seen.change_id()] = seen;
    for (const v1::RemovedObject &removed : snapshot.removed())
        adopted.removed[{removed.kind(), removed.name()}] = removed.version();
    adopted.rulesVersion = snapshot.rules_version();
    state = std::move(adopted);
    return true;
}

void noteNewestSnapshot(NewestSnapshot &newestSnapshot, Offset asOf, bool fresh, TimePoint now)
{
    if (asOf <= newestSnapshot.asOf)
        return;
    newestSnapshot.asOf = asOf;
    if (fresh)
        newestSnapshot.seenAt = now;
}

bool snapshotDue(const NewestSnapshot &newestSnapshot, Offset position, milliseconds period,
                 TimePoint now)
{
    if (position == 0)
        return false;
    if (position >= newestSnapshot.asOf + recordsPerSnapshot)
        return true;
    return !newestSnapshot.seenAt || now - *newestSnapshot.seenAt >= period;
}

} // namespace wisteria
