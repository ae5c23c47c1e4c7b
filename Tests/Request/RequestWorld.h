#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "Request/AgentAdmission.h"
#include "Request/EntryRequest.h"

namespace wisteria::test {

constexpr milliseconds hop{1};
constexpr milliseconds tickTime{10};
constexpr milliseconds heartbeatTime{250};
constexpr milliseconds lateBy{1200};
constexpr milliseconds reorderBy{15};
constexpr milliseconds configLag{150};
constexpr milliseconds frozenFor{1000};
constexpr milliseconds restartTime{200};
constexpr milliseconds backendRestartTime{800};
constexpr milliseconds callDeadline{600};
constexpr milliseconds callerPatience{700};
constexpr milliseconds repeatAfter{100};
/// From the world's start to the first request: homes have released and floors have passed.
constexpr seconds settled{10};
constexpr const char *serviceName = "locker";

std::string agentName(int agent);

/// Messages on a request's way; a fault meets one of them.
enum class Step {
    CallerToEntry,
    EntryToAgent,
    AgentToBackend,
    BackendToAgent,
    AgentVerdict,
    AgentChunk,
    AgentEnd,
    EntryToCaller
};
constexpr int stepCount = 8;

enum class Fault {
    Lost,
    Late,
    Duplicated,
    Reordered,
    SenderKilled,
    ReceiverKilled,
    SenderFrozen,
    ReceiverFrozen,
    SenderRestarted,
    ReceiverRestarted,
    /// The answer also reaches another request of the same entry.
    Misdelivered,
    /// The key's home is drained; another takes over.
    HomeLeft,
    /// A backend server joins and becomes the key's home.
    HomeJoined,
    /// It joined long before, but one entry has not heard of it.
    HomeJoinedBefore,
    CallerRepeats
};
constexpr int faultCount = 15;

std::string nameOf(Step step);
std::string nameOf(Fault fault);

struct PlacedFault
{
    Step step;
    Fault fault;
};

/// What a caller was told at the end of a try.
enum class Told { Answer, Cut, NotRun, OutcomeUnknown, AlreadyRun, ConnectionLost };

struct WorldOptions
{
    int entries = 2;
    int agents = 3;
    std::uint32_t concurrency = 1;
    std::uint32_t queueBound = 4;
    /// The last agent is drained at first and joins later.
    bool lastJoins = false;
    RequestGuards guards = {};
    std::vector<PlacedFault> faults = {};
};

/// Any process of the world: connections to an earlier epoch are dead.
struct Node
{
    bool alive = true;
    bool frozen = false;
    int epoch = 0;
    /// An entry whose callers may rightly miss their deadline.
    bool disturbed = false;
    std::vector<std::function<void()>> inbox;
};

/// Two entries, a few agents and counting backend servers in virtual time. The decisions are the
/// product's own; what is faked are sockets, clocks and backend servers.
class RequestWorld
{
public:
    explicit RequestWorld(const WorldOptions &options);

    /// One try of a caller's request through one entry.
    struct Call
    {
        int entry = 0;
        int entryEpoch = 0;
        CallerRequest request;
        RequestState state;
        TimePoint startedAt;
        std::optional<Told> told;
        v1::Reason reason = v1::REASON_UNSPECIFIED;
        std::string body;
        std::function<void(Told)> whenTold;
        bool marked = false;
        /// The call that also gets this one's frames.
        std::optional<std::size_t> misdeliveredTo;
    };

    TimePoint now;
    WallTime wall() const;
    void after(milliseconds delay, std::function<void()> action);
    /// Runs for a time, or until nothing more is going to happen.
    void run(milliseconds time);

    /// Sends a try; faults meet only marked ones.
    std::size_t submit(int entry, const CallerRequest &request, bool marked = false,
                       std::function<void(Told)> whenTold = {});
    void hangUp(std::size_t call);
    /// A caller that repeats through the other entries until it has an answer or is told "not run".
    void callUntilTold(const CallerRequest &request, int entry, bool marked, int triesLeft = 4);

