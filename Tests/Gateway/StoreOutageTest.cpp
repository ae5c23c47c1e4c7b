#include <csignal>
#include <fstream>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "Gateway/GatewayUnderTest.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// A gateway as a process of its own, whose lines go to a file.
class LoggedGateway
{
public:
    explicit LoggedGateway(const Endpoint &store)
    {
        const std::string settings =
            writeSettings("front-1", {.store = store, .callers = callers_});
        path_ = settings + ".lines";
        const int output = ::open(path_.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0600);
        child_ = startProgram("wisteria-gateway", settings,
                              {"--metrics-port", std::to_string(freePort())}, output);
        ::close(output);
    }

    ~LoggedGateway()
    {
        ::kill(child_, SIGKILL);
        ::waitpid(child_, nullptr, 0);
    }

    LoggedGateway(const LoggedGateway &) = delete;
    LoggedGateway &operator=(const LoggedGateway &) = delete;

    const Endpoint &callers() const { return callers_; }

    /// The first line of an event that names this; null while there is none.
    nlohmann::json line(const std::string &event, const std::string &field,
                        const std::string &value) const
    {
        std::ifstream lines(path_);
        for (std::string text; std::getline(lines, text);) {
            const nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
            if (line.is_object() && line.value("event", "") == event
                && line.value(field, "") == value)
                return line;
        }
        return nullptr;
    }

    /// The same, waited for.
    nlohmann::json waitForLine(const std::string &event, const std::string &field,
                               const std::string &value) const
    {
        nlohmann::json found;
        eventually([&] {
            found = line(event, field, value);
            return !found.is_null();
        });
        return found;
    }

private:
    Endpoint callers_{INADDR_LOOPBACK, freePort()};
    std::string path_;
    pid_t child_ = -1;
};

} // namespace

// An engineer on call asks why a gateway decided by an old version. Only the first failed call of
// an outage left a line, so nobody could tell calls that took long from calls on dead connections,
// and the refusal did not say how old the version was that decided it.
TEST_CASE("Lines tell each failed call of the store, and how old what decided a refusal is")
{
    StoreStandIn store;
    store.put("keyed.op", "config", configurationOf(1));
    const LoggedGateway gateway(store.endpoint());
    REQUIRE_FALSE(gateway.waitForLine("config.in_force", "process", "front-1").is_null());
    // Until the list of servers has been read as well, requests wait for it.
    REQUIRE(eventually(
        [&] { return callServer(gateway.callers(), requestFor("/none/x", "a0")).status == 404; }));
    store.mute(true);
    const nlohmann::json lost = gateway.waitForLine("store.lost", "what", "backends");
    REQUIRE(lost.value("after_s", 0.0) >= 0.7);
    const nlohmann::json failed = gateway.waitForLine("store.call_failed", "what", "backends");
    REQUIRE(failed.value("connection", "") == "new");
    REQUIRE(failed.value("failures", 0) == 2);
    REQUIRE(failed.value("after_s", 0.0) >= 0.7);
    REQUIRE(failed.value("next_in_s", 0.0) > 0);
    REQUIRE(callServer(gateway.callers(), requestFor("/none/x", "a1")).status == 404);
    const nlohmann::json end = gateway.waitForLine("request.end", "id", "a1");
    REQUIRE(end.value("config", 0) == 1);
    REQUIRE(end.value("config_age_s", 0.0) > 0.7);
}

// Callers with a key that an operator had added almost three seconds before got 401. The store had
// been silent for nine seconds, took the version as it came back, and answered other reads within
// half a second; yet no gateway read the version until 2.8 s after its acknowledgement. A read that
// waits for changes had begun during the outage: it was given up after its whole wait, and then
// came the longest pause. The line of that read, with version 1 in force all the while:
// "reason":"no answer in time","after_s":2.717,"connection":"new","failures":4,"next_in_s":0.8
TEST_CASE("A version is in force in time once a store that was silent answers again")
{
    // A version is to be in force this long after its acknowledgement.
    constexpr seconds inForceWithin{2};
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    Running gateway;
    gateway.startWith("i-1", "plain", backend);
    gateway.callUntil(requestFor("/once/x", "a1"), 200);
    const std::size_t readsBefore = gateway.store.readsOf("keyed.op");
    gateway.store.mute(true);
    REQUIRE(eventually([&] { return gateway.store.readsOf("keyed.op") >= readsBefore + 3; }));
    gateway.store.mute(false);
    nlohmann::json next = configurationOf(2);
    next["tenants"][0]["api_keys"] = {"key1", "key2"};
    gateway.store.put("keyed.op", "config", next);
    const TimePoint acknowledged = monotonicNow();
    std::string request = requestFor("/once/x", "a2");
    request.replace(request.find("key1"), 4, "key2");
    REQUIRE(gateway.callUntil(request, 200).status == 200);
    REQUIRE(monotonicNow() - acknowledged < inForceWithin);
}
