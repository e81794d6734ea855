// Queue order, wait estimate and retry times of waitqueue.h.
#include "carawaylatch/proxy/waitqueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace carawaylatch::proxy
{

namespace
{

constexpr double MinRate = 0.2; // completions per second; at lower rates a wait can't be estimated

} // namespace

void CompletionRate::record(base::TimePoint now)
{
    m_weight = perSecond(now) * TimeConstantSeconds + 1;
    m_updatedAt = now;
}

double CompletionRate::perSecond(base::TimePoint now) const
{
    return m_weight * std::exp(-base::toSeconds(now - m_updatedAt) / TimeConstantSeconds) / TimeConstantSeconds;
}

base::Duration RetrySchedule::next(base::TimePoint now, std::optional<base::Duration> expectedWait, double completionsPerSecond)
{
    base::TimePoint at = now + std::max(expectedWait.value_or(MinDelay), MinDelay);
    if (completionsPerSecond >= MinRate) {
        at = std::max(at, m_last + base::fromSeconds(1 / completionsPerSecond));
    }
    at = std::min(at, now + MaxDelay);
    m_last = at;
    return at - now;
}

std::optional<base::Duration> WaitQueue::expectedWait(std::uint32_t urgency, base::TimePoint now) const
{
    const double rate = m_completionRate.perSecond(now);
    if (rate < MinRate) {
        return std::nullopt;
    }
    const auto ahead = std::distance(m_waiting.begin(), m_waiting.lower_bound({urgency + 1, 0}));
    return base::fromSeconds((static_cast<double>(ahead) + 1) / rate);
}

WaitQueue::Key WaitQueue::add(std::uint32_t urgency, std::shared_ptr<Exchange> exchange)
{
    const Key key{urgency, ++m_arrivals};
    m_waiting.emplace(key, std::move(exchange));
    return key;
}

void WaitQueue::remove(const Key &key)
{
    m_waiting.erase(key);
}

std::shared_ptr<Exchange> WaitQueue::front() const
{
    return m_waiting.empty() ? nullptr : m_waiting.begin()->second;
}

std::shared_ptr<Exchange> WaitQueue::after(const Key &key) const
{
    const auto it = m_waiting.upper_bound(key);
    return it == m_waiting.end() ? nullptr : it->second;
}

bool WaitQueue::isEmpty() const
{
    return m_waiting.empty();
}

std::size_t WaitQueue::size() const
{
    return m_waiting.size();
}

CompletionRate &WaitQueue::completionRate()
{
    return m_completionRate;
}

base::Duration WaitQueue::retryDelay(std::uint32_t urgency, base::TimePoint now)
{
    return m_retrySchedule.next(now, expectedWait(urgency, now), m_completionRate.perSecond(now));
}

} // namespace carawaylatch::proxy
