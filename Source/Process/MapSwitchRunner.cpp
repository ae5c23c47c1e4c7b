#include "Process/MapSwitchRunner.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

#include "Process/Logging.h"
#include "Version/MapSwitchAgent.h"

namespace wisteria {

namespace {

/// How often decisions look at their timers.
constexpr milliseconds tick(10);
/// How long the log holds a read open: short while a switch is under way, so that an outage shows
/// before ranks arm; long at rest, to spare the log.
constexpr milliseconds waitWhileSwitching(50);
constexpr milliseconds waitAtRest(2000);
/// Pause after the log gave no answer.
constexpr milliseconds logRetryPause(100);
constexpr milliseconds appendTimeout(1000);
/// Work that may wait for a thread; more is dropped, and the decisions ask again.
constexpr std::size_t queueBound = 16;
/// Records after which the coordinator appends a snapshot, so that retention never reaches past the
/// newest one.
constexpr Offset recordsPerSnapshot = 512;

/// One thread that works off a bounded queue.
class WorkThread
{
public:
    WorkThread() : thread_([this] { run(); }) { }
    ~WorkThread()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            stopping_ = true;
        }
        wake_.notify_all();
        thread_.join();
    }
    WorkThread(const WorkThread &) = delete;
    WorkThread &operator=(const WorkThread &) = delete;

    void post(std::function<void()> work)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (queue_.size() >= queueBound)
            return;
        queue_.push_back(std::move(work));
        wake_.notify_all();
    }

private:
    void run()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        while (!stopping_) {
            wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
            if (stopping_)
                return;
            const auto work = std::move(queue_.front());
            queue_.pop_front();
            lock.unlock();
            work();
            lock.lock();
        }
    }

    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::deque<std::function<void()>> queue_;
    std::thread thread_;
};

} // namespace

class MapSwitchRunner::Private
{
public:
    Private(EventLoop &loop, const GroupMembership &membership, MapSwitchPorts ports,
            Metrics &metrics, MapSwitchChanged changed, const MapSwitchTiming &timing)
        : loop_(loop), membership_(membership), ports_(ports), metrics_(metrics),
          changed_(std::move(changed)), stream_("group/" + membership.group),
          agent_(makeGroupAgent(membership.self, membership.ranks, timing, MapSwitchGuards(),
                                monotonicNow())),
          reader_([this] { followLog(); })
    {
        agent_.rank.engineChecksFencing = membership.engineChecksFencing;
        exportMetrics(status_);
        scheduleTick();
    }

    ~Private()
    {
        stopping_ = true;
        loop_.cancel(timer_);
        ports_.reader.interrupt();
        ports_.appender.interrupt();
        ports_.engine.interrupt();
        reader_.join();
    }
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void deliver(const v1::GroupMessage &message)
    {
        loop_.post([this, message] {
            MapSwitchActions actions;
            onGroupMessage(agent_, monotonicNow(), message.from_rank(), message, actions);
            perform(actions);
            advance();
        });
    }

    void want(const v1::ExpertMap &map)
    {
        loop_.post([this, map] {
            wantMap(agent_.coordinator, map);
            advance();
        });
    }

    void setDraining(bool draining)
    {
        loop_.post([this, draining] { agent_.rank.draining = draining; });
    }

    MapSwitchStatus status() const
    {
        const std::lock_guard<std::mutex> lock(statusMutex_);
        return status_;
    }

private:
    // On the control loop.

    void scheduleTick()
    {
        timer_ = loop_.runAfter(tick, [this] {
            advance();
            scheduleTick();
        });
    }

    void advance()
    {
        MapSwitchActions actions;
        advanceGroupAgent(agent_, monotonicNow(), actions);
        perform(actions);
        switching_ = agent_.rank.candidate.has_value() || agent_.coordinator.wanted.has_value()
            || !isMember(agent_.rank, agent_.group);
        publish();
    }

    void perform(const MapSwitchActions &actions)
    {
        for (const MapSwitchAction &action : actions) {
            if (const auto *append = std::get_if<AppendAction>(&action))
                appendRecord(append->record);
            else if (const auto *send = std::get_if<SendAction>(&action))
                sendMessage(*send);
            else
                giveOrder(std::get<EngineAction>(action).order);
        }
    }

    /// The answer is not looked at: what counts is read back from the stream.
    void appendRecord(const v1::GroupRecord &record)
    {
        appendThread_.post([this, data = record.SerializeAsString()] {
            const auto offset = ports_.appender.append(stream_, data, appendTimeout);
            if (offset.has_error())
                loggerFor("map")->warn("An append gave no offset: {}.", offset.error().message);
        });
    }

    void sendMessage(const SendAction &send)
    {
        v1::GroupMessage message = send.message;
        message.set_group(membership_.group);
        message.set_from_rank(membership_.self.rank);
        if (send.rank == membership_.self.rank)
            deliver(message);
        else
            ports_.link.send(send.rank, message);
    }

