#include "Connection/StatusListener.h"

#include <utility>

namespace wisteria {

namespace {

/// Connections that are kept at once. The platform and a few scrapers ask; askers that never close
/// must not use up the descriptors that callers need, so the oldest connection goes.
constexpr std::size_t connectionsAtMost = 32;

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
    if (connections_.size() >= connectionsAtMost)
        end(connections_.begin()->first);
    const std::uint64_t id = ++lastConnection_;
    CallerEvents events{.request = [this, id](const HttpRequest &request) { answer(id, request); },
                        .fault = [this, id](RequestFault) { end(id); },
                        .left = [this, id] { end(id); },
                        .drained = [] {}};
    connections_[id] =
        std::make_unique<CallerConnection>(loop_, descriptor, HttpLimits{}, std::move(events));
}

void StatusListener::answer(std::uint64_t id, const HttpRequest &request)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    const StatusAnswer said = answer_(request);
    found->second->send(responseText(said.status, said.fields, said.body, request.keepAlive));
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
    // It may be the connection that is calling: it goes at the end of the round.
    std::shared_ptr<CallerConnection> ended = std::move(found->second);
    connections_.erase(found);
    loop_.defer([ended] {});
}

} // namespace wisteria
