#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Config.pb.h"
#include "Peer.pb.h"
#include "Process/Time.h"

namespace wisteria {

/// How long a grant of an organisation's budget holds.
constexpr milliseconds grantTime{1000};
/// How often an entry renews a grant, and how often it asks again for one that is used up.
constexpr milliseconds grantInterval{250};
constexpr milliseconds hungryInterval{50};

/// Tokens that refill at a rate up to a capacity.
struct TokenBucket
{
    double tokens = 0;
    double rate = 0;
    double capacity = 0;
    TimePoint refilledAt;
};

/// Refills the bucket up to now.
void refill(TokenBucket &bucket, TimePoint now);

/// One entry's share of a whole number; the remainder goes to the entries of lowest rank.
std::uint32_t staticShare(std::uint32_t whole, std::size_t entries, std::size_t rank);

/// One organisation as one entry limits it.
struct OrganisationUse
{
    v1::Organisation declared;
    /// This entry's static share, used while no grant holds.
    TokenBucket share;
    std::uint32_t concurrencyShare = 0;
    /// Requests left of the grant, and in flight allowed by it, until `grantUntil`.
    std::uint32_t granted = 0;
    std::uint32_t grantedConcurrency = 0;
    TimePoint grantUntil;
    std::uint32_t inFlight = 0;
    /// Admitted and refused since the last call to the owner; their sum is what is wanted next.
    std::uint32_t admitted = 0;
    std::uint32_t refused = 0;
    bool used = false;
    TimePoint lastCall;
    /// Named in OrganisationLimits::active.
    bool listed = false;
};

/// Limits of all organisations at one entry.
struct OrganisationLimits
{
    std::string ownName;
    std::vector<std::string> entryNames;
    std::map<std::string, OrganisationUse> uses;
    std::uint64_t configVersion = 0;
    /// Names of those in use, which budgetCalls() looks at. With thousands declared, most rest, and
    /// to look at all of them many times a second cost an entry 1% of a core.
    std::vector<std::string> active;
};

/// Why an organisation's request is not admitted, and when it may be.
struct LimitRefusal
{
    v1::Reason reason = v1::REASON_UNSPECIFIED;
    milliseconds retryAfter{0};
};

/// Takes declared organisations or the set of entries into force; uses in flight stay counted.
void setLimits(OrganisationLimits &limits,
               const std::map<std::string, v1::Organisation> &organisations,
               std::uint64_t configVersion, TimePoint now);

/// Admits one request and counts it, or says why not.
std::optional<LimitRefusal> admit(OrganisationLimits &limits, const std::string &organisation,
                                  TimePoint now);

/// An admitted request is over.
void release(OrganisationLimits &limits, const std::string &organisation);

/// A call to the owner of an organisation's budget.
struct BudgetCall
{
    /// Name of the entry that owns the budget; may be this entry itself.
    std::string owner;
    v1::BudgetRequest request;
};

/// Calls to make now, for the organisations in use; to be asked for every hungryInterval. Counts
/// of those that are called for start anew. An entry that does not use an organisation makes no
/// call for it, so its static share stays unused.
std::vector<BudgetCall> budgetCalls(OrganisationLimits &limits, TimePoint now);

/// Takes the owner's grant.
/// @param sentAt When the request for it was sent: the grant holds from then on, never longer than
/// the owner counts on.
void grantArrived(OrganisationLimits &limits, const std::string &organisation,
                  const v1::BudgetGrant &grant, TimePoint sentAt);

} // namespace wisteria
