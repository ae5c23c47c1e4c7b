#include "Programs/Ctl/CtlOptions.h"

#include <algorithm>
#include <cstdlib>
#include <memory>

#include <tclap/CmdLine.h>

namespace wisteria::ctl {

namespace {

std::string fromEnvironment(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? "" : value;
}

/// Description of an option for the help text and for completion.
struct OptionHelp
{
    const char *name;
    const char *value;
    const char *text;
};

const std::vector<OptionHelp> &optionHelp()
{
    static const std::vector<OptionHelp> options = {
        {"admin", "IP:PORT", "Admin to ask; otherwise $WISTERIA_ADMIN"},
        {"token-file", "FILE", "File with your token; otherwise $WISTERIA_TOKEN_FILE"},
        {"ca", "FILE", "Certificates (PEM) that the admin's is checked against; cleartext without"},
        {"who", "NAME", "Your name, where the admin lists no operators; otherwise $USER"},
        {"why", "TEXT", "Reason of the change; goes into the audit trail"},
        {"change-id", "ID", "Identity of the change; give the same one to repeat it safely"},
        {"confirm", "DIGEST", "Confirms a far-reaching change with the digest that diff printed"},
        {"timeout", "SECONDS", "How long to wait for the log or the fleet; 10 by default"},
        {"limit", "N", "Newest changes that history lists; 50 by default"},
        {"json", "", "Print JSON for scripts"},
        {"cancel", "", "With outcome: settle that the change is never accepted later"},
        {"watch", "", "With apply: wait until the change is in force everywhere"},
    };
    return options;
}

Result<Options> checkCommand(Options options)
{
    const auto &known = commands();
    const bool found = std::any_of(known.begin(), known.end(), [&](const CommandHelp &command) {
        return options.command == command.name;
    });
    if (found)
        return options;
    return failure(ErrorKind::BadInput,
                   "there is no command '" + options.command
                       + "'; 'wisteriactl --help' lists the commands");
}

} // namespace

const std::vector<CommandHelp> &commands()
{
    static const std::vector<CommandHelp> list = {
        {"check", "FILE", "Look for mistakes in a file, without asking anybody"},
        {"diff", "FILE", "Dry run: what the file would change, its effects, the confirming digest"},
        {"apply", "FILE", "Make the configuration say what the file says"},
        {"get", "[KIND [NAME]]", "Print the configuration in force as a file to edit and apply"},
        {"remove", "KIND NAME", "Remove one object"},
        {"drain", "NAME", "Take a backend server out of service without cutting off a request"},
        {"undrain", "NAME", "Put a drained backend server back into service"},
        {"restore", "VERSION", "Go back to a former version by a new change"},
        {"outcome", "CHANGE-ID", "What became of a change whose answer was lost"},
        {"watch", "[VERSION]", "Wait until a version is in force on every process"},
        {"status", "", "Which processes run, which lag and by how much"},
        {"history", "[KIND [NAME]]", "Who changed what, when and why; refused changes too"},
        {"hash-token", "FILE", "Print a token's SHA-256 for the admin's settings"},
        {"completion", "", "Print a completion script for bash"},
    };
    return list;
}

std::string helpText()
{
    std::string text = "Usage: wisteriactl COMMAND [ARGUMENTS] [OPTIONS]\n\n"
                       "Declares services, backend servers, organisations and routing policies.\n"
                       "A usual day: get > FILE, edit FILE, check, diff, apply --why, watch.\n\n"
                       "Commands:\n";
    const auto line = [&](const std::string &head, const char *meaning) {
        const std::size_t column = 28;
        text += "  " + head;
        text.append(head.size() < column ? column - head.size() : 1, ' ');
        text += std::string(meaning) + "\n";
    };
    for (const CommandHelp &command : commands())
        line(std::string(command.name) + " " + command.arguments, command.text);
    text += "\nOptions:\n";
    for (const OptionHelp &option : optionHelp())
        line("--" + std::string(option.name) + " " + option.value, option.text);
    text += "\nExit codes: 0 done, 1 wrong command line or file, 2 refused, 3 not yet known,\n"
            "4 no admin answers, 5 not in force everywhere, 6 needs a confirmation.\n"
            "KIND is service, backend_server, organisation or routing_policy.\n";
    return text;
}

std::string completionScript()
{
    std::string words;
    for (const CommandHelp &command : commands())
        words += std::string(command.name) + " ";
    std::string flags;
    for (const OptionHelp &option : optionHelp())
        flags += "--" + std::string(option.name) + " ";
    return "_wisteriactl()\n{\n"
           "    local word=\"${COMP_WORDS[COMP_CWORD]}\"\n"
           "    if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
           "        COMPREPLY=($(compgen -W \""
        + words
        + "\" -- \"$word\"))\n"
          "    elif [[ \"$word\" == -* ]]; then\n"
          "        COMPREPLY=($(compgen -W \""
        + flags
        + "\" -- \"$word\"))\n"
          "    else\n"
          "        COMPREPLY=($(compgen -f -W \"service backend_server organisation "
          "routing_policy\" -- \"$word\"))\n"
          "    fi\n}\ncomplete -F _wisteriactl wisteriactl\n";
}

Result<Options> parseOptions(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("wisteriactl", ' ', "0.1.0", false);
    line.setExceptionHandling(false);
    const auto text = [&](const char *name) {
        return std::make_unique<TCLAP::ValueArg<std::string>>("", name, name, false, "", "text",
                                                              line);
    };
    const auto admin = text("admin");
    const auto tokenFile = text("token-file");
    const auto ca = text("ca");
    const auto who = text("who");
    const auto why = text("why");
    const auto changeId = text("change-id");
    const auto confirm = text("confirm");
    TCLAP::ValueArg<unsigned> timeout("", "timeout", "timeout", false, 10, "seconds", line);
    TCLAP::ValueArg<unsigned> limit("", "limit", "limit", false, 50, "number", line);
    TCLAP::SwitchArg json("", "json", "json", line);
    TCLAP::SwitchArg cancel("", "cancel", "cancel", line);
    TCLAP::SwitchArg watch("", "watch", "watch", line);
    TCLAP::UnlabeledMultiArg<std::string> words("words", "command", false, "text", line);
    std::vector<std::string> all = {"wisteriactl"};
    all.insert(all.end(), arguments.begin(), arguments.end());
    try {
        line.parse(all);
    } catch (const TCLAP::ArgException &error) {
        return failure(ErrorKind::BadInput,
                       error.error() + " (" + error.argId() + "); see 'wisteriactl --help'");
    }
    if (words.getValue().empty())
        return failure(ErrorKind::BadInput, "no command given; see 'wisteriactl --help'");
    const auto orElse = [](const std::string &value, const char *variable) {
        return value.empty() ? fromEnvironment(variable) : value;
    };
    Options options;
    options.command = words.getValue().front();
    options.arguments.assign(words.getValue().begin() + 1, words.getValue().end());
    options.admin = orElse(admin->getValue(), "WISTERIA_ADMIN");
    options.tokenFile = orElse(tokenFile->getValue(), "WISTERIA_TOKEN_FILE");
    options.caFile = ca->getValue();
    options.who = orElse(who->getValue(), "USER");
    options.why = why->getValue();
    options.changeId = changeId->getValue();
    options.confirm = confirm->getValue();
    options.timeout = seconds(timeout.getValue());
    options.limit = limit.getValue();
    options.json = json.getValue();
    options.cancel = cancel.getValue();
    options.watch = watch.getValue();
    return checkCommand(std::move(options));
}

} // namespace wisteria::ctl
