#include "Programs/Bench/ConfigBench.h"

#include <algorithm>

#include "Version/ConfigJudge.h"

namespace wisteria {

namespace {

using Json = nlohmann::json;

const char *const idPrefix = "bench-";
const char *const lastSuffix = "-last";
constexpr std::uint32_t firstPort = 10000;
constexpr std::uint32_t portsAnAddress = 50000;

v1::ChangeRecord signedChange(const std::string &id, Offset position)
{
    v1::ChangeRecord change;
    change.set_change_id(id);
    change.set_who("wisteria-bench");
    change.set_why("measurement");
    change.set_rules_version(newestRules);
    change.set_base_position(position);
    return change;
}

v1::Object &addObject(v1::ChangeRecord &change, v1::ObjectKind kind, const std::string &name,
                      Offset base)
{
    v1::ObjectChange &entry = *change.add_changes();
    entry.set_kind(kind);
    entry.set_name(name);
    entry.set_base_version(base);
    return *entry.mutable_content();
}

void addService(v1::ChangeRecord &change, Offset base, std::uint32_t queueBound)
{
    v1::Service &service =
        *addObject(change, v1::OBJECT_KIND_SERVICE, "lookup", base).mutable_service();
    service.set_name("lookup");
    service.set_queue_bound(queueBound);
    service.set_default_deadline_ms(2000);
    service.set_max_body_bytes(65536);
}

void addBackendServer(v1::ChangeRecord &change, std::uint32_t index)
{
    const std::string name = "backend-server-" + std::to_string(index);
    v1::BackendServer &server =
        *addObject(change, v1::OBJECT_KIND_BACKEND_SERVER, name, 0).mutable_backend_server();
    server.set_name(name);
    server.set_service("lookup");
    server.set_agent_address("127.0.0.1:" + std::to_string(firstPort + index % portsAnAddress));
    server.set_failure_domain("domain-" + std::to_string(index % 10));
    server.set_vm("vm-" + std::to_string(index));
    server.set_concurrency(8);
}

void addOrganisation(v1::ChangeRecord &change, std::uint32_t index)
{
    const std::string name = "organisation-" + std::to_string(index);
    v1::Organisation &organisation =
        *addObject(change, v1::OBJECT_KIND_ORGANISATION, name, 0).mutable_organisation();
    organisation.set_name(name);
    organisation.set_requests_per_second(10);
    organisation.set_burst(10);
    organisation.set_concurrency(10);
    organisation.add_services("lookup");
}

double milliseconds1(microseconds value)
{
    return static_cast<double>(value.count()) / 1000;
}

microseconds percentile(const std::vector<microseconds> &sorted, double share)
{
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(rank, sorted.size() - 1)];
}

double largest(const std::vector<Json> &lines, const char *field)
{
    double value = 0;
    for (const Json &line : lines)
        value = std::max(value, line.value(field, 0.0));
    return value;
}

} // namespace

v1::ChangeRecord baseChange(const ConfigSize &size)
{
    v1::ChangeRecord change = signedChange("base-change", 0);
    addService(change, 0, 1);
    for (std::uint32_t i = 0; i < size.backendServers; ++i)
        addBackendServer(change, i);
    for (std::uint32_t i = 0; i < size.organisations; ++i)
        addOrganisation(change, i);
    return change;
}

v1::ChangeRecord nextChange(std::uint32_t index, Offset version, bool last, TimePoint now)
{
    const auto sent = std::chrono::duration_cast<microseconds>(now.time_since_epoch()).count();
    std::string id = idPrefix + std::to_string(sent) + "-" + std::to_string(index);
    if (last)
        id += lastSuffix;
    v1::ChangeRecord change = signedChange(id, version);
    addService(change, version, 2 + index % 1000);
    return change;
}

bool collectDelays(const ConfigState &state, Offset looked, TimePoint now,
                   std::vector<microseconds> &delays)
{
    const std::string prefix = idPrefix;
    bool last = false;
    for (auto it = state.seen.lower_bound(prefix);
         it != state.seen.end() && it->first.starts_with(prefix); ++it) {
        if (it->second.offset() <= looked || !it->second.accepted())
            continue;
        const microseconds sent(std::stoll(it->first.substr(prefix.size())));
        const auto arrived = std::chrono::duration_cast<microseconds>(now.time_since_epoch());
        delays.push_back(arrived - sent);
        last |= it->first.ends_with(lastSuffix);
    }
    return last;
}

Json delaysJson(std::vector<microseconds> delays)
{
    Json result = {{"changes", delays.size()}};
    if (delays.empty())
        return result;
    std::sort(delays.begin(), delays.end());
    result["delay_ms_p50"] = milliseconds1(percentile(delays, 0.5));
    result["delay_ms_p99"] = milliseconds1(percentile(delays, 0.99));
    result["delay_ms_max"] = milliseconds1(delays.back());
    return result;
}

Json summaryOf(const std::vector<Json> &followers)
{
    double share = 0;
    double rate = 0;
    double fewest = followers.front().value("changes", 0.0);
    for (const Json &line : followers) {
        const double time = std::max(1.0, line.value("followed_ms", 0.0));
        share += line["usage"].value("processor_us", 0.0) / 1000 / time;
        rate += line.value("bytes", 0.0) * 1000 / time;
        fewest = std::min(fewest, line.value("changes", 0.0));
    }
    const auto count = static_cast<double>(followers.size());
    double resident = 0;
    for (const Json &line : followers)
        resident = std::max(resident, line["usage"]["resident_bytes"].value("max", 0.0));
    return {{"processes", followers.size()},
            {"changes_at_each_at_least", fewest},
            {"delay_ms_p50_worst_process", largest(followers, "delay_ms_p50")},
            {"delay_ms_p99_worst_process", largest(followers, "delay_ms_p99")},
            {"delay_ms_max", largest(followers, "delay_ms_max")},
            {"start_up_ms_max", largest(followers, "start_up_ms")},
            {"objects", largest(followers, "objects")},
            {"bytes_at_start", largest(followers, "bytes_at_start")},
            {"bytes_a_second_mean", rate / count},
            {"core_share_mean", share / count},
            {"max_resident_bytes", resident}};
}

} // namespace wisteria
