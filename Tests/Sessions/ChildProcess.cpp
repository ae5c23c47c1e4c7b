#include "Sessions/ChildProcess.h"

#include <csignal>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wisteria::sessions {

namespace {

constexpr seconds readyTimeout(20);

/// Waits until a descriptor is readable.
/// @return False when it is not before the deadline.
bool waitReadable(int descriptor, TimePoint deadline)
{
    pollfd entry = {descriptor, POLLIN, 0};
    const auto left = remaining(monotonicNow(), deadline);
    return poll(&entry, 1, static_cast<int>(left.count())) > 0;
}

[[noreturn]] void runChild(const std::string &path, const std::vector<std::string> &arguments,
                           int output, const std::string &errorFile)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int errors = open(errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(errors, STDERR_FILENO);
    std::vector<char *> argv = {const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    execv(path.c_str(), argv.data());
    _exit(127);
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           const std::string &errorFile)
    : program_(program)
{
    int pipeEnds[2] = {};
    if (pipe2(pipeEnds, O_CLOEXEC) != 0)
        throw std::runtime_error("can't create a pipe for " + program);
    pid_ = fork();
    if (pid_ == 0)
        runChild(std::string(WISTERIA_PROGRAMS) + "/" + program, arguments, pipeEnds[1], errorFile);
    close(pipeEnds[1]);
    try {
        readReadyLine(pipeEnds[0]);
    } catch (...) {
        close(pipeEnds[0]);
        kill();
        throw;
    }
    close(pipeEnds[0]);
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::readReadyLine(int descriptor)
{
    const TimePoint deadline = monotonicNow() + readyTimeout;
    std::string text;
    while (text.find('\n') == std::string::npos) {
        char byte = 0;
        if (!waitReadable(descriptor, deadline) || read(descriptor, &byte, 1) != 1)
            throw std::runtime_error(program_ + " did not become ready, it printed: " + text);
        text += byte;
    }
    std::istringstream fields(text);
    std::string field;
    while (fields >> field) {
        const std::size_t equals = field.find('=');
        if (equals != std::string::npos)
            ready_[field.substr(0, equals)] = field.substr(equals + 1);
    }
}

void ChildProcess::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

bool ChildProcess::hasEnded() const
{
    siginfo_t information = {};
    const int result =
        waitid(P_PID, static_cast<id_t>(pid_), &information, WEXITED | WNOHANG | WNOWAIT);
    return result == 0 && information.si_pid == pid_;
}

void ChildProcess::kill()
{
    if (pid_ <= 0)
        return;
    signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

int ChildProcess::waitForExit(seconds timeout)
{
    const int descriptor = static_cast<int>(syscall(SYS_pidfd_open, pid_, 0));
    const bool ended = waitReadable(descriptor, monotonicNow() + timeout);
    close(descriptor);
    if (!ended)
        throw std::runtime_error(program_ + " did not end in time");
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace wisteria::sessions
