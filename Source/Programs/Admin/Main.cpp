// wisteria-admin, the operators' service: checks changes, appends them to the log and reports their
// outcome.

#include <iostream>

#include <tclap/CmdLine.h>

#include "Process/AdminProcess.h"
#include "Process/Logging.h"

namespace {

int fail(const std::string &message)
{
    std::cerr << "wisteria-admin: " << message << "\n";
    return 1;
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Serves operators' calls and follows the configuration in the log", ' ',
                           "0.1.0");
    TCLAP::ValueArg<std::string> settingsPath("", "settings", "Settings file, JSON with comments",
                                              true, "", "FILE", command);
    command.parse(argc, argv);
    const auto settings = wisteria::loadAdminSettings(settingsPath.getValue());
    if (!settings)
        return fail(settings.error().message);
    const auto format =
        settings.value().jsonLogs ? wisteria::LogFormat::Json : wisteria::LogFormat::Text;
    const auto logging = wisteria::setUpLogging(settings.value().logLevel, format);
    if (!logging)
        return fail(logging.error().message);
    wisteria::AdminProcess process(settings.value());
    const auto ended = process.run();
    return ended ? 0 : fail(ended.error().message);
}
