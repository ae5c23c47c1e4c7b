#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Config.pb.h"
#include "Peer.pb.h"
#include "Process/Time.h"
#include "Request/OrganisationLimits.h"

namespace wisteria {

/// How long the owner counts on a grant beyond its time, for clocks that run at unlike speeds.
constexpr milliseconds grantMargin{100};

/// What an entry holds of one organisation's budget.
struct BudgetLease
{
    TimePoint until;
    std::uint32_t requests = 0;
    std::uint32_t concurrency = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t wanted = 0;
};

/// One organisation's budget at its owner.
struct OrganisationBudget
{
    /// What may be granted; below zero after an entry spent more than it was known to hold.
    TokenBucket pool;
    /// Leases by entry. Entries without one use their static share, which is kept back for them.
    std::map<std::string, BudgetLease> leases;
};

/// Budgets that an entry owns: those of the organisations that rendezvous hashing gives it among
/// the entries. While the owner is gone, entries keep to their static shares.
struct BudgetOwner
{
    /// The entries that share the work, as this process knows them.
    std::vector<std::string> entryNames;
    /// Nothing is granted before: entries may still hold grants of an earlier life or owner.
    TimePoint grantsFrom;
    std::map<std::string, v1::Organisation> declared;
    std::map<std::string, OrganisationBudget> budgets;
};

/// Begins owning, without knowledge of what an earlier life granted.
BudgetOwner startBudgetOwner(const std::vector<std::string> &entryNames, TimePoint now);

/// Takes another set of entries into force. Budgets may come from another owner and shares change
/// their size, so nothing is granted until every earlier grant has lapsed; the entries use their
/// shares meanwhile.
void setBudgetEntries(BudgetOwner &owner, const std::vector<std::string> &entryNames,
                      TimePoint now);

/// Takes declared organisations into force.
void setBudgets(BudgetOwner &owner, const std::map<std::string, v1::Organisation> &organisations);

/// Renews an entry's lease.
/// @return A grant whose valid_ms is 0 when nothing can be granted: the entry uses its share.
v1::BudgetGrant answerBudget(BudgetOwner &owner, const v1::BudgetRequest &request, TimePoint now);

} // namespace wisteria
