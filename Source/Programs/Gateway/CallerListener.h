#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "Connection/TcpConnection.h"
#include "Process/EventLog.h"
#include "Process/EventLoop.h"
#include "Process/Metrics.h"
#include "Request/AcceptControl.h"

namespace wisteria {

/// Takes new connections of callers, no more than the gateway's event loop can serve. Others are
/// turned away unread: closed, or refused by the kernel, as the listening socket is closed for a
/// moment. Measures the loop by a task that queues behind the events that are ready. The decisions
/// are those of AcceptControl.
class CallerListener
{
public:
    struct Events
    {
        /// Called with the descriptor of a new connection.
        std::function<void(int)> accepted;
        /// Returns the number of open connections.
        std::function<std::size_t()> openConnections;
    };

    /// @param maxConnections Number of open connections from which new ones are turned away.
    CallerListener(EventLoop &loop, EventLog &log, Metrics &metrics, std::size_t maxConnections,
                   Events events);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /// @return BadSettings, naming the address, when binding or listening fails.
    Result<void> listen(const Endpoint &address);
    /// Stops listening for good: later connections are refused.
    void close();
    /// Begins a measurement if one is due, and listens again if that is possible.
    void check(TimePoint now);

private:
    void handleConnection(int descriptor, TimePoint now);
    bool takesConnection(TimePoint now);
    void finishMeasurement(TimePoint now);
    void updateListening(TimePoint now);

    EventLoop &loop_;
    EventLog &log_;
    Metrics &metrics_;
    std::size_t maxConnections_;
    Events events_;
    TcpListener listener_;
    Endpoint address_;
    /// Set between listen() and close().
    bool open_ = false;
    bool listening_ = false;
    AcceptControl control_;
    /// When the log last said that there are too many connections, and that listening failed.
    TimePoint fullLoggedAt_{};
    TimePoint failureLoggedAt_{};
    /// Cleared by the destructor, for tasks that may run later.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace wisteria
