#include "Process/FleetProbe.h"

#include <functional>

#include "Connection/FrameCodec.h"
#include "Connection/PeerClient.h"
#include "Process/EventLoop.h"

namespace wisteria {

namespace {

/// Maximum number of open connections; keeps an admin within the usual file descriptor limit.
constexpr std::size_t maxConnections = 256;

/// Stores the last message of a stream, which for a unary call is the answer.
class AnswerCollector : public PeerStreamHandler
{
public:
    AnswerCollector(std::optional<std::string> &answer, std::function<void()> done)
        : answer_(answer), done_(std::move(done))
    { }

    void frameReceived(const std::string &content) override { received_ = content; }

    void streamClosed(const StreamEnd &) override
    {
        // Frames carry their length, so a received frame is complete even if the stream broke off.
        answer_ = std::move(received_);
        done_();
    }

private:
    std::optional<std::string> &answer_;
    std::optional<std::string> received_;
    std::function<void()> done_;
};

/// Sends one message to each address and collects the answers that arrive before the timeout.
void callBatch(const std::vector<std::string> &addresses, const std::string &path,
               const std::string &frame, milliseconds timeout,
               std::vector<std::optional<std::string>> &answers)
{
    EventLoop loop;
    std::size_t open = 0;
    std::vector<std::unique_ptr<PeerClient>> clients;
    answers.assign(addresses.size(), std::nullopt);
    const auto done = [&] {
        if (--open == 0)
            loop.stop();
    };
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        clients.push_back(std::make_unique<PeerClient>(loop, addresses[i]));
        auto collector = std::make_shared<AnswerCollector>(answers[i], done);
        if (clients.back()->open(path, frame, std::move(collector)).has_value())
            ++open;
    }
    if (open == 0)
        return;
    loop.runAfter(timeout, [&] { loop.stop(); });
    loop.run();
}

/// Sends one message to each address, in batches of `maxConnections`.
std::vector<std::optional<std::string>> callAll(const std::vector<std::string> &addresses,
                                                const std::string &path,
                                                const google::protobuf::MessageLite &message,
                                                milliseconds timeout)
{
    std::string frame;
    appendFrame(frame, message);
    std::vector<std::optional<std::string>> all;
    for (std::size_t from = 0; from < addresses.size(); from += maxConnections) {
        const std::size_t to = std::min(addresses.size(), from + maxConnections);
        std::vector<std::optional<std::string>> answers;
        callBatch({addresses.begin() + static_cast<std::ptrdiff_t>(from),
                   addresses.begin() + static_cast<std::ptrdiff_t>(to)},
                  path, frame, timeout, answers);
        all.insert(all.end(), answers.begin(), answers.end());
    }
    return all;
}

} // namespace

std::vector<ProbeResult> probeFleet(const std::vector<std::string> &addresses,
                                    const v1::Heartbeat &own, milliseconds timeout)
{
    const auto answers = callAll(addresses, "/v1/heartbeat", own, timeout);
    std::vector<ProbeResult> results;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        ProbeResult result{addresses[i], std::nullopt};
        v1::Heartbeat heartbeat;
        if (answers[i] && heartbeat.ParseFromString(*answers[i]))
            result.heartbeat = std::move(heartbeat);
        results.push_back(std::move(result));
    }
    return results;
}

std::optional<v1::SnapshotRecord> fetchConfigFromPeers(const std::vector<std::string> &addresses,
                                                       std::uint64_t newerThan,
                                                       milliseconds timeout)
{
    v1::ConfigFetch fetch;
    fetch.set_newer_than(newerThan);
    std::optional<v1::SnapshotRecord> newest;
    for (const auto &answer : callAll(addresses, "/v1/config", fetch, timeout)) {
        v1::ConfigFetchReply reply;
        if (!answer || !reply.ParseFromString(*answer) || !reply.has_snapshot())
            continue;
        if (reply.snapshot().version() <= newerThan)
            continue;
        if (!newest || reply.snapshot().as_of() > newest->as_of())
            newest = std::move(*reply.mutable_snapshot());
    }
    return newest;
}

} // namespace wisteria
