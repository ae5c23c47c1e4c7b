#include "Process/EntryDirectory.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "Connection/HttpLogClient.h"
#include "Process/Logging.h"

namespace wisteria {

namespace {

const char *const entriesStream = "entries";
constexpr milliseconds readWait(0);
constexpr milliseconds appendTimeout(1000);
/// Number of newest records that contain at least one of each entry, at the largest planned number
/// of entries.
constexpr Offset recordsAtStart = 4096;
/// Beyond every record: a read from there returns only the log's end.
constexpr Offset beyondEnd = Offset(1) << 62;
/// How often the stream is read; the time within which a new entry is noticed.
constexpr milliseconds readInterval(2000);

} // namespace

class EntryDirectory::Private
{
public:
    Private(const std::string &logUrl, v1::EntryMemberRecord self, Changed changed)
        : log_(logUrl), self_(std::move(self)), changed_(std::move(changed)),
          thread_([this] { run(); })
    { }

    ~Private()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            stopping_ = true;
        }
        wake_.notify_all();
        thread_.join();
    }

private:
    void run()
    {
        while (!stopping_) {
            announce();
            follow();
            std::unique_lock<std::mutex> lock(mutex_);
            wake_.wait_for(lock, readInterval, [this] { return stopping_.load(); });
        }
        self_.set_leaving(true);
        static_cast<void>(log_.append(entriesStream, self_.SerializeAsString(), appendTimeout));
    }

    /// Appends this entry's record if it is due. A lost answer is harmless: duplicate records have
    /// no effect.
    void announce()
    {
        const TimePoint now = monotonicNow();
        if (announcedAt_ && now - *announcedAt_ < memberInterval)
            return;
        const auto appended = log_.append(entriesStream, self_.SerializeAsString(), appendTimeout);
        if (appended.has_value())
            announcedAt_ = now;
    }

    /// Sets the start of reading. The stream may be long, and only its newest records are relevant.
    /// @return Whether the log answered.
    bool findStart()
    {
        const auto batch = log_.read(entriesStream, beyondEnd, readWait);
        if (batch.has_error())
            return false;
        const Offset end = batch.value().end;
        members_.position = end > recordsAtStart ? end - recordsAtStart : 0;
        return true;
    }

    void follow()
    {
        if (!started_ && !findStart())
            return;
        started_ = true;
        const auto batch = log_.read(entriesStream, members_.position + 1, readWait);
        if (batch.has_error())
            return;
        // Records that the log's retention removed are superseded by each entry's next one.
        if (batch.value().first > members_.position + 1)
            members_.position = batch.value().first - 1;
        if (updateMembers(members_, batch.value(), monotonicNow())) {
            loggerFor("entries")->info("{} entries serve callers.", members_.members.size());
            changed_(members_);
        }
    }

    HttpLogClient log_;
    v1::EntryMemberRecord self_;
    Changed changed_;
    EntryMembers members_;
    bool started_ = false;
    std::optional<TimePoint> announcedAt_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

EntryDirectory::EntryDirectory(const std::string &logUrl, v1::EntryMemberRecord self,
                               Changed changed)
    : private_(std::make_unique<Private>(logUrl, std::move(self), std::move(changed)))
{ }

EntryDirectory::~EntryDirectory() = default;

} // namespace wisteria
