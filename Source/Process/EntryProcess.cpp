#include "Process/EntryProcess.h"

#include <algorithm>
#include <iostream>
#include <utility>
#include <vector>

#include "Connection/FrameCodec.h"
#include "Connection/HttpLogClient.h"
#include "Connection/MetricsServer.h"
#include "Connection/PeerCall.h"
#include "Connection/PeerPool.h"
#include "Connection/PeerServer.h"
#include "Peer.pb.h"
#include "Process/AgentHeartbeats.h"
#include "Process/BudgetExchange.h"
#include "Process/ConfigFollower.h"
#include "Process/ConfigReader.h"
#include "Process/EntryDirectory.h"
#include "Process/EntryWorker.h"
#include "Process/EventLoop.h"
#include "Process/Logging.h"
#include "Process/Metrics.h"
#include "Process/ShutdownSignal.h"
#include "Process/VmWatcher.h"
// The control loop has a separate routing state, which determines the agents that get heartbeats.
#include "Request/EntryRequest.h"
#include "Version/Snapshot.h"

namespace wisteria {

namespace {

constexpr milliseconds shutdownCheck(20);
/// Heartbeats time out faster than traffic, so that a frozen agent is detected within two of them.
constexpr PeerTimeouts heartbeatTimeouts{.connect = milliseconds(500),
                                         .ping = milliseconds(500),
                                         .silence = milliseconds(1500),
                                         .backoff = milliseconds(200)};

} // namespace

class EntryProcess::Private : public PeerService
{
public:
    explicit Private(EntrySettings settings)
        : settings_(std::move(settings)), log_(settings_.logUrl), follower_(log_),
          peers_(loop_, heartbeatTimeouts), peerServer_(loop_, *this),
          heartbeats_(
              loop_, peers_, state_, [this] { return ownHeartbeat(); },
              [this](const std::string &name, const std::optional<v1::Heartbeat> &reply) {
                  heartbeatEnded(name, reply);
              }),
          budgets_(loop_, peers_, shared_, settings_.name),
          signal_(loop_, [this] { beginShutdown(); }), logger_(loggerFor("entry"))
    {
        state_.ownName = settings_.name;
        state_.failureDomain = settings_.failureDomain;
        state_.entryNames = {settings_.name};
    }

    Result<void> run()
    {
        BOOST_OUTCOME_TRY(metricsAddress, metricsServer_.listen(settings_.metricsListen));
        BOOST_OUTCOME_TRY(peerAddress, peerServer_.listen(settings_.peerListen));
        metricsAddress_ = metricsAddress;
        peerAddress_ = peerAddress;
        ConfigReader reader(log_, follower_, [this](std::shared_ptr<const ConfigState> config) {
            loop_.post([this, config = std::move(config)] { configure(config); });
        });
        reader_ = &reader;
        loop_.run();
        directory_.reset();
        vms_.reset();
        if (failed_)
            return *failed_;
        return boost::outcome_v2::success();
    }

    void requestReceived(PeerStreamId stream, const std::string &path,
                         std::vector<std::string> frames) override
    {
        if (path == "/v1/config")
            return answerConfig(stream, frames);
        if (path == "/v1/grant")
            return answerGrant(stream, frames);
        if (path == "/v1/heartbeat")
            return answerHeartbeat(stream);
        peerServer_.abort(stream);
    }

    void streamCancelled(PeerStreamId) override { }

private:
    /// Applies a configuration. The entry listens for callers only after the first one: a process
    /// that has not caught up with the log could serve by a configuration replaced long ago.
    void configure(const std::shared_ptr<const ConfigState> &config)
    {
        const TimePoint now = monotonicNow();
        setConfiguration(state_, shared_, *config, now);
        budgets_.setOrganisations(state_.declared->organisations);
        for (const auto &worker : workers_) {
            worker->update([config](EntryState &state, EntryShared &shared, TimePoint at) {
                setConfiguration(state, shared, *config, at);
            });
        }
        metrics_.set("wisteria_config_version", "Configuration version in force.",
                     static_cast<double>(config->version));
        if (workers_.empty())
            startServing(config);
    }

