#include "Connection/AnswerFault.h"

namespace wisteria {

namespace {

constexpr int firstInterimStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr int lastFinalStatus = 599;
constexpr int statusSwitchingProtocols = 101;
/// Number of interim answers to one request.
constexpr std::size_t maxInterimAnswers = 32;

} // namespace

const char *describe(AnswerFault fault)
{
    switch (fault) {
    case AnswerFault::StatusLine:
        return "the answer does not begin with a status line of HTTP/1";
    case AnswerFault::Status:
        return "the status of the answer is not between 200 and 599";
    case AnswerFault::Upgrade:
        return "the answer switches to another protocol, which was not asked for";
    case AnswerFault::Field:
        return "a line in the head or the trailers of the answer is not a field";
    case AnswerFault::Length:
        return "the length of the answer is not one number";
    case AnswerFault::TransferCoding:
        return "the answer has a transfer coding other than chunked, or a length beside it";
    case AnswerFault::Chunk:
        return "a chunk of the answer can't be read";
    case AnswerFault::EndedEarly:
        return "the connection ended in the middle of the answer";
    case AnswerFault::TooLong:
        return "a part of the answer is too long";
    case AnswerFault::TooSlow:
        return "the head of the answer did not arrive in time";
    }
    return "";
}

bool isUnending(AnswerFault fault)
{
    return fault == AnswerFault::TooLong || fault == AnswerFault::TooSlow;
}

bool isInterimStatus(int status)
{
    return status >= firstInterimStatus && status < firstFinalStatus;
}

std::optional<AnswerFault> faultOfInterim(int status, std::size_t count)
{
    if (status == statusSwitchingProtocols)
        return AnswerFault::Upgrade;
    if (count > maxInterimAnswers)
        return AnswerFault::TooLong;
    return std::nullopt;
}

std::optional<AnswerFault> faultOfFinalStatus(int status)
{
    if (status < firstFinalStatus || status > lastFinalStatus)
        return AnswerFault::Status;
    return std::nullopt;
}

std::optional<AnswerFault> faultOfFinalHead(int status, int version, const HttpFields &fields)
{
    if (const auto fault = faultOfFinalStatus(status))
        return fault;
    if (hasOtherTransferCoding(fields, version))
        return AnswerFault::TransferCoding;
    return std::nullopt;
}

} // namespace wisteria
