#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "Process/Endpoint.h"

namespace wisteria {

/// One send of a message to many engines' sidecars: to the first, which passes it on to the rest.
struct RelayBranch
{
    Endpoint first;
    std::vector<Endpoint> rest;
};

/// Engines that one sidecar passes a message on to, itself included. With 72 ranks the leader then
/// sends nine messages and each relay seven: the two stages take the least link time together.
constexpr std::size_t branchSize = 8;

/// Bytes that a sender hands to its own link at most before relays pay. A VM's link has 8 Mbit/s on
/// the larger deployments, where this takes 16 ms.
constexpr std::size_t directBytes = 16384;

/// Splits the receivers of a message into branches. A message of few bytes in all goes to each
/// receiver directly.
/// @param engines The ones that were heard of last come first: they are the relays, as one that is
/// gone costs its whole branch a resend. Neighbouring addresses, which are mostly in one failure
/// domain, share a branch.
inline std::vector<RelayBranch> relayPlan(std::vector<Endpoint> engines, std::size_t messageBytes)
{
    const bool direct = engines.size() * messageBytes <= directBytes;
    const std::size_t size = direct ? 1 : branchSize;
    const std::size_t count = (engines.size() + size - 1) / size;
    const auto relays = engines.begin() + static_cast<std::ptrdiff_t>(count);
    std::sort(engines.begin(), relays);
    std::sort(relays, engines.end());
    std::vector<RelayBranch> branches;
    for (auto relay = engines.begin(); relay != relays; ++relay)
        branches.push_back({*relay, {}});
    const std::size_t others = engines.size() - count;
    for (std::size_t i = 0; i < others; ++i)
        branches[i * count / others].rest.push_back(engines[count + i]);
    return branches;
}

} // namespace wisteria
