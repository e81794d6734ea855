// The timer service that parts subscribe to.
//
// It holds deadlines, not threads: whoever owns it (the control loop, a test, a
// bench in virtual time) calls advance() and asks nextDeadline() how long it may
// sleep. Callbacks run on the caller's thread in order of deadline, then of
// subscription. A periodic timer that fell behind fires once and skips what it
// missed, so that a frozen process does not fire a burst when it resumes.
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

    // Ends the subscription when it is destroyed. Must not outlive the service.
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

    // Calls back every interval, first at now + interval.
    [[nodiscard]] Subscription every(TimePoint now, Duration interval, Callback callback);
    // Calls back once, at now + delay or as soon after as advance() is called.
    [[nodiscard]] Subscription after(TimePoint now, Duration delay, Callback callback);
    // Fires all that is due.
    void advance(TimePoint now);
    // Returns the earliest deadline, or nothing without subscriptions.
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

private:
    struct Entry
    {
        std::uint64_t id = 0;
        Duration interval{}; // zero for a timer that fires once
        std::shared_ptr<Callback> callback;
    };

    Subscription add(TimePoint deadline, Duration interval, Callback callback);
    void remove(std::uint64_t id);

    // Ordered by deadline; entries of one deadline keep the order of insertion.
    std::multimap<TimePoint, Entry> m_entries;
    std::uint64_t m_lastId = 0;
};

} // namespace carawaylatch::base
