#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "Gateway/ScriptedServer.h"
#include "Version/RankGroupWorld.h"

namespace wisteria::soak {

/// Stand-ins of the engines of one rank group, with work in short bursts. Some orders get no answer
/// and are executed seconds later.
class RankEngines
{
public:
    /// @param firstIp Loopback address of the first rank's VM; the others follow it.
    RankEngines(std::uint32_t firstIp, std::uint64_t seed);
    ~RankEngines();
    RankEngines(const RankEngines &) = delete;
    RankEngines &operator=(const RankEngines &) = delete;

    Endpoint endpoint(std::uint32_t rank) const { return servers_[rank]->endpoint(); }

    /// Ends the work and the faults of orders.
    void endFaults() { faulty_ = false; }
    /// Whether a rank was ordered to arm or release since the last call.
    bool takeDecisiveOrder() { return decisiveOrder_.exchange(false); }
    /// First pass that began while two ranks had different maps; 0 if none did.
    std::uint64_t mixedPass() const { return mixedPass_; }
    std::uint64_t passes() const { return passes_; }
    std::uint64_t switches() const { return switches_; }
    std::uint64_t lateOrders() const { return lateOrders_; }
    /// Orders and passes, a line each.
    std::vector<std::string> lines() const;

private:
    struct LateOrder
    {
        TimePoint at;
        std::uint32_t rank = 0;
        RankOrder order;
    };

    void answer(std::uint32_t rank, const gateway_tests::SeenRequest &request,
                gateway_tests::ScriptPeer &peer);
    void takeOrder(std::uint32_t rank, const std::string &body, gateway_tests::ScriptPeer &peer);
    int execute(std::uint32_t rank, const RankOrder &order);
    nlohmann::json report(std::uint32_t rank) const;
    nlohmann::json counts(std::uint32_t rank, bool lists) const;
    void runPasses();
    void beginPass(TimePoint now);
    void note(const std::string &line);

    int draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }

    mutable std::mutex mutex_;
    std::mt19937_64 random_;
    std::vector<Rank> ranks_ = std::vector<Rank>(rankCount);
    std::vector<std::vector<std::uint64_t>> chosen_;
    std::vector<LateOrder> late_;
    std::vector<std::string> lines_;
    TimePoint nextPassAt_;
    std::atomic<bool> faulty_ = true;
    std::atomic<bool> decisiveOrder_ = false;
    std::atomic<std::uint64_t> mixedPass_ = 0;
    std::atomic<std::uint64_t> passes_ = 0;
    std::atomic<std::uint64_t> switches_ = 0;
    std::atomic<std::uint64_t> lateOrders_ = 0;
    std::atomic<bool> stopping_ = false;
    std::vector<std::unique_ptr<gateway_tests::ScriptedServer>> servers_;
    std::thread passing_;
};

} // namespace wisteria::soak
