// Stand-in for a group of engines that run steps in lock-step on an expert map. Orders go to
// POST /ranks/N/orders and are answered by the rank's status; POST /ranks/N/restart gives a fresh
// engine; GET /group tells the steps completed, the maps they ran on and steps that ran on two.

#include <algorithm>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <curl/curl.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "StandIns/HttpStandIn.h"

namespace wisteria::standin {

namespace {

using Json = nlohmann::json;
using Step = std::uint64_t;

constexpr Step never = ~Step(0);

struct Options
{
    unsigned ranks = 4;
    bool ignoreFencing = false;
    std::chrono::milliseconds stepTime{5};
    /// Base of the weight store; empty loads at once.
    std::string store;
    unsigned long bytesPerMap = 0;
};

struct Engine
{
    std::uint64_t incarnation = 1;
    std::uint64_t highestFence = 0;
    Step step = 0;
    Step holdAt = 0;
    std::uint64_t version = 0;
    std::string map = "initial";
    std::uint64_t nextVersion = 0;
    Step nextFromStep = 0;
    std::string nextMap;
    std::string staged;
    std::string staging;
    std::string failed;

    void takeNext()
    {
        version = nextVersion;
        map = nextMap;
        nextVersion = 0;
    }
};

bool load(const std::string &url)
{
    CURL *handle = curl_easy_init();
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_FAILONERROR, 1L);
    curl_easy_setopt(
        handle, CURLOPT_WRITEFUNCTION,
        +[](char *, std::size_t, std::size_t count, void *) { return count; });
    const bool loaded = curl_easy_perform(handle) == CURLE_OK;
    curl_easy_cleanup(handle);
    return loaded;
}

class RankGroup
{
public:
    explicit RankGroup(Options options) : options_(std::move(options)), engines_(options_.ranks)
    {
        std::thread([this] { runSteps(); }).detach();
    }

    Reply handle(const Exchange &exchange)
    {
        if (exchange.path() == "/group")
            return group();
        if (const auto rank = exchange.pathBetween("/ranks/", "/orders"))
            return order(std::stoul(*rank), Json::parse(exchange.body(), nullptr, false));
        if (const auto rank = exchange.pathBetween("/ranks/", "/restart"))
            return restart(std::stoul(*rank));
        return notFound();
    }

private:
    Reply group()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        Json maps = Json::object();
        for (const Engine &engine : engines_)
            maps[engine.map] = maps.value(engine.map, 0) + 1;
        return Reply{.body = Json{
                         {"complete", complete_},
                         {"mixed_steps", mixedSteps_},
                         {"longest_stall_ms", longestStall_.count()},
                         {"maps",
                          maps}}.dump()};
    }

