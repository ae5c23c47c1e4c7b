#include "Connection/FrameCodec.h"

#include <cstdint>

namespace wisteria {

namespace {

constexpr std::size_t lengthBytes = 4;
/// Consumed bytes are erased only above this size, so that reading a small frame moves no memory.
constexpr std::size_t compactAbove = 64 * 1024;

std::uint32_t readLength(const char *bytes)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        length = (length << 8) | static_cast<unsigned char>(bytes[i]);
    return length;
}

} // namespace

void appendFrame(std::string &out, const google::protobuf::MessageLite &message)
{
    const std::size_t length = message.ByteSizeLong();
    out.push_back(static_cast<char>(length >> 24));
    out.push_back(static_cast<char>(length >> 16));
    out.push_back(static_cast<char>(length >> 8));
    out.push_back(static_cast<char>(length));
    message.AppendToString(&out);
}

void FrameReader::feed(std::string_view bytes)
{
    if (consumed_ == buffer_.size() || consumed_ > compactAbove) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
    }
    buffer_.append(bytes);
}

Result<std::optional<std::string>> FrameReader::next()
{
    const std::size_t buffered = buffer_.size() - consumed_;
    if (buffered < lengthBytes)
        return std::optional<std::string>();
    const std::size_t length = readLength(buffer_.data() + consumed_);
    if (length > maxFrameBytes) {
        return failure(ErrorKind::BadInput,
                       "a frame claims " + std::to_string(length) + " bytes, more than the "
                           + std::to_string(maxFrameBytes)
                           + " allowed; check that both processes run matching releases");
    }
    if (buffered < lengthBytes + length)
        return std::optional<std::string>();
    std::string content = buffer_.substr(consumed_ + lengthBytes, length);
    consumed_ += lengthBytes + length;
    return std::optional<std::string>(std::move(content));
}

} // namespace wisteria
