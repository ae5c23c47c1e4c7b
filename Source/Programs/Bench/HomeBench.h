#pragma once

#include <cstdint>
#include <functional>

#include <nlohmann/json.hpp>

#include "Process/Time.h"

namespace wisteria {

/// The way taken: a key's home remembers it. Drives the gate's own code.
struct HomeRecipe
{
    /// Keyed requests a second at one home.
    double requestsPerSecond = 4.2;
    /// Backend servers of the service.
    std::uint32_t servers = 300;
};

/// What a home refuses around its own restart and around a change of homes, in virtual time.
nlohmann::json replayHomeChanges(const HomeRecipe &recipe);

/// Cost of a keyed request at the gate, and memory of a remembered key.
/// @param keys Keys to send.
/// @param clock Reads the machine's clock; a measurement is no decision.
nlohmann::json measureGate(std::uint32_t keys, const std::function<TimePoint()> &clock);

} // namespace wisteria
