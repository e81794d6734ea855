// Retry rules: decides after each failed attempt whether to retry the request or
// how to answer the caller.
//
// Handles upstreams that crash, refuse requests, or lose or corrupt responses, for
// every kind of call. Two invariants hold: a non-repeatable call that may have run is
// never sent again, and a reply that says "not executed" is always true.
#pragma once

#include <cstdint>
#include <limits>
#include <string_view>

#include "carawaylatch/proxy/fleet.h"

namespace carawaylatch::proxy
{

enum class AttemptEnd {
    NotSent, // connecting failed; no byte was sent
    NotExecuted, // the upstream reports that it did not run the request
    Broken, // sent; the response is missing, truncated or invalid
    ServerError, // a complete response with a status of 500 or above, or 429, 408 or 421
    Answered, // a complete response with any other status
};
constexpr std::size_t AttemptEndCount = static_cast<std::size_t>(AttemptEnd::Answered) + 1;

struct AttemptHistory
{
    std::uint32_t sent = 0; // attempts of which at least one byte was sent, including the last one
    std::uint32_t notExecuted = 0; // of these, attempts that the upstream reported as not executed
    std::uint32_t maxAttempts = std::numeric_limits<std::uint32_t>::max(); // in addition to the route's limit
    std::uint32_t connectFailures = 0; // failed connection attempts
    bool hasResponseStarted = false; // part of the response has been sent to the caller
    bool canResume = false; // that part ends after a whole event
    bool hasTimeLeft = true;
    bool hasBudget = true; // the pool's retry budget allows another attempt
};

enum class NextStep {
    Retry, // at another upstream
    Forward, // forward the upstream's response unchanged
    RefuseNotExecuted, // reply 503 with Retry-After; the request did not run
    FailOutcomeUnknown, // reply with an error that leaves open whether the request ran
    Abort, // reset the connection, so that a partial response can't be taken for a complete one
};

// Failed connection attempts after which a request is refused.
constexpr std::uint32_t MaxConnectFailures = 4;

// Retries of a request after "not executed" responses, before it is refused.
constexpr std::uint32_t MaxNotExecutedAttempts = 3;

// True if the request may be sent once more as far as the number of attempts goes; those that did not run it don't count.
[[nodiscard]] bool hasAttemptLeft(const Route &route, const AttemptHistory &history);

[[nodiscard]] NextStep nextStep(const Route &route, AttemptEnd end, const AttemptHistory &history);

// Names used in logs, such as "not_sent" and "try_again".
[[nodiscard]] std::string_view attemptEndName(AttemptEnd end);
[[nodiscard]] std::string_view nextStepName(NextStep step);

// True if callers take the status to mean that the request did not run.
[[nodiscard]] bool impliesNotExecuted(unsigned status);

} // namespace carawaylatch::proxy
