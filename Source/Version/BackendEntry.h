#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Process/Endpoint.h"
#include "Process/Time.h"

namespace wisteria {

/// What a backend server says of itself in the list of backend servers.
struct BackendEntry
{
    std::string id;
    std::string service;
    Endpoint address;
    std::string failureDomain;
    /// Requests that it processes at once.
    std::uint32_t slots = 1;
    /// It takes no new work and will end.
    bool draining = false;
    /// How much longer it stays slow after its start.
    milliseconds coldFor{0};
    /// Moment of its start. It may start again under the same id, and knows nothing of before.
    std::uint64_t startedAt = 0;
    /// Offset of the record that says this, in the log of the list; later ones are higher.
    std::optional<std::uint64_t> recordedAt{};
};

} // namespace wisteria
