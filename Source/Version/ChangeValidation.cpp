#include "Version/ChangeValidation.h"

#include "Version/ConfigCheck.h"
#include "Version/ConfigObject.h"

namespace wisteria {

namespace {

using boost::outcome_v2::success;

constexpr std::uint32_t rulesWithConfirmation = 2;

auto conflict(const std::string &what, const std::string &remedy)
{
    return failure(ErrorKind::Conflict, what + "; " + remedy);
}

Result<void> checkRules(const ConfigState &state, const v1::ChangeRecord &change)
{
    if (change.rules_version() < oldestRules)
        return conflict("the change names no rules", "send it through wisteria-admin");
    if (change.rules_version() < state.rulesVersion) {
        return conflict("the change was prepared under rules "
                            + std::to_string(change.rules_version()) + " but rules "
                            + std::to_string(state.rulesVersion) + " are in force",
                        "upgrade the wisteria-admin that sent it");
    }
    return success();
}

/// Guards against an append that arrives days late, after its change id and the removal of its
/// objects were dropped from the state, and would restore superseded objects. Both are kept for
/// changeWindow offsets and a change that was prepared before that window is refused, so every
/// acceptable change is covered by what is kept.
Result<void> checkAge(Offset offset, const v1::ChangeRecord &change)
{
    if (change.base_position() >= offset) {
        return conflict("the change claims to know offset " + std::to_string(change.base_position())
                            + " of the log but stands at " + std::to_string(offset),
                        "send it through wisteria-admin");
    }
    if (offset - change.base_position() > changeWindow) {
        return conflict("the change was prepared at offset "
                            + std::to_string(change.base_position()) + ", too long before its own "
                            + std::to_string(offset),
                        "look at the present state and send it again");
    }
    return success();
}

/// Refuses a change that was made against another version than the one in force. Otherwise a
/// concurrent change or an outdated file would silently revert a newer change.
Result<void> checkBase(const ConfigState &state, Offset basePosition, const v1::ObjectChange &entry)
{
    const ObjectKey key{entry.kind(), entry.name()};
    const auto existing = state.objects.find(key);
    const Offset current = existing == state.objects.end() ? 0 : existing->second.version();
    const std::string remedy =
        "get the present state with 'wisteriactl get', make the change there and apply again";
    if (current == 0 && entry.remove())
        return conflict(describeKey(key) + " does not exist and can't be removed",
                        "check the name");
    if (current == 0 && entry.base_version() != 0) {
        return conflict(describeKey(key) + " was changed from version "
                            + std::to_string(entry.base_version()) + " but has been removed",
                        remedy);
    }
    if (entry.base_version() == 0 && current != 0) {
        return conflict(describeKey(key) + " is new to this change but exists in version "
                            + std::to_string(current),
                        remedy);
    }
    if (entry.base_version() != current) {
        return conflict(describeKey(key) + " was changed from version "
                            + std::to_string(entry.base_version()) + " but is in version "
                            + std::to_string(current),
                        remedy);
    }
    const auto removed = state.removed.find(key);
    if (removed != state.removed.end() && removed->second > basePosition) {
        return conflict(describeKey(key) + " was removed by version "
                            + std::to_string(removed->second) + ", after this change was prepared",
                        "look at 'wisteriactl history', then create it again if that is meant");
    }
    return success();
}

Result<void> checkChange(const ConfigState &state, Offset offset, const v1::ChangeRecord &change)
{
    BOOST_OUTCOME_TRY(checkRules(state, change));
    BOOST_OUTCOME_TRY(checkAge(offset, change));
    if (change.cancel())
        return conflict("cancelled by " + change.who(), "send the change under a new change id");
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

void checkConfirmation(const v1::ChangeRecord &change, ChangeValidation &validation)
{
    const ChangeEffects &effects = validation.effects;
    const bool confirmed = change.confirm_digest() == effects.digest;
    if (change.rules_version() < rulesWithConfirmation || effects.farReaching.empty() || confirmed)
        return;
    validation.acceptable = false;
    validation.needsConfirmation = true;
    validation.reason = effects.farReaching.front();
    if (effects.farReaching.size() > 1)
        validation.reason += " (and " + std::to_string(effects.farReaching.size() - 1) + " more)";
    validation.reason += change.confirm_digest().empty()
        ? "; look at 'wisteriactl diff' and confirm with --confirm " + effects.digest
        : "; the confirmation given does not fit these effects, look at 'wisteriactl diff' again";
}

} // namespace

ChangeValidation validateChange(const ConfigState &state, Offset offset,
                                const v1::ChangeRecord &change)
{
    ChangeValidation validation;
    const Result<void> checked = checkChange(state, offset, change);
    if (!checked) {
        validation.reason = checked.error().message;
        return validation;
    }
    validation.acceptable = true;
    validation.effects = effectsOf(state, change);
    checkConfirmation(change, validation);
    return validation;
}

} // namespace wisteria
