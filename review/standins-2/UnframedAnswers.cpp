#include "PlainRunner.h"

namespace review {

namespace {

constexpr int callers = 24;
/// One of them crashes: a share of 0.167.
constexpr int runnerCount = 6;
constexpr milliseconds runTime{250};
constexpr milliseconds pauseTime{150};
constexpr milliseconds heartbeat{1200};
/// The duration of srv_crash on the small deployments.
constexpr milliseconds downTime{4500};
/// Three silent heartbeat intervals.
constexpr milliseconds expiryTime{3600};

/// Answers with the whole body, without a length; the answer ends with its channel.
void answerUnframed(Record &record, PlainRunner &runner, Peer &peer, const Message &request)
{
    const std::string id = request.field("Wisteriawind-Attempt-Id");
    record.line(runner.id() + " runs " + id);
    if (peer.closedWithin(runTime))
        return;
    peer.send("HTTP/1.1 200 OK\r\nWisteriawind-Attempt-Id: " + id
              + "\r\nWisteriawind-Response-Seal: s1\r\nContent-Type: text/plain\r\n"
                "Connection: close\r\n\r\nlocker 17 is free\n");
    peer.close();
    record.line(runner.id() + " answered " + id + " with 200, without a length");
}

} // namespace

CaseResult runUnframedAnswers(const CaseOptions &options, Record &record)
{
    const std::string ip = freeLoopbackAddress();
    Store store(ip);
    store.put("keyed.op", "config", plainConfiguration(10, 4194304, "tenant-one"));
    const auto run = [&record](PlainRunner &runner, Peer &peer, const Message &request) {
        answerUnframed(record, runner, peer, request);
    };
    std::vector<std::unique_ptr<PlainRunner>> runners;
    for (int i = 1; i <= runnerCount; ++i)
        runners.push_back(std::make_unique<PlainRunner>(ip, "i-" + std::to_string(i), store, run));
    Gateway gateway(options, "front-1", ip, ip + ":" + std::to_string(store.port()));
    if (!gateway.ready())
        return couldNotRun;

    std::atomic<bool> ending = false;
    std::atomic<int> sent = 0;
    std::atomic<int> denied = 0;
    std::atomic<int> served = 0;
    std::atomic<bool> reasonShown = false;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            std::unique_ptr<Peer> peer;
            for (int number = 0; !ending; ++number) {
                if (!peer)
                    peer = connectTo(ip, gateway.place().callers, milliseconds(1000));
                if (!peer)
                    continue;
                const std::string id = std::to_string(caller) + "-" + std::to_string(number);
                ++sent;
                peer->send(requestText("GET", "/locker/17", id,
                                       {{"Wisteriawind-Deadline-Ms", "1500"}}, ""));
                const auto answer = peer->read(milliseconds(2500));
                const int status = answer ? answer->status() : 0;
                const bool showsReason = status == 400 && !reasonShown.exchange(true);
                record.line("caller got " + std::to_string(status) + " for " + id
                            + (showsReason ? ": " + answer->body : ""));
                served += status == 200;
                denied += status >= 300 && status < 500 && status != 408 && status != 421
                    && status != 429;
                if (!answer || !answer->field("Connection").empty())
                    peer.reset();
                const std::string wait = answer ? answer->field("Retry-After") : "";
                std::this_thread::sleep_for(
                    wait.empty() ? pauseTime
                                 : milliseconds(static_cast<int>(1000 * std::stod(wait))));
            }
        });
    }
    threads.emplace_back([&] {
        while (!ending) {
            std::this_thread::sleep_for(heartbeat);
            for (const auto &runner : runners)
                runner->beat();
        }
    });

    std::this_thread::sleep_for(milliseconds(5000));
    if (options.trouble) {
        PlainRunner &first = *runners.front();
        waitUntil(milliseconds(3000), [&] { return first.inFlight() >= 4; });
        record.line(first.id() + " crashes with " + std::to_string(first.inFlight())
                    + " requests at work");
        first.crash();
        std::this_thread::sleep_for(expiryTime);
        first.expire();
        std::this_thread::sleep_for(downTime - expiryTime);
        first.start();
        record.line(first.id() + " is back");
    }
    std::this_thread::sleep_for(milliseconds(20000));
    ending = true;
    for (std::thread &thread : threads)
        thread.join();
    record.line("requests " + std::to_string(sent.load()) + ", served "
                + std::to_string(served.load()) + ", ended with a 4xx of the gateway "
                + std::to_string(denied.load()));
    if (served < callers)
        return couldNotRun;
    return denied > 5 + sent / 500 ? broken : held;
}

} // namespace review
