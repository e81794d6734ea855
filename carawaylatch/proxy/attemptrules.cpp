// Implementation of the retry rules in attemptrules.h.
#include "carawaylatch/proxy/attemptrules.h"

#include <algorithm>

namespace carawaylatch::proxy
{

namespace
{

bool isRetryAllowed(const Route &route, AttemptEnd end, const AttemptHistory &history)
{
    // An attempt that was sent may have run unless the upstream reported otherwise.
    const bool mayHaveRun = history.sent > history.notExecuted;
    if (!history.hasTimeLeft || (mayHaveRun && !route.isRepeatable())) {
        return false;
    }
    if (end == AttemptEnd::NotSent) {
        return history.connectFailures < MaxConnectFailures;
    }
    return hasAttemptLeft(route, history) && history.notExecuted <= MaxNotExecutedAttempts && history.hasBudget;
}

// True if it is certain that no attempt ran or will run.
bool isKnownNotExecuted(const AttemptHistory &history)
{
    return history.sent == history.notExecuted;
}

} // namespace

bool hasAttemptLeft(const Route &route, const AttemptHistory &history)
{
    return history.sent - history.notExecuted < std::min(route.maxAttempts, history.maxAttempts);
}

NextStep nextStep(const Route &route, AttemptEnd end, const AttemptHistory &history)
{
    if (end == AttemptEnd::Answered) {
        return NextStep::Forward;
    }
    if (history.hasResponseStarted) {
        return isRetryAllowed(route, end, history) && history.canResume ? NextStep::Retry : NextStep::Abort;
    }
    if (isRetryAllowed(route, end, history)) {
        return NextStep::Retry;
    }
    if (end == AttemptEnd::ServerError) {
        return NextStep::Forward;
    }
    return isKnownNotExecuted(history) ? NextStep::RefuseNotExecuted : NextStep::FailOutcomeUnknown;
}

std::string_view attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::NotExecuted:
        return "not_executed";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::ServerError:
        return "server_error";
    case AttemptEnd::Answered:
        return "answered";
    }
    return "";
}

std::string_view nextStepName(NextStep step)
{
    switch (step) {
    case NextStep::Retry:
        return "try_again";
    case NextStep::Forward:
        return "pass_on";
    case NextStep::RefuseNotExecuted:
        return "say_not_run";
    case NextStep::FailOutcomeUnknown:
        return "say_unknown";
    case NextStep::Abort:
        return "break_off";
    }
    return "";
}

bool impliesNotExecuted(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace carawaylatch::proxy
