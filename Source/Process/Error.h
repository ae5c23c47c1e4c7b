#pragma once

#include <string>
#include <utility>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

namespace wisteria {

/// Kinds of errors that callers of a function tell apart.
enum class ErrorKind {
    BadSettings, ///< A settings or configuration text is malformed or inconsistent.
    BadInput, ///< A caller's or peer's message is malformed.
    NotFound, ///< The named thing does not exist.
    Conflict, ///< The request was made against a state that has moved on.
    Unavailable, ///< The other side can't be reached or refuses; nothing was done.
    OutcomeUnknown, ///< The other side may or may not have done what was asked.
    Timeout, ///< No answer came in time; for reads only, where nothing can have been done.
    Internal, ///< A fault of the program itself.
};

/// An error: its kind, and a message that says what was found and names the remedy.
struct Error
{
    ErrorKind kind;
    std::string message;
};

/// The value of a call that can fail, or its Error. Reading the wrong side terminates the process.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Makes the failed side of a Result.
inline auto failure(ErrorKind kind, std::string message)
{
    return boost::outcome_v2::failure(Error{kind, std::move(message)});
}

} // namespace wisteria