    /// An answer that takes longer than the quarantine would be ignored, so no call lasts longer.
    void giveOrder(const EngineOrder &order)
    {
        const milliseconds timeout = order.kind == EngineOrderKind::Query
            ? agent_.timing.resend
            : agent_.timing.orderQuarantine;
        engineThread_.post([this, order, timeout] {
            const auto status = ports_.engine.give(order, timeout);
            if (status.has_error()) {
                loggerFor("map")->warn("An order gave no status: {}.", status.error().message);
                return;
            }
            loop_.post([this, sequence = order.sequence, answer = status.value()] {
                onEngineAnswer(agent_, monotonicNow(), sequence, answer);
                advance();
            });
        });
    }

    void publish()
    {
        MapSwitchStatus status;
        const TimePoint now = monotonicNow();
        status.mapVersion = agent_.group.current.version;
        status.mapDigest = agent_.group.current.map.digest();
        status.stalled = refusesCallers(agent_, now);
        status.coordinates = holdsLease(agent_.coordinator.lease, agent_.group, now);
        status.superseded = isSuperseded(agent_.rank, agent_.group);
        status.logAnswers =
            agent_.rank.logAnsweredAt && now - *agent_.rank.logAnsweredAt <= agent_.timing.lease;
        const bool changed = status.mapVersion != status_.mapVersion
            || status.stalled != status_.stalled || status.coordinates != status_.coordinates
            || status.superseded != status_.superseded;
        {
            // Only this thread writes, so it reads without the lock.
            const std::lock_guard<std::mutex> lock(statusMutex_);
            status_ = status;
        }
        if (!changed)
            return;
        exportMetrics(status);
        if (changed_)
            changed_(status);
    }

    void exportMetrics(const MapSwitchStatus &status)
    {
        const MetricLabels labels = {{"group", membership_.group}};
        metrics_.set("wisteria_map_version", "Version of the expert map in force",
                     static_cast<double>(status.mapVersion), labels);
        metrics_.set("wisteria_map_switch_stalled",
                     "1 while the rank can't run steps and callers are refused",
                     status.stalled ? 1 : 0, labels);
        metrics_.set("wisteria_map_coordinator", "1 while this agent holds the group's lease",
                     status.coordinates ? 1 : 0, labels);
        loggerFor("map")->info("Group {}: map version {}{}{}.", membership_.group,
                               status.mapVersion, status.stalled ? ", stalled" : "",
                               status.coordinates ? ", coordinating" : "");
    }

    // On the reader's thread; only replay is handed to the control loop.

    void followLog()
    {
        Offset from = 1;
        while (!stopping_) {
            const milliseconds wait = switching_ ? waitWhileSwitching : waitAtRest;
            auto batch = ports_.reader.read(stream_, from, wait);
            if (batch.has_error()) {
                std::this_thread::sleep_for(logRetryPause);
                continue;
            }
            const Offset next = nextOffset(batch.value(), from);
            const bool gap = from > 1 && batch.value().first > from;
            loop_.post([this, records = std::move(batch.value()), gap] { take(records, gap); });
            from = next;
        }
    }

    static Offset nextOffset(const LogBatch &batch, Offset from)
    {
        return batch.records.empty() ? std::max(from, batch.first)
                                     : batch.records.back().offset + 1;
    }

    void take(const LogBatch &batch, bool gap)
    {
        if (!takeRecords(agent_.group, batch, agent_.guards) && gap) {
            loggerFor("map")->error("Records of {} expired before they were read and no snapshot "
                                    "replaces them; restart this agent.",
                                    stream_);
        }
        onLogAnswered(agent_, monotonicNow());
        advance();
        appendSnapshotWhenDue();
    }

    void appendSnapshotWhenDue()
    {
        const GroupState &group = agent_.group;
        const bool due = group.position >= group.snapshotAt + recordsPerSnapshot;
        if (!due || snapshotSentAt_ == group.snapshotAt + 1
            || !holdsLease(agent_.coordinator.lease, group, monotonicNow()))
            return;
        snapshotSentAt_ = group.snapshotAt + 1;
        v1::GroupRecord record;
        *record.mutable_snapshot() = snapshotOf(group);
        appendRecord(record);
    }

    EventLoop &loop_;
    const GroupMembership membership_;
    MapSwitchPorts ports_;
    Metrics &metrics_;
    MapSwitchChanged changed_;
    const std::string stream_;
    GroupAgent agent_;
    EventLoop::TimerId timer_ = 0;
    Offset snapshotSentAt_ = 0;
    mutable std::mutex statusMutex_;
    MapSwitchStatus status_;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> switching_ = true;
    WorkThread appendThread_;
    WorkThread engineThread_;
    std::thread reader_;
};

MapSwitchRunner::MapSwitchRunner(EventLoop &loop, const GroupMembership &membership,
                                 MapSwitchPorts ports, Metrics &metrics, MapSwitchChanged changed,
                                 const MapSwitchTiming &timing)
    : private_(
        std::make_unique<Private>(loop, membership, ports, metrics, std::move(changed), timing))
{ }

MapSwitchRunner::~MapSwitchRunner() = default;

void MapSwitchRunner::deliver(const v1::GroupMessage &message)
{
    private_->deliver(message);
}

void MapSwitchRunner::want(const v1::ExpertMap &map)
{
    private_->want(map);
}

void MapSwitchRunner::setDraining(bool draining)
{
    private_->setDraining(draining);
}

MapSwitchStatus MapSwitchRunner::status() const
{
    return private_->status();
}

} // namespace wisteria
