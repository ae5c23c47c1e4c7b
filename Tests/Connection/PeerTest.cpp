#include "Connection/PeerClient.h"
#include "Connection/PeerServer.h"

#include <map>
#include <optional>

#include <catch2/catch.hpp>

#include "Connection/FrameCodec.h"
#include "Peer.pb.h"

using namespace wisteria;

namespace {

std::string framed(const std::string &body)
{
    v1::RunFrame frame;
    frame.set_body(body);
    std::string out;
    appendFrame(out, frame);
    return out;
}

/// The path of a request selects the answer: an echo, an aborted echo or none.
class EchoService : public PeerService
{
public:
    void requestReceived(PeerStreamId stream, const std::string &path,
                         std::vector<std::string> frames) override
    {
        ++received;
        v1::RunFrame frame;
        frame.ParseFromString(frames.at(0));
        if (path == "/echo")
            server->reply(stream, framed(frame.body()), true);
        if (path == "/aborted") {
            server->reply(stream, framed(frame.body()), false);
            server->abort(stream);
        }
    }

    void streamCancelled(PeerStreamId) override { ++cancelled; }

    PeerServer *server = nullptr;
    int received = 0;
    int cancelled = 0;
};

/// Stores the answer and stops the loop at its end.
class Collector : public PeerStreamHandler
{
public:
    explicit Collector(EventLoop &loop) : loop_(loop) { }

    void frameReceived(const std::string &content) override
    {
        v1::RunFrame frame;
        frame.ParseFromString(content);
        body += frame.body();
    }

    void streamClosed(const StreamEnd &closed) override
    {
        end = closed;
        loop_.stop();
    }

    std::string body;
    std::optional<StreamEnd> end;

private:
    EventLoop &loop_;
};

struct ServerFixture
{
    ServerFixture() : server(loop, service)
    {
        service.server = &server;
        address = server.listen("127.0.0.1:0").value();
    }

    EventLoop loop;
    EchoService service;
    PeerServer server;
    std::string address;
};

} // namespace

TEST_CASE("A request larger than the flow control window gets a complete answer")
{
    ServerFixture fixture;
    PeerClient client(fixture.loop, fixture.address);
    const auto collector = std::make_shared<Collector>(fixture.loop);
    const std::string body(300000, 'x');
    REQUIRE(client.open("/echo", framed(body), collector).has_value());
    fixture.loop.run();
    REQUIRE(collector->end.has_value());
    CHECK(collector->end->complete);
    CHECK(collector->body == body);
}

// Failure: a caller takes half an answer for a complete one. An agent resets a stream after the
// first bytes of the answer, and the entry takes the reset for the regular end.
TEST_CASE("A stream that the peer aborts ends as incomplete")
{
    ServerFixture fixture;
    PeerClient client(fixture.loop, fixture.address);
    const auto collector = std::make_shared<Collector>(fixture.loop);
    REQUIRE(client.open("/aborted", framed("half"), collector).has_value());
    fixture.loop.run();
    CHECK_FALSE(collector->end->complete);
    CHECK(collector->end->mayHaveReached);
}

// A request counts as not run only when that is certain. Here no process listens, so no byte of the
// request is sent.
TEST_CASE("A request to a peer that refuses connections is reported as not received")
{
    std::string address;
    {
        ServerFixture stopped;
        address = stopped.address;
    }
    EventLoop loop;
    PeerClient client(loop, address);
    const auto collector = std::make_shared<Collector>(loop);
    if (client.open("/echo", framed("x"), collector).has_value()) {
        loop.run();
        CHECK_FALSE(collector->end->mayHaveReached);
    }
    CHECK(client.open("/echo", framed("x"), collector).error().kind == ErrorKind::Unavailable);
}

// Failure: a caller waits for a frozen agent until its deadline, because the kernel of a stopped
// process still acknowledges bytes. Here the peer's loop doesn't run, so the PING gets no answer.
TEST_CASE("The streams of a frozen peer end after the silence timeout")
{
    EventLoop frozenLoop;
    EchoService service;
    PeerServer frozen(frozenLoop, service);
    const std::string address = frozen.listen("127.0.0.1:0").value();
    EventLoop loop;
    PeerTimeouts timeouts;
    timeouts.ping = milliseconds(20);
    timeouts.silence = milliseconds(60);
    PeerClient client(loop, address, timeouts);
    const auto collector = std::make_shared<Collector>(loop);
    REQUIRE(client.open("/echo", framed("x"), collector).has_value());
    loop.run();
    CHECK_FALSE(collector->end->complete);
    CHECK(collector->end->mayHaveReached);
}

TEST_CASE("The handler of a cancelled stream is not called")
{
    ServerFixture fixture;
    PeerClient client(fixture.loop, fixture.address);
    const auto cancelledCollector = std::make_shared<Collector>(fixture.loop);
    const auto stream = client.open("/never", framed("x"), cancelledCollector).value();
    const auto first = std::make_shared<Collector>(fixture.loop);
    REQUIRE(client.open("/echo", framed("y"), first).has_value());
    fixture.loop.run();
    client.cancel(stream);
    EventLoop &loop = fixture.loop;
    const auto second = std::make_shared<Collector>(loop);
    REQUIRE(client.open("/echo", framed("z"), second).has_value());
    CHECK(fixture.service.received == 2);
    CHECK_FALSE(cancelledCollector->end.has_value());
}
