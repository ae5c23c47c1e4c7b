// Feeds arbitrary bytes to the reader of answers. What it takes for an answer must keep the rules
// of HTTP, and must not depend on the parts in which the bytes arrive.

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>

#include "Connection/HttpReader.h"
#include "platform/RequestCodec.h"

using namespace wisteria;

namespace {

struct Outcome
{
    int status = 0;
    std::string body;
    bool whole = false;
    bool failed = false;

    bool operator==(const Outcome &) const = default;
};

bool isControl(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return (code < 0x20 && character != '\t') || code == 0x7f;
}

bool isNameCharacter(char character)
{
    constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{} \t";
    return character > ' ' && character < 0x7f
        && separators.find(character) == std::string_view::npos;
}

bool isField(const HttpField &field)
{
    return !field.name.empty() && std::ranges::all_of(field.name, isNameCharacter)
        && std::ranges::none_of(field.value, isControl);
}

void checkHead(const HttpResponseHead &head)
{
    const bool isFinal = head.status >= 200 && head.status <= 599;
    const std::string *coding = findField(head.fields, "Transfer-Encoding");
    const bool isReadable = coding == nullptr || sameFieldName(*coding, "chunked");
    if (!isFinal || !isReadable || !std::ranges::all_of(head.fields, isField))
        std::abort();
}

Outcome read(std::string_view bytes, std::size_t partBytes, bool isHeadRequest)
{
    Outcome outcome;
    ResponseReader reader({.head =
                               [&outcome](const HttpResponseHead &head) {
                                   checkHead(head);
                                   (void)platform::decodeAnswerHead(head);
                                   outcome.status = head.status;
                               },
                           .body = [&outcome](std::string_view part) { outcome.body += part; },
                           .complete = [&outcome] { outcome.whole = true; },
                           .malformed = [&outcome](AnswerFault) { outcome.failed = true; }},
                          isHeadRequest);
    for (std::size_t at = 0; at < bytes.size() && !outcome.failed; at += partBytes)
        reader.feed(bytes.substr(at, partBytes));
    if (!outcome.failed)
        reader.feedEnd();
    if (outcome.whole == outcome.failed)
        std::abort();
    // What came before a rule was broken depends on the parts.
    return outcome.failed ? Outcome{.failed = true} : outcome;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    for (const bool isHeadRequest : {false, true}) {
        const Outcome atOnce = read(text, size + 1, isHeadRequest);
        if (read(text, 1, isHeadRequest) != atOnce || read(text, 7, isHeadRequest) != atOnce)
            std::abort();
    }
    (void)isFieldLine(text);
    return 0;
}
