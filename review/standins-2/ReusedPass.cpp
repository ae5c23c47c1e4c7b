#include <csignal>
#include <fstream>
#include <sstream>

#include "Cases.h"
#include "EngineGroup.h"

namespace review {

namespace {

/// The least delay of a late order; the longest is 12 s.
constexpr milliseconds leastDelay{2000};
constexpr milliseconds restartDelay{300};

std::string configuration()
{
    Json route = routeOf("/notice/", "streaming", "wisteria-llm", 8000, 2);
    route["resumable"] = true;
    route["sticky"] = true;
    route["gap_aim_ms"] = 120;
    route["target_latency_ms"] = 400;
    return Json({{"version", 10},
                 {"routes", {route}},
                 {"services",
                  {{{"name", "wisteria-llm"},
                    {"health_check_path", "/health"},
                    {"max_connections", 358},
                    {"engine", EngineGroup::engineSettings()}}}},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", 4194304},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15000}}},
                 {"tenants", {{{"name", "tenant-one"}, {"api_keys", {"key-one"}}}}}})
        .dump();
}

int countInFile(const std::string &path, const std::string &text)
{
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    const std::string whole = content.str();
    int count = 0;
    for (std::size_t at = whole.find(text); at != std::string::npos; at = whole.find(text, at + 1))
        ++count;
    return count;
}

/// What the stand-in of the engines does with orders, and what it has seen.
struct Plan
{
    bool trouble = true;
    std::atomic<int> stage = 1;
    std::uint64_t heldPass = 0;
    std::uint64_t secondHeldPass = 0;
    std::optional<Clock::time_point> lateGoAt;
};

} // namespace

CaseResult runReusedPass(const CaseOptions &options, Record &record)
{
    const std::string first = freeLoopbackAddress();
    const std::string net = first.substr(0, first.rfind('.') + 1);
    std::vector<std::string> ips;
    for (std::uint32_t rank = 0; rank < EngineGroup::ranks; ++rank)
        ips.push_back(net + std::to_string(rank + 1));
    const std::string gatewayIp = net + "100";
    Store store(net + "101");
    const std::string storeAddress = net + "101:" + std::to_string(store.port());
    const int port = freePort(ips[0]);

    Plan plan;
    plan.trouble = options.trouble;
    std::unique_ptr<EngineGroup> group;
    // Which orders get no answer. A late order is carried out 2 s after it came, or later.
    const auto unanswered = [&](std::uint32_t rank, const Json &order) {
        const std::string operation = order.value("operation", "");
        const auto step = order.value("step", std::uint64_t{0});
        if (!plan.trouble)
            return false;
        if (operation == "hold" && plan.stage == 1) {
            const bool taken = step == group->stepUnlocked() + 3;
            if (taken) {
                plan.heldPass = step;
                plan.stage = 2;
                group->endAnswers();
            }
            return !taken;
        }
        if (operation == "hold" && plan.stage == 4) {
            plan.secondHeldPass = step;
            plan.stage = 5;
            return false;
        }
        if (operation == "go" && plan.stage == 3 && !plan.lateGoAt) {
            plan.lateGoAt = Clock::now();
            return true;
        }
        return operation == "arm" && rank == 3 && (plan.stage == 2 || plan.stage == 5);
    };
    group = std::make_unique<EngineGroup>(ips, port, record, unanswered);

    store.put("keyed.op", "config", configuration());
    std::atomic<bool> ending = false;
    int sequence = 0;
    const auto born = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    const auto beat = [&] {
        ++sequence;
        for (std::uint32_t rank = 0; rank < EngineGroup::ranks; ++rank) {
            Json entry = entryOf("wisteria-llm", ips[rank] + ":" + std::to_string(port), "ready",
                                 sequence, born);
            entry["slot_count"] = 12;
            store.put("keyed.servers", EngineGroup::idOf(rank), entry.dump());
        }
    };
    beat();
    std::thread beats([&] {
        while (!ending) {
            std::this_thread::sleep_for(milliseconds(1200));
            beat();
        }
    });
    const auto finish = [&](CaseResult result) {
        ending = true;
        beats.join();
        return result;
    };

    std::vector<std::unique_ptr<Process>> sidecars(EngineGroup::ranks);
    const auto startSidecar = [&](std::uint32_t rank) {
        const std::string name = "side-" + std::to_string(rank);
        const std::string settings = options.folder + "/" + name + ".conf";
        Place place{name, ips[rank], 0, 0, 7400, ips[rank] + ":" + std::to_string(port)};
        std::ofstream(settings) << settingsText(place, storeAddress);
        sidecars[rank] = std::make_unique<Process>(
            std::vector<std::string>{options.sidecar, "--metrics-port", "7351"}, settings,
            options.folder + "/" + name + ".log");
    };
    for (std::uint32_t rank = 0; rank < EngineGroup::ranks; ++rank)
        startSidecar(rank);
    Gateway gateway(options, "front-1", gatewayIp, storeAddress);
    const std::string leaderLog = options.folder + "/side-0.log";
    const auto leads = [&](int times) {
        return waitUntil(milliseconds(8000),
                         [&] { return countInFile(leaderLog, "\"leader.begin\"") >= times; });
    };
    if (!gateway.ready() || !leads(1))
        return finish(couldNotRun);
    std::this_thread::sleep_for(milliseconds(1000));

    int requests = 0;
    const auto ask = [&](int tokens) {
        auto peer = connectTo(gatewayIp, gateway.place().callers, milliseconds(1000));
        const std::string id = "r" + std::to_string(++requests);
        record.line("caller sends " + id + ", " + std::to_string(tokens) + " tokens");
        if (peer) {
            peer->send(requestText(
                "POST", "/notice/x", id,
                {{"Wisteriawind-Deadline-Ms", "8000"},
                 {"Wisteriawind-Model", "m"},
                 {"Wisteriawind-Token-Usage", "700," + std::to_string(tokens)},
                 {"Wisteriawind-Prompt-Prefix", "a1:40,b" + std::to_string(requests) + ":660"}},
                "x"));
        }
        return peer;
    };
    const auto stageIs = [&](int stage) {
        return waitUntil(milliseconds(6000), [&] { return plan.stage == stage; });
    };
    const auto armed = [&](std::uint32_t rank, std::uint64_t pass) {
        const auto state = group->state(rank);
        return state.armed != 0 && state.armedStep == pass;
    };

    // A long request shows the leader that two experts of one rank are in demand.
    auto caller = ask(240);
    if (!caller)
        return finish(couldNotRun);
    if (!options.trouble) {
        // The same requests; the switches of the map take their course.
        std::this_thread::sleep_for(milliseconds(6000));
        const auto small = ask(6);
        std::this_thread::sleep_for(milliseconds(2500));
        const auto last = ask(60);
        std::this_thread::sleep_for(milliseconds(3000));
        const bool switched = group->state(0).map != 0;
        record.line("passes " + std::to_string(group->step()) + ", orders "
                    + std::to_string(group->ordersReceived()) + ", without an answer "
                    + std::to_string(group->ordersUnanswered()));
        if (!switched)
            return finish(couldNotRun);
        return finish(group->mixedPass() != 0 ? broken : held);
    }

    if (!stageIs(2))
        return finish(couldNotRun);
    const auto lateSince = Clock::now();
    record.line("the answer is complete; the group has no work");
    const std::uint64_t pass = plan.heldPass;
    if (!waitUntil(milliseconds(2000), [&] { return armed(1, pass) && armed(2, pass); }))
        return finish(couldNotRun);
    // Twice the interval at which a leader reads what was chosen.
    std::this_thread::sleep_for(milliseconds(100));
    if (group->step() != pass - 3)
        return finish(couldNotRun);
    plan.stage = 3;
    sidecars[0]->signal(SIGKILL);
    sidecars[0]->ended(milliseconds(1000));
    record.line("the sidecar of rank 0, which leads, is killed");
    std::this_thread::sleep_for(restartDelay);
    startSidecar(0);
    record.line("the sidecar of rank 0 is started again");
    if (!waitUntil(milliseconds(5000), [&] { return group->state(1).held == 0; }) || !leads(2))
        return finish(couldNotRun);
    record.line("the hold has been recovered, and the sidecar of rank 0 leads again");
    std::this_thread::sleep_until(*plan.lateGoAt + leastDelay - milliseconds(300));
    plan.stage = 4;
    const auto small = ask(6);
    if (!stageIs(5))
        return finish(couldNotRun);
    record.line("held before pass " + std::to_string(pass) + " first, now before pass "
                + std::to_string(plan.secondHeldPass));
    if (!waitUntil(milliseconds(2000), [&] { return armed(1, pass) && armed(2, pass); }))
        return finish(plan.secondHeldPass != pass ? held : couldNotRun);
    std::this_thread::sleep_until(*plan.lateGoAt + leastDelay);
    group->carryOut([&](const EngineGroup::LateOrder &late) {
        return late.order.value("operation", "") == "go";
    });
    const auto last = ask(60);
    waitUntil(milliseconds(3000), [&] { return group->step() > pass; });
    const std::chrono::duration<double> span = Clock::now() - lateSince;
    record.line("orders " + std::to_string(group->ordersReceived()) + ", without an answer "
                + std::to_string(group->ordersUnanswered()) + ", within "
                + std::to_string(span.count()) + " s");
    if (group->mixedPass() != 0)
        record.line("pass " + std::to_string(group->mixedPass()) + " began with two maps");
    return finish(group->mixedPass() != 0 ? broken : held);
}

} // namespace review
