#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Process/Time.h"

namespace wisteria {

/// What a backend server said last of how many requests it takes from all gateways together.
struct AdvertisedLimit
{
    /// Requests a second; nothing when it names no limit.
    std::optional<double> perSecond{};
    TimePoint receivedAt{};
};

/// Takes in a word, unless a later one is known.
/// @return Whether that changes the limit.
bool updateLimit(AdvertisedLimit &known, const AdvertisedLimit &advertised);

/// One gateway's part in the limit of a backend server. A plain value.
///
/// The limit binds all gateways together, so what one may send of it is permitted by the one
/// process that keeps it. Shares that are set once leave a server idle that one gateway's callers
/// need, and a whole request for each of many gateways is more than a small limit allows.
struct ServerLimit
{
    AdvertisedLimit advertised;
    /// Requests that may be sent there, until a moment.
    std::uint32_t permits = 0;
    TimePoint permitsUntil;
    /// Until when a permit is asked for.
    TimePoint wantedUntil;
    /// The keeper has not been told the word yet that changed the limit.
    bool ownerNotInformed = false;
    /// No further question before this moment.
    TimePoint nextRequestAt;
    /// When the keeper expects to have a request to grant, for whoever asks first.
    TimePoint nextPermitAt;
    /// Questions so far, and whether the last one is unanswered. An answer to an earlier one, or
    /// one that comes twice, permits nothing.
    std::uint32_t requestNumber = 0;
    bool awaitingReply = false;
    TimePoint requestedAt;
};

/// Of all backend servers that ever named a limit, by id.
using ServerLimits = std::map<std::string, ServerLimit>;

/// Takes in what a backend server said with an answer.
/// @return Whether that changes the limit.
bool noteAdvertisedLimit(ServerLimits &limits, const std::string &id,
                         const AdvertisedLimit &advertised);

/// Whether one more request may be sent to a backend server.
bool isPermitted(const ServerLimits &limits, const std::string &id, TimePoint now);

/// Uses up a permit for a request that is sent.
void consumePermit(ServerLimits &limits, const std::string &id, TimePoint now);

/// Has a permit asked for: a request would have gone there with one, and waits, or others are
/// likely to follow it. Not for one that is refused; its permit would be lost to all.
void markPermitWanted(ServerLimits &limits, const std::string &id, TimePoint now);

/// Backend servers that name a limit now.
std::size_t limitsInForce(const ServerLimits &limits);

/// What a gateway asks the keeper of a limit.
struct PermitRequest
{
    std::string server;
    /// One request is to be sent; else only the word is told.
    bool wanted = false;
    std::uint32_t number = 0;
    AdvertisedLimit advertised{};
};

/// What the keeper answers.
struct PermitReply
{
    std::string server;
    std::uint32_t number = 0;
    bool granted = false;
    /// When it is worth asking again.
    milliseconds nextIn{0};
    /// The latest word that the keeper knows.
    AdvertisedLimit advertised{};
};

/// A question about a backend server, where one is due.
std::optional<PermitRequest> nextPermitRequest(ServerLimits &limits, const std::string &id,
                                               TimePoint now);

/// Takes in what the keeper answered.
/// @return Whether a request may now be sent that could not be before.
bool applyPermitReply(ServerLimits &limits, const PermitReply &reply, TimePoint now);

/// Whether a word was heard so long ago that its server is gone, unless something else tells that
/// it is there.
bool isExpired(const AdvertisedLimit &advertised, TimePoint now);

/// A limit as its keeper has it. A plain value.
struct OwnedLimit
{
    AdvertisedLimit advertised;
    double tokens = 0;
    TimePoint refilledAt;
};

/// The limits that one gateway keeps, by the id of their backend server.
using OwnedLimits = std::map<std::string, OwnedLimit>;

/// Grants requests of all gateways within a limit.
///
/// It begins with nothing to grant: the gateways may have gone by another keeper until now, and
/// both together must not grant more than the limit.
PermitReply answerPermitRequest(OwnedLimit &owned, const PermitRequest &request, TimePoint now);

/// The same for a gateway that knows no other and grants itself its part of the limit.
/// @param share Its part.
/// @param randomUnit A number from 0 to below 1.
PermitReply answerWithoutPeers(OwnedLimit &owned, const PermitRequest &request, double share,
                               double randomUnit, TimePoint now);

/// Forgets limits that nobody asked for in long.
void forgetOldLimits(OwnedLimits &owned, TimePoint now);

} // namespace wisteria
