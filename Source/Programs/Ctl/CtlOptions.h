#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Process/Error.h"
#include "Process/Time.h"

namespace wisteria::ctl {

/// Exit codes of wisteriactl.
enum ExitCode {
    ExitDone = 0, ///< Done; a change is in force.
    ExitUsage = 1, ///< Wrong command line or file; nothing was sent.
    ExitRefused = 2, ///< Refused; nothing changed.
    ExitNotYetKnown = 3, ///< The change may still be accepted; query it with `outcome`.
    ExitUnreachable = 4, ///< No answer. No change was sent; a cancel may have taken effect.
    ExitNotEverywhere = 5, ///< A process lags or is silent, or the log can't be read or followed.
    ExitNeedsConfirmation = 6, ///< Held back until confirmed by the digest that was printed.
};

/// The parsed command line.
struct Options
{
    std::string command;
    /// Arguments after the command: a file, a kind and name, a change id, a version.
    std::vector<std::string> arguments;
    std::string admin;
    std::string tokenFile;
    std::string caFile;
    std::string who;
    std::string why;
    std::string changeId;
    std::string confirm;
    milliseconds timeout{10000};
    std::uint32_t limit = 50;
    bool json = false;
    bool cancel = false;
    bool watch = false;
};

/// Description of a command for the help text and for completion.
struct CommandHelp
{
    const char *name;
    const char *arguments;
    const char *text;
};

/// Every command, in the order of the help text.
const std::vector<CommandHelp> &commands();

/// The help text.
std::string helpText();

/// A completion script for bash.
std::string completionScript();

/// Parses the command line.
/// @return BadInput with a remedy when it is invalid.
Result<Options> parseOptions(const std::vector<std::string> &arguments);

} // namespace wisteria::ctl
