// Errors as values.
//
// Every fallible function returns Result<T>. An Error has a kind for programs to
// switch on and a message for people. The message ends with the remedy: what to
// change, or when to retry. The library throws no exceptions for invalid input.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

#include "carawaylatch/base/time.h"

namespace carawaylatch::base
{

enum class ErrorKind {
    InvalidArgument, // the input is invalid; a retry with the same input fails again
    Unauthenticated, // missing or unknown credentials
    Forbidden, // valid credentials that lack the permission
    NotFound,
    Conflict, // a conditional update lost to a concurrent writer
    LimitExceeded, // a limit of the customer is exceeded; see retryAfter
    Overloaded, // no capacity within the deadline; see retryAfter
    Unavailable, // the peer was not reached; the operation had no effect
    Unclear, // the outcome is unknown; the operation may have taken effect
    NotRun, // no upstream executed the call, and none will
    StaleState, // out of date: from an old incarnation, revision, weights version, fencing token or attempt
    Truncated, // a stream or body ended before it was complete
    Cancelled, // the caller disconnected or cancelled
    Internal, // a bug in this program
};

// Returns the kind's name as used in logs and responses, such as "not_found".
[[nodiscard]] std::string_view errorKindName(ErrorKind kind);

struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    // What failed, then the remedy.
    std::string message;
    // Minimum delay before a retry can succeed; zero where a retry can't help.
    Duration retryAfter{};
};

template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

// Returns the success value of a Result<void>: `return base::ok();`
[[nodiscard]] inline auto ok()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// Returns an error: `return base::fail(ErrorKind::NotFound, "no pool p; create it with ...");`
[[nodiscard]] inline Error fail(ErrorKind kind, std::string message, Duration retryAfter = {})
{
    return Error{kind, std::move(message), retryAfter};
}

} // namespace carawaylatch::base
