#include <csignal>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "Gateway/GatewayUnderTest.h"
#include "Programs/Gateway/GatewayMetrics.h"
#include "Programs/Sidecar/SidecarMetrics.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// The value of a series; -1 if the text does not contain it.
double valueOf(const std::string &metrics, const std::string &series)
{
    std::istringstream lines(metrics);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(series + " "))
            return std::stod(line.substr(series.size() + 1));
    }
    return -1;
}

/// Names of the metrics in a scrape, from its "# TYPE" lines.
std::set<std::string> servedNames(const std::string &metrics)
{
    std::set<std::string> names;
    std::istringstream lines(metrics);
    const std::string type = "# TYPE ";
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(type))
            names.insert(line.substr(type.size(), line.find(' ', type.size()) - type.size()));
    }
    return names;
}

/// Names of the metrics in the first column of the page's tables.
std::set<std::string> documentedNames()
{
    std::set<std::string> names;
    std::ifstream page(std::string(WISTERIA_DOCS) + "/METRICS.md");
    const std::string start = "| `wisteria_";
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with(start))
            names.insert(line.substr(3, line.find('`', 3) - 3));
    }
    return names;
}

std::string textOf(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::set<std::string> matchesOf(const std::string &text, const std::regex &pattern)
{
    std::set<std::string> found;
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match)
        found.insert((*match)[1]);
    return found;
}

/// Names of log events in the sources of both programs.
std::set<std::string> eventsWritten()
{
    const std::regex name("\"([a-z]+\\.[a-z_]+)\"");
    std::set<std::string> events = {"log.dropped"};
    for (const char *program : {"Gateway", "Sidecar"}) {
        const std::filesystem::path folder =
            std::filesystem::path(WISTERIA_SOURCES) / "Programs" / program;
        for (const auto &entry : std::filesystem::directory_iterator(folder)) {
            if (entry.path().extension() == ".cpp")
                events.merge(matchesOf(textOf(entry.path()), name));
        }
    }
    return events;
}

/// Updates every metric of both programs once.
std::string everyMetric()
{
    Metrics metrics;
    countRequestEnd(metrics,
                    {.service = "s",
                     .status = 200,
                     .reason = "answered",
                     .firstEvent = milliseconds(1),
                     .longestPause = milliseconds(1)});
    countFirstSend(metrics, "s", milliseconds(1));
    countSendEnd(metrics, "s", "answered");
    countRetry(metrics, "s", RetryCause::Moved);
    countLivenessCheck(metrics, true);
    countCutRequest(metrics);
    countStoreCall(metrics, "t", "answered");
    countTurnedAway(metrics);
    countServerCrash(metrics, "s");
    setPoisonState(metrics, {});
    setStoreAge(metrics, "t", milliseconds(1));
    setSlots(metrics, {.service = "s"});
    setRetriesLeft(metrics, "s", 1);
    countPriorityStart(metrics, "s", 1, {.starved = true, .beyondFreeShare = true});
    setPriorityLimit(metrics, "s", 1, 5);
    setEvacuatedDomains(metrics, 1);
    setEvacuationAge(metrics, "a", milliseconds(1));
    setGatewayState(metrics, {});
    GroupSwitch group;
    group.heldSince = TimePoint(seconds(1));
    group.proposal.map = {{{0}}};
    countSwitchEvent(metrics, group, SwitchEvent::InForce, TimePoint(seconds(2)));
    countOrder(metrics, RankOrderKind::Arm, "done");
    countEntryRemoval(metrics, "left");
    setSidecarState(metrics, {});
    return metrics.text();
}

} // namespace

