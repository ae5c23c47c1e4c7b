#include "Gateway/StoreStandIn.h"

#include <utility>

#include "Gateway/BrokenAnswers.h"

namespace wisteria::gateway_tests {

namespace {

std::string queryValue(const std::string &target, const std::string &name,
                       const std::string &otherwise = "0")
{
    const std::size_t at = target.find(name + "=");
    const std::size_t begin = at + name.size() + 1;
    return at == std::string::npos ? otherwise
                                   : target.substr(begin, target.find('&', begin) - begin);
}

std::string bigEndian(std::uint64_t value, int size)
{
    std::string bytes;
    for (int i = size - 1; i >= 0; --i)
        bytes += static_cast<char>((value >> (8 * i)) & 0xFF);
    return bytes;
}

std::string base64(const std::string &text)
{
    static const char *const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group =
                (group << 8) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            encoded += i + j <= text.size() ? digits[(group >> (18 - 6 * j)) & 63] : '=';
    }
    return encoded;
}

} // namespace

StoreStandIn::StoreStandIn()
    : server_([this](const SeenRequest &request, ScriptPeer &peer) { answer(request, peer); })
{ }

StoreStandIn::~StoreStandIn()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    appended_.notify_all();
}

void StoreStandIn::append(const std::string &topic, const std::string &key,
                          const std::string &value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    logs_[topic].push_back({key, value});
    appended_.notify_all();
}

void StoreStandIn::forgetHistory()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto &[topic, log] : logs_)
        oldest_[topic] = log.size();
}

void StoreStandIn::setFaults(FaultRule rule)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    faults_ = std::move(rule);
}

StoreFault StoreStandIn::faultOf(const std::string &target)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return faults_ ? faults_(target) : StoreFault::None;
}

void StoreStandIn::answer(const SeenRequest &request, ScriptPeer &peer)
{
    const std::string target = request.target();
    const bool silentAtArrival = keptConnectionsSilent_;
    if (silent_ || (silentAtArrival && request.requestsBefore > 0))
        return;
    const StoreFault fault = faultOf(target);
    if (fault == StoreFault::Lost)
        return;
    if (fault == StoreFault::TooManyCalls) {
        peer.send(plainResponse(429, "", ""));
        return;
    }
    if (fault == StoreFault::Unavailable || unavailable_
        || (refusesAppends_ && target.starts_with("/log-append"))) {
        peer.send(plainResponse(503, "", ""));
        return;
    }
    const std::string topic = queryValue(target, "topic");
    if (fault == StoreFault::Broken) {
        if (target.starts_with("/log-append"))
            appendRecord(topic, request.body, queryValue(target, "at", ""));
        const std::vector<RawAnswer> &kinds = answersWithBrokenHead();
        sendBytes(kinds.at(brokenAnswers_++ % kinds.size()), request, peer);
        return;
    }
    if (target.starts_with("/log-newest")) {
        peer.send(plainResponse(200, "", newest(topic)));
        return;
    }
    if (target.starts_with("/log-append")) {
        const bool appended = appendRecord(topic, request.body, queryValue(target, "at", ""));
        peer.send(appended ? plainResponse(200, "", "{}") : plainResponse(412, "", ""));
        return;
    }
    const std::size_t from = std::stoul(queryValue(target, "from"));
    waitForRecord(topic, from, milliseconds(std::stol(queryValue(target, "wait_ms"))));
    if (!isDropped(request, silentAtArrival))
        peer.send(read(topic, from));
}

bool StoreStandIn::appendRecord(const std::string &topic, const std::string &record,
                                const std::string &at)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!at.empty() && std::stoul(at) != logs_[topic].size())
            return false;
    }
    constexpr std::size_t lengthBytes = 4;
    const std::string content = record.substr(lengthBytes);
    const std::size_t keyBytes = static_cast<unsigned char>(content.at(0));
    append(topic, content.substr(1, keyBytes), content.substr(1 + keyBytes));
    return true;
}

bool StoreStandIn::isDropped(const SeenRequest &request, bool silentAtArrival) const
{
    const bool connectionFellSilent =
        keptConnectionsSilent_ && (!silentAtArrival || request.requestsBefore > 0);
    return silent_ || connectionFellSilent;
}

void StoreStandIn::waitForRecord(const std::string &topic, std::size_t from, milliseconds wait)
{
    std::unique_lock<std::mutex> lock(mutex_);
    appended_.wait_for(lock, wait, [&] { return stopping_ || logs_[topic].size() > from; });
}

std::string StoreStandIn::newest(const std::string &topic)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<std::string, std::string> values;
    for (const Record &record : logs_[topic])
        values[record.key] = record.value;
    nlohmann::json entries = nlohmann::json::array();
    for (const auto &[key, value] : values) {
        if (!value.empty())
            entries.push_back({{"key", key}, {"value", base64(value)}, {"offset", 0}});
    }
    return nlohmann::json({{"entries", entries}, {"has_more", false}, {"end", logs_[topic].size()}})
        .dump();
}

std::string StoreStandIn::read(const std::string &topic, std::size_t from)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::vector<Record> &log = logs_[topic];
    if (from < oldest_[topic])
        return plainResponse(410, "", "");
    std::string bytes = bigEndian(log.size(), 8) + bigEndian(oldest_[topic], 8);
    constexpr std::size_t maxReadBytes = 1048576;
    for (std::size_t i = from; i < log.size() && bytes.size() < maxReadBytes; ++i) {
        const std::string content = bigEndian(log[i].key.size(), 1) + log[i].key + log[i].value;
        bytes += bigEndian(content.size(), 4) + content;
    }
    return plainResponse(200, "", bytes);
}

} // namespace wisteria::gateway_tests
