#include "Programs/Gateway/LivenessChecks.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Programs/Gateway/GatewayMetrics.h"
#include "Request/ServerSilence.h"
#include "platform/RankCodec.h"

namespace wisteria {

namespace {

/// Time for an answer to a check. Sound servers answer within a few round trips.
constexpr milliseconds answerTimeout{300};
/// The longest part of the time between two timeout checks that counts as listened. This gateway
/// may have been busy or suspended for the rest, with the answer waiting in its socket.
constexpr milliseconds maxListened{50};

} // namespace

LivenessChecks::LivenessChecks(const Dependencies &gateway) : gateway_(gateway) { }

void LivenessChecks::begin(const std::string &backend, bool isEngine, TimePoint now)
{
    const auto known = gateway_.registry.backends.find(backend);
    if (known == gateway_.registry.backends.end() || checks_.contains(backend))
        return;
    Check &check = checks_[backend];
    check.address = known->second.entry.address;
    if (!isEngine) {
        check.connection = TcpConnection::connect(
            gateway_.loop, check.address,
            {.connected = [this, backend] { finish(backend, std::nullopt); },
             .received = [](std::string_view) {},
             .ended = [this, backend](TcpEnd) { finish(backend, "no connection"); },
             .drained = {}});
        return;
    }
    check.report = gateway_.pool.call(
        check.address, platform::reportRequest(), ConnectionUse::Fresh,
        {.accept = {},
         .head = [this, backend](const HttpResponseHead &) { finish(backend, std::nullopt); },
         .body = [](std::string_view) {},
         .complete = [] {},
         .failed = [this,
                    backend](const CallFailure &failure) { finish(backend, failure.reason); }},
        now);
}

void LivenessChecks::checkTimeouts(TimePoint now)
{
    const milliseconds listened = std::min(remaining(checkedAt_, now), maxListened);
    checkedAt_ = now;
    std::vector<std::string> expired;
    for (auto &[backend, check] : checks_) {
        check.listened += listened;
        if (check.listened >= answerTimeout)
            expired.push_back(backend);
    }
    for (const std::string &backend : expired)
        finish(backend, "no answer in time");
}

void LivenessChecks::finish(const std::string &backend, const std::optional<std::string> &problem)
{
    const auto found = checks_.find(backend);
    if (found == checks_.end())
        return;
    // A callback of the check may be running, so it is destroyed after that has returned.
    const auto check = std::make_shared<Check>(std::move(found->second));
    checks_.erase(found);
    gateway_.loop.defer([check] {});
    const bool answered = !problem;
    countLivenessCheck(gateway_.metrics, answered);
    const auto known = gateway_.registry.backends.find(backend);
    if (known == gateway_.registry.backends.end() || known->second.entry.address != check->address)
        return;
    BackendState &state = known->second;
    const TimePoint now = monotonicNow();
    LogFields fields = {{"backend", backend},
                        {"check", check->report ? "report" : "connection"},
                        {"answered", answered},
                        {"sign_of_life_s", secondsOf(remaining(lastSignOfLife(state), now))},
                        {"in_flight", state.ownInFlight}};
    if (answered) {
        noteSignOfLife(state, now);
        gateway_.log.info("backend.checked", fields);
        return;
    }
    noteSilent(state, now);
    noteFailure(state, true, now);
    fields["reason"] = *problem;
    gateway_.log.warn("backend.silent", fields);
}

} // namespace wisteria
