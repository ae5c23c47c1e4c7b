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

/// A folder for settings and files that goes with the test.
class Folder
{
public:
    Folder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "wisteria-XXXXXX";
        path_ = mkdtemp(pattern.data());
    }
    ~Folder() { std::filesystem::remove_all(path_); }
    std::string write(const std::string &name, const std::string &text) const
    {
        const std::string file = path_ + "/" + name;
        std::ofstream(file) << text;
        return file;
    }

private:
    std::string path_;
};

/// What a command line printed and returned.
struct CtlAnswer
{
    std::string text;
    int code = 0;
};

/// A wisteria-admin process, asked as wisteriactl asks it.
class AdminUnderTest
{
public:
    AdminUnderTest(const Folder &folder, const std::string &name, const std::string &logAddress,
                   const std::vector<std::string> &peers = {}, int snapshotEverySeconds = 3600)
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

/// A file that creates one organisation.
std::string organisationFile(const Folder &folder, const std::string &name)
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

// An operator applies a change; the log writes it but its answer never comes. The operator must
// hear what is true, and the change must be in force once.
TEST_CASE("A change whose append lost its answer is reported as in force, and is so once")
{
    const TestSystem system({.entries = 1, .backendServers = 1});
    const Folder folder;
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

// The log is out. An admin's VM is replaced meanwhile; the new one must show the configuration in
// force, accept nothing and say so, and go on when the log is back.
TEST_CASE("An admin that starts in an outage shows the peers' configuration and accepts nothing")
{
    TestSystem system({.entries = 2, .backendServers = 2});
    const Folder folder;
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

// The log writes a change but its answer is lost, and the admin dies before it can read back. The
// operator hears "not yet known" and repeats the change with its id at another admin.
TEST_CASE("A change that is repeated at another admin after the first died has effect once")
{
    const Folder folder;
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

// The log keeps few records. Every admin is replaced in turn; each must find the newest accepted
// state by a snapshot, or refuse to show any.
TEST_CASE("An admin that starts after the records expired has the newest state or none")
{
    const Folder folder;
    const ChildProcess log("standin-log", {"--retain", "8"}, folder.write("log.err", ""));
    const std::string address = log.address("address");
    const AdminUnderTest writer(folder, "admin-1", address, {}, 1);
    for (int i = 0; i < 12; ++i) {
        const std::string file = organisationFile(folder, "loja-" + std::to_string(i));
        REQUIRE(writer.run({"apply", file}).code == ctl::ExitDone);
    }
    const AdminUnderTest replaced(folder, "admin-2", address);
    CtlAnswer present;
    const std::string newest = writer.run({"get"}).text;
    CHECK(eventually([&] {
        present = replaced.run({"get"});
        const bool refuses = present.code == ctl::ExitRefused;
        const bool whole = present.text.find("\"loja-0\"") != std::string::npos
            && present.text.find("\"loja-11\"") != std::string::npos;
        if (!refuses && !whole)
            FAIL("an older state was shown: " + present.text);
        return !refuses;
    }));
    CHECK(present.text.substr(present.text.find('\n', 2)) == newest.substr(newest.find('\n', 2)));
}
