// A ring buffer of one-second slots counts requests and the retries, hedges and
// continuations taken; a slot is cleared when the ring comes back to it. One more is
// allowed if taken + 1 <= reserve + share x requests over the window. Summing ten
// slots costs less than running totals that stay correct across skipped seconds.
#include "carawaylatch/relay/retrybudget.h"

namespace carawaylatch::relay
{

RetryVerdict mayRetry(config::Idempotency idempotency, BreakKind kind, std::uint64_t delivered)
{
    if (delivered > 0) {
        return RetryVerdict::AlreadyDelivered;
    }
    const bool isUnsent = kind == BreakKind::NotSent || kind == BreakKind::Refused;
    if (idempotency == config::Idempotency::AtMostOnce && !isUnsent) {
        return RetryVerdict::MayHaveRun;
    }
    return RetryVerdict::Allowed;
}

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
{
}

void RetryBudget::setOptions(RetryBudgetOptions options)
{
    m_options = options;
}

RetryBudget::Slot &RetryBudget::slotAt(base::TimePoint now)
{
    const auto second = std::chrono::duration_cast<base::seconds>(now.time_since_epoch()).count();
    Slot &slot = m_slots[static_cast<std::size_t>(second) % WindowSlots];
    if (slot.second != second) {
        slot = Slot{.second = second};
    }
    return slot;
}

void RetryBudget::countRequest(base::TimePoint now)
{
    ++slotAt(now).requests;
}

void RetryBudget::countContinuation(base::TimePoint now)
{
    ++slotAt(now).taken;
}

bool RetryBudget::mayTake(base::TimePoint now)
{
    const Slot &current = slotAt(now);
    std::uint64_t requests = 0;
    std::uint64_t taken = 0;
    for (const Slot &slot : m_slots) {
        if (slot.second >= 0 && slot.second > current.second - static_cast<std::int64_t>(WindowSlots)) {
            requests += slot.requests;
            taken += slot.taken;
        }
    }
    return static_cast<double>(taken) + 1 <= m_options.reserve + m_options.share * static_cast<double>(requests);
}

bool RetryBudget::tryTake(base::TimePoint now)
{
    if (!mayTake(now)) {
        return false;
    }
    ++slotAt(now).taken;
    return true;
}

RetryBudgets::RetryBudgets(RetryBudgetOptions options)
    : m_options(options)
{
}

RetryBudget &RetryBudgets::budgetOf(const base::PoolName &pool)
{
    const auto it = m_budgets.find(pool);
    if (it != m_budgets.end()) {
        return it->second;
    }
    const bool isFull = m_budgets.size() >= MaxPools;
    return m_budgets.try_emplace(isFull ? base::PoolName{} : pool, m_options).first->second;
}

void RetryBudgets::countRequest(const base::PoolName &pool, base::TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    budgetOf(pool).countRequest(now);
}

void RetryBudgets::countContinuation(const base::PoolName &pool, base::TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    budgetOf(pool).countContinuation(now);
}

bool RetryBudgets::tryTake(const base::PoolName &pool, base::TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    return budgetOf(pool).tryTake(now);
}

} // namespace carawaylatch::relay
