#include "Request/UnprovenRequests.h"

#include <algorithm>

#include "Request/CrashEvidence.h"

namespace wisteria {

void noteUnproven(CrashEvidence &evidence, const Fingerprint &request, TimePoint now)
{
    auto &requests = evidence.unproven.requests;
    if (requests.contains(request) || lastCompletion(evidence.completions, request))
        return;
    if (requests.size() >= maxUnproven) {
        requests.erase(
            std::min_element(requests.begin(), requests.end(), [](const auto &a, const auto &b) {
                return a.second.since < b.second.since;
            }));
    }
    requests[request] = {.since = now};
}

void noteAnswered(CrashEvidence &evidence, const Fingerprint &request)
{
    const auto found = evidence.unproven.requests.find(request);
    if (found != evidence.unproven.requests.end())
        found->second.answered = true;
}

void noteProven(CrashEvidence &evidence, const Fingerprint &request)
{
    const bool wasUnproven = evidence.unproven.requests.erase(request) > 0;
    if (wasUnproven && evidence.unproven.proven.size() < maxUnproven)
        evidence.unproven.proven.insert(request);
}

std::vector<Fingerprint> lastProven(const CrashEvidence &evidence, std::size_t most)
{
    std::vector<Fingerprint> requests(evidence.unproven.proven.begin(),
                                      evidence.unproven.proven.end());
    std::sort(requests.begin(), requests.end(), [&](const auto &a, const auto &b) {
        return lastCompletion(evidence.completions, a) > lastCompletion(evidence.completions, b);
    });
    requests.resize(std::min(requests.size(), most));
    return requests;
}

void forgetUnproven(CrashEvidence &evidence, TimePoint now)
{
    evidence.unproven.proven.clear();
    std::erase_if(evidence.unproven.requests,
                  [&](const auto &item) { return endedCopiesOf(evidence, item.first, now) == 0; });
}

bool isUnproven(const CrashEvidence &evidence, const Fingerprint &request)
{
    const auto found = evidence.unproven.requests.find(request);
    return found != evidence.unproven.requests.end() && !found->second.answered;
}

bool isSpent(const CrashEvidence &evidence, const Fingerprint &request, TimePoint now)
{
    return isUnproven(evidence, request) && isRestricted(evidence, request, now)
        && !hasLastSend(evidence, request, now) && !evidence.quarantined.contains(request)
        && endedCopiesOf(evidence, request, now) < maxEndedCopies;
}

bool isOnlyUnproven(const CrashEvidence &evidence, const Fingerprint &request, TimePoint now)
{
    return isUnproven(evidence, request) && !evidence.quarantined.contains(request)
        && endedCopiesOf(evidence, request, now) == 0;
}

} // namespace wisteria
