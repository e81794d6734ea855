// Queue of requests that wait for capacity of a pool, most urgent first.
//
// Handles overload of a pool. A request waits only while it can still be answered in
// time: the queue estimates its wait from the pool's recent completion rate, and a
// request with too long an estimate is refused at once with a Retry-After time at
// which capacity is likely. The order of requests of equal urgency is in waitorder.h.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/waitorder.h"

namespace carawaylatch::proxy
{

class Exchange;

// Rate of completions, exponentially averaged over about one second.
class CompletionRate
{
public:
    void record(base::TimePoint now);
    // Completions per second; decays to zero while none is recorded.
    [[nodiscard]] double perSecond(base::TimePoint now) const;

private:
    static constexpr double TimeConstantSeconds = 1.0; // smooths single requests, but follows a burst
    double m_weight = 0; // exponentially decaying count
    base::TimePoint m_updatedAt;
};

// Computes the retry times of refused callers.
//
// Many callers that are refused at the same time would all retry together and be
// refused again. Each one therefore gets its own retry time, one completion interval
// after the previous caller's.
class RetrySchedule
{
public:
    static constexpr base::Duration MinDelay = base::milliseconds{400}; // also used when the expected wait is unknown
    static constexpr base::Duration MaxDelay = base::seconds{2}; // callers give up if told to wait much longer

    // Returns the delay after which the next refused caller should retry. `expectedWait` is
    // the estimated time until capacity is available, `completionsPerSecond` the rate of
    // completions; zero: unknown.
    [[nodiscard]] base::Duration next(base::TimePoint now, std::optional<base::Duration> expectedWait, double completionsPerSecond);

private:
    base::TimePoint m_last; // retry time of the previous caller
};

class WaitQueue
{
public:
    using Key = WaitOrder::Key;
    using Ticket = WaitOrder::Ticket;

    // Applies to requests that are added from now on.
    void setOrder(QueueOrder order);
    // Returns the expected wait of a request; nothing if the completion rate is too low for an estimate.
    [[nodiscard]] std::optional<base::Duration> expectedWait(const QueuedRequest &request, base::TimePoint now) const;
    Ticket add(const QueuedRequest &request, std::shared_ptr<Exchange> exchange);
    void remove(Ticket ticket, QueueExit exit);
    // The present position of a waiting request.
    [[nodiscard]] Key key(Ticket ticket) const;
    [[nodiscard]] std::shared_ptr<Exchange> front() const;
    // The first request that waits behind `key`, nullptr if there is none; Key{}: the first of all.
    [[nodiscard]] std::shared_ptr<Exchange> after(const Key &key) const;
    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] CompletionRate &completionRate();
    // Delay after which a caller that is refused now should retry.
    [[nodiscard]] base::Duration retryDelay(const QueuedRequest &request, base::TimePoint now);

private:
    WaitOrder m_order;
    std::unordered_map<Ticket, std::shared_ptr<Exchange>> m_waiting; // of the tickets in m_order
    CompletionRate m_completionRate;
    RetrySchedule m_retrySchedule;
};

} // namespace carawaylatch::proxy