    void startServing(const std::shared_ptr<const ConfigState> &config)
    {
        std::string address = settings_.listen;
        for (unsigned i = 0; i < settings_.trafficThreads; ++i) {
            auto worker = std::make_unique<EntryWorker>(settings_.name, settings_.failureDomain,
                                                        shared_, metrics_);
            auto bound = worker->listen(address);
            if (bound.has_error()) {
                failed_ = bound.error();
                return loop_.stop();
            }
            address = bound.value();
            workers_.push_back(std::move(worker));
        }
        for (const auto &worker : workers_) {
            worker->start();
            worker->update([config](EntryState &state, EntryShared &shared, TimePoint at) {
                setConfiguration(state, shared, *config, at);
            });
        }
        heartbeats_.start();
        budgets_.start();
        joinEntries();
        watchVms();
        std::cout << "ready caller=" << address << " peer=" << peerAddress_
                  << " metrics=" << metricsAddress_ << std::endl;
        logger_->info("Serving callers on {}.", address);
    }

    void joinEntries()
    {
        v1::EntryMemberRecord self;
        self.set_name(settings_.name);
        self.set_address(peerAddress_);
        self.set_incarnation(static_cast<std::uint64_t>(wallNow().time_since_epoch().count()));
        directory_ = std::make_unique<EntryDirectory>(
            settings_.logUrl, std::move(self), [this](EntryMembers members) {
                loop_.post([this, members = std::move(members)] { entriesChanged(members); });
            });
    }

    /// Applies the set of entries: it determines subsets of backend servers and static shares of
    /// limits.
    void entriesChanged(const EntryMembers &members)
    {
        budgets_.setMembers(members, monotonicNow());
        metrics_.set("wisteria_entries", "Entries that share the callers' work.",
                     static_cast<double>(members.members.size()));
        std::vector<std::string> names = memberNames(members);
        if (std::find(names.begin(), names.end(), settings_.name) == names.end())
            names.push_back(settings_.name);
        setEntries(state_, shared_, names, monotonicNow());
        for (const auto &worker : workers_) {
            worker->update([names](EntryState &state, EntryShared &shared, TimePoint now) {
                setEntries(state, shared, names, now);
            });
        }
    }

    void watchVms()
    {
        if (settings_.vmsUrl.empty())
            return;
        vms_ = std::make_unique<VmWatcher>(settings_.vmsUrl, [this](VmView view) {
            loop_.post([this, view = std::move(view)] { applyVms(view); });
        });
    }

    /// Applies the platform's list of VMs. The list lags behind the agents' own reports, but covers
    /// VMs whose agents died.
    void applyVms(const VmView &view)
    {
        std::set<std::string> leaving = leavingVms(view);
        for (const std::string &vm : routedVms(state_)) {
            if (isVmGone(view, vm))
                leaving.insert(vm);
        }
        for (const auto &worker : workers_) {
            worker->update([leaving](EntryState &state, EntryShared &, TimePoint) {
                observeVms(state, leaving);
            });
        }
    }

    v1::Heartbeat ownHeartbeat()
    {
        v1::Heartbeat heartbeat;
        heartbeat.set_process(settings_.name);
        heartbeat.set_role("entry");
        heartbeat.set_config_version(state_.configVersion);
        heartbeat.set_address(peerAddress_);
        heartbeat.set_state(shuttingDown_ ? "leaving" : workers_.empty() ? "starting" : "serving");
        int suspects = 0;
        for (const v1::SuspectReport &report : suspectsToReport(shared_, monotonicNow())) {
            *heartbeat.add_suspects() = report;
            suspects += report.deaths() > 0 ? 1 : 0;
        }
        metrics_.set("wisteria_suspects", "Requests held against deaths of backend servers.",
                     suspects);
        return heartbeat;
    }

    void heartbeatEnded(const std::string &name, const std::optional<v1::Heartbeat> &reply)
    {
        if (reply)
            mergeSuspects(shared_, *reply, monotonicNow());
        for (const auto &worker : workers_) {
            worker->update([name, reply](EntryState &state, EntryShared &, TimePoint now) {
                if (reply)
                    observeLoad(state, name, reply->load(), reply->config_version(), now);
                else
                    observeUnreachable(state, name, now);
            });
        }
        if (reply && reply->config_version() > state_.configVersion)
            fetchConfig(agentAddress(state_, name));
    }

