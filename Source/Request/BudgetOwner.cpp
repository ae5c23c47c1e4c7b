#include "Request/BudgetOwner.h"

#include <algorithm>

namespace wisteria {

namespace {

/// Requests that a grant holds beyond twice the demand of the last interval, for bursts.
constexpr std::uint32_t spareRequests = 4;

std::size_t entryCount(const BudgetOwner &owner)
{
    return std::max<std::size_t>(owner.entryNames.size(), 1);
}

void removeExpiredLeases(OrganisationBudget &budget, TimePoint now)
{
    std::erase_if(budget.leases, [now](const auto &item) { return item.second.until <= now; });
}

/// The fraction of the limit that is granted by leases; entries without a lease use the rest as
/// their static shares.
double leasedFraction(const BudgetOwner &owner, const OrganisationBudget &budget)
{
    return static_cast<double>(budget.leases.size()) / static_cast<double>(entryCount(owner));
}

void resizePool(const BudgetOwner &owner, OrganisationBudget &budget,
                const v1::Organisation &declared, TimePoint now)
{
    refill(budget.pool, now);
    budget.pool.refilledAt = std::max(budget.pool.refilledAt, now);
    const double fraction = leasedFraction(owner, budget);
    budget.pool.rate = declared.requests_per_second() * fraction;
    budget.pool.capacity = std::max(1.0, declared.burst() * fraction);
    budget.pool.tokens = std::min(budget.pool.tokens, budget.pool.capacity);
}

/// Returns what the entry did not use of its last grant to the pool, or deducts what it used
/// beyond it.
void settle(OrganisationBudget &budget, BudgetLease &lease, const v1::BudgetRequest &request)
{
    const double unspent = static_cast<double>(lease.requests) - request.admitted();
    budget.pool.tokens = std::min(budget.pool.capacity, budget.pool.tokens + unspent);
    lease.requests = 0;
}

std::uint32_t grantRequests(const OrganisationBudget &budget, const std::string &entry,
                            const BudgetLease &lease)
{
    const double available = std::max(0.0, budget.pool.tokens);
    const double fair = available / static_cast<double>(budget.leases.size());
    double others = 0;
    for (const auto &[name, other] : budget.leases) {
        if (name != entry)
            others += std::min<double>(other.wanted, fair);
    }
    const double want = 2.0 * lease.wanted + spareRequests;
    return static_cast<std::uint32_t>(std::min(want, std::max(fair, available - others)));
}

/// Concurrency that other entries hold by lease, or by static share if they have no lease.
std::uint32_t concurrencyOfOthers(const BudgetOwner &owner, const OrganisationBudget &budget,
                                  const v1::Organisation &declared, const std::string &entry)
{
    std::uint32_t held = 0;
    std::size_t rank = 0;
    std::vector<std::string> names = owner.entryNames;
    std::sort(names.begin(), names.end());
    for (const std::string &name : names) {
        const auto lease = budget.leases.find(name);
        if (name != entry && lease == budget.leases.end())
            held += staticShare(declared.concurrency(), entryCount(owner), rank);
        else if (name != entry)
            held += std::max(lease->second.concurrency, lease->second.inFlight);
        ++rank;
    }
    return held;
}

std::uint32_t grantConcurrency(const BudgetOwner &owner, const OrganisationBudget &budget,
                               const v1::Organisation &declared, const std::string &entry,
                               const BudgetLease &lease)
{
    const std::uint32_t limit = declared.concurrency();
    const std::uint32_t others = concurrencyOfOthers(owner, budget, declared, entry);
    const std::uint32_t left = limit > others ? limit - others : 0;
    const auto fair = static_cast<std::uint32_t>(limit / entryCount(owner));
    // An entry gets what it needs, but at least half its fair share for a sudden rise of its
    // callers' rate. It leaves the rest to others: keeping the whole fair share would hold busy
    // entries below the organisation's limit.
    const std::uint32_t want = std::max(fair / 2, lease.inFlight + lease.wanted + spareRequests);
    // While another entry is held below its fair share, no entry gets more than the fair share.
    bool starved = false;
    for (const auto &[name, other] : budget.leases)
        starved = starved || (name != entry && other.concurrency < std::min(fair, other.wanted));
    return std::min(left, starved ? std::min(want, std::max<std::uint32_t>(fair, 1)) : want);
}

} // namespace

BudgetOwner makeBudgetOwner(const std::vector<std::string> &entryNames, TimePoint now)
{
    BudgetOwner owner;
    setBudgetEntries(owner, entryNames, now);
    return owner;
}

void setBudgetEntries(BudgetOwner &owner, const std::vector<std::string> &entryNames, TimePoint now)
{
    if (owner.entryNames == entryNames)
        return;
    owner.entryNames = entryNames;
    owner.budgets.clear();
    owner.firstGrantAt = now + grantTime + grantMargin;
}

void setBudgets(BudgetOwner &owner, const std::map<std::string, v1::Organisation> &organisations)
{
    owner.declared = organisations;
    std::erase_if(owner.budgets, [&organisations](const auto &item) {
        return !organisations.contains(item.first);
    });
}

v1::BudgetGrant answerBudget(BudgetOwner &owner, const v1::BudgetRequest &request, TimePoint now)
{
    v1::BudgetGrant grant;
    const auto declared = owner.declared.find(request.organisation());
    const bool known = std::find(owner.entryNames.begin(), owner.entryNames.end(), request.entry())
        != owner.entryNames.end();
    if (declared == owner.declared.end() || !known || now < owner.firstGrantAt)
        return grant;
    OrganisationBudget &budget = owner.budgets[request.organisation()];
    removeExpiredLeases(budget, now);
    BudgetLease &lease = budget.leases[request.entry()];
    lease.inFlight = request.in_flight();
    lease.wanted = request.wanted();
    resizePool(owner, budget, declared->second, now);
    settle(budget, lease, request);
    lease.requests = grantRequests(budget, request.entry(), lease);
    budget.pool.tokens -= lease.requests;
    lease.concurrency = grantConcurrency(owner, budget, declared->second, request.entry(), lease);
    lease.until = now + grantTime + grantMargin;
    grant.set_requests(lease.requests);
    grant.set_concurrency(lease.concurrency);
    grant.set_valid_ms(grantTime.count());
    return grant;
}

} // namespace wisteria
