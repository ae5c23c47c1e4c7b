#pragma once

#include <memory>

#include "Process/Error.h"
#include "Process/EventLog.h"
#include "platform/ProcessSettings.h"

namespace wisteria {

/// The process that takes callers' requests: listens, follows the store, routes and answers.
class Gateway
{
public:
    /// Checks that the settings name all that the process needs.
    /// @return BadSettings that names what is missing.
    static Result<void> check(const platform::ProcessSettings &settings);

    explicit Gateway(platform::ProcessSettings settings, const LogSettings &log = {});
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Runs until it is told to stop and its requests have ended.
    Result<void> run();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
