// The number of routers among which limits are divided.
//
// A greater number counts at once, a lower one only after ShrinkDelay: the list of routers is
// short for some seconds while routers write their entries again, as after the store came back
// from a copy. Routers that took a short list for the whole fleet would each own too much.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

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
        if (listed < m_listed) {
            dropUpTo(m_listed);
            m_former.push_back({.listed = m_listed, .endedAt = now});
        }
        dropUpTo(listed);
        m_listed = listed;
    }
    [[nodiscard]] std::uint32_t counted(base::TimePoint now) const
    {
        const auto it = std::find_if(m_former.begin(), m_former.end(), [now](const Former &former) {
            return now - former.endedAt < ShrinkDelay;
        });
        return it != m_former.end() ? it->listed : m_listed;
    }

private:
    struct Former
    {
        std::uint32_t listed = 0;
        base::TimePoint endedAt;
    };
    void dropUpTo(std::uint32_t listed)
    {
        std::erase_if(m_former, [listed](const Former &it) {
            return it.listed <= listed;
        });
    }

    std::uint32_t m_listed = 0;
    std::vector<Former> m_former; // greater numbers, falling; each number of routers at most once
};

} // namespace carawaylatch::admission
