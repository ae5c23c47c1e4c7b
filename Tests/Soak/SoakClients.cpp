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

std::vector<std::string> SoakClients::refusedIds() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return refused_;
}

void SoakClients::run(int client)
{
    Callers callers;
    for (const auto &gateway : fleet_.gateways())
        callers.push_back(std::make_unique<KeepAliveCaller>(gateway->callers()));
    for (int number = 0; !stopping_; ++number) {
        sendRequest(callers, client, number);
        ::poll(nullptr, 0, pauseMilliseconds);
    }
}

void SoakClients::runCold(int client)
{
    Callers callers;
    for (const auto &gateway : fleet_.gateways())
        callers.push_back(std::make_unique<KeepAliveCaller>(gateway->callers()));
    for (int number = 0; !stopping_; ++number) {
        const std::string id =
            coldKind + "-" + std::to_string(client) + "-" + std::to_string(number);
        KeepAliveCaller &caller =
            *callers[static_cast<std::size_t>(client + number) % callers.size()];
        checkAnswer(id, coldKind, caller.call(requestFor(coldKind, id)));
        ::poll(nullptr, 0, coldPauseMilliseconds);
    }
}

void SoakClients::sendRequest(Callers &callers, int client, int number)
{
    const std::string &kind = kinds.at(static_cast<std::size_t>(number) % kinds.size());
    const std::string id = kind + "-" + std::to_string(client) + "-" + std::to_string(number);
    KeepAliveCaller &caller = *callers[static_cast<std::size_t>(client + number) % callers.size()];
    checkAnswer(id, kind, caller.call(requestFor(kind, id)));
}

void SoakClients::checkAnswer(const std::string &id, const std::string &kind,
                              const CallResult &answer)
{
    const std::string expected = kind == "stream" ? streamUpTo(id, events) : "answer to " + id;
    const bool success = answer.status >= 200 && answer.status < 300;
    if (success && answer.whole && answer.body != expected)
        fleet_.recorder().noteViolation(
            id + ": a complete answer with an unexpected body: " + answer.body);
    if (success && !expected.starts_with(answer.body))
        fleet_.recorder().noteViolation(id
                                        + ": missing, duplicate or mixed events: " + answer.body);
    const bool matchesRequest = answer.header("Wisteriawind-Attempt-Id") == id;
    if (answer.status != 0 && !matchesRequest)
        fleet_.recorder().noteViolation(id + ": the answer belongs to another request");
    if (answer.status >= 400 && answer.status < 500)
        fleet_.recorder().noteViolation(id + ": unexpected status "
                                        + std::to_string(answer.status));
    const std::lock_guard<std::mutex> lock(mutex_);
    if (kind == coldKind) {
        counts_.servedCold += success && answer.whole ? 1 : 0;
        return;
    }
    ++counts_.sent;
    if (success && answer.whole)
        ++counts_.complete;
    else if (answer.status == 503)
        ++counts_.refused;
    else if (answer.status >= 500)
        ++counts_.failed;
    else
        ++counts_.truncated;
    if (answer.status == 503)
        refused_.push_back(id);
}

} // namespace wisteria::soak
