#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "Gateway/BrokenAnswers.h"
#include "Gateway/EngineVm.h"
#include "Gateway/GatewayUnderTest.h"
#include "Gateway/RegistryEntries.h"
#include "Request/MoveDecision.h"
#include "Request/ServerSilence.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// Callers leave a silent stream after two seconds.
constexpr milliseconds callerPatience{2000};

/// A gateway with two engines of the service "model" and a route of each kind to it.
struct EnginePair
{
    explicit EnginePair(const EngineVm::Run &run) : first(0x7F000003, run), second(0x7F000004, run)
    {
        nlohmann::json configuration = configurationOf(1);
        configuration["services"] = {
            {{"name", "model"},
             {"engine",
              {{"slot_count", 4}, {"sets", 1}, {"experts", 4}, {"places", 2}, {"spare", 1}}}}};
        configuration["routes"].push_back(routeOf("/job/", "idempotent", "model", false));
        configuration["routes"].push_back(routeOf("/order/", "non_idempotent", "model", false));
        gateway.store.put("keyed.op", "config", configuration);
        for (EngineVm *vm : {&first, &second}) {
            gateway.store.put("keyed.servers", vm == &first ? "i-1" : "i-2",
                              listEntryOf("model", vm->endpoint()));
            vm->reportTo(gateway.messageEndpoint());
        }
        gateway.waitUntilReady();
    }

    std::size_t runs() const { return first.runs() + second.runs(); }

    EngineVm first;
    EngineVm second;
    GatewayUnderTest gateway;
};

/// Sends the events of a stream from the one after Last-Event-Id to the third.
void sendEvents(const SeenRequest &request, ScriptPeer &peer, int upTo = 3)
{
    const std::string last = request.header("Last-Event-Id");
    for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= upTo; ++id)
        peer.send(chunk(eventText(id)));
}

void sendStream(const SeenRequest &request, ScriptPeer &peer)
{
    peer.send(streamHead(request));
    sendEvents(request, peer);
    peer.send("0\r\n\r\n");
}

const std::string wholeStream = eventText(1) + eventText(2) + eventText(3);

/// A server that falls silent with its VM, its network included, once it has read a request.
class DarkServer
{
public:
    DarkServer() : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address_);
        auto *address = reinterpret_cast<sockaddr *>(&address_);
        REQUIRE(::bind(listener_, address, size) == 0);
        REQUIRE(::listen(listener_, 0) == 0);
        REQUIRE(::getsockname(listener_, address, &size) == 0);
        thread_ = std::thread([this] { serve(); });
    }

    ~DarkServer()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
        for (const int descriptor : descriptors_)
            ::close(descriptor);
    }

    DarkServer(const DarkServer &) = delete;
    DarkServer &operator=(const DarkServer &) = delete;

    Endpoint endpoint() const { return {INADDR_LOOPBACK, ntohs(address_.sin_port)}; }

    std::atomic<bool> dark = false;

private:
    void serve()
    {
        descriptors_.push_back(::accept(listener_, nullptr, nullptr));
        char bytes[4096];
        if (::recv(descriptors_.back(), bytes, sizeof(bytes), 0) <= 0)
            return;
        // With a full queue the kernel drops further opening packets.
        for (int i = 0; i < 4; ++i) {
            descriptors_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            ::connect(descriptors_.back(), reinterpret_cast<const sockaddr *>(&address_),
                      sizeof(address_));
        }
        dark = true;
    }

    int listener_;
    sockaddr_in address_{};
    std::vector<int> descriptors_;
    std::thread thread_;
};

BackendState stateAt(TimePoint now)
{
    BackendState state;
    state.entry = entryOf("i-1");
    state.answeredAt = now;
    return state;
}

} // namespace

