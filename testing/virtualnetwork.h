// Discrete-event simulation of a network, for tests and benchmarks of state machines.
//
// Events run in the order of their time, then of their scheduling. A message is a
// closure that runs on delivery. Messages can be delayed, lost, duplicated or
// dropped by a partition between groups of nodes. Runs with the same seed are equal.
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
        double loss = 0; // fraction of messages that are lost
        double duplication = 0; // fraction of messages that are delivered twice
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
    // Drops messages that are due between two groups, in both directions, until
    // removePartitions() is called.
    void partition(std::uint32_t first, std::uint32_t second)
    {
        m_partitions.insert(std::minmax(first, second));
    }
    void removePartitions()
    {
        m_partitions.clear();
    }

    void at(base::TimePoint time, Event event)
    {
        m_events.push({time, ++m_lastSequence, std::move(event)});
    }

    // Sends a message from one group to another; `deliver` runs on delivery.
    void send(std::uint32_t from, std::uint32_t to, const Event &deliver)
    {
        ++m_messages;
        if (m_random.uniformReal() < m_faults.loss) {
            return;
        }
        for (int copies = m_random.uniformReal() < m_faults.duplication ? 2 : 1; copies > 0; --copies) {
            const auto spread = static_cast<std::uint64_t>((m_faults.maxDelay - m_faults.minDelay).count()) + 1;
            const auto delay = m_faults.minDelay + base::Duration{static_cast<std::int64_t>(m_random.below(spread))};
            at(m_now + delay, [this, from, to, deliver] {
                if (!m_partitions.contains(std::minmax(from, to))) {
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
    struct ScheduledEvent
    {
        base::TimePoint time;
        std::uint64_t sequence = 0;
        Event run;

        bool operator<(const ScheduledEvent &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    base::TimePoint m_now{base::hours{1}};
    std::priority_queue<ScheduledEvent> m_events;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_messages = 0;
    std::set<std::pair<std::uint32_t, std::uint32_t>> m_partitions;
    Faults m_faults;
    base::Random m_random;
};

} // namespace carawaylatch::testing
