#include "Version/VmList.h"

#include <catch2/catch.hpp>

using namespace wisteria;

namespace {

const TimePoint start{std::chrono::hours(1)};
const std::map<std::string, VmState> both = {{"a", VmState::Live}, {"b", VmState::Leaving}};
const std::map<std::string, VmState> onlyA = {{"a", VmState::Live}};

} // namespace

// A door would open twice: the list, older than the one before, misses a VM that runs, and another
// home takes over the keys of the backend server there.
TEST_CASE("A VM counts as gone only after no list named it for twice the list's lag")
{
    VmView view;
    updateVmList(view, both, start);
    updateVmList(view, onlyA, start + milliseconds(1000));
    CHECK_FALSE(isVmGone(view, "b"));
    updateVmList(view, onlyA, start + vmGoneAfter - milliseconds(1));
    CHECK_FALSE(isVmGone(view, "b"));
    updateVmList(view, onlyA, start + vmGoneAfter);
    CHECK(isVmGone(view, "b"));
    CHECK_FALSE(isVmGone(view, "a"));
}

TEST_CASE("A VM that was never listed is gone only when lists came for long enough")
{
    VmView view;
    CHECK_FALSE(isVmGone(view, "c"));
    updateVmList(view, onlyA, start);
    CHECK_FALSE(isVmGone(view, "c"));
    updateVmList(view, onlyA, start + vmGoneAfter);
    CHECK(isVmGone(view, "c"));
}

TEST_CASE("Leaving VMs are those that the newest list names so")
{
    VmView view;
    updateVmList(view, both, start);
    CHECK(leavingVms(view) == std::set<std::string>{"b"});
    updateVmList(view, onlyA, start);
    CHECK(leavingVms(view).empty());
}

TEST_CASE("A list that can't be understood is an error that names the remedy")
{
    CHECK(parseVmList(R"({"vms":[{"name":"a","state":"live"}]})").value().size() == 1);
    CHECK(parseVmList("[]").error().message.find("vms.url") != std::string::npos);
}