TEST_CASE("A scrape shows how requests ended and the state of the gateway")
{
    std::atomic<int> runs = 0;
    ScriptedServer model([&runs](const SeenRequest &request, ScriptPeer &peer) {
        const std::string last = request.header("Last-Event-Id");
        peer.send(streamHead(request) + chunk(eventText(last.empty() ? 1 : std::stoi(last) + 1)));
        if (runs++ == 0) {
            peer.reset();
            return;
        }
        peer.send("0\r\n\r\n");
    });
    GatewayUnderTest gateway;
    gateway.configure();
    gateway.addBackend("m-1", "model", model);
    gateway.addBackend("m-2", "model", model);
    gateway.waitUntilReady();
    REQUIRE(gateway.callUntil(requestFor("/stream/x", "a1"), 200).whole);
    REQUIRE(gateway.call(requestFor("/once/x", "a2")).status == 503);
    REQUIRE(gateway.call(requestFor("/none/x", "a3")).status == 404);
    const std::string metrics = gateway.metrics();
    REQUIRE(
        valueOf(metrics,
                "wisteria_requests_total{end=\"success\",reason=\"answered\",service=\"model\"}")
        == 1);
    REQUIRE(valueOf(metrics,
                    "wisteria_requests_total{end=\"refused\",reason=\"no backend server takes "
                    "work\",service=\"plain\"}")
            == 1);
    REQUIRE(valueOf(metrics,
                    "wisteria_requests_total{end=\"rejected\",reason=\"no route\",service=\"\"}")
            == 1);
    REQUIRE(valueOf(metrics, "wisteria_retries_total{cause=\"resumed\",service=\"model\"}") == 1);
    REQUIRE(valueOf(metrics, "wisteria_sends_total{outcome=\"broken off\",service=\"model\"}")
            == 1);
    REQUIRE(valueOf(metrics, "wisteria_first_event_seconds_count{service=\"model\"}") == 1);
    REQUIRE(valueOf(metrics, "wisteria_backends{service=\"model\"}") == 2);
    REQUIRE(valueOf(metrics, "wisteria_places{service=\"model\"}") == 8);
    REQUIRE(valueOf(metrics, "wisteria_configuration_version") == 1);
    REQUIRE(valueOf(metrics, "wisteria_ready") == 1);
    REQUIRE(valueOf(metrics, "wisteria_store_calls_total{result=\"answered\",what=\"backends\"}")
            >= 1);
}

TEST_CASE("The page on metrics names each metric that is served, and no other")
{
    REQUIRE(documentedNames() == servedNames(everyMetric()));
}

// Guards against a log event that an engineer on call can't find on the page, and against events on
// the page that no program writes.
TEST_CASE("The page on operations names each event that the programs write, and no other")
{
    const std::regex name("[`\"]([a-z]+\\.[a-z_]+)[`\"]");
    const std::string page = textOf(std::string(WISTERIA_DOCS) + "/OPERATIONS.md");
    REQUIRE(matchesOf(page, name) == eventsWritten());
}

// Guards against a configuration with thousands of services. If each service added series without a
// bound, the process would exceed the memory of its VM and be killed with all its requests.
TEST_CASE("The number of series is bounded, and dropped updates are counted")
{
    Metrics metrics;
    constexpr int services = 5000;
    for (int i = 0; i < services; ++i)
        countFirstSend(metrics, "s" + std::to_string(i), milliseconds(1));
    const double dropped = valueOf(metrics.text(), "wisteria_metric_updates_dropped_total");
    REQUIRE(dropped > 0);
    REQUIRE(dropped < services);
}

// Guards against a log collector that stops reading. When the pipe is full, a blocking write of the
// log's writer thread never returns, and SIGTERM has no effect until the kill. The gateway must
// keep answering, count the dropped lines and stop on SIGTERM.
TEST_CASE("A log reader that stops reading blocks neither requests nor the shutdown")
{
    const Endpoint callers{INADDR_LOOPBACK, freePort()};
    const Endpoint metrics{INADDR_LOOPBACK, freePort()};
    const std::string settings =
        writeSettings("front-1", {.store = {INADDR_LOOPBACK, 1}, .callers = callers});
    int pipe[2] = {-1, -1};
    REQUIRE(::pipe2(pipe, O_CLOEXEC) == 0);
    const pid_t child = startProgram(
        "wisteria-gateway", settings,
        {"--metrics-port", std::to_string(metrics.port), "--log-queue", "256"}, pipe[1]);
    ::close(pipe[1]);
    // Without a deadline a request is refused at once; with one it would wait for the store.
    const auto statusOf = [&callers](const std::string &id) {
        std::string request = requestFor("/x", id);
        constexpr std::string_view timeLeft = "Wisteriawind-Deadline-Ms: 3000\r\n";
        request.erase(request.find(timeLeft), timeLeft.size());
        return callServer(callers, request).status;
    };
    REQUIRE(eventually([&] { return statusOf("a") == 503; }));
    constexpr int requests = 2000;
    for (int i = 0; i < requests; ++i)
        REQUIRE(statusOf("a" + std::to_string(i)) == 503);
    const std::string scraped =
        callServer(metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body;
    REQUIRE(valueOf(scraped, "wisteria_log_lines_dropped") > 0);
    ::kill(child, SIGTERM);
    int status = 0;
    const bool ended = eventually([&] { return ::waitpid(child, &status, WNOHANG) == child; });
    if (!ended) {
        ::kill(child, SIGKILL);
        ::waitpid(child, &status, 0);
    }
    ::close(pipe[0]);
    REQUIRE(ended);
    REQUIRE(WIFEXITED(status));
}
