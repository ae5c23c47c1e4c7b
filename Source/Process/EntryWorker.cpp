#include "Process/EntryWorker.h"

#include <atomic>
#include <map>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "Connection/CallerProtocol.h"
#include "Connection/CallerServer.h"
#include "Connection/PeerPool.h"
#include "Process/EventLoop.h"
// A worker owns the sessions of its requests.
#include "Request/CallerSession.h"

namespace wisteria {

namespace {

constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusUnavailable = 503;
constexpr double microsecondsPerSecond = 1e6;

/// Generates unique request identities of 128 random bits.
class RequestIds
{
public:
    std::string next()
    {
        std::string id;
        for (int half = 0; half < 2; ++half) {
            const std::uint64_t bits = generator_();
            id.append(reinterpret_cast<const char *>(&bits), sizeof(bits));
        }
        return id;
    }

private:
    static std::mt19937_64 seeded()
    {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device(),
                           device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }

    std::mt19937_64 generator_ = seeded();
};

std::set<std::string> addressesOf(const EntryState &state)
{
    std::set<std::string> addresses;
    for (const auto &[name, service] : state.declared->services) {
        for (const auto &[owner, address] : service.ownerAddresses)
            addresses.insert(address);
    }
    return addresses;
}

} // namespace

class EntryWorker::Private : public CallerService
{
public:
    Private(const std::string &name, const std::string &failureDomain, EntryShared &shared,
            Metrics &metrics)
        : shared_(shared), metrics_(metrics), peers_(loop_, PeerTimeouts{}),
          server_(loop_, *this), context_{
                                     loop_, peers_, state_, shared_,
                                     [this](const std::string &outcome, const std::string &reason,
                                            microseconds took) { report(outcome, reason, took); }}
    {
        state_.ownName = name;
        state_.failureDomain = failureDomain;
        state_.entryNames = {name};
    }

    ~Private() override
    {
        loop_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    void requestArrived(std::shared_ptr<CallerExchange> exchange) override
    {
        if (exchange->request().path == "/health")
            return answerHealth(*exchange);
        auto request = readCallerRequest(exchange->request(), ids_.next());
        if (request.has_error()) {
            CallerAnswer answer = renderBadRequest(request.error());
            exchange->answer(answer.status, answer.headers, std::move(answer.body));
            report("bad_request", "bad_request", microseconds(0));
            return;
        }
        CallerExchange *key = exchange.get();
        auto session = std::make_shared<CallerSession>(
            context_, std::move(exchange), std::move(request.value()), [this, key] { end(key); });
        sessions_[key] = session;
        open_ = sessions_.size();
        session->start();
    }

    void callerLeft(CallerExchange &exchange) override
    {
        if (const auto session = find(exchange))
            session->callerGone();
    }

    void callerCaughtUp(CallerExchange &exchange) override
    {
        if (const auto session = find(exchange))
            session->callerCaughtUp();
    }

    void run() { loop_.run(); }

    void update(std::function<void(EntryState &, EntryShared &, TimePoint)> change)
    {
        loop_.post([this, change = std::move(change)] {
            const std::uint64_t before = state_.configVersion;
            change(state_, shared_, monotonicNow());
            // Heartbeats call this many times a second, but only a new version changes addresses.
            if (state_.configVersion != before)
                peers_.keepOnly(addressesOf(state_));
        });
    }

    EntryShared &shared_;
    Metrics &metrics_;
    EventLoop loop_;
    EntryState state_;
    RequestIds ids_;
    PeerPool peers_;
    CallerServer server_;
    CallerSessionContext context_;
    std::map<CallerExchange *, std::shared_ptr<CallerSession>> sessions_;
    std::atomic<std::size_t> open_ = 0;
    std::atomic<bool> shuttingDown_ = false;
    std::thread thread_;

private:
    std::shared_ptr<CallerSession> find(CallerExchange &exchange)
    {
        const auto found = sessions_.find(&exchange);
        return found == sessions_.end() ? nullptr : found->second;
    }

    void end(CallerExchange *key)
    {
        sessions_.erase(key);
        open_ = sessions_.size();
    }

    void answerHealth(CallerExchange &exchange)
    {
        const bool ready = !shuttingDown_ && state_.configVersion > 0;
        exchange.answer(ready ? statusOk : statusUnavailable, {{"Content-Type", "text/plain"}},
                        ready               ? "ready\n"
                            : shuttingDown_ ? "leaving\n"
                                            : "no configuration yet\n");
    }

    void report(const std::string &outcome, const std::string &reason, microseconds took)
    {
        metrics_.count("wisteria_requests_total", "Callers' requests by how they ended.",
                       {{"outcome", outcome}, {"reason", reason}});
        if (outcome == "answer") {
            metrics_.observeSeconds("wisteria_answer_seconds",
                                    "Time from a whole request to its whole answer.",
                                    static_cast<double>(took.count()) / microsecondsPerSecond);
        }
    }
};

EntryWorker::EntryWorker(const std::string &name, const std::string &failureDomain,
                         EntryShared &shared, Metrics &metrics)
    : private_(std::make_unique<Private>(name, failureDomain, shared, metrics))
{ }

EntryWorker::~EntryWorker() = default;

Result<std::string> EntryWorker::listen(const std::string &address)
{
    return private_->server_.listen(address);
}

void EntryWorker::start()
{
    private_->thread_ = std::thread([this] { private_->run(); });
}

void EntryWorker::update(std::function<void(EntryState &, EntryShared &, TimePoint)> change)
{
    private_->update(std::move(change));
}

void EntryWorker::announceShutdown()
{
    private_->shuttingDown_ = true;
}

void EntryWorker::stopListening()
{
    private_->loop_.post([this] { private_->server_.beginShutdown(); });
}

std::size_t EntryWorker::openRequests() const
{
    return private_->open_;
}

} // namespace wisteria
