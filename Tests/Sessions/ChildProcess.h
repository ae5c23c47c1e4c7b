#pragma once

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

#include "Process/Time.h"

namespace wisteria::sessions {

/// A process that a test started. The destructor kills and reaps it if it still runs, and the
/// kernel kills it when the test process dies.
class ChildProcess
{
public:
    /// Starts a program of the build and waits for its "ready" line.
    /// @param errorFile File that its standard error is appended to.
    /// @throw std::runtime_error when it is not ready within 20 s.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &errorFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const { return pid_; }
    /// Value of a field "name=value" of the ready line, such as "peer".
    const std::string &address(const std::string &name) const { return ready_.at(name); }

    void signal(int number) const;
    /// Whether it has exited or was killed by a signal; does not reap it.
    bool hasEnded() const;
    /// Kills it with SIGKILL and reaps it.
    void kill();
    /// Waits until it exits.
    /// @return Exit code, or -1 when a signal killed it.
    /// @throw std::runtime_error when it still runs after the timeout.
    int waitForExit(seconds timeout = seconds(20));

private:
    void readReadyLine(int descriptor);

    std::string program_;
    pid_t pid_ = -1;
    std::map<std::string, std::string> ready_;
};

} // namespace wisteria::sessions