// Guards against streams that wait at a frozen VM until their callers leave, and run for nobody
// when it wakes.
TEST_CASE("A stream at a server whose VM freezes goes on at another one before its caller leaves")
{
    const int eventsBefore = GENERATE(0, 1);
    std::atomic<bool> frozen = false;
    EnginePair engines([&](EngineVm &vm, const SeenRequest &request, ScriptPeer &peer) {
        if (frozen.exchange(true)) {
            sendStream(request, peer);
            return;
        }
        if (eventsBefore > 0) {
            peer.send(streamHead(request));
            sendEvents(request, peer, eventsBefore);
        }
        vm.setFrozen(true);
    });
    const TimePoint begun = monotonicNow();
    const CallResult answer = engines.gateway.call(requestFor("/stream/x", "a1"));
    CHECK(monotonicNow() - begun < callerPatience);
    CHECK(answer.status == 200);
    CHECK(answer.whole);
    CHECK(answer.body == wholeStream);
    CHECK(engines.first.runs() == 1);
    CHECK(engines.second.runs() == 1);
}

// Guards against the same on other kinds of route, and against a second run of a request that may
// run once.
TEST_CASE("Only a request that may run again leaves a server whose VM freezes")
{
    std::atomic<bool> frozen = false;
    EnginePair engines([&](EngineVm &vm, const SeenRequest &request, ScriptPeer &peer) {
        if (frozen.exchange(true))
            peer.send(sealed(request, 200, "done"));
        else
            vm.setFrozen(true);
    });
    const bool mayRunAgain = GENERATE(true, false);
    const std::string target = mayRunAgain ? "/job/x" : "/order/x";
    CHECK(engines.gateway.call(requestFor(target, "a1")).status == (mayRunAgain ? 200 : 504));
    CHECK(engines.runs() == (mayRunAgain ? 2 : 1));
}

// Guards against work that is moved off sound servers, and run twice, because reports are late.
TEST_CASE("A request stays at a slow server whose sidecar alone is silent")
{
    EnginePair engines([](EngineVm &vm, const SeenRequest &request, ScriptPeer &peer) {
        vm.setSidecarSilent(true);
        peer.waitForEnd();
        sendStream(request, peer);
    });
    CHECK(engines.gateway.call(requestFor("/stream/x", "a1")).body == wholeStream);
    CHECK(engines.runs() == 1);
    // It is found sound by checks, and not by many.
    const std::size_t checks = engines.first.reportReads() + engines.second.reportReads();
    CHECK(checks >= 1);
    CHECK(checks <= 6);
}

// Guards against requests that wait at a server in trouble, because bytes that are no answer to a
// check are taken for a sign of life.
TEST_CASE("A request leaves a server whose answers to checks are broken")
{
    const RawAnswer broken = GENERATE(from_range(std::vector<RawAnswer>{
        answersWithImpossibleStatus().front(), answersWithBadFields().front(),
        answersThatEndInHead().at(10), answersInOtherCodings().front()}));
    CAPTURE(broken.name);
    std::atomic<bool> inTrouble = false;
    EnginePair engines([&](EngineVm &vm, const SeenRequest &request, ScriptPeer &peer) {
        if (inTrouble.exchange(true)) {
            sendStream(request, peer);
            return;
        }
        vm.setSidecarSilent(true);
        vm.setReport(bytesFor(broken, request));
        peer.waitForEnd();
        peer.close();
    });
    const TimePoint begun = monotonicNow();
    CHECK(engines.gateway.call(requestFor("/stream/x", "a1")).body == wholeStream);
    CHECK(monotonicNow() - begun < callerPatience);
    CHECK(engines.runs() == 2);
}

// Guards against checks and moves where only an answer is slow.
TEST_CASE("A request stays at a slow server whose sidecar reports, without a check")
{
    EnginePair engines([](EngineVm &, const SeenRequest &request, ScriptPeer &peer) {
        peer.waitForEnd();
        sendStream(request, peer);
    });
    CHECK(engines.gateway.call(requestFor("/stream/x", "a1")).body == wholeStream);
    CHECK(engines.runs() == 1);
    CHECK(engines.first.reportReads() + engines.second.reportReads() == 0);
}

