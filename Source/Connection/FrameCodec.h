#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <google/protobuf/message_lite.h>

#include "Process/Error.h"

namespace wisteria {

/// Maximum size in bytes of a frame that a process accepts from a peer.
inline constexpr std::size_t maxFrameBytes = 4 * 1024 * 1024;

/// Appends a message to `out`, preceded by its length as a four-byte big-endian number.
void appendFrame(std::string &out, const google::protobuf::MessageLite &message);

/// Splits a byte stream into frames. Input may be split at any byte.
class FrameReader
{
public:
    /// Appends the next bytes of the stream.
    void feed(std::string_view bytes);

    /// Removes the next complete frame and returns its content, or nothing when it is incomplete.
    /// @return BadInput when a frame declares more than maxFrameBytes; the stream is then unusable.
    Result<std::optional<std::string>> next();

    /// Whether unread bytes, such as those of an incomplete frame, are buffered.
    bool hasUnreadBytes() const { return buffer_.size() > consumed_; }

private:
    std::string buffer_;
    std::size_t consumed_ = 0;
};

} // namespace wisteria
