#pragma once

#include <string>
#include <utility>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

namespace wisteria {

/// Error categories that callers handle differently.
enum class ErrorKind {
    BadSettings, ///< The settings or the configuration are malformed or inconsistent.
    BadInput, ///< A message from a caller or a peer is malformed.
    NotFound, ///< The named object does not exist.
    Conflict, ///< The rules, the operator's permissions or the current state forbid it.
    RateLimited, ///< The peer is reachable, and refuses because of too many calls.
    Unavailable, ///< The peer is unreachable or refuses; the request was not executed.
    OutcomeUnknown, ///< The peer may or may not have executed the request.
    Timeout, ///< No answer in time; unless the call only reads, the peer may have executed it.
    Internal, ///< A bug in this program.
};

/// An error: its category, and a message that states the problem and how to correct it.
struct Error
{
    ErrorKind kind;
    std::string message;
};

/// A value or an Error. Accessing the alternative that is not present terminates the process.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Creates the error alternative of a Result.
inline auto failure(ErrorKind kind, std::string message)
{
    return boost::outcome_v2::failure(Error{kind, std::move(message)});
}

} // namespace wisteria
