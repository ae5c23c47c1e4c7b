// Stand-in for a backend server: answers at once by default; options in a request's JSON body make
// it stream, wait, stall, fail or crash. It counts runs, so that tests can check that a request
// runs at most once.
//
// Options: "tag" (runs are counted per tag), "stream" (number of chunks), "chunk_ms" (delay between
// chunks), "cut_after" (number of chunks), "hold" (name; waits for POST /release with that name, at
// most 60 s; a stream waits after its first chunk), "stall_ms" (delay before the answer),
// "ask_status" (status of the answer), "crash".

#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <set>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>
#include <xxhash.h>

#include "StandIns/HttpStandIn.h"

namespace wisteria::standin {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t maxEchoBytes = 1024;
constexpr int crashExitCode = 70;
constexpr auto maxHold = std::chrono::seconds(60);

json parseOptions(const std::string &body)
{
    if (!body.starts_with('{'))
        return json::object();
    json options = json::parse(body, nullptr, false);
    return options.is_object() ? options : json::object();
}

class BackendServer
{
public:
    explicit BackendServer(std::string name) : name_(std::move(name)) { }

    Reply handle(const Request &request)
    {
        if (request.path() == "/health")
            return Reply{.body = R"({"state":"live"})"};
        if (request.path() == "/runs")
            return runCounts();
        if (request.path() == "/release")
            return release(request.body());
        const auto service = request.pathBetween("/v1/services/", "/requests");
        if (!service || request.method() != "POST")
            return notFound();
        return run(*service, request);
    }

private:
    Reply run(const std::string &service, const Request &request)
    {
        const json options = parseOptions(request.body());
        const std::string key = request.header("Wisteria-Key");
        const unsigned long count = countRun(key, options);
        if (options.value("crash", false))
            std::_Exit(crashExitCode);
        sleepFor(milliseconds(options.value("stall_ms", 0)));
        const json echo = {
            {"backend_server", name_},
            {"service", service},
            {"request_id", request.header("Wisteria-Request-Id")},
            {"key", key},
            {"run", count},
            {"body_hash", XXH3_64bits(request.body().data(), request.body().size())},
            {"echo", request.body().substr(0, maxEchoBytes)},
        };
        if (options.contains("stream"))
            return streamReply(echo, options);
        waitForRelease(options.value("hold", ""));
        Reply reply{.body = echo.dump(-1, ' ', false, json::error_handler_t::replace)};
        reply.status = options.value("ask_status", 200U);
        return reply;
    }

    /// Every chunk contains the request's id, so that a test detects chunks of another answer.
    Reply streamReply(const json &echo, const json &options)
    {
        Reply reply{.contentType = "application/x-ndjson"};
        reply.chunks = [this, echo, options, sent = 0]() mutable {
            if (sent == options.value("cut_after", -1))
                return Chunk{Chunk::Kind::Cut, {}};
            if (sent == options["stream"].get<int>())
                return Chunk{Chunk::Kind::End, {}};
            if (sent == 1)
                waitForRelease(options.value("hold", ""));
            if (sent > 0)
                sleepFor(milliseconds(options.value("chunk_ms", 0)));
            ++sent;
            const json chunk = {{"chunk", sent},
                                {"request_id", echo["request_id"]},
                                {"tag", options.value("tag", "")},
                                {"backend_server", name_}};
            return Chunk{Chunk::Kind::Data, chunk.dump() + "\n"};
        };
        return reply;
    }

    unsigned long countRun(const std::string &key, const json &options)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++total_;
        if (options.contains("tag"))
            ++runsByTag_[options.value("tag", "")];
        return key.empty() ? total_ : ++runsByKey_[key];
    }

    Reply runCounts()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const json counts = {{"backend_server", name_},
                             {"total", total_},
                             {"keys", runsByKey_},
                             {"tags", runsByTag_},
                             {"holding", held_}};
        return Reply{.body = counts.dump()};
    }

    Reply release(const std::string &name)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        released_.insert(name);
        changed_.notify_all();
        return Reply{.body = "{}"};
    }

    void waitForRelease(const std::string &name)
    {
        if (name.empty())
            return;
        std::unique_lock<std::mutex> lock(mutex_);
        ++held_;
        changed_.wait_for(lock, maxHold, [&] { return released_.count(name) > 0; });
        --held_;
    }

    const std::string name_;
    std::mutex mutex_;
    std::condition_variable changed_;
    unsigned long total_ = 0;
    unsigned long held_ = 0;
    std::map<std::string, unsigned long> runsByKey_;
    std::map<std::string, unsigned long> runsByTag_;
    std::set<std::string> released_;
};

} // namespace

} // namespace wisteria::standin

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Stand-in for a backend server");
    TCLAP::ValueArg<unsigned short> port("", "port", "0 for a free port", false, 0, "port");
    TCLAP::ValueArg<std::string> name("", "name", "Name it answers with", false, "backend", "name");
    command.add(port);
    command.add(name);
    command.parse(argc, argv);
    wisteria::standin::BackendServer server(name.getValue());
    return wisteria::standin::serve(port.getValue(),
                                    [&](const auto &request) { return server.handle(request); });
}
