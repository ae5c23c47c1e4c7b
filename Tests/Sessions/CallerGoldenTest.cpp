#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

#include <catch2/catch.hpp>

#include "Sessions/TestSystem.h"

using namespace wisteria;
using namespace wisteria::sessions;

namespace {

/// Replaces values that differ between runs by placeholders.
std::string maskVariableParts(std::string text)
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

/// Readable record of the answers that a caller got.
class Transcript
{
public:
    void append(const std::string &title, const HttpAnswer &answer)
    {
        text_ << "# " << title << "\n"
              << answer.status << (answer.complete ? "" : " (cut)") << "\n";
        for (const char *name : {"content-type", "retry-after"}) {
            const auto found = answer.headers.find(name);
            if (found != answer.headers.end())
                text_ << name << ": " << found->second << "\n";
        }
        text_ << answer.body << (answer.body.ends_with('\n') ? "\n" : "\n\n");
    }

    std::string text() const { return maskVariableParts(text_.str()); }

private:
    std::ostringstream text_;
};

/// Sends a request, and retries while it is refused for lack of a backend server. On a busy
/// machine, one late heartbeat is enough for such a refusal.
HttpAnswer sendWithRetry(const TestSystem &system, std::size_t entry, const TestRequest &request)
{
    HttpAnswer answer;
    eventually([&] {
        answer = system.send(entry, request);
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

// Covers answers and each kind of refusal. The whole file is compared, so that a review shows every
// change of a text that callers see.
TEST_CASE("The answers that a caller gets match the golden file")
{
    TestSystem system({.entries = 2, .backendServers = 1, .concurrency = 1, .queueBound = 1});
    v1::Object organisation;
    organisation.mutable_organisation()->set_name("corner-shop");
    organisation.mutable_organisation()->set_requests_per_second(0.1);
    organisation.mutable_organisation()->set_burst(1);
    organisation.mutable_organisation()->set_concurrency(1);
    system.waitUntilInForce(system.apply({organisation}));
    system.waitUntilKeysAccepted();

    Transcript transcript;
    transcript.append("A quotation", sendWithRetry(system, 0, {.body = "400 bolts M8"}));
    transcript.append("A streamed notice",
                      sendWithRetry(system, 1, {.body = R"({"stream":2,"tag":"notice"})"}));
    const TestRequest doorRelease{.body = "open door 7", .key = freshKey()};
    transcript.append("A door release, not idempotent", sendWithRetry(system, 0, doorRelease));
    TestRequest repeat = doorRelease;
    repeat.attempt = 2;
    transcript.append("Its repeat through the other entry", sendWithRetry(system, 1, repeat));
    repeat.body = "open door 8";
    transcript.append("Another request under the same key", sendWithRetry(system, 1, repeat));
    transcript.append("A key that is not a UUID of version 7",
                      sendWithRetry(system, 0, {.key = "door-7"}));
    transcript.append("An undeclared service", sendWithRetry(system, 0, {.service = "haircuts"}));
    transcript.append("An undeclared organisation",
                      sendWithRetry(system, 0, {.organisation = "x"}));
    transcript.append("A priority that is not a number",
                      sendWithRetry(system, 0, {.headers = {"Wisteria-Priority: high"}}));
    system.send(0, {.organisation = "corner-shop"});
    transcript.append("An organisation above its rate",
                      system.send(0, {.organisation = "corner-shop"}));
    v1::Object drained;
    *drained.mutable_backend_server() = system.backendObject(0);
    drained.mutable_backend_server()->set_draining(true);
    system.apply({drained});
    HttpAnswer refusal;
    eventually([&] {
        refusal = system.send(0, {});
        return refusal.json().value("reason", "") == "no_backend_server";
    });
    transcript.append("The only backend server is drained", refusal);
    const std::string path = WISTERIA_TEST_DATA "/Golden/caller.txt";
    if (std::getenv("WISTERIA_UPDATE_GOLDEN"))
        std::ofstream(path) << transcript.text();
    CHECK(transcript.text() == readGolden(path));
}
