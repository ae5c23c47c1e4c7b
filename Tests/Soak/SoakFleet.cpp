#include "Soak/SoakFleet.h"

#include <algorithm>

#include <arpa/inet.h>
#include <poll.h>

#include "Gateway/ScriptedAnswers.h"
#include "Request/RetryTokenBucket.h"

namespace wisteria::soak {

using namespace gateway_tests;

namespace {

constexpr int events = 8;
constexpr int eventMilliseconds = 25;
/// One in this many streams is reset while the servers abort streams.
constexpr unsigned abortEvery = 3;
/// Cold rate and bounds of the service "cold". The bound is below the rate at which callers send,
/// and above the sum of the gateways' shares, which are for a fleet of unknown size.
constexpr double coldPerSecond = 1;
constexpr std::size_t coldBound = 80;
/// Most requests that one gateway sends to one server of the service "cold" in any second. There
/// are no sidecars that report the number of gateways, so each assumes the default.
constexpr auto coldShare = static_cast<std::size_t>(coldBound / defaultGateways);
/// Time in which arrivals are compared with the sum of the shares. It is less than the second of
/// the shares, because requests take different times from the gateway's decision to their arrival.
constexpr milliseconds coldShareTime{800};
/// Time in which gateways that reach the store must know of a leaving, and time for a request that
/// was sent just before to arrive.
constexpr milliseconds drainTime{2000};
constexpr milliseconds arrivalTime{100};

/// Failure domain of a backend server. Servers that leave are in the gateways' domain, which gets
/// most requests.
const std::string &domainOf(std::size_t server)
{
    return Fleet::domains().at(server < linkedServerCount ? server % Fleet::domains().size() : 0);
}

std::string nameOf(std::size_t server)
{
    return "server-" + std::to_string(server);
}

nlohmann::json routeOf(const std::string &prefix, const std::string &kind)
{
    return {{"name", prefix},    {"hostname", "soak.example"}, {"path_prefix", prefix},
            {"kind", kind},      {"timeout_ms", 3000},         {"target_latency_ms", 1500},
            {"max_attempts", 2}, {"service", "all"},           {"resumable", kind == "streaming"},
            {"public", false}};
}

nlohmann::json coldRoute()
{
    nlohmann::json route = routeOf("/cold/", "idempotent");
    route["service"] = "cold";
    route["target_latency_ms"] = 200;
    return route;
}

/// A route of the service "held", whose runs may last longer than the grace period of gateways.
nlohmann::json heldRoute(const std::string &prefix, const std::string &kind)
{
    nlohmann::json route = routeOf(prefix, kind);
    route["service"] = "held";
    route["timeout_ms"] = heldTimeout.count();
    route["target_latency_ms"] = heldTimeout.count();
    return route;
}

nlohmann::json engineRoute()
{
    nlohmann::json route = routeOf("/engine/", "streaming");
    route["service"] = "engine";
    return route;
}

nlohmann::json crashingRoute()
{
    nlohmann::json route = routeOf("/crash/", "idempotent");
    route["service"] = "crashing";
    return route;
}

} // namespace

void RunRecorder::noteRun(const std::string &id, const std::string &path)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::size_t runs = ++runs_[id];
    const bool once = path.starts_with("/once/") || path.starts_with("/held-once/");
    if (once && runs > 1)
        violations_.push_back(id + " may run once but ran " + std::to_string(runs) + " times");
    constexpr std::size_t maxAttempts = 2;
    if (runs > maxAttempts)
        violations_.push_back(id + " ran " + std::to_string(runs)
                              + " times; its route allows 2 attempts");
}

void RunRecorder::noteViolation(const std::string &what)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    violations_.push_back(what);
}

void RunRecorder::noteRefused(const std::string &id)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    refused_.push_back(id);
}

void RunRecorder::noteUnanswered(const UnansweredRequest &request)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    unanswered_.push_back(request);
}

void RunRecorder::checkRefused()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const std::string &id : refused_) {
        if (runs_.contains(id))
            violations_.push_back(id + " ran although its answer said that it was not executed");
    }
}

