// Waiting requests, wait estimate and retry times of waitqueue.h.
#include "carawaylatch/proxy/waitqueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

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

void WaitQueue::setOrder(QueueOrder order)
{
    m_order.setOrder(order);
}

std::optional<base::Duration> WaitQueue::expectedWait(const QueuedRequest &request, base::TimePoint now) const
{
    const double rate = m_completionRate.perSecond(now);
    if (rate < MinRate) {
        return std::nullopt;
    }
    return base::fromSeconds((static_cast<double>(m_order.ahead(request)) + 1) / rate);
}

WaitQueue::Ticket WaitQueue::add(const QueuedRequest &request, std::shared_ptr<Exchange> exchange)
{
    const Ticket ticket = m_order.join(request);
    m_waiting.emplace(ticket, std::move(exchange));
    return ticket;
}

void WaitQueue::remove(Ticket ticket, QueueExit exit)
{
    m_order.leave(ticket, exit);
    m_waiting.erase(ticket);
}

WaitQueue::Key WaitQueue::key(Ticket ticket) const
{
    return m_order.key(ticket);
}

std::shared_ptr<Exchange> WaitQueue::front() const
{
    return after({});
}

std::shared_ptr<Exchange> WaitQueue::after(const Key &key) const
{
    const auto ticket = m_order.after(key);
    return ticket ? m_waiting.at(*ticket) : nullptr;
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

base::Duration WaitQueue::retryDelay(const QueuedRequest &request, base::TimePoint now)
{
    return m_retrySchedule.next(now, expectedWait(request, now), m_completionRate.perSecond(now));
}

} // namespace carawaylatch::proxy
