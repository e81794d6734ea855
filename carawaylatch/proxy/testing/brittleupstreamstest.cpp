// Brittle upstreams, behind fleets of routers in virtual time.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "carawaylatch/proxy/testing/brittlefleet.h"

namespace carawaylatch::proxy::testing
{

namespace
{

const base::TimePoint Start{base::hours{1}};
constexpr UpstreamKey Engine{77, 5};
constexpr base::Duration JudgedTime = base::seconds{4};

std::string nameOf(const BrittleFleetOptions &options, const BrittleFleet &fleet)
{
    return std::to_string(options.routers) + " routers, N=" + std::to_string(options.rejections) + ", loss " + std::to_string(options.reportLoss) + ", load "
           + std::to_string(options.load) + (options.isEngine ? ", engines" : ", services") + ": " + std::to_string(fleet.worstSecond)
           + " in the worst second, " + std::to_string(fleet.rejected) + " in all, " + std::to_string(fleet.served) + " served";
}

// Share of the slots that were in use since the servers queue nothing.
double usedShare(const BrittleFleetOptions &options, const BrittleFleet &fleet)
{
    return fleet.slotSeconds / base::toSeconds(JudgedTime) / static_cast<double>(options.servers) / options.slots;
}

BrittleFleet runFleet(const BrittleFleetOptions &options)
{
    BrittleFleet fleet(options);
    fleet.run(BrittleFleet::QueueTime + JudgedTime);
    return fleet;
}

} // namespace

class BrittleUpstreamsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BrittleUpstreamsTest);
    CPPUNIT_TEST(testFleetsStayBelowRejections);
    CPPUNIT_TEST(testLargeFleetsStayBelowRejections);
    CPPUNIT_TEST(testEnginesStayBelowRejections);
    CPPUNIT_TEST(testFreeRoomIsUsed);
    CPPUNIT_TEST(testRestartedServersAreNotRushed);
    CPPUNIT_TEST(testRouterThatStartsAmongOthers);
    CPPUNIT_TEST(testEndIsLearnt);
    CPPUNIT_TEST(testWordOfAStatusCall);
    CPPUNIT_TEST(testRejectionsLowerWhatIsUnderWay);
    CPPUNIT_TEST(testRisksAreShared);
    CPPUNIT_TEST(testForgottenUpstreamsEnd);
    CPPUNIT_TEST_SUITE_END();

    static CapacityUse slots(double capacity, double own, double others)
    {
        return {capacity, own, others, others, 1};
    }

