#include "Connection/HttpMessage.h"

#include <array>
#include <charconv>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace wisteria {

namespace {

constexpr std::array<std::string_view, 8> connectionFields = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
    "TE",         "Trailer",    "Content-Length",   "Upgrade"};

void appendFields(std::string &text, const HttpFields &fields)
{
    for (const HttpField &field : fields) {
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
}

/// Whether answers with the status can have a body. Others have no length either: it would be that
/// of a body which is not there (RFC 9110, section 8.6).
bool mayHaveBody(int status)
{
    constexpr int statusNoContent = 204;
    constexpr int statusNotModified = 304;
    return status != statusNoContent && status != statusNotModified;
}

std::string statusLine(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n";
}

} // namespace

bool sameFieldName(std::string_view a, std::string_view b)
{
    return boost::algorithm::iequals(a, b);
}

const std::string *findField(const HttpFields &fields, std::string_view name)
{
    for (const HttpField &field : fields) {
        if (sameFieldName(field.name, name))
            return &field.value;
    }
    return nullptr;
}

bool fieldHasToken(const HttpFields &fields, std::string_view name, std::string_view token)
{
    for (const HttpField &field : fields) {
        if (!sameFieldName(field.name, name))
            continue;
        boost::beast::http::token_list tokens(field.value);
        if (tokens.exists(boost::beast::string_view(token.data(), token.size())))
            return true;
    }
    return false;
}

bool hasOtherTransferCoding(const HttpFields &fields, int version)
{
    constexpr int versionWithChunks = 11;
    std::size_t codings = 0;
    for (const HttpField &field : fields) {
        if (!sameFieldName(field.name, "Transfer-Encoding"))
            continue;
        if (!sameFieldName(field.value, "chunked") || version < versionWithChunks || ++codings > 1)
            return true;
    }
    return false;
}

bool isConnectionField(std::string_view name)
{
    for (const std::string_view field : connectionFields) {
        if (sameFieldName(field, name))
            return true;
    }
    return false;
}

const char *reasonOf(int status)
{
    const auto text =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    return text.data();
}

std::string responseText(int status, const HttpFields &fields, std::string_view body,
                         bool keepAlive, bool isHeadRequest)
{
    std::string text = statusLine(status);
    appendFields(text, fields);
    const bool hasBody = mayHaveBody(status) && !isHeadRequest;
    if (hasBody)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    if (hasBody)
        text += body;
    return text;
}

std::string chunkedHeadText(int status, const HttpFields &fields, bool keepAlive)
{
    std::string text = statusLine(status);
    appendFields(text, fields);
    text += "Transfer-Encoding: chunked\r\n";
    text += keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    return text;
}

std::string chunkText(std::string_view bytes)
{
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    std::string text(size.data(), end);
    text.reserve(text.size() + bytes.size() + 4);
    text += "\r\n";
    text += bytes;
    text += "\r\n";
    return text;
}

} // namespace wisteria
