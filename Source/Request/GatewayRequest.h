#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Connection/HttpMessage.h"
#include "Process/Time.h"

namespace wisteria {

/// One HTTP request of a caller, decoded.
struct GatewayRequest
{
    std::string method;
    /// Path and query, unchanged.
    std::string target;
    std::string host;
    /// Identifies this try of the caller; a retry by the caller has another id.
    std::string attemptId;
    /// How long the caller waits for the answer, counted from the arrival of the request.
    std::optional<milliseconds> timeLeft;
    std::optional<std::string> apiKey;
    /// Id of the last event that the caller received; set when it resumes a stream.
    std::optional<std::uint64_t> lastEventId;
    std::uint32_t promptTokens = 0;
    /// Upper bound of the answer's length in tokens.
    std::uint32_t maxAnswerTokens = 0;
    /// The caller's estimate of the answer's length in tokens; accurate only at the median.
    std::optional<std::uint32_t> likelyAnswerTokens;
    /// Ids of the parts of the prompt that other requests may share, each once: all but the last
    /// part, which belongs to this request or its session.
    std::vector<std::string> sharedPromptParts{};
    /// Header fields that are forwarded unchanged.
    HttpFields forwardedFields;
    std::string body;
    bool keepAlive = true;

    /// Target without the query.
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

/// What the gateway adds to a caller's request when it sends it to a backend server.
struct SendOptions
{
    /// Id of the intended backend server. Another server that now has the address refuses the
    /// request.
    std::string expectedBackend{};
    std::string organisation{};
    /// 0 (most urgent) to 9; empty to send none.
    std::optional<std::uint32_t> priority{};
    milliseconds timeLeft{0};
    /// A resumed stream continues after this event.
    std::optional<std::uint64_t> lastEventId{};
};

/// Slot usage that a backend server reports in an answer.
struct AnswerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// Decoded head of a backend server's answer.
struct BackendAnswerHead
{
    int status = 0;
    std::string attemptId;
    /// It has the seal header, by which the backend server confirms that the body is its answer.
    bool sealed = false;
    /// The backend server did not run the request and never will.
    bool notExecuted = false;
    /// The address belongs to a backend server other than the expected one.
    bool misdirected = false;
    bool eventStream = false;
    /// The body has a content encoding that the caller did not request.
    bool encoded = false;
    std::optional<AnswerLoad> load;
    /// The backend server takes no new work and will shut down.
    bool draining = false;
    /// Requests per second that the backend server accepts from all gateways together.
    std::optional<double> limitPerSecond;
    /// How much longer the backend server is cold; zero when it does not state that it is.
    milliseconds coldRemaining{0};
    /// Why the stated cold time could not be used as it is, and the remedy; empty normally.
    std::string coldProblem;
    /// The backend server refused the request, and this gateway sends nothing there for this long;
    /// zero when it asks for no backoff.
    milliseconds retryAfter{0};
    /// Header fields that are forwarded to the caller unchanged.
    HttpFields forwardedFields;

    bool success() const { return status >= 200 && status < 300; }
};

} // namespace wisteria
