#include "Request/ServerCrash.h"

#include <algorithm>

namespace wisteria {

std::vector<Fingerprint> suspectsOf(const RequestIdentity &request)
{
    std::vector<Fingerprint> suspects = request.parts;
    suspects.push_back(request.request);
    return suspects;
}

bool contains(const RequestIdentity &request, const Fingerprint &suspect)
{
    return request.request == suspect
        || std::find(request.parts.begin(), request.parts.end(), suspect) != request.parts.end();
}

bool containsAll(const RequestIdentity &request, const std::vector<Fingerprint> &suspects)
{
    return std::all_of(suspects.begin(), suspects.end(),
                       [&request](const auto &suspect) { return contains(request, suspect); });
}

bool ranTogether(const ServerCrash &crash, const Fingerprint &suspect, const Fingerprint &other)
{
    return std::any_of(crash.running.begin(), crash.running.end(), [&](const auto &running) {
        return contains(running.identity, suspect) && contains(running.identity, other);
    });
}

std::optional<TimePoint> earliest(const std::optional<TimePoint> &a,
                                  const std::optional<TimePoint> &b)
{
    return a && b ? std::min(a, b) : std::nullopt;
}

std::optional<TimePoint> earliestSend(const ServerCrash &crash, const Fingerprint &suspect)
{
    std::optional<TimePoint> sentAt;
    bool first = true;
    for (const InFlightRequest &running : crash.running) {
        if (!contains(running.identity, suspect))
            continue;
        sentAt = first ? running.sentAt : earliest(sentAt, running.sentAt);
        first = false;
    }
    return sentAt;
}

std::uint32_t copiesAt(const ServerCrash &crash, const Fingerprint &request)
{
    std::uint32_t copies = 0;
    for (const InFlightRequest &running : crash.running) {
        if (running.identity.request == request)
            copies += std::max<std::uint32_t>(1, static_cast<std::uint32_t>(running.sends.size()));
    }
    return copies;
}

bool wasRunning(const ServerCrash &crash, const Fingerprint &suspect)
{
    return ranTogether(crash, suspect, suspect);
}

} // namespace wisteria
