#include "Process/EventLoop.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Reactor.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Timer_Heap_T.h>
#include <sys/resource.h>

namespace wisteria {

namespace {

/// ACE's default timer heap uses the wall clock, whose jumps would fire or delay all timers.
using MonotonicTimers =
    ACE_Timer_Heap_T<ACE_Event_Handler *, ACE_Event_Handler_Handle_Timeout_Upcall,
                     ACE_SYNCH_RECURSIVE_MUTEX, ACE_Monotonic_Time_Policy>;

/// The reactor truncates its wait to whole milliseconds. With less than 1 ms left until a timer it
/// would poll in a busy loop, which costs a few percent of a core in an idle process. Rounding the
/// wait up avoids that; timers run up to 1 ms late.
class MonotonicTimerHeap : public MonotonicTimers
{
public:
    using MonotonicTimers::calculate_timeout;

    ACE_Time_Value *calculate_timeout(ACE_Time_Value *maxWait, ACE_Time_Value *buffer) override
    {
        constexpr suseconds_t microsecondsPerMillisecond = 1000;
        ACE_Time_Value *wait = MonotonicTimers::calculate_timeout(maxWait, buffer);
        if (wait == buffer && wait->usec() % microsecondsPerMillisecond != 0)
            *wait += ACE_Time_Value(
                0, microsecondsPerMillisecond - wait->usec() % microsecondsPerMillisecond);
        return wait;
    }
};

/// Maximum number of descriptors of a loop if the process's limit allows it.
constexpr rlim_t maxDescriptors = 4096;

/// Returns how many descriptors the reactor is opened for. Opening it for more than the process's
/// limit fails, and using a reactor that is not open crashes the process.
std::size_t reactorSize()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return maxDescriptors;
    return std::min(limit.rlim_cur, maxDescriptors);
}

ACE_Reactor_Mask maskFor(Interest interest)
{
    ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
    if (interest.read)
        ACE_SET_BITS(mask, ACE_Event_Handler::READ_MASK);
    if (interest.write)
        ACE_SET_BITS(mask, ACE_Event_Handler::WRITE_MASK);
    return mask;
}

/// Forwards a descriptor's readiness to a function.
class Watcher : public ACE_Event_Handler
{
public:
    Watcher(int descriptor, std::function<void(Interest)> ready)
        : descriptor_(descriptor), ready_(std::move(ready))
    { }

    ACE_HANDLE get_handle() const override { return descriptor_; }

    int handle_input(ACE_HANDLE) override
    {
        ready_(Interest{.read = true});
        return 0;
    }

    int handle_output(ACE_HANDLE) override
    {
        ready_(Interest{.write = true});
        return 0;
    }

    Interest interest;

private:
    int descriptor_;
    std::function<void(Interest)> ready_;
};

} // namespace

struct PendingTimer
{
    /// Timer id of the ACE reactor.
    long aceTimerId = -1;
    EventLoop::Task task;
};

class EventLoop::Private : public ACE_Event_Handler
{
public:
    explicit Private(std::size_t maxPostedTasks)
        : timers_(), poll_(reactorSize(), true, nullptr, &timers_), reactor_(&poll_),
          maxPostedTasks_(maxPostedTasks)
    { }

    /// The reactor outlives the watchers and would call those that are still registered, as of
    /// connections that were open when the loop stopped, after they are deleted.
    ~Private() override
    {
        for (const auto &[descriptor, watcher] : watchers_) {
            reactor_.remove_handler(
                descriptor, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        }
    }

    int handle_timeout(const ACE_Time_Value &, const void *argument) override
    {
        const auto found = pending_.find(reinterpret_cast<TimerId>(argument));
        if (found == pending_.end())
            return 0;
        const Task task = std::move(found->second.task);
        pending_.erase(found);
        task();
        return 0;
    }

    /// Called by the reactor after notify(): runs the posted tasks.
    int handle_exception(ACE_HANDLE) override
    {
        std::deque<Task> tasks;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            tasks.swap(posted_);
        }
        for (Task &task : tasks)
            task();
        return 0;
    }

