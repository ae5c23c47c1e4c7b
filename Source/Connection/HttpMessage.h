#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteria {

/// One header field as it stood in the message.
struct HttpField
{
    std::string name;
    std::string value;
};

using HttpFields = std::vector<HttpField>;

/// Compares field names, whose case does not count.
bool sameFieldName(std::string_view a, std::string_view b);

/// The value of the first field of that name, or null.
const std::string *findField(const HttpFields &fields, std::string_view name);

/// Whether a comma-separated list field holds the word; neither's case counts.
bool fieldHasWord(const HttpFields &fields, std::string_view name, std::string_view word);

/// Whether the field concerns one connection only and is never passed on.
bool isConnectionField(std::string_view name);

struct HttpRequest
{
    std::string method;
    std::string target;
    /// 10 or 11.
    int version = 11;
    HttpFields fields;
    std::string body;
    /// The connection may carry another request after this one.
    bool keepAlive = true;
};

struct HttpResponseHead
{
    int status = 0;
    std::string reason;
    HttpFields fields;
    bool keepAlive = true;
    /// The body's end shows in the message itself, not only in the end of the connection.
    bool framed = true;
};

struct HttpResponse
{
    HttpResponseHead head;
    std::string body;
};

/// The usual reason phrase of a status.
const char *reasonOf(int status);

/// A response with a length, as bytes.
std::string responseText(int status, const HttpFields &fields, std::string_view body,
                         bool keepAlive);

/// The head of a response whose body follows in chunks, as bytes.
std::string chunkedHeadText(int status, const HttpFields &fields, bool keepAlive);

/// One chunk of a body, as bytes. Must not be empty: that would end the body.
std::string chunkText(std::string_view bytes);

/// Ends a body in chunks.
inline constexpr std::string_view lastChunkText = "0\r\n\r\n";

} // namespace wisteria
