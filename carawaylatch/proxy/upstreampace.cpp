// Averages and ages the figures of upstreampace.h.
#include "carawaylatch/proxy/upstreampace.h"

#include <algorithm>
#include <cmath>

namespace carawaylatch::proxy
{

void UpstreamPace::record(std::uint32_t pace, base::TimePoint now)
{
    const double kept = m_weight > 0 ? std::exp(-base::toSeconds(now - m_recordedAt) / base::toSeconds(AveragingTime)) : 0;
    m_sum = m_sum * kept + std::clamp(pace, MinPace, MaxPace);
    m_weight = m_weight * kept + 1;
    m_recordedAt = now;
}

void UpstreamPace::reset()
{
    *this = UpstreamPace{};
}

// The bounds apply before the age, so that a very slow upstream's factor falls from the first moment on, too.
double UpstreamPace::factor(base::TimePoint now, const PaceBounds &bounds) const
{
    const base::Duration age = now - m_recordedAt;
    if (m_weight == 0 || age >= MaxPaceAge) {
        return 1;
    }
    const double whole = std::clamp(m_sum / m_weight / UsualPace, bounds.least, bounds.most);
    const double ageShare = base::toSeconds(age) / base::toSeconds(MaxPaceAge);
    return 1 + (whole - 1) * (1 - ageShare);
}

} // namespace carawaylatch::proxy
