#include "Version/GroupMessages.h"

#include <algorithm>
#include <cmath>

#include <boost/container_hash/hash.hpp>
#include <nlohmann/json.hpp>

#include "Process/BoundedJson.h"
#include "Version/CountsEncoding.h"

namespace wisteria {

namespace {

using Json = nlohmann::json;

/// First element of each message. If the meaning of the fields changes, the message gets a new
/// number.
enum class MessageKind : std::uint8_t {
    List = 1,
    Load = 2,
    Poll = 3,
    Status = 4,
    Command = 5,
    Relayed = 6,
    CountsPoll = 7,
    CountsReply = 8,
    Hello = 9,
    ListRequest = 10,
    PermitRequest = 11,
    PermitReply = 12,
    CrashReport = 13,
    CompletionReport = 14,
    GatewayPresence = 15,
    Claim = 16,
    CopyReport = 17,
    EvidenceComplete = 18,
    OrganisationId = 19
};

Json encode(const Endpoint &endpoint)
{
    return Json::array({endpoint.ip, endpoint.port});
}

Endpoint decodeEndpoint(const Json &json)
{
    return {json.at(0).get<std::uint32_t>(), json.at(1).get<std::uint16_t>()};
}

Json encode(const std::vector<Endpoint> &endpoints)
{
    Json list = Json::array();
    for (const Endpoint &endpoint : endpoints)
        list.push_back(encode(endpoint));
    return list;
}

std::vector<Endpoint> decodeEndpoints(const Json &json)
{
    std::vector<Endpoint> endpoints;
    for (const Json &endpoint : json)
        endpoints.push_back(decodeEndpoint(endpoint));
    return endpoints;
}

Json encode(const GatewayHello &hello)
{
    return {MessageKind::Hello, hello.listDigest};
}

Json encode(const EngineListRequest &)
{
    return Json::array({MessageKind::ListRequest});
}

Json encode(const EngineList &list)
{
    const ExpertProfile &profile = list.profile;
    return {MessageKind::List,      profile.sets,         profile.expertsPerSet,
            profile.expertsPerRank, profile.copiesPerMap, profile.copyMilliseconds,
            encode(list.engines)};
}

/// Throws the error of a failed check, as the library does for a wrong type.
void require(const Result<void> &checked)
{
    if (checked.has_error())
        throw std::out_of_range(checked.error().message);
}

EngineList decodeList(const Json &json)
{
    EngineList list;
    list.profile = {.sets = json.at(1).get<std::uint32_t>(),
                    .expertsPerSet = json.at(2).get<std::uint32_t>(),
                    .expertsPerRank = json.at(3).get<std::uint32_t>(),
                    .copiesPerMap = json.at(4).get<std::uint32_t>(),
                    .copyMilliseconds = json.at(5).get<double>()};
    require(checkProfile(list.profile));
    list.engines = decodeEndpoints(json.at(6));
    return list;
}

/// Slowdowns are encoded as whole hundredths: a number with a fraction takes nine bytes.
constexpr double slowdownUnit = 0.01;

Json encode(const EngineLoad &load)
{
    return {MessageKind::Load,
            encode(load.engine),
            load.running,
            load.waiting,
            load.open,
            load.gateways,
            static_cast<std::uint32_t>(std::lround(load.slowdown / slowdownUnit)),
            load.engineAnswers};
}

EngineLoad decodeLoad(const Json &json)
{
    // Sidecars of earlier versions send no such field.
    constexpr std::size_t engineAnswersAt = 7;
    const auto running = json.at(2).get<std::uint32_t>();
    const auto waiting = json.at(3).get<std::uint32_t>();
    if (running > maxRequests || waiting > maxRequests)
        throw std::out_of_range("the load has too many requests");
    return {.engine = decodeEndpoint(json.at(1)),
            .running = running,
            .waiting = waiting,
            .slowdown = json.at(6).get<std::uint32_t>() * slowdownUnit,
            .open = json.at(4).get<bool>(),
            .gateways = json.at(5).get<std::uint32_t>(),
            .engineAnswers =
                json.size() <= engineAnswersAt || json.at(engineAnswersAt).get<bool>()};
}

Json encode(const RankReport &report)
{
    return {report.running,
            report.waiting,
            report.group,
            report.epoch,
            report.rank,
            report.groupSize,
            report.groupOpen,
            report.pass,
            report.map,
            report.prepared,
            report.armed,
            report.armedPass,
            report.heldPass.value_or(0),
            report.slowdown};
}

RankReport decodeReport(const Json &json)
{
    RankReport report;
    report.running = json.at(0).get<std::uint32_t>();
    report.waiting = json.at(1).get<std::uint32_t>();
    report.group = json.at(2).get<std::string>();
    report.epoch = json.at(3).get<std::uint64_t>();
    report.rank = json.at(4).get<std::uint32_t>();
    report.groupSize = json.at(5).get<std::uint32_t>();
    report.groupOpen = json.at(6).get<bool>();
    report.pass = json.at(7).get<std::uint64_t>();
    report.map = json.at(8).get<std::uint64_t>();
    report.prepared = json.at(9).get<std::uint64_t>();
    report.armed = json.at(10).get<std::uint64_t>();
    report.armedPass = json.at(11).get<std::uint64_t>();
    if (const auto held = json.at(12).get<std::uint64_t>(); held != 0)
        report.heldPass = held;
    report.slowdown = json.at(13).get<double>();
    require(checkReport(report));
    return report;
}

Json encode(const RankStatus &status)
{
    return {MessageKind::Status,   encode(status.engine), status.readAtMilliseconds,
            encode(status.report), status.experts,        status.accepted,
            status.mapKnown};
}

RankStatus decodeStatus(const Json &json)
{
    return {.engine = decodeEndpoint(json.at(1)),
            .readAtMilliseconds = json.at(2).get<std::uint64_t>(),
            .report = decodeReport(json.at(3)),
            .accepted = json.at(5).get<std::uint64_t>(),
            .mapKnown = json.at(6).get<bool>(),
            .experts = json.at(4).get<std::vector<std::vector<std::uint32_t>>>()};
}

Json encode(const RankCommand &command)
{
    const RankOrder &order = command.order;
    Json changes = Json::array();
    for (const RankMapChange &change : command.changes)
        changes.push_back(Json::array({change.set, change.rank, change.experts}));
    return {MessageKind::Command, order.kind,         order.epoch,
            order.version,        order.pass,         order.map,
            command.base,         std::move(changes), command.group};
}

RankCommand decodeCommand(const Json &json)
{
    RankCommand command;
    const auto kind = json.at(1).get<int>();
    if (kind < 0 || kind > static_cast<int>(RankOrderKind::Release))
        throw std::out_of_range("unknown kind of order");
    command.order = {.kind = static_cast<RankOrderKind>(kind),
                     .epoch = json.at(2).get<std::uint64_t>(),
                     .version = json.at(3).get<std::uint64_t>(),
                     .pass = json.at(4).get<std::uint64_t>(),
                     .map = json.at(5).get<RankMap>()};
    command.base = json.at(6).get<std::uint64_t>();
    for (const Json &change : json.at(7)) {
        command.changes.push_back({change.at(0).get<std::uint32_t>(),
                                   change.at(1).get<std::uint32_t>(),
                                   change.at(2).get<std::vector<std::uint32_t>>()});
    }
    if (json.size() > 8)
        command.group = json.at(8).get<std::string>();
    return command;
}

Json encode(const RelayedMessage &relayed)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(relayed.message.data());
    return {MessageKind::Relayed, encode(relayed.engines),
            Json::binary({bytes, bytes + relayed.message.size()})};
}

RelayedMessage decodeRelayed(const Json &json)
{
    const Json::binary_t &bytes = json.at(2).get_binary();
    return {.engines = decodeEndpoints(json.at(1)),
            .message = std::string(bytes.begin(), bytes.end())};
}

CountsReply decodeCountsReply(const Json &json)
{
    const auto ranks = json.at(3).get<std::uint32_t>();
    if (ranks > maxGroupRanks)
        throw std::out_of_range("the counts are of too many ranks");
    return {.group = json.at(1).get<std::string>(),
            .epoch = json.at(2).get<std::uint64_t>(),
            .ranks = ranks,
            .passes = json.at(4).get<std::uint64_t>(),
            .counts = decodeCounts(json.at(5))};
}

Json encode(const std::optional<double> &perSecond)
{
    return perSecond ? Json(*perSecond) : Json(nullptr);
}

std::optional<double> decodeLimit(const Json &json)
{
    if (json.is_null())
        return std::nullopt;
    const auto perSecond = json.get<double>();
    if (!std::isfinite(perSecond) || perSecond < 0)
        throw std::out_of_range("a limit is negative or not finite");
    return perSecond;
}

Json encode(const PermitRequestMessage &message)
{
    Json json = {MessageKind::PermitRequest, message.server,         message.wanted, message.number,
                 encode(message.perSecond),  message.ageMilliseconds};
    if (message.coldPerSecond) {
        json.push_back(*message.coldPerSecond);
        json.push_back(message.coldMilliseconds);
    }
    return json;
}

PermitRequestMessage decodePermitRequest(const Json &json)
{
    PermitRequestMessage message{.server = json.at(1).get<std::string>(),
                                 .wanted = json.at(2).get<bool>(),
                                 .number = json.at(3).get<std::uint32_t>(),
                                 .perSecond = decodeLimit(json.at(4)),
                                 .ageMilliseconds = json.at(5).get<std::uint32_t>()};
    constexpr std::size_t sizeWithCold = 8;
    if (json.size() >= sizeWithCold && !json.at(6).is_null()) {
        message.coldPerSecond = decodeLimit(json.at(6));
        message.coldMilliseconds = json.at(7).get<std::uint32_t>();
    }
    return message;
}

Json encode(const PermitReplyMessage &message)
{
    return {MessageKind::PermitReply,
            message.server,
            message.number,
            message.granted,
            message.nextInMilliseconds,
            encode(message.perSecond),
            message.ageMilliseconds};
}

PermitReplyMessage decodePermitReply(const Json &json)
{
    return {.server = json.at(1).get<std::string>(),
            .number = json.at(2).get<std::uint32_t>(),
            .granted = json.at(3).get<bool>(),
            .nextInMilliseconds = json.at(4).get<std::uint32_t>(),
            .perSecond = decodeLimit(json.at(5)),
            .ageMilliseconds = json.at(6).get<std::uint32_t>()};
}

Json encode(const CrashReport &report)
{
    Json json = Json::array({MessageKind::CrashReport});
    appendFields(json, report);
    return json;
}

Json encode(const GatewayPresence &presence)
{
    return Json::array({MessageKind::GatewayPresence, presence.gateway});
}

Json encode(const EvidenceComplete &)
{
    return Json::array({MessageKind::EvidenceComplete});
}

Json encode(const OrganisationIdReport &report)
{
    Json json = Json::array({MessageKind::OrganisationId});
    appendFields(json, report);
    return json;
}

Json encode(const CompletionReport &report)
{
    Json json = Json::array({MessageKind::CompletionReport});
    appendFields(json, report);
    return json;
}

Json encode(const CopyReport &report)
{
    Json json = Json::array({MessageKind::CopyReport});
    appendFields(json, report);
    return json;
}

Json encode(const ClaimMessage &claim)
{
    Json json = Json::array({MessageKind::Claim});
    appendFields(json, claim);
    return json;
}

/// An earlier version sends neither the group nor the rank.
RankPoll decodePoll(const Json &json)
{
    RankPoll poll{.knownMaps = json.at(1).get<std::vector<std::uint64_t>>()};
    if (json.size() > 2)
        poll.group = json.at(2).get<std::string>();
    if (json.size() > 3)
        poll.rank = json.at(3).get<std::uint32_t>();
    return poll;
}

GroupMessage decodeFields(const Json &json)
{
    switch (static_cast<MessageKind>(json.at(0).get<int>())) {
    case MessageKind::Hello:
        return GatewayHello{.listDigest = json.at(1).get<std::uint64_t>()};
    case MessageKind::ListRequest:
        return EngineListRequest{};
    case MessageKind::List:
        return decodeList(json);
    case MessageKind::Load:
        return decodeLoad(json);
    case MessageKind::Poll:
        return decodePoll(json);
    case MessageKind::Status:
        return decodeStatus(json);
    case MessageKind::Command:
        return decodeCommand(json);
    case MessageKind::Relayed:
        return decodeRelayed(json);
    case MessageKind::CountsPoll:
        return CountsPoll{.engines = decodeEndpoints(json.at(1))};
    case MessageKind::CountsReply:
        return decodeCountsReply(json);
    case MessageKind::PermitRequest:
        return decodePermitRequest(json);
    case MessageKind::PermitReply:
        return decodePermitReply(json);
    case MessageKind::CrashReport:
        return decodeCrashReport(json);
    case MessageKind::CompletionReport:
        return decodeCompletionReport(json);
    case MessageKind::GatewayPresence:
        return GatewayPresence{.gateway = json.at(1).get<std::string>()};
    case MessageKind::Claim:
        return decodeClaim(json);
    case MessageKind::CopyReport:
        return decodeCopyReport(json);
    case MessageKind::EvidenceComplete:
        return EvidenceComplete{};
    case MessageKind::OrganisationId:
        return decodeOrganisationId(json);
    }
    throw std::out_of_range("unknown kind of message");
}

Json encode(const RankPoll &poll)
{
    return {MessageKind::Poll, poll.knownMaps, poll.group, poll.rank};
}

Json encode(const CountsPoll &poll)
{
    return Json::array({MessageKind::CountsPoll, encode(poll.engines)});
}

Json encode(const CountsReply &reply)
{
    return {MessageKind::CountsReply,  reply.group, reply.epoch, reply.ranks, reply.passes,
            encodeCounts(reply.counts)};
}

} // namespace

