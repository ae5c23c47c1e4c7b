// Feeds arbitrary bytes of a peer, in pieces of any size, to the frame decoder. It must not crash,
// and a decoded message must stay the same when it is encoded and decoded again.

#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "Connection/FrameCodec.h"
#include "Peer.pb.h"

using namespace wisteria;

namespace {

/// Encodes a message as a frame, decodes it and compares both.
template <typename Message> void checkRoundTrip(const std::string &content)
{
    Message message;
    if (!message.ParseFromString(content))
        return;
    std::string wire;
    appendFrame(wire, message);
    FrameReader reader;
    reader.feed(wire);
    const auto received = reader.next();
    if (received.has_error() || !received.value() || reader.hasUnreadBytes())
        std::abort();
    Message decodedAgain;
    if (!decodedAgain.ParseFromString(*received.value()))
        std::abort();
    if (decodedAgain.SerializeAsString() != message.SerializeAsString())
        std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::size_t piece = data[0] + std::size_t{1};
    std::string_view input(reinterpret_cast<const char *>(data) + 1, size - 1);
    FrameReader reader;
    while (!input.empty()) {
        reader.feed(input.substr(0, piece));
        input.remove_prefix(std::min(piece, input.size()));
        for (auto frame = reader.next(); frame.has_value() && frame.value();
             frame = reader.next()) {
            if (frame.value()->size() > maxFrameBytes)
                std::abort();
            checkRoundTrip<v1::RunFrame>(*frame.value());
            checkRoundTrip<v1::AgentFrame>(*frame.value());
            checkRoundTrip<v1::Heartbeat>(*frame.value());
        }
    }
    return 0;
}
