#include "StandIns/HttpStandIn.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <mutex>
#include <utility>

#include <arpa/inet.h>
#include <condition_variable>
#include <microhttpd.h>
#include <netinet/in.h>

namespace wisteria::standin {

namespace {

constexpr std::size_t threadStackBytes = 256 * 1024;
constexpr std::size_t streamBlockBytes = 16 * 1024;
constexpr unsigned maxConnections = 4096;

/// Body of a request that is being received.
struct Upload
{
    std::string body;
};

/// State of a streamed answer; `pending` is data that did not fit into the library's buffer.
struct Stream
{
    std::function<Chunk()> source;
    std::string pending;
};

ssize_t readStream(void *state, std::uint64_t, char *buffer, std::size_t capacity)
{
    auto *stream = static_cast<Stream *>(state);
    if (stream->pending.empty()) {
        Chunk chunk = stream->source();
        if (chunk.kind == Chunk::Kind::Cut)
            return MHD_CONTENT_READER_END_WITH_ERROR;
        if (chunk.kind == Chunk::Kind::End)
            return MHD_CONTENT_READER_END_OF_STREAM;
        stream->pending = std::move(chunk.data);
    }
    const std::size_t size = std::min(capacity, stream->pending.size());
    std::memcpy(buffer, stream->pending.data(), size);
    stream->pending.erase(0, size);
    return static_cast<ssize_t>(size);
}

void freeStream(void *state)
{
    delete static_cast<Stream *>(state);
}

MHD_Response *makeResponse(const Reply &reply)
{
    if (reply.chunks) {
        return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, readStream,
                                                 new Stream{reply.chunks, {}}, freeStream);
    }
    return MHD_create_response_from_buffer(reply.body.size(), const_cast<char *>(reply.body.data()),
                                           MHD_RESPMEM_MUST_COPY);
}

MHD_Result sendReply(MHD_Connection *connection, const Reply &reply)
{
    if (reply.closeWithoutAnswer)
        return MHD_NO;
    MHD_Response *response = makeResponse(reply);
    MHD_add_response_header(response, "Content-Type", reply.contentType.c_str());
    const MHD_Result result = MHD_queue_response(connection, reply.status, response);
    MHD_destroy_response(response);
    return result;
}

MHD_Result onRequest(void *handler, MHD_Connection *connection, const char *path,
                     const char *method, const char *, const char *data, std::size_t *size,
                     void **state)
{
    if (*state == nullptr) {
        *state = new Upload();
        return MHD_YES;
    }
    auto *upload = static_cast<Upload *>(*state);
    if (*size > 0) {
        upload->body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    const Request request(connection, method, path, std::move(upload->body));
    return sendReply(connection, (*static_cast<const Handler *>(handler))(request));
}

void onCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
{
    delete static_cast<Upload *>(*state);
    *state = nullptr;
}

unsigned short boundPort(MHD_Daemon *daemon)
{
    return MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

MHD_Daemon *start(unsigned short port, const Handler &handler)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, port,
        nullptr, nullptr, onRequest, const_cast<Handler *>(&handler), MHD_OPTION_SOCK_ADDR,
        &address, MHD_OPTION_NOTIFY_COMPLETED, onCompleted, nullptr, MHD_OPTION_THREAD_STACK_SIZE,
        threadStackBytes, MHD_OPTION_CONNECTION_LIMIT, maxConnections,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

} // namespace

Request::Request(MHD_Connection *connection, std::string method, std::string path, std::string body)
    : connection_(connection), method_(std::move(method)), path_(std::move(path)),
      body_(std::move(body))
{ }

std::string Request::header(const char *name) const
{
    const char *value = MHD_lookup_connection_value(connection_, MHD_HEADER_KIND, name);
    return value ? value : "";
}

unsigned long Request::queryNumber(const char *name, unsigned long fallback) const
{
    const char *value = MHD_lookup_connection_value(connection_, MHD_GET_ARGUMENT_KIND, name);
    return value ? std::strtoul(value, nullptr, 10) : fallback;
}

std::optional<std::string> Request::pathBetween(const std::string &prefix,
                                                const std::string &suffix) const
{
    if (path_.size() <= prefix.size() + suffix.size() || !path_.starts_with(prefix)
        || !path_.ends_with(suffix))
        return std::nullopt;
    return path_.substr(prefix.size(), path_.size() - prefix.size() - suffix.size());
}

Reply notFound()
{
    Reply reply;
    reply.status = MHD_HTTP_NOT_FOUND;
    reply.body = R"({"message":"no such path"})";
    return reply;
}

int serve(unsigned short port, const Handler &handler)
{
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    MHD_Daemon *daemon = start(port, handler);
    if (daemon == nullptr) {
        std::fprintf(stderr, "can't listen on 127.0.0.1:%u; choose a free port\n", port);
        return EXIT_FAILURE;
    }
    std::printf("ready address=127.0.0.1:%u\n", boundPort(daemon));
    std::fflush(stdout);
    int signal = 0;
    sigwait(&stopSignals, &signal);
    // Handlers may still block on purpose, so the process exits without joining their threads.
    std::_Exit(EXIT_SUCCESS);
}

void sleepFor(std::chrono::milliseconds time)
{
    std::mutex mutex;
    std::unique_lock<std::mutex> lock(mutex);
    std::condition_variable never;
    never.wait_for(lock, time, [] { return false; });
}

} // namespace wisteria::standin
