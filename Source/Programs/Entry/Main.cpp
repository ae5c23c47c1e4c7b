// wisteria-entry: receives requests of callers and forwards them to backend servers.

#include <iostream>

#include <tclap/CmdLine.h>

#include "Process/EntryProcess.h"
#include "Process/EntrySettings.h"
#include "Process/Logging.h"

namespace {

constexpr int exitFailure = 2;

int fail(const wisteria::Error &error)
{
    std::cerr << "wisteria-entry: " << error.message << std::endl;
    return exitFailure;
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Takes callers' requests and routes them to backend servers.", ' ',
                               "0.1.0");
    TCLAP::ValueArg<std::string> path("s", "settings", "Settings file, JSON with comments.", true,
                                      "", "FILE", commandLine);
    commandLine.parse(argc, argv);
    auto settings = wisteria::loadEntrySettings(path.getValue());
    if (settings.has_error())
        return fail(settings.error());
    const auto format =
        settings.value().logJson ? wisteria::LogFormat::Json : wisteria::LogFormat::Text;
    const auto logging = wisteria::setUpLogging(settings.value().logLevel, format);
    if (logging.has_error())
        return fail(logging.error());
    wisteria::EntryProcess process(std::move(settings.value()));
    const auto result = process.run();
    return result.has_error() ? fail(result.error()) : 0;
}
