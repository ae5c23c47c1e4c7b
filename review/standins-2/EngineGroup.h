#pragma once

#include "StandIns.h"

namespace review {

/// A group of model engines that run passes together, each on an address of its own: the parts of
/// their interface that sidecars and gateways use.
class EngineGroup
{
public:
    /// An order that got no answer and is carried out later.
    struct LateOrder
    {
        std::uint32_t rank = 0;
        Json order;
        Clock::time_point receivedAt;
    };
    struct RankState
    {
        std::uint64_t map = 0;
        /// Experts of all ranks in the map in force; by set, rank and place.
        Json content;
        std::uint64_t prepared = 0;
        Json preparedContent;
        std::uint64_t copying = 0;
        Clock::time_point copiedAt{};
        std::uint64_t highest = 0;
        std::uint64_t armed = 0;
        std::uint64_t armedStep = 0;
        std::uint64_t held = 0;
        std::uint64_t sequence = 0;
        std::vector<std::uint64_t> counts;
        int running = 0;
    };
    /// Decides whether an order gets no answer. Called with the lock held.
    using Unanswered = std::function<bool(std::uint32_t rank, const Json &order)>;

    static constexpr std::uint32_t ranks = 4;
    static constexpr std::uint32_t experts = 8;
    static constexpr milliseconds passTime{120};

    EngineGroup(const std::vector<std::string> &ips, int port, Record &record,
                Unanswered unanswered);
    ~EngineGroup();

    static Json engineSettings();
    static std::string idOf(std::uint32_t rank) { return "i-rank" + std::to_string(rank); }

    std::uint64_t step() const;
    RankState state(std::uint32_t rank) const;
    std::uint64_t stepUnlocked() const { return step_; }
    /// Ends the answers that are being made, as if they were complete; callable with the lock held.
    void endAnswers();
    /// Carries out the late orders for which the condition holds and drops them.
    int carryOut(const std::function<bool(const LateOrder &)> &wanted);
    /// The pass that began while two ranks had different maps; 0 if none did.
    std::uint64_t mixedPass() const;
    int ordersReceived() const { return orders_; }
    int ordersUnanswered() const { return unansweredOrders_; }

private:
    struct Active
    {
        std::uint32_t rank = 0;
        int passesLeft = 0;
        int passesDone = 0;
    };

    void serve(std::uint32_t rank, Peer &peer);
    bool takeOrder(std::uint32_t rank, Peer &peer, const Message &request);
    int execute(std::uint32_t rank, const Json &order);
    void finishCopies();
    std::string report(std::uint32_t rank);
    std::string picked(std::uint32_t rank, bool lists);
    void stream(std::uint32_t rank, Peer &peer, const Message &request);
    void runPasses();
    void beginPass();

    Record &record_;
    Unanswered unanswered_;
    mutable std::mutex mutex_;
    std::vector<RankState> ranks_ = std::vector<RankState>(ranks);
    std::uint64_t step_ = 1;
    Clock::time_point nextPassAt_ = Clock::now();
    std::uint64_t mixedPass_ = 0;
    std::vector<LateOrder> late_;
    std::set<std::shared_ptr<Active>> active_;
    int orders_ = 0;
    int unansweredOrders_ = 0;
    std::atomic<bool> ending_ = false;
    std::vector<std::unique_ptr<Server>> servers_;
    std::thread passes_;
};

} // namespace review
