#include <catch2/catch.hpp>

#include "Gateway/RegistryEntries.h"
#include "Programs/Gateway/Exchange.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// Keeps the status of the answer.
class StatusSink : public AnswerSink
{
public:
    void answer(int status, const HttpFields &, std::string_view) override { status_ = status; }
    void beginStream(int, const HttpFields &) override { }
    void sendStream(std::string_view) override { }
    void endStream() override { }
    void abort() override { }
    std::size_t queuedBytes() const override { return 0; }

    /// 0 without an answer.
    int status() const { return status_; }

private:
    int status_ = 0;
};

/// The state of a gateway with one service "s" of two priorities, 0 with 10 slots and 1 with 5.
/// Its event loop does not run, so no send gets an answer.
struct IdleGateway
{
    IdleGateway()
    {
        ServiceConfiguration configuration;
        configuration.routes = {routeOf(0), routeOf(1)};
        configuration.services["s"].engine =
            EngineProfile{.slots = 10,
                          .stepsPerPass = 1,
                          .step = std::chrono::duration<double, std::milli>(100),
                          .stepPerRequest = std::chrono::duration<double, std::milli>(1),
                          .expertShare = 0};
        context.routes = std::make_shared<const RouteTable>(
            std::make_shared<const ServiceConfiguration>(configuration));
    }

    static RouteRule routeOf(std::uint32_t priority)
    {
        RouteRule route;
        route.priority = priority;
        route.kind = RequestKind::Streaming;
        route.resumable = true;
        route.maxAttempts = 3;
        route.targetLatency = milliseconds(400);
        route.targetGap = milliseconds(10);
        route.shares = {{"s", 1}};
        return route;
    }

    BackendState &addBackend(const std::string &id, std::uint32_t slots)
    {
        BackendEntry entry = entryOf(id);
        entry.slots = slots;
        putBackend(registry, entry, now);
        return registry.backends.at(id);
    }

    std::unique_ptr<Exchange> request(std::uint32_t priority)
    {
        return std::make_unique<Exchange>(
            context, sink, GatewayRequest{},
            Access{.route = &context.routes->configuration().routes[priority]}, "s", now);
    }

    TimePoint now = monotonicNow();
    EventLoop loop;
    EventLog log{"test", {.minLevel = LogLevel::Error}};
    Metrics metrics;
    HttpClientPool pool{loop};
    BackendRegistry registry;
    CrashDetector crashes{loop, registry, [](const ServerCrash &) {}};
    PoisonGuard poison{log, {}};
    StatusSink sink;
    int dispatchesSoon = 0;
    GatewayContext context{.loop = loop,
                           .log = log,
                           .metrics = metrics,
                           .pool = pool,
                           .registry = registry,
                           .crashes = crashes,
                           .poison = poison,
                           .retryQuota = {.ratio = 1, .baseRetries = 100, .window = seconds(10)},
                           .retryBuckets = {},
                           .failureDomain = "a",
                           .routes = nullptr,
                           .rereadBackends = [] {},
                           .dispatchSoon = [this] { ++dispatchesSoon; },
                           .dispatchNow = [] {}};
};

} // namespace

// Guards against a slot that goes to the oldest waiting request, whatever its priority, when a
// backoff or a permit interval ends.
TEST_CASE("A waiting request that may look for a slot again leaves the order to the dispatch")
{
    IdleGateway gateway;
    BackendState &backend = gateway.addBackend("1", 10);
    noteBackoff(gateway.registry, "1", gateway.now + milliseconds(50), gateway.now);
    const auto waiting = gateway.request(1);
    REQUIRE_FALSE(waiting->tryDispatch(gateway.now));
    waiting->checkTimeouts(gateway.now + milliseconds(25));
    REQUIRE(gateway.dispatchesSoon == 0);
    waiting->checkTimeouts(gateway.now + milliseconds(60));
    REQUIRE(gateway.dispatchesSoon == 1);
    REQUIRE(backend.ownInFlight == 0);
    REQUIRE(waiting->tryDispatch(gateway.now + milliseconds(60)));
    REQUIRE(backend.ownInFlight == 1);
}

// Guards against a burst that joins the queue without a bound and is refused late.
TEST_CASE("A request that finds a slot while many wait is refused at once when they take the slot")
{
    IdleGateway gateway;
    BackendState &backend = gateway.addBackend("1", 1);
    for (int i = 0; i < 20; ++i)
        joinQueue(gateway.context.admissionQueues["s"], 0, "");
    gateway.context.dispatchNow = [&backend] { backend.ownInFlight = 1; };
    const auto request = gateway.request(0);
    REQUIRE(request->tryDispatch(gateway.now));
    REQUIRE(gateway.sink.status() == 503);
}

// Guards against slots that stay free while requests are refused because of those that wait.
TEST_CASE("A request starts in a slot that is left when those ahead of it were dispatched")
{
    IdleGateway gateway;
    BackendState &backend = gateway.addBackend("1", 10);
    for (int i = 0; i < 20; ++i)
        joinQueue(gateway.context.admissionQueues["s"], 0, "");
    const auto request = gateway.request(0);
    REQUIRE(request->tryDispatch(gateway.now));
    REQUIRE(backend.ownInFlight == 1);
}

// Guards against requests that are ordered and counted differently when a priority is starved after
// its requests joined the queue.
TEST_CASE("A queued request is counted under the priority that it is dispatched with")
{
    IdleGateway gateway;
    gateway.addBackend("1", 1).ownInFlight = 1;
    const auto waiting = gateway.request(1);
    REQUIRE_FALSE(waiting->tryDispatch(gateway.now));
    const AdmissionQueue &queue = gateway.context.admissionQueues["s"];
    REQUIRE(queue.waiting.contains(1));
    PriorityCounts &counts = gateway.context.priorityCounts["s"];
    for (int i = 0; i < 10; ++i) {
        noteDecided(counts, 0, true, gateway.now);
        noteDecided(counts, 1, false, gateway.now);
    }
    waiting->admission().updateQueuedPriority(gateway.now);
    REQUIRE(queue.waiting.contains(0));
    REQUIRE_FALSE(queue.waiting.contains(1));
    waiting->admission().leave(gateway.now);
    REQUIRE(queue.waiting.empty());
}

// Guards against streams of the least urgent that move into slots reserved for urgent ones.
TEST_CASE("A stream moves off a slow backend server only within the limit of its priority")
{
    for (const std::uint32_t priority : {0U, 1U}) {
        IdleGateway gateway;
        BackendState &slow = gateway.addBackend("1", 10);
        const auto stream = gateway.request(priority);
        REQUIRE(stream->tryDispatch(gateway.now));
        BackendState &other = gateway.addBackend("2", 10);
        noteLoad(other, {.running = 7, .receivedAt = gateway.now}, 0.5);
        noteLoad(slow, {.running = 1, .receivedAt = gateway.now, .slowdown = 3}, 0.5);
        stream->checkTimeouts(gateway.now);
        CHECK(other.ownInFlight == (priority == 0 ? 1U : 0U));
    }
}
