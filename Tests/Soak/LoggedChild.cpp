#include "Soak/LoggedChild.h"

#include <csignal>
#include <cstdlib>

#include <fcntl.h>
#include <sys/prctl.h>
#include <unistd.h>

namespace wisteria::soak {

pid_t startLogged(const std::string &program, const std::string &settings, const std::string &log)
{
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::setenv("WISTERIAWIND_CONFIG", settings.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), nullptr);
        ::_exit(127);
    }
    ::close(output);
    return child;
}

} // namespace wisteria::soak
