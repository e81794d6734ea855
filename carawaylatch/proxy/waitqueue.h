// Requests that wait for room at a pool, most urgent first.
//
// The load it answers: more requests than the upstreams of a pool can run. A
// request waits only while it can still be answered in time: the queue estimates
// its wait from the rate at which requests of the pool have ended of late, and a
// request whose estimate is beyond its patience is refused at once with the time
// at which there is likely to be room. Among equals the first to come goes first.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

class Exchange;

// Rate at which things end, over about the last second.
class CompletionRate
{
public:
    void record(base::TimePoint now);
    // Ends a second; zero if none was noted for a while.
    [[nodiscard]] double perSecond(base::TimePoint now) const;

private:
    static constexpr double TimeConstantSeconds = 1.0; // long enough to smooth single requests, short enough for a burst
    double m_weight = 0; // decaying count
    base::TimePoint m_updatedAt;
};

// When callers that are refused should come back.
//
// The load it answers: many callers refused within a moment, who would all come
// back together and be refused again. Each is told a time of its own, one end of a
// request after that of the caller before it.
class RetrySchedule
{
public:
    static constexpr base::Duration MinDelay = base::milliseconds{400}; // where nothing better is known
    static constexpr base::Duration MaxDelay = base::seconds{2}; // callers give up on much longer ones

    // Returns how long the next refused caller should stay away. `expectedWait` is how
    // long room takes to appear, `completionsPerSecond` the rate at which requests end; zero: unknown.
    [[nodiscard]] base::Duration next(base::TimePoint now, std::optional<base::Duration> expectedWait, double completionsPerSecond);

private:
    base::TimePoint m_last; // told to the caller before
};

class WaitQueue
{
public:
    using Key = std::pair<std::uint32_t, std::uint64_t>; // urgency, order of arrival

    // Returns the expected wait of a request of this urgency; nothing if requests of the pool don't end.
    [[nodiscard]] std::optional<base::Duration> expectedWait(std::uint32_t urgency, base::TimePoint now) const;
    Key add(std::uint32_t urgency, std::shared_ptr<Exchange> exchange);
    void remove(const Key &key);
    [[nodiscard]] std::shared_ptr<Exchange> front() const;
    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] CompletionRate &completionRate();
    // How long a caller that is refused now should stay away.
    [[nodiscard]] base::Duration retryDelay(std::uint32_t urgency, base::TimePoint now);

private:
    std::map<Key, std::shared_ptr<Exchange>> m_waiting;
    std::uint64_t m_arrivals = 0;
    CompletionRate m_completionRate;
    RetrySchedule m_retrySchedule;
};

} // namespace carawaylatch::proxy
