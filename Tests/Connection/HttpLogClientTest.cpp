#include "Connection/HttpLogClient.h"

#include <atomic>
#include <thread>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <catch2/catch.hpp>

#include "Connection/ListenAddress.h"

using namespace wisteria;

namespace {

/// Reads one request on one connection, sends the given answer and closes the connection.
class OneAnswerServer
{
public:
    /// @param answer Bytes to send. "hold" sends nothing and keeps the connection open until the
    /// client closes it.
    explicit OneAnswerServer(std::string answer) : answer_(std::move(answer))
    {
        acceptor_.open(ACE_INET_Addr("127.0.0.1:0"), 1);
        ACE_INET_Addr address;
        acceptor_.get_local_addr(address);
        url = "http://" + addressText(address);
        thread_ = std::thread([this] { serve(); });
    }
    ~OneAnswerServer()
    {
        thread_.join();
        acceptor_.close();
    }

    std::string url;

private:
    void serve()
    {
        ACE_SOCK_Stream stream;
        acceptor_.accept(stream);
        char buffer[4096];
        stream.recv(buffer, sizeof buffer);
        if (answer_ == "hold")
            stream.recv(buffer, sizeof buffer);
        else
            stream.send_n(answer_.data(), answer_.size());
        stream.close();
    }

    std::string answer_;
    ACE_SOCK_Acceptor acceptor_;
    std::thread thread_;
};

std::string http(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\nConnection: close\r\n\r\n" + body;
}

/// Returns the URL of a port on which no process listens.
std::string unusedUrl()
{
    ACE_SOCK_Acceptor acceptor;
    acceptor.open(ACE_INET_Addr("127.0.0.1:0"), 1);
    ACE_INET_Addr address;
    acceptor.get_local_addr(address);
    acceptor.close();
    return "http://" + addressText(address);
}

} // namespace

// Failure: a record is written twice, or an operator is told that nothing was written, while the
// record is in the log. The log's answer to the append is lost, incomplete or late, and the client
// reports "not written".
TEST_CASE("An append is reported as not written only when that is certain")
{
    struct Row
    {
        std::string answer;
        ErrorKind kind;
    };
    const std::vector<Row> rows = {
        {http("503 Service Unavailable", "{}"), ErrorKind::Unavailable},
        {http("413 Content Too Large", "{}"), ErrorKind::BadInput},
        {http("500 Internal Server Error", "{}"), ErrorKind::OutcomeUnknown},
        {http("200 OK", "{}"), ErrorKind::OutcomeUnknown},
        {http("200 OK", "not JSON"), ErrorKind::OutcomeUnknown},
        {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"off", ErrorKind::OutcomeUnknown},
        {"", ErrorKind::OutcomeUnknown},
        {"hold", ErrorKind::OutcomeUnknown},
    };
    for (const Row &row : rows) {
        const OneAnswerServer server(row.answer);
        HttpLogClient client(server.url);
        const auto result = client.append("config", "record", milliseconds(150));
        INFO(row.answer);
        REQUIRE(result.has_error());
        CHECK(result.error().kind == row.kind);
    }
    HttpLogClient client(unusedUrl());
    const auto refused = client.append("config", "record", milliseconds(500));
    REQUIRE(refused.has_error());
    CHECK(refused.error().kind == ErrorKind::Unavailable);
    const OneAnswerServer server(http("200 OK", R"({"offset":7})"));
    CHECK(HttpLogClient(server.url).append("config", "record", seconds(5)).value() == 7);
}

TEST_CASE("A read returns records, or an error when the answer is incomplete or invalid")
{
    const std::string body = R"({"first":3,"end":8,"records":[{"offset":7,"data":"Zm9v"}]})";
    const OneAnswerServer whole(http("200 OK", body));
    const auto batch = HttpLogClient(whole.url).read("config", 7, milliseconds(0));
    REQUIRE(batch.has_value());
    CHECK(batch.value().first == 3);
    CHECK(batch.value().end == 8);
    CHECK(batch.value().records.at(0).offset == 7);
    CHECK(batch.value().records.at(0).data == "foo");
    for (const std::string &answer :
         {http("503 Service Unavailable", "{}"), http("200 OK", "{}"), std::string(),
          http("200 OK", R"({"first":1,"end":2,"records":[{"offset":1,"data":"?"}]})")}) {
        const OneAnswerServer server(answer);
        const auto failed = HttpLogClient(server.url).read("config", 1, milliseconds(0));
        INFO(answer);
        REQUIRE(failed.has_error());
        CHECK(failed.error().kind == ErrorKind::Unavailable);
    }
}
