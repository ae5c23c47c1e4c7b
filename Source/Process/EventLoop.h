#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "Process/Time.h"

namespace wisteria {

/// What a watcher waits for on a descriptor.
struct Interest
{
    bool read = false;
    bool write = false;

    bool operator==(const Interest &) const = default;
};

/// One thread's loop over sockets, timers and posted tasks, on an ACE reactor.
///
/// Everything but post() and stop() belongs to the thread that calls run(). Before run() starts,
/// the thread that builds the loop may set it up.
class EventLoop
{
public:
    using Task = std::function<void()>;
    /// Name of one timer; never used twice. 0 names none.
    using TimerId = std::uint64_t;

    /// @param postBound Tasks that may wait for the loop before post() refuses more.
    explicit EventLoop(std::size_t postBound = 65536);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop() is called.
    void run();

    /// Makes run() return after the present round. Any thread may call it.
    void stop();

    /// Hands a task to the loop. Any thread may call it.
    /// @return False when the bounded queue is full; the task is then dropped.
    bool post(Task task);

    /// Runs a task at the end of the present round, after every ready descriptor was served.
    void defer(Task task);

    /// Runs a task once after a delay.
    TimerId runAfter(milliseconds delay, Task task);

    /// Forgets a timer; one that ran already is ignored.
    void cancel(TimerId timer);

    /// Calls back whenever the descriptor is ready for what is of interest. A second call for the
    /// same descriptor replaces the first.
    void watch(int descriptor, Interest interest, std::function<void(Interest)> ready);

    /// Stops watching. Must be called before the descriptor is closed.
    void unwatch(int descriptor);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
