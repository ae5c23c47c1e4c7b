#include "Soak/SoakClients.h"

#include <array>
#include <utility>

#include <poll.h>

namespace wisteria::soak {

using namespace gateway_tests;

namespace {

constexpr int events = 8;
constexpr int pauseMilliseconds = 15;
/// Pause of a caller of the service "cold", most of whose requests are refused.
constexpr int coldPauseMilliseconds = 30;
/// Routes of the fleet: "once" is not idempotent, "again" is idempotent.
const std::array<std::string, 3> kinds = {"once", "again", "stream"};
const std::string coldKind = "cold";

std::string requestFor(const std::string &kind, const std::string &id)
{
    const std::string method = kind == "again" || kind == coldKind ? "GET" : "POST";
    return method + " /" + kind
        + "/x HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Token key1\r\n"
          "Wisteriawind-Attempt-Id: "
        + id + "\r\nWisteriawind-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
}

/// Returns the body of a stream up to and including an event.
std::string streamUpTo(const std::string &id, int last)
{
    std::string text;
    for (int event = 1; event <= last; ++event) {
        text +=
            "id: " + std::to_string(event) + "\ndata: " + id + "/" + std::to_string(event) + "\n\n";
    }
    return text;
}

} // namespace

void checkAnswer(RunRecorder &recorder, const std::string &id, const std::string &expectedBody,
                 const CallResult &answer)
{
    const bool success = answer.status >= 200 && answer.status < 300;
    if (success && answer.whole && answer.body != expectedBody)
        recorder.noteViolation(id + ": a complete answer with an unexpected body: " + answer.body);
    if (success && !expectedBody.starts_with(answer.body))
        recorder.noteViolation(id + ": missing, duplicate or mixed events: " + answer.body);
    if (answer.status != 0 && answer.header("Wisteriawind-Attempt-Id") != id)
        recorder.noteViolation(id + ": the answer belongs to another request");
    if (answer.status >= 400 && answer.status < 500)
        recorder.noteViolation(id + ": unexpected status " + std::to_string(answer.status));
}

SoakClients::SoakClients(Fleet &fleet, int clients, int coldClients) : fleet_(fleet)
{
    for (int client = 0; client < clients; ++client)
        threads_.emplace_back([this, client] { run(client); });
    for (int client = 0; client < coldClients; ++client)
        threads_.emplace_back([this, client] { runCold(client); });
}

SoakClients::~SoakClients()
{
    stop();
}

void SoakClients::stop()
{
    stopping_ = true;
    for (std::thread &thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

SoakCounts SoakClients::takeCounts()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(counts_, {});
}

void SoakClients::run(int client)
{
    Callers callers;
    for (std::size_t gateway = 0; gateway < fleet_.gateways().size(); ++gateway)
        callers.push_back(std::make_unique<KeepAliveCaller>(fleet_, gateway));
    for (int number = 0; !stopping_; ++number) {
        sendRequest(callers, client, number);
        ::poll(nullptr, 0, pauseMilliseconds);
    }
}

void SoakClients::runCold(int client)
{
    Callers callers;
    for (std::size_t gateway = 0; gateway < fleet_.gateways().size(); ++gateway)
        callers.push_back(std::make_unique<KeepAliveCaller>(fleet_, gateway));
    for (int number = 0; !stopping_; ++number) {
        const std::string id =
            coldKind + "-" + std::to_string(client) + "-" + std::to_string(number);
        KeepAliveCaller &caller =
            *callers[static_cast<std::size_t>(client + number) % callers.size()];
        const CallResult answer = caller.call({id, requestFor(coldKind, id)});
        noteAnswer(id, coldKind, caller, answer);
        ::poll(nullptr, 0, coldPauseMilliseconds);
    }
}

void SoakClients::sendRequest(Callers &callers, int client, int number)
{
    const std::string &kind = kinds.at(static_cast<std::size_t>(number) % kinds.size());
    const std::string id = kind + "-" + std::to_string(client) + "-" + std::to_string(number);
    KeepAliveCaller &caller = *callers[static_cast<std::size_t>(client + number) % callers.size()];
    const CallResult answer = caller.call({id, requestFor(kind, id)});
    noteAnswer(id, kind, caller, answer);
}

void SoakClients::noteAnswer(const std::string &id, const std::string &kind,
                             const KeepAliveCaller &caller, const CallResult &answer)
{
    checkAnswer(fleet_.recorder(), id,
                kind == "stream" ? streamUpTo(id, events) : "answer to " + id, answer);
    const bool complete = answer.status >= 200 && answer.status < 300 && answer.whole;
    const std::lock_guard<std::mutex> lock(mutex_);
    if (kind == coldKind) {
        counts_.servedCold += complete ? 1 : 0;
        return;
    }
    ++counts_.sent;
    if (complete)
        ++counts_.complete;
    else if (answer.status == 503)
        ++counts_.refused;
    else if (answer.status >= 500)
        ++counts_.failed;
    else if (!caller.accepted())
        ++counts_.notAccepted;
    else
        ++counts_.truncated;
    if (answer.status == 503 && kind == "once")
        fleet_.recorder().noteRefused(id);
}

} // namespace wisteria::soak
