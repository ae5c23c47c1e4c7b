#include "Gateway/ScriptedAnswers.h"

#include <sstream>

namespace wisteria::gateway_tests {

std::string ownFields(const SeenRequest &request)
{
    return std::string(seal)
        + "Wisteriawind-Attempt-Id: " + request.header("Wisteriawind-Attempt-Id") + "\r\n";
}

std::string sealed(const SeenRequest &request, int status, const std::string &body)
{
    return plainResponse(status, ownFields(request), body);
}

std::string headWithoutLength(const SeenRequest &request, int status,
                              const std::string &contentType)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: " + contentType + "\r\n"
        + ownFields(request) + "Connection: close\r\n\r\n";
}

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece" + std::to_string(id) + "\n\n";
}

std::string streamHead(const SeenRequest &request)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + ownFields(request)
        + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

} // namespace wisteria::gateway_tests
