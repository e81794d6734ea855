// Tests that a list of routers that is short for a moment gives no router a greater share.
#include <cppunit/extensions/HelperMacros.h>

#include "carawaylatch/admission/fleetsize.h"

namespace carawaylatch::admission::testing
{

class FleetSizeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetSizeTest);
    CPPUNIT_TEST(testListsInTime);
    CPPUNIT_TEST(testShortListAfterRemoval);
    CPPUNIT_TEST_SUITE_END();

public:
    void testListsInTime()
    {
        struct Step
        {
            int atSeconds;
            std::uint32_t listed; // zero: no new list
            std::uint32_t counted;
        };
        constexpr Step Steps[] = {
            {0, 1, 1},    {1, 35, 35}, // routers added count at once
            {2, 1, 35},   {3, 20, 35}, // a list that is being written again
            {4, 35, 35},  {13, 0, 35}, // whole again
            {20, 34, 35}, {25, 33, 35}, // routers removed
            {29, 0, 35},  {30, 0, 34}, // ten seconds after the first of them; the second counts for five more
            {31, 30, 34}, {32, 40, 40}, // replaced by more
            {33, 5, 40},  {50, 4, 5},   {60, 0, 4}, // each time a list is short, it counts later
        };
        FleetSize size;
        for (const Step &it : Steps) {
            const base::TimePoint now{base::seconds{it.atSeconds}};
            if (it.listed != 0) {
                size.set(it.listed, now);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(it.atSeconds) + " s", it.counted, size.counted(now));
        }
    }
    // A list that is being written again just when a removed router stops counting: without the number in between,
    // routers would own 1/35 of each limit beside others that still own 1/299.
    void testShortListAfterRemoval()
    {
        const base::TimePoint start{base::hours{1}};
        FleetSize size;
        size.set(300, start);
        size.set(299, start + base::seconds{1});
        size.set(35, start + base::milliseconds{10'900});
        CPPUNIT_ASSERT_EQUAL(300U, size.counted(start + base::milliseconds{10'999}));
        CPPUNIT_ASSERT_EQUAL(299U, size.counted(start + base::seconds{11}));
        CPPUNIT_ASSERT_EQUAL(299U, size.counted(start + base::milliseconds{20'899}));
        CPPUNIT_ASSERT_EQUAL(35U, size.counted(start + base::milliseconds{20'900}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetSizeTest);

} // namespace carawaylatch::admission::testing
