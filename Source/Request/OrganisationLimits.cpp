#include "Request/OrganisationLimits.h"

#include <algorithm>
#include <utility>

#include "Request/KeyHashing.h"

namespace wisteria {

namespace {

constexpr milliseconds concurrencyRetry{100};

std::size_t entryCount(const OrganisationLimits &limits)
{
    return std::max<std::size_t>(limits.entryNames.size(), 1);
}

/// This entry's position among all entries; the remainder of a division goes to the first ones.
std::size_t entryRank(const OrganisationLimits &limits)
{
    return std::count_if(limits.entryNames.begin(), limits.entryNames.end(),
                         [&](const std::string &name) { return name < limits.ownName; });
}

void setShare(OrganisationUse &use, const OrganisationLimits &limits, TimePoint now)
{
    const double entries = static_cast<double>(entryCount(limits));
    const bool isNew = use.share.capacity == 0;
    refill(use.share, now);
    use.share.rate = use.declared.requests_per_second() / entries;
    // At least one token, or no request would ever be admitted.
    use.share.capacity = std::max(1.0, use.declared.burst() / entries);
    use.share.tokens = isNew ? use.share.capacity : std::min(use.share.tokens, use.share.capacity);
    use.share.refilledAt = now;
    use.concurrencyShare =
        staticShare(use.declared.concurrency(), entryCount(limits), entryRank(limits));
}

bool hasGrant(const OrganisationUse &use, TimePoint now)
{
    return now < use.grantUntil;
}

bool isIdle(const OrganisationUse &use, TimePoint now)
{
    return !use.used && use.inFlight == 0 && !hasGrant(use, now);
}

bool isCallDue(const OrganisationUse &use, TimePoint now)
{
    const bool urgent = use.refused > 0 || (hasGrant(use, now) && use.granted == 0);
    return now - use.lastCall >= (urgent ? urgentGrantInterval : grantInterval);
}

/// Removes organisations that are idle or no longer declared from the list of active ones.
void removeIdle(OrganisationLimits &limits, TimePoint now)
{
    std::erase_if(limits.active, [&](const std::string &name) {
        const auto found = limits.uses.find(name);
        if (found == limits.uses.end())
            return true;
        if (isIdle(found->second, now))
            found->second.listed = false;
        return !found->second.listed;
    });
}

LimitRefusal refuse(OrganisationUse &use, v1::Reason reason, milliseconds retryAfter)
{
    ++use.refused;
    return {reason, retryAfter};
}

milliseconds untilNextToken(const OrganisationUse &use)
{
    if (use.share.rate <= 0)
        return grantTime;
    const double missing = std::max(0.0, 1.0 - use.share.tokens);
    return milliseconds(static_cast<std::int64_t>(1000.0 * missing / use.share.rate) + 1);
}

} // namespace

std::uint32_t staticShare(std::uint32_t whole, std::size_t entries, std::size_t rank)
{
    return static_cast<std::uint32_t>(whole / entries + (rank < whole % entries ? 1 : 0));
}

void setLimits(OrganisationLimits &limits,
               const std::map<std::string, v1::Organisation> &organisations,
               std::uint64_t configVersion, TimePoint now)
{
    limits.configVersion = configVersion;
    for (const auto &[name, declared] : organisations) {
        OrganisationUse &use = limits.uses[name];
        use.declared = declared;
        setShare(use, limits, now);
    }
    std::erase_if(limits.uses, [&](const auto &item) {
        return !organisations.contains(item.first) && item.second.inFlight == 0;
    });
}

std::optional<LimitRefusal> admit(OrganisationLimits &limits, const std::string &organisation,
                                  TimePoint now)
{
    const auto found = limits.uses.find(organisation);
    if (found == limits.uses.end())
        return LimitRefusal{v1::REASON_BAD_REQUEST, milliseconds(0)};
    OrganisationUse &use = found->second;
    use.used = true;
    if (!std::exchange(use.listed, true))
        limits.active.push_back(organisation);
    refill(use.share, now);
    const bool granted = hasGrant(use, now);
    const std::uint32_t concurrency = granted ? use.grantedConcurrency : use.concurrencyShare;
    if (use.inFlight >= concurrency)
        return refuse(use, v1::REASON_ORGANISATION_CONCURRENCY, concurrencyRetry);
    // When its grant is used up, an entry uses its static share: after little traffic its grant is
    // small, and it must not refuse what the share allows. The owner deducts the difference from
    // its next grants.
    const bool byGrant = granted && use.granted > 0;
    if (!byGrant && use.share.tokens < 1.0) {
        const milliseconds wait = untilNextToken(use);
        return refuse(use, v1::REASON_ORGANISATION_RATE,
                      granted ? std::min(wait, urgentGrantInterval) : wait);
    }
    if (byGrant)
        --use.granted;
    // Requests admitted by a grant use up the share too. When the grant expires, they count against
    // the share, so that grant and share together do not exceed the limit.
    use.share.tokens = std::max(0.0, use.share.tokens - 1.0);
    ++use.inFlight;
    ++use.admitted;
    return std::nullopt;
}

void release(OrganisationLimits &limits, const std::string &organisation)
{
    const auto found = limits.uses.find(organisation);
    if (found != limits.uses.end() && found->second.inFlight > 0)
        --found->second.inFlight;
}

std::vector<BudgetCall> budgetCalls(OrganisationLimits &limits, TimePoint now)
{
    std::vector<BudgetCall> calls;
    removeIdle(limits, now);
    for (const std::string &name : limits.active) {
        OrganisationUse &use = limits.uses.at(name);
        if (!isCallDue(use, now))
            continue;
        const auto owner = rendezvousChoice(name, limits.entryNames);
        if (!owner)
            continue;
        BudgetCall call;
        call.owner = *owner;
        call.request.set_organisation(name);
        call.request.set_entry(limits.ownName);
        call.request.set_config_version(limits.configVersion);
        call.request.set_admitted(use.admitted);
        call.request.set_in_flight(use.inFlight);
        call.request.set_wanted(use.admitted + use.refused);
        calls.push_back(std::move(call));
        use.admitted = 0;
        use.refused = 0;
        use.used = false;
        use.lastCall = now;
    }
    return calls;
}

void applyGrant(OrganisationLimits &limits, const std::string &organisation,
                const v1::BudgetGrant &grant, TimePoint sentAt)
{
    const auto found = limits.uses.find(organisation);
    if (found == limits.uses.end() || grant.valid_ms() == 0)
        return;
    OrganisationUse &use = found->second;
    use.granted = grant.requests();
    use.grantedConcurrency = grant.concurrency();
    use.grantUntil = sentAt + milliseconds(grant.valid_ms());
}

} // namespace wisteria
