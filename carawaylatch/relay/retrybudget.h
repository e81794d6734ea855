// When another attempt is allowed.
//
// Two rules, both needed: the call must bear it (mayRetry), and the pool's
// budget must have room (RetryBudget): retries and hedges together stay under a
// share of recent requests, so that a failing pool is not buried under retries.
// Continuations of streams that a caller already holds a part of are counted but
// not refused: their number is bounded by the open streams and maxRuns.
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
    AlreadyDelivered, // only a resume or a continuation may follow
    MayHaveRun, // not idempotent and not provably unsent
};

// Says whether a call may be tried afresh after a break.
[[nodiscard]] RetryVerdict mayRetry(config::Idempotency idempotency, BreakKind kind, std::uint64_t delivered);

struct RetryBudgetOptions
{
    double share = 0.1; // retries and hedges for each recent request
    std::uint32_t reserve = 10; // allowed in each window at any load
};

// The budget of one pool: counts in a ring of one-second slots.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});
    // Takes new options; what was counted stays.
    void setOptions(RetryBudgetOptions options);
    void countRequest(base::TimePoint now);
    // Counts a continuation, which a delivered part makes necessary.
    void countContinuation(base::TimePoint now);
    // Takes one retry or hedge out of the budget; false if it is used up.
    [[nodiscard]] bool tryTake(base::TimePoint now);
    // Tells whether tryTake() would succeed.
    [[nodiscard]] bool mayTake(base::TimePoint now);

private:
    static constexpr std::size_t WindowSlots = 10; // of one second each
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

// Budgets of all pools; safe for use from any thread. At most MaxPools pools
// have their own budget, the rest share one.
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
