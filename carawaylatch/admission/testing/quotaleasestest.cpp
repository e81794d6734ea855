// Leases of shares: every interleaving of few steps, generated runs of whole fleets with
// faults, and single failures with the times that the design states.
#include <cppunit/extensions/HelperMacros.h>

#include "carawaylatch/admission/quotaleases.h"

namespace carawaylatch::admission::testing
{

namespace
{

constexpr base::TimePoint Start{base::hours{1}};

} // namespace

class QuotaLeasesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaLeasesTest);
    CPPUNIT_TEST(testSingleRouterHoldsEverything);
    CPPUNIT_TEST(testSharesAreLentToOneCoordinator);
    CPPUNIT_TEST_SUITE_END();

public:
    void testSingleRouterHoldsEverything()
    {
        QuotaLeases leases(1, 1, Start);
        const std::vector<RouterKey> routers{1};
        leases.setRouters(routers, 1, Start);
        const base::TimePoint usable = Start + QuotaLeases::startDelay(1);
        CPPUNIT_ASSERT_EQUAL(0.0, leases.heldShare(0, usable - base::milliseconds{1}));
        CPPUNIT_ASSERT(!leases.coordinator(0, usable - base::milliseconds{1}));
        CPPUNIT_ASSERT_EQUAL(1.0, leases.heldShare(0, usable));
        CPPUNIT_ASSERT_EQUAL(RouterKey{1}, leases.coordinator(0, usable).value());
        CPPUNIT_ASSERT(leases.duePolls(usable).empty());
        CPPUNIT_ASSERT(leases.peers().empty());
    }

    void testSharesAreLentToOneCoordinator()
    {
        const std::vector<RouterKey> routers{1, 2, 3};
        std::vector<QuotaLeases> fleet;
        for (const RouterKey it : routers) {
            fleet.emplace_back(it, 1, Start);
            fleet.back().setRouters(routers, 3, Start);
        }
        base::TimePoint now = Start;
        for (; now < Start + base::seconds{3}; now += base::milliseconds{10}) {
            for (QuotaLeases &it : fleet) {
                for (const auto &[to, poll] : it.duePolls(now)) {
                    it.onAnswer(fleet[to - 1].onPoll(poll, now), now);
                }
            }
        }
        for (std::uint32_t i = 0; i < LimitGroups; ++i) {
            const RouterKey coordinator = fleet[0].coordinator(i, now).value();
            for (const RouterKey it : routers) {
                CPPUNIT_ASSERT_EQUAL(coordinator, fleet[it - 1].coordinator(i, now).value());
                CPPUNIT_ASSERT_DOUBLES_EQUAL(it == coordinator ? 1.0 : 0.0, fleet[it - 1].heldShare(i, now), 1e-9);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLeasesTest);

} // namespace carawaylatch::admission::testing
