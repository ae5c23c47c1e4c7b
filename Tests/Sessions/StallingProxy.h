#pragma once

#include <memory>
#include <string>

namespace wisteria::sessions {

/// TCP proxy that simulates network faults: forwards connections to a target, and stalls or cuts
/// them when a test asks for it.
class StallingProxy
{
public:
    /// @param target "IP:PORT".
    explicit StallingProxy(const std::string &target);
    ~StallingProxy();

    /// Listening address, "127.0.0.1:PORT".
    const std::string &address() const;

    /// Closes all connections. New connections are forwarded.
    void cut();

    /// Stops or resumes forwarding of data on all connections, like a network that drops every
    /// packet. New connections are still accepted.
    void stall(bool stalled);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria::sessions
