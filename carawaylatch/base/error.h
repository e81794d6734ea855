// Errors as values.
//
// Every fallible function returns Result<T>. An Error has a kind that programs
// switch on and a message for people that ends with the remedy: what to change,
// or when to come back. Nothing in the library throws for bad input.
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
    InvalidArgument, // the caller's input is wrong; repeating it cannot help
    Unauthenticated, // no or unknown credentials
    Forbidden, // known credentials without the right
    NotFound,
    Conflict, // a conditional update lost against another writer
    LimitExceeded, // a limit of the customer is reached; see retryAfter
    Overloaded, // no capacity within the deadline; see retryAfter
    Unavailable, // the other side was not reached; nothing took effect
    Unclear, // the other side may or may not have acted
    NotRun, // no attempt ran the call or will run it
    StaleState, // an answer of an old incarnation, weights version or attempt
    Truncated, // a stream or body ended early
    Cancelled, // the caller went away
    Internal, // a fault of this program
};

// Returns the kind's name as it stands in logs and answers, such as "not_found".
[[nodiscard]] std::string_view errorKindName(ErrorKind kind);

struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    // What happened, then the remedy.
    std::string message;
    // Earliest time from now at which trying again can help; zero where it can't.
    Duration retryAfter{};
};

template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

// A Result's success without a value: `return base::ok();`
[[nodiscard]] inline auto ok()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// Builds an error: `return base::fail(ErrorKind::NotFound, "no pool p; create it with ...");`
[[nodiscard]] inline Error fail(ErrorKind kind, std::string message, Duration retryAfter = {})
{
    return Error{kind, std::move(message), retryAfter};
}

} // namespace carawaylatch::base
