#pragma once

#include <memory>

#include "Process/Error.h"
#include "Process/EventLog.h"
#include "platform/ProcessSettings.h"

namespace wisteria {

/// The gateway process: accepts callers' requests, watches the store, forwards the requests to
/// backend servers and returns their answers.
class Gateway
{
public:
    /// Checks that the settings contain everything that the process needs.
    /// @return An error of kind BadSettings that names the missing setting.
    static Result<void> check(const platform::ProcessSettings &settings);

    explicit Gateway(platform::ProcessSettings settings, const LogSettings &log = {});
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Runs until SIGTERM or SIGINT. Then it accepts callers for some seconds more, and ends with
    /// the last connection or just before the end of the grace period.
    /// @return An error if the settings are incomplete or a socket can't be opened.
    Result<void> run();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
