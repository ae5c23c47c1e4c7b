#include <atomic>
#include <future>
#include <vector>

#include <catch2/catch.hpp>

#include "Gateway/GatewayUnderTest.h"
#include "Gateway/LoggedGateway.h"
#include "Gateway/RegistryEntries.h"
#include "Request/AdmissionTimeouts.h"
#include "Request/RetryAfterPolicy.h"
#include "platform/StoreCodec.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr TimePoint start{seconds(100)};

/// Time from the store's acknowledgement to the last request to an evacuated domain, or to the
/// first one after the end of the evacuation.
constexpr milliseconds evacuationBound{5000};

/// Deadline of requests that wait for a slot during an evacuation. It is much longer than the
/// bound, so that none of them ends by its deadline before the evacuation is known.
constexpr milliseconds waitDeadline{60'000};

/// Returns a caller's request with this deadline.
std::string patientRequest(const std::string &target, const std::string &id)
{
    std::string request = requestFor(target, id);
    const std::string field = "Wisteriawind-Deadline-Ms: ";
    const std::size_t value = request.find(field) + field.size();
    return request.replace(value, request.find('\r', value) - value,
                           std::to_string(waitDeadline.count()));
}

/// Returns an entry of the service "s" in a failure domain.
BackendEntry entryIn(const std::string &domain, const std::string &id)
{
    BackendEntry entry = entryOf(id);
    entry.failureDomain = domain;
    return entry;
}

/// Returns a registry with the server "i-1" in the domain "a" and "i-2" in "b".
BackendRegistry twoDomains()
{
    BackendRegistry registry;
    putBackend(registry, entryIn("a", "i-1"), start);
    putBackend(registry, entryIn("b", "i-2"), start);
    return registry;
}

/// Returns the id of the chosen server; empty when there is none.
std::string chosen(BackendRegistry &registry, const BackendCriteria &criteria = criteriaOf())
{
    const BackendChoice choice = chooseBackend(registry, criteria, start, 0);
    return choice.backend == nullptr ? "" : choice.backend->entry.id;
}

NoBackendReason reasonOf(BackendRegistry &registry, const BackendCriteria &criteria)
{
    return chooseBackend(registry, criteria, start, 0).reason;
}

/// A server that holds each request until it is released. One that is not released in time gets no
/// answer, so that its call is not complete.
class HoldingServer
{
public:
    explicit HoldingServer(ScriptedServer::Script answer)
        : server_([this, answer = std::move(answer)](const SeenRequest &request, ScriptPeer &peer) {
              if (request.target().starts_with("/stream/"))
                  peer.send(streamHead(request) + chunk(eventText(1)));
              if (eventually([this] { return released_.load(); }, waitDeadline))
                  answer(request, peer);
          })
    { }

    ~HoldingServer() { release(); }
    HoldingServer(const HoldingServer &) = delete;
    HoldingServer &operator=(const HoldingServer &) = delete;

    void release() { released_ = true; }
    std::size_t count() const { return server_.count("/"); }
    const ScriptedServer &server() const { return server_; }

private:
    std::atomic<bool> released_ = false;
    ScriptedServer server_;
};

void endStream(const SeenRequest &, ScriptPeer &peer)
{
    peer.send(chunk(eventText(2)) + "0\r\n\r\n");
}

void answerHere(const SeenRequest &request, ScriptPeer &peer)
{
    peer.send(sealed(request, 200, "here"));
}

/// A gateway with records of evacuations.
class EvacuatingGateway : public GatewayUnderTest
{
public:
    /// Publishes a configuration with which requests wait for a slot until their deadline.
    EvacuatingGateway()
    {
        nlohmann::json configuration = configurationOf(1);
        for (auto &route : configuration["routes"]) {
            route["timeout_ms"] = waitDeadline.count();
            // A request waits for at most half of its target latency.
            route["target_latency_ms"] = 2 * waitDeadline.count();
        }
        store.put("keyed.op", "config", configuration);
    }

    void evacuate(const std::string &domain)
    {
        store.append("keyed.op", "evacuate/" + domain, "{}");
    }
    void restore(const std::string &domain) { store.append("keyed.op", "evacuate/" + domain, ""); }

    /// Waits until the gateway knows of so many evacuated domains.
    void waitForEvacuated(int domains) const
    {
        const std::string line = "\nwisteria_evacuated_domains " + std::to_string(domains) + "\n";
        REQUIRE(
            eventually([&] { return metrics().find(line) != std::string::npos; }, evacuationBound));
    }

    std::future<CallResult> callLater(const std::string &target, const std::string &id) const
    {
        return std::async(std::launch::async,
                          [this, target, id] { return call(patientRequest(target, id)); });
    }
};

} // namespace

