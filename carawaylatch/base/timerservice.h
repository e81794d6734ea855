// One-shot and periodic timers without a thread of their own.
//
// The owner (an event loop, a test or a simulation) calls advance() and sleeps
// until nextDeadline(). Callbacks run on the thread that calls advance(), ordered
// by deadline and then by subscription. A periodic timer that is overdue by several
// intervals fires once and skips the others, so that a process that was suspended
// does not fire a burst when it resumes. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "carawaylatch/base/time.h"

namespace carawaylatch::base
{

class TimerService
{
public:
    using Callback = std::function<void(TimePoint now)>;

    // Cancels the timer on destruction. Must not outlive the service.
    class Subscription
    {
    public:
        Subscription() = default;
        Subscription(TimerService *service, std::uint64_t id);
        Subscription(Subscription &&other) noexcept;
        Subscription &operator=(Subscription &&other) noexcept;
        Subscription(const Subscription &) = delete;
        Subscription &operator=(const Subscription &) = delete;
        ~Subscription();
        void cancel();

    private:
        TimerService *m_service = nullptr;
        std::uint64_t m_id = 0;
    };

    // Starts a periodic timer that fires first at now + interval.
    [[nodiscard]] Subscription every(TimePoint now, Duration interval, Callback callback);
    // Starts a one-shot timer that fires at the first advance() at or after now + delay.
    [[nodiscard]] Subscription after(TimePoint now, Duration delay, Callback callback);
    // Runs the callbacks of all timers that are due.
    void advance(TimePoint now);
    // Returns the earliest deadline, or std::nullopt if no timer is pending.
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

private:
    struct Entry
    {
        std::uint64_t id = 0;
        Duration interval{}; // zero for a one-shot timer
        std::shared_ptr<Callback> callback;
    };

    Subscription add(TimePoint deadline, Duration interval, Callback callback);
    void remove(std::uint64_t id);

    // Entries with equal deadlines stay in the order of insertion.
    std::multimap<TimePoint, Entry> m_entries;
    std::uint64_t m_lastId = 0;
};

} // namespace carawaylatch::base
