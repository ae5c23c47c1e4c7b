#include "Programs/Bench/LoadCommand.h"

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <curl/curl.h>
#include <tclap/CmdLine.h>

#include "Programs/Bench/LoadReport.h"
#include "Programs/Bench/LoadWorker.h"
#include "Programs/Bench/ProcessUsage.h"

namespace wisteria {

namespace {

constexpr auto sampleInterval = milliseconds(50);
constexpr std::int64_t nanosecondsPerSecond = 1000000000;

/// The parsed command line.
struct LoadOptions
{
    LoadPlan plan;
    std::uint32_t threads = 1;
    double rate = 0;
    std::uint64_t warmUp = 0;
    std::vector<pid_t> pids;
};

LoadOptions parseOptions(std::vector<std::string> &arguments)
{
    TCLAP::CmdLine command("Sends load to a running system and prints figures as JSON");
    TCLAP::MultiArg<std::string> url("u", "url", "Address to POST to; several take turns", true,
                                     "URL", command);
    TCLAP::MultiArg<std::string> header("H", "header", "Header of each request", false,
                                        "Name: value", command);
    TCLAP::ValueArg<std::string> body("b", "body", "Body; % stands for the request's mark", false,
                                      "mark %", "text", command);
    TCLAP::SwitchArg keyed("k", "keyed", "Gives each request a fresh idempotency key", command);
    TCLAP::ValueArg<double> rate("r", "rate", "Requests a second; 0 as fast as answers come", false,
                                 0, "rate", command);
    TCLAP::ValueArg<std::uint32_t> connections("c", "connections", "Connections of all threads",
                                               false, 16, "count", command);
    TCLAP::ValueArg<std::uint32_t> threads("t", "threads", "Threads", false, 1, "count", command);
    TCLAP::ValueArg<std::uint64_t> requests("n", "requests", "Requests of all threads", false, 1000,
                                            "count", command);
    TCLAP::ValueArg<std::uint64_t> warmUp("w", "warm-up", "Requests sent first and not counted",
                                          false, 0, "count", command);
    TCLAP::ValueArg<std::uint64_t> timeout("", "timeout-ms", "Longest wait for an answer", false,
                                           30000, "ms", command);
    TCLAP::MultiArg<pid_t> pid("p", "pid", "Process whose usage is reported", false, "pid",
                               command);
    command.parse(arguments);

    LoadOptions options;
    options.plan.urls = url.getValue();
    options.plan.headers = header.getValue();
    options.plan.body = body.getValue();
    options.plan.keyed = keyed.getValue();
    options.plan.connections = connections.getValue();
    options.plan.requests = requests.getValue();
    options.plan.timeout = milliseconds(timeout.getValue());
    options.threads = std::max(1U, threads.getValue());
    options.rate = rate.getValue();
    options.warmUp = warmUp.getValue();
    options.pids = pid.getValue();
    return options;
}

/// The part of `total` for the worker `index` of `threads` workers; the parts add up to `total`.
template <typename Count> Count shareOf(Count total, std::uint32_t threads, std::uint32_t index)
{
    return total / threads + (index < total % threads ? 1 : 0);
}

LoadPlan planOf(const LoadOptions &options, std::uint32_t index, std::uint64_t requests)
{
    LoadPlan plan = options.plan;
    plan.markPrefix = "w" + std::to_string(index) + "-";
    plan.requests = shareOf(requests, options.threads, index);
    plan.connections = std::max(1U, shareOf(plan.connections, options.threads, index));
    if (options.rate > 0) {
        const double interval = nanosecondsPerSecond * options.threads / options.rate;
        plan.interval = std::chrono::nanoseconds(static_cast<std::int64_t>(interval));
    }
    return plan;
}

/// The workers of one phase of the load. Their connections close with the destructor.
class LoadPhase
{
public:
    LoadPhase(const LoadOptions &options, std::uint64_t requests)
    {
        tallies_.resize(options.threads);
        for (std::uint32_t i = 0; i < options.threads; ++i)
            workers_.push_back(std::make_unique<LoadWorker>(planOf(options, i, requests)));
        running_ = options.threads;
    }

    void start()
    {
        for (std::size_t i = 0; i < workers_.size(); ++i) {
            threads_.emplace_back([this, i] {
                tallies_[i] = workers_[i]->run();
                --running_;
            });
        }
    }

    bool isRunning() const { return running_ > 0; }

    LoadTally finish()
    {
        LoadTally sum;
        for (std::size_t i = 0; i < threads_.size(); ++i) {
            threads_[i].join();
            addTally(sum, tallies_[i]);
        }
        return sum;
    }

private:
    std::vector<std::unique_ptr<LoadWorker>> workers_;
    std::vector<LoadTally> tallies_;
    std::vector<std::thread> threads_;
    std::atomic<std::size_t> running_ = 0;
};

Result<void> sampleAll(std::vector<ProcessWatch> &watches)
{
    for (ProcessWatch &watch : watches) {
        BOOST_OUTCOME_TRYV(watch.sample());
    }
    return boost::outcome_v2::success();
}

nlohmann::json measure(const LoadOptions &options, std::vector<ProcessWatch> &watches)
{
    LoadPhase phase(options, options.plan.requests);
    const TimePoint begin = monotonicNow();
    phase.start();
    while (phase.isRunning()) {
        std::this_thread::sleep_for(sampleInterval);
        static_cast<void>(sampleAll(watches));
    }
    const std::chrono::duration<double> elapsed = monotonicNow() - begin;
    static_cast<void>(sampleAll(watches));
    nlohmann::json report = renderTally(phase.finish(), elapsed);
    report["processes"] = nlohmann::json::array();
    for (const ProcessWatch &watch : watches)
        report["processes"].push_back(watch.render(report["requests"].get<std::uint64_t>()));
    return report;
}

} // namespace

Result<void> runLoadCommand(std::vector<std::string> arguments, std::ostream &out)
{
    const LoadOptions options = parseOptions(arguments);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    std::vector<ProcessWatch> watches(options.pids.begin(), options.pids.end());
    if (options.warmUp > 0) {
        LoadPhase warmUp(options, options.warmUp);
        warmUp.start();
        warmUp.finish();
    }
    BOOST_OUTCOME_TRYV(sampleAll(watches));
    const nlohmann::json report = measure(options, watches);
    out << report.dump(2) << "\n";
    if (report["crossed"] == 0)
        return boost::outcome_v2::success();
    return failure(ErrorKind::Internal,
                   "an answer belonged to another request; keep the logs and report it as a fault");
}

} // namespace wisteria
