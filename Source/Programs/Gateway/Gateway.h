#pragma once

#include <memory>

#include "Process/Error.h"
#include "platform/ProcessSettings.h"

namespace wisteria {

/// The process that takes callers' requests: listens, follows the store, routes and answers.
class Gateway
{
public:
    explicit Gateway(platform::ProcessSettings settings);
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
