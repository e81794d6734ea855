// Implementation of the rules in stallrules.h.
#include "carawaylatch/proxy/stallrules.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr int LateResponseFactor = 2; // of the target latency; leaves time for a retry to produce a useful response
constexpr base::Duration MaxStreamGap = base::milliseconds{1200}; // twice the time that an engine takes to load weights

// A body that will be complete in time is worth more than a second attempt.
bool isLate(const AttemptState &attempt)
{
    const bool makesProgress = attempt.phase == ResponsePhase::Buffered && attempt.isBodyInTime;
    return attempt.kind == CallKind::Idempotent && attempt.age > attempt.targetLatency * LateResponseFactor && !makesProgress;
}

} // namespace

std::string_view stallReason(const AttemptState &attempt)
{
    if (attempt.phase == ResponsePhase::PassedOn && !attempt.canResume) {
        return {}; // the end of the attempt would be the end of the response
    }
    if (attempt.isReadingPaused) {
        return {};
    }
    if (attempt.isPoolCut) {
        return "the pool is not reached";
    }
    if (attempt.isUpstreamSilent) {
        return "the upstream is silent";
    }
    if (isLate(attempt)) {
        return "no response within twice the target latency";
    }
    // Bytes that complete no event are no progress.
    if (attempt.eventGap && *attempt.eventGap > MaxStreamGap + attempt.prefillTime) {
        return "the stream has stalled";
    }
    return {};
}

} // namespace carawaylatch::proxy
