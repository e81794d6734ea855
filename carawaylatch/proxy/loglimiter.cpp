// The bounded table of loglimiter.h.
#include "carawaylatch/proxy/loglimiter.h"

namespace carawaylatch::proxy
{

bool LogLimiter::mayLog(std::uint64_t subject, base::TimePoint now)
{
    if (const auto it = m_loggedAt.find(subject); it != m_loggedAt.end()) {
        if (now - it->second < Interval) {
            return false;
        }
        it->second = now;
        return true;
    }
    if (m_loggedAt.size() >= MaxSubjects) {
        std::erase_if(m_loggedAt, [now](const auto &it) {
            return now - it.second >= Interval;
        });
    }
    return m_loggedAt.size() < MaxSubjects && m_loggedAt.emplace(subject, now).second;
}

} // namespace carawaylatch::proxy
