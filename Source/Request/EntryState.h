#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Peer.pb.h"
#include "Process/Time.h"
#include "Request/OrganisationLimits.h"
#include "Request/PoisonRequests.h"
#include "Request/RequestGuards.h"
#include "Request/RetryBudget.h"
#include "Request/Route.h"
#include "Version/ConfigState.h"

namespace wisteria {

/// A caller's request as parsed from HTTP. Each HTTP request is one try of the caller, for which
/// the entry makes one or more attempts at backend servers.
struct CallerRequest
{
    /// Identity of the request, 16 random bytes chosen by the entry.
    std::string id;
    std::string service;
    std::string organisation;
    /// The largest number is served first; the gateway's scale is the reverse.
    std::uint32_t priority = 0;
    /// Time limit set by the caller; zero for the service's default.
    milliseconds deadline{0};
    bool idempotent = true;
    /// UUID version 7 of a non-idempotent request.
    std::string key;
    /// Number of this try with the key, as the caller counts; 1 means that the key is new, 0 that
    /// the caller does not count.
    std::uint32_t callerTry = 0;
    /// Hash of service and body.
    std::uint64_t fingerprint = 0;
    /// Hash of the prompt's prefix; 0 for none.
    std::uint64_t prefix = 0;
    std::uint64_t bodyBytes = 0;
};

/// One service as operators declared it.
struct DeclaredService
{
    v1::Service service;
    v1::RoutingPolicy policy;
    /// Declared backend servers that are not draining.
    std::vector<v1::BackendServer> servers;
    /// The agents' addresses of `servers` by name; each of them may own a key.
    std::map<std::string, std::string> ownerAddresses;
    /// The names of `ownerAddresses`, for rendezvous hashing.
    std::vector<std::string> ownerNames;
};

/// The part of one version of the configuration that routing needs. Immutable, so that all threads
/// of an entry share it: a copy for each would not fit into an entry's memory.
struct DeclaredRouting
{
    std::uint64_t version = 0;
    std::map<std::string, DeclaredService> services;
    std::map<std::string, v1::Organisation> organisations;
};

/// One service as a traffic thread routes to it.
struct ServiceView
{
    /// Owned by EntryState::declared.
    const DeclaredService *declared = nullptr;
    /// The last known state of the backend servers of this entry's subset.
    std::vector<Candidate> candidates;
};

/// Routing state of one traffic thread.
struct EntryState
{
    /// Name of this entry, from settings, and names of all entries that serve callers, set by
    /// setEntries().
    std::string ownName;
    std::vector<std::string> entryNames;
    /// Failure domain of this entry's VM.
    std::string failureDomain;
    RequestGuards guards;

    std::uint64_t configVersion = 0;
    std::shared_ptr<const DeclaredRouting> declared = std::make_shared<DeclaredRouting>();
    std::map<std::string, ServiceView> services;
};

/// State that the traffic threads of an entry share. The functions of EntryRequest.h lock `mutex`
/// themselves; other users of the members must lock it too.
struct EntryShared
{
    std::mutex mutex;
    /// The newest version that any thread has built.
    std::shared_ptr<const DeclaredRouting> declared = std::make_shared<DeclaredRouting>();
    OrganisationLimits limits;
    PoisonRequests suspects;
    /// Suspected fingerprints of non-idempotent requests that are in flight.
    std::set<std::uint64_t> suspectsInFlight;
    /// Retry budgets by service.
    std::map<std::string, RetryBudget> retryBudgets;
};

/// Progress of one request.
struct RequestState
{
    CallerRequest request;
    TimePoint deadline;
    /// The largest number is served first; the gateway's scale is the reverse.
    std::uint32_t priority = 0;
    std::uint32_t attempt = 0;
    /// Backend server of the outstanding attempt.
    std::string backendServer;
    TimePoint sentAt;
    std::vector<std::string> tried;
    /// Whether the request counts against the organisation's concurrency.
    bool countedInLimits = false;
    bool outstanding = false;
    bool answering = false;
    bool runAlone = false;
    /// Whether its fingerprint is in `suspectsInFlight`.
    bool holdsSuspect = false;
    /// An attempt of this request may have run, so no later refusal may be NotRun.
    bool mayHaveRun = false;
    /// Bytes of the answer's chunks received so far.
    std::uint64_t answerBytes = 0;
    bool ended = false;
};

} // namespace wisteria
