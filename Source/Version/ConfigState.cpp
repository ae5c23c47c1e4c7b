#include "Version/ConfigState.h"

#include "Version/ChangeValidation.h"
#include "Version/ConfigCheck.h"
#include "Version/ConfigObject.h"

namespace wisteria {

namespace {

/// Drops change ids and removals that no acceptable record can refer to any more; see changeWindow.
void dropExpired(ConfigState &state)
{
    const auto isExpired = [&](Offset offset) { return offset + changeWindow < state.position; };
    std::erase_if(state.seen, [&](const auto &entry) { return isExpired(entry.second.offset()); });
    std::erase_if(state.removed, [&](const auto &entry) { return isExpired(entry.second); });
}

ReplayVerdict verdictOfRepeat(const v1::SeenChange &seen, const v1::ChangeRecord &change)
{
    const std::string at = std::to_string(seen.offset());
    if (seen.content_digest() != contentDigest(change) && !change.cancel()) {
        return {false,
                "change id " + change.change_id() + " was used at offset " + at
                    + " for something else; give a new change id"};
    }
    return {false, "a repeat of the change at offset " + at + ", which has its verdict"};
}

void applyChange(ConfigState &state, Offset offset, const v1::ChangeRecord &change)
{
    for (const v1::ObjectChange &entry : change.changes()) {
        const ObjectKey key{entry.kind(), entry.name()};
        if (entry.remove()) {
            state.objects.erase(key);
            state.removed[key] = offset;
            continue;
        }
        v1::VersionedObject &object = state.objects[key];
        *object.mutable_object() = entry.content();
        object.set_version(offset);
        state.removed.erase(key);
    }
    state.version = offset;
    state.rulesVersion = change.rules_version();
}

void recordVerdict(ConfigState &state, Offset offset, const v1::ChangeRecord &change,
                   const ReplayVerdict &verdict)
{
    v1::SeenChange &seen = state.seen[change.change_id()];
    seen.set_change_id(change.change_id());
    seen.set_offset(offset);
    seen.set_accepted(verdict.accepted);
    seen.set_reason(verdict.reason);
    seen.set_content_digest(contentDigest(change));
}

ReplayVerdict replayChange(ConfigState &state, Offset offset, const v1::ChangeRecord &change)
{
    if (auto shape = checkShape(change); !shape)
        return {false, shape.error().message};
    const auto seen = state.seen.find(change.change_id());
    if (seen != state.seen.end())
        return verdictOfRepeat(seen->second, change);
    const ChangeValidation validation = validateChange(state, offset, change);
    const ReplayVerdict verdict{validation.acceptable, validation.reason};
    if (verdict.accepted)
        applyChange(state, offset, change);
    recordVerdict(state, offset, change, verdict);
    return verdict;
}

} // namespace

ReplayVerdict replayRecord(ConfigState &state, const LogRecord &record)
{
    if (record.offset <= state.position)
        return {false, "this record was replayed before"};
    v1::ConfigRecord parsed;
    const bool readable = parsed.ParseFromString(record.data);
    // Guards against an old release that refuses, or partly understands, a record of a newer one
    // and from then on holds another state than all other processes. It stops before the record
    // instead, keeps its last state and reports the remedy.
    if (readable && parsed.has_change() && parsed.change().rules_version() > newestRules) {
        return {false,
                "the record at offset " + std::to_string(record.offset) + " needs rules "
                    + std::to_string(parsed.change().rules_version()) + " but this program knows "
                    + std::to_string(newestRules) + "; upgrade this process",
                true};
    }
    state.position = record.offset;
    dropExpired(state);
    if (!readable || !parsed.has_change())
        return {false, "the record is not a change; append changes through wisteria-admin"};
    return replayChange(state, record.offset, parsed.change());
}

} // namespace wisteria
