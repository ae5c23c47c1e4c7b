#pragma once

#include <cerrno>
#include <cstring>
#include <string>

#include <ace/INET_Addr.h>

#include "Process/Error.h"

namespace wisteria {

/// Formats an address as "127.0.0.1:7001".
inline std::string addressText(const ACE_INET_Addr &address)
{
    return std::string(address.get_host_addr()) + ":" + std::to_string(address.get_port_number());
}

/// The error for an address on which listening failed. Reads errno.
inline auto listenFailure(const std::string &address)
{
    return failure(ErrorKind::BadSettings,
                   "can't listen on " + address + " (" + std::strerror(errno)
                       + "); give an IP number of this VM and a free port, or port 0");
}

} // namespace wisteria
