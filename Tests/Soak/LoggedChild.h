#pragma once

#include <string>

#include <sys/types.h>

namespace wisteria::soak {

/// Starts a program with its output appended to a file. It ends with the soak.
/// @param settings Path of its settings file.
pid_t startLogged(const std::string &program, const std::string &settings, const std::string &log);

} // namespace wisteria::soak
