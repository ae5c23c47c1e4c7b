#include <atomic>
#include <fstream>
#include <regex>
#include <sstream>
#include <thread>

#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include "Process/AdminService.h"
#include "Process/MemoryLogClient.h"
#include "Programs/Ctl/CtlCommands.h"

using namespace wisteria;
using namespace wisteria::test;

namespace {

const std::string folder = std::string(WISTERIA_TEST_DATA) + "/Ctl/";

/// Log client that shares one in-memory log between several clients.
class SharedLog : public LogClient
{
public:
    explicit SharedLog(MemoryLogClient &log) : log_(log) { }
    Result<Offset> append(const std::string &stream, const std::string &data,
                          milliseconds timeout) override
    {
        return log_.append(stream, data, timeout);
    }
    Result<LogBatch> read(const std::string &stream, Offset from, milliseconds wait) override
    {
        return log_.read(stream, from, wait);
    }

private:
    MemoryLogClient &log_;
};

/// An admin with its control thread, called by gRPC within the test process.
class Admin
{
public:
    Admin(MemoryLogClient &log, AdminSettings settings)
        : log_(log), follower_(log_), service_(std::move(settings), follower_, metrics_,
                                               [&log] { return std::make_unique<SharedLog>(log); })
    {
        static_cast<void>(follower_.poll(milliseconds(0)));
        control_ = std::thread([this] {
            while (!stopping_)
                static_cast<void>(follower_.poll(milliseconds(20)));
        });
        grpc::ServerBuilder builder;
        builder.RegisterService(&service_);
        server_ = builder.BuildAndStart();
        stub = v1::Operator::NewStub(server_->InProcessChannel({}));
    }
    ~Admin()
    {
        server_->Shutdown();
        stopping_ = true;
        control_.join();
    }

    std::unique_ptr<v1::Operator::Stub> stub;

private:
    SharedLog log_;
    ConfigFollower follower_;
    AdminMetrics metrics_;
    AdminService service_;
    std::atomic<bool> stopping_{false};
    std::thread control_;
    std::unique_ptr<grpc::Server> server_;
};

std::string textOf(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::string> wordsOf(const std::string &line)
{
    // A quoted text, such as a reason, is one argument.
    static const std::regex word("\"([^\"]*)\"|(\\S+)");
    std::vector<std::string> words;
    for (std::sregex_iterator it(line.begin(), line.end(), word), end; it != end; ++it)
        words.push_back((*it)[1].matched ? (*it)[1].str() : (*it)[2].str());
    return words;
}

/// Runs one command line.
/// @return The command line, its output and its exit code.
std::string run(Admin &admin, const std::string &line)
{
    std::vector<std::string> words = wordsOf(line);
    for (std::string &word : words) {
        if (word.ends_with(".json") || word.ends_with(".token"))
            word = folder + word;
    }
    std::ostringstream out;
    ctl::ExitCode code = ctl::ExitUsage;
    const auto options = ctl::parseOptions(words);
    if (!options)
        out << options.error().message << "\n";
    else if (ctl::runsOffline(options.value().command))
        code = ctl::runOffline(options.value(), out, out);
    else
        code = ctl::runOnline(options.value(), *admin.stub, out, out);
    std::string text = std::regex_replace(out.str(), std::regex(folder), "");
    text = std::regex_replace(text, std::regex("\\d{4}-\\d\\d-\\d\\d \\d\\d:\\d\\d:\\d\\d UTC"),
                              "TIME");
    return "$ wisteriactl " + line + "\n" + text + "[" + std::to_string(code) + "]\n";
}

} // namespace

// Covers the first start, a stale file, a far-reaching change, an outage, a repeat, a restore and
// the audit trail. The whole output and every exit code are compared.
TEST_CASE("The output and exit codes of an operator's session match the golden file")
{
    MemoryLogClient log;
    AdminSettings settings;
    settings.name = "admin-1";
    settings.rulesVersion = 2;
    Admin admin(log, settings);
    std::istringstream script(textOf(folder + "session.txt"));
    std::string line;
    std::string session;
    while (std::getline(script, line)) {
        if (line == "LOG DOWN" || line == "LOG UP") {
            log.setDown(line == "LOG DOWN");
            session += line + "\n";
            continue;
        }
        session += run(admin, line);
    }

    CHECK(session == textOf(folder + "answers.txt"));
}

TEST_CASE("An admin with accounts requires a token and enforces the account's permissions")
{
    MemoryLogClient log;
    AdminSettings settings;
    settings.rulesVersion = 2;
    settings.operators = {{"ana", sha256Of("open sesame"), false, {}, {}},
                          {"eva", sha256Of("eva's"), false, {"lookup"}, {}}};
    Admin admin(log, settings);
    const std::string apply = "apply first.json --why start --who mallory";
    CHECK(run(admin, apply).find("no operator's account fits the token") != std::string::npos);
    CHECK(run(admin, apply + " --token-file eva.token").find("operator 'eva' may not change")
          != std::string::npos);
    CHECK(run(admin, apply + " --token-file ana.token").find("in force as version 1")
          != std::string::npos);
    const std::string history = run(admin, "history --token-file eva.token");
    CHECK(history.find("ana: start") != std::string::npos);
    CHECK(history.find("mallory") == std::string::npos);
}
