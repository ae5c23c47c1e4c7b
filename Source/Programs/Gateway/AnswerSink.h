#pragma once

#include <cstddef>
#include <string_view>

#include "Request/GatewayRequest.h"

namespace wisteria {

/// Receives the answer of an exchange.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    /// Sends a complete answer with a Content-Length.
    virtual void answer(int status, const HttpFields &fields, std::string_view body) = 0;
    /// Sends a stream: its head, then its bytes, then its end.
    virtual void beginStream(int status, const HttpFields &fields) = 0;
    virtual void sendStream(std::string_view bytes) = 0;
    virtual void endStream() = 0;
    /// Closes the connection so that the answer is visibly cut off.
    virtual void abort() = 0;
    /// Bytes that are queued because the caller has not received them yet.
    virtual std::size_t queuedBytes() const = 0;
};

} // namespace wisteria
