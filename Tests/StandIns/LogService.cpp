// Stand-in for the platform's append-only log service: streams in memory, with long polling,
// retention, and faults that tests inject while it runs.

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "StandIns/HttpStandIn.h"

namespace wisteria::standin {

namespace {

using std::chrono::milliseconds;

constexpr unsigned long defaultBatchRecords = 1000;

std::string toBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t present = std::min<std::size_t>(3, bytes.size() - i);
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (j < present ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= present ? digits[group >> (18 - 6 * j) & 63U] : '=';
    }
    return text;
}

/// Injected faults: "ok" (none), "down" or "slow"; for appends also "lose_answer".
struct Faults
{
    std::string append = "ok";
    std::string read = "ok";
    milliseconds slowDelay = milliseconds(0);
};

/// Records of one stream. Offsets start at 1; `first` is the oldest retained offset.
struct RecordStream
{
    unsigned long first = 1;
    std::deque<std::string> records;

    unsigned long end() const { return first + records.size(); }

    void dropBefore(unsigned long offset)
    {
        while (!records.empty() && first < offset) {
            records.pop_front();
            ++first;
        }
    }
};

class LogService
{
public:
    explicit LogService(unsigned long retain) : retain_(retain) { }

    Reply handle(const Request &request)
    {
        if (request.path() == "/faults")
            return setFaults(request);
        if (request.path() == "/stats")
            return stats();
        const auto stream = request.pathBetween("/streams/", "/records");
        if (!stream)
            return notFound();
        if (request.method() == "POST")
            return append(*stream, request.body());
        if (request.method() == "DELETE")
            return drop(*stream, request.queryNumber("before", 0));
        return read(*stream, request);
    }

private:
    static Reply unavailable()
    {
        Reply reply;
        reply.status = 503;
        reply.body = R"({"message":"the log is down; nothing was done"})";
        return reply;
    }

    Reply setFaults(const Request &request)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto requested = nlohmann::json::parse(request.body(), nullptr, false);
        if (!requested.is_object())
            return notFound();
        faults_.append = requested.value("append", faults_.append);
        faults_.read = requested.value("read", faults_.read);
        faults_.slowDelay = milliseconds(requested.value("slow_ms", faults_.slowDelay.count()));
        changed_.notify_all();
        return Reply{.body = "{}"};
    }

    Reply stats()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const nlohmann::json counts = {{"appends", appends_}, {"reads", reads_}, {"bytes", bytes_}};
        return Reply{.body = counts.dump()};
    }

    Reply append(const std::string &name, const std::string &data)
    {
        const Faults faults = currentFaults();
        if (faults.append == "down")
            return unavailable();
        if (faults.append == "slow")
            sleepFor(faults.slowDelay);
        const std::lock_guard<std::mutex> lock(mutex_);
        RecordStream &stream = streams_[name];
        const unsigned long offset = stream.end();
        stream.records.push_back(data);
        if (retain_ > 0 && stream.records.size() > retain_)
            stream.dropBefore(stream.end() - retain_);
        ++appends_;
        bytes_ += data.size();
        changed_.notify_all();
        const std::string body = R"({"offset":)" + std::to_string(offset) + "}";
        return Reply{.body = body, .closeWithoutAnswer = faults.append == "lose_answer"};
    }

    Reply drop(const std::string &name, unsigned long before)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        streams_[name].dropBefore(before);
        return Reply{.body = "{}"};
    }

    Reply read(const std::string &name, const Request &request)
    {
        const unsigned long from = std::max(1UL, request.queryNumber("from", 1));
        const unsigned long max = request.queryNumber("max", defaultBatchRecords);
        const milliseconds wait(request.queryNumber("wait_ms", 0));
        const Faults faults = currentFaults();
        if (faults.read == "slow")
            sleepFor(faults.slowDelay);
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait_for(lock, wait,
                          [&] { return faults_.read == "down" || streams_[name].end() > from; });
        ++reads_;
        if (faults_.read == "down")
            return unavailable();
        return Reply{.body = batch(streams_[name], from, max)};
    }

    static std::string batch(const RecordStream &stream, unsigned long from, unsigned long max)
    {
        const unsigned long begin = std::max(from, stream.first);
        const unsigned long end = std::min(stream.end(), begin + max);
        nlohmann::json records = nlohmann::json::array();
        for (unsigned long offset = begin; offset < end; ++offset) {
            const std::string &data = stream.records[offset - stream.first];
            records.push_back({{"offset", offset}, {"data", toBase64(data)}});
        }
        const nlohmann::json answer = {
            {"first", stream.first}, {"end", stream.end()}, {"records", records}};
        return answer.dump();
    }

    Faults currentFaults()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return faults_;
    }

    const unsigned long retain_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, RecordStream> streams_;
    Faults faults_;
    unsigned long appends_ = 0;
    unsigned long reads_ = 0;
    unsigned long bytes_ = 0;
};

} // namespace

} // namespace wisteria::standin

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Stand-in for the platform's append-only log service");
    TCLAP::ValueArg<unsigned short> port("", "port", "0 for a free port", false, 0, "port");
    TCLAP::ValueArg<unsigned long> retain("", "retain", "Records kept a stream; 0 keeps all", false,
                                          0, "records");
    command.add(port);
    command.add(retain);
    command.parse(argc, argv);
    wisteria::standin::LogService service(retain.getValue());
    return wisteria::standin::serve(port.getValue(),
                                    [&](const auto &request) { return service.handle(request); });
}
