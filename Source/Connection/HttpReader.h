#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Connection/AnswerFault.h"
#include "Connection/HttpMessage.h"
#include "Process/Error.h"

namespace wisteria {

/// Size limits of a request.
struct HttpLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
};

/// Returns the limits of the request that begins now.
using HttpLimitsSource = std::function<HttpLimits()>;

/// Why a request can't be read. Each value other than None maps to an HTTP status.
enum class RequestFault { None, Malformed, HeaderTooLarge, BodyTooLarge };

/// Parses the requests of one connection in order.
class RequestReader
{
public:
    /// @param limits Called when the first byte of each request is read.
    explicit RequestReader(HttpLimitsSource limits);
    ~RequestReader();
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /// Appends bytes and parses up to the end of the current request; later bytes stay buffered.
    void feed(std::string_view bytes);

    /// Whether a complete request has been read.
    bool complete() const;
    /// Moves the complete request out and starts to parse the next one. Requires complete().
    HttpRequest takeRequest();

    RequestFault fault() const;
    /// Whether the head has been read, the body is incomplete and the caller waits for
    /// status 100 (Continue). Returns true at most once a request.
    bool expectsContinue();
    /// Whether at least one byte of the current request has been received.
    bool requestStarted() const;
    /// Number of buffered bytes: unparsed input and the body read so far.
    std::size_t buffered() const;
    /// Bytes of memory that the buffers take: a growing one has room for up to as much again.
    std::size_t heldBytes() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

/// Whether a line of a head or of trailers, with its line end, is a field.
bool isFieldLine(std::string_view line);

/// Callbacks of a response reader. Each may destroy the reader.
struct ResponseEvents
{
    std::function<void(HttpResponseHead)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> complete;
    /// The answer is none. Called once, as the last callback.
    std::function<void(AnswerFault)> malformed;
};

/// Parses one response, and skips the interim ones before it. All HTTP/1 answers that a process
/// receives are read by it, so that the same rules hold for them.
class ResponseReader
{
public:
    /// @param isHeadRequest Whether the request was a HEAD. Its response has no body, also when it
    /// has a Content-Length.
    ResponseReader(ResponseEvents events, bool isHeadRequest);
    ~ResponseReader();
    ResponseReader(const ResponseReader &) = delete;
    ResponseReader &operator=(const ResponseReader &) = delete;

    void feed(std::string_view bytes);
    /// The peer closed the connection (FIN). Completes a response that has neither Content-Length
    /// nor chunks, and reports any other unfinished response as malformed.
    void feedEnd();

    /// Whether a part of the head has been received and the rest is awaited.
    bool insideHead() const;
    bool complete() const;
    /// Bytes received after the end of the response.
    const std::string &trailingBytes() const;

private:
    class Private;
    std::shared_ptr<Private> private_;
};

} // namespace wisteria
