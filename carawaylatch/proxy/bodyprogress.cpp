// Implementation of bodyprogress.h.
#include "carawaylatch/proxy/bodyprogress.h"

namespace carawaylatch::proxy
{

void BodyProgress::onBytes(std::uint64_t n, base::TimePoint now)
{
    if (m_received == 0) {
        m_from = {now, 0};
        m_next = m_from;
    } else if (now - m_next.at >= Interval) {
        m_from = m_next;
        m_next = {now, m_received};
    }
    m_received += n;
}

bool BodyProgress::isInTime(std::optional<std::uint64_t> length, base::Duration timeLeft, base::TimePoint now) const
{
    const auto bytes = static_cast<double>(m_received - m_from.bytes);
    const double elapsed = base::toSeconds(now - m_from.at);
    if (!length) {
        return m_received > 0 && bytes >= elapsed * MinBytesPerSecond;
    }
    const auto left = static_cast<double>(*length > m_received ? *length - m_received : 0);
    return m_received > 0 && left * elapsed <= bytes * base::toSeconds(timeLeft);
}

} // namespace carawaylatch::proxy
