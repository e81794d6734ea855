// What follows the end of an attempt: another one, or which answer.
//
// The load it answers: upstreams that crash, refuse, lose answers or spoil them,
// under calls of every kind. Two promises bind the table: a call that must not
// repeat is never sent twice, and an answer that says "not run" is true.
#pragma once

#include <cstdint>
#include <string_view>

#include "carawaylatch/proxy/fleet.h"

namespace carawaylatch::proxy
{

enum class AttemptEnd {
    NotSent, // no connection; no byte left
    NotExecuted, // the upstream says that it did not run the request
    Broken, // sent; the answer is missing, cut or no answer
    ServerError, // a complete answer with a status of 500 or above, or 429, 408 or 421
    Answered, // a complete answer of another status
};
constexpr std::size_t AttemptEndCount = static_cast<std::size_t>(AttemptEnd::Answered) + 1;

struct AttemptHistory
{
    std::uint32_t sent = 0; // attempts of which a byte left, the ended one included
    std::uint32_t notExecuted = 0; // of these, those that said "not executed"
    std::uint32_t connectFailures = 0; // connections that could not be made
    bool hasResponseStarted = false; // the caller already holds a part of the answer
    bool hasTimeLeft = true;
    bool hasBudget = true; // the pool's budget allows another send
};

enum class NextStep {
    Retry, // at another upstream
    Forward, // the upstream's own answer, unchanged
    RefuseNotExecuted, // refuse with the time at which to come back
    FailOutcomeUnknown, // a failure that promises nothing
    Abort, // cut the answer under way, so that it can't look complete
};

// Connections that one request may fail to make before it is refused.
constexpr std::uint32_t MaxConnectFailures = 4;

// Upstreams that may turn one request away before it is refused.
constexpr std::uint32_t MaxNotExecutedAttempts = 3;

[[nodiscard]] NextStep nextStep(const Route &route, AttemptEnd end, const AttemptHistory &history);

// Names as they stand in logs, such as "not_sent" and "try_again".
[[nodiscard]] std::string_view attemptEndName(AttemptEnd end);
[[nodiscard]] std::string_view nextStepName(NextStep step);

// True if the status promises callers that the request did not run.
[[nodiscard]] bool impliesNotExecuted(unsigned status);

} // namespace carawaylatch::proxy
