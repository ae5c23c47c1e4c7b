#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

#include <catch2/catch.hpp>

#include "Sessions/TestSystem.h"

using namespace wisteria;
using namespace wisteria::sessions;

namespace {

/// Values that differ from run to run.
std::string masked(std::string text)
{
    const std::vector<std::pair<std::regex, std::string>> masks = {
        {std::regex(R"("request_id":"[0-9a-f]{32}")"), R"("request_id":"<id>")"},
        {std::regex(R"([0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12})"), "<key>"},
        {std::regex(R"(quoter-[0-9]+)"), "<backend server>"},
        {std::regex(R"("retry_after_ms":[1-9][0-9]*)"), R"("retry_after_ms":<ms>)"},
        {std::regex(R"("run":[0-9]+)"), R"("run":<n>)"},
        {std::regex(R"(retry-after: [0-9]+)"), "retry-after: <s>"},
    };
    for (const auto &[pattern, mask] : masks)
        text = std::regex_replace(text, pattern, mask);
    return text;
}

/// What a caller sent and got, as people read it.
class Transcript
{
public:
    void note(const std::string &title, const HttpAnswer &answer)
    {
        text_ << "# " << title << "\n" << answer.status << (answer.whole ? "" : " (cut)") << "\n";
        for (const char *name : {"content-type", "retry-after"}) {
            const auto found = answer.headers.find(name);
            if (found != answer.headers.end())
                text_ << name << ": " << found->second << "\n";
        }
        text_ << answer.body << (answer.body.ends_with('\n') ? "\n" : "\n\n");
    }

    std::string text() const { return masked(text_.str()); }

private:
    std::ostringstream text_;
};

/// Asks as callers are told to: again when the request was not run for want of a backend server,
/// which on a busy machine a late heartbeat is enough for.
HttpAnswer askAsTold(const TestSystem &system, std::size_t entry, const CallerAsk &ask)
{
    HttpAnswer answer;
    eventually([&] {
        answer = system.ask(entry, ask);
        return answer.json().value("reason", "") != "no_backend_server";
    });
    return answer;
}

std::string readGolden(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

// A caller's day from the first answer to each kind of refusal. The file is compared as a whole, so
// that a change of any word that callers see is seen in review.
TEST_CASE("A caller's session reads as its golden file")
{
    TestSystem system({.entries = 2, .backendServers = 1, .concurrency = 1, .queueBound = 1});
    v1::Object shop;
    shop.mutable_organisation()->set_name("corner-shop");
    shop.mutable_organisation()->set_requests_per_second(0.1);
    shop.mutable_organisation()->set_burst(1);
    shop.mutable_organisation()->set_concurrency(1);
    system.waitInForce(system.apply({shop}));
    system.waitForKeys();

    Transcript session;
    session.note("A quotation", askAsTold(system, 0, {.body = "400 bolts M8"}));
    session.note("A streamed notice",
                 askAsTold(system, 1, {.body = R"({"stream":2,"tag":"notice"})"}));
    const CallerAsk door{.body = "open door 7", .key = freshKey()};
    session.note("A door release, not idempotent", askAsTold(system, 0, door));
    CallerAsk repeat = door;
    repeat.attempt = 2;
    session.note("Its repeat through the other entry", askAsTold(system, 1, repeat));
    repeat.body = "open door 8";
    session.note("Another request under the same key", askAsTold(system, 1, repeat));
    session.note("A key that is no UUID of version 7", askAsTold(system, 0, {.key = "door-7"}));
    session.note("A service that nobody declared", askAsTold(system, 0, {.service = "haircuts"}));
    session.note("An organisation that nobody declared",
                 askAsTold(system, 0, {.organisation = "x"}));
    session.note("A number that is none",
                 askAsTold(system, 0, {.headers = {"Wisteria-Priority: high"}}));
    system.ask(0, {.organisation = "corner-shop"});
    session.note("An organisation above its rate", system.ask(0, {.organisation = "corner-shop"}));
    v1::Object drained;
    *drained.mutable_backend_server() = system.declaredBackend(0);
    drained.mutable_backend_server()->set_draining(true);
    system.apply({drained});
    HttpAnswer none;
    eventually([&] {
        none = system.ask(0, {});
        return none.json().value("reason", "") == "no_backend_server";
    });
    session.note("The only backend server is drained", none);
    const std::string path = WISTERIA_TEST_DATA "/Golden/caller.txt";
    if (std::getenv("WISTERIA_UPDATE_GOLDEN"))
        std::ofstream(path) << session.text();
    CHECK(session.text() == readGolden(path));
}
