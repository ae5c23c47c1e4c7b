#include "Process/ShutdownSignal.h"

#include <csignal>
#include <utility>

#include <pthread.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace wisteria {

ShutdownSignal::ShutdownSignal(EventLoop &loop, std::function<void()> requested,
                               std::function<void()> reload)
    : loop_(loop)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    if (reload)
        sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    descriptor_ = ::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    loop_.watch(descriptor_, Interest{.read = true},
                [this, requested = std::move(requested), reload = std::move(reload)](Interest) {
                    signalfd_siginfo info{};
                    if (::read(descriptor_, &info, sizeof(info)) != sizeof(info))
                        return;
                    if (info.ssi_signo == SIGHUP)
                        reload();
                    else
                        requested();
                });
}

ShutdownSignal::~ShutdownSignal()
{
    loop_.unwatch(descriptor_);
    ::close(descriptor_);
}

} // namespace wisteria
