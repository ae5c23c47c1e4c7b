#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Connection/HttpClientPool.h"
#include "Process/Error.h"
#include "Process/Time.h"

namespace wisteria {

/// Appends records to one keyed topic of the platform's store, one at a time. After each append it
/// waits for a backoff that doubles, because calls are charged for and may fail for long.
class StoreAppender
{
public:
    /// Result of one append: success, or why it failed.
    using Done = std::function<void(const Result<void> &)>;

    /// @param topic Must outlive the appender.
    StoreAppender(HttpClientPool &pool, const Endpoint &store, const char *topic);
    ~StoreAppender();
    StoreAppender(const StoreAppender &) = delete;
    StoreAppender &operator=(const StoreAppender &) = delete;

    /// Whether an append may begin now.
    bool ready(TimePoint now) const { return !call_ && now >= nextAt_; }
    /// Appends a record; an empty value removes the key. Call it only if ready().
    /// @param at See platform::appendRequest().
    void append(const std::string &key, const std::string &value, std::optional<std::uint64_t> at,
                TimePoint now, Done done);
    /// Starts with the shortest backoff again, after everything has been written.
    void resetBackoff();
    /// Ends an append that has timed out.
    void checkTimeouts(TimePoint now);

private:
    HttpClientPool &pool_;
    Endpoint store_;
    const char *topic_;
    std::unique_ptr<HttpCall> call_;
    HttpResponse response_;
    Done done_;
    TimePoint begunAt_;
    TimePoint nextAt_;
    milliseconds backoff_;
};

} // namespace wisteria
