// Stand-in for the platform's rate-limited weight store: GET /weights/NAME?bytes=N is answered once
// the shared rate allows it. POST /faults {"refuse":true} makes it refuse.

#include <algorithm>
#include <atomic>
#include <mutex>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "StandIns/HttpStandIn.h"

namespace wisteria::standin {

namespace {

using Clock = std::chrono::steady_clock;

class WeightStore
{
public:
    explicit WeightStore(double bytesPerSecond) : bytesPerSecond_(bytesPerSecond) { }

    Reply handle(const Exchange &exchange)
    {
        if (exchange.path() == "/faults") {
            const auto wanted = nlohmann::json::parse(exchange.body(), nullptr, false);
            refuse_ = wanted.is_object() && wanted.value("refuse", false);
            return Reply{.body = "{}"};
        }
        if (refuse_)
            return Reply{.status = 503, .body = R"({"message":"the store refuses"})"};
        pauseFor(reserve(static_cast<double>(exchange.queryNumber("bytes", 0))));
        return Reply{.body = "{}"};
    }

private:
    /// Time until the last of these bytes has passed, after all that were asked for before.
    std::chrono::milliseconds reserve(double bytes)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto now = Clock::now();
        const std::chrono::duration<double> needed(bytes / bytesPerSecond_);
        free_ = std::max(free_, now) + std::chrono::duration_cast<Clock::duration>(needed);
        return std::chrono::duration_cast<std::chrono::milliseconds>(free_ - now);
    }

    const double bytesPerSecond_;
    std::atomic<bool> refuse_ = false;
    std::mutex mutex_;
    Clock::time_point free_;
};

} // namespace

} // namespace wisteria::standin

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Stand-in for the platform's weight store");
    TCLAP::ValueArg<unsigned short> port("", "port", "0 for a free port", false, 0, "port");
    TCLAP::ValueArg<double> rate("", "rate", "Bytes a second in all", false, 1e9, "bytes");
    command.add(port);
    command.add(rate);
    command.parse(argc, argv);
    wisteria::standin::WeightStore store(rate.getValue());
    return wisteria::standin::serve(port.getValue(),
                                    [&](const auto &exchange) { return store.handle(exchange); });
}
