#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteria {

/// One header field, in the message's spelling.
struct HttpField
{
    std::string name;
    std::string value;
};

using HttpFields = std::vector<HttpField>;

/// Compares field names, ignoring case.
bool sameFieldName(std::string_view a, std::string_view b);

/// Returns the value of the first field with the name, or null.
const std::string *findField(const HttpFields &fields, std::string_view name);

/// Whether a comma-separated list field contains the token. Ignores the case of both.
bool fieldHasToken(const HttpFields &fields, std::string_view name, std::string_view token);

/// Whether the body of a message is in a transfer coding other than "chunked", or one that its
/// version of HTTP does not have. Its recipients may see different bodies.
/// @param version 10 or 11.
bool hasOtherTransferCoding(const HttpFields &fields, int version);

/// Whether the field is hop-by-hop or frames the body, and so is never forwarded.
bool isConnectionField(std::string_view name);

struct HttpRequest
{
    std::string method;
    std::string target;
    /// 10 or 11.
    int version = 11;
    HttpFields fields;
    std::string body;
    /// Whether the connection may be reused after this request.
    bool keepAlive = true;
};

struct HttpResponseHead
{
    int status = 0;
    std::string reason;
    HttpFields fields;
    bool keepAlive = true;
    /// Whether the message itself marks the end of its body. Otherwise the end of the connection
    /// does.
    bool selfDelimited = true;
};

struct HttpResponse
{
    HttpResponseHead head;
    std::string body;
};

/// Returns the standard reason phrase of a status.
const char *reasonOf(int status);

/// Serialises a response. It has a Content-Length and the body if its status allows one.
/// @param isHeadRequest Whether the request was a HEAD. Its response has neither, as the length
/// would be that of the body which the same GET gets.
std::string responseText(int status, const HttpFields &fields, std::string_view body,
                         bool keepAlive, bool isHeadRequest = false);

/// Serialises the head of a response with a chunked body.
std::string chunkedHeadText(int status, const HttpFields &fields, bool keepAlive);

/// Serialises one chunk of a body. The bytes must not be empty: an empty chunk ends the body.
std::string chunkText(std::string_view bytes);

/// Last chunk, which ends a chunked body.
inline constexpr std::string_view lastChunkText = "0\r\n\r\n";

} // namespace wisteria