// Guards against requests to an evacuated domain, and against an evacuation that has effects beyond
// its record.
TEST_CASE("No server of an evacuated domain is chosen until its evacuation ends")
{
    BackendRegistry registry = twoDomains();
    EvacuatedDomains &domains = registry.evacuatedDomains;
    REQUIRE(chosen(registry) == "i-1");
    REQUIRE(evacuateDomain(domains, "a", start));
    REQUIRE_FALSE(evacuateDomain(domains, "a", start + seconds(5)));
    REQUIRE(evacuateDomain(domains, "nowhere", start));
    REQUIRE(chosen(registry) == "i-2");
    REQUIRE(evacuateDomain(domains, "b", start));
    REQUIRE(chosen(registry).empty());
    REQUIRE(restoreDomain(domains, "a", start + seconds(7))->evacuatedFor == seconds(7));
    REQUIRE_FALSE(restoreDomain(domains, "a", start + seconds(7)));
    REQUIRE(chosen(registry) == "i-1");
}

// Guards against an evacuation that hides why no other server takes work: a request would be
// refused at once although a server opens or ends its backoff soon.
TEST_CASE("Evacuated is the reason only when no server of another domain has one")
{
    BackendRegistry registry = twoDomains();
    evacuateDomain(registry.evacuatedDomains, "a", start);
    BackendCriteria criteria = criteriaOf();
    criteria.tried = {"i-1", "i-2"};
    REQUIRE(reasonOf(registry, criteria) == NoBackendReason::AllTried);
    criteria.tried = {"i-1"};
    noteLoad(registry.backends.at("i-2"), {.receivedAt = start, .open = false}, 0);
    REQUIRE(reasonOf(registry, criteria) == NoBackendReason::NotOpen);
    noteBackoff(registry, "i-2", start + seconds(1), start);
    REQUIRE(reasonOf(registry, criteria) == NoBackendReason::BackingOff);
    noteDraining(registry, "i-2", start);
    REQUIRE(reasonOf(registry, criteria) == NoBackendReason::Evacuated);
}

// Guards against a request that waits for a permit that it must not use.
TEST_CASE("A permit is requested for a server outside the evacuated domain")
{
    BackendRegistry registry = twoDomains();
    for (const char *id : {"i-1", "i-2"})
        noteAdvertisedLimit(registry.limits, id, {.perSecond = 1, .receivedAt = start});
    REQUIRE(chooseBackend(registry, criteriaOf(), start, 0).preferredAtLimit == "i-1");
    evacuateDomain(registry.evacuatedDomains, "a", start);
    REQUIRE(chooseBackend(registry, criteriaOf(), start, 0).preferredAtLimit == "i-2");
}

// Guards against callers that wait, or come back at once, while all domains are evacuated.
TEST_CASE("A request that only evacuated servers could take does not wait, nor is retried early")
{
    const QueuedRequest request{
        .arrived = start, .deadline = start + seconds(9), .targetLatency = seconds(9)};
    REQUIRE(queueTimeoutAt({}, NoBackendReason::Evacuated, request) == start);
    const RetryAfterPolicy policy;
    REQUIRE(retryAfterFor(policy, NoBackendReason::Evacuated, milliseconds(0), 0)
            == policy.stalled);
}

// Guards against a domain that stays evacuated because its deletion is not in the new snapshot, and
// against a misspelt domain that nobody notices.
TEST_CASE("A snapshot ends the evacuations that it lacks, and an unknown domain is reported once")
{
    EvacuatedDomains domains;
    evacuateDomain(domains, "a", start);
    evacuateDomain(domains, "b", start);
    const auto restored = restoreOtherDomains(domains, {"b"}, start + seconds(2));
    REQUIRE(restored.size() == 1);
    REQUIRE(restored.front().domain == "a");
    REQUIRE(restored.front().evacuatedFor == seconds(2));
    REQUIRE(domains.contains("b"));
    const auto none = [](const std::string &) { return false; };
    REQUIRE(takeUnknownDomains(domains, none) == std::vector<std::string>{"b"});
    REQUIRE(takeUnknownDomains(domains, none).empty());
}

