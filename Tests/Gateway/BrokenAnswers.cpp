#include "Gateway/BrokenAnswers.h"

#include "Gateway/ScriptedAnswers.h"

namespace wisteria::gateway_tests {

namespace {

/// The body of the answers: an event, so that it would also be a whole stream.
const std::string event = "data: x\n\n";
const std::string soundHead = "HTTP/1.1 200 OK\r\n@";
const std::string wholeBody = "Content-Length: 9\r\n\r\n" + event;
const std::string wholeChunks = "9\r\n" + event + "\r\n0\r\n\r\n";

BrokenAnswer withStatus(const std::string &status)
{
    return {"status " + status, "HTTP/1.1 " + status + " X\r\n@" + wholeBody};
}

BrokenAnswer withBody(const std::string &name, const std::string &fieldsAndBody,
                      AfterAnswer after = AfterAnswer::Keep)
{
    return {name, soundHead + fieldsAndBody, after};
}

/// An answer in chunks with a Transfer-Encoding of this value.
BrokenAnswer inCoding(const std::string &value)
{
    return {"Transfer-Encoding: " + value,
            soundHead + "Transfer-Encoding: " + value + "\r\n\r\n" + wholeChunks,
            AfterAnswer::Close};
}

} // namespace

const std::vector<BrokenAnswer> &answersWithImpossibleStatus()
{
    static const std::vector<BrokenAnswer> answers = {
        withStatus("000"),
        withStatus("001"),
        withStatus("099"),
        withStatus("600"),
        withStatus("999"),
        withStatus("199"),
        {"status 000 without a body", "HTTP/1.1 000 X\r\n@Content-Length: 0\r\n\r\n"},
        {"status 000 and a close", "HTTP/1.1 000 X\r\n@\r\n" + event, AfterAnswer::Close},
        {"status 000 in chunks",
         "HTTP/1.1 000 X\r\n@Transfer-Encoding: chunked\r\n\r\n" + wholeChunks},
        {"status 000 behind a 100", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\n@" + wholeBody},
        {"a switch of protocols",
         "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"},
        {"status of two digits", "HTTP/1.1 20 OK\r\n@" + wholeBody},
        {"status of four digits", "HTTP/1.1 2000 OK\r\n@" + wholeBody},
        {"status with a letter", "HTTP/1.1 2x0 OK\r\n@" + wholeBody},
        {"status with a sign", "HTTP/1.1 +20 OK\r\n@" + wholeBody},
        {"negative status", "HTTP/1.1 -20 OK\r\n@" + wholeBody},
        {"no status", "HTTP/1.1  OK\r\n@" + wholeBody},
        {"no status and no reason", "HTTP/1.1\r\n@" + wholeBody},
        {"another version", "HTTP/2.0 200 OK\r\n@" + wholeBody},
        {"another protocol", "ICY 200 OK\r\n@" + wholeBody},
        {"a control byte in the reason", "HTTP/1.1 200 O\x01K\r\n@" + wholeBody},
    };
    return answers;
}

const std::vector<BrokenAnswer> &answersInOtherCodings()
{
    static const std::vector<BrokenAnswer> answers = {
        inCoding("chunked, zap"),
        inCoding("zap"),
        inCoding(""),
        inCoding(","),
        inCoding("gzip, chunked"),
        inCoding("chunked, chunked"),
        inCoding("identity"),
        inCoding("zap\r\nTransfer-Encoding: chunked"),
        inCoding("chunked\r\nTransfer-Encoding: chunked"),
        {"chunks in HTTP/1.0",
         "HTTP/1.0 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n" + wholeChunks,
         AfterAnswer::Close},
        withBody("another coding beside a length",
                 "Transfer-Encoding: zap\r\nContent-Length: 9\r\n\r\n" + event),
    };
    return answers;
}

std::string bytesFor(const BrokenAnswer &answer, const SeenRequest &request)
{
    const std::string type =
        request.target().starts_with("/stream/") ? "Content-Type: text/event-stream\r\n" : "";
    std::string bytes = answer.bytes;
    const std::size_t at = bytes.find('@');
    if (at != std::string::npos)
        bytes.replace(at, 1, ownFields(request) + type);
    return bytes;
}

void sendBroken(const BrokenAnswer &answer, const SeenRequest &request, ScriptPeer &peer)
{
    const std::string bytes = bytesFor(answer, request);
    if (!bytes.empty())
        peer.send(bytes);
    if (answer.after == AfterAnswer::Close)
        peer.close();
    else if (answer.after == AfterAnswer::Reset)
        peer.reset();
}

} // namespace wisteria::gateway_tests
