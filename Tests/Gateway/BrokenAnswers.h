#pragma once

#include <string>
#include <vector>

#include "Gateway/ScriptedServer.h"

namespace wisteria::gateway_tests {

/// What a server in trouble does to the connection after its broken answer.
enum class AfterAnswer { Keep, Close, Reset };

/// An answer that breaks a rule of HTTP, or breaks off.
struct BrokenAnswer
{
    std::string name;
    /// The bytes of the answer. "@" stands for the fields of a server's own answer to the request.
    std::string bytes;
    AfterAnswer after = AfterAnswer::Keep;
};

/// Answers whose status is not that of a final answer.
const std::vector<BrokenAnswer> &answersWithImpossibleStatus();
/// Answers with a head that is no list of fields.
const std::vector<BrokenAnswer> &answersWithBadFields();
/// Answers that end within their head.
const std::vector<BrokenAnswer> &answersThatEndInHead();
/// Answers whose body has no readable end.
const std::vector<BrokenAnswer> &answersWithBadFraming();
/// Answers in a transfer coding that the gateway did not ask for.
const std::vector<BrokenAnswer> &answersInOtherCodings();
/// All of the above.
std::vector<BrokenAnswer> allBrokenAnswers();

/// The bytes of a broken answer to a request.
std::string bytesFor(const BrokenAnswer &answer, const SeenRequest &request);

/// Sends a broken answer.
void sendBroken(const BrokenAnswer &answer, const SeenRequest &request, ScriptPeer &peer);

} // namespace wisteria::gateway_tests
