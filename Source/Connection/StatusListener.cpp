#include "Connection/StatusListener.h"

#include <utility>

namespace wisteria {

namespace {

/// Maximum number of open connections. Expected clients are the platform and a few scrapers.
/// Clients that never close a connection must not use up the file descriptors that callers need, so
/// at the limit the oldest connection is closed.
constexpr std::size_t maxConnections = 32;

} // namespace

StatusListener::StatusListener(EventLoop &loop, Answer answer)
    : loop_(loop), answer_(std::move(answer)),
      listener_(loop, [this](int descriptor) { accept(descriptor); })
{ }

StatusListener::~StatusListener() = default;

Result<Endpoint> StatusListener::listen(const Endpoint &address)
{
    BOOST_OUTCOME_TRYV(listener_.listen(address));
    return listener_.address();
}

void StatusListener::accept(int descriptor)
{
    if (connections_.size() >= maxConnections)
        end(connections_.begin()->first);
    const std::uint64_t id = ++lastConnection_;
    CallerEvents events{.request = [this, id](const HttpRequest &request) { answer(id, request); },
                        .fault = [this, id](RequestFault) { end(id); },
                        .closed = [this, id] { end(id); },
                        .drained = [] {}};
    connections_[id] = std::make_unique<CallerConnection>(
        loop_, descriptor, [] { return HttpLimits{}; }, std::move(events));
}

void StatusListener::answer(std::uint64_t id, const HttpRequest &request)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    const StatusAnswer reply = answer_(request);
    found->second->send(responseText(reply.status, reply.fields, reply.body, request.keepAlive));
    if (request.keepAlive)
        found->second->finishAnswer(monotonicNow());
    else
        found->second->close();
}

void StatusListener::end(std::uint64_t id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    // The connection may be running this callback, so it is destroyed at the end of the loop
    // iteration.
    std::shared_ptr<CallerConnection> ended = std::move(found->second);
    connections_.erase(found);
    loop_.defer([ended] {});
}

} // namespace wisteria
