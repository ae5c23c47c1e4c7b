#include "Programs/Gateway/Gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Connection/DatagramSocket.h"
#include "Connection/MetricsServer.h"
#include "Connection/TcpConnection.h"
#include "Process/ShutdownSignal.h"
#include "Programs/Gateway/BackendList.h"
#include "Programs/Gateway/CallerListener.h"
#include "Programs/Gateway/CallerSessions.h"
#include "Programs/Gateway/GatewayDirectory.h"
#include "Programs/Gateway/GatewayMetrics.h"
#include "Programs/Gateway/LimitPermits.h"
#include "Programs/Gateway/LivenessChecks.h"
#include "Programs/Gateway/OperatorRecords.h"
#include "Programs/Gateway/PoisonProtection.h"
#include "Programs/Gateway/PriorityLimitGauges.h"
#include "Programs/Gateway/SidecarHellos.h"
#include "Programs/Gateway/StorePolling.h"
#include "Programs/Gateway/StoreWatch.h"
#include "Request/HeldMemory.h"
#include "Version/GroupMessages.h"

namespace wisteria {

namespace {

/// Interval between timeout checks, and so the longest delay of a timeout. The answer to a request
/// must be sent within half a second of its route's timeout.
constexpr milliseconds checkPeriod{25};
/// File descriptors reserved for the store, the log and files. Callers and backend servers share
/// the rest.
constexpr std::size_t reservedDescriptors = 400;

RetryQuota retryQuotaOf(const platform::ProcessSettings &settings)
{
    return {.ratio = settings.retryRatio,
            .baseRetries = settings.baseRetries,
            .window = settings.retryWindow};
}

/// Number of callers' connections, each of which may need one to a backend server.
std::size_t maxCallers(const platform::ProcessSettings &settings)
{
    const bool enough = settings.maxOpenFiles > reservedDescriptors;
    return (enough ? settings.maxOpenFiles - reservedDescriptors : settings.maxOpenFiles) / 2;
}

/// Slots of each service, with the number that this gateway expects to be taken.
std::vector<ServiceSlots> slotsOf(const BackendRegistry &registry, TimePoint now)
{
    std::map<std::string, ServiceSlots> slots;
    for (const auto &[id, state] : registry.backends) {
        ServiceSlots &service = slots[state.entry.service];
        service.service = state.entry.service;
        ++service.backends;
        service.taken += expectedRequests(state, now, registry.loadLifetime);
        service.total += state.entry.slots;
    }
    std::vector<ServiceSlots> list;
    for (const auto &[name, service] : slots)
        list.push_back(service);
    return list;
}

} // namespace

class Gateway::Private
{
public:
    Private(platform::ProcessSettings settings, const LogSettings &log)
        : settings_(std::move(settings)), shutdown_(
                                              loop_, [this] { stop(); }, [this] { reload(); }),
          log_(settings_.vmName, log), pool_(loop_),
          poisonProtection_(loop_, log_, metrics_, registry_,
                            [this] { sessions_.scheduleDispatch(); }),
          context_{.loop = loop_,
                   .log = log_,
                   .metrics = metrics_,
                   .pool = pool_,
                   .registry = registry_,
                   .crashes = poisonProtection_.crashes(),
                   .poison = poisonProtection_.guard(),
                   .retryQuota = retryQuotaOf(settings_),
                   .retryBuckets = {},
                   .failureDomain = settings_.failureDomain,
                   .fairQueueing = settings_.fairQueueing,
                   .routes = nullptr,
                   .rereadBackends = [this] { backendsWatch_->readSoon(monotonicNow()); },
                   .dispatchSoon = [this] { sessions_.scheduleDispatch(); },
                   .dispatchNow = [this] { sessions_.dispatchWaiting(); },
                   .checkLiveness =
                       [this](const std::string &backend, bool isEngine) {
                           livenessChecks_.begin(backend, isEngine, monotonicNow());
                       }},
          livenessChecks_({loop_, pool_, registry_, log_, metrics_}),
          operatorRecords_(context_, [this] { sessions_.scheduleDispatch(); }),
          backendList_(
              registry_, log_, metrics_,
              {.heartbeatInterval = settings_.heartbeatInterval,
               .drainTime = settings_.drainTime,
               .readInterval = backendsPollInterval(settings_.drainTime)},
              [this](const std::string &id, std::uint64_t startedAt, TimePoint now) {
                  poisonProtection_.crashes().noteStartTime(id, startedAt, now);
              },
              [this] { backendsWatch_->readNow(); }),
          callerListener_(loop_, log_, metrics_, maxCallers(settings_),
                          {.accepted = [this](int descriptor) { sessions_.accept(descriptor); },
                           .openConnections = [this] { return sessions_.size(); }}),
          readinessListener_(
              loop_,
              [this](const HttpRequest &) { return StatusAnswer{.status = ready() ? 200 : 503}; }),
          metricsListener_(loop_,
                           [this](const HttpRequest &request) {
                               return answerScraper(request, [this] { return metricsText(); });
                           }),
          messageSocket_(loop_,
                         [this](const Endpoint &from, std::string_view bytes) {
                             receiveMessage(from, bytes);
                         }),
          hellos_(context_, messageSocket_, settings_.firstInternalPort),
          sessions_(context_, heldBytesLimit(settings_.memoryBytes))
    {
        registry_.coldServers.bounds = {settings_.coldOvershoot, settings_.coldSlack};
    }

