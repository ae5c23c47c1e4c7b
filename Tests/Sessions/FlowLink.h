#pragma once

#include <memory>
#include <string>

namespace wisteria::sessions {

/// A TCP connection's way that a test can break: forwards connections on a port of its own to a
/// target until it is told to hold the bytes back or to cut the connections.
class FlowLink
{
public:
    /// @param target "IP:PORT".
    explicit FlowLink(const std::string &target);
    ~FlowLink();

    /// "127.0.0.1:PORT", where it listens.
    const std::string &address() const;

    /// Closes every connection; new ones are forwarded again.
    void cut();

    /// Holds every byte back, as a network does that loses each packet.
    void hold(bool held);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria::sessions