// Guards against requests to a domain whose record has a value that can't be read.
TEST_CASE("Only the key of an evacuation record decides")
{
    const auto decoded = [](const std::string &key, const std::string &value) {
        return platform::decodeEvacuation({.key = key, .value = value});
    };
    REQUIRE(decoded("evacuate/a/b", "{}")->domain == "a/b");
    REQUIRE(decoded("evacuate/a", "{}")->readable);
    REQUIRE(decoded("evacuate/a", "{")->evacuated);
    REQUIRE_FALSE(decoded("evacuate/a", "{")->readable);
    REQUIRE_FALSE(decoded("evacuate/a", "")->evacuated);
    REQUIRE(decoded("evacuate/", "{}")->domain.empty());
    REQUIRE_FALSE(decoded("evacuated/a", "{}"));
    REQUIRE_FALSE(decoded("config", "{}"));
}

// Guards against a waiting request that takes a slot that becomes free in an evacuated domain, and
// against streams that are cut off or moved by the evacuation.
TEST_CASE("On an evacuation waiting requests go elsewhere and running streams end where they are")
{
    constexpr std::size_t slots = 4;
    HoldingServer left(endStream);
    HoldingServer other(endStream);
    EvacuatingGateway gateway;
    gateway.addBackend("m-1", "model", left.server());
    gateway.addBackend("m-2", "model", other.server(), "ready", "b");
    gateway.waitUntilReady();
    std::vector<std::future<CallResult>> streams;
    for (std::size_t i = 0; i < 2 * slots; ++i)
        streams.push_back(gateway.callLater("/stream/x", "a" + std::to_string(i)));
    REQUIRE(eventually([&] { return left.count() == slots && other.count() == slots; }));
    streams.push_back(gateway.callLater("/stream/x", "waits"));
    REQUIRE(eventually([&] {
        return gateway.metrics().find("\nwisteria_waiting_requests 1\n") != std::string::npos;
    }));
    gateway.evacuate("a");
    gateway.waitForEvacuated(1);
    left.release();
    // Its four streams end; the request that waits must not follow them.
    REQUIRE(eventually([&] {
        return gateway.metrics().find("\nwisteria_open_requests 5\n") != std::string::npos;
    }));
    other.release();
    for (auto &stream : streams) {
        const CallResult result = stream.get();
        REQUIRE(result.whole);
        REQUIRE(result.body == eventText(1) + eventText(2));
    }
    REQUIRE(left.count() == slots);
    REQUIRE(other.count() == slots + 1);
}

// Guards against callers that wait for a slot until their deadline although no server may take
// their requests, and against a domain that gets no requests after the end of its evacuation.
TEST_CASE("With all domains evacuated, waiting and new requests are refused with a Retry-After")
{
    HoldingServer server(answerHere);
    EvacuatingGateway gateway;
    gateway.addBackend("i-1", "plain", server.server());
    gateway.waitUntilReady();
    std::vector<std::future<CallResult>> running;
    for (int i = 0; i < 4; ++i)
        running.push_back(gateway.callLater("/again/x", "a" + std::to_string(i)));
    REQUIRE(eventually([&] { return server.count() == 4; }));
    auto waiting = gateway.callLater("/again/x", "waits");
    REQUIRE(eventually([&] {
        return gateway.metrics().find("\nwisteria_waiting_requests 1\n") != std::string::npos;
    }));
    gateway.evacuate("a");
    gateway.evacuate("b");
    gateway.waitForEvacuated(2);
    for (const CallResult &refused :
         {waiting.get(), gateway.call(patientRequest("/once/x", "new"))}) {
        REQUIRE(refused.status == 503);
        REQUIRE(std::stod(refused.header("Retry-After")) >= 1);
    }
    REQUIRE(eventually([&] {
        return gateway.metrics().find(
                   "\nwisteria_requests_total{end=\"refused\",reason=\"the domains "
                   "of all backend servers are evacuated\",service=\"plain\"} 2\n")
            != std::string::npos;
    }));
    server.release();
    for (auto &call : running)
        REQUIRE(call.get().status == 200);
    REQUIRE(server.count() == 4);
    gateway.restore("a");
    gateway.waitForEvacuated(1);
    REQUIRE(gateway.call(requestFor("/once/x", "b1")).status == 200);
}

// Guards against a gateway that sends to evacuated domains after its start.
TEST_CASE("A gateway that starts knows the evacuations before it takes requests")
{
    ScriptedServer left(answerHere);
    ScriptedServer other(answerHere);
    EvacuatingGateway gateway;
    gateway.evacuate("a");
    gateway.addBackend("i-1", "plain", left);
    gateway.addBackend("i-2", "plain", other, "ready", "b");
    gateway.start();
    for (int i = 0; i < 20; ++i)
        REQUIRE(gateway.callUntil(requestFor("/again/x", "a" + std::to_string(i)), 200).status
                == 200);
    REQUIRE(left.count("/") == 0);
    REQUIRE(other.count("/") >= 20);
}

