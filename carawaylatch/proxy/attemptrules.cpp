// The table of attemptrules.h, written as one question after the other.
#include "carawaylatch/proxy/attemptrules.h"

namespace carawaylatch::proxy
{

namespace
{

bool mayTryAgain(const Route &route, AttemptEnd end, const AttemptHistory &history)
{
    // An attempt that is not known as unexecuted may have run.
    const bool mayHaveRun = history.sent > history.unexecuted;
    if (!history.hasTimeLeft || (mayHaveRun && !route.isRepeatable())) {
        return false;
    }
    if (end == AttemptEnd::NotSent) {
        return history.unsent < MaxUnsentAttempts;
    }
    // Upstreams that did not run the request don't count against the route's attempts.
    const bool hasAttempt = history.sent - history.unexecuted < route.maxAttempts;
    return hasAttempt && history.unexecuted <= MaxUnexecutedAttempts && history.hasBudget;
}

// True if no attempt ran or will run.
bool isSurelyUnrun(const AttemptHistory &history)
{
    return history.sent == history.unexecuted;
}

} // namespace

NextStep nextStep(const Route &route, AttemptEnd end, const AttemptHistory &history)
{
    if (end == AttemptEnd::Answered) {
        return NextStep::PassOn;
    }
    if (history.isAnswering) {
        return mayTryAgain(route, end, history) && route.kind == CallKind::Stream && route.isResumable ? NextStep::TryAgain : NextStep::BreakOff;
    }
    if (mayTryAgain(route, end, history)) {
        return NextStep::TryAgain;
    }
    if (end == AttemptEnd::ServerError) {
        return NextStep::PassOn;
    }
    return isSurelyUnrun(history) ? NextStep::SayNotRun : NextStep::SayUnknown;
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
    case NextStep::TryAgain:
        return "try_again";
    case NextStep::PassOn:
        return "pass_on";
    case NextStep::SayNotRun:
        return "say_not_run";
    case NextStep::SayUnknown:
        return "say_unknown";
    case NextStep::BreakOff:
        return "break_off";
    }
    return "";
}

bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace carawaylatch::proxy
