#include "Programs/Gateway/GatewayDirectory.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/StorePolling.h"

namespace wisteria {

namespace {

/// How long the store may hold a read that finds no change. The list of gateways rarely changes,
/// and each read is charged for.
constexpr seconds directoryReadWait{28};
/// Interval between two reads. Without it each new entry would make every gateway read the list
/// when all of them start at once.
constexpr seconds directoryReadInterval{2};
/// Maximum backoff after failed reads. It is long because the list of gateways rarely changes.
constexpr seconds directoryMaxBackoff{5};
/// Backoff between two writes of this gateway's entry, doubled up to the maximum.
constexpr milliseconds initialWriteBackoff{1000};
constexpr milliseconds maxWriteBackoff{8000};

} // namespace

GatewayDirectory::GatewayDirectory(EventLoop &loop, HttpClientPool &pool, EventLog &log,
                                   Metrics &metrics, const Endpoint &store, std::string self,
                                   const Endpoint &address)
    : pool_(pool), log_(log), store_(store), self_(std::move(self)), address_(address),
      writeBackoff_(initialWriteBackoff),
      watch_(loop, pool, log, metrics, store,
             WatchPlan{"gateways", platform::gatewaysTopic, directoryReadWait,
                       directoryReadInterval, directoryMaxBackoff},
             WatchEvents{.record = [this](const auto &record) { apply(record); },
                         .snapshot = [this](const auto &records) { applyAll(records); },
                         .reconnected = [] {},
                         .answered = [](TimePoint) {},
                         .upToDate = [](TimePoint) {}})
{ }

GatewayDirectory::~GatewayDirectory() = default;

bool GatewayDirectory::isListed() const
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
    snapshotReceived_ = true;
}

void GatewayDirectory::checkTimeouts(TimePoint now)
{
    watch_.checkTimeouts(now);
    if (call_ && now - callBegunAt_ >= storeAnswerTimeout) {
        call_.reset();
        log_.warn("gateway.not_listed", {{"reason", "no answer in time"}});
    }
    if (!call_ && snapshotReceived_ && !isListed() && now >= nextWriteAt_)
        write(now);
}

void GatewayDirectory::write(TimePoint now)
{
    nextWriteAt_ = now + writeBackoff_;
    writeBackoff_ = std::min(maxWriteBackoff, writeBackoff_ * 2);
    callBegunAt_ = now;
    response_ = {};
    CallEvents events{.accept = {},
                      .head = [this](const HttpResponseHead &head) { response_.head = head; },
                      .body = [](std::string_view) {},
                      .complete =
                          [this] {
                              call_.reset();
                              handleWriteReply();
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

void GatewayDirectory::handleWriteReply()
{
    const auto appended = platform::decodeAppend(response_);
    if (appended.has_error())
        log_.warn("gateway.not_listed", {{"reason", appended.error().message}});
    else
        watch_.readSoon(monotonicNow());
}

} // namespace wisteria
