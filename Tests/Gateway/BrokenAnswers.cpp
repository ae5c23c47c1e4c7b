#include "Gateway/BrokenAnswers.h"

#include "Gateway/ScriptedAnswers.h"

namespace wisteria::gateway_tests {

/// An event, so that it is also a whole stream.
const std::string soundBody = "data: x\n\n";

namespace {

using namespace std::string_literals;

const std::string &event = soundBody;

const std::string soundHead = "HTTP/1.1 200 OK\r\n@";
const std::string wholeBody = "Content-Length: 9\r\n\r\n" + event;
const std::string wholeChunks = "9\r\n" + event + "\r\n0\r\n\r\n";

RawAnswer withStatus(const std::string &status)
{
    return {"status " + status, "HTTP/1.1 " + status + " X\r\n@" + wholeBody};
}

/// An answer with one more line in its head.
RawAnswer withLine(const std::string &name, const std::string &line)
{
    return {name, soundHead + line + "\r\n" + wholeBody};
}

RawAnswer withBody(const std::string &name, const std::string &fieldsAndBody,
                   AfterAnswer after = AfterAnswer::Keep)
{
    return {name, soundHead + fieldsAndBody, after};
}

/// An answer in chunks with a Transfer-Encoding of this value.
RawAnswer inCoding(const std::string &value)
{
    return {"Transfer-Encoding: " + value,
            soundHead + "Transfer-Encoding: " + value + "\r\n\r\n" + wholeChunks,
            AfterAnswer::Close};
}

std::vector<RawAnswer> endingInHead()
{
    const std::vector<std::pair<std::string, std::string>> places = {
        {"before the first byte", ""},
        {"in the version", "HTTP/1."},
        {"in the status", "HTTP/1.1 20"},
        {"after the status", "HTTP/1.1 200"},
        {"in the reason", "HTTP/1.1 200 O"},
        {"after the first line", "HTTP/1.1 200 OK\r\n"},
        {"in a name", "HTTP/1.1 200 OK\r\n@X-Mo"},
        {"in a value", "HTTP/1.1 200 OK\r\n@X-More: 1"},
        {"between lines", "HTTP/1.1 200 OK\r\n@"},
        {"within a line end", "HTTP/1.1 200 OK\r\n@X-More: 1\r"},
        {"after a length of 0", "HTTP/1.1 200 OK\r\n@Content-Length: 0\r\n"},
        {"after a length of 9", "HTTP/1.1 200 OK\r\n@Content-Length: 9\r\n"},
        {"within the last line end", "HTTP/1.1 200 OK\r\n@Content-Length: 0\r\n\r"},
        {"in a 204", "HTTP/1.1 204 No Content\r\n@"},
        {"in a 404", "HTTP/1.1 404 Not Found\r\n@"},
        {"before chunks", "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n"},
        {"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n@"},
    };
    std::vector<RawAnswer> answers;
    for (const auto &[place, bytes] : places) {
        answers.push_back({"ends " + place, bytes, AfterAnswer::Close});
        answers.push_back({"is reset " + place, bytes, AfterAnswer::Reset});
    }
    answers.push_back({"stops in its head", "HTTP/1.1 200 OK\r\n@X-More: 1", AfterAnswer::Keep});
    return answers;
}

std::vector<RawAnswer> joined(const std::vector<std::vector<RawAnswer>> &lists)
{
    std::vector<RawAnswer> all;
    for (const std::vector<RawAnswer> &list : lists)
        all.insert(all.end(), list.begin(), list.end());
    return all;
}

} // namespace

const std::vector<RawAnswer> &answersWithImpossibleStatus()
{
    static const std::vector<RawAnswer> answers = {
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

const std::vector<RawAnswer> &answersWithBadFields()
{
    static const std::vector<RawAnswer> answers = {
        withLine("blank in a name", "X More: 1"),
        withLine("blank before the colon", "X-More : 1"),
        withLine("tab in a name", "X\tMore: 1"),
        withLine("0x00 in a name", "X\0More: 1"s),
        withLine("0x01 in a name", "X\x01More: 1"),
        withLine("0x0b in a name", "X\x0bMore: 1"),
        withLine("0x7f in a name", "X\x7fMore: 1"),
        withLine("0xff in a name", "X\xffMore: 1"),
        withLine("bare CR in a name", "X\rMore: 1"),
        withLine("no name", ": 1"),
        withLine("bracket in a name", "X(More): 1"),
        withLine("no colon", "X-More"),
        withLine("blank in Content-Length", "Content Length: 5"),
        withLine("blank after Content-Length", "Content-Length : 5"),
        withLine("blank after Transfer-Encoding", "Transfer-Encoding : chunked"),
        withLine("0x01 in Transfer-Encoding", "Transfer\x01-Encoding: chunked"),
        withLine("blank after the seal", "Wisteriawind-Response-Seal : other"),
        withLine("0x00 in a value", "X-More: 1\0002"s),
        withLine("0x01 in a value", "X-More: 1\x01"),
        withLine("0x7f in a value", "X-More: 1\x7f"),
        withLine("bare CR in a value", "X-More: 1\r2"),
        {"a blank before the first field", "HTTP/1.1 200 OK\r\n X-More: 1\r\n@" + wholeBody},
        {"line ends without CR", "HTTP/1.1 200 OK\n@Content-Length: 9\n\n" + event},
        {"bad name of an interim answer",
         "HTTP/1.1 103 Early Hints\r\nX More: 1\r\n\r\nHTTP/1.1 200 OK\r\n@" + wholeBody},
    };
    return answers;
}

const std::vector<RawAnswer> &answersThatEndInHead()
{
    static const std::vector<RawAnswer> answers = endingInHead();
    return answers;
}

const std::vector<RawAnswer> &answersWithBadFraming()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    static const std::vector<RawAnswer> answers = {
        withBody("two lengths", "Content-Length: 9\r\nContent-Length: 10\r\n\r\n" + event + "!"),
        withBody("a list of lengths", "Content-Length: 9, 10\r\n\r\n" + event + "!"),
        withBody("a negative length", "Content-Length: -9\r\n\r\n" + event),
        withBody("a signed length", "Content-Length: +9\r\n\r\n" + event),
        withBody("a huge length", "Content-Length: 99999999999999999999\r\n\r\n" + event),
        withBody("a hexadecimal length", "Content-Length: 0x9\r\n\r\n" + event),
        withBody("an empty length", "Content-Length:\r\n\r\n" + event),
        withBody("a length beside chunks",
                 "Content-Length: 9\r\n" + chunked + "\r\n" + wholeChunks),
        withBody("chunks beside a length", chunked + "Content-Length: 9\r\n\r\n" + wholeChunks),
        withBody("a chunk size that is no number",
                 chunked + "\r\nzz\r\n" + event + "\r\n0\r\n\r\n"),
        withBody("a negative chunk size", chunked + "\r\n-" + wholeChunks),
        withBody("a huge chunk size",
                 chunked + "\r\nfffffffffffffffff\r\n" + event + "\r\n0\r\n\r\n"),
        withBody("a chunk that is too long", chunked + "\r\n9\r\n" + event + "!\r\n0\r\n\r\n"),
        withBody("a body that ends early", "Content-Length: 20\r\n\r\n" + event,
                 AfterAnswer::Close),
        withBody("a body that is reset", "Content-Length: 20\r\n\r\n" + event, AfterAnswer::Reset),
        withBody("a last chunk that is missing", chunked + "\r\n9\r\n" + event + "\r\n",
                 AfterAnswer::Close),
        withBody("a chunk that ends early", chunked + "\r\n1f\r\n" + event, AfterAnswer::Close),
        withBody("trailers that end early", chunked + "\r\n9\r\n" + event + "\r\n0\r\nX-T: 1\r\n",
                 AfterAnswer::Close),
        withBody("bad name of a trailer",
                 chunked + "\r\n9\r\n" + event + "\r\n0\r\nX More: 1\r\n\r\n"),
    };
    return answers;
}

const std::vector<RawAnswer> &answersInOtherCodings()
{
    static const std::vector<RawAnswer> answers = {
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

const std::vector<RawAnswer> &answersWithBrokenHead()
{
    static const std::vector<RawAnswer> answers =
        joined({answersWithImpossibleStatus(), answersWithBadFields(), answersThatEndInHead(),
                answersInOtherCodings()});
    return answers;
}

std::vector<RawAnswer> allBrokenAnswers()
{
    return joined({answersWithBrokenHead(), answersWithBadFraming()});
}

const std::vector<RawAnswer> &soundAnswers()
{
    static const std::vector<RawAnswer> answers = {
        {"with a length", soundHead + wholeBody},
        {"in chunks", soundHead + "Transfer-Encoding: chunked\r\n\r\n" + wholeChunks},
        {"in chunks, spelt differently",
         soundHead + "transfer-encoding:CHUNKED \r\n\r\n" + wholeChunks},
        {"in two chunks with extensions and a trailer",
         soundHead
             + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\ndata\r\n005\r\n: x\n\n\r\n0\r\nX-T: "
               "1\r\n\r\n"},
        {"that ends with its connection", soundHead + "\r\n" + event, AfterAnswer::Close},
        {"in HTTP/1.0", "HTTP/1.0 200 OK\r\n@" + wholeBody},
        {"without a reason", "HTTP/1.1 200 \r\n@" + wholeBody},
        {"with empty, long and Latin-1 values",
         soundHead + "X-A:\r\nX-B: \r\nX-C: " + std::string(4000, 'c') + "\r\nX-D: \xe9\t\xff\r\n"
             + wholeBody},
        {"with all characters of names", soundHead + "!#$%&'*+-.^_`|~09az: 1\r\n" + wholeBody},
        {"with the same length twice",
         soundHead + "Content-Length: 9\r\nContent-Length: 9\r\n\r\n" + event},
        {"after interim answers",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" + soundHead
             + wholeBody},
    };
    return answers;
}

std::string bytesFor(const RawAnswer &answer, const SeenRequest &request)
{
    const std::string type =
        request.target().starts_with("/stream/") ? "Content-Type: text/event-stream\r\n" : "";
    std::string bytes = answer.bytes;
    const std::size_t at = bytes.find('@');
    if (at != std::string::npos)
        bytes.replace(at, 1, ownFields(request) + type);
    return bytes;
}

void sendBytes(const RawAnswer &answer, const SeenRequest &request, ScriptPeer &peer)
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
