#include "Gateway/GatewayUnderTest.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <set>

#include <arpa/inet.h>
#include <sys/prctl.h>
#include <unistd.h>

namespace wisteria::gateway_tests {

namespace {

/// The signals that a gateway handles must be blocked before the first thread starts, so that every
/// thread inherits the mask.
const bool signalsBlocked = [] {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGHUP);
    return ::pthread_sigmask(SIG_BLOCK, &signals, nullptr) == 0;
}();

} // namespace

std::string temporaryFolder()
{
    std::string folder = "/tmp/gateway-test-XXXXXX";
    return ::mkdtemp(folder.data());
}

pid_t startProgram(const std::string &program, const std::string &settings,
                   const std::vector<std::string> &arguments, int output)
{
    const std::string path = std::string(WISTERIA_PROGRAMS) + "/" + program;
    const pid_t child = ::fork();
    if (child != 0)
        return child;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    sigset_t none;
    sigemptyset(&none);
    ::pthread_sigmask(SIG_SETMASK, &none, nullptr);
    ::setenv("WISTERIAWIND_CONFIG", settings.c_str(), 1);
    if (output >= 0)
        ::dup2(output, STDOUT_FILENO);
    std::vector<char *> argumentVector = {const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments)
        argumentVector.push_back(const_cast<char *>(argument.c_str()));
    argumentVector.push_back(nullptr);
    ::execv(path.c_str(), argumentVector.data());
    ::_exit(127);
}

std::uint16_t freePort()
{
    static std::mutex mutex;
    static std::set<std::uint16_t> returned;
    const std::lock_guard<std::mutex> lock(mutex);
    std::uint16_t port = 0;
    do {
        const ScriptedServer server([](const SeenRequest &, ScriptPeer &) {});
        port = server.endpoint().port;
    } while (!returned.insert(port).second);
    return port;
}

std::string writeSettings(const std::string &vmName, const ProgramAddresses &addresses)
{
    const std::string path = temporaryFolder() + "/settings.conf";
    std::ofstream file(path);
    const std::string callers = toText(addresses.callers);
    const std::string ip = callers.substr(0, callers.find(':'));
    file << "node_name=" << vmName << "\nip=" << ip
         << "\nzone=a\ninternal_port_range=" << addresses.messages.value_or(freePort())
         << ",65535\nplatform.address=" << toText(addresses.store) << "\nlisten.front=" << callers
         << "\nlisten.ready=" << ip << ":" << freePort() << "\n";
    if (addresses.engine)
        file << "app=" << toText(*addresses.engine) << "\n";
    return path;
}

nlohmann::json routeOf(const std::string &prefix, const std::string &kind,
                       const std::string &service, bool resumable)
{
    return {{"name", prefix},    {"hostname", "h.example"}, {"path_prefix", prefix},
            {"kind", kind},      {"timeout_ms", 3000},      {"target_latency_ms", 400},
            {"max_attempts", 2}, {"service", service},      {"resumable", resumable},
            {"priority", 1},     {"public", false}};
}

nlohmann::json configurationOf(int version)
{
    nlohmann::json often = routeOf("/often/", "idempotent", "plain", false);
    often["max_attempts"] = 4;
    return {{"version", version},
            {"routes",
             {routeOf("/once/", "non_idempotent", "plain", false),
              routeOf("/again/", "idempotent", "plain", false), often,
              routeOf("/stream/", "streaming", "model", true)}},
            {"services", nlohmann::json::array()},
            {"tenants", {{{"name", "acme"}, {"api_keys", {"key1"}}}}}};
}

nlohmann::json listEntryOf(const std::string &service, const Endpoint &server, int slots,
                           const std::string &state, const std::string &domain)
{
    return {{"service", service},
            {"address", toText(server)},
            {"zone", domain},
            {"slot_count", slots},
            {"state", state}};
}

std::string requestFor(const std::string &target, const std::string &id, const std::string &method)
{
    return method + " " + target
        + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key1\r\nWisteriawind-Attempt-Id: "
        + id + "\r\nWisteriawind-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
}

} // namespace wisteria::gateway_tests
