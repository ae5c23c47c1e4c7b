#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>

#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include "Programs/Ctl/CtlCommands.h"
#include "Sessions/TestSystem.h"

using namespace wisteria;
using namespace wisteria::sessions;

namespace {

/// A temporary folder for settings and files; the destructor removes it.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "wisteria-XXXXXX";
        path_ = mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    std::string write(const std::string &name, const std::string &text) const
    {
        const std::string file = path_ + "/" + name;
        std::ofstream(file) << text;
        return file;
    }

private:
    std::string path_;
};

/// Output and exit code of a wisteriactl command.
struct CtlAnswer
{
    std::string text;
    int code = 0;
};

/// A wisteria-admin process that is called through wisteriactl's command code.
class AdminUnderTest
{
public:
    AdminUnderTest(const TemporaryFolder &folder, const std::string &name,
                   const std::string &logAddress, const std::vector<std::string> &peers = {},
                   int snapshotEverySeconds = 3600)
        : process("wisteria-admin",
                  {"--settings",
                   folder.write(name + ".json",
                                nlohmann::json({{"name", name},
                                                {"listen", "127.0.0.1:0"},
                                                {"metrics_listen", "127.0.0.1:0"},
                                                {"log", {{"url", "http://" + logAddress}}},
                                                {"peers", peers},
                                                {"snapshot_every_s", snapshotEverySeconds}})
                                    .dump())},
                  folder.write(name + ".err", ""))
    { }

    CtlAnswer run(std::vector<std::string> words) const
    {
        words.insert(words.end(), {"--who", "ana", "--why", "session test"});
        const auto options = ctl::parseOptions(words);
        const auto channel =
            grpc::CreateChannel(process.address("admin"), grpc::InsecureChannelCredentials());
        const auto stub = v1::Operator::NewStub(channel);
        std::ostringstream out;
        const int code = ctl::runOnline(options.value(), *stub, out, out);
        return {out.str(), code};
    }

    ChildProcess process;
};

/// Writes a configuration file that declares one organisation.
/// @return Its path.
std::string organisationFile(const TemporaryFolder &folder, const std::string &name)
{
    return folder.write(name + ".conf.json",
                        R"({"organisations":[{"name":")" + name
                            + R"(","requests_per_second":5,"burst":5,"concurrency":5}]})");
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

// The log appends a change but its answer is lost. The admin must still report the change as in
// force, and the history must contain it once.
TEST_CASE("A change is reported as in force, and applied once, when the log's answer to the append "
          "is lost")
{
    const TestSystem system({.entries = 1, .backendServers = 1});
    const TemporaryFolder folder;
    auto &log = const_cast<TestSystem &>(system).log();
    const AdminUnderTest admin(folder, "admin-1", log.address("address"));
    system.setLogFaults({{"append", "lose_answer"}});
    const CtlAnswer applied = admin.run({"apply", organisationFile(folder, "loja")});
    INFO(applied.text);
    CHECK(applied.code == ctl::ExitDone);
    CHECK(applied.text.starts_with("in force as version"));
    system.setLogFaults({{"append", "ok"}});
    const CtlAnswer history = admin.run({"history", "organisation", "loja"});
    CHECK(countOf("\n" + history.text, "\nversion ") == 1);
}

