#include "Process/EventLoop.h"

#include <ctime>
#include <functional>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <sys/resource.h>
#include <unistd.h>

using namespace wisteria;

TEST_CASE("Timers run in the order of their delays and a cancelled timer does not run")
{
    EventLoop loop;
    std::vector<int> ran;
    loop.runAfter(milliseconds(20), [&] {
        ran.push_back(2);
        loop.stop();
    });
    loop.runAfter(milliseconds(1), [&] { ran.push_back(1); });
    const auto cancelled = loop.runAfter(milliseconds(2), [&] { ran.push_back(3); });
    loop.cancel(cancelled);
    loop.run();
    CHECK(ran == std::vector<int>{1, 2});
}

TEST_CASE("A task posted by another thread wakes the loop, and a full queue refuses tasks")
{
    EventLoop loop(1);
    bool ran = false;
    CHECK(loop.post([&] { ran = true; }));
    CHECK_FALSE(loop.post([] {}));
    std::thread stopper([&] {
        while (!loop.post([&] { loop.stop(); }))
            std::this_thread::yield();
    });
    loop.run();
    stopper.join();
    CHECK(ran);
}

TEST_CASE("A callback may stop watching its own descriptor")
{
    EventLoop loop;
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    int calls = 0;
    loop.watch(ends[0], Interest{.read = true}, [&](Interest ready) {
        CHECK(ready.read);
        ++calls;
        loop.unwatch(ends[0]);
        loop.defer([&] { loop.stop(); });
    });
    REQUIRE(write(ends[1], "x", 1) == 1);
    loop.run();
    CHECK(calls == 1);
    close(ends[0]);
    close(ends[1]);
}

// Failure: an idle process uses noticeable processor time. The reactor truncates its wait to whole
// milliseconds, so it polls in a busy loop during the last millisecond before a timer.
TEST_CASE("Waiting for timers uses almost no processor time")
{
    EventLoop loop;
    int left = 60;
    std::function<void()> again = [&] {
        if (--left == 0)
            return loop.stop();
        loop.runAfter(milliseconds(7), again);
    };
    again();
    timespec before = {};
    timespec after = {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &before);
    loop.run();
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &after);
    const auto used = seconds(after.tv_sec - before.tv_sec)
        + std::chrono::nanoseconds(after.tv_nsec - before.tv_nsec);
    CHECK(std::chrono::duration_cast<microseconds>(used).count() < 15000);
}

// Failure: every sidecar crashes at its start. Opening the reactor for more descriptors than the
// process's limit allows fails, and its first use dereferences a null pointer.
TEST_CASE("A loop runs with a low limit on open descriptors")
{
    rlimit before{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    const rlimit few{256, before.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &few) == 0);
    {
        EventLoop loop;
        bool ran = false;
        loop.runAfter(milliseconds(1), [&] {
            ran = true;
            loop.stop();
        });
        loop.run();
        REQUIRE(ran);
    }
    REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
}
