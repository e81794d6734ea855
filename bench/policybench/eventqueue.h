// Event queue of a simulation in virtual time. Callbacks run in order of time, those of
// equal time in order of scheduling.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "carawaylatch/base/time.h"

namespace carawaylatch::bench
{

class EventQueue
{
public:
    using Callback = std::function<void()>;

    [[nodiscard]] base::TimePoint now() const
    {
        return m_now;
    }

    void after(base::Duration delay, Callback callback)
    {
        m_events.push(Event{m_now + delay, m_sequence++, std::move(callback)});
    }

    // Runs the callback after `first` and then at every interval until the end of the run.
    void every(base::Duration first, base::Duration interval, const Callback &callback)
    {
        after(first, [this, interval, callback] {
            callback();
            every(interval, interval, callback);
        });
    }

    void runUntil(base::TimePoint end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.callback();
        }
        m_now = end;
    }

private:
    struct Event
    {
        base::TimePoint at;
        std::uint64_t sequence = 0;
        Callback callback;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    base::TimePoint m_now{base::hours{1}};
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
};

} // namespace carawaylatch::bench
