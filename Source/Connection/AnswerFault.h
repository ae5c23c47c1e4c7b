#pragma once

#include <cstddef>
#include <optional>

#include "Connection/HttpMessage.h"

namespace wisteria {

/// Rule that an answer breaks, so that it is no answer. The request may have run. The connection
/// can't be used again, as it is unknown where the next answer begins on it.
enum class AnswerFault {
    StatusLine, ///< The first line is no status line of HTTP/1.
    Status, ///< The status has no meaning in HTTP (RFC 9110, section 15).
    Upgrade, ///< The status switches to another protocol, which no request asks for.
    Field, ///< A line of the head or of the trailers is no field (RFC 9110, section 5).
    Length, ///< Content-Length is no number, or there is more than one length.
    TransferCoding, ///< The body is in a transfer coding that can't be decoded.
    Chunk, ///< The body is not in chunks (RFC 9112, section 7.1).
    EndedEarly, ///< The connection ended within the answer.
    TooLong, ///< A part of the answer exceeded its bound.
    TooSlow, ///< The head took too long to arrive.
};

/// Returns which rule was broken, for log lines and errors.
const char *describe(AnswerFault fault);

/// Whether the answer may have no end.
bool isUnending(AnswerFault fault);

/// Whether the status is of an interim answer, which a final one follows.
bool isInterimStatus(int status);

/// Returns why an answer with such a status can't be an interim one; nothing if it can.
/// @param count Number of interim answers to the request so far, with this one.
std::optional<AnswerFault> faultOfInterim(int status, std::size_t count);

/// Returns why no final answer can have the status; nothing if one can.
std::optional<AnswerFault> faultOfFinalStatus(int status);

/// Returns why a head can't be that of a final answer; nothing if it can.
/// @param version 10 or 11.
std::optional<AnswerFault> faultOfFinalHead(int status, int version, const HttpFields &fields);

} // namespace wisteria
