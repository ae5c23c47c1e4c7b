#include "Connection/BackendClient.h"

#include <map>
#include <optional>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <catch2/catch.hpp>

#include "Connection/ListenAddress.h"

using namespace wisteria;

namespace {

/// Answers its first request and closes the connection of every later one without an answer.
class CrashingBackend
{
public:
    explicit CrashingBackend(EventLoop &loop) : loop_(loop)
    {
        acceptor_.open(ACE_INET_Addr("127.0.0.1:0"), 1);
        loop_.watch(acceptor_.get_handle(), Interest{.read = true}, [this](Interest) { accept(); });
    }

    ~CrashingBackend()
    {
        loop_.unwatch(acceptor_.get_handle());
        acceptor_.close();
        for (auto &[descriptor, stream] : streams_) {
            loop_.unwatch(descriptor);
            stream.close();
        }
    }

    std::string url() const
    {
        ACE_INET_Addr address;
        acceptor_.get_local_addr(address);
        return "http://" + addressText(address);
    }

    int requests = 0;

private:
    void accept()
    {
        ACE_SOCK_Stream stream;
        acceptor_.accept(stream);
        const int descriptor = stream.get_handle();
        streams_[descriptor] = stream;
        loop_.watch(descriptor, Interest{.read = true},
                    [this, descriptor](Interest) { serve(descriptor); });
    }

    void serve(int descriptor)
    {
        ACE_SOCK_Stream &stream = streams_[descriptor];
        char buffer[4096];
        if (stream.recv(buffer, sizeof(buffer)) > 0 && ++requests == 1) {
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            stream.send_n(answer.data(), answer.size());
            return;
        }
        loop_.unwatch(descriptor);
        stream.close();
        streams_.erase(descriptor);
    }

    EventLoop &loop_;
    ACE_SOCK_Acceptor acceptor_;
    std::map<int, ACE_SOCK_Stream> streams_;
};

class EndCollector : public BackendCallHandler
{
public:
    explicit EndCollector(EventLoop &loop) : loop_(loop) { }
    void answerStarted(std::uint32_t, const std::string &) override { }
    void answerBytes(std::string_view bytes) override { body += bytes; }
    void answerEnded(BackendCallEnd ended) override
    {
        end = ended;
        loop_.stop();
    }

    std::string body;
    std::optional<BackendCallEnd> end;

private:
    EventLoop &loop_;
};

BackendCallEnd callOnce(EventLoop &loop, BackendClient &client, const std::string &key)
{
    const auto collector = std::make_shared<EndCollector>(loop);
    client.start({"doors", "id", key, 0, milliseconds(5000), "open"}, collector);
    loop.run();
    return *collector->end;
}

} // namespace

// Failure: a request that is not idempotent runs twice. The backend server runs it and crashes
// before it answers; libcurl sees a reused connection close without an answer and resends the
// request on a new one.
TEST_CASE("A call with a key is sent once, also when its connection is closed without an answer")
{
    EventLoop loop;
    CrashingBackend backend(loop);
    BackendClient client(loop, backend.url());
    CHECK(callOnce(loop, client, "key-1") == BackendCallEnd::Complete);
    CHECK(callOnce(loop, client, "key-2") == BackendCallEnd::ConnectionLost);
    CHECK(backend.requests == 2);
}

TEST_CASE("A call to a backend server that is down ends as not connected")
{
    EventLoop loop;
    BackendClient client(loop, "http://127.0.0.1:1");
    CHECK(callOnce(loop, client, "key-1") == BackendCallEnd::NotConnected);
}
