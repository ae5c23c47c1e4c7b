#include "Process/PlacementRunner.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "Connection/PlatformHttp.h"
#include "Process/Logging.h"
#include "Version/ExpertMapCodec.h"
#include "Version/PlacementSession.h"

namespace wisteria {

namespace {

constexpr milliseconds reportTimeout(2000);
constexpr long httpOk = 200;

} // namespace

class PlacementRunner::Private
{
public:
    Private(const RankGroup &group, const std::string &groupName, const std::string &engineUrl,
            MapSwitchRunner &runner, Metrics &metrics, milliseconds reportInterval)
        : group_(group), reportInterval_(reportInterval), labels_{{"group", groupName}},
          http_(engineUrl), runner_(runner), metrics_(metrics), thread_([this] { run(); })
    { }

    ~Private()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            stopping_ = true;
        }
        http_.interrupt();
        wake_.notify_all();
        thread_.join();
    }

private:
    void run()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        while (!stopping_) {
            lock.unlock();
            advance();
            lock.lock();
            wake_.wait_for(lock, reportInterval_, [this] { return stopping_; });
        }
    }

    void advance()
    {
        const MapSwitchStatus status = runner_.status();
        // Without the lease another agent decides; what this one remembers may be outdated by the
        // time it holds the lease again.
        if (!status.coordinates)
            return session_.reset();
        if (!session_ && !begin(status))
            return;
        takeLoads();
        const auto wanted = advancePlacement(*session_, status.mapDigest, monotonicNow());
        if (wanted) {
            loggerFor("placement")->info("A better map: {}.", wanted->digest());
            runner_.want(*wanted);
        }
        exportMetrics();
    }

    bool begin(const MapSwitchStatus &status)
    {
        std::optional<v1::ExpertMap> inForce;
        if (!status.mapDigest.empty())
            inForce = runner_.currentMap();
        auto session = startPlacementSession(group_, inForce);
        if (session.has_error()) {
            loggerFor("placement")->warn("No placement: {}.", session.error().message);
            return false;
        }
        session_ = std::move(session.value());
        return true;
    }

    void takeLoads()
    {
        const PlatformAnswer answer = http_.get("/loads", reportTimeout);
        if (answer.status != httpOk)
            return loggerFor("placement")->debug("No load report ({}).", describe(answer));
        const auto reports = parseLoadReports(answer.body, monotonicNow());
        if (reports.has_error())
            return loggerFor("placement")->warn("{}", reports.error().message);
        takeReports(*session_, reports.value());
    }

    void exportMetrics()
    {
        metrics_.set("wisteria_step_time_skew",
                     "Straggler's share of a balanced rank's work, mean of the layers; 1 is best.",
                     expectedSkew(*session_), labels_);
        metrics_.set("wisteria_rebalance_moves",
                     "Replicas loaded by switches under the present coordinator.",
                     static_cast<double>(session_->moves), labels_);
        metrics_.set("wisteria_rebalance_bytes",
                     "Bytes loaded by switches under the present coordinator.",
                     static_cast<double>(session_->moves * group_.expertBytes), labels_);
    }

    RankGroup group_;
    milliseconds reportInterval_;
    MetricLabels labels_;
    PlatformHttp http_;
    MapSwitchRunner &runner_;
    Metrics &metrics_;
    std::optional<PlacementSession> session_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

PlacementRunner::PlacementRunner(const RankGroup &group, const std::string &groupName,
                                 const std::string &engineUrl, MapSwitchRunner &runner,
                                 Metrics &metrics, milliseconds reportInterval)
    : private_(
        std::make_unique<Private>(group, groupName, engineUrl, runner, metrics, reportInterval))
{ }

PlacementRunner::~PlacementRunner() = default;

} // namespace wisteria