    /// Fetches a newer configuration from a peer that has it in force, in case the log is not
    /// reachable.
    void fetchConfig(const std::string &address)
    {
        if (std::exchange(fetching_, true))
            return;
        v1::ConfigFetch fetch;
        fetch.set_newer_than(state_.configVersion);
        callPeer<v1::ConfigFetchReply>(peers_.clientFor(address), "/v1/config", fetch,
                                       [this](const std::optional<v1::ConfigFetchReply> &reply) {
                                           fetching_ = false;
                                           if (reply && reply->has_snapshot())
                                               reader_->offer(reply->snapshot());
                                       });
    }

    /// Reports to an admin process which version is in force here, for its view of the fleet.
    void answerHeartbeat(PeerStreamId stream)
    {
        std::string out;
        appendFrame(out, ownHeartbeat());
        peerServer_.reply(stream, out, true);
    }

    void answerConfig(PeerStreamId stream, const std::vector<std::string> &frames)
    {
        v1::ConfigFetch fetch;
        if (frames.empty() || !fetch.ParseFromString(frames.front()))
            return peerServer_.abort(stream);
        v1::ConfigFetchReply reply;
        const auto config = follower_.state();
        if (config->version > fetch.newer_than())
            *reply.mutable_snapshot() = snapshotOf(*config);
        std::string out;
        appendFrame(out, reply);
        peerServer_.reply(stream, out, true);
    }

    void answerGrant(PeerStreamId stream, const std::vector<std::string> &frames)
    {
        v1::BudgetRequest request;
        if (frames.empty() || !request.ParseFromString(frames.front()))
            return peerServer_.abort(stream);
        std::string out;
        appendFrame(out, budgets_.answer(request, monotonicNow()));
        peerServer_.reply(stream, out, true);
    }

    /// Shuts down gracefully: first fails health checks, so that callers use other entries; then
    /// stops listening; then waits until the open requests have ended.
    void beginShutdown()
    {
        if (std::exchange(shuttingDown_, true))
            return;
        directory_.reset();
        logger_->info("Shutting down: draining callers for {} ms.", settings_.drainTime.count());
        for (const auto &worker : workers_)
            worker->announceShutdown();
        loop_.runAfter(settings_.drainTime, [this] {
            for (const auto &worker : workers_)
                worker->stopListening();
            waitUntilIdle();
        });
    }

    void waitUntilIdle()
    {
        std::size_t open = 0;
        for (const auto &worker : workers_)
            open += worker->openRequests();
        if (open > 0) {
            loop_.runAfter(shutdownCheck, [this] { waitUntilIdle(); });
            return;
        }
        logger_->info("All requests have ended.");
        loop_.stop();
    }

    EntrySettings settings_;
    Metrics metrics_;
    MetricsServer metricsServer_{[this] { return metrics_.text(); }};
    EventLoop loop_;
    HttpLogClient log_;
    ConfigFollower follower_;
    EntryShared shared_;
    EntryState state_;
    PeerPool peers_;
    PeerServer peerServer_;
    AgentHeartbeats heartbeats_;
    BudgetExchange budgets_;
    ShutdownSignal signal_;
    std::shared_ptr<spdlog::logger> logger_;
    std::vector<std::unique_ptr<EntryWorker>> workers_;
    ConfigReader *reader_ = nullptr;
    std::unique_ptr<EntryDirectory> directory_;
    std::unique_ptr<VmWatcher> vms_;
    std::string peerAddress_;
    std::string metricsAddress_;
    std::optional<Error> failed_;
    bool fetching_ = false;
    bool shuttingDown_ = false;
};

EntryProcess::EntryProcess(EntrySettings settings)
    : private_(std::make_unique<Private>(std::move(settings)))
{ }

EntryProcess::~EntryProcess() = default;

Result<void> EntryProcess::run()
{
    return private_->run();
}

} // namespace wisteria
