#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Gateway/PermitDatagram.h"
#include "Request/BackendRegistry.h"
#include "Request/LimitOwners.h"

namespace wisteria::gateway_tests {

/// Gateways in virtual time that send to the servers of one service, which may be cold. A datagram
/// takes one tick and may be lost. A request takes no time; one that can't be sent at once is
/// refused.
class ColdFleet
{
public:
    static constexpr TimePoint start{seconds(100)};
    /// The service's cold rate, the time that a server is cold, and the bound of requests to a
    /// server in any second.
    static constexpr double coldPerSecond = 26;
    static constexpr seconds coldTime{10};
    static constexpr std::size_t bound = 44;

    ColdFleet(std::size_t gateways, const std::vector<std::string> &servers, double lossRate = 0,
              std::uint64_t seed = 17);

    /// Advances the time while callers send so many requests per second to all gateways together.
    void run(milliseconds time, double requestsPerSecond);
    /// All gateways read an entry of a server.
    void putEntry(const std::string &server, std::optional<milliseconds> coldRemaining);
    /// Sets whether all slots of a server are taken.
    void setFull(const std::string &server, bool full) { full_[server] = full; }
    void setOvershoot(double overshoot);
    void setSuspended(std::size_t gateway, bool suspended);
    /// A gateway loses everything and reads the servers' last entries.
    void restart(std::size_t gateway);
    /// Gateways of different groups can't reach each other. Numbers are assigned in turn.
    void splitInto(std::size_t groups) { groups_ = groups; }

    std::size_t ownerOf(const std::string &server) const;
    TimePoint now() const { return now_; }
    /// Number of requests to a server from `from` on, within `time`.
    std::size_t sent(const std::string &server, TimePoint from, milliseconds time) const;
    /// Largest number of requests to any server in any second.
    std::size_t maxInSecond() const;

private:
    struct Peer
    {
        BackendRegistry registry;
        PeerGateways known;
        OwnedLimits owned;
        bool suspended = false;
    };

    double randomUnit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    Peer newPeer() const;
    void sendDatagram(PermitDatagram datagram);
    void deliver();
    void handleRequest(Peer &peer);
    void requestPermits(std::size_t index);

    std::vector<Peer> gateways_;
    PeerGateways known_;
    std::map<std::string, BackendEntry> entries_;
    std::map<std::string, bool> full_;
    std::map<std::string, std::vector<TimePoint>> sentAt_;
    double lossRate_;
    double overshoot_ = 1.5;
    std::size_t groups_ = 1;
    std::uint64_t lastOffset_ = 0;
    TimePoint now_ = start;
    std::deque<PermitDatagram> inTransit_;
    std::mt19937_64 random_;
};

} // namespace wisteria::gateway_tests
