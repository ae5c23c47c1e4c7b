#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "Process/Metrics.h"
#include "Process/Time.h"

namespace wisteria {

/// How a request ended, as metrics count it.
struct RequestEnded
{
    /// Empty when the request never got as far as a service.
    std::string service{};
    /// Status of the answer; 0 when the connection was closed instead.
    int status = 0;
    /// One of the fixed reasons that also stand on the request's log line.
    std::string reason;
    /// From the arrival to the end.
    milliseconds took{0};
    /// From the arrival to the first event; streams only.
    std::optional<milliseconds> firstEvent{};
    /// Longest pause between two events; streams only.
    std::optional<milliseconds> longestPause{};
};

/// Why a request was sent once more.
enum class RetryCause {
    Failed, ///< The send before failed, and nothing of the answer had come.
    Resumed, ///< The stream broke off and goes on at another backend server.
    Moved, ///< The backend server was much slower than usual.
};

/// A service's places as one gateway expects them to be.
struct ServiceSlots
{
    std::string service;
    std::size_t backends = 0;
    double taken = 0;
    double total = 0;
};

void countRequestEnd(Metrics &metrics, const RequestEnded &request);

/// @param waited From the arrival to the first send.
void countFirstSend(Metrics &metrics, const std::string &service, milliseconds waited);

/// @param outcome "answered", or one of the fixed reasons of a failed send.
void countSendEnd(Metrics &metrics, const std::string &service, const std::string &outcome);

void countRetry(Metrics &metrics, const std::string &service, RetryCause cause);

/// @param result "answered", "failed" or "history lost".
void countStoreCall(Metrics &metrics, const std::string &what, const std::string &result);

void setStoreAge(Metrics &metrics, const std::string &what, milliseconds sinceAnswer);
void setSlots(Metrics &metrics, const ServiceSlots &slots);
void setRetriesLeft(Metrics &metrics, const std::string &service, double retries);

/// State of the whole gateway at the moment of a scrape.
struct GatewayState
{
    std::uint64_t configurationVersion = 0;
    std::size_t connections = 0;
    std::size_t openRequests = 0;
    std::size_t waitingRequests = 0;
    std::size_t serverLimits = 0;
    bool ready = false;
    std::uint64_t droppedLogLines = 0;
};

void setGatewayState(Metrics &metrics, const GatewayState &state);

} // namespace wisteria
