#pragma once

#include <functional>
#include <optional>
#include <string>

#include <google/protobuf/message_lite.h>

#include "Connection/FrameCodec.h"
#include "Connection/PeerClient.h"

namespace wisteria {

/// Sends a message to a peer. `answered` receives the reply, or nothing when no complete and valid
/// reply was received.
template <typename Reply>
void callPeer(PeerClient &client, const std::string &path,
              const google::protobuf::MessageLite &message,
              std::function<void(const std::optional<Reply> &)> answered)
{
    class Handler : public PeerStreamHandler
    {
    public:
        explicit Handler(std::function<void(const std::optional<Reply> &)> callback)
            : answered_(std::move(callback))
        { }

        void frameReceived(const std::string &content) override
        {
            Reply reply;
            if (reply.ParseFromString(content))
                reply_ = std::move(reply);
        }

        void streamClosed(const StreamEnd &end) override
        {
            answered_(end.complete ? reply_ : std::nullopt);
        }

    private:
        std::function<void(const std::optional<Reply> &)> answered_;
        std::optional<Reply> reply_;
    };

    std::string frames;
    appendFrame(frames, message);
    auto handler = std::make_shared<Handler>(answered);
    if (client.open(path, std::move(frames), std::move(handler)).has_error())
        answered(std::nullopt);
}

} // namespace wisteria
