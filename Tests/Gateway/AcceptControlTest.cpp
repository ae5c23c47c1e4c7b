#include <catch2/catch.hpp>

#include "Request/AcceptControl.h"

using namespace wisteria;

namespace {

/// Plays a gateway that can answer so many new connections a second, in virtual time: a
/// measurement takes as long as the work that is queued before it.
struct PlayedGateway
{
    AcceptControl control{};
    double answeredPerSecond = 0;
    TimePoint now = TimePoint() + seconds(100);
    /// When the measurement under way ends.
    TimePoint measuredAt = TimePoint::max();
    double queued = 0;
    int answeredInTime = 0;
    int answeredLate = 0;
    int turnedAway = 0;

    milliseconds delay() const
    {
        return milliseconds(static_cast<int>(1000 * queued / answeredPerSecond));
    }

    /// Takes connections at a rate, in steps of a millisecond.
    void play(double arrivingPerSecond, seconds time)
    {
        constexpr milliseconds step{1};
        constexpr milliseconds checkInterval{25};
        constexpr milliseconds patience{1000};
        double arriving = 0;
        for (milliseconds passed{0}; passed < time; passed += step) {
            now += step;
            queued = std::max(0.0, queued - answeredPerSecond / 1000);
            if (now >= measuredAt) {
                endMeasurement(control, now);
                measuredAt = TimePoint::max();
            }
            if (passed % checkInterval == milliseconds(0) && shouldMeasure(control)) {
                beginMeasurement(control, now);
                measuredAt = now + delay();
            }
            for (arriving += arrivingPerSecond / 1000; arriving >= 1; --arriving) {
                if (!admitConnection(control, now)) {
                    ++turnedAway;
                    continue;
                }
                ++queued;
                // A request goes through the queue several times before it is answered.
                constexpr int rounds = 4;
                ++(rounds * delay() > patience ? answeredLate : answeredInTime);
            }
        }
    }
};

} // namespace

// Guards against a flood of which more is taken after each overload than can be answered.
TEST_CASE("Connections of a long flood are taken at the rate that can be answered")
{
    PlayedGateway gateway{.answeredPerSecond = 60};
    gateway.play(20, seconds(2));
    REQUIRE(gateway.turnedAway == 0);
    const double arriving = GENERATE(350.0, 2000.0);
    gateway.play(arriving, seconds(3));
    gateway.answeredInTime = 0;
    gateway.answeredLate = 0;
    gateway.play(arriving, seconds(20));
    CAPTURE(arriving);
    CHECK(3 * gateway.answeredLate <= gateway.answeredInTime);
    CHECK(gateway.answeredInTime >= 20 * 60 / 3);
}

// Guards against a limit that outlives the flood.
TEST_CASE("All connections are taken again after a flood")
{
    PlayedGateway gateway{.answeredPerSecond = 60};
    gateway.play(350, seconds(10));
    REQUIRE(gateway.turnedAway > 0);
    gateway.play(20, seconds(10));
    gateway.turnedAway = 0;
    gateway.play(20, seconds(10));
    CHECK(gateway.turnedAway == 0);
    CHECK_FALSE(gateway.control.limit.has_value());
}

// Guards against connections that are lost since a VM was frozen for a moment.
TEST_CASE("A gateway that was late without a flood goes on taking connections")
{
    AcceptControl control;
    TimePoint now = TimePoint() + seconds(100);
    for (int i = 0; i < 10; ++i) {
        now += milliseconds(100);
        REQUIRE(admitConnection(control, now));
    }
    beginMeasurement(control, now);
    now += 10 * overloadDelay;
    CHECK(admitConnection(control, now));
    CHECK_FALSE(endMeasurement(control, now));
    CHECK(shouldListen(control, true, now));
}