std::vector<UnansweredRequest> RunRecorder::unanswered() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return unanswered_;
}

std::size_t RunRecorder::runs(const std::string &id) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
}

std::vector<std::string> RunRecorder::violations() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return violations_;
}

void RecentEvents::note(TimePoint now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    events_.push_back(now);
    while (now - events_.front() >= seconds(1))
        events_.pop_front();
}

std::size_t RecentEvents::count(TimePoint now, milliseconds within) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<std::size_t>(std::count_if(events_.begin(), events_.end(),
                                                  [&](TimePoint at) { return now - at < within; }));
}

Fleet::Fleet(const std::string &program, const std::string &folder, int gatewayCount)
    : leavings_(drainTime + arrivalTime), gatewayCount_(static_cast<std::size_t>(gatewayCount))
{
    for (std::size_t i = 0; i < serverCount; ++i) {
        servers_.push_back(std::make_unique<ScriptedServer>(
            [this, i](const SeenRequest &request, ScriptPeer &peer) { answer(i, request, peer); }));
        if (i < linkedServerCount)
            serverLinks_.push_back(std::make_unique<FaultProxy>(servers_.back()->endpoint()));
        putServer(i, "ready", ++sequences_.at(i));
    }
    for (std::size_t i = 0; i < coldServerCount; ++i) {
        coldServers_.push_back(std::make_unique<ScriptedServer>(
            [this, i](const SeenRequest &request, ScriptPeer &peer) {
                answerCold(i, request, peer);
            }));
        restartColdServer(i);
    }
    publish(true);
    storeLink_ = std::make_unique<FaultProxy>(store_.endpoint());
    for (int i = 0; i < gatewayCount; ++i)
        gateways_.push_back(
            std::make_unique<GatewayProcess>(program, folder, i, storeLink_->endpoint()));
}

bool Fleet::startGateways()
{
    constexpr seconds startTime{5};
    for (auto &gateway : gateways_) {
        if (!gateway->running())
            gateway->start();
    }
    const auto isReady = [](const auto &gateway) { return gateway->ready(); };
    return eventually([&] { return std::ranges::all_of(gateways_, isReady); }, startTime);
}

void Fleet::publish(bool withSpareOrganisation)
{
    nlohmann::json organisations = {{{"name", "acme"}, {"api_keys", {"key1"}}}};
    if (withSpareOrganisation)
        organisations.push_back({{"name", "spare"}, {"api_keys", {"key2"}}});
    store_.put(
        "keyed.op", "config",
        {{"version", ++version_},
         {"routes",
          {routeOf("/once/", "non_idempotent"), routeOf("/again/", "idempotent"),
           routeOf("/stream/", "streaming"), coldRoute(), crashingRoute(), engineRoute(),
           heldRoute("/held-once/", "non_idempotent"), heldRoute("/held-again/", "idempotent"),
           heldRoute("/held-stream/", "streaming")}},
         {"services",
          {{{"name", "cold"}, {"cold_s", 2}, {"cold_per_s", coldPerSecond}},
           {{"name", "engine"}, {"engine", {{"slot_count", 16}, {"sets", 1}}}}}},
         {"tenants", organisations}});
}

void Fleet::setDraining(std::size_t server, bool draining)
{
    putServer(server, draining ? "draining" : "ready", ++sequences_.at(server));
}

void Fleet::putServer(std::size_t server, const std::string &state, std::uint64_t sequence)
{
    const Endpoint address = server < linkedServerCount ? serverLinks_[server]->endpoint()
                                                        : servers_[server]->endpoint();
    store_.put("keyed.servers", nameOf(server),
               {{"service", "all"},
                {"address", toText(address)},
                {"zone", domainOf(server)},
                {"slot_count", 16},
                {"state", state},
                {"born", startedAt_.at(server)},
                {"sequence", sequence}});
}

void Fleet::leave(std::size_t server, Leaving how)
{
    const std::uint64_t older = ++sequences_.at(server);
    if (how == Leaving::Removal)
        store_.append("keyed.servers", nameOf(server), "");
    else
        putServer(server, "draining", ++sequences_.at(server));
    leavings_.begin(nameOf(server), monotonicNow());
    if (how == Leaving::DrainingThenOlder)
        putServer(server, "ready", older);
}