// An admin's VM is replaced while the log is down. The new admin must show the configuration in
// force, refuse changes with a reason, and accept them when the log is back.
TEST_CASE(
    "An admin that starts while the log is down shows its peers' configuration and refuses changes")
{
    TestSystem system({.entries = 2, .backendServers = 2});
    const TemporaryFolder folder;
    system.setLogFaults({{"append", "down"}, {"read", "down"}});
    const AdminUnderTest admin(folder, "admin-2", system.log().address("address"),
                               {system.entry(0).address("peer"), system.entry(1).address("peer")});
    CHECK(eventually([&] { return admin.run({"get"}).code == ctl::ExitDone; }));
    CHECK(admin.run({"get"}).text.find("north-wholesale") != std::string::npos);
    const std::string file = organisationFile(folder, "loja");
    const CtlAnswer refused = admin.run({"apply", file, "--timeout", "1"});
    CHECK(refused.code == ctl::ExitRefused);
    CHECK(refused.text.find("nothing was written") != std::string::npos);
    CHECK(admin.run({"status"}).code == ctl::ExitNotEverywhere);
    system.setLogFaults({{"append", "ok"}, {"read", "ok"}});
    const CtlAnswer accepted = admin.run({"apply", file, "--watch"});
    INFO(accepted.text);
    CHECK(accepted.code == ctl::ExitDone);
    CHECK(accepted.text.find("in force on 4 of 4 processes") != std::string::npos);
    CHECK(admin.run({"status"}).code == ctl::ExitDone);
}

// The log appends a change but its answer is lost, and the admin dies before it can read the log.
// The operator gets "not yet known" and repeats the change with the same id at another admin.
TEST_CASE("A change that is repeated at another admin after the first one died is applied once")
{
    const TemporaryFolder folder;
    const ChildProcess log("standin-log", {}, folder.write("log.err", ""));
    const std::string url = "http://" + log.address("address");
    AdminUnderTest first(folder, "admin-1", log.address("address"));
    const AdminUnderTest second(folder, "admin-2", log.address("address"));
    const std::vector<std::string> apply = {"apply", organisationFile(folder, "loja"),
                                            "--change-id", "change-repeated"};
    call({.url = url + "/faults", .body = R"({"append":"lose_answer","read":"down"})"});
    std::future<CtlAnswer> lost = std::async(std::launch::async, [&] { return first.run(apply); });
    CHECK(eventually([&] {
        return call({.url = url + "/stats", .method = "GET"}).json().value("appends", 0) > 0;
    }));
    first.process.kill();
    CHECK(lost.get().code == ctl::ExitNotYetKnown);
    call({.url = url + "/faults", .body = R"({"append":"ok","read":"ok"})"});
    const CtlAnswer repeated = second.run(apply);
    INFO(repeated.text);
    CHECK(repeated.code == ctl::ExitDone);
    const CtlAnswer outcome = second.run({"outcome", "change-repeated"});
    CHECK(outcome.code == ctl::ExitDone);
    CHECK(outcome.text == "in force as version 1 (change-repeated)\n");
    const CtlAnswer history = second.run({"history"});
    CHECK(countOf("\n" + history.text, "\nversion ") == 1);
}

// The log retains few records, so an admin that starts later must load a snapshot. It must show the
// newest accepted configuration or refuse to show any, never an older one.
TEST_CASE("An admin that starts after records expired shows the newest configuration or none")
{
    const TemporaryFolder folder;
    const ChildProcess log("standin-log", {"--retain", "8"}, folder.write("log.err", ""));
    const std::string address = log.address("address");
    const AdminUnderTest writer(folder, "admin-1", address, {}, 1);
    for (int i = 0; i < 12; ++i) {
        const std::string file = organisationFile(folder, "loja-" + std::to_string(i));
        REQUIRE(writer.run({"apply", file}).code == ctl::ExitDone);
    }
    const AdminUnderTest replacement(folder, "admin-2", address);
    CtlAnswer current;
    const std::string newest = writer.run({"get"}).text;
    CHECK(eventually([&] {
        current = replacement.run({"get"});
        const bool refuses = current.code == ctl::ExitRefused;
        const bool complete = current.text.find("\"loja-0\"") != std::string::npos
            && current.text.find("\"loja-11\"") != std::string::npos;
        if (!refuses && !complete)
            FAIL("an older configuration was shown: " + current.text);
        return !refuses;
    }));
    CHECK(current.text.substr(current.text.find('\n', 2)) == newest.substr(newest.find('\n', 2)));
}
