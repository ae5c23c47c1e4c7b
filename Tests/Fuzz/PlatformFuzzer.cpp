// Feeds arbitrary bytes to the decoders of data that comes from the store, backend servers, callers
// and other processes. They must not crash, and a decoded message must stay the same when it is
// encoded and decoded again.

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

void decodeDocuments(const std::string &text)
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

void checkMessageRoundTrip(const std::string &text)
{
    const auto message = decodeMessage(text);
    if (message.has_error())
        return;
    const std::string wire = encodeMessage(message.value());
    const auto decodedAgain = decodeMessage(wire);
    if (decodedAgain.has_error() || encodeMessage(decodedAgain.value()) != wire)
        std::abort();
}

/// Reads requests in two pieces, as they may arrive from the network.
void readRequests(const std::string &text)
{
    RequestReader reader([] { return HttpLimits{.headerBytes = 2048, .bodyBytes = 2048}; });
    reader.feed(text.substr(0, text.size() / 2));
    reader.feed(text.substr(text.size() / 2));
    for (int i = 0; i < 8 && reader.complete(); ++i)
        (void)platform::decodeCallerRequest(reader.takeRequest());
}

void readResponse(const std::string &text)
{
    ResponseReader reader(
        {.head = [](const HttpResponseHead &head) { (void)platform::decodeAnswerHead(head); },
         .body = [](std::string_view) {},
         .complete = [] {},
         .malformed = [](AnswerFault) {}},
        false);
    reader.feed(text.substr(0, text.size() / 2));
    reader.feed(text.substr(text.size() / 2));
    reader.feedEnd();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    decodeDocuments(text);
    checkMessageRoundTrip(text);
    readRequests(text);
    readResponse(text);
    EventSplitter splitter;
    (void)splitter.feed(text);
    return 0;
}
