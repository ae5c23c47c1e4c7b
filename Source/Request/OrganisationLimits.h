#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Config.pb.h"
#include "Peer.pb.h"
#include "Process/Time.h"
#include "Request/TokenBucket.h"

namespace wisteria {

/// How long a grant of an organisation's budget is valid.
constexpr milliseconds grantTime{1000};
/// How often an entry renews a grant, and how often it renews one that is used up or after a
/// refusal.
constexpr milliseconds grantInterval{250};
constexpr milliseconds urgentGrantInterval{50};

/// One entry's equal share of `whole`; the remainder goes to the entries of lowest rank.
std::uint32_t staticShare(std::uint32_t whole, std::size_t entries, std::size_t rank);

/// Limits and use of one organisation at one entry.
struct OrganisationUse
{
    v1::Organisation declared;
    /// This entry's static share, used while no grant is valid or when it is used up.
    TokenBucket share;
    std::uint32_t concurrencyShare = 0;
    /// Requests left of the grant, and concurrency that it allows, until `grantUntil`.
    std::uint32_t granted = 0;
    std::uint32_t grantedConcurrency = 0;
    TimePoint grantUntil;
    std::uint32_t inFlight = 0;
    /// Admitted and refused since the last call to the owner; their sum is reported as demand.
    std::uint32_t admitted = 0;
    std::uint32_t refused = 0;
    /// Whether a request arrived since the last call to the owner.
    bool used = false;
    TimePoint lastCall;
    /// Whether OrganisationLimits::active holds its name.
    bool listed = false;
};

/// Limits of all organisations at one entry.
struct OrganisationLimits
{
    std::string ownName;
    std::vector<std::string> entryNames;
    std::map<std::string, OrganisationUse> uses;
    std::uint64_t configVersion = 0;
    /// Names of the organisations in use, which budgetCalls() iterates over. With thousands
    /// declared, most are idle, and iterating over all of them many times a second is
    /// expensive.
    std::vector<std::string> active;
};

/// Why an organisation's request is not admitted, and when to retry.
struct LimitRefusal
{
    v1::Reason reason = v1::REASON_UNSPECIFIED;
    milliseconds retryAfter{0};
};

/// Applies the declared organisations and the set of entries. Requests in flight stay counted.
void setLimits(OrganisationLimits &limits,
               const std::map<std::string, v1::Organisation> &organisations,
               std::uint64_t configVersion, TimePoint now);

/// Admits one request and counts it.
/// @return Nothing if it was admitted, otherwise the reason.
std::optional<LimitRefusal> admit(OrganisationLimits &limits, const std::string &organisation,
                                  TimePoint now);

/// Records that an admitted request has ended.
void release(OrganisationLimits &limits, const std::string &organisation);

/// A call to the owner of an organisation's budget.
struct BudgetCall
{
    /// Name of the entry that owns the budget; may be this entry itself.
    std::string owner;
    v1::BudgetRequest request;
};

/// Calls to make now for the organisations in use; resets the counts of those that it returns a
/// call for. Must be called every urgentGrantInterval. An entry that does not use an organisation
/// makes no call for it, so its static share stays unused.
std::vector<BudgetCall> budgetCalls(OrganisationLimits &limits, TimePoint now);

/// Applies the owner's grant.
/// @param sentAt When the request for it was sent: the grant is valid from then on, and so never
/// longer than the owner counts it.
void applyGrant(OrganisationLimits &limits, const std::string &organisation,
                const v1::BudgetGrant &grant, TimePoint sentAt);

} // namespace wisteria
