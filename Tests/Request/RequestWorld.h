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

constexpr milliseconds hopDelay{1};
constexpr milliseconds tickTime{10};
constexpr milliseconds heartbeatTime{250};
constexpr milliseconds lateBy{1200};
constexpr milliseconds reorderBy{15};
constexpr milliseconds configLag{150};
constexpr milliseconds frozenFor{1000};
constexpr milliseconds restartTime{200};
constexpr milliseconds backendRestartTime{800};
constexpr milliseconds callDeadline{600};
constexpr milliseconds callerTimeout{700};
constexpr milliseconds repeatAfter{100};
/// From the world's start to the first request: by then former owners have released their keys, and
/// new keys are above the floors.
constexpr seconds settleTime{10};
constexpr const char *serviceName = "locker";

std::string agentName(int agent);

/// Messages of one request in order; a fault applies to one of them.
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
    /// The frames also reach another request of the same entry.
    Misdelivered,
    /// The key's owner is drained; another backend server becomes the owner.
    OwnerLeft,
    /// A backend server joins and becomes the key's owner.
    OwnerJoined,
    /// It joined long before, but one entry was not informed.
    OwnerJoinedBefore,
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

/// How a caller's try ended.
enum class CallResult { Answer, Cut, NotRun, OutcomeUnknown, AlreadyRun, ConnectionLost };

struct WorldOptions
{
    int entries = 2;
    int agents = 3;
    std::uint32_t concurrency = 1;
    std::uint32_t queueBound = 4;
    /// The last agent is drained at the start and joins later.
    bool lastAgentJoins = false;
    RequestGuards guards = {};
    std::vector<PlacedFault> faults = {};
};

/// A process of the world. Connections to an earlier epoch are closed.
struct Node
{
    bool alive = true;
    bool frozen = false;
    int epoch = 0;
    /// Was frozen or killed, so that callers of this entry may miss their deadline.
    bool disturbed = false;
    std::vector<std::function<void()>> inbox;
};

/// Simulates entries, agents and backend servers that count runs, in virtual time. The decisions
/// are the product's code; sockets, clocks and backend servers are simulated.
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
        std::optional<CallResult> result;
        v1::Reason reason = v1::REASON_UNSPECIFIED;
        std::string body;
        std::function<void(CallResult)> onResult;
        bool faultsApply = false;
        /// Another call that gets this one's frames too.
        std::optional<std::size_t> misdeliveredTo;
    };

    TimePoint now;
    WallTime wall() const;
    void after(milliseconds delay, std::function<void()> action);
    /// Runs for a time; skips to its end once only periodic events are left.
    void run(milliseconds time);

    /// Sends a try; faults apply only to marked ones.
    std::size_t submit(int entry, const CallerRequest &request, bool faultsApply = false,
                       std::function<void(CallResult)> onResult = {});
    void hangUp(std::size_t call);
    /// Sends a request and repeats it through the other entries until it has an answer or is
    /// refused as not run or already run.
    void callWithRetries(const CallerRequest &request, int entry, bool faultsApply,
                         int triesLeft = 4);

    CallerRequest idempotentRequest(const std::string &content);
    CallerRequest keyedRequest(const std::string &content);
    /// A request with a key that the last agent owns as soon as it joins.
    CallerRequest keyedForLastAgent(const std::string &content);
    /// Index of the key's owner; -1 if every backend server is drained.
    int ownerOf(const std::string &key) const;

    void killAgent(int agent, bool restart);
    void killBackend(int agent, bool restart);
    void killEntry(int entry, bool restart);
    void freeze(Node &node, milliseconds time);
    /// Drains or joins a backend server; entry 1 is informed late, or not at all.
    void setDraining(int agent, bool draining, bool informEntry1 = true);

    /// Whether every fault applied to a message that it can affect.
    bool allFaultsApplied() const;
    /// Violations of the invariants so far; valid once no more than periodic events are left.
    std::vector<std::string> violations() const;

    struct Agent
    {
        Node node;
        AdmissionState admission;
        std::map<StreamId, std::pair<std::size_t, v1::RunHead>> streams;
    };
    struct Backend
    {
        Node node;
        /// Fingerprints of requests that crash it.
        std::set<std::uint64_t> *poisonFingerprints = nullptr;
        bool stalled = false;
        std::set<StreamId> running;
        /// Streams whose request arrived: TCP delivers a duplicate only once.
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
    std::set<std::uint64_t> poisonFingerprints;
    int backendDeaths = 0;
    milliseconds serviceTime{20};
    /// Numbers of the caller's tries that ran, by key or, for idempotent requests, by request id.
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
    void finishCall(std::size_t call, CallResult result, v1::Reason reason);
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
    /// All calls before it have ended.
    std::size_t firstOpen_ = 0;
    std::priority_queue<Event> events_;
    std::uint64_t sequence_ = 0;
    /// Scheduled events that are not periodic.
    int pending_ = 0;
    StreamId lastStream_ = 0;
    std::uint64_t lastId_ = 0;
    std::vector<std::string> seenViolations_;
    /// Number of the latest try that was refused as NotRun, by identity. No try up to it may run.
    std::map<std::string, std::uint32_t> notRunReported_;
};

} // namespace wisteria::test
