#pragma once

#include <functional>

#include "Process/EventLoop.h"

namespace wisteria {

/// Turns SIGTERM and SIGINT into a call on a loop, and SIGHUP into another. Must be made before any
/// other thread starts, so that every thread inherits the blocked signals and only the loop
/// receives them.
class ShutdownSignal
{
public:
    /// @param requested Called on the loop's thread for each SIGTERM and SIGINT.
    /// @param reload Called for each SIGHUP; without it the signal ends the process, as usual.
    ShutdownSignal(EventLoop &loop, std::function<void()> requested,
                   std::function<void()> reload = nullptr);
    ~ShutdownSignal();
    ShutdownSignal(const ShutdownSignal &) = delete;
    ShutdownSignal &operator=(const ShutdownSignal &) = delete;

private:
    EventLoop &loop_;
    int descriptor_ = -1;
};

} // namespace wisteria
