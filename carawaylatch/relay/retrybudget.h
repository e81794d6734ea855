// Decides whether another attempt is allowed.
//
// Two conditions must hold: the call is safe to repeat (mayRetry), and the pool has
// retry budget left (RetryBudget). The budget limits retries and hedges together to
// a share of the recent requests, so that retries don't overload a failing pool.
// Continuations of partly delivered streams are counted but never refused; their
// number is bounded by the open streams and maxRuns.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <mutex>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/config/tables.h"
#include "carawaylatch/relay/engineconnection.h"

namespace carawaylatch::relay
{

enum class RetryVerdict {
    Allowed,
    AlreadyDelivered, // tokens were delivered: only a resume or a continuation may follow
    MayHaveRun, // not idempotent, and the engine may have run it
};

// Returns whether a call may be retried from the start after a failed attempt.
[[nodiscard]] RetryVerdict mayRetry(config::Idempotency idempotency, BreakKind kind, std::uint64_t delivered);

struct RetryBudgetOptions
{
    double share = 0.1; // retries and hedges allowed per request of the window
    std::uint32_t reserve = 10; // retries and hedges allowed per window in addition
};

// Budget of one pool over a sliding window of WindowSlots seconds.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});
    // Replaces the options; the counts are kept.
    void setOptions(RetryBudgetOptions options);
    void countRequest(base::TimePoint now);
    // Counts a continuation against the budget without checking the limit.
    void countContinuation(base::TimePoint now);
    // Takes one retry or hedge from the budget; returns false if it is exhausted.
    [[nodiscard]] bool tryTake(base::TimePoint now);
    // Returns true if tryTake() would succeed.
    [[nodiscard]] bool mayTake(base::TimePoint now);

private:
    static constexpr std::size_t WindowSlots = 10; // one second each
    struct Slot
    {
        std::int64_t second = -1;
        std::uint32_t requests = 0;
        std::uint32_t taken = 0;
    };
    Slot &slotAt(base::TimePoint now);

    RetryBudgetOptions m_options;
    std::array<Slot, WindowSlots> m_slots;
};

// Budgets of all pools. Thread-safe. At most MaxPools pools have their own budget,
// the others share one.
class RetryBudgets
{
public:
    static constexpr std::size_t MaxPools = 1024;
    explicit RetryBudgets(RetryBudgetOptions options = {});
    void countRequest(const base::PoolName &pool, base::TimePoint now);
    void countContinuation(const base::PoolName &pool, base::TimePoint now);
    [[nodiscard]] bool tryTake(const base::PoolName &pool, base::TimePoint now);

private:
    RetryBudget &budgetOf(const base::PoolName &pool);

    RetryBudgetOptions m_options;
    std::mutex m_mutex;
    std::map<base::PoolName, RetryBudget> m_budgets; // guarded by m_mutex
};

} // namespace carawaylatch::relay
