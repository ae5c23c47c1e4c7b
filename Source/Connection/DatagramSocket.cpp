#include "Connection/DatagramSocket.h"

#include <array>
#include <utility>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Dgram.h>

namespace wisteria {

namespace {

/// Size of the receive buffer in bytes; no UDP datagram is larger.
constexpr std::size_t datagramBytes = 65536;
/// Datagrams received before other events get their turn. A flood of them would starve connections
/// and timers.
constexpr int maxDatagramsPerTurn = 64;

} // namespace

class DatagramSocket::Private
{
public:
    EventLoop &loop_;
    Received received_;
    ACE_SOCK_Dgram socket_;

    void read()
    {
        static thread_local std::array<char, datagramBytes> buffer;
        ACE_INET_Addr from;
        for (int i = 0; i < maxDatagramsPerTurn; ++i) {
            const ssize_t count = socket_.recv(buffer.data(), buffer.size(), from);
            if (count < 0)
                return;
            received_({from.get_ip_address(), from.get_port_number()},
                      std::string_view(buffer.data(), static_cast<std::size_t>(count)));
        }
    }
};

DatagramSocket::DatagramSocket(EventLoop &loop, Received received)
    : private_(new Private{loop, std::move(received), {}})
{ }

DatagramSocket::~DatagramSocket()
{
    if (private_->socket_.get_handle() == ACE_INVALID_HANDLE)
        return;
    private_->loop_.unwatch(private_->socket_.get_handle());
    private_->socket_.close();
}

Result<void> DatagramSocket::open(const Endpoint &address)
{
    const ACE_INET_Addr local(address.port, address.ip);
    if (private_->socket_.open(local, PF_INET, 0, 1) == -1) {
        return failure(ErrorKind::BadSettings,
                       "can't receive datagrams on " + toText(address)
                           + "; check that the address is this VM's and "
                             "that no other process has the port");
    }
    private_->socket_.enable(ACE_NONBLOCK);
    private_->loop_.watch(private_->socket_.get_handle(), Interest{.read = true},
                          [this](Interest) { private_->read(); });
    return boost::outcome_v2::success();
}

void DatagramSocket::send(const Endpoint &to, std::string_view bytes)
{
    const ACE_INET_Addr address(to.port, to.ip);
    private_->socket_.send(bytes.data(), bytes.size(), address);
}

} // namespace wisteria
