#include "Programs/Gateway/StoreAppender.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/StorePolling.h"
#include "platform/StoreCodec.h"

namespace wisteria {

namespace {

/// Backoff between two appends, doubled up to the maximum.
constexpr milliseconds initialBackoff{1000};
constexpr milliseconds maxBackoff{8000};

} // namespace

StoreAppender::StoreAppender(HttpClientPool &pool, const Endpoint &store, const char *topic)
    : pool_(pool), store_(store), topic_(topic), backoff_(initialBackoff)
{ }

StoreAppender::~StoreAppender() = default;

void StoreAppender::append(const std::string &key, const std::string &value,
                           std::optional<std::uint64_t> at, TimePoint now, Done done)
{
    nextAt_ = now + backoff_;
    backoff_ = std::min(maxBackoff, backoff_ * 2);
    begunAt_ = now;
    response_ = {};
    done_ = std::move(done);
    CallEvents events{.accept = {},
                      .head = [this](const HttpResponseHead &head) { response_.head = head; },
                      .body = [](std::string_view) {},
                      .complete =
                          [this] {
                              call_.reset();
                              done_(platform::decodeAppend(response_));
                          },
                      .failed =
                          [this](const CallFailure &failed) {
                              call_.reset();
                              done_(failure(ErrorKind::Unavailable, failed.reason));
                          }};
    call_ = pool_.call(store_, platform::appendRequest(topic_, key, value, at),
                       ConnectionUse::Fresh, std::move(events), now);
}

void StoreAppender::resetBackoff()
{
    backoff_ = initialBackoff;
}

void StoreAppender::checkTimeouts(TimePoint now)
{
    if (!call_ || now - begunAt_ < storeAnswerTimeout)
        return;
    call_.reset();
    done_(failure(ErrorKind::Unavailable, "no answer in time"));
}

} // namespace wisteria
