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

/// How long the owner counts a grant after it expires at the entry, because clocks run at
/// different speeds.
constexpr milliseconds grantMargin{100};

/// What an entry holds of one organisation's budget, and what it last reported.
struct BudgetLease
{
    TimePoint until;
    /// Requests and concurrency of the last grant.
    std::uint32_t requests = 0;
    std::uint32_t concurrency = 0;
    /// Requests in flight at the entry, and its demand since its last call.
    std::uint32_t inFlight = 0;
    std::uint32_t wanted = 0;
};

/// One organisation's budget at its owner.
struct OrganisationBudget
{
    /// Tokens that may be granted; below zero after an entry used more than its grant.
    TokenBucket pool;
    /// Leases by entry. Entries without one use their static share, which is reserved for them.
    std::map<std::string, BudgetLease> leases;
};

/// Budgets that an entry owns: rendezvous hashing over the entries assigns each organisation an
/// owner. While the owner is gone, entries use their static shares.
struct BudgetOwner
{
    /// All entries that serve callers, this one included.
    std::vector<std::string> entryNames;
    /// Nothing is granted before this time: entries may still hold grants of an earlier incarnation
    /// or another owner.
    TimePoint firstGrantAt;
    std::map<std::string, v1::Organisation> declared;
    std::map<std::string, OrganisationBudget> budgets;
};

/// Creates an owner that does not know what an earlier incarnation granted, so that it grants
/// nothing until those grants have expired.
BudgetOwner makeBudgetOwner(const std::vector<std::string> &entryNames, TimePoint now);

/// Puts another set of entries into force. Budgets may move here from another owner and shares
/// change their size, so nothing is granted until every earlier grant has expired; the entries use
/// their static shares meanwhile.
void setBudgetEntries(BudgetOwner &owner, const std::vector<std::string> &entryNames,
                      TimePoint now);

/// Puts the declared organisations into force.
void setBudgets(BudgetOwner &owner, const std::map<std::string, v1::Organisation> &organisations);

/// Renews an entry's lease.
/// @return A grant; its valid_ms is 0 if nothing can be granted, and the entry uses its static
/// share.
v1::BudgetGrant answerBudget(BudgetOwner &owner, const v1::BudgetRequest &request, TimePoint now);

} // namespace wisteria
