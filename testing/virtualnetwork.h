// A network in virtual time for tests and benches of state machines.
//
// Events run in order of time, then of scheduling. Messages are closures that
// deliver themselves; they can be delayed, lost, doubled and cut between groups
// of nodes. The same seed gives the same run.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::testing
{

class VirtualNetwork
{
public:
    using Event = std::function<void()>;

    struct Faults
    {
        double loss = 0; // share of messages that are lost
        double doubled = 0; // share of messages that arrive twice
        base::Duration minDelay = base::milliseconds{1};
        base::Duration maxDelay = base::milliseconds{2};
    };

    explicit VirtualNetwork(std::uint64_t seed)
        : m_random(seed)
    {
    }

    [[nodiscard]] base::TimePoint now() const
    {
        return m_now;
    }
    [[nodiscard]] std::uint64_t messages() const
    {
        return m_messages;
    }
    void setFaults(Faults faults)
    {
        m_faults = faults;
    }
    // Cuts two groups off from each other, or heals the cut.
    void cut(std::uint32_t first, std::uint32_t second)
    {
        m_cuts.insert(std::minmax(first, second));
    }
    void heal()
    {
        m_cuts.clear();
    }

    void at(base::TimePoint time, Event event)
    {
        m_events.push({time, ++m_scheduled, std::move(event)});
    }

    // Sends a message from a group to another.
    void send(std::uint32_t from, std::uint32_t to, const Event &deliver)
    {
        ++m_messages;
        if (m_random.unit() < m_faults.loss) {
            return;
        }
        for (int copies = m_random.unit() < m_faults.doubled ? 2 : 1; copies > 0; --copies) {
            const auto spread = static_cast<std::uint64_t>((m_faults.maxDelay - m_faults.minDelay).count()) + 1;
            const auto delay = m_faults.minDelay + base::Duration{static_cast<std::int64_t>(m_random.below(spread))};
            at(m_now + delay, [this, from, to, deliver] {
                if (!m_cuts.contains(std::minmax(from, to))) {
                    deliver();
                }
            });
        }
    }

    void runUntil(base::TimePoint time)
    {
        while (!m_events.empty() && m_events.top().time <= time) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.run();
        }
        m_now = time;
    }
    void runFor(base::Duration duration)
    {
        runUntil(m_now + duration);
    }

private:
    struct Scheduled
    {
        base::TimePoint time;
        std::uint64_t number = 0;
        Event run;

        bool operator<(const Scheduled &other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    base::TimePoint m_now{base::hours{1}};
    std::priority_queue<Scheduled> m_events;
    std::uint64_t m_scheduled = 0;
    std::uint64_t m_messages = 0;
    std::set<std::pair<std::uint32_t, std::uint32_t>> m_cuts;
    Faults m_faults;
    base::Random m_random;
};

} // namespace carawaylatch::testing
