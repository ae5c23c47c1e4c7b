#include "Programs/Bench/LoadWorker.h"

#include <catch2/catch.hpp>

#include "Gateway/BrokenAnswers.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// How a request of the load tool ended that got this answer.
std::string outcomeOf(const RawAnswer &answer)
{
    const ScriptedServer server([&answer](const SeenRequest &request, ScriptPeer &peer) {
        sendBytes(answer, request, peer);
    });
    LoadPlan plan;
    plan.urls = {"http://" + toText(server.endpoint()) + "/x"};
    plan.timeout = milliseconds(500);
    return LoadWorker(plan).run().outcomes.begin()->first;
}

} // namespace

// Guards against a load report that counts broken answers as served requests.
TEST_CASE("The load tool counts no broken answer as an answer")
{
    for (const RawAnswer &answer : allBrokenAnswers()) {
        CAPTURE(answer.name);
        CHECK(outcomeOf(answer) != "answer");
    }
    for (const RawAnswer &answer : soundAnswers()) {
        CAPTURE(answer.name);
        CHECK(outcomeOf(answer) == "answer");
    }
}
