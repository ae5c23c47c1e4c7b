// Runs one case of the review: Main CASE FOLDER RECORD GATEWAY SIDECAR. The variable TROUBLE=0
// leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held and 2 if it could
// not run.

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <map>

#include "Cases.h"

namespace review {

Gateway::Gateway(const CaseOptions &options, const std::string &name, const std::string &ip,
                 const std::string &store)
    : options_(options), place_{name, ip, freePort(ip), freePort(ip), 0, ""}, store_(store)
{
    // The kernel gives out ports from 32768, so that the range below it is free on this address.
    place_.internal = 7400;
    start();
}

void Gateway::start()
{
    process_.reset();
    const std::string settings = options_.folder + "/" + place_.name + ".conf";
    std::ofstream(settings) << settingsText(place_, store_);
    process_ = std::make_unique<Process>(
        std::vector<std::string>{options_.gateway, "--metrics-port", "7350"}, settings,
        options_.folder + "/" + place_.name + ".log");
}

bool Gateway::ready() const
{
    return waitUntil(milliseconds(8000), [this] { return readiness(place_) == 200; });
}

std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        const Fields &fields, const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: locker.example\r\n"
        + "Authorization: Token key-one\r\nWisteriawind-Attempt-Id: " + id + "\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    if (method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

Json routeOf(const std::string &prefix, const std::string &kind, const std::string &service,
             int timeout, int attempts)
{
    return {{"name", prefix},           {"hostname", "locker.example"},
            {"path_prefix", prefix},    {"kind", kind},
            {"timeout_ms", timeout},    {"target_latency_ms", 100},
            {"max_attempts", attempts}, {"priority", 2},
            {"service", service},       {"public", false}};
}

Json entryOf(const std::string &service, const std::string &address, const std::string &state,
             int sequence, std::int64_t born)
{
    return {{"service", service}, {"address", address}, {"zone", "hall-a"},     {"version", 1},
            {"slot_count", 6},    {"state", state},     {"sequence", sequence}, {"born", born}};
}

} // namespace review

int main(int count, char **words)
{
    using namespace review;
    std::signal(SIGPIPE, SIG_IGN);
    const std::map<std::string, std::function<CaseResult(const CaseOptions &, Record &)>> cases = {
        {"kept-channel-limits", runKeptChannelLimits},
        {"unframed-answers", runUnframedAnswers},
        {"deadly-tenant", runDeadlyTenant},
        {"deadly-outage", runDeadlyOutage},
        {"reused-pass", runReusedPass},
    };
    if (count != 6 || !cases.contains(words[1]))
        return couldNotRun;
    const char *trouble = std::getenv("TROUBLE");
    const CaseOptions options{.trouble = trouble == nullptr || std::string(trouble) != "0",
                              .folder = words[2],
                              .gateway = words[4],
                              .sidecar = words[5]};
    Record record(words[3]);
    record.line(options.trouble ? "with the disruption" : "without the disruption");
    try {
        const CaseResult result = cases.at(words[1])(options, record);
        record.line(result == broken     ? "result: the rule was broken"
                        : result == held ? "result: the rule held"
                                         : "result: the case could not run");
        return result;
    } catch (const std::exception &error) {
        record.line(std::string("result: the case could not run: ") + error.what());
        return couldNotRun;
    }
}
