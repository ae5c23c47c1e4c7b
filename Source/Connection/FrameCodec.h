#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <google/protobuf/message_lite.h>

#include "Process/Error.h"

namespace wisteria {

/// Largest frame that a process accepts from a peer, in bytes.
inline constexpr std::size_t maxFrameBytes = 4 * 1024 * 1024;

/// Appends a message to `out`, preceded by its length as a four-byte big-endian number.
void appendFrame(std::string &out, const google::protobuf::MessageLite &message);

/// Splits a byte stream into frames. Input may come in pieces of any size.
class FrameReader
{
public:
    /// Takes the next bytes of the stream.
    void feed(std::string_view bytes);

    /// The next whole frame's content, or nothing until more bytes come.
    /// @return BadInput when a frame claims more than maxFrameBytes; the stream is then unusable.
    Result<std::optional<std::string>> next();

    /// Whether bytes of an unfinished frame are held.
    bool hasPartialFrame() const { return buffer_.size() > consumed_; }

private:
    std::string buffer_;
    std::size_t consumed_ = 0;
};

} // namespace wisteria
