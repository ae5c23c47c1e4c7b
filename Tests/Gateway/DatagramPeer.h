#pragma once

#include <string>
#include <variant>
#include <vector>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "Process/Time.h"
#include "Version/GroupMessages.h"

namespace wisteria::gateway_tests {

/// A socket that acts as another process of the system towards the process under test.
class DatagramPeer
{
public:
    /// @param ip Address of the VM that it acts for; the port is that of the process under test.
    DatagramPeer(std::uint32_t ip, const Endpoint &underTest)
        : descriptor_(::socket(AF_INET, SOCK_DGRAM, 0))
    {
        const sockaddr_in own = addressOf({ip, underTest.port});
        const sockaddr_in other = addressOf(underTest);
        REQUIRE(::bind(descriptor_, reinterpret_cast<const sockaddr *>(&own), sizeof(own)) == 0);
        REQUIRE(::connect(descriptor_, reinterpret_cast<const sockaddr *>(&other), sizeof(other))
                == 0);
    }

    ~DatagramPeer() { ::close(descriptor_); }
    DatagramPeer(const DatagramPeer &) = delete;
    DatagramPeer &operator=(const DatagramPeer &) = delete;

    void send(const GroupMessage &message) const { sendBytes(encodeMessage(message)); }

    void sendBytes(const std::string &bytes) const
    {
        ::send(descriptor_, bytes.data(), bytes.size(), 0);
    }

    /// Receives for the whole time given.
    /// @return The messages of one type; all others are dropped.
    template <typename Message> std::vector<Message> receiveWithin(milliseconds time) const
    {
        std::vector<Message> received;
        const TimePoint end = monotonicNow() + time;
        for (TimePoint now = monotonicNow(); now < end; now = monotonicNow()) {
            pollfd wanted{descriptor_, POLLIN, 0};
            if (::poll(&wanted, 1, static_cast<int>((end - now) / milliseconds(1)) + 1) <= 0)
                continue;
            char bytes[65536];
            const ssize_t size = ::recv(descriptor_, bytes, sizeof(bytes), 0);
            if (size <= 0)
                continue;
            const auto message = decodeMessage({bytes, static_cast<std::size_t>(size)});
            if (message.has_value() && std::holds_alternative<Message>(message.value()))
                received.push_back(std::get<Message>(message.value()));
        }
        return received;
    }

    /// Like receiveWithin(), but returns only the number of messages.
    template <typename Message> std::size_t countWithin(milliseconds time) const
    {
        return receiveWithin<Message>(time).size();
    }

private:
    static sockaddr_in addressOf(const Endpoint &endpoint)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(endpoint.ip);
        return address;
    }

    int descriptor_;
};

} // namespace wisteria::gateway_tests
