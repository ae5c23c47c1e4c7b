#include "Version/CrashMessages.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace wisteria {

namespace {

using Json = nlohmann::json;

/// All fingerprints in one string of bytes: as a list, each would take two bytes more.
Json encodeFingerprints(const std::vector<FingerprintBytes> &fingerprints)
{
    std::vector<std::uint8_t> bytes;
    for (const FingerprintBytes &fingerprint : fingerprints)
        bytes.insert(bytes.end(), fingerprint.begin(), fingerprint.end());
    return Json::binary(std::move(bytes));
}

std::vector<FingerprintBytes> decodeFingerprints(const Json &json)
{
    const Json::binary_t &bytes = json.get_binary();
    constexpr std::size_t size = std::tuple_size_v<FingerprintBytes>;
    if (bytes.size() % size != 0)
        throw std::out_of_range("a fingerprint is truncated");
    std::vector<FingerprintBytes> fingerprints(bytes.size() / size);
    for (std::size_t i = 0; i < fingerprints.size(); ++i)
        std::copy_n(bytes.begin() + static_cast<std::ptrdiff_t>(i * size), size,
                    fingerprints[i].begin());
    return fingerprints;
}

} // namespace

void appendFields(Json &message, const CrashReport &report)
{
    message.push_back(report.server);
    message.push_back(report.startedAt);
    message.push_back(report.service);
    message.push_back(report.servers);
    message.push_back(report.ageMilliseconds);
    std::vector<FingerprintBytes> requests;
    Json parts = Json::array();
    Json runTimes = Json::array();
    Json sends = Json::array();
    for (const RunningRequest &running : report.running) {
        requests.push_back(running.request);
        parts.push_back(encodeFingerprints(running.parts));
        runTimes.push_back(running.ranMilliseconds ? Json(*running.ranMilliseconds) : Json());
        sends.push_back(running.sends);
    }
    message.push_back(encodeFingerprints(requests));
    message.push_back(std::move(parts));
    message.push_back(std::move(runTimes));
    message.push_back(std::move(sends));
}

void appendFields(Json &message, const CompletionReport &report)
{
    message.push_back(report.ageMilliseconds);
    message.push_back(encodeFingerprints(report.requests));
}

void appendFields(Json &message, const CopyReport &report)
{
    message.push_back(report.ageMilliseconds);
    message.push_back(encodeFingerprints({report.request}));
    message.push_back(report.endedCopies);
    message.push_back(report.countedAgoMilliseconds);
    Json sends = Json::array();
    for (const CopyReport::Send &send : report.lastSends)
        sends.push_back(Json::array({send.id, send.agoMilliseconds, send.delivered}));
    message.push_back(std::move(sends));
}

void appendFields(Json &message, const ClaimMessage &claim)
{
    message.push_back(claim.ticket);
    message.push_back(claim.holdsMilliseconds);
    message.push_back(encodeFingerprints({claim.suspect}));
}

void appendFields(Json &message, const OrganisationIdReport &report)
{
    message.push_back(report.name);
    message.push_back(report.id);
}

CrashReport decodeCrashReport(const Json &message)
{
    CrashReport report{.server = message.at(1).get<std::string>(),
                       .startedAt = message.at(2).get<std::uint64_t>(),
                       .service = message.at(3).get<std::string>(),
                       .servers = message.at(4).get<std::uint32_t>(),
                       .ageMilliseconds = message.at(5).get<std::uint32_t>(),
                       .running = {}};
    for (const FingerprintBytes &request : decodeFingerprints(message.at(6)))
        report.running.push_back({.request = request});
    constexpr std::size_t partsField = 7;
    const std::size_t withParts =
        message.size() > partsField ? message.at(partsField).size() : std::size_t{0};
    for (std::size_t i = 0; i < std::min(withParts, report.running.size()); ++i)
        report.running[i].parts = decodeFingerprints(message.at(partsField).at(i));
    constexpr std::size_t runTimesField = 8;
    const std::size_t withRunTimes =
        message.size() > runTimesField ? message.at(runTimesField).size() : std::size_t{0};
    for (std::size_t i = 0; i < std::min(withRunTimes, report.running.size()); ++i) {
        if (const Json &runTime = message.at(runTimesField).at(i); !runTime.is_null())
            report.running[i].ranMilliseconds = runTime.get<std::uint32_t>();
    }
    constexpr std::size_t sendsField = 9;
    const std::size_t withSends =
        message.size() > sendsField ? message.at(sendsField).size() : std::size_t{0};
    for (std::size_t i = 0; i < std::min(withSends, report.running.size()); ++i)
        message.at(sendsField).at(i).get_to(report.running[i].sends);
    return report;
}

CopyReport decodeCopyReport(const Json &message)
{
    CopyReport report{.ageMilliseconds = message.at(1).get<std::uint32_t>(),
                      .request = decodeFingerprints(message.at(2)).at(0),
                      .endedCopies = message.at(3).get<std::uint32_t>(),
                      .countedAgoMilliseconds = message.at(4).get<std::uint32_t>()};
    for (const Json &send : message.at(5)) {
        report.lastSends.push_back({.id = send.at(0).get<std::uint32_t>(),
                                    .agoMilliseconds = send.at(1).get<std::uint32_t>(),
                                    .delivered = send.at(2).get<bool>()});
    }
    return report;
}

CompletionReport decodeCompletionReport(const Json &message)
{
    return {.ageMilliseconds = message.at(1).get<std::uint32_t>(),
            .requests = decodeFingerprints(message.at(2))};
}

ClaimMessage decodeClaim(const Json &message)
{
    return {.ticket = message.at(1).get<std::uint64_t>(),
            .holdsMilliseconds = message.at(2).get<std::uint32_t>(),
            .suspect = decodeFingerprints(message.at(3)).at(0)};
}

OrganisationIdReport decodeOrganisationId(const Json &message)
{
    return {.name = message.at(1).get<std::string>(), .id = message.at(2).get<std::string>()};
}

} // namespace wisteria
