#pragma once

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

#include "Process/Time.h"

namespace wisteria::sessions {

/// A process that a test started. It is killed and reaped at the latest when the object goes, and
/// the kernel kills it when the test itself dies.
class ChildProcess
{
public:
    /// Starts a program of the build and waits for its "ready" line.
    /// @param errorFile Where its log lines go.
    /// @throw std::runtime_error when it isn't ready in time.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &errorFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const { return pid_; }
    /// Value of a word "name=value" of the ready line, such as "peer".
    const std::string &address(const std::string &name) const { return ready_.at(name); }

    void signal(int number) const;
    /// Whether it has ended by itself.
    bool hasEnded() const;
    /// Kills it and waits until it is gone.
    void kill();
    /// Waits for its own end.
    /// @return Exit code; -1 when a signal ended it; nothing is assumed after the limit: it throws.
    int waitForExit(seconds limit = seconds(20));

private:
    void readReadyLine(int descriptor);

    std::string program_;
    pid_t pid_ = -1;
    std::map<std::string, std::string> ready_;
};

} // namespace wisteria::sessions
