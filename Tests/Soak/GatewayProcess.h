#pragma once

#include <atomic>
#include <optional>
#include <string>

#include <sys/types.h>

#include "Process/Endpoint.h"
#include "Process/Time.h"

namespace wisteria::soak {

/// Grace period that gateways are given.
inline constexpr seconds gracePeriod{6};

/// How a gateway that got SIGTERM ended.
struct StopResult
{
    bool clean = false; ///< With status 0.
    bool inTime = false; ///< Before the end of its grace period.
};

/// A gateway that runs as a separate process and reaches the configuration store through a proxy.
class GatewayProcess
{
public:
    /// @param program Path of the gateway's program.
    /// @param folder Folder for its settings and its log.
    GatewayProcess(std::string program, const std::string &folder, int number,
                   const Endpoint &store);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    const Endpoint &callers() const { return callers_; }
    /// Where it receives messages of sidecars and other gateways.
    const Endpoint &messages() const { return messages_; }
    /// File with its log lines.
    const std::string &log() const { return log_; }
    bool ready() const;
    bool running() const { return pid_ > 0; }
    /// Whether it got SIGTERM and has not been seen to end.
    bool stopping() const { return running() && stopDeadline_; }
    /// Whether it has run for long enough to handle signals. Before its program begins, the kernel
    /// ends a process for SIGHUP and SIGTERM.
    bool handlesSignals(TimePoint now) const;
    /// Whether it handles signals and is not stopping.
    bool mayBeStopped(TimePoint now) const { return handlesSignals(now) && !stopDeadline_; }
    void start();
    void signal(int number) const;
    /// Stops it with SIGSTOP until resume(). Its grace period is extended by that time.
    void suspend();
    void resume();
    /// Sends SIGKILL and waits until the process has ended.
    void kill();
    /// Begins a planned stop with SIGTERM.
    void terminate();
    /// Looks whether a planned stop has ended.
    /// @return How; nothing if it goes on. A process that has not ended a second after its grace
    /// period is killed.
    std::optional<StopResult> checkStopped(TimePoint now);
    /// Sends SIGTERM and waits for the process to end.
    /// @return Whether it exited in time with status 0.
    bool stop();
    /// Whether it ended without a call of kill(), terminate() or stop().
    bool exitedUnexpectedly();
    /// Number of begins and ends of kill(). Thread-safe.
    unsigned kills() const { return kills_; }
    /// Whether kill() has been called since that number was taken, or went on then. Thread-safe.
    bool killedSince(unsigned kills) const { return kills != kills_ || kills % 2 == 1; }
    /// Number of calls of suspend() and resume(). Thread-safe.
    unsigned suspensions() const { return suspensions_; }

private:
    std::string program_;
    std::string settings_;
    std::string log_;
    Endpoint callers_;
    Endpoint readiness_;
    Endpoint messages_;
    pid_t pid_ = -1;
    TimePoint startedAt_;
    /// When a stop must have ended.
    std::optional<TimePoint> stopDeadline_;
    std::optional<TimePoint> suspendedAt_;
    bool endedByItself_ = false;
    std::atomic<unsigned> kills_ = 0;
    std::atomic<unsigned> suspensions_ = 0;
};

} // namespace wisteria::soak