    Reply restart(std::size_t rank)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        Engine fresh;
        fresh.incarnation = engines_.at(rank).incarnation + 1;
        fresh.step = std::min(engines_.at(rank).step, complete_);
        engines_.at(rank) = fresh;
        return Reply{.body = "{}"};
    }

    Reply order(std::size_t rank, const Json &body)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (rank >= engines_.size() || !body.is_object())
            return notFound();
        Engine &engine = engines_[rank];
        const std::uint64_t fence = body.value("fencing_token", std::uint64_t(0));
        if (options_.ignoreFencing || fence > engine.highestFence)
            obey(rank, body);
        engine.highestFence = std::max(engine.highestFence, fence);
        return Reply{.body = status(engine).dump()};
    }

    static Json status(const Engine &engine)
    {
        Json answer = {{"incarnation", engine.incarnation},
                       {"step", engine.step},
                       {"version", engine.version},
                       {"next_version", engine.nextVersion},
                       {"next_from_step", engine.nextFromStep},
                       {"staged", engine.staged},
                       {"staging", engine.staging},
                       {"failed", engine.failed}};
        if (engine.holdAt != never)
            answer["hold_at"] = engine.holdAt;
        return answer;
    }

    void obey(std::size_t rank, const Json &body)
    {
        Engine &engine = engines_[rank];
        const std::string kind = body.value("order", "query");
        const Step step = body.value("step", Step(0));
        if (kind == "stage")
            stage(rank, body.value("map", ""));
        else if (kind == "arm" && engine.step < step)
            engine.holdAt = step;
        else if (kind == "release")
            engine.holdAt = never;
        else if (kind == "apply" && !engine.staged.empty())
            apply(engine, body, step);
    }

    static void apply(Engine &engine, const Json &body, Step step)
    {
        engine.nextVersion = body.value("version", std::uint64_t(0));
        engine.nextFromStep = step;
        engine.nextMap = std::exchange(engine.staged, "");
        if (step <= engine.step + 1)
            engine.takeNext();
        if (body.value("release", false))
            engine.holdAt = never;
    }

    void stage(std::size_t rank, const std::string &map)
    {
        Engine &engine = engines_[rank];
        engine.staging = map;
        engine.failed.clear();
        const std::string url = options_.store.empty()
            ? ""
            : options_.store + "/weights/" + map + "?bytes=" + std::to_string(options_.bytesPerMap);
        std::thread([this, rank, map, url, incarnation = engine.incarnation] {
            const bool loaded = url.empty() || load(url);
            const std::lock_guard<std::mutex> lock(mutex_);
            Engine &target = engines_[rank];
            if (target.incarnation != incarnation || target.staging != map)
                return;
            (loaded ? target.staged : target.failed) = std::exchange(target.staging, "");
        }).detach();
    }

    void runSteps()
    {
        auto completeAt = std::chrono::steady_clock::now();
        for (;;) {
            pauseFor(options_.stepTime);
            const std::lock_guard<std::mutex> lock(mutex_);
            for (Engine &engine : engines_)
                begin(engine);
            if (!allBegan())
                continue;
            const auto now = std::chrono::steady_clock::now();
            if (complete_++ > 0)
                longestStall_ =
                    std::max(longestStall_,
                             std::chrono::duration_cast<std::chrono::milliseconds>(now - completeAt)
                                 - options_.stepTime);
            completeAt = now;
            mapOfStep_.clear();
        }
    }

    void begin(Engine &engine)
    {
        const Step step = complete_ + 1;
        if (engine.step >= step || engine.holdAt <= step)
            return;
        engine.step = step;
        if (engine.nextVersion != 0 && engine.nextFromStep <= step)
            engine.takeNext();
        const std::string used = engine.map + "@" + std::to_string(engine.version);
        if (!mapOfStep_.empty() && mapOfStep_ != used)
            ++mixedSteps_;
        mapOfStep_ = used;
    }

    bool allBegan() const
    {
        return std::all_of(engines_.begin(), engines_.end(),
                           [this](const Engine &engine) { return engine.step > complete_; });
    }

    const Options options_;
    std::mutex mutex_;
    std::vector<Engine> engines_;
    Step complete_ = 0;
    /// Map that the present step runs on, empty before the first rank begins it.
    std::string mapOfStep_;
    unsigned mixedSteps_ = 0;
    std::chrono::milliseconds longestStall_{0};
};

} // namespace

} // namespace wisteria::standin

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Stand-in for a group of engines in lock-step");
    TCLAP::ValueArg<unsigned short> port("", "port", "0 for a free port", false, 0, "port");
    TCLAP::ValueArg<unsigned> ranks("", "ranks", "Ranks of the group", false, 4, "count");
    TCLAP::ValueArg<unsigned> step("", "step-ms", "Time of one step", false, 5, "ms");
    TCLAP::ValueArg<std::string> store("", "store", "URL of the weight store", false, "", "url");
    TCLAP::ValueArg<unsigned long> bytes("", "bytes", "Weights of one map", false, 0, "bytes");
    TCLAP::SwitchArg ignore("", "ignore-fencing", "Obey orders with old fencing numbers");
    for (TCLAP::Arg *argument :
         std::initializer_list<TCLAP::Arg *>{&port, &ranks, &step, &store, &bytes, &ignore})
        command.add(*argument);
    command.parse(argc, argv);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    wisteria::standin::Options options;
    options.ranks = ranks.getValue();
    options.ignoreFencing = ignore.getValue();
    options.stepTime = std::chrono::milliseconds(step.getValue());
    options.store = store.getValue();
    options.bytesPerMap = bytes.getValue();
    // Detached step and loading threads use the group until the process ends.
    auto *group = new wisteria::standin::RankGroup(std::move(options));
    return wisteria::standin::serve(port.getValue(),
                                    [&](const auto &exchange) { return group->handle(exchange); });
}