public:
    // Overload at small fleets: full reports, lost ones, none at all.
    void testFleetsStayBelowRejections()
    {
        for (const std::size_t routers : {1U, 4U, 16U}) {
            for (const std::uint32_t rejections : {0U, 1U, 5U, 20U}) {
                for (const double loss : {0.0, 0.5, 1.0}) {
                    for (const double load : {0.9, 4.0}) {
                        BrittleFleetOptions options;
                        options.routers = routers;
                        options.rejections = rejections;
                        options.reportLoss = loss;
                        options.load = load;
                        const BrittleFleet fleet = runFleet(options);
                        CPPUNIT_ASSERT_MESSAGE(nameOf(options, fleet), fleet.worstSecond <= rejections);
                    }
                }
            }
        }
    }

    // Fleets in which each router hears 32 others, or none.
    void testLargeFleetsStayBelowRejections()
    {
        for (const std::size_t routers : {77U, 300U}) {
            for (const std::uint32_t rejections : {1U, 10U}) {
                for (const double loss : {0.0, 1.0}) {
                    BrittleFleetOptions options;
                    options.routers = routers;
                    options.servers = 8;
                    options.slots = 48;
                    options.rejections = rejections;
                    options.reportLoss = loss;
                    options.load = 2;
                    const BrittleFleet fleet = runFleet(options);
                    CPPUNIT_ASSERT_MESSAGE(nameOf(options, fleet), fleet.worstSecond <= rejections);
                    CPPUNIT_ASSERT_MESSAGE(nameOf(options, fleet), usedShare(options, fleet) > 0.4);
                }
            }
        }
    }

    // Requests of different sizes share the memory of engines.
    void testEnginesStayBelowRejections()
    {
        for (const std::size_t routers : {4U, 16U}) {
            for (const std::uint32_t rejections : {2U, 10U}) {
                for (const double loss : {0.0, 1.0}) {
                    BrittleFleetOptions options;
                    options.routers = routers;
                    options.servers = 4;
                    options.slots = 48;
                    options.isEngine = true;
                    options.rejections = rejections;
                    options.reportLoss = loss;
                    options.load = 2;
                    const BrittleFleet fleet = runFleet(options);
                    CPPUNIT_ASSERT_MESSAGE(nameOf(options, fleet), fleet.worstSecond <= rejections);
                    CPPUNIT_ASSERT_MESSAGE(nameOf(options, fleet), fleet.served > 100);
                }
            }
        }
    }

    // Overload at all routers uses most slots; a single one has at least what is kept for it.
    void testFreeRoomIsUsed()
    {
        for (const std::size_t active : {0U, 1U, 2U}) {
            for (const std::uint32_t slots : {6U, 48U}) {
                constexpr double RunningShare = 0.8; // of the time of a request; it is on its way for the rest
                BrittleFleetOptions options;
                options.slots = slots;
                options.load = 3;
                options.activeRouters = active;
                const BrittleFleet fleet = runFleet(options);
                const double used = usedShare(options, fleet);
                const double kept = std::floor(slots * BrittleUpstreams::ReservedShare / static_cast<double>(options.routers)) / slots;
                const double expected = active == 0 ? 0.6 : RunningShare * kept * static_cast<double>(active);
                CPPUNIT_ASSERT_MESSAGE(nameOf(options, fleet) + ", used " + std::to_string(used), used > expected);
                CPPUNIT_ASSERT_MESSAGE(nameOf(options, fleet), fleet.worstSecond <= options.rejections);
            }
        }
    }

    // Their load is known to be zero, and that they are brittle only from the first answer on.
    void testRestartedServersAreNotRushed()
    {
        for (const std::size_t routers : {4U, 77U}) {
            BrittleFleetOptions options;
            options.routers = routers;
            options.load = 4;
            BrittleFleet fleet(options);
            fleet.run(BrittleFleet::QueueTime + base::seconds{1});
            fleet.restartServers();
            fleet.run(base::seconds{2});
            CPPUNIT_ASSERT_MESSAGE(nameOf(options, fleet), fleet.worstSecond <= options.rejections);
        }
    }

    void testRouterThatStartsAmongOthers()
    {
        BrittleFleetOptions options;
        options.load = 4;
        BrittleFleet fleet(options);
        fleet.run(BrittleFleet::QueueTime + base::seconds{1});
        fleet.addRouter();
        fleet.run(base::seconds{2});
        CPPUNIT_ASSERT_MESSAGE(nameOf(options, fleet), fleet.worstSecond <= options.rejections);
    }

    // A router that sends nothing hears of the end from the others.
    void testEndIsLearnt()
    {
        BrittleFleetOptions options;
        options.load = 0.5;
        options.activeRouters = 2;
        BrittleFleet fleet(options);
        fleet.run(BrittleFleet::QueueTime);
        CPPUNIT_ASSERT_EQUAL(options.servers, fleet.router(3).brittle().size());
        fleet.endBrittle();
        fleet.run(base::seconds{1});
        for (std::size_t i = 0; i < options.routers; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.router(i).brittle().size());
        }
        CPPUNIT_ASSERT(!fleet.router(3).takeBrittleEvents().empty());
    }

    // A view may come again, or late; what an answer has said since holds.
    void testWordOfAStatusCall()
    {
        FleetView view;
        Upstream upstream;
        upstream.id = base::UpstreamId("u");
        upstream.brittle = BrittleWord{4, Start};
        view.upstreams.push_back(upstream);
        UpstreamTracker tracker;
        tracker.adopt(view, Start);
        UpstreamRecord &record = *tracker.find(upstream.id);
        CPPUNIT_ASSERT_EQUAL(4U, tracker.brittle().rejections(record.key()).value());
        tracker.onBrittle(record, std::nullopt, Start + base::seconds{1}, Start + base::seconds{2});
        tracker.adopt(view, Start + base::seconds{3});
        CPPUNIT_ASSERT(!tracker.brittle().rejections(record.key()));
        view.upstreams[0].brittle = BrittleWord{2, Start + base::seconds{4}};
        tracker.adopt(view, Start + base::seconds{5});
        CPPUNIT_ASSERT_EQUAL(2U, tracker.brittle().rejections(record.key()).value());
        view.upstreams[0].startTimeMs = 9;
        view.upstreams[0].brittle.reset();
        (void)tracker.takeBrittleEvents();
        tracker.adopt(view, Start + base::seconds{6});
        const auto events = tracker.takeBrittleEvents();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
        CPPUNIT_ASSERT(events[0].isGone);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tracker.brittle().size());
    }

    // After a rejection fewer requests have certain room, and one more after each interval.
    void testRejectionsLowerWhatIsUnderWay()
    {
        BrittleUpstreams brittle;
        (void)brittle.observe(Engine, 1, Start, Start);
        CPPUNIT_ASSERT(brittle.room(Engine, 1, slots(10, 4, 0), {}, true, Start) == Room::Certain);
        brittle.onRejected(Engine, Room::Certain, 4, Start);
        CPPUNIT_ASSERT(brittle.room(Engine, 1, slots(10, 3, 0), {}, true, Start) == Room::Certain);
        CPPUNIT_ASSERT(brittle.room(Engine, 1, slots(10, 4, 0), {}, true, Start + base::seconds{1}) == Room::None);
        CPPUNIT_ASSERT(brittle.room(Engine, 1, slots(10, 4, 0), {}, true, Start + BrittleUpstreams::Window) == Room::Certain);
        CPPUNIT_ASSERT(brittle.room(Engine, 1, slots(10, 5, 0), {}, true, Start + BrittleUpstreams::Window) == Room::None);
    }

    // All routers together risk at most half of the rejections in any second, whatever their number.
    void testRisksAreShared()
    {
        for (const std::size_t routers : {1U, 4U, 77U, 300U, 3400U}) {
            std::vector<base::Endpoint> endpoints;
            for (std::size_t i = 0; i < routers; ++i) {
                endpoints.push_back({"10.0." + std::to_string(i / 250) + '.' + std::to_string(i % 250), 7000});
            }
            std::map<std::uint32_t, std::size_t> risks = {{0, 0}, {1, 0}, {2, 0}, {9, 0}, {400, 0}, {4'000'000'000, 0}}; // by rejections
            std::map<std::uint32_t, std::size_t> certain;
            for (std::size_t i = 0; i < routers; ++i) {
                BrittleUpstreams brittle;
                brittle.setRouters(endpoints, endpoints[i], static_cast<std::uint32_t>(routers));
                for (auto &[rejections, risked] : risks) {
                    const UpstreamKey upstream{rejections, 5};
                    (void)brittle.observe(upstream, rejections, Start, Start);
                    const std::uint32_t takes = brittle.rejections(upstream).value();
                    CPPUNIT_ASSERT_EQUAL(std::min(rejections, 1000U), takes);
                    for (; brittle.room(upstream, takes, slots(10, 10, 0), {}, false, Start) == Room::Risk; ++risked) {
                        brittle.onRequest(upstream, Room::Risk, 0, Start);
                    }
                    for (double own = 0; brittle.room(upstream, takes, slots(10, own, 0), {}, false, Start) == Room::Certain; ++own) {
                        ++certain[rejections];
                    }
                    CPPUNIT_ASSERT(brittle.room(upstream, takes, slots(10, 10, 0), {}, false, Start + base::seconds{1}) == Room::None);
                }
            }
            for (const auto &[rejections, risked] : risks) {
                const std::string name = std::to_string(routers) + ", " + std::to_string(rejections);
                CPPUNIT_ASSERT_MESSAGE(name, risked <= std::min(rejections, 1000U) / 2);
                CPPUNIT_ASSERT_MESSAGE(name, rejections < 2 || risked > 0);
                CPPUNIT_ASSERT_MESSAGE(name + ": " + std::to_string(certain[rejections]), certain[rejections] <= 10 && certain[rejections] >= 8);
            }
        }
    }

    void testForgottenUpstreamsEnd()
    {
        BrittleUpstreams brittle;
        (void)brittle.observe(Engine, 0, Start, Start);
        CPPUNIT_ASSERT_EQUAL(0U, brittle.rejections(Engine).value());
        brittle.removeOutdated(Start + BrittleUpstreams::MaxAge);
        CPPUNIT_ASSERT(!brittle.rejections(Engine));
        (void)brittle.observe(Engine, 3, Start, Start);
        brittle.onListed({Engine.idHash, Engine.startTimeMs + 1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, brittle.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BrittleUpstreamsTest);

} // namespace carawaylatch::proxy::testing
