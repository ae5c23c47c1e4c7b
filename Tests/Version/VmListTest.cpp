#include "Version/VmList.h"

#include <catch2/catch.hpp>

using namespace wisteria;

namespace {

const TimePoint start{std::chrono::hours(1)};
const std::map<std::string, VmState> both = {{"a", VmState::Live}, {"b", VmState::Leaving}};
const std::map<std::string, VmState> onlyA = {{"a", VmState::Live}};

} // namespace

// A list that is older than the one before it lacks a running VM. If the VM counted as gone,
// another backend server would take over the idempotency keys of the server there, and a request
// could run twice.
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

TEST_CASE("A VM that was never listed is gone only after lists arrived for twice the list's lag")
{
    VmView view;
    CHECK_FALSE(isVmGone(view, "c"));
    updateVmList(view, onlyA, start);
    CHECK_FALSE(isVmGone(view, "c"));
    updateVmList(view, onlyA, start + vmGoneAfter);
    CHECK(isVmGone(view, "c"));
}

TEST_CASE("Leaving VMs are those in state leaving in the newest list")
{
    VmView view;
    updateVmList(view, both, start);
    CHECK(leavingVms(view) == std::set<std::string>{"b"});
    updateVmList(view, onlyA, start);
    CHECK(leavingVms(view).empty());
}

TEST_CASE("A list that can't be parsed is an error with a remedy")
{
    CHECK(parseVmList(R"({"vms":[{"name":"a","state":"live"}]})").value().size() == 1);
    CHECK(parseVmList("[]").error().message.find("vms.url") != std::string::npos);
}
