#include "Process/VmWatcher.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "Connection/PlatformHttp.h"
#include "Process/Logging.h"

namespace wisteria {

namespace {

constexpr milliseconds askInterval(1000);
constexpr milliseconds askTimeout(2000);
constexpr long httpOk = 200;

} // namespace

class VmWatcher::Private
{
public:
    Private(const std::string &url, Seen seen)
        : http_(url), seen_(std::move(seen)), thread_([this] { run(); })
    { }

    ~Private()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            stopping_ = true;
        }
        http_.interrupt();
        wake_.notify_all();
        thread_.join();
    }

private:
    void run()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        while (!stopping_) {
            lock.unlock();
            ask();
            lock.lock();
            wake_.wait_for(lock, askInterval, [this] { return stopping_; });
        }
    }

    void ask()
    {
        const PlatformAnswer answer = http_.get("/vms", askTimeout);
        if (answer.status != httpOk)
            return loggerFor("vms")->debug("No list of VMs ({}).", describe(answer));
        const auto list = parseVmList(answer.body);
        if (list.has_error())
            return loggerFor("vms")->warn("{}", list.error().message);
        updateVmList(view_, list.value(), monotonicNow());
        seen_(view_);
    }

    PlatformHttp http_;
    Seen seen_;
    VmView view_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

VmWatcher::VmWatcher(const std::string &url, Seen seen)
    : private_(std::make_unique<Private>(url, std::move(seen)))
{ }

VmWatcher::~VmWatcher() = default;

} // namespace wisteria