    Result<void> run()
    {
        BOOST_OUTCOME_TRYV(Gateway::check(settings_));
        BOOST_OUTCOME_TRYV(callerListener_.listen(*settings_.callerEndpoint));
        BOOST_OUTCOME_TRYV(readinessListener_.listen(*settings_.readinessEndpoint));
        if (settings_.metricsEndpoint) {
            BOOST_OUTCOME_TRYV(metricsListener_.listen(*settings_.metricsEndpoint));
        }
        BOOST_OUTCOME_TRYV(
            messageSocket_.open({settings_.vmAddress.ip, settings_.firstInternalPort}));
        log_.info("process.start",
                  {{"callers", toText(*settings_.callerEndpoint)},
                   {"domain", settings_.failureDomain},
                   {"store", toText(settings_.storeEndpoint)}});
        directory_ = std::make_unique<GatewayDirectory>(
            loop_, pool_, log_, metrics_, settings_.storeEndpoint, settings_.vmName,
            Endpoint{settings_.vmAddress.ip, settings_.firstInternalPort},
            [this](const Endpoint &peer) {
                messageSocket_.send(peer, encodeMessage(GatewayPresence{settings_.vmName}));
            });
        watchStore();
        poisonProtection_.start(messageSocket_, *directory_, pool_, settings_.storeEndpoint);
        permits_ = std::make_unique<LimitPermits>(context_, messageSocket_, *directory_);
        scheduleCheck();
        loop_.run();
        log_.info("process.stop", {{"open_requests", sessions_.busy()}});
        return boost::outcome_v2::success();
    }

private:
    void watchStore()
    {
        configurationWatch_ = std::make_unique<StoreWatch>(
            loop_, pool_, log_, metrics_, settings_.storeEndpoint,
            WatchPlan{"configuration", platform::operatorTopic,
                      configurationLongPollTime(settings_.configurationApplyTime), milliseconds(0)},
            WatchEvents{
                .record =
                    [this](const auto &record) { operatorRecords_.apply(record, monotonicNow()); },
                .snapshot =
                    [this](const auto &records) {
                        operatorRecords_.applyAll(records, monotonicNow());
                    },
                .answered = [this](TimePoint at) { context_.configurationReadAt = at; },
                .upToDate = [](const CompleteRead &) {}});
        backendsWatch_ = std::make_unique<StoreWatch>(
            loop_, pool_, log_, metrics_, settings_.storeEndpoint,
            WatchPlan{.name = "backends",
                      .topic = platform::backendsTopic,
                      .interval = backendsPollInterval(settings_.drainTime),
                      .maxBackoff = backendsMaxBackoff,
                      .hedgeAfter = backendsHedgeDelay},
            WatchEvents{
                .record =
                    [this](const auto &record) { backendList_.apply(record, monotonicNow()); },
                .snapshot =
                    [this](const auto &records) { backendList_.applyAll(records, monotonicNow()); },
                .answered = [](TimePoint) {},
                .upToDate =
                    [this](const CompleteRead &read) {
                        noteListRead(registry_, read.begunAt);
                        backendList_.finishRead({.begunAt = read.begunAt,
                                                 .failedCallAt = read.failedCallAt,
                                                 .endedAt = monotonicNow()});
                        context_.backendsKnown = backendList_.known();
                        operatorRecords_.logUnknownDomains();
                        sessions_.scheduleDispatch();
                    }});
    }

