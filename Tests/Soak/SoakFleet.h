#pragma once

#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "Gateway/BrokenAnswers.h"
#include "Gateway/StoreStandIn.h"
#include "Soak/BoundCheck.h"
#include "Soak/FaultProxy.h"
#include "Soak/GatewayProcess.h"

namespace wisteria::soak {

/// A request that was sent whole to a gateway that was not killed, and got no status.
struct UnansweredRequest
{
    std::size_t gateway = 0;
    std::string id;
    bool newConnection = false; ///< It was the first on its connection.
    milliseconds sentAt{0}; ///< By the clock of the gateways' lines.
    milliseconds idle{0}; ///< Time between the last answer on a kept connection and the request.
    milliseconds waited{0}; ///< Until the connection ended.
};

/// Records the runs of requests on backend servers by attempt id, and violations of guarantees.
/// Thread-safe.
class RunRecorder
{
public:
    void noteRun(const std::string &id, const std::string &path);
    /// Records a violated guarantee.
    void noteViolation(const std::string &what);
    /// Records that a caller was told by 503 that its request, which may run once, did not run.
    void noteRefused(const std::string &id);
    void noteUnanswered(const UnansweredRequest &request);

    /// Checks at the end that no refused request ran.
    void checkRefused();
    std::vector<UnansweredRequest> unanswered() const;
    std::size_t runs(const std::string &id) const;
    std::vector<std::string> violations() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::size_t> runs_;
    std::vector<std::string> violations_;
    std::vector<std::string> refused_;
    std::vector<UnansweredRequest> unanswered_;
};

/// Signal that a backend server sends in its answers.
enum class ServerSignal {
    None,
    Limit, ///< It advertises a limit for all gateways together.
    Backoff, ///< It refuses requests with a Retry-After header.
};

/// Events within the last second. Thread-safe.
class RecentEvents
{
public:
    void note(TimePoint now);
    /// @param within At most a second.
    /// @return Number of events within the time that ends now.
    std::size_t count(TimePoint now, milliseconds within = seconds(1)) const;

private:
    mutable std::mutex mutex_;
    std::deque<TimePoint> events_;
};

/// Servers of the service "all" behind links that may fail, and after them those that leave and
/// return; a link that fails would deliver requests late to these.
inline constexpr std::size_t linkedServerCount = 4;
inline constexpr std::size_t leavingServerCount = 3;
inline constexpr std::size_t serverCount = linkedServerCount + leavingServerCount;

/// How a server that leaves tells the store.
enum class Leaving {
    Removal, ///< Its entry is removed.
    Draining, ///< Its entry says so.
    DrainingThenOlder, ///< The same, and an earlier heartbeat is written after it.
};

/// Time limit of requests of the service "held".
inline constexpr milliseconds heldTimeout{9000};

/// Number of servers of the service "cold", whose servers may be cold.
inline constexpr std::size_t coldServerCount = 2;

/// Backend servers and the configuration store, each behind a fault proxy, and the gateways.
class Fleet
{
public:
    Fleet(const std::string &program, const std::string &folder, int gatewayCount);

