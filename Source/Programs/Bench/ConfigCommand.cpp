#include "Programs/Bench/ConfigCommand.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <thread>

#include <tclap/CmdLine.h>
#include <unistd.h>

#include "Connection/HttpLogClient.h"
#include "Process/ConfigFollower.h"
#include "Programs/Bench/ConfigBench.h"
#include "Programs/Bench/ProcessUsage.h"

namespace wisteria {

namespace {

using Json = nlohmann::json;

constexpr milliseconds appendTimeout(10000);
constexpr milliseconds pollWait(1000);

struct Settings
{
    std::string mode;
    std::string logUrl;
    std::string file;
    ConfigSize size;
    std::uint32_t changes = 0;
    milliseconds interval{0};
    seconds limit{0};
};

Settings parse(std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Measures how changes of the configuration spread and what that costs.");
    TCLAP::ValueArg<std::string> mode("", "mode", "publish, follow or report", true, "", "MODE",
                                      line);
    TCLAP::ValueArg<std::string> log("", "log", "URL of the log service", false, "", "URL", line);
    TCLAP::ValueArg<std::string> file("", "file", "what followers printed, a line each", false, "",
                                      "FILE", line);
    TCLAP::ValueArg<std::uint32_t> organisations("", "organisations", "organisations in force",
                                                 false, 100, "N", line);
    TCLAP::ValueArg<std::uint32_t> servers("", "backend-servers", "backend servers in force", false,
                                           20, "N", line);
    TCLAP::ValueArg<std::uint32_t> changes("", "changes", "changes after the first", false, 0, "N",
                                           line);
    TCLAP::ValueArg<std::uint32_t> interval("", "interval-ms", "time between changes", false, 25,
                                            "MS", line);
    TCLAP::ValueArg<std::uint32_t> limit("", "seconds", "longest run of a follower", false, 300,
                                         "S", line);
    line.parse(arguments);
    return {mode.getValue(),          log.getValue(),
            file.getValue(),          {organisations.getValue(), servers.getValue()},
            changes.getValue(),       milliseconds(interval.getValue()),
            seconds(limit.getValue())};
}

Result<Offset> append(HttpLogClient &log, const v1::ChangeRecord &change)
{
    v1::ConfigRecord record;
    *record.mutable_change() = change;
    return log.append(configStream, record.SerializeAsString(), appendTimeout);
}

Result<void> publish(const Settings &settings, std::ostream &out)
{
    HttpLogClient log(settings.logUrl);
    BOOST_OUTCOME_TRY(first, append(log, baseChange(settings.size)));
    Offset version = first;
    for (std::uint32_t i = 0; i < settings.changes; ++i) {
        std::this_thread::sleep_for(settings.interval);
        const bool last = i + 1 == settings.changes;
        BOOST_OUTCOME_TRY(offset, append(log, nextChange(i, version, last, monotonicNow())));
        version = offset;
    }
    out << Json{{"version", version}, {"changes", settings.changes}}.dump() << "\n";
    return boost::outcome_v2::success();
}

/// Follows the log as a daemon does, until the last change is in force or the time is up.
Result<void> follow(const Settings &settings, std::ostream &out)
{
    const TimePoint start = monotonicNow();
    HttpLogClient log(settings.logUrl);
    ConfigFollower follower(log);
    ProcessWatch usage(getpid());
    std::vector<microseconds> delays;
    Offset looked = 0;
    bool ended = false;
    std::optional<milliseconds> startUp;
    std::uint64_t bytesAtStart = 0;
    TimePoint caughtUp = start;
    while (!ended && monotonicNow() - start < settings.limit) {
        if (const auto polled = follower.poll(pollWait); !polled) {
            // The log may be overloaded; a daemon would try again too.
            std::cerr << polled.error().message << "\n";
            std::this_thread::sleep_for(milliseconds(200));
            continue;
        }
        if (!startUp && follower.caughtUp() && follower.state()->version != 0) {
            caughtUp = monotonicNow();
            startUp = std::chrono::duration_cast<milliseconds>(caughtUp - start);
            bytesAtStart = log.transferredBytes();
            BOOST_OUTCOME_TRYV(usage.sample());
        }
        ended = collectDelays(*follower.state(), looked, monotonicNow(), delays);
        looked = follower.state()->position;
        // A start is measured alone, without changes to follow.
        ended |= settings.changes == 0 && settings.interval == milliseconds(0) && startUp;
    }
    BOOST_OUTCOME_TRYV(usage.sample());
    const auto followed = std::chrono::duration_cast<milliseconds>(monotonicNow() - caughtUp);
    Json result = delaysJson(delays);
    result["start_up_ms"] = startUp.value_or(milliseconds(0)).count();
    result["objects"] = follower.state()->objects.size();
    result["followed_ms"] = followed.count();
    result["bytes"] = log.transferredBytes() - bytesAtStart;
    result["bytes_at_start"] = bytesAtStart;
    result["usage"] = usage.render(delays.size());
    result["ended"] = ended;
    out << result.dump() << "\n";
    return boost::outcome_v2::success();
}

Result<void> report(const Settings &settings, std::ostream &out)
{
    std::ifstream file(settings.file);
    std::vector<Json> lines;
    std::string line;
    while (std::getline(file, line)) {
        Json parsed = Json::parse(line, nullptr, false);
        if (!parsed.is_object()) {
            return failure(ErrorKind::BadInput,
                           settings.file + ": not what a follower prints; run one again");
        }
        lines.push_back(std::move(parsed));
    }
    if (lines.empty())
        return failure(ErrorKind::NotFound, settings.file + ": no follower's line; run one first");
    out << summaryOf(lines).dump(2) << "\n";
    return boost::outcome_v2::success();
}

} // namespace

Result<void> runConfigCommand(std::vector<std::string> arguments, std::ostream &out)
{
    const Settings settings = parse(arguments);
    if (settings.mode == "publish")
        return publish(settings, out);
    if (settings.mode == "follow")
        return follow(settings, out);
    if (settings.mode == "report")
        return report(settings, out);
    return failure(ErrorKind::BadInput,
                   "unknown mode '" + settings.mode + "'; use publish, follow or report");
}

} // namespace wisteria