    bool post(Task task)
    {
        bool wake = false;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (posted_.size() >= maxPostedTasks_)
                return false;
            wake = posted_.empty();
            posted_.push_back(std::move(task));
        }
        if (wake)
            reactor_.notify(this);
        return true;
    }

    TimerId runAfter(milliseconds delay, Task task)
    {
        const TimerId id = ++lastTimer_;
        const auto *argument = reinterpret_cast<const void *>(id);
        const long aceTimerId = reactor_.schedule_timer(this, argument, ACE_Time_Value(delay));
        pending_[id] = {aceTimerId, std::move(task)};
        return id;
    }

    /// ACE reuses its timer ids, so a stale one could cancel an unrelated timer. A TimerId is never
    /// reused.
    void cancel(TimerId timer)
    {
        const auto found = pending_.find(timer);
        if (found == pending_.end())
            return;
        reactor_.cancel_timer(found->second.aceTimerId);
        pending_.erase(found);
    }

    void runDeferred()
    {
        // Tasks that a deferred task defers run in the same iteration.
        while (!deferred_.empty()) {
            std::vector<Task> tasks;
            tasks.swap(deferred_);
            for (Task &task : tasks)
                task();
        }
        retired_.clear();
    }

    void watch(int descriptor, Interest interest, std::function<void(Interest)> ready)
    {
        unwatch(descriptor);
        auto watcher = std::make_unique<Watcher>(descriptor, std::move(ready));
        watcher->interest = interest;
        reactor_.register_handler(descriptor, watcher.get(), maskFor(interest));
        watchers_[descriptor] = std::move(watcher);
    }

    void unwatch(int descriptor)
    {
        const auto found = watchers_.find(descriptor);
        if (found == watchers_.end())
            return;
        reactor_.remove_handler(descriptor,
                                ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        // The watcher's callback may be running, so it is deleted at the end of the iteration.
        retired_.push_back(std::move(found->second));
        watchers_.erase(found);
    }

    MonotonicTimerHeap timers_;
    ACE_Dev_Poll_Reactor poll_;
    ACE_Reactor reactor_;
    std::atomic<bool> stopping_ = false;
    std::size_t maxPostedTasks_;
    std::mutex mutex_;
    std::deque<Task> posted_;
    std::vector<Task> deferred_;
    TimerId lastTimer_ = 0;
    std::unordered_map<TimerId, PendingTimer> pending_;
    std::unordered_map<int, std::unique_ptr<Watcher>> watchers_;
    std::vector<std::unique_ptr<Watcher>> retired_;
};

EventLoop::EventLoop(std::size_t maxPostedTasks)
    : private_(std::make_unique<Private>(maxPostedTasks))
{ }

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    private_->reactor_.owner(ACE_OS::thr_self());
    private_->runDeferred();
    while (!private_->stopping_) {
        private_->reactor_.handle_events();
        private_->runDeferred();
    }
    private_->stopping_ = false;
}

void EventLoop::stop()
{
    private_->stopping_ = true;
    private_->reactor_.notify(private_.get());
}

bool EventLoop::post(Task task)
{
    return private_->post(std::move(task));
}

void EventLoop::defer(Task task)
{
    private_->deferred_.push_back(std::move(task));
}

EventLoop::TimerId EventLoop::runAfter(milliseconds delay, Task task)
{
    return private_->runAfter(delay, std::move(task));
}

void EventLoop::cancel(TimerId timer)
{
    private_->cancel(timer);
}

void EventLoop::watch(int descriptor, Interest interest, std::function<void(Interest)> ready)
{
    private_->watch(descriptor, interest, std::move(ready));
}

void EventLoop::unwatch(int descriptor)
{
    private_->unwatch(descriptor);
}

} // namespace wisteria
