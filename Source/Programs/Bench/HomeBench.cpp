#include "Programs/Bench/HomeBench.h"

#include <malloc.h>

#include <array>
#include <cstdio>

#include "Request/AgentGate.h"

namespace wisteria {

namespace {

constexpr WallTime firstWall{milliseconds(1'700'000'000'000)};
const char *const serviceName = "orders";
const char *const homeName = "server-0";

/// A home with a virtual clock.
struct Home
{
    GateState gate;
    ConfigState config;
    TimePoint now{seconds(1000)};
    StreamId lastStream = 0;

    WallTime wall() const
    {
        return firstWall + std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    }
};

void publish(ConfigState &config, v1::ObjectKind kind, const std::string &name,
             const v1::Object &object)
{
    ++config.version;
    config.position = config.version;
    *config.objects[{kind, name}].mutable_object() = object;
    v1::SeenChange &seen = config.seen[std::to_string(config.version)];
    seen.set_offset(config.version);
    seen.set_accepted(true);
}

v1::Object serverObject(std::uint32_t index, bool draining)
{
    v1::Object object;
    v1::BackendServer &server = *object.mutable_backend_server();
    server.set_name("server-" + std::to_string(index));
    server.set_service(serviceName);
    server.set_concurrency(4);
    server.set_draining(draining);
    return object;
}

void configure(Home &home)
{
    setGateConfiguration(home.gate, home.config, homeName, home.now, home.wall());
}

/// Every former home answers at once that it has the version in force.
void answerHandovers(Home &home)
{
    v1::KeyHandoverReply reply;
    reply.set_released(true);
    reply.set_config_version(home.config.version);
    for (const HandoverWanted &wanted : handoversWanted(home.gate))
        handoverAnswered(home.gate, wanted.formerHome, reply, home.now, home.wall());
}

Home startHome(std::uint32_t servers)
{
    Home home;
    v1::Object service;
    service.mutable_service()->set_name(serviceName);
    service.mutable_service()->set_queue_bound(16);
    publish(home.config, v1::OBJECT_KIND_SERVICE, serviceName, service);
    for (std::uint32_t i = 0; i < servers; ++i) {
        publish(home.config, v1::OBJECT_KIND_BACKEND_SERVER, "server-" + std::to_string(i),
                serverObject(i, false));
    }
    configure(home);
    return home;
}

std::string keyAt(WallTime time, std::uint64_t number)
{
    std::array<char, 64> text{};
    const auto stamp = static_cast<unsigned long long>(time.time_since_epoch().count());
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012llx", stamp >> 16,
                  stamp & 0xffff, static_cast<unsigned long long>(number));
    return text.data();
}

/// Whether a request with a fresh key, as a caller would make it now, runs here. It ends at once.
bool runsFreshKey(Home &home)
{
    v1::RunHead head;
    head.set_service(serviceName);
    head.set_organisation("organisation");
    head.set_remaining_ms(1500);
    head.set_caller_attempt(1);
    do {
        ++home.lastStream;
        head.set_key(keyAt(home.wall(), home.lastStream));
    } while (!isHome(home.gate.tenure, head.key()));
    const GateActions actions = runArrived(home.gate, home.lastStream, head, home.now, home.wall());
    const bool runs = !actions.empty() && std::holds_alternative<StartBackend>(actions.front());
    if (runs) {
        const BackendResult result{BackendEnd::Answered, 200, "text/plain", "done"};
        backendEnded(home.gate, home.lastStream, result, home.now);
    }
    return runs;
}

/// Time for which fresh keys are refused, and how many requests that meets.
nlohmann::json refusedFrom(Home &home, double requestsPerSecond)
{
    const TimePoint start = home.now;
    const microseconds gap(static_cast<std::int64_t>(1e6 / requestsPerSecond));
    std::uint32_t refused = 0;
    while (!runsFreshKey(home)) {
        ++refused;
        home.now += gap;
    }
    const auto time = std::chrono::duration_cast<milliseconds>(home.now - start);
    return {{"refused_for_ms", time.count()}, {"requests_refused", refused}};
}

} // namespace

nlohmann::json replayHomeChanges(const HomeRecipe &recipe)
{
    Home restarted = startHome(recipe.servers);
    const std::size_t calls = handoversWanted(restarted.gate).size();
    answerHandovers(restarted);
    nlohmann::json restart = refusedFrom(restarted, recipe.requestsPerSecond);
    restart["handover_calls"] = calls;

    Home remaining = startHome(recipe.servers);
    answerHandovers(remaining);
    remaining.now += seconds(60);
    publish(remaining.config, v1::OBJECT_KIND_BACKEND_SERVER, "server-1", serverObject(1, true));
    configure(remaining);
    const std::size_t askedOf = handoversWanted(remaining.gate).size();
    answerHandovers(remaining);
    std::uint32_t refused = 0;
    constexpr std::uint32_t sample = 2'000;
    for (std::uint32_t i = 0; i < sample; ++i)
        refused += runsFreshKey(remaining) ? 0 : 1;
    return {{"servers", recipe.servers},
            {"restart", restart},
            {"another_drained",
             {{"handover_calls", askedOf},
              {"share_of_own_keys_refused_at_first", static_cast<double>(refused) / sample}}}};
}

nlohmann::json measureGate(std::uint32_t keys, const std::function<TimePoint()> &clock)
{
    Home home = startHome(1);
    answerHandovers(home);
    home.now += seconds(60);
    const std::size_t heapBefore = mallinfo2().uordblks;
    const TimePoint begin = clock();
    std::uint32_t ran = 0;
    for (std::uint32_t i = 0; i < keys; ++i) {
        home.now += milliseconds(1);
        ran += runsFreshKey(home) ? 1 : 0;
    }
    const auto took = std::chrono::duration_cast<std::chrono::nanoseconds>(clock() - begin);
    const std::size_t heap = mallinfo2().uordblks - heapBefore;
    return {{"keys", keys},
            {"ran", ran},
            {"ns_per_request", took.count() / keys},
            {"remembered", home.gate.keys.records.size()},
            {"bytes_per_remembered_key", heap / home.gate.keys.records.size()}};
}

} // namespace wisteria
