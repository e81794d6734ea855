// The drain rate is an exponentially decayed sum of tokens times ln 2 / halfLife,
// which equals a steady rate r after a few half-lives. Before that the sum is
// divided by the decayed length of the observed time, so that the rate is not
// underestimated in the first seconds. When no work completes, the rate decays and
// the expected wait grows, so a stalled router starts to refuse within a half-life.
#include "carawaylatch/admission/overload.h"

#include <algorithm>
#include <cmath>

namespace carawaylatch::admission
{

namespace
{
constexpr double MinObservedSeconds = 0.1; // a shorter observation gives no usable rate
constexpr double MaxWaitSeconds = 3600;
} // namespace

DrainRate::DrainRate(base::Duration halfLife)
    : m_halfLife(halfLife)
{
}

void DrainRate::add(std::uint64_t tokens, base::TimePoint now)
{
    if (!m_first) {
        m_first = now;
        m_last = now;
    }
    m_sum = m_sum * std::exp2(-base::toSeconds(now - m_last) / base::toSeconds(m_halfLife)) + static_cast<double>(tokens);
    m_last = now;
}

std::optional<double> DrainRate::perSecond(base::TimePoint now) const
{
    if (!m_first) {
        return std::nullopt;
    }
    const double halfLife = base::toSeconds(m_halfLife);
    const double sum = m_sum * std::exp2(-base::toSeconds(now - m_last) / halfLife);
    // The observed time, from which the decayed length is computed.
    const double span = std::max(MinObservedSeconds, base::toSeconds(now - *m_first));
    return sum / ((1 - std::exp2(-span / halfLife)) * halfLife / std::log(2.0));
}

OverloadPolicy::OverloadPolicy(const OverloadOptions &options)
    : m_options(options)
    , m_random(options.seed)
{
}

std::optional<base::Duration> OverloadPolicy::expectedWait(double tokensAhead, base::TimePoint now) const
{
    const auto rate = m_drain.perSecond(now);
    return rate ? std::optional(waitAt(*rate, tokensAhead)) : std::nullopt;
}

base::Duration OverloadPolicy::waitAt(double tokensPerSecond, double tokens)
{
    return base::fromSeconds(tokensPerSecond > 0 ? std::min(MaxWaitSeconds, tokens / tokensPerSecond) : MaxWaitSeconds);
}

base::Result<void> OverloadPolicy::check(base::Duration expectedWait, base::TimePoint deadline, base::TimePoint now)
{
    if (now + expectedWait < deadline) {
        return base::ok();
    }
    return base::fail(base::ErrorKind::Overloaded, "the expected wait exceeds the deadline; try again later or set a later deadline", retryAfter(expectedWait));
}

base::Duration OverloadPolicy::retryAfter(base::Duration expectedWait)
{
    const double bounded = base::toSeconds(std::clamp(expectedWait, m_options.minRetryAfter, m_options.maxRetryAfter));
    return base::fromSeconds(bounded * (1 + m_options.jitter * m_random.uniformReal()));
}

void OverloadPolicy::recordCompleted(std::uint64_t tokens, base::TimePoint now)
{
    m_drain.add(tokens, now);
}

} // namespace carawaylatch::admission
