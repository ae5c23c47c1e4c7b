#include "Sessions/TestSystem.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <unistd.h>

#include "Programs/Bench/LoadKey.h"

namespace wisteria::sessions {

namespace {

using nlohmann::json;

const std::vector<std::string> failureDomains = {"domain-a", "domain-b", "domain-c"};

std::string httpUrl(const std::string &address)
{
    return "http://" + address;
}

std::string backendName(std::size_t i)
{
    return "quoter-" + std::to_string(i + 1);
}

std::string portOf(const std::string &address)
{
    return address.substr(address.rfind(':') + 1);
}

v1::ObjectChange changeOf(const v1::Object &object)
{
    v1::ObjectChange change;
    if (object.has_service()) {
        change.set_kind(v1::OBJECT_KIND_SERVICE);
        change.set_name(object.service().name());
    } else if (object.has_backend_server()) {
        change.set_kind(v1::OBJECT_KIND_BACKEND_SERVER);
        change.set_name(object.backend_server().name());
    } else if (object.has_organisation()) {
        change.set_kind(v1::OBJECT_KIND_ORGANISATION);
        change.set_name(object.organisation().name());
    } else {
        change.set_kind(v1::OBJECT_KIND_ROUTING_POLICY);
        change.set_name(object.routing_policy().name());
    }
    *change.mutable_content() = object;
    return change;
}

} // namespace

TestSystem::TestSystem(const TestSystemOptions &options) : options_(options)
{
    std::string pattern = std::filesystem::temp_directory_path() / "wisteria-session-XXXXXX";
    folder_ = mkdtemp(pattern.data());
    log_ = std::make_unique<ChildProcess>("standin-log", std::vector<std::string>{}, path("log"));
    vms_ = std::make_unique<ChildProcess>(
        "standin-vms", std::vector<std::string>{"--lag-ms", std::to_string(options.vmLag.count())},
        path("vms"));
    agents_.resize(options.backendServers);
    for (std::size_t i = 0; i < options.backendServers; ++i) {
        backendAddresses_.push_back(options.backendAddress.empty() ? startBackend(i)
                                                                   : options.backendAddress);
        startAgent(i, "127.0.0.1:0");
        agentAddresses_.push_back(agents_[i]->address("peer"));
        if (options.useProxies)
            proxies_.push_back(std::make_unique<StallingProxy>(agentAddresses_[i]));
    }
    const std::uint64_t version = applyInitialConfig();
    for (std::size_t i = 0; i < options.entries; ++i)
        startEntry();
    waitUntilInForce(version);
}

TestSystem::~TestSystem()
{
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string TestSystem::path(const std::string &name) const
{
    return folder_ + "/" + name;
}

std::string TestSystem::writeSettings(const std::string &name, const json &settings) const
{
    const std::string file = path(name + ".json");
    std::ofstream(file) << settings.dump(2);
    return file;
}

std::string TestSystem::startBackend(std::size_t i)
{
    backends_.push_back(std::make_unique<ChildProcess>(
        "standin-backend", std::vector<std::string>{"--name", backendName(i)}, path("backend")));
    return backends_.back()->address("address");
}

void TestSystem::startAgent(std::size_t i, const std::string &listen)
{
    const std::string name = backendName(i);
    const json settings = {
        {"name", name},
        {"failure_domain", failureDomains[i % failureDomains.size()]},
        {"peer_listen", listen},
        {"backend", {{"url", httpUrl(backendAddresses_[i])}}},
        {"log", {{"url", httpUrl(log_->address("address"))}}},
        {"vms", {{"url", httpUrl(vms_->address("address"))}}},
    };
    agents_[i] = std::make_unique<ChildProcess>(
        "wisteria-agent", std::vector<std::string>{"--settings", writeSettings(name, settings)},
        path(name + ".log"));
}

void TestSystem::startEntry()
{
    const std::string name = "entry-" + std::to_string(entries_.size() + 1);
    const json settings = {
        {"name", name},
        {"failure_domain", failureDomains[entries_.size() % failureDomains.size()]},
        {"listen", "127.0.0.1:0"},
        {"traffic_threads", 2},
        {"drain_ms", 100},
        {"log", {{"url", httpUrl(log_->address("address"))}}},
    };
    entries_.push_back(std::make_unique<ChildProcess>(
        "wisteria-entry", std::vector<std::string>{"--settings", writeSettings(name, settings)},
        path(name + ".log")));
}

void TestSystem::restartBackend(std::size_t i)
{
    backends_[i]->kill();
    backends_[i] = std::make_unique<ChildProcess>(
        "standin-backend",
        std::vector<std::string>{"--name", backendName(i), "--port", portOf(backendAddresses_[i])},
        path("backend"));
}

void TestSystem::restartAgent(std::size_t i)
{
    agents_[i]->kill();
    startAgent(i, agentAddresses_[i]);
}

std::uint64_t TestSystem::applyInitialConfig()
{
    std::vector<v1::Object> objects(3);
    v1::RoutingPolicy &policy = *objects[0].mutable_routing_policy();
    policy.set_name("even");
    policy.set_load_weight(1);
    policy.set_retry_ratio(0.5);
    policy.set_max_attempts(options_.maxAttempts);
    v1::Service &service = *objects[1].mutable_service();
    service.set_name("quotations");
    service.set_routing_policy("even");
    service.set_queue_bound(options_.queueBound);
    service.set_default_deadline_ms(10000);
    service.set_max_body_bytes(1 << 20);
    v1::Organisation &organisation = *objects[2].mutable_organisation();
    organisation.set_name("north-wholesale");
    organisation.set_requests_per_second(100000);
    organisation.set_burst(100000);
    organisation.set_concurrency(10000);
    for (std::size_t i = 0; i < options_.backendServers; ++i)
        *objects.emplace_back().mutable_backend_server() = backendObject(i);
    return apply(objects);
}

v1::BackendServer TestSystem::backendObject(std::size_t i) const
{
    v1::BackendServer backend;
    backend.set_name(backendName(i));
    backend.set_service("quotations");
    backend.set_agent_address(options_.useProxies ? proxies_[i]->address() : agentAddresses_[i]);
    backend.set_failure_domain(failureDomains[i % failureDomains.size()]);
    backend.set_vm("vm-" + std::to_string(i + 1));
    backend.set_concurrency(options_.concurrency);
    return backend;
}

std::uint64_t TestSystem::apply(const std::vector<v1::Object> &objects)
{
    const std::string stream = httpUrl(log_->address("address")) + "/streams/config/records";
    v1::ConfigRecord record;
    v1::ChangeRecord &change = *record.mutable_change();
    change.set_change_id(freshKey());
    change.set_who("tests");
    change.set_why("session test");
    change.set_rules_version(1);
    for (const v1::Object &object : objects) {
        v1::ObjectChange &part = *change.add_changes() = changeOf(object);
        part.set_base_version(versions_[part.name()]);
    }
    const HttpAnswer answer = call({.url = stream, .body = record.SerializeAsString()});
    const std::uint64_t offset = answer.json().value("offset", 0ULL);
    for (const v1::ObjectChange &part : change.changes())
        versions_[part.name()] = offset;
    return offset;
}

void TestSystem::waitUntilInForce(std::uint64_t version) const
{
    const auto inForce = [version](const auto &processes) {
        for (const auto &process : processes) {
            if (process->pid() > 0
                && metric(*process, "wisteria_config_version") < static_cast<double>(version))
                return false;
        }
        return true;
    };
    if (!eventually([&] { return inForce(agents_) && inForce(entries_); }))
        throw std::runtime_error("version " + std::to_string(version) + " is not in force");
}

std::string TestSystem::callerUrl(std::size_t entry, const std::string &service) const
{
    return httpUrl(entries_.at(entry)->address("caller")) + "/v1/services/" + service + "/requests";
}

HttpCallRequest TestSystem::httpRequestFor(std::size_t entry, const TestRequest &request) const
{
    HttpCallRequest httpRequest;
    httpRequest.url = callerUrl(entry, request.service);
    httpRequest.body = request.body;
    httpRequest.headers = request.headers;
    httpRequest.headers.push_back("Wisteria-Organisation: " + request.organisation);
    httpRequest.headers.push_back("Wisteria-Deadline-Ms: "
                                  + std::to_string(request.deadline.count()));
    if (!request.key.empty()) {
        httpRequest.headers.push_back("Wisteria-Idempotent: false");
        httpRequest.headers.push_back("Wisteria-Key: " + request.key);
        httpRequest.headers.push_back("Wisteria-Attempt: " + std::to_string(request.attempt));
    }
    return httpRequest;
}

HttpAnswer TestSystem::send(std::size_t entry, const TestRequest &request) const
{
    return call(httpRequestFor(entry, request));
}

std::future<HttpAnswer> TestSystem::sendAsync(std::size_t entry, const TestRequest &request) const
{
    return callAsync(httpRequestFor(entry, request));
}

void TestSystem::waitUntilKeysAccepted() const
{
    // This many consecutive keys almost certainly include one of each backend server.
    const int required = 8 * static_cast<int>(backends_.size());
    int accepted = 0;
    const bool settled = eventually([&] {
        accepted =
            send(0, {.body = "settling", .key = freshKey()}).status == 200 ? accepted + 1 : 0;
        return accepted == required;
    });
    if (!settled)
        throw std::runtime_error("backend servers still refuse new idempotency keys");
}

int TestSystem::runs(const std::string &kind, const std::string &name) const
{
    int sum = 0;
    for (const std::string &address : backendAddresses_) {
        const json counts = call({.url = httpUrl(address) + "/runs", .method = "GET"}).json();
        sum += counts.value(kind, json::object()).value(name, 0);
    }
    return sum;
}

int TestSystem::totalRuns() const
{
    int sum = 0;
    for (const std::string &address : backendAddresses_)
        sum += call({.url = httpUrl(address) + "/runs", .method = "GET"}).json().value("total", 0);
    return sum;
}

int TestSystem::maxRunsPerKey() const
{
    std::map<std::string, int> sums;
    int maxRuns = 0;
    for (const std::string &address : backendAddresses_) {
        const json counts = call({.url = httpUrl(address) + "/runs", .method = "GET"}).json();
        const json keys = counts.value("keys", json::object());
        for (const auto &[key, count] : keys.items()) {
            sums[key] += count.get<int>();
            maxRuns = std::max(maxRuns, sums[key]);
        }
    }
    return maxRuns;
}

int TestSystem::heldRequests(std::size_t backend) const
{
    const std::string url = httpUrl(backendAddresses_[backend]) + "/runs";
    return call({.url = url, .method = "GET"}).json().value("holding", 0);
}

std::size_t TestSystem::waitForHeldRequest() const
{
    std::size_t holder = backends_.size();
    const auto found = eventually([&] {
        for (holder = 0; holder < backends_.size(); ++holder) {
            if (backends_[holder]->pid() > 0 && heldRequests(holder) > 0)
                return true;
        }
        return false;
    });
    if (!found)
        throw std::runtime_error("no backend server holds a request");
    return holder;
}

void TestSystem::release(const std::string &name) const
{
    for (const std::string &address : backendAddresses_)
        call({.url = httpUrl(address) + "/release", .body = name});
}

void TestSystem::setLogFaults(const json &faults) const
{
    call({.url = httpUrl(log_->address("address")) + "/faults", .body = faults.dump()});
}

double TestSystem::metric(const ChildProcess &process, const std::string &name)
{
    const std::string url = httpUrl(process.address("metrics")) + "/metrics";
    std::istringstream lines(
        call({.url = url, .method = "GET", .timeout = milliseconds(2000)}).body);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with(name + " "))
            return std::strtod(line.c_str() + name.size(), nullptr);
    }
    return 0;
}

bool eventually(const std::function<bool()> &condition, milliseconds timeout)
{
    const TimePoint deadline = monotonicNow() + timeout;
    while (!condition()) {
        if (monotonicNow() > deadline)
            return false;
    }
    return true;
}

std::string freshKey()
{
    static std::uint64_t count = 0;
    ++count;
    return makeIdempotencyKey(wallNow(), count, static_cast<std::uint64_t>(getpid()) << 32 | count);
}

} // namespace wisteria::sessions