// Guards against requests that go on to a frozen VM, which seems to have no other work.
TEST_CASE("New requests avoid a server that has fallen silent until it shows a sign of life")
{
    std::atomic<bool> frozen = false;
    EnginePair engines([&](EngineVm &vm, const SeenRequest &request, ScriptPeer &peer) {
        if (!frozen.exchange(true))
            vm.setFrozen(true);
        if (!vm.engineSilent())
            sendStream(request, peer);
    });
    REQUIRE(engines.gateway.call(requestFor("/stream/x", "a0")).body == wholeStream);
    EngineVm &silent = engines.first.engineSilent() ? engines.first : engines.second;
    for (int i = 1; i <= 8; ++i) {
        const std::string id = "a" + std::to_string(i);
        CHECK(engines.gateway.call(requestFor("/stream/x", id)).body == wholeStream);
    }
    CHECK(silent.runs() == 1);
    silent.setFrozen(false);
    int sent = 0;
    REQUIRE(eventually([&] {
        engines.gateway.call(requestFor("/stream/x", "b" + std::to_string(++sent)));
        return silent.runs() > 1;
    }));
}

// Guards against requests that wait out their deadline at a server without a sidecar whose VM has
// fallen silent.
TEST_CASE("A request leaves a plain server that accepts no connection any more")
{
    DarkServer dark;
    ScriptedServer sound([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "sound"));
    });
    GatewayUnderTest gateway;
    gateway.configure();
    gateway.store.put("keyed.servers", "i-1", listEntryOf("plain", dark.endpoint()));
    gateway.waitUntilReady();
    auto answer =
        std::async(std::launch::async, [&] { return gateway.call(requestFor("/again/x", "a1")); });
    REQUIRE(eventually([&] { return dark.dark.load(); }));
    gateway.addBackend("i-2", "plain", sound);
    CHECK(answer.get().body == "sound");
}

// Guards against wrong conclusions from what is known of a server.
TEST_CASE("A server is suspected of silence only without any sign of life since the send")
{
    const TimePoint start = monotonicNow();
    const TimePoint later = start + silenceBeforeCheck;
    BackendState state = stateAt(start);
    CHECK(isSilenceSuspected(state, start, later));
    CHECK_FALSE(isSilenceSuspected(state, start, later - milliseconds(1)));
    CHECK_FALSE(isSilenceSuspected(state, start + milliseconds(1), later));
    noteLoad(state, {.receivedAt = start + milliseconds(1), .engineAnswers = false}, 0);
    CHECK(isSilenceSuspected(state, start, later));
    noteLoad(state, {.receivedAt = start + milliseconds(1), .open = false}, 0);
    CHECK_FALSE(isSilenceSuspected(state, start, later));
}

// Guards against servers that count as silent although they have come back, or for ever.
TEST_CASE("A sign of life ends the silence of a server, and so does time")
{
    const TimePoint start = monotonicNow();
    RouteRule route;
    route.kind = RequestKind::Idempotent;
    BackendState state = stateAt(start);
    noteSilent(state, start);
    CHECK(moveCauseOf(state, route, start, seconds(1)) == MoveCause::Silent);
    CHECK_FALSE(isMoveTarget(state, start, seconds(1)));
    CHECK_FALSE(isSilent(state, start + silentTime));
    noteLoad(state, {.receivedAt = start, .engineAnswers = false}, 0);
    CHECK(isSilent(state, start));
    noteLoad(state, {.receivedAt = start}, 0);
    CHECK_FALSE(isSilent(state, start));
    noteSilent(state, start);
    noteSignOfLife(state, start);
    CHECK(moveCauseOf(state, route, start, seconds(1)) == MoveCause::None);
    route.kind = RequestKind::NonIdempotent;
    noteSilent(state, start);
    CHECK(moveCauseOf(state, route, start, seconds(1)) == MoveCause::None);
}
