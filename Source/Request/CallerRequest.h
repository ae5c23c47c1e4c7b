#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Connection/HttpMessage.h"
#include "Process/Time.h"

namespace wisteria {

/// One attempt of a caller, decoded from its wire form.
struct CallerRequest
{
    std::string method;
    /// Path and query, unchanged.
    std::string target;
    std::string host;
    /// Names this attempt; a caller's own retry has another.
    std::string attemptId;
    /// How long the caller waits, counted from the arrival of the request.
    std::optional<milliseconds> timeLeft;
    std::optional<std::string> apiKey;
    /// The last event that the caller has of a stream that it resumes.
    std::optional<std::uint64_t> lastEventId;
    std::uint32_t promptTokens = 0;
    /// Answer tokens at most.
    std::uint32_t maxAnswerTokens = 0;
    /// The caller's own estimate of the answer's tokens; right at the median only.
    std::optional<std::uint32_t> likelyAnswerTokens;
    /// What is passed on as it came.
    HttpFields forwardedFields;
    std::string body;
    bool keepAlive = true;

    /// The target without its query.
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

/// What the gateway itself tells a backend server beside the caller's request.
struct SendOptions
{
    /// Any other backend server that has the address by now refuses the request.
    std::string expectedBackend{};
    std::string organisation{};
    milliseconds timeLeft{0};
    /// Event after which a resumed stream goes on.
    std::optional<std::uint64_t> lastEventId{};
};

/// Places of a backend server as it told them with an answer.
struct AnswerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// What the head of a backend server's answer says.
struct BackendAnswerHead
{
    int status = 0;
    std::string attemptId;
    /// It carries the backend server's own proof that the body is its answer.
    bool sealed = false;
    /// The backend server says that it did not run the request and never will.
    bool notExecuted = false;
    /// Another backend server than the one named has the address.
    bool misdirected = false;
    bool eventStream = false;
    /// A body encoding that the caller did not ask for.
    bool encoded = false;
    std::optional<AnswerLoad> load;
    /// The backend server will end and wants no new work.
    bool draining = false;
    /// Requests a second that the backend server takes from all gateways together.
    std::optional<double> limitPerSecond;
    /// It turned the request away and wants nothing of this gateway for so long; zero asks for
    /// none.
    milliseconds retryAfter{0};
    /// What is passed on to the caller as it came.
    HttpFields forwardedFields;

    bool success() const { return status >= 200 && status < 300; }
};

} // namespace wisteria
