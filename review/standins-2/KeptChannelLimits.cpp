#include "PlainRunner.h"

namespace review {

namespace {

constexpr int channels = 12;
constexpr std::size_t smallLimit = 65536;
constexpr std::size_t largeLimit = 1048576;
constexpr std::size_t longBody = 150000;

} // namespace

CaseResult runKeptChannelLimits(const CaseOptions &options, Record &record)
{
    const std::string ip = freeLoopbackAddress();
    Store store(ip);
    std::atomic<int> runs = 0;
    PlainRunner runner(ip, "i-1", store, [&](PlainRunner &, Peer &peer, const Message &request) {
        const std::string id = request.field("Wisteriawind-Attempt-Id");
        ++runs;
        record.line("runner runs " + id + ", body of " + std::to_string(request.body.size())
                    + " bytes");
        peer.send(response(200, "OK",
                           {{"Wisteriawind-Attempt-Id", id},
                            {"Wisteriawind-Response-Seal", "s1"},
                            {"Keep-Alive", "timeout=5"}},
                           "done"));
    });
    store.put("keyed.op", "config",
              plainConfiguration(10, options.trouble ? smallLimit : largeLimit, "tenant-one"));
    Gateway gateway(options, "front-1", ip, ip + ":" + std::to_string(store.port()));
    if (!gateway.ready())
        return couldNotRun;

    const auto ask = [&](Peer &peer, const std::string &id, std::size_t bytes) {
        peer.send(requestText("POST", "/locker/confirm", id, {{"Wisteriawind-Deadline-Ms", "1500"}},
                              std::string(bytes, 'x')));
        const auto answer = peer.read(milliseconds(3000));
        const int status = answer ? answer->status() : 0;
        record.line("caller sent " + id + ", body of " + std::to_string(bytes) + " bytes, and got "
                    + std::to_string(status));
        return status;
    };
    std::vector<std::unique_ptr<Peer>> kept;
    for (int i = 0; i < channels; ++i) {
        kept.push_back(connectTo(ip, gateway.place().callers, milliseconds(1000)));
        if (!kept.back() || ask(*kept.back(), "first-" + std::to_string(i), 600) != 200)
            return couldNotRun;
    }
    if (options.trouble) {
        store.put("keyed.op", "config", plainConfiguration(13, largeLimit, "tenant-one"));
        record.line("the store acknowledged version 13: max_body_bytes 1048576 instead of 65536");
    }
    // Twice config_apply_ms, within four fifths of idle_timeout_ms.
    for (int second = 0; second < 4; ++second) {
        std::this_thread::sleep_for(milliseconds(1000));
        runner.beat();
    }
    const auto fresh = connectTo(ip, gateway.place().callers, milliseconds(1000));
    if (!fresh || ask(*fresh, "fresh", longBody) != 200)
        return couldNotRun;
    int denied = 0;
    for (int i = 0; i < channels; ++i) {
        const int status =
            ask(*kept[static_cast<std::size_t>(i)], "kept-" + std::to_string(i), longBody);
        denied += status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
    }
    const int sent = 2 * channels + 1;
    record.line("requests " + std::to_string(sent) + ", runs " + std::to_string(runs.load())
                + ", ended with a 4xx of the gateway " + std::to_string(denied));
    return denied > 5 + sent / 500 ? broken : held;
}

} // namespace review
