// Bucket level and rate, updated lazily at each refill.
#include "carawaylatch/admission/tokenbucket.h"

#include <algorithm>

namespace carawaylatch::admission
{

namespace
{
constexpr double BurstSeconds = 1;
constexpr base::Duration MaxWait = base::hours{1};
} // namespace

TokenBucket::TokenBucket(base::TimePoint now)
    : m_last(now)
{
}

void TokenBucket::refill(double perSecond, base::TimePoint now)
{
    if (now > m_last) {
        m_level += base::toSeconds(now - m_last) * std::min(m_rate, perSecond);
        m_last = now;
    }
    m_rate = perSecond;
    m_level = std::min(m_level, std::max(1.0, perSecond * BurstSeconds));
}

bool TokenBucket::tryConsume()
{
    if (m_level < 1) {
        return false;
    }
    m_level -= 1;
    return true;
}

base::Duration TokenBucket::timeToNextToken() const
{
    if (m_level >= 1) {
        return base::Duration::zero();
    }
    const double seconds = m_rate > 0 ? (1 - m_level) / m_rate : base::toSeconds(MaxWait);
    return std::min(MaxWait, base::fromSeconds(seconds));
}

} // namespace carawaylatch::admission