// Guards against an evacuation that lasts until the gateway's restart, because its deletion was
// written while the gateway could not reach the store, or because the store lost its history.
TEST_CASE("A deletion that was missed during a link cut ends the evacuation")
{
    const bool historyLost = GENERATE(false, true);
    ScriptedServer left(answerHere);
    ScriptedServer other(answerHere);
    EvacuatingGateway gateway;
    gateway.evacuate("a");
    gateway.evacuate("b");
    gateway.addBackend("i-1", "plain", left);
    gateway.addBackend("i-2", "plain", other, "ready", "b");
    gateway.waitUntilReady();
    REQUIRE(gateway.call(requestFor("/again/x", "a1")).status == 503);
    const std::size_t readsBefore = gateway.store.readsOf("keyed.op");
    gateway.store.setSilent(true);
    REQUIRE(eventually([&] { return gateway.store.readsOf("keyed.op") >= readsBefore + 2; }));
    gateway.restore("a");
    if (historyLost)
        gateway.store.forgetHistory();
    REQUIRE(gateway.call(requestFor("/again/x", "a2")).status == 503);
    gateway.store.setSilent(false);
    gateway.waitForEvacuated(1);
    REQUIRE(gateway.call(requestFor("/again/x", "a3")).status == 200);
    REQUIRE(left.count("/") == 1);
    REQUIRE(other.count("/") == 0);
}

// Guards against evacuations that are forgotten in an outage of the store, and against records
// written during the outage that are not applied after it.
TEST_CASE("An outage of the store changes no evacuation, and the next records apply after it")
{
    ScriptedServer left(answerHere);
    ScriptedServer other(answerHere);
    EvacuatingGateway gateway;
    gateway.evacuate("a");
    gateway.addBackend("i-1", "plain", left);
    gateway.addBackend("i-2", "plain", other, "ready", "b");
    gateway.waitUntilReady();
    gateway.store.setUnavailable(true);
    // The store holds the current read for a while and fails the next one.
    REQUIRE(eventually(
        [&] {
            REQUIRE(gateway.call(requestFor("/again/x", "a1")).status == 200);
            return gateway.metrics().find(
                       "\nwisteria_store_calls_total{result=\"failed\",what=\"configuration\"} ")
                != std::string::npos;
        },
        seconds(30)));
    REQUIRE(gateway.call(requestFor("/again/x", "a2")).status == 200);
    REQUIRE(left.count("/") == 0);
    gateway.evacuate("b");
    gateway.store.setUnavailable(false);
    gateway.waitForEvacuated(2);
    REQUIRE(gateway.call(requestFor("/again/x", "a3")).status == 503);
}

// Guards against an operator who can't see from the log that a record had no effect, or an effect
// other than intended.
TEST_CASE("The log names evacuations, their ends, unknown domains and bad records")
{
    ScriptedServer server(answerHere);
    StoreStandIn store;
    store.put("keyed.op", "config", configurationOf(1));
    store.append("keyed.op", "evacuate/nowhere", "{}");
    store.put("keyed.servers", "i-1",
              {{"service", "plain"},
               {"address", toText(server.endpoint())},
               {"zone", "a"},
               {"slot_count", 4},
               {"state", "ready"}});
    const LoggedGateway gateway(store.endpoint());
    REQUIRE_FALSE(gateway.waitForLine("domain.unknown", "domain", "nowhere").is_null());
    store.append("keyed.op", "evacuate/", "{}");
    store.append("keyed.op", "evacuate/a", "no JSON");
    REQUIRE_FALSE(gateway.waitForLine("domain.bad_record", "key", "evacuate/").is_null());
    REQUIRE_FALSE(gateway.waitForLine("domain.bad_record", "key", "evacuate/a").is_null());
    REQUIRE_FALSE(gateway.waitForLine("domain.evacuated", "domain", "a").is_null());
    REQUIRE(callServer(gateway.callers(), requestFor("/again/x", "a1")).status == 503);
    store.append("keyed.op", "evacuate/a", "");
    REQUIRE(gateway.waitForLine("domain.restored", "domain", "a").value("evacuated_s", -1.0) >= 0);
    REQUIRE(gateway.line("domain.unknown", "domain", "a").is_null());
    REQUIRE(gateway.line("domain.evacuated", "domain", "").is_null());
}
