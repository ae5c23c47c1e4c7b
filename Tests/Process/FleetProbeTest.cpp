#include "Process/FleetProbe.h"

#include <thread>

#include <catch2/catch.hpp>

#include "Connection/FrameCodec.h"
#include "Connection/PeerServer.h"

using namespace wisteria;

namespace {

/// A process of the fleet: answers with its version, or never if frozen.
class FleetMember : public PeerService
{
public:
    FleetMember(std::uint64_t version, bool frozen) : version_(version), frozen_(frozen)
    {
        address = server_.listen("127.0.0.1:0").value();
        thread_ = std::thread([this] { loop_.run(); });
    }
    ~FleetMember() override
    {
        loop_.stop();
        thread_.join();
    }

    void requestReceived(PeerStreamId stream, const std::string &path,
                         std::vector<std::string>) override
    {
        if (frozen_)
            return;
        std::string frame;
        if (path == "/v1/heartbeat") {
            v1::Heartbeat heartbeat;
            heartbeat.set_process("p" + std::to_string(version_));
            heartbeat.set_config_version(version_);
            appendFrame(frame, heartbeat);
        } else {
            v1::ConfigFetchReply reply;
            reply.mutable_snapshot()->set_version(version_);
            reply.mutable_snapshot()->set_as_of(version_ + 1);
            appendFrame(frame, reply);
        }
        server_.reply(stream, frame, true);
    }
    void streamCancelled(PeerStreamId) override { }

    std::string address;

private:
    std::uint64_t version_;
    bool frozen_;
    EventLoop loop_;
    PeerServer server_{loop_, *this};
    std::thread thread_;
};

} // namespace

// An operator requests the fleet's status while one process does not respond and another has
// stopped. The answers of the others must still be returned, within the timeout.
TEST_CASE("A probe returns the other heartbeats if one process is frozen and another has stopped")
{
    const FleetMember behind(4, false);
    const FleetMember current(9, false);
    const FleetMember frozen(9, true);
    std::string gone;
    {
        const FleetMember left(1, false);
        gone = left.address;
    }
    const std::vector<std::string> addresses = {behind.address, gone, frozen.address,
                                                current.address};
    const auto results = probeFleet(addresses, v1::Heartbeat(), milliseconds(400));
    REQUIRE(results.size() == 4);
    REQUIRE(results[0].heartbeat);
    CHECK(results[0].heartbeat->config_version() == 4);
    CHECK_FALSE(results[1].heartbeat);
    CHECK_FALSE(results[2].heartbeat);
    REQUIRE(results[3].heartbeat);
    CHECK(results[3].heartbeat->process() == "p9");
    CHECK(fetchConfigFromPeers(addresses, 4, milliseconds(400))->as_of() == 10);
    CHECK_FALSE(fetchConfigFromPeers(addresses, 9, milliseconds(400)));
}
