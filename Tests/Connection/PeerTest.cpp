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

/// Answers by what the path asks for.
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
        if (path == "/cut") {
            server->reply(stream, framed(frame.body()), false);
            server->abort(stream);
        }
    }

    void streamCancelled(PeerStreamId) override { ++cancelled; }

    PeerServer *server = nullptr;
    int received = 0;
    int cancelled = 0;
};

/// Keeps what came and stops the loop at the end.
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

struct Pair
{
    Pair() : server(loop, service)
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

TEST_CASE("A request larger than a window is answered whole")
{
    Pair pair;
    PeerClient client(pair.loop, pair.address);
    const auto collector = std::make_shared<Collector>(pair.loop);
    const std::string body(300000, 'x');
    REQUIRE(client.open("/echo", framed(body), collector).has_value());
    pair.loop.run();
    REQUIRE(collector->end.has_value());
    CHECK(collector->end->complete);
    CHECK(collector->body == body);
}

// A caller would take half an answer for a whole one, if an agent's reset in the middle of a stream
// looked like its end: the agent aborts after the first bytes, and the entry must see a cut.
TEST_CASE("A stream that the peer aborts is seen as cut")
{
    Pair pair;
    PeerClient client(pair.loop, pair.address);
    const auto collector = std::make_shared<Collector>(pair.loop);
    REQUIRE(client.open("/cut", framed("half"), collector).has_value());
    pair.loop.run();
    CHECK_FALSE(collector->end->complete);
    CHECK(collector->end->mayHaveReached);
}

// "Not run" is only true with proof. Nobody listens, so no byte of the request left the process.
TEST_CASE("A request to a peer that refuses connections surely has not reached it")
{
    std::string address;
    {
        Pair gone;
        address = gone.address;
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

// A caller would wait until its deadline for a frozen agent: the kernel of a stopped process still
// acknowledges bytes. Here the peer's loop is never run, so nothing answers the PING.
TEST_CASE("A frozen peer's streams end after the silence limit")
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

TEST_CASE("A cancelled stream is reported to the service and not to its handler")
{
    Pair pair;
    PeerClient client(pair.loop, pair.address);
    const auto unwanted = std::make_shared<Collector>(pair.loop);
    const auto stream = client.open("/never", framed("x"), unwanted).value();
    const auto first = std::make_shared<Collector>(pair.loop);
    REQUIRE(client.open("/echo", framed("y"), first).has_value());
    pair.loop.run();
    client.cancel(stream);
    EventLoop &loop = pair.loop;
    const auto second = std::make_shared<Collector>(loop);
    REQUIRE(client.open("/echo", framed("z"), second).has_value());
    CHECK(pair.service.received == 2);
    CHECK_FALSE(unwanted->end.has_value());
}
