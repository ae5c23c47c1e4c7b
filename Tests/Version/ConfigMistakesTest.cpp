#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "Version/ConfigCheck.h"
#include "Version/ConfigFile.h"
#include "Version/ConfigRecords.h"

using namespace wisteria;
using namespace wisteria::test;

namespace {

const std::string folder = std::string(WISTERIA_TEST_DATA) + "/Mistakes/";

std::string textOf(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Replays one more change, which must be accepted.
void accept(ConfigState &state, v1::ChangeRecord change)
{
    change.set_confirm_digest(effectsOf(state, change).digest);
    REQUIRE(replayRecord(state, recordOf(state.position + 1, change)).reason.empty());
}

/// The objects of base.json, with later changes to a service and a routing policy, an organisation
/// that was removed and a routing policy that was added last.
ConfigState stateInForce()
{
    ConfigState state;
    const auto base = parseConfigFile(textOf(folder + "base.json"), "base.json");
    v1::ChangeRecord change = changeFromFile(base.value(), {});
    change.MergeFrom(emptyChange("change-base"));
    accept(state, change);
    for (int i = 0; i < 6; ++i) {
        change = emptyChange("change-lookup-" + std::to_string(i), state.position);
        auto lookup = state.objects.at({v1::OBJECT_KIND_SERVICE, "lookup"});
        lookup.mutable_object()->mutable_service()->set_queue_bound(65 + i);
        addSet(change, lookup.object(), lookup.version());
        auto spare = state.objects.at({v1::OBJECT_KIND_ROUTING_POLICY, "spare"});
        spare.mutable_object()->mutable_routing_policy()->set_load_weight(2 + i);
        addSet(change, spare.object(), spare.version());
        accept(state, change);
    }
    change = emptyChange("change-leaver", state.position);
    addRemoval(change, v1::OBJECT_KIND_ORGANISATION, "leaver", 1);
    accept(state, change);
    accept(state, [&] {
        v1::ChangeRecord last = emptyChange("change-last", state.position);
        addSet(last, policyObject("last"));
        return last;
    }());
    return state;
}

/// One line of mistakes.txt: title, the operator's file, and "field=value" of the change record if
/// the mistake is in one of its fields.
struct Mistake
{
    std::string title;
    std::string file;
    std::string fieldOverride;
};

Mistake mistakeFrom(const std::string &line)
{
    std::istringstream fields(line);
    Mistake mistake;
    std::getline(fields, mistake.title, '|');
    std::getline(fields, mistake.file, '|');
    std::getline(fields, mistake.fieldOverride, '|');
    return mistake;
}

v1::ChangeRecord changeWithOverride(const Mistake &mistake, const v1::ChangeRecord &content)
{
    v1::ChangeRecord change = emptyChange("change-mistake");
    change.MergeFrom(content);
    const std::size_t equals = mistake.fieldOverride.find('=');
    const std::string field = mistake.fieldOverride.substr(0, equals);
    const std::string value =
        equals == std::string::npos ? "" : mistake.fieldOverride.substr(equals + 1);
    if (field == "confirm")
        change.set_confirm_digest(value);
    if (field == "why")
        change.set_why(value);
    if (field == "who")
        change.set_who(value);
    if (field == "id")
        change.set_change_id(value);
    return change;
}

/// Message that the operator gets, from the checks of wisteriactl and the admin in their order.
std::string messageFor(const ConfigState &state, const Mistake &mistake)
{
    const auto file = parseConfigFile(mistake.file, "file.json");
    if (!file)
        return "file: " + file.error().message;
    const std::vector<std::string> offline = checkConfigFile(file.value());
    if (!offline.empty())
        return "check: " + offline.front();
    v1::ChangeRecord change =
        changeWithOverride(mistake, changeFromFile(file.value(), state.objects));
    if (change.base_position() == 0)
        change.set_base_position(state.position);
    const auto shape = checkShape(change);
    if (!shape)
        return "admin: " + shape.error().message;
    const ChangeValidation validation = validateChange(state, state.position + 1, change);
    if (validation.acceptable)
        return "ACCEPTED";
    return (validation.needsConfirmation ? "held back: " : "refused: ") + validation.reason;
}

} // namespace

// An operator makes a mistake in a file, a number or a name, or applies an outdated file. Without a
// check it would be in force in every process within seconds. Each mistake is refused or needs a
// confirmation, with a message that names the mistake and the remedy.
TEST_CASE("Each known mistake is refused or held back with its remedy")
{
    const ConfigState state = stateInForce();
    std::istringstream table(textOf(folder + "mistakes.txt"));
    std::string actual;
    std::string line;
    std::size_t mistakes = 0;
    while (std::getline(table, line)) {
        const Mistake mistake = mistakeFrom(line);
        const std::string message = messageFor(state, mistake);
        INFO(mistake.title);
        CHECK(message != "ACCEPTED");
        CHECK(message.find("; ") != std::string::npos);
        actual += mistake.title + "\n    " + message + "\n";
        ++mistakes;
    }
    CHECK(mistakes >= 40);
    CHECK(actual == textOf(folder + "answers.txt"));
}
