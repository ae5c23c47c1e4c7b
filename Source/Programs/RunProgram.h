#pragma once

#include <iostream>
#include <utility>

#include "platform/ProcessSettings.h"

namespace wisteria {

/// Exit code of a process whose settings can't be used.
inline constexpr int exitBadSettings = 2;

/// Reads the settings that the platform names, runs a process with them and tells its exit code.
/// @param name Stands before messages about settings that can't be used.
template <typename Process> int runProgram(const char *name)
{
    const auto fail = [name](const Error &error) {
        std::cerr << name << ": " << error.message << std::endl;
        return exitBadSettings;
    };
    auto settings = platform::loadProcessSettings();
    if (settings.has_error())
        return fail(settings.error());
    Process process(std::move(settings.value()));
    const auto result = process.run();
    return result.has_error() ? fail(result.error()) : 0;
}

} // namespace wisteria
