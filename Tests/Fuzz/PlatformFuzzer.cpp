// Bytes of the store, of backend servers, of callers and of other processes must never crash the
// decoders, whoever wrote them; what is taken for a message must come out the same when it is sent
// on.

#include <cstdint>
#include <cstdlib>
#include <string>

#include "Connection/HttpReader.h"
#include "Request/EventSplitter.h"
#include "Version/GroupMessages.h"
#include "platform/ConfigurationCodec.h"
#include "platform/ProcessSettings.h"
#include "platform/RankCodec.h"
#include "platform/RequestCodec.h"
#include "platform/StoreCodec.h"

using namespace wisteria;

namespace {

void decodeAnswers(const std::string &text)
{
    HttpResponse response;
    response.head.status = 200;
    response.body = text;
    (void)platform::decodeLogRead(response, 0);
    (void)platform::decodeNewest(response);
    (void)platform::decodeReport(response);
    (void)platform::decodeExpertCounts(response);
    (void)platform::decodeRankExperts(response);
    (void)platform::decodeConfiguration(text);
    (void)platform::decodeBackendEntry("i", text);
    (void)platform::parseProcessSettings(text);
}

void decodeMessageTwice(const std::string &text)
{
    const auto message = decodeMessage(text);
    if (message.has_error())
        return;
    const std::string wire = encodeMessage(message.value());
    const auto again = decodeMessage(wire);
    if (again.has_error() || encodeMessage(again.value()) != wire)
        std::abort();
}

/// Reads requests in two pieces, as they may come from the network.
void readRequests(const std::string &text)
{
    RequestReader reader({.headerBytes = 2048, .bodyBytes = 2048});
    reader.feed(text.substr(0, text.size() / 2));
    reader.feed(text.substr(text.size() / 2));
    for (int i = 0; i < 8 && reader.complete(); ++i)
        (void)platform::decodeCallerRequest(reader.take());
}

void readResponse(const std::string &text)
{
    ResponseReader reader(
        {.head = [](const HttpResponseHead &head) { (void)platform::decodeAnswerHead(head); },
         .body = [](std::string_view) {},
         .complete = [] {},
         .malformed = [](const std::string &) {}},
        false);
    reader.feed(text.substr(0, text.size() / 2));
    reader.feed(text.substr(text.size() / 2));
    reader.feedEnd();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    decodeAnswers(text);
    decodeMessageTwice(text);
    readRequests(text);
    readResponse(text);
    EventSplitter splitter;
    (void)splitter.feed(text);
    return 0;
}