Result<void> checkProfile(const ExpertProfile &profile)
{
    const std::uint64_t perSet =
        std::max({profile.expertsPerSet, profile.expertsPerRank, profile.copiesPerMap});
    if (profile.sets * perSet > maxExpertsOfProfile) {
        return failure(ErrorKind::BadInput,
                       "the profile has " + std::to_string(profile.sets) + " sets of "
                           + std::to_string(perSet) + " experts; configure at most "
                           + std::to_string(maxExpertsOfProfile) + " in all sets");
    }
    if (!(profile.copyMilliseconds >= 0 && profile.copyMilliseconds <= maxCopyMilliseconds)) {
        return failure(ErrorKind::BadInput,
                       "the profile has " + std::to_string(profile.copyMilliseconds)
                           + " ms for the copy of an expert; check its size and the bandwidth");
    }
    return boost::outcome_v2::success();
}

bool areExpertsOf(const ExpertProfile &profile,
                  const std::vector<std::vector<std::uint32_t>> &experts)
{
    if (experts.size() != profile.sets)
        return false;
    return std::all_of(experts.begin(), experts.end(), [&profile](const auto &set) {
        std::vector<bool> listed(profile.expertsPerSet, false);
        return std::all_of(set.begin(), set.end(), [&listed](std::uint32_t expert) {
            if (expert >= listed.size() || listed[expert])
                return false;
            listed[expert] = true;
            return true;
        });
    });
}

