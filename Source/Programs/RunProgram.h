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

/// Exit code for settings that can't be used, and for a failed start.
inline constexpr int exitBadSettings = 2;

/// Options from the command line of a program.
struct ProgramOptions
{
    /// Port for scrapes on the VM's own address; 0 serves no metrics.
    std::uint16_t metricsPort = 0;
    LogSettings log{};
    /// Whether to check the settings and exit.
    bool check = false;
};

/// Name and purpose of a program.
struct ProgramInfo
{
    /// Prefix of messages on standard output and standard error.
    const char *name = "";
    const char *purpose = "";
};

/// Parses the command line. Exits the process if help is requested or an argument is invalid.
inline ProgramOptions parseOptions(const ProgramInfo &info, int argc, char **argv)
{
    TCLAP::CmdLine line(info.purpose, ' ', "0.2.0");
    TCLAP::ValueArg<std::uint16_t> port(
        "", "metrics-port", "Serve Prometheus metrics on this port of the VM, path /metrics", false,
        0, "port", line);
    const std::vector<std::string> levels = {"debug", "info", "warning", "error"};
    TCLAP::ValuesConstraint<std::string> oneLevel(const_cast<std::vector<std::string> &>(levels));
    TCLAP::ValueArg<std::string> level("", "log-level", "Lowest level of log lines to write", false,
                                       "info", &oneLevel, line);
    TCLAP::ValueArg<std::size_t> queue("", "log-queue",
                                       "Log lines queued for a slow reader, for each of successes "
                                       "and failures",
                                       false, LogSettings{}.queueCapacity, "lines", line);
    TCLAP::SwitchArg check("", "check", "Check the settings, report the result, and exit", line);
    line.parse(argc, argv);
    return {
        .metricsPort = port.getValue(),
        .log = {.minLevel = logLevelFromName(level.getValue()), .queueCapacity = queue.getValue()},
        .check = check.getValue()};
}

/// Loads the settings from the file that the platform names, and runs a process with them.
/// @return The exit code of the process.
template <typename Process> int runProgram(const ProgramInfo &info, int argc, char **argv)
{
    const ProgramOptions options = parseOptions(info, argc, argv);
    const auto fail = [&info](const Error &error) {
        std::cerr << info.name << ": " << error.message << std::endl;
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
        std::cout << info.name << ": the settings of " << settings.value().vmName << " can be used"
                  << std::endl;
        return 0;
    }
    Process process(std::move(settings.value()), options.log);
    const auto result = process.run();
    return result.has_error() ? fail(result.error()) : 0;
}

} // namespace wisteria
