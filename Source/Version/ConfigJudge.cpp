#include "Version/ConfigJudge.h"

#include "Version/ConfigCheck.h"
#include "Version/ConfigObject.h"

namespace wisteria {

namespace {

using boost::outcome_v2::success;

constexpr std::uint32_t rulesWithConfirmation = 2;

auto stale(const std::string &what, const std::string &remedy)
{
    return failure(ErrorKind::Conflict, what + "; " + remedy);
}

Result<void> checkRules(const ConfigState &state, const v1::ChangeRecord &change)
{
    if (change.rules_version() < oldestRules)
        return stale("the change names no rules", "send it through wisteria-admin");
    if (change.rules_version() < state.rulesVersion) {
        return stale("the change was prepared under rules " + std::to_string(change.rules_version())
                         + " but rules " + std::to_string(state.rulesVersion) + " are in force",
                     "upgrade the wisteria-admin that sent it");
    }
    return success();
}

/// Failure guarded against: an append that arrives days late, after its change id and the removal
/// of its objects were forgotten, and brings back what was superseded. Both are remembered for
/// changeWindow records and a change that was prepared before that window is refused, so no record
/// that is still acceptable can be older than what is remembered.
Result<void> checkAge(Offset offset, const v1::ChangeRecord &change)
{
    if (change.base_position() >= offset) {
        return stale("the change claims to know offset " + std::to_string(change.base_position())
                         + " of the log but stands at " + std::to_string(offset),
                     "send it through wisteria-admin");
    }
    if (offset - change.base_position() > changeWindow) {
        return stale("the change was prepared at offset " + std::to_string(change.base_position())
                         + ", too long before its own " + std::to_string(offset),
                     "look at the present state and send it again");
    }
    return success();
}

/// Refuses a change that was made against another version than the one in force, which is how a
/// racing operator's change or a file saved last month would silently go back.
Result<void> checkBase(const ConfigState &state, Offset basePosition, const v1::ObjectChange &entry)
{
    const ObjectKey key{entry.kind(), entry.name()};
    const auto held = state.objects.find(key);
    const Offset current = held == state.objects.end() ? 0 : held->second.version();
    const std::string remedy =
        "get the present state with 'wisteriactl get', make the change there and apply again";
    if (current == 0 && entry.remove())
        return stale(describeKey(key) + " does not exist and can't be removed", "check the name");
    if (current == 0 && entry.base_version() != 0) {
        return stale(describeKey(key) + " was changed from version "
                         + std::to_string(entry.base_version()) + " but has been removed",
                     remedy);
    }
    if (entry.base_version() == 0 && current != 0) {
        return stale(describeKey(key) + " is new to this change but exists in version "
                         + std::to_string(current),
                     remedy);
    }
    if (entry.base_version() != current) {
        return stale(describeKey(key) + " was changed from version "
                         + std::to_string(entry.base_version()) + " but is in version "
                         + std::to_string(current),
                     remedy);
    }
    const auto removed = state.removed.find(key);
    if (removed != state.removed.end() && removed->second > basePosition) {
        return stale(describeKey(key) + " was removed by version " + std::to_string(removed->second)
                         + ", after this change was prepared",
                     "look at 'wisteriactl history', then create it again if that is meant");
    }
    return success();
}

Result<void> checkChange(const ConfigState &state, Offset offset, const v1::ChangeRecord &change)
{
    BOOST_OUTCOME_TRY(checkRules(state, change));
    BOOST_OUTCOME_TRY(checkAge(offset, change));
    if (change.cancel())
        return stale("cancelled by " + change.who(), "send the change under a new change id");
    for (const v1::ObjectChange &entry : change.changes()) {
        BOOST_OUTCOME_TRY(checkBase(state, change.base_position(), entry));
    }
    for (const v1::ObjectChange &entry : change.changes()) {
        if (!entry.remove()) {
            BOOST_OUTCOME_TRY(checkObject(entry.content()));
        }
    }
    return checkReferences(state, change);
}

void checkConfirmation(const v1::ChangeRecord &change, ChangeJudgement &judgement)
{
    const ChangeEffects &effects = judgement.effects;
    const bool confirmed = change.confirm_digest() == effects.digest;
    if (change.rules_version() < rulesWithConfirmation || effects.farReaching.empty() || confirmed)
        return;
    judgement.acceptable = false;
    judgement.needsConfirmation = true;
    judgement.reason = effects.farReaching.front();
    if (effects.farReaching.size() > 1)
        judgement.reason += " (and " + std::to_string(effects.farReaching.size() - 1) + " more)";
    judgement.reason += change.confirm_digest().empty()
        ? "; look at 'wisteriactl diff' and confirm with --confirm " + effects.digest
        : "; the confirmation given does not fit these effects, look at 'wisteriactl diff' again";
}

} // namespace

ChangeJudgement judgeChange(const ConfigState &state, Offset offset, const v1::ChangeRecord &change)
{
    ChangeJudgement judgement;
    const Result<void> checked = checkChange(state, offset, change);
    if (!checked) {
        judgement.reason = checked.error().message;
        return judgement;
    }
    judgement.acceptable = true;
    judgement.effects = effectsOf(state, change);
    checkConfirmation(change, judgement);
    return judgement;
}

} // namespace wisteria
