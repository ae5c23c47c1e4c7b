#pragma once

#include <memory>
#include <string>

#include <spdlog/logger.h>

#include "Process/Error.h"

namespace wisteria {

/// Output format of log lines.
enum class LogFormat { Text, Json };

/// Sets the level ("trace" to "error", or "off") and the format of all loggers of the process.
/// @return BadSettings for an unknown level.
Result<void> setUpLogging(const std::string &level, LogFormat format);

/// Returns the logger with this name, and creates it if needed. It writes to standard error; text
/// lines have the name and a colon before the message.
std::shared_ptr<spdlog::logger> loggerFor(const std::string &part);

} // namespace wisteria
