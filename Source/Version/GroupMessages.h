#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Process/Endpoint.h"
#include "Process/Error.h"
#include "Process/Time.h"
#include "Version/CrashMessages.h"
#include "Version/RankReport.h"

namespace wisteria {

/// Sizes and copy costs of a service's engines, the input of expert placement.
struct ExpertProfile
{
    std::uint32_t sets = 0;
    std::uint32_t expertsPerSet = 0;
    std::uint32_t expertsPerRank = 0;
    /// Maximum number of experts of a set that one rank may copy for one new map.
    std::uint32_t copiesPerMap = 0;
    /// Time to copy one expert's weights to a rank, in milliseconds.
    double copyMilliseconds = 0;

    bool operator==(const ExpertProfile &) const = default;
};

/// Maximum number of experts of all sets. One datagram holds the counts of that many.
inline constexpr std::uint64_t maxExpertsOfProfile = 65536;
/// Longest time to copy one expert's weights, in milliseconds.
inline constexpr double maxCopyMilliseconds = 3'600'000;

/// Checks a profile that another process wrote. Its numbers become sizes of memory.
/// @return BadInput when a number is beyond any that occurs.
Result<void> checkProfile(const ExpertProfile &profile);

/// Whether the experts of a rank, by set, can be those of an engine with this profile: as many
/// sets, and in each only experts that exist, none twice. Numbers of experts are used as indexes.
bool areExpertsOf(const ExpertProfile &profile,
                  const std::vector<std::vector<std::uint32_t>> &experts);

/// Engines of a service and their profile. A sidecar needs nothing else of the platform's lists.
struct EngineList
{
    ExpertProfile profile;
    /// Engines of the service; each has a sidecar on the same VM.
    std::vector<Endpoint> engines;

    bool operator==(const EngineList &) const = default;
};

/// Returns a hash of the list, which depends on the order of the engines.
std::uint64_t digestOf(const EngineList &list);

/// Heartbeat of a gateway to a sidecar, with the digest of the engine list that the gateway uses.
/// The list itself is sent on request only: in each hello, traffic would grow with gateways times
/// engines squared.
struct GatewayHello
{
    std::uint64_t listDigest = 0;
};

/// Request of a sidecar to a gateway for the list whose digest its hello contained. The reply is an
/// EngineList.
struct EngineListRequest
{ };

/// Report of a sidecar to a gateway about the load of its engine.
struct EngineLoad
{
    Endpoint engine;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Above 1 for an engine slower than usual. Encoded in hundredths.
    double slowdown = 1;
    /// The group accepts work. After a rank has crashed it does not until the group has formed
    /// again.
    bool open = true;
    /// Number of gateways that receive this report, and so share the free slots.
    std::uint32_t gateways = 1;
    /// The engine answers its sidecar. Otherwise the other fields are unknown.
    bool engineAnswers = true;