    void receiveMessage(const Endpoint &from, std::string_view bytes)
    {
        const auto message = decodeMessage(bytes);
        if (message.has_error()) {
            log_.warn("message.refused",
                      {{"from", toText(from)}, {"reason", message.error().message}});
            return;
        }
        if (const auto *load = std::get_if<EngineLoad>(&message.value()))
            applyLoad(*load);
        else if (std::holds_alternative<EngineListRequest>(message.value()))
            hellos_.sendEngineList(from);
        else if (const auto *permitRequest = std::get_if<PermitRequestMessage>(&message.value()))
            permits_->receive(from, *permitRequest, monotonicNow());
        else if (const auto *permitReply = std::get_if<PermitReplyMessage>(&message.value()))
            receivePermitReply(from, *permitReply);
        else if (const auto *crash = std::get_if<CrashReport>(&message.value()))
            poisonProtection_.receive(*crash, monotonicNow());
        else if (const auto *completion = std::get_if<CompletionReport>(&message.value()))
            poisonProtection_.receive(*completion, monotonicNow());
        else if (const auto *copies = std::get_if<CopyReport>(&message.value()))
            poisonProtection_.receive(*copies, monotonicNow());
        else if (const auto *claim = std::get_if<ClaimMessage>(&message.value()))
            poisonProtection_.receive(*claim, monotonicNow());
        else if (const auto *complete = std::get_if<EvidenceComplete>(&message.value()))
            poisonProtection_.receive(*complete, monotonicNow());
        else if (const auto *organisation = std::get_if<OrganisationIdReport>(&message.value()))
            poisonProtection_.receive(*organisation);
        else if (const auto *presence = std::get_if<GatewayPresence>(&message.value()))
            notePresence(presence->gateway, from);
    }

    void notePresence(const std::string &gateway, const Endpoint &from)
    {
        directory_->notePresence(gateway, from);
        poisonProtection_.introduce(from, monotonicNow());
    }

    void applyLoad(const EngineLoad &load)
    {
        const BackendLoad reported{.running = load.running,
                                   .waiting = load.waiting,
                                   .receivedAt = monotonicNow(),
                                   .slowdown = load.slowdown,
                                   .open = load.open,
                                   .engineAnswers = load.engineAnswers,
                                   .gateways = load.gateways};
        noteGateways(context_.retryQuota, load.gateways);
        registry_.coldServers.gateways = assumedGateways(context_.retryQuota);
        for (auto &[id, state] : registry_.backends) {
            if (state.entry.address != load.engine)
                continue;
            if (noteGroupOpening(registry_, state, reported))
                handleGroupOpening(state.entry.service);
            noteLoad(state, reported, context_.randomUnit());
        }
        sessions_.scheduleDispatch();
    }

    void receivePermitReply(const Endpoint &from, const PermitReplyMessage &message)
    {
        if (permits_->receive(from, message, monotonicNow()))
            sessions_.scheduleDispatch();
    }

    void handleGroupOpening(const std::string &service)
    {
        log_.info("group.opened", {{"service", service}});
        backendsWatch_->readSoon(monotonicNow());
    }

    bool ready() const { return !context_.plannedStop && context_.routes && backendList_.known(); }

    std::string metricsText()
    {
        const TimePoint now = monotonicNow();
        setGatewayState(
            metrics_,
            {.configurationVersion = context_.routes ? context_.routes->configuration().version : 0,
             .connections = sessions_.size(),
             .openRequests = sessions_.busy(),
             .waitingRequests = sessions_.waiting(),
             .heldBytes = sessions_.heldBytes(),
             .serverLimits = activeLimitCount(registry_.limits),
             .coldServers = coldServerCount(registry_.coldServers, now),
             .ready = ready(),
             .droppedLogLines = log_.droppedLines()});
        for (auto &[service, bucket] : context_.retryBuckets) {
            refill(bucket, context_.retryQuota, now);
            setRetriesLeft(metrics_, service, bucket.tokens);
        }
        for (const ServiceSlots &slots : slotsOf(registry_, now))
            setSlots(metrics_, slots);
        operatorRecords_.updateMetrics(now);
        poisonProtection_.guard().updateMetrics(metrics_, monotonicNow());
        updatePriorityLimits();
        updateStoreAge("configuration", *configurationWatch_, now);
        updateStoreAge("backends", *backendsWatch_, now);
        return metrics_.text();
    }

    void updatePriorityLimits()
    {
        if (context_.routes)
            priorityLimitGauges_.update(metrics_, *context_.routes, registry_);
    }

