#pragma once

#include <memory>
#include <string>

#include <spdlog/logger.h>

#include "Process/Error.h"

namespace wisteria {

/// How log lines are written.
enum class LogFormat { Text, Json };

/// Sets the level ("trace" to "error") and format of every logger of the process.
/// @return BadSettings for an unknown level.
Result<void> setUpLogging(const std::string &level, LogFormat format);

/// The logger of one part of the program; its lines begin with the part's name and a colon.
std::shared_ptr<spdlog::logger> loggerFor(const std::string &part);

} // namespace wisteria
