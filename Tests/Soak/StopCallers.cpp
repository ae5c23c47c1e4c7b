#include "Soak/StopCallers.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

#include <poll.h>

#include "Gateway/ScriptedAnswers.h"
#include "Soak/SoakClients.h"

namespace wisteria::soak {

using namespace gateway_tests;

namespace {

constexpr std::size_t heldServers = 2;
constexpr int heldEvents = 6;
constexpr milliseconds shortestRun{5};
/// Pause of a caller whose gateway accepts no connection or refuses a request.
constexpr int refusedMilliseconds = 5;
constexpr std::size_t bodyBytes = 2000;
/// Gateways close no connection that was idle for less; they wait for 300 ms.
constexpr milliseconds leastIdleTime{100};
/// Makes the draws independent of those of SoakFaults for the same seed.
constexpr std::uint64_t heldSeedOffset = 0x4E1D;

/// What a caller does each time.
enum class Way { Once, Again, Stream, TwoAtOnce, BodyInParts, NewConnection };
constexpr std::size_t wayCount = 6;

std::string streamOf(const std::string &id, int last)
{
    std::string text;
    for (int event = 1; event <= last; ++event)
        text += "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
    return text;
}

/// A request whose run takes some time, which its target states.
CallerRequest requestOf(const std::string &kind, const std::string &id, milliseconds run,
                        const std::string &body = {})
{
    return {id,
            "POST /" + kind + "/" + std::to_string(run.count())
                + " HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Token key1\r\n"
                  "Wisteriawind-Attempt-Id: "
                + id + "\r\nWisteriawind-Deadline-Ms: " + std::to_string(heldTimeout.count())
                + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

struct Call
{
    std::vector<CallerRequest> requests;
    /// The time for answers is longer than the time limit, so that an answer at it is received.
    CallPlan plan{.answerTime = heldTimeout + seconds(2)};
};

/// @param suffix Of the ids.
Call drawCall(std::mt19937_64 &random, Way way, const std::string &suffix, milliseconds longestRun)
{
    const auto draw = [&random](int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random);
    };
    const auto drawRun = [&] {
        const milliseconds longest = draw(0, 7) == 0 ? longestRun : longestRun / 16;
        return std::max(shortestRun, milliseconds(draw(0, static_cast<int>(longest.count()))));
    };
    Call call;
    const std::string kind = way == Way::Again ? "held-again"
        : way == Way::Stream                   ? "held-stream"
                                               : "held-once";
    const std::string body = way == Way::BodyInParts ? std::string(bodyBytes, 'b') : "";
    call.requests = {requestOf(kind, kind + suffix, drawRun(), body)};
    if (way == Way::TwoAtOnce)
        call.requests.push_back(requestOf(kind, kind + suffix + "b", drawRun()));
    if (way == Way::BodyInParts) {
        call.plan.pause = milliseconds(draw(0, 400));
        call.plan.lateBytes = bodyBytes / 2;
    }
    return call;
}

milliseconds runOf(const SeenRequest &request)
{
    const std::string target = request.target();
    return milliseconds(std::stoi(target.substr(target.rfind('/') + 1)));
}

} // namespace

HeldLoad heldLoadOf(std::uint64_t seed)
{
    constexpr std::array<milliseconds, 3> longestRuns = {milliseconds(160), milliseconds(1600),
                                                         milliseconds(8000)};
    constexpr int slotsForAll = 64;
    constexpr int tooFewSlots = 2;
    return {.callers = 2 * wayCount,
            .slots = seed % 4 == 1 ? tooFewSlots : slotsForAll,
            .longestRun = longestRuns.at(seed % longestRuns.size())};
}

StopCallers::StopCallers(Fleet &fleet, std::uint64_t seed, const HeldLoad &load)
    : fleet_(fleet), seed_(seed), load_(load)
{
    for (std::size_t i = 0; i < heldServers; ++i) {
        servers_.push_back(std::make_unique<ScriptedServer>(
            [this](const SeenRequest &request, ScriptPeer &peer) { answer(request, peer); }));
        fleet_.store().put("keyed.servers", "held-" + std::to_string(i),
                           {{"service", "held"},
                            {"address", toText(servers_.back()->endpoint())},
                            {"zone", "c"},
                            {"slot_count", load_.slots},
                            {"state", "ready"}});
    }
}

void StopCallers::start()
{
    for (std::size_t i = 0; i < load_.callers; ++i)
        threads_.emplace_back([this, i] { run(i, (seed_ ^ heldSeedOffset) + i); });
}

StopCallers::~StopCallers()
{
    stop();
}

void StopCallers::stop()
{
    stopping_ = true;
    for (std::thread &thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

HeldCounts StopCallers::counts() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return counts_;
}

/// Lets a run take its time, which ends at once when the callers stop.
/// @return Whether the gateway still waits.
bool StopCallers::wait(milliseconds time, const ScriptPeer &peer) const
{
    constexpr milliseconds step{100};
    for (milliseconds left = time; left > milliseconds(0) && !stopping_; left -= step) {
        if (peer.waitForEnd(std::min(left, step)))
            return false;
    }
    return true;
}

void StopCallers::answer(const SeenRequest &request, ScriptPeer &peer)
{
    const std::string id = request.header("Wisteriawind-Attempt-Id");
    fleet_.recorder().noteRun(id, request.target());
    const milliseconds run = runOf(request);
    if (!request.target().starts_with("/held-stream/")) {
        if (wait(run, peer))
            peer.trySend(sealed(request, 200, "answer to " + id));
        return;
    }
    const std::string last = request.header("Last-Event-Id");
    peer.trySend(streamHead(request));
    for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= heldEvents; ++event) {
        const std::string text = "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
        if (!wait(run / heldEvents, peer) || !peer.trySend(chunk(text)))
            return;
    }
    peer.trySend("0\r\n\r\n");
}

void StopCallers::noteAnswer(const std::string &id, const CallResult &answer)
{
    const bool stream = id.starts_with("held-stream");
    checkAnswer(fleet_.recorder(), id, stream ? streamOf(id, heldEvents) : "answer to " + id,
                answer);
    if (answer.status == 503 && id.starts_with("held-once"))
        fleet_.recorder().noteRefused(id);
    const bool success = answer.status >= 200 && answer.status < 300;
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.sent;
    if (answer.status == 0)
        ++counts_.noStatus;
    else if (!success)
        ++counts_.otherStatus;
    else if (answer.whole)
        ++counts_.complete;
    else
        ++counts_.cutStreams;
    if (success && !answer.whole && !stream)
        fleet_.recorder().noteViolation(id + ": a plain answer was cut off");
}

void StopCallers::run(std::size_t number, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto way = static_cast<Way>(number % wayCount);
    const std::size_t gateways = fleet_.gateways().size();
    std::size_t gateway = number / wayCount % gateways;
    auto caller = std::make_unique<KeepAliveCaller>(fleet_, gateway);
    for (int i = 0; !stopping_; ++i) {
        const std::string suffix = "-" + std::to_string(number) + "-" + std::to_string(i);
        const Call call = drawCall(random, way, suffix, load_.longestRun);
        const std::vector<CallResult> answers = caller->callAll(call.requests, call.plan);
        if (!caller->accepted()) {
            gateway = (gateway + 1) % gateways;
            caller = std::make_unique<KeepAliveCaller>(fleet_, gateway);
            ::poll(nullptr, 0, refusedMilliseconds);
            continue;
        }
        for (std::size_t j = 0; j < answers.size(); ++j)
            noteAnswer(call.requests[j].id, answers[j]);
        if (way == Way::NewConnection)
            caller->close();
        if (answers.back().status == 503)
            ::poll(nullptr, 0, refusedMilliseconds);
    }
}

std::string textOf(const HeldCounts &held)
{
    return std::to_string(held.sent) + " held requests, " + std::to_string(held.complete)
        + " complete, " + std::to_string(held.otherStatus) + " with another status, "
        + std::to_string(held.cutStreams) + " streams cut, " + std::to_string(held.noStatus)
        + " without a status";
}

std::vector<std::string> checkUnanswered(Fleet &fleet)
{
    std::vector<std::string> logs;
    for (const auto &gateway : fleet.gateways()) {
        std::ostringstream text;
        text << std::ifstream(gateway->log()).rdbuf();
        logs.push_back(text.str());
    }
    std::vector<std::string> unread;
    for (const UnansweredRequest &request : fleet.recorder().unanswered()) {
        const bool named =
            logs.at(request.gateway).find("\"" + request.id + "\"") != std::string::npos;
        const bool ran = fleet.recorder().runs(request.id) > 0;
        const bool askedAtOnce = !request.newConnection && request.idle < leastIdleTime;
        const std::string text = request.id + ": sent to gateway-" + std::to_string(request.gateway)
            + " at " + std::to_string(request.sentAt.count())
            + (request.newConnection
                   ? " ms on a new connection"
                   : " ms on a connection idle for " + std::to_string(request.idle.count()) + " ms")
            + ", no status after " + std::to_string(request.waited.count()) + " ms";
        if (ran)
            fleet.recorder().noteViolation(text + "; it ran");
        else if (named)
            fleet.recorder().noteViolation(text + "; the gateway read it");
        else if (askedAtOnce)
            fleet.recorder().noteViolation(text + "; the connection was closed too soon");
        else
            unread.push_back(text);
    }
    return unread;
}

} // namespace wisteria::soak
