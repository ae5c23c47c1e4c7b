#include "Request/CrashMoments.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteria {

namespace {

/// Crashes within this time of each other are one moment. Shorter than a request takes that is sent
/// again after a crash and causes the next one, which is another sign.
constexpr milliseconds momentGap{40};
/// Crashes that became known within this time of a moment make it weigh less: a probe's timeout
/// plus a message between gateways.
constexpr milliseconds togetherTime{200};

/// Whether a crash happened at a moment, as by a loss of power. A server that was idle is found
/// down only when the next request is sent there.
bool isPartOf(const CrashMoment &moment, const ServerCrash &crash)
{
    const milliseconds foundAfter = crash.running.empty() ? foundDownTime : togetherTime;
    return crash.service == moment.first->service && crash.at >= moment.first->at - togetherTime
        && crash.at <= moment.last->at + foundAfter;
}

/// Whether the suspect was sent to one of the two only after the other had happened.
bool inSequence(const CrashMoment &moment, const ServerCrash &crash, const Fingerprint &suspect)
{
    const std::optional<TimePoint> sentAt = earliestSend(crash, suspect);
    return (sentAt && *sentAt > moment.last->at)
        || (moment.sentAt && *moment.sentAt > crash.at && wasRunning(crash, suspect));
}

} // namespace

std::vector<CrashMoment> momentsOf(const CrashList &crashes, const Fingerprint &suspect)
{
    std::vector<CrashMoment> moments;
    for (const ServerCrash *crash : crashes) {
        const bool sameMoment = !moments.empty() && crash->service == moments.back().last->service
            && crash->at - moments.back().last->at <= momentGap;
        const std::optional<TimePoint> sentAt = earliestSend(*crash, suspect);
        if (!sameMoment) {
            moments.push_back(
                {.first = crash, .last = crash, .sentAt = sentAt, .servers = crash->servers});
        }
        moments.back().last = crash;
        ++moments.back().crashes;
        moments.back().sentAt = earliest(moments.back().sentAt, sentAt);
        moments.back().servers = std::max(moments.back().servers, crash->servers);
    }
    return moments;
}

std::uint32_t crashedAt(const std::vector<ServerCrash> &known, const CrashMoment &moment,
                        const Fingerprint &suspect)
{
    const auto crashed = std::count_if(known.begin(), known.end(), [&](const auto &crash) {
        return isPartOf(moment, crash) && !inSequence(moment, crash, suspect);
    });
    return static_cast<std::uint32_t>(crashed);
}

double weightOf(const CrashMoment &moment, std::uint32_t crashed)
{
    if (crashed <= 1)
        return 1;
    const std::uint32_t servers = std::max(moment.servers, crashed);
    return 1 - std::log(crashed) / std::log(servers);
}

void dropWithoutProgress(std::vector<CrashMoment> &moments)
{
    std::vector<CrashMoment> kept;
    for (const CrashMoment &moment : moments) {
        if (kept.empty() || moment.first->completedBefore > kept.back().last->completedBefore)
            kept.push_back(moment);
    }
    moments = std::move(kept);
}

} // namespace wisteria
