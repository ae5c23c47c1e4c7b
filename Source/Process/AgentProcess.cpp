#include "Process/AgentProcess.h"

#include <iostream>
#include <optional>
#include <utility>

#include "Connection/HttpLogClient.h"
#include "Connection/MetricsServer.h"
#include "Process/AgentWorker.h"
#include "Process/ConfigFollower.h"
#include "Process/ConfigReader.h"
#include "Process/EventLoop.h"
#include "Process/Logging.h"
#include "Process/Metrics.h"
#include "Process/ShutdownSignal.h"
#include "Process/VmWatcher.h"

namespace wisteria {

namespace {

/// An agent's incarnations are distinguished by their start on the wall clock.
std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
}

} // namespace

class AgentProcess::Private
{
public:
    explicit Private(AgentSettings settings)
        : settings_(std::move(settings)), signal_(loop_, [this] { beginShutdown(); }),
          log_(settings_.logUrl), follower_(log_), incarnation_(newIncarnation()),
          worker_(settings_, incarnation_, metrics_,
                  {.snapshotOffered = [this](v1::SnapshotRecord snapshot) {
                      loop_.post([this, snapshot = std::move(snapshot)] {
                          if (reader_)
                              reader_->offer(snapshot);
                      });
                  }})
    { }

    Result<void> run()
    {
        BOOST_OUTCOME_TRY(metrics, metricsServer_.listen(settings_.metricsListen));
        BOOST_OUTCOME_TRY(peer, worker_.listen(settings_.peerListen));
        worker_.start();
        ConfigReader reader(log_, follower_, [this](std::shared_ptr<const ConfigState> config) {
            worker_.configure(std::move(config));
        });
        reader_ = &reader;
        std::optional<VmWatcher> vms;
        if (!settings_.vmsUrl.empty())
            vms.emplace(settings_.vmsUrl,
                        [this](VmView view) { worker_.noteVms(std::move(view)); });
        std::cout << "ready peer=" << peer << " metrics=" << metrics << std::endl;
        loggerFor("agent")->info("Serving backend server {} on {}.", settings_.backendUrl, peer);
        loop_.run();
        reader_ = nullptr;
        return boost::outcome_v2::success();
    }

private:
    void beginShutdown()
    {
        if (std::exchange(shuttingDown_, true))
            return;
        worker_.drain([this] { loop_.post([this] { loop_.stop(); }); });
    }

    AgentSettings settings_;
    Metrics metrics_;
    MetricsServer metricsServer_{[this] { return metrics_.text(); }};
    EventLoop loop_;
    ShutdownSignal signal_;
    HttpLogClient log_;
    ConfigFollower follower_;
    ConfigReader *reader_ = nullptr;
    bool shuttingDown_ = false;
    const std::uint64_t incarnation_;
    AgentWorker worker_;
};

AgentProcess::AgentProcess(AgentSettings settings)
    : private_(std::make_unique<Private>(std::move(settings)))
{ }

AgentProcess::~AgentProcess() = default;

Result<void> AgentProcess::run()
{
    return private_->run();
}

} // namespace wisteria