    bool operator==(const EngineLoad &) const = default;
};

/// Request of the group's leader to a sidecar for its rank's status.
struct RankPoll
{
    /// Versions whose complete map the leader has. Statuses of ranks on these maps may omit the
    /// experts, which are most of a status's bytes.
    std::vector<std::uint64_t> knownMaps{};
    /// Group that the sender leads, and the rank beside it. A poll without a group is from an
    /// earlier version, whose one leader leads all groups.
    std::string group{};
    std::uint32_t rank = 0;
};

/// Requests from a sidecar how often its rank, and the ranks beside further sidecars, chose each
/// expert since the last request. The receiver requests the counts of the further sidecars and
/// replies with one sum.
struct CountsPoll
{
    /// Engines beside the further sidecars.
    std::vector<Endpoint> engines;
};

/// Reply to a CountsPoll.
struct CountsReply
{
    std::string group{};
    std::uint64_t epoch = 0;
    /// Number of ranks in the sum.
    std::uint32_t ranks = 0;
    /// Largest number of passes that one rank's counts cover; 0 when nothing was counted since the
    /// last request.
    std::uint64_t passes = 0;
    /// One set of experts after the other; empty when nothing was counted. Only their proportions
    /// matter, so the square root of each ratio to the largest count is encoded, in few levels.
    std::vector<std::uint64_t> counts{};
};

/// A status that arrives longer than this after another one is not a delayed older one, even if its
/// read time is earlier: the clock starts again when the VM boots.
constexpr milliseconds maxReorderingDelay{1000};

/// Status of a rank, as its sidecar last read it.
struct RankStatus
{
    Endpoint engine;
    /// Time since the VM's boot at which the status was read. Datagrams can be reordered, and an
    /// older status must not replace a newer one.
    std::uint64_t readAtMilliseconds = 0;
    RankReport report{};
    /// Version that the engine accepted on the sidecar's last order to prepare, so that it copies
    /// the weights; 0 for none.
    std::uint64_t accepted = 0;
    /// The sidecar has the complete map that is in force at its rank, so it can apply changes to
    /// it.
    bool mapKnown = false;
    /// Experts that the rank has, by set; empty while unknown or if the leader has the map already.
    std::vector<std::vector<std::uint32_t>> experts{};
};

/// Whether a status is a delayed older one, which must not replace the known one.
/// @param knownReadAtMilliseconds Read time of the known status.
inline bool isDelayed(const RankStatus &status, std::uint64_t knownReadAtMilliseconds,
                      TimePoint knownReceivedAt, TimePoint now)
{
    return knownReadAtMilliseconds > status.readAtMilliseconds
        && now - knownReceivedAt < maxReorderingDelay;
}

/// New list of the experts of one set at one rank.
struct RankMapChange
{
    std::uint32_t set = 0;
    std::uint32_t rank = 0;
    std::vector<std::uint32_t> experts;
};

/// Command of the group's leader to a sidecar to send an order to its rank.
struct RankCommand
{
    RankOrder order;
    /// For Prepare without a map: the version of the map that the changes apply to, which the
    /// sidecar has. A complete map for each rank would take a third of a second of the link of a
    /// large group's leader.
    std::uint64_t base = 0;
    std::vector<RankMapChange> changes{};
    /// Group of the leader; empty from an earlier version. A rank that has changed its group
    /// refuses orders of the earlier one only if the epochs differ.
    std::string group{};
};

/// A message that the receiver handles itself and forwards to the sidecars of further engines.
///
/// Without relays, sending a new map to each rank of a large group would keep the link of the
/// leader's VM busy for longer than a pass takes.
struct RelayedMessage
{
    std::vector<Endpoint> engines;
    /// Encoded message, which is never a RelayedMessage.
    std::string message;
};

/// Age in permit messages of a limit that the server never advertised, which is the case for one
/// that is only cold.
inline constexpr std::uint32_t ageOfNoLimit = std::numeric_limits<std::uint32_t>::max();

/// Message of a gateway to the limit owner of a backend server, the gateway that grants permits to
/// send requests there: requests a permit, reports the limit that the server advertised, or both.
struct PermitRequestMessage
{
    std::string server;
    /// A permit for one request to the server is requested.
    bool wanted = false;
    std::uint32_t number = 0;
    /// Last limit that the server advertised, in requests per second; empty for none.
    std::optional<double> perSecond{};
    /// Time since that limit was received; ageOfNoLimit if the server never advertised one.
    std::uint32_t ageMilliseconds = 0;
    /// Rate of the server's cold phase, in requests per second, and how much longer it applies;
    /// empty for none. Encoded only if it is present, at the end.
    std::optional<double> coldPerSecond{};
    std::uint32_t coldMilliseconds = 0;
};

/// Reply to the PermitRequestMessage of the same number.
struct PermitReplyMessage
{
    std::string server;
    std::uint32_t number = 0;
    bool granted = false;
    /// Time until the next permit can be granted.
    std::uint32_t nextInMilliseconds = 0;
    /// Latest limit that any gateway received from the server, in requests per second; empty for
    /// none.
    std::optional<double> perSecond{};
    /// Time since that limit was received; ageOfNoLimit if the server never advertised one.
    std::uint32_t ageMilliseconds = 0;
};

/// Tells another gateway that the sender exists, and its address is where the message comes from.
struct GatewayPresence
{
    /// Name of the sender's VM.
    std::string gateway;
};

/// Tells a gateway that asks by its GatewayPresence that the sender knows all crashes that count,
/// so that the gateway lacks none once it has the sender's reports.
struct EvidenceComplete
{ };

/// Returns the initial map of a group, version 0: experts are assigned to ranks round-robin. Spare
/// slots stay empty, unlike in initialLayerMap().
RankMap firstRankMap(const ExpertProfile &profile, std::size_t ranks);

/// Returns the changes that turn one map into another of the same shape.
std::vector<RankMapChange> changesBetween(const RankMap &from, const RankMap &to);

/// Applies changes to a map.
/// @return BadInput when a change names a set or rank that is not in the map.
Result<RankMap> applyChanges(RankMap map, const std::vector<RankMapChange> &changes);

using GroupMessage =
    std::variant<GatewayHello, EngineListRequest, EngineList, EngineLoad, RankPoll, RankStatus,
                 RankCommand, RelayedMessage, CountsPoll, CountsReply, PermitRequestMessage,
                 PermitReplyMessage, CrashReport, CompletionReport, GatewayPresence, ClaimMessage,
                 CopyReport, EvidenceComplete, OrganisationIdReport>;

/// Returns the message as MessagePack bytes.
std::string encodeMessage(const GroupMessage &message);

/// Decodes a message.
/// @return BadInput for bytes that are not a valid message of this version.
Result<GroupMessage> decodeMessage(std::string_view bytes);

} // namespace wisteria
