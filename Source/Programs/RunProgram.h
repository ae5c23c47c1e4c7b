#pragma once

#include <cstdint>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include <tclap/CmdLine.h>

#include "Process/EventLog.h"
#include "platform/ProcessSettings.h"

namespace wisteria {

/// Exit code of a process whose settings or arguments can't be used.
inline constexpr int exitBadSettings = 2;

/// What the command line of a program says.
struct ProgramOptions
{
    /// Port for scrapers on the VM's own address; 0 serves no metrics.
    std::uint16_t metricsPort = 0;
    LogSettings log{};
    /// Only check the settings.
    bool check = false;
};

/// How a program names itself.
struct ProgramTitle
{
    /// Stands before messages on standard error.
    const char *name = "";
    const char *purpose = "";
};

/// Ends the process after help was asked for or an argument is wrong.
inline ProgramOptions readOptions(const ProgramTitle &title, int argc, char **argv)
{
    TCLAP::CmdLine line(title.purpose, ' ', "0.2.0");
    TCLAP::ValueArg<std::uint16_t> port(
        "", "metrics-port", "Serve Prometheus metrics on this port of the VM, path /metrics", false,
        0, "port", line);
    const std::vector<std::string> levels = {"debug", "info", "warning", "error"};
    TCLAP::ValuesConstraint<std::string> oneLevel(const_cast<std::vector<std::string> &>(levels));
    TCLAP::ValueArg<std::string> level("", "log-level", "Least level of the lines written", false,
                                       "info", &oneLevel, line);
    TCLAP::ValueArg<std::size_t> queue("", "log-queue",
                                       "Lines that may wait for a slow reader, for each of "
                                       "successes and failures",
                                       false, LogSettings{}.queuedLines, "lines", line);
    TCLAP::SwitchArg check("", "check", "Check the settings, say what they are, and exit", line);
    line.parse(argc, argv);
    return {.metricsPort = port.getValue(),
            .log = {.least = logLevelFromName(level.getValue()), .queuedLines = queue.getValue()},
            .check = check.getValue()};
}

/// Reads the settings that the platform names, runs a process with them and tells its exit code.
template <typename Process> int runProgram(const ProgramTitle &title, int argc, char **argv)
{
    const ProgramOptions options = readOptions(title, argc, argv);
    const auto fail = [&title](const Error &error) {
        std::cerr << title.name << ": " << error.message << std::endl;
        return exitBadSettings;
    };
    auto settings = platform::loadProcessSettings();
    if (settings.has_error())
        return fail(settings.error());
    if (options.metricsPort != 0)
        settings.value().metricsEndpoint =
            Endpoint{settings.value().vmAddress.ip, options.metricsPort};
    if (options.check) {
        const auto checked = Process::check(settings.value());
        if (checked.has_error())
            return fail(checked.error());
        std::cout << title.name << ": the settings of " << settings.value().vmName << " can be used"
                  << std::endl;
        return 0;
    }
    Process process(std::move(settings.value()), options.log);
    const auto result = process.run();
    return result.has_error() ? fail(result.error()) : 0;
}

} // namespace wisteria
