#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "Connection/TcpConnection.h"
#include "Process/Endpoint.h"
#include "Process/EventLoop.h"
#include "Process/Time.h"

namespace wisteria {

/// What a probe found.
enum class ProbeResult {
    Listening, ///< Something accepts connections at the address.
    Refused, ///< Nothing listens there: the process is gone, as after a crash.
    Unknown, ///< No answer in time, or no connection could be tried.
};

/// Finds out whether the process at an address still listens, by a connection that sends nothing. A
/// reset connection alone does not tell a crash from a failing server.
class ServerProbes
{
public:
    using Done = std::function<void(ProbeResult)>;

    explicit ServerProbes(EventLoop &loop);
    ~ServerProbes();
    ServerProbes(const ServerProbes &) = delete;
    ServerProbes &operator=(const ServerProbes &) = delete;

    /// Probes an address. Callers that ask for the same address meanwhile share the probe.
    /// @param done Always called, within `probeTimeout` and never before this function returns.
    void probe(const Endpoint &address, Done done, TimePoint now);

    /// Ends probes that have timed out.
    void checkTimeouts(TimePoint now);

private:
    struct Probe
    {
        std::unique_ptr<TcpConnection> connection;
        TimePoint begunAt;
        std::vector<Done> waiting;
    };

    void finish(const Endpoint &address, ProbeResult result);

    EventLoop &loop_;
    std::map<Endpoint, Probe> probes_;
};

/// Time after which a probe's result is unknown: several round trips between failure domains.
constexpr milliseconds probeTimeout{100};

} // namespace wisteria
