#include "Programs/Bench/LoadReport.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "Programs/Bench/LoadKey.h"

using namespace wisteria;

TEST_CASE("Percentiles use the nearest-rank method")
{
    std::vector<microseconds> latencies;
    for (int i = 1; i <= 200; ++i)
        latencies.emplace_back(i);
    CHECK(percentile(latencies, 0.0) == microseconds(1));
    CHECK(percentile(latencies, 0.5) == microseconds(100));
    CHECK(percentile(latencies, 0.99) == microseconds(198));
    CHECK(percentile(latencies, 1.0) == microseconds(200));
    CHECK(percentile({}, 0.5) == microseconds(0));
}

TEST_CASE("Each outcome of a request has its name in the report")
{
    struct Row
    {
        long status;
        bool complete;
        std::string body;
        std::string name;
    };
    const std::vector<Row> rows = {
        {200, true, "{}", "answer"},
        {200, false, "half", "cut"},
        {0, false, "", "connection_failed"},
        {503, true, R"({"outcome":"not_run","reason":"queue_full"})", "not_run/queue_full"},
        {502, true, R"({"outcome":"unknown","reason":"backend_died"})", "unknown/backend_died"},
        {404, true, "plain text", "status_404"},
    };
    for (const Row &row : rows)
        CHECK(outcomeName(row.status, row.complete, row.body) == row.name);
}

TEST_CASE("The tallies of several workers are summed")
{
    LoadTally sum{{microseconds(5)}, {{"answer", 1}}, 0};
    addTally(sum, LoadTally{{microseconds(1)}, {{"answer", 1}, {"cut", 2}}, 1});
    const auto report = renderTally(sum, std::chrono::duration<double>(2.0));
    CHECK(report["requests"] == 4);
    CHECK(report["requests_per_second"] == 2.0);
    CHECK(report["latency_us"]["p50"] == 1);
    CHECK(report["latency_us"]["max"] == 5);
    CHECK(report["outcomes"]["cut"] == 2);
    CHECK(report["crossed"] == 1);
}

TEST_CASE("Idempotency keys are UUIDs of version 7 that carry the time")
{
    const WallTime now(milliseconds(0x0123456789ab));
    CHECK(makeIdempotencyKey(now, 0, 0) == "01234567-89ab-7000-8000-000000000000");
    CHECK(makeIdempotencyKey(now, ~0ULL, ~0ULL) == "01234567-89ab-7fff-bfff-ffffffffffff");
}
