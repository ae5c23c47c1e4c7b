#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Connection/HttpMessage.h"
#include "Process/Error.h"

namespace wisteria {

/// Bounds of what a caller may send.
struct HttpLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
};

/// Why a request can't be read, as the status to answer with.
enum class RequestFault { None, Malformed, HeaderTooLarge, BodyTooLarge };

/// Reads the requests of one connection, one after the other.
class RequestReader
{
public:
    explicit RequestReader(const HttpLimits &limits);
    ~RequestReader();
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /// Takes bytes in. Reads no further than the end of one request.
    void feed(std::string_view bytes);

    /// Whether a whole request is there; take() then hands it out and goes on to the next.
    bool complete() const;
    HttpRequest take();

    RequestFault fault() const;
    /// Whether the head is there and the body is not, and the caller waits to be told to go on.
    bool expectsContinue();
    /// Whether any byte of an unfinished request is there.
    bool begun() const;
    /// Bytes held.
    std::size_t buffered() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

/// What a response reader tells. Any of them may destroy the reader's owner.
struct ResponseEvents
{
    std::function<void(HttpResponseHead)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> complete;
    std::function<void(std::string)> malformed;
};

/// Reads one response.
class ResponseReader
{
public:
    /// @param noBody The request was a HEAD, so that no body follows whatever the head says.
    ResponseReader(ResponseEvents events, bool noBody);
    ~ResponseReader();
    ResponseReader(const ResponseReader &) = delete;
    ResponseReader &operator=(const ResponseReader &) = delete;

    void feed(std::string_view bytes);
    /// The connection was closed in order; completes a response that has no other end.
    void feedEnd();

    bool complete() const;
    /// Bytes that came after the response; they belong to nobody that asked.
    const std::string &surplus() const;

private:
    class Private;
    std::shared_ptr<Private> private_;
};

} // namespace wisteria
