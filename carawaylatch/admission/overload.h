// Refusal of work that can't be done in time.
//
// A request whose expected wait passes its deadline is refused when that is
// known, not when the deadline comes. The caller is told when the work now ahead
// will have drained, plus seeded jitter so that refused callers don't return
// together.
#pragma once

#include <cstdint>
#include <optional>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::admission
{

// Tokens of work that leave each second, averaged with a half-life.
class DrainRate
{
public:
    explicit DrainRate(base::Duration halfLife = base::seconds{5});
    void add(std::uint64_t tokens, base::TimePoint now);
    // Returns tokens per second, or nothing before the first work left.
    [[nodiscard]] std::optional<double> perSecond(base::TimePoint now) const;

private:
    base::Duration m_halfLife;
    double m_sum = 0; // decayed tokens
    std::optional<base::TimePoint> m_first;
    base::TimePoint m_last;
};

struct OverloadOptions
{
    base::Duration minRetryAfter = base::milliseconds{100};
    base::Duration maxRetryAfter = base::seconds{30};
    double jitter = 0.5; // greatest share added to the retry time
    std::uint64_t seed = 1;
};

class OverloadPolicy
{
public:
    explicit OverloadPolicy(const OverloadOptions &options = {});

    // Returns the wait of work behind `tokensAhead`, nothing while it is unknown.
    [[nodiscard]] std::optional<base::Duration> expectedWait(double tokensAhead, base::TimePoint now) const;
    // Returns the time that so much work takes at a rate, an hour at most.
    [[nodiscard]] static base::Duration waitAt(double tokensPerSecond, double tokens);
    // Passes or refuses (Overloaded) a request that would wait that long.
    [[nodiscard]] base::Result<void> check(base::Duration expectedWait, base::TimePoint deadline, base::TimePoint now);
    // Returns when to come back, given the wait that caused the refusal.
    [[nodiscard]] base::Duration retryAfter(base::Duration expectedWait);
    void recordCompleted(std::uint64_t tokens, base::TimePoint now);

private:
    OverloadOptions m_options;
    DrainRate m_drain;
    base::Random m_random;
};

} // namespace carawaylatch::admission
