#pragma once

#include "Cases.h"

namespace review {

/// A backend server of a plain service, with its entry in the store. A request for another instance
/// gets 421; others are run by a function.
class PlainRunner
{
public:
    /// Runs a request and answers it.
    using Run = std::function<void(PlainRunner &runner, Peer &peer, const Message &request)>;

    PlainRunner(const std::string &ip, std::string id, Store &store, Run run);
    ~PlainRunner();

    /// Starts, also again after a crash: at the same address, under the same id, with a new `born`.
    void start();
    /// Ends as a process does that crashes: its channels are reset and nothing listens.
    void crash();
    /// Writes the entry if it runs.
    void beat();
    /// Removes the entry, as the store does after three silent heartbeat intervals.
    void expire();

    const std::string &id() const { return id_; }
    bool alive() const { return alive_; }
    int inFlight() const { return inFlight_; }
    Clock::time_point crashedAt() const { return crashedAt_; }

private:
    void serve(Peer &peer);

    std::string ip_;
    std::string id_;
    Store &store_;
    Run run_;
    int port_ = 0;
    std::int64_t born_ = 0;
    std::atomic<int> sequence_ = 0;
    std::atomic<int> inFlight_ = 0;
    std::atomic<bool> alive_ = false;
    Clock::time_point crashedAt_{};
    std::unique_ptr<Server> server_;
};

/// The configuration of the plain service of the small deployment.
std::string plainConfiguration(int version, std::size_t bodyBytes, const std::string &tenant);

} // namespace review
