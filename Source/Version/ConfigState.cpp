#include "Version/ConfigState.h"

namespace wisteria {

ReplayVerdict replayRecord(ConfigState &state, const LogRecord &record)
{
    if (record.offset <= state.position)
        return {false, "this record was replayed before"};
    state.position = record.offset;
    v1::ConfigRecord parsed;
    if (!parsed.ParseFromString(record.data) || !parsed.has_change())
        return {false, "the record is not a change; append changes through wisteria-admin"};
    for (const v1::ObjectChange &change : parsed.change().changes()) {
        const ObjectKey key{change.kind(), change.name()};
        if (change.remove()) {
            state.objects.erase(key);
            continue;
        }
        v1::VersionedObject &object = state.objects[key];
        *object.mutable_object() = change.content();
        object.set_version(record.offset);
    }
    state.version = record.offset;
    return {true, ""};
}

} // namespace wisteria
