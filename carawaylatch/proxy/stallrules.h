// When an attempt is stalled, so that the request is better off at another upstream.
//
// Only attempts that another one may follow are judged; all others end with the response,
// at the route's timeout or at the caller's deadline. The phase is that of the response at the
// time of the question, because what ends an attempt that has not begun must not end one
// whose bytes the caller already has.
#pragma once

#include <optional>
#include <string_view>

#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/fleet.h"

namespace carawaylatch::proxy
{

enum class ResponsePhase {
    Waiting, // for the first body bytes
    Buffered, // body bytes have arrived; the caller has none of them
    PassedOn, // the caller has the head, perhaps of an earlier attempt
};

struct AttemptState
{
    CallKind kind = CallKind::AtMostOnce;
    ResponsePhase phase = ResponsePhase::Waiting;
    bool canResume = false; // another attempt may continue what was passed on
    bool isReadingPaused = false; // the caller takes nothing, so nothing is known of the upstream
    bool isPoolCut = false; // and the upstream is suspiciously silent
    bool isUpstreamSilent = false;
    base::Duration age{}; // since the attempt started
    base::Duration targetLatency{};
    bool isBodyInTime = false; // at its pace; see BodyProgress
    base::Duration prefillTime{}; // that may pass before the first output of the attempt; zero once it has come
    std::optional<base::Duration> eventGap; // since the last complete event; nothing before the first bytes of a stream
};

// Returns why the attempt counts as stalled, or nothing.
[[nodiscard]] std::string_view stallReason(const AttemptState &attempt);

} // namespace carawaylatch::proxy
