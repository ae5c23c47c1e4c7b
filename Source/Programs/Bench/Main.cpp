#include <algorithm>
#include <array>
#include <iostream>

#include <tclap/ArgException.h>

#include "Programs/Bench/AdmissionCommand.h"
#include "Programs/Bench/LoadCommand.h"
#include "Programs/Bench/PlacementCommand.h"
#include "Programs/Bench/Subcommand.h"
#include "Programs/Bench/TraceCommand.h"

using namespace wisteria;

namespace {

constexpr int usageError = 2;

constexpr std::array<Subcommand, 4> subcommands = {{
    {"admission", "measures one admission decision of a gateway", runAdmissionCommand},
    {"load", "sends load to a running system", runLoadCommand},
    {"placement", "replays a load trace against a placement policy", runPlacementCommand},
    {"trace", "generates a load trace from a seed", runTraceCommand},
}};

int printUsage()
{
    std::cerr << "Usage: wisteria-bench SUBCOMMAND [FLAGS], where SUBCOMMAND is one of\n";
    for (const Subcommand &subcommand : subcommands)
        std::cerr << "  " << subcommand.name << "  " << subcommand.summary << "\n";
    std::cerr << "wisteria-bench SUBCOMMAND --help lists its flags.\n";
    return usageError;
}

int run(const Subcommand &subcommand, int argc, char **argv)
{
    const Result<void> result = subcommand.run({argv + 1, argv + argc}, std::cout);
    if (!result) {
        std::cerr << "wisteria-bench " << subcommand.name << ": " << result.error().message << "\n";
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return printUsage();
    const std::string name = argv[1];
    const auto *found = std::find_if(subcommands.begin(), subcommands.end(),
                                     [&](const Subcommand &s) { return name == s.name; });
    if (found == subcommands.end())
        return printUsage();
    try {
        return run(*found, argc, argv);
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    }
}
