#pragma once

#include <string>
#include <vector>

#include "Gateway/ScriptedServer.h"

namespace wisteria::gateway_tests {

/// What a server does to the connection after its answer.
enum class AfterAnswer { Keep, Close, Reset };

/// The bytes of an answer.
struct RawAnswer
{
    std::string name;
    /// The bytes of the answer. "@" stands for the fields of a server's own answer to the request.
    std::string bytes;
    AfterAnswer after = AfterAnswer::Keep;
};

/// Answers whose status is not that of a final answer.
const std::vector<RawAnswer> &answersWithImpossibleStatus();
/// Answers with a head that is no list of fields.
const std::vector<RawAnswer> &answersWithBadFields();
/// Answers that end within their head.
const std::vector<RawAnswer> &answersThatEndInHead();
/// Answers whose body has no readable end.
const std::vector<RawAnswer> &answersWithBadFraming();
/// Answers in a transfer coding that the gateway did not ask for.
const std::vector<RawAnswer> &answersInOtherCodings();
/// All of the above of which nothing can be read before they break a rule.
const std::vector<RawAnswer> &answersWithBrokenHead();
/// All of the above.
std::vector<RawAnswer> allBrokenAnswers();

/// Unusual answers with status 200 that break no rule.
const std::vector<RawAnswer> &soundAnswers();
/// The body of each sound answer.
extern const std::string soundBody;

/// The bytes of an answer to a request.
std::string bytesFor(const RawAnswer &answer, const SeenRequest &request);

/// Sends an answer.
void sendBytes(const RawAnswer &answer, const SeenRequest &request, ScriptPeer &peer);

} // namespace wisteria::gateway_tests
