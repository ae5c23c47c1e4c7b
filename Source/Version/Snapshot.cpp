#include "Version/Snapshot.h"

namespace wisteria {

namespace {

ObjectKey keyOf(const v1::Object &object)
{
    switch (object.content_case()) {
    case v1::Object::kService:
        return {v1::OBJECT_KIND_SERVICE, object.service().name()};
    case v1::Object::kBackendServer:
        return {v1::OBJECT_KIND_BACKEND_SERVER, object.backend_server().name()};
    case v1::Object::kOrganisation:
        return {v1::OBJECT_KIND_ORGANISATION, object.organisation().name()};
    case v1::Object::kRoutingPolicy:
        return {v1::OBJECT_KIND_ROUTING_POLICY, object.routing_policy().name()};
    case v1::Object::CONTENT_NOT_SET:
        break;
    }
    return {};
}

} // namespace

v1::SnapshotRecord snapshotOf(const ConfigState &state)
{
    v1::SnapshotRecord snapshot;
    snapshot.set_as_of(state.position);
    snapshot.set_version(state.version);
    for (const auto &[key, object] : state.objects)
        *snapshot.add_objects() = object;
    for (const auto &[id, seen] : state.seen)
        *snapshot.add_seen() = seen;
    return snapshot;
}

bool adoptSnapshot(ConfigState &state, const v1::SnapshotRecord &snapshot)
{
    if (snapshot.as_of() <= state.position || snapshot.version() < state.version)
        return false;
    ConfigState adopted;
    adopted.position = snapshot.as_of();
    adopted.version = snapshot.version();
    for (const v1::VersionedObject &object : snapshot.objects())
        adopted.objects[keyOf(object.object())] = object;
    for (const v1::SeenChange &seen : snapshot.seen())
        adopted.seen[seen.change_id()] = seen;
    state = std::move(adopted);
    return true;
}

} // namespace wisteria
