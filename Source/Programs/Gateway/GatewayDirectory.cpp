#include "Programs/Gateway/GatewayDirectory.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/StorePolling.h"

namespace wisteria {

namespace {

/// How long the store may hold a read that finds no change. Gateways seldom come and go, and each
/// read is paid for.
constexpr seconds directoryWait{28};
/// Pause between two reads. When all gateways start, each entry would have each of them read.
constexpr seconds directoryPause{2};
/// Longest pause after failed reads: what is known of the other gateways seldom changes.
constexpr seconds directoryRetry{5};
/// Pause between two writes of the own entry, doubled up to the longest.
constexpr milliseconds firstWritePause{1000};
constexpr milliseconds maxWritePause{8000};

} // namespace

GatewayDirectory::GatewayDirectory(EventLoop &loop, HttpClientPool &pool, EventLog &log,
                                   Metrics &metrics, const Endpoint &store, std::string self,
                                   const Endpoint &address)
    : pool_(pool), log_(log), store_(store), self_(std::move(self)), address_(address),
      writePause_(firstWritePause),
      watch_(loop, pool, log, metrics, store,
             WatchPlan{"gateways", platform::gatewaysTopic, directoryWait, directoryPause,
                       directoryRetry},
             WatchEvents{.record = [this](const auto &record) { apply(record); },
                         .snapshot = [this](const auto &records) { applyAll(records); },
                         .reconnected = [] {},
                         .confirmed = [](TimePoint) {},
                         .upToDate = [](TimePoint) {}})
{ }

GatewayDirectory::~GatewayDirectory() = default;

bool GatewayDirectory::listed() const
{
    const auto own = gateways_.find(self_);
    return own != gateways_.end() && own->second.address == address_;
}

void GatewayDirectory::apply(const platform::KeyedRecord &record)
{
    if (record.value.empty()) {
        gateways_.erase(record.key);
        return;
    }
    const auto address = endpointFromText(record.value);
    if (address.has_error()) {
        log_.warn("gateway.bad_entry",
                  {{"gateway", record.key}, {"reason", address.error().message}});
        gateways_.erase(record.key);
        return;
    }
    PeerGateway &gateway = gateways_[record.key];
    if (gateway.address == address.value())
        return;
    gateway = {.address = address.value()};
    log_.info("gateway.entry", {{"gateway", record.key}, {"address", record.value}});
}

void GatewayDirectory::applyAll(const std::vector<platform::KeyedRecord> &records)
{
    std::erase_if(gateways_, [&records](const auto &entry) {
        return std::none_of(records.begin(), records.end(),
                            [&entry](const auto &record) { return record.key == entry.first; });
    });
    for (const platform::KeyedRecord &record : records)
        apply(record);
    known_ = true;
}

void GatewayDirectory::checkTimeouts(TimePoint now)
{
    watch_.checkTimeouts(now);
    if (call_ && now - callBegunAt_ >= storeAnswerTimeout) {
        call_.reset();
        log_.warn("gateway.not_listed", {{"reason", "no answer in time"}});
    }
    if (!call_ && known_ && !listed() && now >= writeAgainAt_)
        write(now);
}

void GatewayDirectory::write(TimePoint now)
{
    writeAgainAt_ = now + writePause_;
    writePause_ = std::min(maxWritePause, writePause_ * 2);
    callBegunAt_ = now;
    response_ = {};
    CallEvents events{.accept = {},
                      .head = [this](const HttpResponseHead &head) { response_.head = head; },
                      .body = [](std::string_view) {},
                      .complete =
                          [this] {
                              call_.reset();
                              noteWritten();
                          },
                      .failed =
                          [this](const CallFailure &failure) {
                              call_.reset();
                              log_.warn("gateway.not_listed", {{"reason", failure.reason}});
                          }};
    call_ = pool_.call(store_,
                       platform::appendRequest(platform::gatewaysTopic, self_, toText(address_)),
                       ConnectionUse::Fresh, std::move(events), now);
}

void GatewayDirectory::noteWritten()
{
    const auto taken = platform::decodeAppend(response_);
    if (taken.has_error())
        log_.warn("gateway.not_listed", {{"reason", taken.error().message}});
    else
        watch_.readSoon(monotonicNow());
}

} // namespace wisteria
