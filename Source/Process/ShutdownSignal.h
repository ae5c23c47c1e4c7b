#pragma once

#include <functional>

#include "Process/EventLoop.h"

namespace wisteria {

/// Calls callbacks on an event loop for SIGTERM, SIGINT and SIGHUP, and ignores SIGPIPE. Must be
/// created before any other thread starts, so that all threads inherit the blocked signals and only
/// the loop receives them.
class ShutdownSignal
{
public:
    /// @param requested Called on the loop's thread for each SIGTERM and SIGINT.
    /// @param reload Called on the loop's thread for each SIGHUP. If null, SIGHUP keeps its default
    /// action and ends the process.
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
