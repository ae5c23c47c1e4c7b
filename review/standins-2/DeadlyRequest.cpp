#include <algorithm>
#include <csignal>

#include "PlainRunner.h"

namespace review {

namespace {

constexpr int runnerCount = 6;
constexpr int deadlyCallers = 3;
constexpr int soundCallers = 4;
constexpr milliseconds heartbeat{1200};
constexpr milliseconds downTime{3000};
/// After which a caller sends the deadly request again.
constexpr milliseconds repeatPause{2000};
constexpr milliseconds stabilityWindow{3000};
constexpr std::size_t bodyLimit = 4194304;
constexpr const char *deadlyPath = "/locker/99";

/// Runners of a plain service that crash when they begin to run one request, gateways before them,
/// and callers of other requests.
class DeadlyWorld
{
public:
    DeadlyWorld(const CaseOptions &options, Record &record, int gateways)
        : record_(record), net_(freeLoopbackAddress()), store_(net_)
    {
        store_.put("keyed.op", "config", plainConfiguration(10, bodyLimit, "tenant-one"));
        for (int i = 0; i < runnerCount; ++i)
            runners_.push_back(std::make_unique<PlainRunner>(
                net_, "i-" + std::to_string(i + 1), store_,
                [this, i](PlainRunner &runner, Peer &peer, const Message &request) {
                    run(static_cast<std::size_t>(i), runner, peer, request);
                }));
        for (int i = 0; i < runnerCount; ++i)
            threads_.emplace_back([this, i] { keep(static_cast<std::size_t>(i)); });
        const std::string storeAddress = net_ + ":" + std::to_string(store_.port());
        const std::string prefix = net_.substr(0, net_.rfind('.') + 1);
        for (int i = 1; i <= gateways; ++i)
            gateways_.push_back(std::make_unique<Gateway>(options, "front-" + std::to_string(i),
                                                          prefix + std::to_string(250 + i),
                                                          storeAddress));
    }

    ~DeadlyWorld()
    {
        ending_ = true;
        for (std::thread &thread : threads_)
            thread.join();
    }

    bool ready() const
    {
        return std::all_of(gateways_.begin(), gateways_.end(),
                           [](const auto &gateway) { return gateway->ready(); });
    }

    std::vector<std::unique_ptr<Gateway>> &gateways() { return gateways_; }
    Store &store() { return store_; }

    void startSoundCallers()
    {
        for (int caller = 0; caller < soundCallers; ++caller) {
            threads_.emplace_back([this, caller] {
                for (int number = 0; !ending_; ++number) {
                    const std::string name = std::to_string(caller) + "-" + std::to_string(number);
                    served_ +=
                        call(static_cast<std::size_t>(caller), "/locker/" + name, "sound-" + name)
                        == 200;
                    std::this_thread::sleep_for(milliseconds(60));
                }
            });
        }
    }

    /// Sends the deadly request from several callers, again and again; `firstPause` passes before
    /// it is repeated for the first time.
    void startDeadlyCallers(milliseconds firstPause)
    {
        for (int caller = 0; caller < deadlyCallers; ++caller) {
            threads_.emplace_back([this, caller, firstPause] {
                for (int number = 0; !ending_; ++number) {
                    const std::string id =
                        "deadly-" + std::to_string(caller) + "-" + std::to_string(number);
                    const auto begun = Clock::now();
                    const int status = call(static_cast<std::size_t>(caller), deadlyPath, id);
                    record_.line("caller got " + std::to_string(status) + " for " + id);
                    const auto next = begun + (number == 0 ? firstPause : repeatPause);
                    while (!ending_ && Clock::now() < next)
                        std::this_thread::sleep_for(milliseconds(5));
                }
            });
        }
    }

    std::size_t crashes() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return arrivals_.size();
    }

    /// Number of arrivals later than the stability window after the third one and after a
    /// disruption.
    int lateArrivals(Clock::time_point disruptionEnd) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (arrivals_.size() < 3)
            return 0;
        const auto from = std::max(arrivals_[2], disruptionEnd) + stabilityWindow;
        int late = 0;
        for (const auto at : arrivals_)
            late += at > from;
        return late;
    }