std::uint64_t digestOf(const EngineList &list)
{
    const ExpertProfile &profile = list.profile;
    std::size_t digest = 0;
    boost::hash_combine(digest, profile.sets);
    boost::hash_combine(digest, profile.expertsPerSet);
    boost::hash_combine(digest, profile.expertsPerRank);
    boost::hash_combine(digest, profile.copiesPerMap);
    boost::hash_combine(digest, profile.copyMilliseconds);
    for (const Endpoint &engine : list.engines) {
        boost::hash_combine(digest, engine.ip);
        boost::hash_combine(digest, engine.port);
    }
    return digest;
}

RankMap firstRankMap(const ExpertProfile &profile, std::size_t ranks)
{
    RankMap map(profile.sets, std::vector<std::vector<std::uint32_t>>(ranks));
    for (auto &set : map) {
        for (std::uint32_t expert = 0; expert < profile.expertsPerSet && ranks > 0; ++expert)
            set[expert % ranks].push_back(expert);
    }
    return map;
}

std::vector<RankMapChange> changesBetween(const RankMap &from, const RankMap &to)
{
    std::vector<RankMapChange> changes;
    for (std::uint32_t set = 0; set < to.size(); ++set) {
        for (std::uint32_t rank = 0; rank < to[set].size(); ++rank) {
            const bool known = set < from.size() && rank < from[set].size();
            if (!known || from[set][rank] != to[set][rank])
                changes.push_back({set, rank, to[set][rank]});
        }
    }
    return changes;
}

Result<RankMap> applyChanges(RankMap map, const std::vector<RankMapChange> &changes)
{
    for (const RankMapChange &change : changes) {
        if (change.set >= map.size() || change.rank >= map[change.set].size()) {
            return failure(ErrorKind::BadInput,
                           "a change of the expert map names a set or rank that is not in it");
        }
        map[change.set][change.rank] = change.experts;
    }
    return map;
}

std::string encodeMessage(const GroupMessage &message)
{
    const Json json = std::visit([](const auto &fields) { return encode(fields); }, message);
    std::string bytes;
    Json::to_msgpack(json, bytes);
    return bytes;
}

Result<GroupMessage> decodeMessage(std::string_view bytes)
{
    const auto json = decodeMessagePack(bytes);
    if (json.has_error() || !json.value().is_array())
        return failure(ErrorKind::BadInput,
                       "a datagram is not a message; check which process sends to the port");
    try {
        return decodeFields(json.value());
    } catch (const std::exception &error) {
        return failure(ErrorKind::BadInput,
                       std::string("a message can't be decoded: ") + error.what()
                           + "; run the same version on all VMs");
    }
}

} // namespace wisteria
