#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Process/Time.h"

namespace wisteria {

/// Rate limit that a backend server last advertised; it covers all gateways together.
struct AdvertisedLimit
{
    /// Requests per second; nothing when the server advertises no limit.
    std::optional<double> perSecond{};
    TimePoint receivedAt{};
};

/// Returns whether the server ever advertised a limit, or its end.
bool wasAdvertised(const AdvertisedLimit &advertised);

/// Stores an advertised limit unless a later one is known.
/// @return Whether the rate changed.
bool updateLimit(AdvertisedLimit &known, const AdvertisedLimit &advertised);

/// Rate limit of a cold backend server, for all gateways together.
struct ColdLimit
{
    /// Requests per second until the end of the cold phase.
    double perSecond = 0;
    TimePoint until{};
    /// Slow start: within this time after `until` the rate rises linearly to `fullPerSecond`, and
    /// then the limit ends. Without it, a failure domain that comes back would get all waiting
    /// requests at once.
    milliseconds slowStart{0};
    double fullPerSecond = 0;
};

/// Returns the rate in requests per second; nothing when the limit has ended.
std::optional<double> rateOf(const ColdLimit &limit, TimePoint now);

/// Returns the limit as it is now, without a slow start, to be sent to a limit owner. A rate of the
/// slow start applies only for a short time.
ColdLimit currentLimit(const ColdLimit &limit, TimePoint now);

/// Returns how much longer the limit applies, rounded up: a limit that has not ended never has zero
/// time left, which an owner would take for none.
milliseconds remainingTime(const ColdLimit &limit, TimePoint now);

/// One gateway's state for the rate limit of a backend server. A value type without I/O.
///
/// The limit covers all gateways together, so one process, the limit owner, grants permits for it.
/// If each gateway had a fixed share, a server would idle while the callers of one gateway need it,
/// and one request from each of many gateways would exceed a small limit.
struct ServerLimit
{
    AdvertisedLimit advertised;
    /// Limit of the server's cold phase. The lower one of both limits applies.
    ColdLimit cold;
    /// Requests that may be sent to the server, and when these permits expire.
    std::uint32_t permits = 0;
    TimePoint permitsUntil;
    /// Until then permits are requested.
    TimePoint wantedUntil;
    /// The limit changed and the limit owner has not been informed yet.
    bool ownerNotInformed = false;
    /// Earliest time of the next permit request.
    TimePoint nextRequestAt;
    /// When the limit owner expects to have the next permit, for whichever gateway asks first.
    TimePoint nextPermitAt;
    /// Number of the last permit request, and whether its reply is outstanding. A reply to an
    /// earlier request and a duplicated reply grant nothing.
    std::uint32_t requestNumber = 0;
    bool awaitingReply = false;
    /// Whether that request asked for a permit and did not only inform the owner.
    bool requestedPermit = false;
    TimePoint requestedAt;
};

/// Limits of all backend servers that advertised one or are cold, by server id.
using ServerLimits = std::map<std::string, ServerLimit>;

/// Returns the limit that applies now, in requests per second; nothing when there is none.
std::optional<double> limitAt(const ServerLimit &limit, TimePoint now);

/// Stores the limit that an answer of a backend server advertised.
/// @return Whether the rate changed.
bool noteAdvertisedLimit(ServerLimits &limits, const std::string &id,
                         const AdvertisedLimit &advertised);

/// Returns whether one more request may be sent to a backend server: it has no limit, or this
/// gateway holds a permit.
bool isPermitted(const ServerLimits &limits, const std::string &id, TimePoint now);

/// Uses up one permit for a request that is sent; does nothing when none is held.
void consumePermit(ServerLimits &limits, const std::string &id, TimePoint now);

/// Makes nextPermitRequest() ask for a permit for the next 75 ms, because a request waits for one
/// or further requests are likely. Not to be called for a refused request: its permit would expire
/// unused and be lost to all gateways.
void markPermitWanted(ServerLimits &limits, const std::string &id, TimePoint now);

/// Returns the number of backend servers that advertise a limit now.
std::size_t activeLimitCount(const ServerLimits &limits);

/// Request of a gateway to a limit owner.
struct PermitRequest
{
    std::string server;
    /// Requests one permit; if false, the message only informs the owner of the advertised limit.
    bool wanted = false;
    std::uint32_t number = 0;
    AdvertisedLimit advertised{};
    /// Result of currentLimit(); the owner may not know yet that the server is cold.
    ColdLimit cold{};
};

/// Reply of a limit owner.
struct PermitReply
{
    std::string server;
    std::uint32_t number = 0;
    bool granted = false;
    /// Time until the owner expects to have the next permit.
    milliseconds nextIn{0};
    /// Latest advertised limit that the owner knows.
    AdvertisedLimit advertised{};
};

/// Returns the permit request for a backend server to send now, and records it as sent; nothing
/// when none is due.
std::optional<PermitRequest> nextPermitRequest(ServerLimits &limits, const std::string &id,
                                               TimePoint now);

/// Applies a limit owner's reply.
/// @return Whether this allows a request: a permit was granted or the limit ended.
bool applyPermitReply(ServerLimits &limits, const PermitReply &reply, TimePoint now);

/// Returns whether an advertised limit is older than five minutes, so that its server counts as
/// gone. A gateway keeps the limit nonetheless while the server has an entry.
bool isExpired(const AdvertisedLimit &advertised, TimePoint now);

/// Returns whether a limit contains no information any more, because the server never advertised a
/// limit and its cold phase and slow start are over.
bool isObsolete(const ServerLimit &limit, TimePoint now);

/// Token bucket of a limit at its owner. A value type without I/O.
struct OwnedLimit
{
    AdvertisedLimit advertised;
    /// Lowest limit of a cold phase that the gateways reported recently, and when it was last
    /// reported; see noteColdLimit().
    ColdLimit cold;
    TimePoint coldReportedAt;
    double tokens = 0;
    TimePoint refilledAt;
};

/// Limits that one gateway owns, by server id.
using OwnedLimits = std::map<std::string, OwnedLimit>;

/// Records the limit of a cold phase as a gateway knows it; see currentLimit(). A higher rate than
/// the known one applies once no gateway has reported the known one for 250 ms, so that the limit
/// follows a raised rate and the end of a phase.
void noteColdLimit(OwnedLimit &owned, const ColdLimit &reported, TimePoint now);

/// Answers a permit request from any gateway within the whole limit.
///
/// The bucket starts empty: until now the gateways may have used another limit owner, and both
/// together must not grant more than the limit.
PermitReply answerPermitRequest(OwnedLimit &owned, const PermitRequest &request, TimePoint now);

/// Answers a permit request of a gateway that knows no other gateway and grants itself a share of
/// the limit.
/// @param share Fraction of the limit, in (0, 1].
/// @param randomUnit Uniform random number in [0, 1), the initial fill of the bucket.
PermitReply answerWithoutPeers(OwnedLimit &owned, const PermitRequest &request, double share,
                               double randomUnit, TimePoint now);

/// Removes owned limits whose advertised limit is expired and for which no gateway requests permits
/// any more.
void removeExpiredLimits(OwnedLimits &owned, TimePoint now);

} // namespace wisteria
