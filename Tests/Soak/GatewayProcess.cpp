#include "Soak/GatewayProcess.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Gateway/ScriptedServer.h"
#include "Soak/LoggedChild.h"

namespace wisteria::soak {

using namespace gateway_tests;

namespace {

/// Time in which a process that has started surely handles signals.
constexpr milliseconds startTime{500};
constexpr int pollMilliseconds = 5;
/// Bounds of cold servers.
constexpr double coldOvershoot = 40;
constexpr double coldSlack = 40;

std::uint16_t freePort()
{
    const ScriptedServer server([](const SeenRequest &, ScriptPeer &) {});
    return server.endpoint().port;
}

} // namespace

GatewayProcess::GatewayProcess(std::string program, const std::string &folder, int number,
                               const Endpoint &store)
    : program_(std::move(program)), callers_{INADDR_LOOPBACK, freePort()},
      readiness_{INADDR_LOOPBACK, freePort()}, messages_{INADDR_LOOPBACK, freePort()}
{
    const std::string name = "gateway-" + std::to_string(number);
    settings_ = folder + "/" + name + ".conf";
    log_ = folder + "/" + name + ".log";
    std::ofstream(settings_) << "node_name=" << name
                             << "\nip=127.0.0.1\nzone=a\nlisten.front=" << toText(callers_)
                             << "\nlisten.ready=" << toText(readiness_)
                             << "\ninternal_port_range=" << messages_.port
                             << ",65535\nplatform.address=" << toText(store)
                             << "\nbounds.budget_slack=400\nbounds.grace_period_s="
                             << gracePeriod.count() << "\nbounds.cold_overshoot=" << coldOvershoot
                             << "\nbounds.cold_slack=" << coldSlack << "\n";
}

GatewayProcess::~GatewayProcess()
{
    kill();
}

bool GatewayProcess::ready() const
{
    return callServer(readiness_, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n").status == 200;
}

void GatewayProcess::start()
{
    pid_ = startLogged(program_, settings_, log_);
    startedAt_ = monotonicNow();
    stopDeadline_.reset();
    suspendedAt_.reset();
}

void GatewayProcess::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

bool GatewayProcess::handlesSignals(TimePoint now) const
{
    return running() && now - startedAt_ >= startTime;
}

void GatewayProcess::suspend()
{
    ++suspensions_;
    if (!suspendedAt_)
        suspendedAt_ = monotonicNow();
    signal(SIGSTOP);
}

void GatewayProcess::resume()
{
    ++suspensions_;
    const TimePoint now = monotonicNow();
    if (stopDeadline_ && suspendedAt_)
        *stopDeadline_ += now - std::max(*suspendedAt_, *stopDeadline_ - gracePeriod);
    suspendedAt_.reset();
    signal(SIGCONT);
}

void GatewayProcess::kill()
{
    if (pid_ <= 0)
        return;
    ++kills_;
    ::kill(pid_, SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    // The kernel may accept connections until the process is gone.
    ++kills_;
    pid_ = -1;
    const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    const bool stopped = stopDeadline_ && WIFEXITED(status) && WEXITSTATUS(status) == 0;
    endedByItself_ = endedByItself_ || !(killed || stopped);
}

void GatewayProcess::terminate()
{
    if (!stopDeadline_)
        stopDeadline_ = monotonicNow() + gracePeriod;
    signal(SIGTERM);
}

std::optional<StopResult> GatewayProcess::checkStopped(TimePoint now)
{
    constexpr milliseconds patience{1000};
    if (!stopping())
        return std::nullopt;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        return StopResult{.clean = WIFEXITED(status) && WEXITSTATUS(status) == 0,
                          .inTime = now <= *stopDeadline_};
    }
    if (suspendedAt_ || now < *stopDeadline_ + patience)
        return std::nullopt;
    kill();
    return StopResult{};
}

bool GatewayProcess::stop()
{
    terminate();
    std::optional<StopResult> result;
    while (!result) {
        ::poll(nullptr, 0, pollMilliseconds);
        result = checkStopped(monotonicNow());
    }
    return result->clean && result->inTime;
}

bool GatewayProcess::exitedUnexpectedly()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = -1;
        return true;
    }
    return endedByItself_;
}

} // namespace wisteria::soak
