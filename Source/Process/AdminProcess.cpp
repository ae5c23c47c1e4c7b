#include "Process/AdminProcess.h"

#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>
#include <thread>

#include <grpcpp/grpcpp.h>

#include "Connection/HttpLogClient.h"
#include "Connection/MetricsServer.h"
#include "Process/AdminService.h"
#include "Process/FleetProbe.h"
#include "Process/Logging.h"
#include "Version/Snapshot.h"

namespace wisteria {

namespace {

/// Maximum time that one read waits for new records; the control thread checks for a stop after it.
constexpr milliseconds maxReadWait(1000);
/// Delay after a failed read, so that retries don't overload a failing log.
constexpr milliseconds retryDelay(500);
constexpr milliseconds snapshotTimeout(10000);
constexpr milliseconds peerTimeout(2000);
/// Time to complete calls in flight when the process stops.
constexpr milliseconds shutdownGrace(5000);

Result<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        return failure(ErrorKind::BadSettings, path + ": can't be read; correct \"tls\"");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Result<std::shared_ptr<grpc::ServerCredentials>> credentialsFor(const AdminSettings &settings)
{
    if (settings.certificateFile.empty())
        return grpc::InsecureServerCredentials();
    BOOST_OUTCOME_TRY(certificate, readFile(settings.certificateFile));
    BOOST_OUTCOME_TRY(key, readFile(settings.keyFile));
    grpc::SslServerCredentialsOptions options;
    options.pem_key_cert_pairs.push_back({key, certificate});
    return grpc::SslServerCredentials(options);
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

class AdminProcess::Private
{
public:
    explicit Private(AdminSettings settings)
        : settings_(std::move(settings)), log_(settings_.logUrl), follower_(log_),
          service_(settings_, follower_, metrics_,
                   [this] { return std::make_unique<HttpLogClient>(settings_.logUrl); })
    { }

    Result<void> run()
    {
        // Blocked before any thread starts, so that only sigwait() below receives them.
        const sigset_t signals = stopSignals();
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        if (settings_.operators.empty())
            logger_->warn(
                "no operators are listed in the settings, everybody may change everything");
        BOOST_OUTCOME_TRY(server, serve());
        std::thread control([this] { followLog(); });
        // Ready once the state is usable, or a poll of the log has failed.
        readyPromise_.get_future().wait();
        std::cout << readyLine_ << std::endl;
        int signal = 0;
        sigwait(&signals, &signal);
        logger_->info("stopping");
        stopping_ = true;
        log_.interrupt();
        server->Shutdown(std::chrono::system_clock::now() + shutdownGrace);
        control.join();
        return boost::outcome_v2::success();
    }

private:
    Result<std::unique_ptr<grpc::Server>> serve()
    {
        std::string metrics = "off";
        if (!settings_.metricsListen.empty()) {
            BOOST_OUTCOME_TRY(address, metricsServer_.listen(settings_.metricsListen));
            metrics = address;
        }
        BOOST_OUTCOME_TRY(credentials, credentialsFor(settings_));
        int port = 0;
        grpc::ServerBuilder builder;
        builder.AddListeningPort(settings_.listen, credentials, &port);
        builder.RegisterService(&service_);
        auto server = builder.BuildAndStart();
        if (!server || port == 0) {
            return failure(ErrorKind::BadSettings,
                           "can't listen on " + settings_.listen
                               + "; give an IP number of this VM and a free port, or port 0");
        }
        const std::string host = settings_.listen.substr(0, settings_.listen.rfind(':'));
        readyLine_ = "ready admin=" + host + ":" + std::to_string(port) + " metrics=" + metrics;
        return server;
    }

    /// Runs on the control thread: replays the log, fetches the state from peers while the log
    /// can't be followed, and writes snapshots.
    void followLog()
    {
        bool isReady = false;
        while (!stopping_) {
            const auto polled = follower_.poll(maxReadWait);
            if (!polled) {
                logger_->warn("{}", polled.error().message);
                fetchFromPeers();
                std::this_thread::sleep_for(retryDelay);
            }
            metrics_.setFollower(follower_.status(), follower_.state()->objects.size());
            writeSnapshot();
            if (!isReady && (!polled || follower_.usable())) {
                readyPromise_.set_value();
                isReady = true;
            }
        }
    }

    void fetchFromPeers()
    {
        if (settings_.peers.empty())
            return;
        // A blocked follower needs a state with a later position, even of the same version.
        const bool blocked = !follower_.status().blocked.empty();
        const Offset known = blocked ? 0 : follower_.state()->version;
        const auto newest = fetchConfigFromPeers(settings_.peers, known, peerTimeout);
        if (newest && follower_.adopt(*newest))
            logger_->info("took version {} from a peer", newest->version());
    }

    void writeSnapshot()
    {
        const FollowerStatus status = follower_.status();
        const bool caughtUp = follower_.caughtUp();
        noteNewestSnapshot(newestSnapshot_, status.newestSnapshot, caughtUpBefore_, monotonicNow());
        caughtUpBefore_ = caughtUp;
        const bool due = caughtUp && status.logReachable
            && snapshotDue(newestSnapshot_, status.position, settings_.snapshotPeriod,
                           monotonicNow());
        if (!due)
            return;
        v1::ConfigRecord record;
        *record.mutable_snapshot() = snapshotOf(*follower_.state());
        // A lost answer needs no handling: the next reads show whether the snapshot was written.
        const auto appended =
            log_.append(configStream, record.SerializeAsString(), snapshotTimeout);
        if (!appended) {
            logger_->warn("{}", appended.error().message);
            return;
        }
        metrics_.countSnapshot();
        logger_->info("wrote a snapshot as of offset {}", status.position);
    }

    const AdminSettings settings_;
    HttpLogClient log_;
    ConfigFollower follower_;
    AdminMetrics metrics_;
    MetricsServer metricsServer_{[this] { return metrics_.text(); }};
    AdminService service_;
    NewestSnapshot newestSnapshot_;
    bool caughtUpBefore_ = false;
    std::atomic<bool> stopping_{false};
    std::promise<void> readyPromise_;
    std::string readyLine_;
    std::shared_ptr<spdlog::logger> logger_ = loggerFor("admin");
};

AdminProcess::AdminProcess(AdminSettings settings)
    : private_(std::make_unique<Private>(std::move(settings)))
{ }

AdminProcess::~AdminProcess() = default;

Result<void> AdminProcess::run()
{
    return private_->run();
}

} // namespace wisteria
