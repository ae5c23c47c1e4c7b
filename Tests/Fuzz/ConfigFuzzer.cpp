// Feeds arbitrary bytes to the replay of the configuration log and to the parser of an operator's
// file. Replay must continue after any record: the version never decreases, a rejected record
// changes nothing, and accepted objects pass all checks.

#include <cstdint>
#include <cstdlib>
#include <string>

#include "Version/ChangeValidation.h"
#include "Version/ConfigCheck.h"
#include "Version/ConfigFile.h"
#include "Version/Snapshot.h"

using namespace wisteria;

namespace {

void require(bool holds)
{
    if (!holds)
        std::abort();
}

std::string objectsOf(const ConfigState &state)
{
    v1::SnapshotRecord snapshot = snapshotOf(state);
    snapshot.clear_seen();
    snapshot.clear_as_of();
    return snapshot.SerializeAsString();
}

void replay(ConfigState &state, const std::string &data)
{
    const std::string before = objectsOf(state);
    const Offset version = state.version;
    const ReplayVerdict verdict = replayRecord(state, {state.position + 1, data});
    require(state.version >= version);
    require(verdict.accepted || objectsOf(state) == before);
    require(verdict.accepted == verdict.reason.empty());
    for (const auto &[key, object] : state.objects)
        require(checkObject(object.object()).has_value());
}

/// Applies a configuration file as wisteriactl and an admin do. Applying it again must yield no
/// changes.
void apply(ConfigState &state, const std::string &text)
{
    const auto file = parseConfigFile(text, "fuzz.json");
    if (!file)
        return;
    v1::ConfigRecord record;
    v1::ChangeRecord &change = *record.mutable_change();
    change = changeFromFile(file.value(), state.objects);
    change.set_change_id("change-fuzz");
    change.set_who("fuzz");
    change.set_why("fuzz");
    change.set_rules_version(newestRules);
    change.set_base_position(state.position);
    change.set_confirm_digest(effectsOf(state, change).digest);
    replay(state, record.SerializeAsString());
    if (state.version == state.position && file.value().removals.empty())
        require(changeFromFile(file.value(), state.objects).changes().empty());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    ConfigState state;
    const std::string input(reinterpret_cast<const char *>(data), size);
    apply(state, input);
    replay(state, input);
    replay(state, input);
    return 0;
}
