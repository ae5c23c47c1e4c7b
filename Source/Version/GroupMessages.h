#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Process/Endpoint.h"
#include "Process/Error.h"
#include "Version/RankReport.h"

namespace wisteria {

/// What the placement of experts needs to know of a service's engines.
struct ExpertProfile
{
    std::uint32_t sets = 0;
    std::uint32_t expertsPerSet = 0;
    std::uint32_t expertsPerRank = 0;
    /// Experts of a set that one rank may load for one new map.
    std::uint32_t copiesPerMap = 0;
    /// Time that one expert's weights take to a rank, in milliseconds.
    double copyMilliseconds = 0;

    bool operator==(const ExpertProfile &) const = default;
};

/// Who serves a service. A sidecar needs no other knowledge of the platform's lists.
struct EngineList
{
    ExpertProfile profile;
    /// Engines of the service; each has a sidecar on the same VM.
    std::vector<Endpoint> engines;

    bool operator==(const EngineList &) const = default;
};

/// Tells lists apart; the order of the engines counts.
std::uint64_t digestOf(const EngineList &list);

/// A gateway tells a sidecar that it is there, and which list it goes by. The list itself travels
/// only on demand: in each hello it would grow with gateways times engines squared.
struct GatewayHello
{
    std::uint64_t listDigest = 0;
};

/// A sidecar asks a gateway for the list that its hello named; answered by an EngineList.
struct EngineListRequest
{ };

/// A sidecar tells a gateway the load of its engine.
struct EngineLoad
{
    Endpoint engine;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Above 1 for an engine slower than usual. Travels in hundredths.
    double slowdown = 1;
    /// Its group takes work; one whose rank has crashed does not until it has formed anew.
    bool open = true;
    /// Gateways that are told, and so share the free places.
    std::uint32_t gateways = 1;

    bool operator==(const EngineLoad &) const = default;
};

/// The group's leader asks a sidecar for its rank's state.
struct RankPoll
{
    /// Versions of maps that the leader knows whole: the states of ranks on them need not name the
    /// experts, which make up most of a state's bytes.
    std::vector<std::uint64_t> knownMaps{};
};

/// Asks a sidecar how often its rank, and the ranks beside further sidecars, chose each expert
/// since they were last asked. The receiver asks those and answers with one sum.
struct CountsPoll
{
    /// Engines beside the further sidecars.
    std::vector<Endpoint> engines;
};

/// Answers a CountsPoll.
struct CountsReply
{
    std::string group{};
    std::uint64_t epoch = 0;
    /// Ranks whose counts are summed up here.
    std::uint32_t ranks = 0;
    /// Most passes that a rank's counts are of; 0 when nothing was counted since the last time.
    std::uint64_t passes = 0;
    /// One set of experts after the other; empty when nothing was counted. What matters is their
    /// share: they travel as square roots in few levels, of the largest one.
    std::vector<std::uint64_t> counts{};
};

/// Bytes that so many counts take in a message; the fields beside them are few.
std::size_t encodedCountsBytes(std::size_t counts);

/// The state of a rank, as its own sidecar read it a moment ago.
struct RankStatus
{
    Endpoint engine;
    /// Time since the VM's boot at which the state was read. Datagrams may overtake each other, and
    /// an older state must not replace a newer one.
    std::uint64_t readAtMilliseconds = 0;
    RankReport report{};
    /// Version whose copies the engine has begun on the sidecar's last order to prepare; 0 for
    /// none.
    std::uint64_t accepted = 0;
    /// The sidecar has the whole map that is in force at its rank, so changes may go on from it.
    bool mapKnown = false;
    /// Experts that the rank holds, by set; empty while unknown, or known to the leader already.
    std::vector<std::vector<std::uint32_t>> experts{};
};

/// Experts that one rank is to hold of one set.
struct RankMapChange
{
    std::uint32_t set = 0;
    std::uint32_t rank = 0;
    std::vector<std::uint32_t> experts;
};

/// The group's leader wants an order given to a sidecar's own rank.
struct RankCommand
{
    RankOrder order;
    /// For Prepare without a map: the version whose map the changes go on from, which the sidecar
    /// had before. A whole map for each rank took a third of a second of a large group's link.
    std::uint64_t base = 0;
    std::vector<RankMapChange> changes{};
};

/// A message that the receiver takes itself and passes on to the sidecars of further engines.
///
/// The link of the leader's VM would be busy for longer than a pass takes with a new map for each
/// rank of a large group.
struct RelayedMessage
{
    std::vector<Endpoint> engines;
    /// Another message's bytes. Never a relayed one.
    std::string message;
};

/// A gateway asks the one that keeps a backend server's limit, or tells it what the server said.
struct PermitRequestMessage
{
    std::string server;
    /// One request is to be sent.
    bool wanted = false;
    std::uint32_t number = 0;
    /// Requests a second that the server named last, and how long ago; nothing when it names none.
    std::optional<double> perSecond{};
    std::uint32_t ageMilliseconds = 0;
};

/// Answers a PermitRequestMessage of the same number.
struct PermitReplyMessage
{
    std::string server;
    std::uint32_t number = 0;
    bool granted = false;
    /// When there will be a request to grant.
    std::uint32_t nextInMilliseconds = 0;
    /// The latest that any gateway heard from the server.
    std::optional<double> perSecond{};
    std::uint32_t ageMilliseconds = 0;
};

/// The map that groups begin with, version 0: experts in turn.
RankMap firstRankMap(const ExpertProfile &profile, std::size_t ranks);

/// What leads from one map to another of the same shape.
std::vector<RankMapChange> changesBetween(const RankMap &from, const RankMap &to);

/// Carries changes out.
/// @return BadInput when they name a set or rank that the map lacks.
Result<RankMap> applyChanges(RankMap map, const std::vector<RankMapChange> &changes);

using GroupMessage = std::variant<GatewayHello, EngineListRequest, EngineList, EngineLoad, RankPoll,
                                  RankStatus, RankCommand, RelayedMessage, CountsPoll, CountsReply,
                                  PermitRequestMessage, PermitReplyMessage>;

/// A message as MessagePack bytes.
std::string encodeMessage(const GroupMessage &message);

/// @return BadInput for bytes that are no message of this version.
Result<GroupMessage> decodeMessage(std::string_view bytes);

} // namespace wisteria
