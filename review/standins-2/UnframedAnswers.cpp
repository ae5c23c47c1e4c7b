#include <algorithm>

#include "Cases.h"

namespace review {

namespace {

constexpr int callers = 24;
/// One of them crashes: a share of 0.167.
constexpr int runnerCount = 6;
constexpr milliseconds runTime{250};
constexpr milliseconds heartbeat{1200};
/// The largest duration of srv_crash on the small deployments.
constexpr milliseconds downTime{4500};

std::string configuration()
{
    return Json({{"version", 10},
                 {"routes", {routeOf("/locker/", "idempotent", "locker-api", 800, 2)}},
                 {"services",
                  {{{"name", "locker-api"},
                    {"health_check_path", "/health"},
                    {"max_connections", 110}}}},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", 4194304},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15000}}},
                 {"tenants", {{{"name", "tenant-one"}, {"api_keys", {"key-one"}}}}}})
        .dump();
}

/// A backend server of the plain service. Its answers have no length and end with their channel.
class Runner
{
public:
    Runner(const std::string &ip, std::string id, Store &store, Record &record)
        : ip_(ip), id_(std::move(id)), store_(store), record_(record)
    {
        start();
    }

    void start()
    {
        born_ = std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
        sequence_ = 0;
        server_ = std::make_unique<Server>(ip_, port_, [this](Peer &peer) { serve(peer); });
        port_ = server_->port();
        beat();
    }

    /// Ends as a process does that crashes: its channels are reset and nothing listens.
    void crash()
    {
        server_->stop();
        server_.reset();
    }

    void beat()
    {
        if (server_) {
            store_.put("keyed.servers", id_,
                       entryOf("locker-api", ip_ + ":" + std::to_string(port_), "ready",
                               ++sequence_, born_)
                           .dump());
        }
    }

    int runs() const { return runs_; }
    int inFlight() const { return inFlight_; }

private:
    void serve(Peer &peer)
    {
        const auto request = peer.read(milliseconds(30000));
        if (!request || request->method().empty())
            return;
        const std::string id = request->field("Wisteriawind-Attempt-Id");
        const std::string expected = request->field("Wisteriawind-Expect-Instance");
        if (!expected.empty() && expected != id_) {
            peer.send(response(421, "Misdirected Request", {{"Wisteriawind-Attempt-Id", id}}, ""));
            return;
        }
        ++runs_;
        ++inFlight_;
        record_.line(id_ + " runs " + id);
        const bool alive = !peer.closedWithin(runTime);
        --inFlight_;
        if (!alive)
            return;
        peer.send("HTTP/1.1 200 OK\r\nWisteriawind-Attempt-Id: " + id
                  + "\r\nWisteriawind-Response-Seal: s1\r\nContent-Type: text/plain\r\n"
                    "Connection: close\r\n\r\nlocker 17 is free\n");
        record_.line(id_ + " answered " + id + " with 200, without a length");
    }

    std::string ip_;
    std::string id_;
    Store &store_;
    Record &record_;
    int port_ = 0;
    std::int64_t born_ = 0;
    int sequence_ = 0;
    std::atomic<int> runs_ = 0;
    std::atomic<int> inFlight_ = 0;
    std::unique_ptr<Server> server_;
};

} // namespace

CaseResult runUnframedAnswers(const CaseOptions &options, Record &record)
{
    const std::string ip = freeLoopbackAddress();
    Store store(ip);
    store.put("keyed.op", "config", configuration());
    std::vector<std::unique_ptr<Runner>> runners;
    for (int i = 1; i <= runnerCount; ++i)
        runners.push_back(std::make_unique<Runner>(ip, "i-" + std::to_string(i), store, record));
    Gateway gateway(options, "front-1", ip, ip + ":" + std::to_string(store.port()));
    if (!gateway.ready())
        return couldNotRun;

    std::atomic<bool> ending = false;
    std::atomic<int> sent = 0;
    std::atomic<int> denied = 0;
    std::atomic<bool> reasonShown = false;
    std::atomic<int> served = 0;
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
                    wait.empty() ? milliseconds(150)
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
        waitUntil(milliseconds(3000), [&] { return runners[0]->inFlight() >= 4; });
        record.line("i-1 crashes with " + std::to_string(runners[0]->inFlight())
                    + " requests at work");
        runners[0]->crash();
        std::this_thread::sleep_for(milliseconds(3600));
        store.put("keyed.servers", "i-1", "");
        std::this_thread::sleep_for(downTime - milliseconds(3600));
        runners[0]->start();
        record.line("i-1 is back");
    }
    std::this_thread::sleep_for(milliseconds(25000));
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