    CallerRequest idempotentRequest(const std::string &content);
    CallerRequest keyedRequest(const std::string &content);
    /// A key whose home is the last agent as soon as it joins.
    CallerRequest keyedForLast(const std::string &content);
    /// Index of the key's home; -1 if every backend server is drained.
    int homeOf(const std::string &key) const;

    void killAgent(int agent, bool restart);
    void killBackend(int agent, bool restart);
    void killEntry(int entry, bool restart);
    void freeze(Node &node, milliseconds time);
    /// Drains or joins a backend server; entry 1 hears of it late or not at all.
    void setDraining(int agent, bool draining, bool entryHears = true);

    /// Whether every placed fault met a message that it can change.
    bool everyFaultMet() const;
    /// Breaches of the invariants so far; to be read after the world came to rest.
    std::vector<std::string> breaches() const;

    struct Agent
    {
        Node node;
        AdmissionState admission;
        std::map<StreamId, std::pair<std::size_t, v1::RunHead>> streams;
    };
    struct Backend
    {
        Node node;
        /// Fingerprints that kill it.
        std::set<std::uint64_t> *killers = nullptr;
        bool hung = false;
        std::set<StreamId> running;
        /// Streams whose request arrived: TCP hands a copy over only once.
        std::set<StreamId> received;
    };
    struct Entry
    {
        Node node;
        EntryState state;
        std::unique_ptr<EntryShared> shared;
    };

    std::vector<std::unique_ptr<Call>> calls;
    std::vector<Entry> entries;
    std::vector<Agent> agents;
    std::vector<Backend> backends;
    ConfigState config;
    std::set<std::uint64_t> killers;
    int backendDeaths = 0;
    milliseconds serviceTime{20};
    /// The caller's tries that ran, by key or, for idempotent requests, by request id.
    std::map<std::string, std::vector<std::uint32_t>> runs;

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence;
        bool periodic;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void deliver(Node &node, int epoch, const std::function<void()> &action);
    void send(Step step, std::size_t call, Node *sender, Node *receiver,
              const std::function<void()> &action);
    bool applyFault(Fault fault, std::size_t call, Node *sender, Node *receiver,
                    const std::function<void()> &transfer);
    void kill(Node *node, bool restart);
    void act(std::size_t call, const EntryAction &action);
    void attempt(std::size_t call, const SendAttempt &attempt);
    void frameArrived(std::size_t call, const v1::AgentFrame &frame);
    void cancelStream(std::size_t call);
    void checkDeadline(std::size_t call);
    void tell(std::size_t call, Told told, v1::Reason reason);
    void act(int agent, const AdmissionActions &actions);
    void startBackend(int agent, StreamId stream);
    void backendRuns(int agent, StreamId stream, std::size_t call, const v1::RunHead &head);
    void endRun(int agent, StreamId stream, const BackendResult &result);
    void sendAnswer(int agent, StreamId stream, const std::string &body);
    void sendFrame(Step step, int agent, StreamId stream, v1::AgentFrame frame);
    void startAgent(int agent);
    void startEntry(int entry);
    void everyTick();
    void heartbeats();
    void handovers();
    int agentNamed(const std::string &name) const;
    void every(milliseconds period, const std::function<void()> &action);
    std::string newKey();
    void publish(v1::ObjectKind kind, const std::string &name, const v1::Object &object);

    WorldOptions options_;
    std::vector<bool> faultUsed_;
    int faultsWithoutEffect_ = 0;
    /// All calls before it were told their end.
    std::size_t firstOpen_ = 0;
    std::priority_queue<Event> events_;
    std::uint64_t sequence_ = 0;
    /// Events to come that are not periodic.
    int pending_ = 0;
    StreamId lastStream_ = 0;
    std::uint64_t lastId_ = 0;
    std::vector<std::string> seenBreaches_;
    /// Highest try of which a caller was told that it and all earlier ones did not run.
    std::map<std::string, std::uint32_t> saidNotRun_;
};

} // namespace wisteria::test
