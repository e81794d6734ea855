// The number of routers among which limits are divided.
//
// A greater number counts at once, a lower one only after ShrinkDelay: the list of routers is
// short for some seconds while routers write their entries again, as after the store came back
// from a copy. Routers that took a short list for the whole fleet would each own too much.
#pragma once

#include <algorithm>
#include <cstdint>

#include "carawaylatch/base/time.h"

namespace carawaylatch::admission
{

class FleetSize
{
public:
    static constexpr base::Duration ShrinkDelay = base::seconds{10}; // several attempts of a router to write its entry

    // The list has this many routers now.
    void set(std::uint32_t listed, base::TimePoint now)
    {
        const std::uint32_t former = counted(now);
        if (listed >= former) {
            m_counted = listed;
        } else if (m_listed >= m_counted || former < m_counted) {
            m_counted = former;
            m_shrunkAt = now;
        }
        m_listed = listed;
    }
    [[nodiscard]] std::uint32_t counted(base::TimePoint now) const
    {
        return m_listed < m_counted && now - m_shrunkAt < ShrinkDelay ? m_counted : m_listed;
    }

private:
    std::uint32_t m_listed = 0;
    std::uint32_t m_counted = 0; // the greatest number since the list became shorter; else as m_listed
    base::TimePoint m_shrunkAt; // when the list became shorter than m_counted
};

} // namespace carawaylatch::admission
