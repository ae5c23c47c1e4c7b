#pragma once

#include <csignal>
#include <fstream>
#include <string>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Gateway/GatewayUnderTest.h"

namespace wisteria::gateway_tests {

/// A process of a program that writes its log to a file.
class LoggedProcess
{
public:
    /// @param settings Path of the settings file.
    LoggedProcess(const std::string &program, const std::string &settings)
        : path_(settings + ".lines")
    {
        const int output = ::open(path_.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0600);
        child_ =
            startProgram(program, settings, {"--metrics-port", std::to_string(freePort())}, output);
        ::close(output);
    }

    ~LoggedProcess()
    {
        if (ended_)
            return;
        ::kill(child_, SIGKILL);
        ::waitpid(child_, nullptr, 0);
    }

    LoggedProcess(const LoggedProcess &) = delete;
    LoggedProcess &operator=(const LoggedProcess &) = delete;

    pid_t process() const { return child_; }

    /// Whether the process has not ended.
    bool running()
    {
        ended_ = ended_ || ::waitpid(child_, nullptr, WNOHANG) == child_;
        return !ended_;
    }

    /// Peak memory in bytes.
    std::size_t peakMemory() const
    {
        constexpr std::size_t bytesPerKilobyte = 1024;
        std::ifstream status("/proc/" + std::to_string(child_) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(line.find_first_of("0123456789"))) * bytesPerKilobyte;
        }
        return 0;
    }

    /// Sends SIGTERM.
    void terminate() const { ::kill(child_, SIGTERM); }

    /// Waits for the process to end.
    /// @return Its exit status; -1 if a signal ended it.
    int waitForExit()
    {
        int status = 0;
        ::waitpid(child_, &status, 0);
        ended_ = true;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    /// The first line of an event whose field has this value; null if there is none yet.
    nlohmann::json line(const std::string &event, const std::string &field,
                        const std::string &value) const
    {
        std::ifstream lines(path_);
        for (std::string text; std::getline(lines, text);) {
            const nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
            if (line.is_object() && line.value("event", "") == event
                && line.value(field, "") == value)
                return line;
        }
        return nullptr;
    }

    /// Number of lines of an event so far.
    std::size_t count(const std::string &event) const
    {
        std::size_t found = 0;
        std::ifstream lines(path_);
        for (std::string text; std::getline(lines, text);)
            found += text.find("\"event\":\"" + event + "\"") != std::string::npos ? 1 : 0;
        return found;
    }

    /// Waits for such a line.
    /// @return The line; null if none came in time.
    nlohmann::json waitForLine(const std::string &event, const std::string &field,
                               const std::string &value) const
    {
        nlohmann::json found;
        eventually([&] {
            found = line(event, field, value);
            return !found.is_null();
        });
        return found;
    }

private:
    std::string path_;
    pid_t child_ = -1;
    bool ended_ = false;
};

/// A gateway process that writes its log to a file.
class LoggedGateway : public LoggedProcess
{
public:
    explicit LoggedGateway(const Endpoint &store,
                           const Endpoint &callers = {INADDR_LOOPBACK, freePort()})
        : LoggedProcess("wisteria-gateway",
                        writeSettings("front-1", {.store = store, .callers = callers})),
          callers_(callers)
    { }

    const Endpoint &callers() const { return callers_; }

    /// Waits until the gateway knows its routes and backend servers.
    /// @return Whether it does.
    bool waitUntilRouting() const
    {
        return eventually([this] {
            return callServer(callers_, requestFor("/none/x", "routing")).status == 404;
        });
    }

private:
    Endpoint callers_;
};

} // namespace wisteria::gateway_tests
