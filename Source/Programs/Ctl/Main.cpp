// wisteriactl, the command line tool of operators.

#include <fstream>
#include <iostream>
#include <sstream>

#include <grpcpp/grpcpp.h>

#include "Programs/Ctl/CtlCommands.h"

using namespace wisteria;
using namespace wisteria::ctl;

namespace {

int fail(ExitCode code, const std::string &message)
{
    std::cerr << "wisteriactl: " << message << "\n";
    return code;
}

std::shared_ptr<grpc::ChannelCredentials> credentialsFor(const std::string &caFile)
{
    if (caFile.empty())
        return grpc::InsecureChannelCredentials();
    const std::ifstream file(caFile);
    std::ostringstream text;
    text << file.rdbuf();
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = text.str();
    return grpc::SslCredentials(options);
}

int runAgainstAdmin(const Options &options)
{
    if (options.admin.empty())
        return fail(ExitUsage, "no admin given; use --admin IP:PORT or set WISTERIA_ADMIN");
    const auto channel = grpc::CreateChannel(options.admin, credentialsFor(options.caFile));
    // Connects first, so that an unreachable admin is not mistaken for one that died after it
    // received the change.
    if (!channel->WaitForConnected(std::chrono::system_clock::now() + options.timeout)) {
        return fail(ExitUnreachable,
                    "no admin answers at " + options.admin
                        + "; nothing was sent, check the address or ask another admin");
    }
    const auto stub = v1::Operator::NewStub(channel);
    return runOnline(options, *stub, std::cout, std::cerr);
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "help") {
        std::cout << helpText();
        return arguments.empty() ? ExitUsage : ExitDone;
    }
    const auto options = parseOptions(arguments);
    if (!options)
        return fail(ExitUsage, options.error().message);
    if (runsOffline(options.value().command))
        return runOffline(options.value(), std::cout, std::cerr);
    return runAgainstAdmin(options.value());
}
