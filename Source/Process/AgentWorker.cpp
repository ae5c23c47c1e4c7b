#include "Process/AgentWorker.h"

#include <map>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "Connection/BackendClient.h"
#include "Connection/FrameCodec.h"
#include "Connection/PeerServer.h"
#include "Peer.pb.h"
#include "Process/AgentPeerCalls.h"
#include "Process/BackendHealth.h"
#include "Process/EventLoop.h"
#include "Process/Logging.h"

namespace wisteria {

namespace {

constexpr milliseconds tickInterval(20);
constexpr milliseconds idleCheck(20);
/// Bytes that may be queued for a slow entry before reading from the backend server pauses.
constexpr std::size_t pauseAboveBytes = 256 * 1024;

/// State of one attempt in the I/O layer.
struct Run
{
    v1::RunHead head;
    std::string body;
    TimePoint deadline;
    std::optional<BackendClient::CallId> call;
    bool accepted = false;
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::uint64_t answerBytes = 0;
    /// The answer so far, while it is small enough to be stored for a repeat.
    std::optional<std::string> storableAnswer = std::string();
    /// The backend server's connection broke; its health check has yet to show whether it died.
    bool cut = false;
};

std::string hexadecimal(const std::string &bytes)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : bytes) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 0x0f]);
    }
    return text;
}

} // namespace

class AgentWorker::Private : public PeerService
{
public:
    Private(const AgentSettings &settings, std::uint64_t incarnation, Metrics &metrics,
            AgentWorkerEvents events)
        : name_(settings.name), metrics_(metrics), events_(std::move(events)),
          server_(loop_, *this), backend_(loop_, settings.backendUrl),
          health_(loop_, backend_, [this](BackendCondition seen) { applyCondition(seen); }),
          calls_(loop_, server_, admission_, {settings.name, incarnation}, events_),
          logger_(loggerFor("agent"))
    {
        admission_.ownName = settings.name;
        admission_.incarnation = incarnation;
    }