    CaseResult result(Clock::time_point disruptionEnd)
    {
        const int late = lateArrivals(disruptionEnd);
        record_.line("crashes " + std::to_string(crashes()) + ", of these sent over 3 s after the "
                     + "third " + std::to_string(late) + ", sound requests served "
                     + std::to_string(served_.load()));
        if (crashes() < 3 || served_ < 100)
            return couldNotRun;
        return late > 3 ? broken : held;
    }

private:
    void run(std::size_t index, PlainRunner &runner, Peer &peer, const Message &request)
    {
        const std::string id = request.field("Wisteriawind-Attempt-Id");
        if (request.target() == deadlyPath) {
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                arrivals_.push_back(Clock::now());
                record_.line(runner.id() + " begins to run " + id + " and crashes, number "
                             + std::to_string(arrivals_.size()));
            }
            crashing_[index] = true;
            peer.closedWithin(downTime);
            return;
        }
        constexpr milliseconds runTime{30};
        if (!peer.closedWithin(runTime))
            peer.send(response(200, "OK",
                               {{"Wisteriawind-Attempt-Id", id},
                                {"Wisteriawind-Response-Seal", "s1"},
                                {"Keep-Alive", "timeout=5"}},
                               "done"));
    }

    /// Writes a runner's entry, and starts it again some seconds after it has crashed.
    void keep(std::size_t index)
    {
        PlainRunner &runner = *runners_[index];
        auto nextBeat = Clock::now() + heartbeat;
        while (!ending_) {
            std::this_thread::sleep_for(milliseconds(1));
            if (crashing_[index].exchange(false)) {
                runner.crash();
                std::this_thread::sleep_for(downTime);
                runner.start();
            }
            if (Clock::now() < nextBeat)
                continue;
            nextBeat = Clock::now() + heartbeat;
            runner.beat();
        }
    }

    int call(std::size_t caller, const std::string &path, const std::string &id) const
    {
        const Place &place = gateways_[caller % gateways_.size()]->place();
        const auto peer = connectTo(place.ip, place.callers, milliseconds(1000));
        if (!peer)
            return 0;
        peer->send(requestText("GET", path, id, {{"Wisteriawind-Deadline-Ms", "1500"}}, ""));
        const auto answer = peer->read(milliseconds(2500));
        return answer ? answer->status() : 0;
    }

    Record &record_;
    std::string net_;
    Store store_;
    mutable std::mutex mutex_;
    std::vector<Clock::time_point> arrivals_;
    std::vector<std::atomic<bool>> crashing_ = std::vector<std::atomic<bool>>(runnerCount);
    std::vector<std::unique_ptr<PlainRunner>> runners_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::atomic<bool> ending_ = false;
    std::atomic<int> served_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace

CaseResult runDeadlyTenant(const CaseOptions &options, Record &record)
{
    DeadlyWorld world(options, record, 1);
    if (!world.ready())
        return couldNotRun;
    std::this_thread::sleep_for(stabilityWindow);
    world.startSoundCallers();
    world.startDeadlyCallers(repeatPause);
    std::this_thread::sleep_for(milliseconds(15000));
    if (options.trouble) {
        world.store().put("keyed.op", "config", plainConfiguration(13, bodyLimit, "tenant-uno"));
        record.line("the store acknowledged version 13: the tenant has another name");
    }
    std::this_thread::sleep_for(milliseconds(20000));
    return world.result({});
}

CaseResult runDeadlyOutage(const CaseOptions &options, Record &record)
{
    /// As platform_down on the site, and the pause of a process that is started again.
    constexpr milliseconds outage{8000};
    constexpr milliseconds restartDelay{300};
    DeadlyWorld world(options, record, 2);
    if (!world.ready())
        return couldNotRun;
    std::this_thread::sleep_for(stabilityWindow);
    world.startSoundCallers();
    std::this_thread::sleep_for(milliseconds(1000));
    if (options.trouble) {
        world.store().setDown(true);
        record.line("the store is down");
    }
    const auto downSince = Clock::now();
    std::this_thread::sleep_for(milliseconds(1000));
    world.startDeadlyCallers(milliseconds(12000));
    if (!waitUntil(milliseconds(5000), [&] { return world.crashes() >= 3; }))
        return couldNotRun;
    std::this_thread::sleep_for(milliseconds(3000));
    if (options.trouble) {
        for (const auto &gateway : world.gateways())
            gateway->process().signal(SIGKILL);
        record.line("all gateways are killed");
        std::this_thread::sleep_for(restartDelay);
        for (const auto &gateway : world.gateways())
            gateway->start();
        record.line("all gateways are started again");
    }
    std::this_thread::sleep_until(downSince + outage);
    world.store().setDown(false);
    record.line("the store is up");
    const auto upSince = Clock::now();
    std::this_thread::sleep_for(milliseconds(25000));
    return world.result(options.trouble ? upSince : Clock::time_point());
}

} // namespace review
