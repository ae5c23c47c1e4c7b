#include "Process/VmWatcher.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "Connection/PlatformHttp.h"
#include "Process/Logging.h"

namespace wisteria {

namespace {

constexpr milliseconds pollInterval(1000);
constexpr milliseconds requestTimeout(2000);
constexpr long httpOk = 200;

} // namespace

class VmWatcher::Private
{
public:
    Private(const std::string &url, OnUpdate onUpdate)
        : http_(url), onUpdate_(std::move(onUpdate)), thread_([this] { run(); })
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
            poll();
            lock.lock();
            wake_.wait_for(lock, pollInterval, [this] { return stopping_; });
        }
    }

    void poll()
    {
        const PlatformAnswer answer = http_.get("/vms", requestTimeout);
        if (answer.status != httpOk)
            return loggerFor("vms")->debug("The list of VMs is not available ({}).",
                                           describe(answer));
        const auto list = parseVmList(answer.body);
        if (list.has_error())
            return loggerFor("vms")->warn("{}", list.error().message);
        updateVmList(view_, list.value(), monotonicNow());
        onUpdate_(view_);
    }

    PlatformHttp http_;
    OnUpdate onUpdate_;
    VmView view_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

VmWatcher::VmWatcher(const std::string &url, OnUpdate onUpdate)
    : private_(std::make_unique<Private>(url, std::move(onUpdate)))
{ }

VmWatcher::~VmWatcher() = default;

} // namespace wisteria