void Fleet::repeatDraining(std::size_t server)
{
    putServer(server, "draining", ++sequences_.at(server));
}

void Fleet::comeBack(std::size_t server)
{
    ++startedAt_.at(server);
    sequences_.at(server) = 1;
    leavings_.end(nameOf(server));
    putServer(server, "ready", sequences_.at(server));
}

void Fleet::failStoreCalls(unsigned period, StoreFault fault)
{
    if (period == 0) {
        store_.setFaults({});
        return;
    }
    store_.setFaults([calls = 0U, period, fault](const std::string &) mutable {
        return ++calls % period == 0 ? fault : StoreFault::None;
    });
}

void Fleet::setSuspended(std::size_t gateway, bool suspended)
{
    leavings_.setCut("gateway-" + std::to_string(gateway), suspended, monotonicNow());
}

void Fleet::setCut(const std::string &cause, bool cut)
{
    const TimePoint now = monotonicNow();
    evacuations_.setCut(cause, cut, now);
    leavings_.setCut(cause, cut, now);
}

const std::array<std::string, 2> &Fleet::domains()
{
    static const std::array<std::string, 2> domains = {"a", "b"};
    return domains;
}

void Fleet::setEvacuated(const std::string &domain, bool evacuated)
{
    if (!evacuated)
        evacuations_.end(domain);
    store_.append("keyed.op", "evacuate/" + domain, evacuated ? "{}" : "");
    if (evacuated)
        evacuations_.begin(domain, monotonicNow());
}

void Fleet::setStoreUnavailable(bool unavailable)
{
    store_.setUnavailable(unavailable);
    setCut("unavailable", unavailable);
}

void Fleet::setStoreLinkFault(LinkFault fault)
{
    storeLink_->setFault(fault);
    const bool cut = fault != LinkFault::None && fault != LinkFault::Delayed;
    setCut("link", cut);
}

std::size_t Fleet::arrivalsIn(const std::string &domain) const
{
    std::size_t sum = 0;
    for (std::size_t server = 0; server < arrivals_.size(); ++server)
        sum += domainOf(server) == domain ? arrivals_.at(server).load() : 0;
    return sum;
}

void Fleet::noteArrival(std::size_t server, const std::string &id)
{
    ++arrivals_.at(server);
    if (leavings_.forbids(nameOf(server), monotonicNow()))
        recorder_.noteViolation(id + " arrived at " + nameOf(server) + ", which has left");
    if (evacuations_.forbids(domainOf(server), monotonicNow()))
        recorder_.noteViolation(id + " arrived at server-" + std::to_string(server)
                                + " in an evacuated domain");
}

void Fleet::putColdEntry(std::size_t server, nlohmann::json fields)
{
    fields.update({{"service", "cold"},
                   {"address", toText(coldServers_[server]->endpoint())},
                   // Never evacuated, so that the service can always be served.
                   {"zone", "c"},
                   {"slot_count", 16},
                   {"state", "ready"},
                   {"born", coldStartedAt_.at(server)}});
    store_.put("keyed.servers", "cold-" + std::to_string(server), fields);
}

void Fleet::putColdServer(std::size_t server)
{
    const milliseconds left = remaining(monotonicNow(), coldUntil_.at(server));
    putColdEntry(server, {{"cold_remaining_ms", left.count()}});
}

void Fleet::restartColdServer(std::size_t server)
{
    ++coldStartedAt_.at(server);
    putColdEntry(server, nlohmann::json::object());
}

