#include "Gateway/LeadingSidecar.h"

#include <poll.h>

#include <catch2/catch.hpp>

#include "Gateway/GatewayUnderTest.h"

namespace wisteria::gateway_tests {

namespace {

/// Memory of a sidecar's VM.
constexpr std::size_t sidecarMemory = 128 * megabyte;

constexpr ExpertProfile usualProfile{
    .sets = 1, .expertsPerSet = 4, .expertsPerRank = 2, .copiesPerMap = 2};

/// Returns the text with the usual number of the latest pass replaced by a later one.
std::string withLaterPass(std::string text, std::size_t passes)
{
    static const std::string usual = R"("step":9,)";
    constexpr std::size_t usualPass = 9;
    if (const std::size_t at = text.find(usual); at != std::string::npos)
        text.replace(at, usual.size(), "\"step\":" + std::to_string(usualPass + passes) + ",");
    return text;
}

} // namespace

std::string reportWith(const std::string &field, const std::string &value)
{
    nlohmann::json report = nlohmann::json::parse(EngineAnswers{}.report);
    nlohmann::json &object = report["group"].contains(field) ? report["group"] : report;
    object[field] = "@";
    std::string text = report.dump();
    return text.replace(text.find("\"@\""), 3, value);
}

CountsReply usualCounts()
{
    return {.group = "g", .epoch = 1, .ranks = 2, .passes = 1, .counts = {9000, 10, 9000, 10}};
}

RankStatus usualStatusOf(std::uint32_t ip)
{
    return {.engine = {ip, 1},
            .readAtMilliseconds = 1,
            .report = {.group = "g", .epoch = 1, .rank = 1, .groupSize = 2, .groupOpen = true},
            .experts = {{1, 3}}};
}

LeadingSidecar::LeadingSidecar(std::uint32_t number)
    : peerIp_(firstPeerIp + number), address_{firstSidecarIp + number, freePort()},
      engine_([this](const SeenRequest &request, ScriptPeer &peer) { answer(request, peer); },
              address_.ip),
      sidecar_("wisteria-sidecar",
               writeSettings("side-1",
                             {.store = {INADDR_LOOPBACK, 1},
                              .callers = {address_.ip, 1},
                              .engine = engine_.endpoint(),
                              .messages = address_.port})),
      peer_(peerIp_, address_)
{ }

void LeadingSidecar::endOdd()
{
    answers_ = std::make_shared<EngineAnswers>();
    oddStatus_.reset();
    oddProfile_.reset();
    oddCounts_.reset();
    oddMessages_.clear();
    answer_.store(nullptr);
}

void LeadingSidecar::sendUsual() const
{
    peer_.send(EngineList{.profile = oddProfile_.value_or(usualProfile),
                          .engines = {engine_.endpoint(), {peerIp_, 1}}});
    peer_.send(oddStatus_.value_or(usualStatusOf(peerIp_)));
    // Rank 0 has both experts that are chosen, so another map is needed.
    peer_.send(oddCounts_.value_or(usualCounts()));
    for (const GroupMessage &message : oddMessages_)
        peer_.send(message);
}

void LeadingSidecar::answer(const SeenRequest &request, ScriptPeer &peer)
{
    if (const auto send = answer_.load()) {
        (*send)(peer);
        return;
    }
    const auto answers = answers_.load();
    if (request.target() == "/report")
        peer.send(plainResponse(200, "", withLaterPass(answers->report, ++reportReads_)));
    else if (request.target() == "/picked")
        peer.send(plainResponse(200, "", answers->counts));
    else if (request.target() == "/picked?lists=1")
        peer.send(plainResponse(200, "", answers->experts));
    else
        peer.send(plainResponse(202, "", ""));
}

void checkSidecars(const std::vector<OddInput> &inputs)
{
    std::vector<std::unique_ptr<LeadingSidecar>> sidecars;
    for (const OddInput &input : inputs) {
        auto &added = sidecars.emplace_back(
            std::make_unique<LeadingSidecar>(static_cast<std::uint32_t>(sidecars.size())));
        input.set(*added);
    }
    const auto sendFor = [&sidecars](milliseconds time, const std::function<bool()> &done) {
        for (const TimePoint end = monotonicNow() + time; monotonicNow() < end && !done();) {
            for (const auto &sidecar : sidecars)
                sidecar->sendUsual();
            ::poll(nullptr, 0, 50);
        }
    };
    sendFor(milliseconds(2500), [] { return false; });
    std::vector<std::size_t> ordersBefore;
    for (const auto &sidecar : sidecars) {
        sidecar->endOdd();
        ordersBefore.push_back(sidecar->orders());
    }
    const auto isFollowing = [&](std::size_t i) { return sidecars[i]->orders() > ordersBefore[i]; };
    sendFor(seconds(8), [&] {
        for (std::size_t i = 0; i < sidecars.size(); ++i) {
            if (sidecars[i]->running() && !isFollowing(i))
                return false;
        }
        return true;
    });
    for (std::size_t i = 0; i < sidecars.size(); ++i) {
        CAPTURE(inputs[i].name);
        CHECK(sidecars[i]->running());
        CHECK(isFollowing(i));
        CHECK(sidecars[i]->peakMemory() < sidecarMemory);
    }
}

} // namespace wisteria::gateway_tests
