#include "Process/Endpoint.h"

#include <charconv>

#include <arpa/inet.h>

namespace wisteria {

namespace {

auto badEndpoint(std::string_view text)
{
    return failure(ErrorKind::BadInput,
                   "'" + std::string(text)
                       + "' is not an address; write an IPv4 address and a "
                         "port, such as 10.1.0.40:8227");
}

} // namespace

Result<Endpoint> listenAddressFromText(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return badEndpoint(text);
    Endpoint endpoint;
    const std::string_view port = text.substr(colon + 1);
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (parsed.ec != std::errc() || parsed.ptr != port.data() + port.size())
        return badEndpoint(text);
    in_addr address{};
    if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address) != 1)
        return badEndpoint(text);
    endpoint.ip = ntohl(address.s_addr);
    return endpoint;
}

Result<Endpoint> endpointFromText(std::string_view text)
{
    auto endpoint = listenAddressFromText(text);
    if (endpoint.has_value() && endpoint.value().port == 0)
        return badEndpoint(text);
    return endpoint;
}

std::string toText(const Endpoint &endpoint)
{
    const in_addr address{htonl(endpoint.ip)};
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address, text, sizeof(text));
    return std::string(text) + ":" + std::to_string(endpoint.port);
}

} // namespace wisteria
