#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "Process/Metrics.h"
#include "Process/Time.h"

namespace wisteria {

/// How a request ended, for metrics.
struct RequestEnd
{
    /// Empty if no service was chosen for the request.
    std::string service{};
    /// HTTP status of the answer; 0 if the connection ended without a complete answer.
    int status = 0;
    /// One of a fixed set of reasons. The log line of the request has it too, or a more precise
    /// one.
    std::string reason;
    /// From the arrival to the end.
    milliseconds duration{0};
    /// From the arrival to the first event; only for streams.
    std::optional<milliseconds> firstEvent{};
    /// Longest pause between two events of one send, or between the head of a resumed stream and
    /// its first event; only for streams.
    std::optional<milliseconds> longestPause{};
};

/// Why a request was sent again.
enum class RetryCause {
    Failed, ///< The previous send failed before any part of an answer was forwarded.
    Resumed, ///< The stream was cut off and is resumed at another backend server.
    Moved, ///< The backend server was much slower than usual, or silent.
};

/// Slots of a service and their expected use, as one gateway sees them.
struct ServiceSlots
{
    std::string service;
    std::size_t backends = 0;
    double taken = 0;
    double total = 0;
};

void countRequestEnd(Metrics &metrics, const RequestEnd &request);

/// Records how long a request waited for its first send.
/// @param waited From the arrival to the first send.
void countFirstSend(Metrics &metrics, const std::string &service, milliseconds waited);

/// How a first send of a service whose routes have more than one priority got its slot.
struct PriorityStart
{
    /// At the limit of the most urgent priority because its own is starved; see isStarved().
    bool starved = false;
    /// Beyond this gateway's share of free slots; see BackendCriteria::mayExceedFreeShare.
    bool beyondFreeShare = false;
};

void countPriorityStart(Metrics &metrics, const std::string &service, std::uint32_t priority,
                        const PriorityStart &start);

/// @param limit Requests at one backend server, see PriorityLimits.
void setPriorityLimit(Metrics &metrics, const std::string &service, std::uint32_t priority,
                      std::uint32_t limit);

/// @param outcome "answered", "moved", or the name of a `SendOutcome`.
void countSendEnd(Metrics &metrics, const std::string &service, const std::string &outcome);

void countRetry(Metrics &metrics, const std::string &service, RetryCause cause);

/// Counts a connection that was cut because all together held too many bytes.
void countCutRequest(Metrics &metrics);

/// Counts a check of a backend server that was suspected of silence.
void countLivenessCheck(Metrics &metrics, bool answered);

/// @param what Name of the watch that made the call.
/// @param result "answered", "failed" or "history lost".
void countStoreCall(Metrics &metrics, const std::string &what, const std::string &result);

/// Counts a removal of a backend server's entry.
/// @param outcome "left"; "kept", as the entry may have expired in an outage of the store; or "not
/// back", for one that was kept.
void countEntryRemoval(Metrics &metrics, const std::string &outcome);

/// Counts a new connection that was closed unread because the gateway was overloaded.
void countTurnedAway(Metrics &metrics);

void countServerCrash(Metrics &metrics, const std::string &service);

/// What counts against requests; see PoisonGuard.
struct PoisonState
{
    std::size_t quarantined = 0;
    /// Requests of which the last sends are left, or none.
    std::size_t restricted = 0;
    std::size_t recentCrashes = 0;
};

void setPoisonState(Metrics &metrics, const PoisonState &state);

void setStoreAge(Metrics &metrics, const std::string &what, milliseconds sinceAnswer);
void setSlots(Metrics &metrics, const ServiceSlots &slots);
void setRetriesLeft(Metrics &metrics, const std::string &service, double retries);
void setEvacuatedDomains(Metrics &metrics, std::size_t domains);
/// @param age Since this gateway learned of the evacuation; 0 after its end.
void setEvacuationAge(Metrics &metrics, const std::string &domain, milliseconds age);

/// State of the whole gateway at the time of a scrape.
struct GatewayState
{
    std::uint64_t configurationVersion = 0;
    std::size_t connections = 0;
    std::size_t openRequests = 0;
    std::size_t waitingRequests = 0;
    /// Bytes that are held of requests and answers.
    std::size_t heldBytes = 0;
    std::size_t serverLimits = 0;
    std::size_t coldServers = 0;
    bool ready = false;
    std::uint64_t droppedLogLines = 0;
};

void setGatewayState(Metrics &metrics, const GatewayState &state);

} // namespace wisteria
