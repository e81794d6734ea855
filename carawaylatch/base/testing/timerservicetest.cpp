// Tests of the timer service: firing order, skipped intervals, and cancellation from a callback.
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "carawaylatch/base/timerservice.h"

namespace carawaylatch::base::testing
{

class TimerServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TimerServiceTest);
    CPPUNIT_TEST(testFiresInOrderOfDeadline);
    CPPUNIT_TEST(testSkipsMissedPeriods);
    CPPUNIT_TEST(testCancelsFromCallback);
    CPPUNIT_TEST_SUITE_END();

public:
    void testFiresInOrderOfDeadline()
    {
        std::vector<int> fired;
        const auto late = m_timers.after(m_start, seconds{2}, [&fired](TimePoint) {
            fired.push_back(2);
        });
        const auto early = m_timers.after(m_start, seconds{1}, [&fired](TimePoint) {
            fired.push_back(1);
        });
        m_timers.advance(m_start + seconds{3});
        CPPUNIT_ASSERT(fired == (std::vector<int>{1, 2}));
        CPPUNIT_ASSERT(!m_timers.nextDeadline());
    }

    void testSkipsMissedPeriods()
    {
        int fired = 0;
        const auto timer = m_timers.every(m_start, seconds{1}, [&fired](TimePoint) {
            ++fired;
        });
        m_timers.advance(m_start + seconds{100});
        CPPUNIT_ASSERT_EQUAL(1, fired);
        m_timers.advance(m_start + seconds{101});
        CPPUNIT_ASSERT_EQUAL(2, fired);
    }

    void testCancelsFromCallback()
    {
        int fired = 0;
        TimerService::Subscription timer;
        timer = m_timers.every(m_start, seconds{1}, [&](TimePoint) {
            ++fired;
            timer.cancel();
        });
        m_timers.advance(m_start + seconds{1});
        m_timers.advance(m_start + seconds{5});
        CPPUNIT_ASSERT_EQUAL(1, fired);
    }

private:
    TimerService m_timers;
    const TimePoint m_start{hours{1}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimerServiceTest);

} // namespace carawaylatch::base::testing
