#include "Connection/CallerServer.h"

#include <thread>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <catch2/catch.hpp>

using namespace wisteria;

namespace {

/// The path of a request selects the answer: complete, streamed or aborted.
class PathService : public CallerService
{
public:
    void requestArrived(std::shared_ptr<CallerExchange> exchange) override
    {
        const std::string &path = exchange->request().path;
        if (path == "/whole")
            return exchange->answer(200, {{"X-Test", "yes"}}, exchange->request().body);
        exchange->start(200, "text/plain");
        exchange->write("first ");
        exchange->write("second");
        exchange->finish(path != "/aborted");
    }

    void callerLeft(CallerExchange &) override { }
};

/// A server on a separate thread.
class RunningServer
{
public:
    RunningServer() : server_(loop_, service_, limits())
    {
        address_ = server_.listen("127.0.0.1:0").value();
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~RunningServer()
    {
        loop_.stop();
        thread_.join();
    }

    /// Sends raw bytes and returns all bytes received until the server closes the connection.
    std::string exchange(const std::string &bytes) const
    {
        ACE_SOCK_Stream stream;
        ACE_SOCK_Connector().connect(stream, ACE_INET_Addr(address_.c_str()));
        stream.send_n(bytes.data(), bytes.size());
        std::string received;
        char buffer[4096];
        for (ssize_t length = 0; (length = stream.recv(buffer, sizeof(buffer))) > 0;)
            received.append(buffer, length);
        stream.close();
        return received;
    }

private:
    static CallerServerLimits limits()
    {
        CallerServerLimits limits;
        limits.maxBodyBytes = 1000;
        limits.connectionBytes = 8192;
        return limits;
    }

    EventLoop loop_;
    PathService service_;
    CallerServer server_;
    std::string address_;
    std::thread thread_;
};

std::string post(const std::string &path, const std::string &body, const std::string &headers = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("A complete answer has a Content-Length and a streamed one ends with the last chunk")
{
    const RunningServer server;
    const std::string whole = server.exchange(post("/whole", "bolts"));
    CHECK(contains(whole, "HTTP/1.1 200"));
    CHECK(contains(whole, "Content-Length: 5"));
    CHECK(contains(whole, "\r\n\r\nbolts"));
    const std::string streamed = server.exchange(post("/stream", ""));
    CHECK(contains(streamed, "first second"));
    CHECK(contains(streamed, "\r\n0\r\n"));
}

// Failure: a caller takes half an answer for a complete one. The backend server crashes in the
// middle of its answer, and the stream to the caller ends normally.
TEST_CASE("An aborted answer has no last chunk")
{
    const RunningServer server;
    const std::string cut = server.exchange(post("/aborted", ""));
    CHECK(contains(cut, "first second"));
    CHECK_FALSE(contains(cut, "\r\n0\r\n"));
}

TEST_CASE("Invalid requests get status 400, 413, 431 or a close, and the server keeps serving")
{
    const RunningServer server;
    CHECK(contains(server.exchange(post("/whole", std::string(2000, 'x'))), " 413 "));
    const std::string longHeader = "X-Long: " + std::string(20000, 'x') + "\r\n";
    CHECK(contains(server.exchange(post("/whole", "", longHeader)), " 431 "));
    CHECK(contains(server.exchange(post("/whole", "", "no colon\r\n")), " 400 "));
    CHECK(contains(server.exchange("POST /whole HTTP/1.1\r\nContent-Length: x\r\n\r\n"), " 400 "));
    // Without a valid request line the connection is closed without an answer.
    CHECK(server.exchange("NONSENSE\r\n\r\n").empty());
    CHECK(contains(server.exchange(post("/whole", "still here")), "still here"));
}