/// Checks the stated bound, and that each gateway keeps to its share. A gateway that has restarted
/// does not know what it sent before; one that continues may send what it chose before.
void Fleet::noteColdArrival(std::size_t server, TimePoint now)
{
    RecentEvents &arrivals = coldArrivals_.at(server);
    arrivals.note(now);
    const std::string name = "cold-" + std::to_string(server);
    if (const std::size_t count = arrivals.count(now); count > coldBound)
        recorder_.noteViolation(name + " got " + std::to_string(count)
                                + " requests within a second");
    const std::size_t shares = (gatewayCount_ + gatewayBegins_.count(now)) * coldShare;
    if (const std::size_t count = arrivals.count(now, coldShareTime); count > shares)
        recorder_.noteViolation(name + " got " + std::to_string(count) + " requests within "
                                + std::to_string(coldShareTime.count())
                                + " ms; the gateways' shares are " + std::to_string(shares));
}

void Fleet::answerCold(std::size_t server, const SeenRequest &request, ScriptPeer &peer)
{
    const TimePoint now = monotonicNow();
    noteColdArrival(server, now);
    const std::string id = request.header("Wisteriawind-Attempt-Id");
    recorder_.noteRun(id, request.target());
    const milliseconds left = remaining(now, coldUntil_.at(server));
    const std::string cold = left > milliseconds(0)
        ? "Wisteriawind-Cold-Ms: " + std::to_string(left.count()) + "\r\n"
        : "";
    peer.send(plainResponse(200, ownFields(request) + cold, "answer to " + id));
}

void Fleet::answer(std::size_t server, const SeenRequest &request, ScriptPeer &peer)
{
    const std::string id = request.header("Wisteriawind-Attempt-Id");
    noteArrival(server, id);
    const ServerSignal serverSignal = signals_.at(server);
    if (serverSignal == ServerSignal::Backoff) {
        peer.send(plainResponse(503,
                                "Wisteriawind-Not-Executed: 1\r\nRetry-After: 0.5\r\n"
                                "Wisteriawind-Attempt-Id: "
                                    + id + "\r\n",
                                ""));
        return;
    }
    const std::string fields =
        ownFields(request) + (serverSignal == ServerSignal::Limit ? "Server-Limit: 2\r\n" : "");
    recorder_.noteRun(id, request.target());
    if (!request.header("Authorization").empty())
        recorder_.noteViolation(id + ": the caller's key reached a backend server");
    const RawAnswer *broken = nextBroken(server);
    const bool isStream = request.target().starts_with("/stream/");
    const bool breaksWithin = broken != nullptr && isStream && brokenAnswers_ % 2 == 0;
    if (broken != nullptr && !breaksWithin) {
        sendBytes(*broken, request, peer);
        return;
    }
    if (isStream) {
        stream(request, fields, breaksWithin, peer);
        return;
    }
    peer.send(plainResponse(200, fields, "answer to " + id));
}

void Fleet::setTrouble(std::size_t server, unsigned period, unsigned firstKind)
{
    Trouble &trouble = troubles_.at(server);
    trouble.nextKind = firstKind;
    trouble.period = period;
}

const RawAnswer *Fleet::nextBroken(std::size_t server)
{
    Trouble &trouble = troubles_.at(server);
    const unsigned period = trouble.period;
    if (period == 0 || ++trouble.answers % period != 0)
        return nullptr;
    ++brokenAnswers_;
    const std::vector<RawAnswer> &kinds = answersWithBrokenHead();
    return &kinds.at(trouble.nextKind++ % kinds.size());
}

void Fleet::stream(const SeenRequest &request, const std::string &fields, bool breaks,
                   ScriptPeer &peer)
{
    const std::string id = request.header("Wisteriawind-Attempt-Id");
    const std::string last = request.header("Last-Event-Id");
    const bool aborts = abortingStreams_ && ++streams_ % abortEvery == 0;
    peer.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + fields
              + "Transfer-Encoding: chunked\r\n\r\n");
    for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= events; ++event) {
        const std::string text =
            "id: " + std::to_string(event) + "\ndata: " + id + "/" + std::to_string(event);
        if (breaks && event > events / 2) {
            peer.send("zz\r\n" + text);
            return;
        }
        if (aborts && event > events / 2) {
            peer.send(chunk(text));
            peer.reset();
            return;
        }
        peer.send(chunk(text + "\n\n"));
        ::poll(nullptr, 0, eventMilliseconds);
    }
    peer.send("0\r\n\r\n");
}

} // namespace wisteria::soak
