// A manual clock that one thread of a test advances while other threads read it.
#pragma once

#include <atomic>

#include "carawaylatch/base/time.h"

namespace carawaylatch::testing
{

class ThreadSafeManualClock : public base::Clock
{
public:
    [[nodiscard]] base::TimePoint now() const override
    {
        return base::TimePoint{m_now.load()};
    }
    void advance(base::Duration duration)
    {
        m_now = m_now.load() + duration;
    }

private:
    std::atomic<base::Duration> m_now = base::Duration{base::hours{1}};
};

} // namespace carawaylatch::testing
