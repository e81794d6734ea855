// Early rejection of requests that cannot meet their deadline.
//
// A request whose expected wait exceeds its deadline is refused as soon as that is
// known rather than when the deadline expires. The retry delay is the time in which
// the work now queued will complete, plus seeded jitter so that refused callers do
// not all retry at the same time.
#pragma once

#include <cstdint>
#include <optional>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::admission
{

// Exponentially decayed average of the tokens completed per second.
class DrainRate
{
public:
    explicit DrainRate(base::Duration halfLife = base::seconds{5});
    void add(std::uint64_t tokens, base::TimePoint now);
    // Returns tokens per second, or nothing before the first completion.
    [[nodiscard]] std::optional<double> perSecond(base::TimePoint now) const;

private:
    base::Duration m_halfLife;
    double m_sum = 0; // exponentially decayed tokens
    std::optional<base::TimePoint> m_first;
    base::TimePoint m_last;
};

struct OverloadOptions
{
    base::Duration minRetryAfter = base::milliseconds{100};
    base::Duration maxRetryAfter = base::seconds{30};
    double jitter = 0.5; // maximum fraction added to the retry delay
    std::uint64_t seed = 1;
};

class OverloadPolicy
{
public:
    explicit OverloadPolicy(const OverloadOptions &options = {});

    // Returns the wait behind `tokensAhead` of queued work, or nothing while the rate is unknown.
    [[nodiscard]] std::optional<base::Duration> expectedWait(double tokensAhead, base::TimePoint now) const;
    // Returns the time to complete that many tokens at the given rate, one hour at most.
    [[nodiscard]] static base::Duration waitAt(double tokensPerSecond, double tokens);
    // Returns Overloaded if a request with this expected wait would miss its deadline.
    [[nodiscard]] base::Result<void> check(base::Duration expectedWait, base::TimePoint deadline, base::TimePoint now);
    // Returns the retry delay with jitter, given the wait that caused the refusal.
    [[nodiscard]] base::Duration retryAfter(base::Duration expectedWait);
    void recordCompleted(std::uint64_t tokens, base::TimePoint now);

private:
    OverloadOptions m_options;
    DrainRate m_drain;
    base::Random m_random;
};

} // namespace carawaylatch::admission
