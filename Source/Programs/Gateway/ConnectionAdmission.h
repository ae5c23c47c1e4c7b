#pragma once

#include <cstddef>
#include <memory>

#include "Process/EventLog.h"
#include "Process/EventLoop.h"
#include "Process/Metrics.h"
#include "Request/AcceptControl.h"

namespace wisteria {

/// Turns new connections away, unread, while the gateway's event loop is overloaded. Measures the
/// loop by a task that queues behind the events that are ready. The decisions are those of
/// AcceptControl.
class ConnectionAdmission
{
public:
    ConnectionAdmission(EventLoop &loop, EventLog &log, Metrics &metrics);
    ~ConnectionAdmission();
    ConnectionAdmission(const ConnectionAdmission &) = delete;
    ConnectionAdmission &operator=(const ConnectionAdmission &) = delete;

    /// Whether a new connection is to be taken; otherwise it is to be closed unread.
    bool admit(TimePoint now);
    /// Begins a measurement if one is due.
    void check(TimePoint now);

private:
    void finishMeasurement(TimePoint now);

    EventLoop &loop_;
    EventLog &log_;
    Metrics &metrics_;
    AcceptControl control_;
    /// Cleared by the destructor, for tasks that may run later.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace wisteria
