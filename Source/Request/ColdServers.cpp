#include "Request/ColdServers.h"

#include <algorithm>
#include <cmath>

namespace wisteria {

namespace {

/// Lower bound of the slow start's duration.
constexpr milliseconds minSlowStart{1000};
/// How long a server's record is kept without an entry. A restarted server is back within minutes.
constexpr std::chrono::minutes recordLifetime{10};

double boundOf(const ColdServers &cold, const ColdService &service)
{
    return service.perSecond * cold.bounds.overshoot + cold.bounds.slack;
}

/// Sets the limit of a server's cold phase, or removes it if its service has no cold rate.
void setColdLimit(const ColdServers &cold, ServerLimits &limits, const std::string &id,
                  const ColdPhase &phase)
{
    const auto service = cold.services.find(phase.service);
    if (service == cold.services.end()) {
        if (const auto limit = limits.find(id); limit != limits.end())
            limit->second.cold = {};
        return;
    }
    const double perSecond = service->second.perSecond;
    limits[id].cold = {.perSecond = perSecond,
                       .until = phase.until,
                       .slowStart = std::max(minSlowStart, service->second.duration),
                       .fullPerSecond = std::max(perSecond, boundOf(cold, service->second))};
}

/// Returns how long a server is cold from now on according to its entry.
milliseconds coldTimeOf(const ColdServers &cold, const BackendEntry &entry, bool restarted)
{
    if (entry.coldRemaining)
        return *entry.coldRemaining;
    const auto service = cold.services.find(entry.service);
    return restarted && service != cold.services.end() ? service->second.duration : milliseconds(0);
}

} // namespace

void setColdServices(ColdServers &cold, ServerLimits &limits,
                     const std::map<std::string, ServiceRule> &services, TimePoint now)
{
    cold.configured = true;
    cold.services.clear();
    for (const auto &[name, rule] : services) {
        if (rule.coldPerSecond > 0)
            cold.services[name] = {rule.coldPerSecond, rule.coldDuration};
    }
    for (const auto &[id, phase] : cold.phases) {
        if (now < phase.until)
            setColdLimit(cold, limits, id, phase);
    }
}

double coldRateOf(const ColdServers &cold, const std::string &service)
{
    const auto found = cold.services.find(service);
    return found == cold.services.end() ? 0 : found->second.perSecond;
}

std::optional<SendShare> sendShareOf(const ColdServers &cold, const std::string &service)
{
    const auto found = cold.services.find(service);
    if (found == cold.services.end())
        return std::nullopt;
    const double share = boundOf(cold, found->second) / cold.gateways;
    // More than any gateway sends; the settings have no upper bound, and the conversion needs one.
    constexpr double maxShare = 1'000'000;
    if (share >= 1)
        return SendShare{.requests = static_cast<std::size_t>(std::min(share, maxShare))};
    // With more gateways than the bound allows requests, each leaves a longer time between two.
    constexpr double minShare = 0.001;
    const std::chrono::duration<double> within{1 / std::max(share, minShare)};
    return SendShare{.requests = 1, .within = std::chrono::ceil<milliseconds>(within)};
}

TimePoint nextSendAt(const ColdServers &cold, const SendShare &share, const std::string &id)
{
    const auto sends = cold.sends.find(id);
    if (sends == cold.sends.end() || sends->second.size() < share.requests)
        return TimePoint();
    return sends->second[sends->second.size() - share.requests] + share.within;
}

void noteSend(ColdServers &cold, const std::string &service, const std::string &id, TimePoint now)
{
    const auto share = sendShareOf(cold, service);
    if (!share)
        return;
    std::deque<TimePoint> &sends = cold.sends[id];
    sends.push_back(now);
    while (sends.size() > share->requests || sends.front() + share->within <= now)
        sends.pop_front();
}

void removeStaleState(ColdServers &cold, TimePoint now)
{
    constexpr std::chrono::minutes interval{1};
    if (now - cold.cleanedAt < interval)
        return;
    cold.cleanedAt = now;
    std::erase_if(cold.sends,
                  [now](const auto &item) { return now - item.second.back() > recordLifetime; });
    std::erase_if(cold.loggedProblems,
                  [now](const auto &item) { return now - item.second > recordLifetime; });
    std::erase_if(cold.records,
                  [now](const auto &item) { return now - item.second.readAt > recordLifetime; });
}

void beginColdPhase(ColdServers &cold, ServerLimits &limits, const std::string &id,
                    const ColdPhase &phase)
{
    cold.phases[id] = phase;
    setColdLimit(cold, limits, id, phase);
}

void noteColdEntry(ColdServers &cold, ServerLimits &limits, const BackendEntry &entry,
                   TimePoint now)
{
    if (!entry.coldRemaining && !cold.services.contains(entry.service))
        return;
    ColdRecord &record = cold.records[entry.id];
    const bool readAgain = entry.recordOffset && record.offset == entry.recordOffset;
    const bool restarted =
        record.startedAt != 0 && entry.startedAt != 0 && record.startedAt != entry.startedAt;
    record = {entry.startedAt, entry.recordOffset, now};
    if (readAgain)
        return;
    const milliseconds time = coldTimeOf(cold, entry, restarted);
    const bool knownCold = isCold(cold, entry.id, now);
    // The phase of the previous incarnation ends without a slow start.
    if (knownCold && restarted)
        cold.phases[entry.id].until = now;
    const bool endsEarly = knownCold && !restarted && entry.coldRemaining.has_value();
    if (time > milliseconds(0) || endsEarly)
        beginColdPhase(cold, limits, entry.id, {.service = entry.service, .until = now + time});
}

bool noteColdProblem(ColdServers &cold, const std::string &id, const std::string &problem,
                     TimePoint now)
{
    if (problem.empty())
        return false;
    const auto [logged, isNew] = cold.loggedProblems.try_emplace(id, now);
    if (!isNew && now - logged->second < recordLifetime)
        return false;
    logged->second = now;
    return true;
}

bool isCold(const ColdServers &cold, const std::string &id, TimePoint now)
{
    // Usually no server is cold, and a look-up for each of thousands of servers is expensive.
    if (cold.phases.empty())
        return false;
    const auto phase = cold.phases.find(id);
    return phase != cold.phases.end() && now < phase->second.until;
}

std::size_t coldServerCount(const ColdServers &cold, TimePoint now)
{
    return static_cast<std::size_t>(
        std::count_if(cold.phases.begin(), cold.phases.end(),
                      [now](const auto &item) { return now < item.second.until; }));
}

std::vector<std::string> endColdPhases(ColdServers &cold, TimePoint now)
{
    std::vector<std::string> ended;
    std::erase_if(cold.phases, [&](const auto &item) {
        if (now < item.second.until)
            return false;
        ended.push_back(item.first);
        return true;
    });
    return ended;
}

} // namespace wisteria