    ~Private() override
    {
        loop_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    void start()
    {
        scheduleTick();
        health_.start();
        calls_.start();
        thread_ = std::thread([this] { loop_.run(); });
    }

    void requestReceived(PeerStreamId stream, const std::string &path,
                         std::vector<std::string> frames) override
    {
        if (path == "/v1/run")
            return runReceived(stream, frames);
        if (frames.size() != 1)
            return server_.abort(stream);
        calls_.received(stream, path, frames.front());
    }

    void streamCancelled(PeerStreamId stream) override
    {
        if (!runs_.contains(stream))
            return;
        perform(wisteria::streamCancelled(admission_, stream, monotonicNow()));
        // A non-idempotent run continues without its stream, so that a repeat gets the answer.
        const auto run = runs_.find(stream);
        if (run != runs_.end() && !run->second.call)
            runs_.erase(run);
    }

    void streamDrained(PeerStreamId stream) override
    {
        const auto run = runs_.find(stream);
        if (run != runs_.end() && run->second.call)
            backend_.setPaused(*run->second.call, false);
    }

    void configure(const std::shared_ptr<const ConfigState> &config)
    {
        calls_.setConfiguration(config);
        perform(setAdmissionConfiguration(admission_, *config, name_, monotonicNow(), wallNow()));
        metrics_.set("wisteria_config_version", "Configuration version in force.",
                     static_cast<double>(config->version));
    }

    /// Counts former owners on VMs that are gone as released: they can run no key any more.
    void noteVms(const VmView &view)
    {
        for (const HandoverRequest &request : pendingHandovers(admission_)) {
            if (isVmGone(view, request.vm))
                vmGone(admission_, request.vm, monotonicNow(), wallNow());
        }
    }

    void drain(std::function<void()> idleCallback)
    {
        logger_->info("Shutting down: {} streams are open.", server_.openStreams());
        perform(beginDraining(admission_, monotonicNow()));
        server_.beginShutdown();
        waitUntilIdle(std::move(idleCallback));
    }

    EventLoop &loop() { return loop_; }
    PeerServer &server() { return server_; }

private:
    void runReceived(PeerStreamId stream, const std::vector<std::string> &frames)
    {
        Run run;
        if (!readRun(frames, run))
            return refuseMalformed(stream);
        const TimePoint now = monotonicNow();
        run.deadline = now + milliseconds(run.head.remaining_ms());
        const v1::RunHead head = run.head;
        runs_[stream] = std::move(run);
        perform(attemptArrived(admission_, stream, head, now, wallNow()));
    }

    static bool readRun(const std::vector<std::string> &frames, Run &run)
    {
        for (const std::string &content : frames) {
            v1::RunFrame frame;
            if (!frame.ParseFromString(content))
                return false;
            if (frame.has_head())
                run.head = frame.head();
            else
                run.body += frame.body();
        }
        return !run.head.request_id().empty() && run.head.body_bytes() == run.body.size();
    }

    void refuseMalformed(PeerStreamId stream)
    {
        logger_->warn("A peer sent a malformed attempt; check that both run matching releases.");
        v1::AgentFrame frame;
        frame.mutable_verdict()->set_kind(v1::VERDICT_KIND_NOT_RUN);
        frame.mutable_verdict()->set_reason(v1::REASON_BAD_REQUEST);
        sendFrame(stream, frame, true);
    }

    void perform(const AdmissionActions &actions)
    {
        for (const AdmissionAction &action : actions)
            std::visit([this](const auto &one) { performOne(one); }, action);
    }

    void performOne(const StartBackend &action)
    {
        const auto found = runs_.find(action.stream);
        if (found == runs_.end())
            return;
        Run &run = found->second;
        const milliseconds left = remaining(monotonicNow(), run.deadline);
        BackendCall call{.service = run.head.service(),
                         .requestId = hexadecimal(run.head.request_id()),
                         .key = run.head.key(),
                         .priority = run.head.priority(),
                         .deadline = left,
                         .body = std::exchange(run.body, {})};
        run.call =
            backend_.start(std::move(call), std::make_shared<AnswerHandler>(*this, action.stream));
    }

    void performOne(const RefuseAttempt &action)
    {
        const auto found = runs_.find(action.stream);
        if (found == runs_.end() || found->second.accepted)
            return;
        v1::AgentFrame frame = frameFor(found->second.head);
        *frame.mutable_verdict() = action.verdict;
        sendFrame(action.stream, frame, true);
        countRun(v1::VerdictKind_Name(action.verdict.kind()));
        runs_.erase(found);
    }

    void performOne(const ReplayAnswer &action)
    {
        const auto found = runs_.find(action.stream);
        if (found == runs_.end())
            return;
        const v1::RunHead head = found->second.head;
        sendAccepted(action.stream, head, action.httpStatus, action.contentType);
        sendChunk(action.stream, head, action.body);
        sendEnd(action.stream, head, true, action.body.size());
        countRun("replayed");
        runs_.erase(found);
    }

    void performOne(const CancelBackend &action)
    {
        const auto found = runs_.find(action.stream);
        if (found == runs_.end())
            return;
        if (found->second.call)
            backend_.cancel(*found->second.call);
        runs_.erase(found);
    }

    /// Passes one call's answer to the worker.
    class AnswerHandler : public BackendCallHandler
    {
    public:
        AnswerHandler(Private &worker, PeerStreamId stream) : worker_(worker), stream_(stream) { }

        void answerStarted(std::uint32_t status, const std::string &contentType) override
        {
            worker_.answerStarted(stream_, status, contentType);
        }

        void answerBytes(std::string_view bytes) override { worker_.answerBytes(stream_, bytes); }

        void answerEnded(BackendCallEnd end) override { worker_.answerEnded(stream_, end); }

    private:
        Private &worker_;
        PeerStreamId stream_;
    };

    void answerStarted(PeerStreamId stream, std::uint32_t status, const std::string &contentType)
    {
        const auto found = runs_.find(stream);
        if (found == runs_.end())
            return;
        Run &run = found->second;
        run.accepted = true;
        run.httpStatus = status;
        run.contentType = contentType;
        sendAccepted(stream, run.head, status, contentType);
    }

    void answerBytes(PeerStreamId stream, std::string_view bytes)
    {
        const auto found = runs_.find(stream);
        if (found == runs_.end())
            return;
        Run &run = found->second;
        run.answerBytes += bytes.size();
        if (run.storableAnswer && run.storableAnswer->size() + bytes.size() <= maxStoredAnswerBytes)
            run.storableAnswer->append(bytes);
        else
            run.storableAnswer.reset();
        sendChunk(stream, run.head, bytes);
        if (server_.queuedBytes(stream) > pauseAboveBytes)
            backend_.setPaused(*run.call, true);
    }

    void answerEnded(PeerStreamId stream, BackendCallEnd end)
    {
        const auto found = runs_.find(stream);
        if (found == runs_.end())
            return;
        found->second.call.reset();
        if (end == BackendCallEnd::ConnectionLost) {
            // The backend server may have died. Its health check decides, since only a death makes
            // suspects of the requests that ran.
            found->second.cut = true;
            return health_.noteConnectionLost();
        }
        endRun(stream, backendEndOf(end));
    }

    /// How a run ended whose call did not lose its connection.
    static BackendEnd backendEndOf(BackendCallEnd end)
    {
        switch (end) {
        case BackendCallEnd::Complete:
            return BackendEnd::Answered;
        case BackendCallEnd::NotConnected:
            return BackendEnd::NotConnected;
        case BackendCallEnd::TimedOut:
            return BackendEnd::TimedOut;
        case BackendCallEnd::Malformed:
        case BackendCallEnd::ConnectionLost:
            break;
        }
        return BackendEnd::Cut;
    }

    void endRun(PeerStreamId stream, BackendEnd end)
    {
        const auto found = runs_.find(stream);
        if (found == runs_.end())
            return;
        Run &run = found->second;
        BackendResult result{end, run.httpStatus, run.contentType, std::nullopt};
        if (end == BackendEnd::Answered)
            result.body = run.storableAnswer;
        const bool accepted = run.accepted;
        const AdmissionActions actions = backendEnded(admission_, stream, result, monotonicNow());
        if (accepted) {
            sendEnd(stream, run.head, end == BackendEnd::Answered, run.answerBytes);
            countRun(end == BackendEnd::Answered ? "answered" : "cut");
            runs_.erase(found);
        }
        perform(actions);
    }

    void sendAccepted(PeerStreamId stream, const v1::RunHead &head, std::uint32_t status,
                      const std::string &contentType)
    {
        v1::AgentFrame frame = frameFor(head);
        frame.mutable_verdict()->set_kind(v1::VERDICT_KIND_ACCEPTED);
        frame.mutable_verdict()->set_http_status(status);
        frame.mutable_verdict()->set_content_type(contentType);
        sendFrame(stream, frame, false);
    }

    void sendChunk(PeerStreamId stream, const v1::RunHead &head, std::string_view bytes)
    {
        v1::AgentFrame frame = frameFor(head);
        frame.set_chunk(std::string(bytes));
        sendFrame(stream, frame, false);
    }

    void sendEnd(PeerStreamId stream, const v1::RunHead &head, bool complete, std::uint64_t bytes)
    {
        v1::AgentFrame frame = frameFor(head);
        frame.mutable_end()->set_complete(complete);
        frame.mutable_end()->set_bytes(bytes);
        sendFrame(stream, frame, true);
    }

    /// Every frame names the request and attempt that it answers, so that each hop can detect a
    /// misdelivered one.
    v1::AgentFrame frameFor(const v1::RunHead &head) const
    {
        v1::AgentFrame frame;
        frame.set_request_id(head.request_id());
        frame.set_attempt(head.attempt());
        frame.set_config_version(admission_.configVersion);
        *frame.mutable_load() = loadReport(admission_);
        return frame;
    }

    void sendFrame(PeerStreamId stream, const google::protobuf::MessageLite &frame, bool last)
    {
        std::string out;
        appendFrame(out, frame);
        server_.reply(stream, out, last);
    }

    void scheduleTick()
    {
        loop_.runAfter(tickInterval, [this] {
            perform(tick(admission_, monotonicNow(), wallNow()));
            scheduleTick();
        });
    }

    void applyCondition(BackendCondition condition)
    {
        const bool died = condition == BackendCondition::Dead;
        const bool stalled = condition == BackendCondition::Stalled;
        if (stalled && !std::exchange(admission_.backendStalled, true))
            logger_->warn("The backend server is stalled: it gives no answer to its health check.");
        admission_.backendStalled = stalled;
        if (died && admission_.backendUp)
            logger_->warn("The backend server died with {} requests running.",
                          admission_.running.size());
        if (condition == BackendCondition::Up && !admission_.backendUp)
            logger_->info("The backend server is up.");
        if (condition != BackendCondition::Stalled)
            perform(backendHealth(admission_, !died, monotonicNow()));
        endCutRuns(died ? BackendEnd::Died : BackendEnd::Cut);
    }

    void endCutRuns(BackendEnd end)
    {
        std::vector<PeerStreamId> cut;
        for (const auto &[stream, run] : runs_) {
            if (run.cut)
                cut.push_back(stream);
        }
        for (const PeerStreamId stream : cut)
            endRun(stream, end);
    }

    void waitUntilIdle(std::function<void()> idleCallback)
    {
        if (idle(admission_) && server_.openStreams() == 0)
            return idleCallback();
        loop_.runAfter(idleCheck, [this, idleCallback = std::move(idleCallback)]() mutable {
            waitUntilIdle(std::move(idleCallback));
        });
    }

    void countRun(const std::string &end)
    {
        metrics_.count("wisteria_agent_attempts_total", "Attempts by how they ended.",
                       {{"end", end}});
    }

    std::string name_;
    Metrics &metrics_;
    AgentWorkerEvents events_;
    EventLoop loop_;
    AdmissionState admission_;
    PeerServer server_;
    BackendClient backend_;
    BackendHealth health_;
    AgentPeerCalls calls_;
    std::shared_ptr<spdlog::logger> logger_;
    std::map<PeerStreamId, Run> runs_;
    std::thread thread_;
};

AgentWorker::AgentWorker(const AgentSettings &settings, std::uint64_t incarnation, Metrics &metrics,
                         AgentWorkerEvents events)
    : private_(std::make_unique<Private>(settings, incarnation, metrics, std::move(events)))
{ }

AgentWorker::~AgentWorker() = default;

Result<std::string> AgentWorker::listen(const std::string &address)
{
    return private_->server().listen(address);
}

void AgentWorker::start()
{
    private_->start();
}

void AgentWorker::configure(std::shared_ptr<const ConfigState> config)
{
    private_->loop().post([this, config = std::move(config)] { private_->configure(config); });
}

void AgentWorker::noteVms(VmView view)
{
    private_->loop().post([this, view = std::move(view)] { private_->noteVms(view); });
}

void AgentWorker::drain(std::function<void()> idle)
{
    private_->loop().post([this, idle = std::move(idle)] { private_->drain(idle); });
}

} // namespace wisteria
