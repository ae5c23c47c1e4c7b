#include "Request/Route.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>

using namespace wisteria;

namespace {

const TimePoint start{seconds(1000)};

v1::RoutingPolicy loadOnly()
{
    v1::RoutingPolicy policy;
    policy.set_load_weight(1);
    return policy;
}

RouteQuery queryTrying(const std::vector<std::string> &tried)
{
    RouteQuery query;
    query.requestId = "request";
    query.tried = tried;
    return query;
}

std::vector<Candidate> named(const std::vector<std::string> &names)
{
    std::vector<Candidate> candidates(names.size());
    for (std::size_t i = 0; i < names.size(); ++i)
        candidates[i].name = names[i];
    return candidates;
}

} // namespace

TEST_CASE("The least occupied backend server that was not tried is chosen")
{
    std::vector<Candidate> candidates(3);
    candidates[0].name = "a";
    candidates[0].running = 1;
    candidates[1].name = "b";
    candidates[2].name = "c";
    candidates[2].draining = true;
    CHECK(chooseBackendServer(candidates, loadOnly(), queryTrying({}), start) == 1);
    CHECK(chooseBackendServer(candidates, loadOnly(), queryTrying({"b"}), start) == 0);
    CHECK(chooseBackendServer(candidates, loadOnly(), queryTrying({"a", "b"}), start)
          == std::nullopt);
}

TEST_CASE(
    "A prefix goes to the backend server that caches it until that is loaded beyond the bound")
{
    auto candidates = named({"a", "b", "c"});
    v1::RoutingPolicy policy = loadOnly();
    policy.set_affinity_weight(0.5);
    RouteQuery query = queryTrying({});
    query.prefix = 7;
    const std::size_t preferred = *chooseBackendServer(candidates, policy, query, start);
    for (int i = 0; i < 20; ++i) {
        query.requestId = std::to_string(i);
        CHECK(chooseBackendServer(candidates, policy, query, start) == preferred);
    }
    candidates[preferred].concurrency = 4;
    candidates[preferred].running = 1;
    CHECK(chooseBackendServer(candidates, policy, query, start) == preferred);
    candidates[preferred].running = 4;
    CHECK(chooseBackendServer(candidates, policy, query, start) != preferred);
}

TEST_CASE("Queues count less for a high priority, and the entry's own failure domain is preferred")
{
    auto candidates = named({"queue", "busy"});
    candidates[0].queued = 3;
    candidates[0].running = 1;
    candidates[1].running = 2;
    RouteQuery query = queryTrying({});
    CHECK(chooseBackendServer(candidates, loadOnly(), query, start) == 1);
    query.priority = 9;
    CHECK(chooseBackendServer(candidates, loadOnly(), query, start) == 0);
    auto domains = named({"far", "near"});
    domains[1].failureDomain = query.failureDomain = "domain-1";
    v1::RoutingPolicy policy = loadOnly();
    policy.set_domain_weight(0.1);
    CHECK(chooseBackendServer(domains, policy, query, start) == 1);
}

// Guards against callers that wait until their deadline at a backend server that accepts requests
// and never answers. A stalled process keeps its connections open, so consecutive attempts time out
// until it recovers.
TEST_CASE("A backend server that fails twice is ejected, probed by one attempt and used again")
{
    Candidate candidate;
    TimePoint now = start;
    for (std::uint32_t i = 0; i < ejectAfterFailures; ++i) {
        CHECK(isEligible(candidate, now));
        attemptSent(candidate, now);
        attemptEnded(candidate, true, now);
    }
    CHECK_FALSE(isEligible(candidate, now));
    now += minEjection;
    CHECK(isEligible(candidate, now));
    attemptSent(candidate, now);
    CHECK_FALSE(isEligible(candidate, now));
    attemptEnded(candidate, true, now);
    CHECK_FALSE(isEligible(candidate, now + minEjection));
    now += 2 * minEjection;
    attemptSent(candidate, now);
    attemptFrameReceived(candidate, now);
    CHECK(isEligible(candidate, now));
}

TEST_CASE("A backend server that is silent for several service times counts as stalled")
{
    Candidate candidate;
    candidate.serviceTime = seconds(1);
    attemptSent(candidate, start);
    CHECK(isEligible(candidate, start + seconds(8)));
    CHECK_FALSE(isEligible(candidate, start + seconds(10)));
    attemptFrameReceived(candidate, start + seconds(11));
    CHECK(isEligible(candidate, start + seconds(12)));
}

// Guards against a caller that is refused although no backend server has failed. Each of them runs
// one long request and is silent meanwhile, which an entry can't distinguish from a stall.
TEST_CASE("When all backend servers are silent, the least loaded one is used nevertheless")
{
    auto candidates = named({"a", "b", "c"});
    for (Candidate &candidate : candidates)
        attemptSent(candidate, start);
    attemptSent(candidates[0], start);
    candidates[2].down = true;
    const TimePoint later = start + seconds(30);
    CHECK_FALSE(isEligible(candidates[1], later));
    CHECK(chooseBackendServer(candidates, loadOnly(), queryTrying({}), later) == 1);
}

TEST_CASE("Subsets cover all backend servers evenly and span the failure domains")
{
    struct Row
    {
        int servers;
        int domains;
        std::size_t entries;
        std::size_t size;
    };
    for (const Row &row : {Row{16, 3, 5, 6}, Row{300, 10, 40, 20}, Row{300, 10, 7, 30},
                           Row{18, 3, 2, 9}, Row{16, 3, 4, 0}}) {
        std::vector<v1::BackendServer> servers(row.servers);
        for (int i = 0; i < row.servers; ++i) {
            servers[i].set_name("server-" + std::to_string(i));
            servers[i].set_failure_domain("domain-" + std::to_string(i % row.domains));
        }
        std::map<std::string, int> covered;
        for (std::size_t entry = 0; entry < row.entries; ++entry) {
            std::set<std::string> domains;
            for (const v1::BackendServer &server :
                 subsetOf(servers, entry, row.entries, row.size)) {
                ++covered[server.name()];
                domains.insert(server.failure_domain());
            }
            CHECK(domains.size() == static_cast<std::size_t>(row.domains));
        }
        int minTimes = 1'000'000;
        int maxTimes = 0;
        for (const auto &[name, times] : covered) {
            minTimes = std::min(minTimes, times);
            maxTimes = std::max(maxTimes, times);
        }
        const std::size_t kept = row.entries * (row.size == 0 ? row.servers : row.size);
        CHECK(covered.size() == std::min<std::size_t>(row.servers, kept));
        CHECK(maxTimes - minTimes <= 1);
    }
}