    RunRecorder &recorder() { return recorder_; }
    std::vector<std::unique_ptr<GatewayProcess>> &gateways() { return gateways_; }
    /// Starts the gateways that don't run and waits for all.
    /// @return Whether all became ready.
    bool startGateways();
    gateway_tests::StoreStandIn &store() { return store_; }
    std::vector<std::unique_ptr<FaultProxy>> &serverLinks() { return serverLinks_; }
    /// Sets whether the store answers all calls with 503.
    void setStoreUnavailable(bool unavailable);
    void setStoreLinkFault(LinkFault fault);
    void resetStoreLink() { storeLink_->resetConnections(); }
    /// Publishes a new configuration version, with or without the organisation "spare".
    void publish(bool withSpareOrganisation);
    /// Sets whether the backend servers abort some of the streams.
    void setAbortingStreams(bool aborting) { abortingStreams_ = aborting; }
    void setSignal(std::size_t server, ServerSignal serverSignal)
    {
        signals_.at(server) = serverSignal;
    }
    /// Sets that one in `period` answers of a server is broken; none if it is 0.
    /// @param firstKind Which kind of broken answer comes first.
    void setTrouble(std::size_t server, unsigned period, unsigned firstKind);
    /// Number of broken answers that servers have sent.
    std::size_t brokenAnswers() const { return brokenAnswers_; }
    /// Writes a server's record in the configuration store as draining or ready.
    void setDraining(std::size_t server, bool draining);
    /// Lets a server leave; it goes on serving.
    /// @param server From `linkedServerCount` on.
    void leave(std::size_t server, Leaving how);
    /// Writes the heartbeat of a server that drains.
    void repeatDraining(std::size_t server);
    /// Starts a server that has left again under its id.
    void comeBack(std::size_t server);
    /// Refuses or leaves unanswered one in `period` calls of the store; none if it is 0.
    void failStoreCalls(unsigned period, gateway_tests::StoreFault fault);
    /// Records that a gateway can't read the store's list because it is suspended, or can again.
    void setSuspended(std::size_t gateway, bool suspended);
    /// Writes or deletes the operator's record that evacuates a failure domain. This also works
    /// while the gateways can't reach the store.
    void setEvacuated(const std::string &domain, bool evacuated);
    /// Failure domains of the backend servers; the gateways are in the first one.
    static const std::array<std::string, 2> &domains();
    /// Number of requests that have arrived in a failure domain.
    std::size_t arrivalsIn(const std::string &domain) const;
    /// Sets until when a server of the service "cold" states in its answers that it is cold.
    void setColdUntil(std::size_t server, TimePoint until) { coldUntil_.at(server) = until; }
    /// Writes the record of a server of the service "cold", with the rest of its cold time.
    void putColdServer(std::size_t server);
    /// Records that a gateway is about to start again, or to continue after it was suspended.
    void noteGatewayBegin()
    {
        gatewayBegins_.note(monotonicNow());
        ++gatewayBeginCount_;
    }
    /// Number of these records.
    std::size_t gatewayBeginCount() const { return gatewayBeginCount_; }
    /// A server of the service "cold" restarts under its id; its record states no cold time.
    void restartColdServer(std::size_t server);

private:
    void putServer(std::size_t server, const std::string &state, std::uint64_t sequence);
    void setCut(const std::string &cause, bool cut);
    void noteArrival(std::size_t server, const std::string &id);
    void noteColdArrival(std::size_t server, TimePoint now);
    void putColdEntry(std::size_t server, nlohmann::json fields);
    void answerCold(std::size_t server, const gateway_tests::SeenRequest &request,
                    gateway_tests::ScriptPeer &peer);
    void answer(std::size_t server, const gateway_tests::SeenRequest &request,
                gateway_tests::ScriptPeer &peer);
    /// @param breaks Whether bytes that are no chunk follow half of the events.
    void stream(const gateway_tests::SeenRequest &request, const std::string &fields, bool breaks,
                gateway_tests::ScriptPeer &peer);

    /// The broken answer that a server in trouble sends next; null for a sound one.
    const gateway_tests::RawAnswer *nextBroken(std::size_t server);

    /// Broken answers of a server.
    struct Trouble
    {
        std::atomic<unsigned> period = 0;
        std::atomic<unsigned> nextKind = 0;
        std::atomic<unsigned> answers = 0;
    };

    RunRecorder recorder_;
    std::array<Trouble, serverCount> troubles_;
    std::atomic<std::size_t> brokenAnswers_ = 0;
    std::array<std::atomic<ServerSignal>, serverCount> signals_{};
    std::array<std::atomic<std::size_t>, serverCount> arrivals_{};
    std::array<std::uint64_t, serverCount> startedAt_{};
    std::array<std::uint64_t, serverCount> sequences_{};
    BoundCheck evacuations_{evacuationBound};
    BoundCheck leavings_;
    std::atomic<bool> abortingStreams_ = false;
    std::atomic<unsigned> streams_ = 0;
    int version_ = 0;
    gateway_tests::StoreStandIn store_;
    const std::size_t gatewayCount_;
    RecentEvents gatewayBegins_;
    std::atomic<std::size_t> gatewayBeginCount_ = 0;
    std::array<RecentEvents, coldServerCount> coldArrivals_;
    std::array<std::atomic<TimePoint>, coldServerCount> coldUntil_{};
    std::array<std::uint64_t, coldServerCount> coldStartedAt_{};
    std::vector<std::unique_ptr<gateway_tests::ScriptedServer>> coldServers_;
    std::vector<std::unique_ptr<gateway_tests::ScriptedServer>> servers_;
    /// Of the first `linkedServerCount` servers.
    std::vector<std::unique_ptr<FaultProxy>> serverLinks_;
    std::unique_ptr<FaultProxy> storeLink_;
    std::vector<std::unique_ptr<GatewayProcess>> gateways_;
};

} // namespace wisteria::soak
