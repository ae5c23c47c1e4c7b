// Another writer puts an entry into the list of servers of which one field has another type: an
// array of arrays instead of a number. Consumers wait for answers of a sound server meanwhile.

#include "Harness.h"

using namespace review;

namespace {

constexpr int gatewayCount = 2;
constexpr int consumersPerGateway = 6;
constexpr int budgetMs = 8000;
constexpr int workMs = 3000;
/// The nesting of the field. The record is below `platform.record_bytes`, 262,144.
constexpr int depth = 130000;
constexpr int watchMs = 15000;

struct Counts
{
    std::atomic<int> answered = 0;
    std::atomic<int> lost = 0;
    std::atomic<int> other = 0;
};

void consume(Record &record, const Gateway &gateway, const std::string &id, Counts &counts)
{
    const int descriptor = connectTo(gateway.ip(), gateway.port());
    sendAll(descriptor, consumerRequest("POST", "/post/quick", id + "-first", budgetMs, "a=1"));
    const Answer first = readAnswer(descriptor, budgetMs);
    if (first.status != 200 || !first.whole) {
        record.write("consumer: the first request on the channel failed, " + id);
        ++counts.other;
        return;
    }
    record.write("consumer: sends " + id + " on the kept channel to " + gateway.name());
    sendAll(descriptor, consumerRequest("POST", "/post/long", id, budgetMs, "a=1"));
    const Answer answer = readAnswer(descriptor, budgetMs);
    ::close(descriptor);
    record.write("consumer: " + id + ": "
                 + (answer.status == 0 ? "no answer, " + answer.end
                                       : "status " + std::to_string(answer.status)));
    if (answer.whole && answer.status == 200)
        ++counts.answered;
    else if (answer.status == 0)
        ++counts.lost;
    else
        ++counts.other;
}

std::string badEntry(const std::string &address)
{
    return "{\"service\":\"ledger-app\",\"address\":\"" + address
        + "\",\"zone\":\"port-louis\",\"version\":1,\"slot_count\":6,\"state\":\"ready\","
          "\"sequence\":1,\"cold_remaining_ms\":"
        + std::string(depth, '[') + std::string(depth, ']') + "}";
}

} // namespace

int main(int, char **arguments)
{
    ::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(arguments[1]) + "/record.txt");
    TemporaryFolder folder;
    // Stand-ins run until the process ends.
    Store &store = *new Store("127.0.0.1");
    std::atomic<int> running = 0;
    Server &server = *new Server("127.0.0.1", [&](const Request &request, int descriptor) {
        if (request.id().empty())
            return sendAll(descriptor, response(200, "Wisteriawind-Served-By: i-1\r\n", "ok"));
        record.write("server: runs " + request.id());
        if (request.target() == "/post/long") {
            ++running;
            sleepMs(workMs);
        }
        return sendAll(descriptor,
                       response(200,
                                "Wisteriawind-Attempt-Id: " + request.id()
                                    + "\r\nWisteriawind-Response-Seal: 1.1\r\n"
                                      "Wisteriawind-Served-By: i-1\r\n",
                                "posted"));
    });
    new Heartbeat(store, "i-1", "ledger-app", server.address(), "port-louis", 24);
    store.put("keyed.op", "config",
              configuration(1,
                            {route("post", "/post/", "non_idempotent", "ledger-app", budgetMs, 1)},
                            {"ledger-app"}));
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 1; i <= gatewayCount; ++i)
        gateways.push_back(std::make_unique<Gateway>(
            record, "front-port-louis-" + std::to_string(i), store.address(), folder.path()));
    for (const auto &gateway : gateways) {
        if (!gateway->waitUntilReady(10000))
            giveUp(record, "a gateway does not get ready");
    }
    sleepMs(1500);

    Counts counts;
    std::vector<std::thread> threads;
    for (const auto &gateway : gateways) {
        for (int i = 0; i < consumersPerGateway; ++i)
            threads.emplace_back([&, i] {
                consume(record, *gateway, "post-" + gateway->name() + "-" + std::to_string(i),
                        counts);
            });
    }
    sleepMs(1000);
    if (running != gatewayCount * consumersPerGateway)
        giveUp(record, "not all requests run");
    if (trouble()) {
        const std::string entry = badEntry("127.0.0.1:9");
        record.write("another writer: an entry of " + std::to_string(entry.size())
                     + " bytes under servers/i-9, 'cold_remaining_ms' is an array");
        store.put("keyed.servers", "i-9", entry);
    }
    int ends = 0;
    const auto until = Clock::now() + std::chrono::milliseconds(watchMs);
    while (Clock::now() < until) {
        for (const auto &gateway : gateways) {
            int status = 0;
            if (!gateway->ended(status))
                continue;
            ++ends;
            record.write(gateway->name() + " has ended, " + describe(status));
            sleepMs(300);
            gateway->start();
        }
        sleepMs(20);
    }
    for (std::thread &thread : threads)
        thread.join();
    record.write("answered " + std::to_string(counts.answered)
                 + ", channel closed without an answer " + std::to_string(counts.lost) + ", other "
                 + std::to_string(counts.other)
                 + "; processes that ended by themselves: " + std::to_string(ends));
    for (const auto &gateway : gateways)
        gateway->end();
    folder.remove();
    if (counts.other > 0)
        std::_Exit(couldNotRun);
    // The rule allows three.
    std::_Exit(counts.lost > 3 ? broken : held);
}