    void updateStoreAge(const std::string &watchName, const StoreWatch &watch, TimePoint now)
    {
        if (watch.answeredAt())
            setStoreAge(metrics_, watchName, remaining(*watch.answeredAt(), now));
    }

    void scheduleCheck()
    {
        loop_.runAfter(checkPeriod, [this] {
            checkTimeouts(monotonicNow());
            scheduleCheck();
        });
    }

    void checkTimeouts(TimePoint now)
    {
        sessions_.checkTimeouts(now);
        livenessChecks_.checkTimeouts(now);
        hellos_.sendDue(now);
        directory_->checkTimeouts(now);
        if (permits_->requestPermits(now))
            sessions_.scheduleDispatch();
        configurationWatch_->checkTimeouts(now);
        backendsWatch_->checkTimeouts(now);
        backendList_.checkTimeouts(now);
        poisonProtection_.checkTimeouts(now);
        pool_.closeExpired(now);
        callerListener_.check(now);
        if (context_.plannedStop)
            checkStop(*context_.plannedStop, now);
    }

    /// Applies the settings that may change while the process runs: retry quota and grace period.
    /// If the file can't be read, the current settings stay.
    void reload()
    {
        auto read = platform::loadProcessSettings();
        if (read.has_error()) {
            log_.warn("process.reload_refused", {{"reason", read.error().message}});
            return;
        }
        const std::uint32_t gateways = context_.retryQuota.reportedGateways;
        context_.retryQuota = retryQuotaOf(read.value());
        noteGateways(context_.retryQuota, gateways);
        settings_.gracePeriod = read.value().gracePeriod;
        if (context_.plannedStop)
            context_.plannedStop->gracePeriod = settings_.gracePeriod;
        log_.info("process.reload",
                  {{"retry_ratio", context_.retryQuota.ratio},
                   {"retry_slack", context_.retryQuota.baseRetries}});
    }

    void stop()
    {
        if (context_.plannedStop)
            return;
        context_.plannedStop = PlannedStop{monotonicNow(), settings_.gracePeriod};
        log_.info("process.stopping", {{"open_requests", sessions_.busy()}});
    }

    void checkStop(const PlannedStop &stop, TimePoint now)
    {
        const bool exits = now >= exitsAt(stop);
        // If too few gateways of a failure domain are ready, the platform keeps sending callers
        // here.
        if (exits || now >= acceptsUntil(stop)) {
            callerListener_.close();
            sessions_.closeIdle(now);
        }
        // After a suspension the answers of backend servers may wait to be read, so the open
        // requests are ended by the check after the first one that is due.
        const bool endsOpen = now >= answersOpenAt(stop);
        if (endsOpen && endsOpen_)
            sessions_.endForStop(exits, now);
        if ((exits && endsOpen_) || (now >= acceptsUntil(stop) && sessions_.empty()))
            loop_.stop();
        endsOpen_ = endsOpen;
    }

    platform::ProcessSettings settings_;
    EventLoop loop_;
    /// Declared before all members that start a thread, such as the log: the kernel would deliver
    /// SIGTERM to a thread that does not block it, and the default action ends the process with all
    /// its requests.
    ShutdownSignal shutdown_;
    EventLog log_;
    Metrics metrics_;
    HttpClientPool pool_;
    BackendRegistry registry_;
    PoisonProtection poisonProtection_;
    GatewayContext context_;
    LivenessChecks livenessChecks_;
    OperatorRecords operatorRecords_;
    PriorityLimitGauges priorityLimitGauges_;
    BackendList backendList_;
    CallerListener callerListener_;
    StatusListener readinessListener_;
    StatusListener metricsListener_;
    DatagramSocket messageSocket_;
    SidecarHellos hellos_;
    std::unique_ptr<StoreWatch> configurationWatch_;
    std::unique_ptr<StoreWatch> backendsWatch_;
    std::unique_ptr<GatewayDirectory> directory_;
    std::unique_ptr<LimitPermits> permits_;
    CallerSessions sessions_;
    /// Whether the last check of a planned stop found it time to end the open requests.
    bool endsOpen_ = false;
};

Result<void> Gateway::check(const platform::ProcessSettings &settings)
{
    return platform::checkGatewaySettings(settings);
}

Gateway::Gateway(platform::ProcessSettings settings, const LogSettings &log)
    : private_(std::make_unique<Private>(std::move(settings), log))
{ }

Gateway::~Gateway() = default;

Result<void> Gateway::run()
{
    return private_->run();
}

} // namespace wisteria
