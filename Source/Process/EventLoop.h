#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "Process/Time.h"

namespace wisteria {

/// Readiness events of a descriptor.
struct Interest
{
    bool read = false;
    bool write = false;

    bool operator==(const Interest &) const = default;
};

/// Single-threaded event loop for descriptors, timers and posted tasks, based on an ACE reactor.
///
/// Only post() and stop() are thread-safe. All other functions must be called on the thread that
/// calls run(), or on the thread that creates the loop before run() starts.
class EventLoop
{
public:
    using Task = std::function<void()>;
    /// Identifies a timer; ids are not reused. 0 is not a valid id.
    using TimerId = std::uint64_t;

    /// @param maxPostedTasks Number of queued tasks from which post() refuses further ones.
    explicit EventLoop(std::size_t maxPostedTasks = 65536);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop() is called.
    void run();

    /// Makes run() return after the current iteration. Thread-safe.
    void stop();

    /// Queues a task to run on the loop's thread. Thread-safe.
    /// @return False if the queue is full; the task is then dropped.
    bool post(Task task);

    /// Runs a task at the end of the current iteration, after the callbacks of ready descriptors.
    void defer(Task task);

    /// Runs a task once after a delay.
    TimerId runAfter(milliseconds delay, Task task);

    /// Cancels a timer. Does nothing if it has run already.
    void cancel(TimerId timer);

    /// Calls `ready` whenever the descriptor is ready for one of these events. Replaces an earlier
    /// watch on the same descriptor.
    void watch(int descriptor, Interest interest, std::function<void(Interest)> ready);

    /// Stops watching the descriptor. Must be called before the descriptor is closed.
    void unwatch(int descriptor);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
