#pragma once

#include <array>
#include <string>
#include <string_view>

#include <nghttp2/nghttp2.h>

namespace wisteria {

/// Makes an HTTP/2 header that refers to the given texts, which must outlive it.
inline nghttp2_nv http2Header(std::string_view name, std::string_view value)
{
    nghttp2_nv header{};
    header.name = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
    header.namelen = name.size();
    header.value = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    header.valuelen = value.size();
    return header;
}

/// The headers of a request to a peer. Must not outlive the constructor's arguments.
class RequestHeaders
{
public:
    RequestHeaders(std::string_view path, std::string_view authority)
        : headers_{http2Header(":method", "POST"), http2Header(":scheme", "http"),
                   http2Header(":authority", authority), http2Header(":path", path)}
    { }

    const nghttp2_nv *data() const { return headers_.data(); }
    std::size_t size() const { return headers_.size(); }

private:
    std::array<nghttp2_nv, 4> headers_;
};

} // namespace wisteria
