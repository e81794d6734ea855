// Tests of load summaries in virtual time: a fleet of state machines whose reports and summaries arrive after random
// delays. What others() says is compared with the sum of the loads that the test set.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "carawaylatch/proxy/loadsummaries.h"
#include "carawaylatch/proxy/peerload.h"
#include "carawaylatch/proxy/testing/summaryfleet.h"

namespace carawaylatch::proxy::testing
{

namespace
{

using base::milliseconds;

bool isAnyone(std::size_t)
{
    return true;
}

} // namespace

class LoadSummariesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadSummariesTest);
    CPPUNIT_TEST(testManyRoutersAndOneIdleEngine);
    CPPUNIT_TEST(testSummarizerKilled);
    CPPUNIT_TEST(testFirstTwoRanksKilled);
    CPPUNIT_TEST(testArcsPartitioned);
    CPPUNIT_TEST(testSummariesLost);
    CPPUNIT_TEST(testRoutersWithDifferentLists);
    CPPUNIT_TEST(testListChangesWhileSummarizing);
    CPPUNIT_TEST(testRouterStops);
    CPPUNIT_TEST(testSmallFleetsExchangeNoSummaries);
    CPPUNIT_TEST(testSummariesOfAnotherDivisionAreIgnored);
    CPPUNIT_TEST(testBetterRankedSummaryIsUsed);
    CPPUNIT_TEST(testOwnLoadIsSubtractedAsReported);
    CPPUNIT_TEST(testPlacementsAreForwardedOnce);
    CPPUNIT_TEST(testMoreUpstreamsThanRowsInASummary);
    CPPUNIT_TEST(testSummarizerThatStartsAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // 90 routers, one engine idle: without summaries each hears 32 others and does not see that the engine is idle.
    void testManyRoutersAndOneIdleEngine()
    {
        SummaryFleet fleet(90);
        fleet.run(milliseconds{400});
        fleet.checkAll("at first");
        for (int i = 0; i < 20; ++i) {
            fleet.setLoad(fleet.random().below(90), fleet.random().below(Upstreams + 1), static_cast<std::uint32_t>(fleet.random().below(9)));
            fleet.run(TwoIntervals);
            fleet.checkAll("after a change");
        }
        const std::size_t summarizer = fleet.ranked(1, 0);
        const std::size_t before = fleet.router(summarizer).sent;
        fleet.run(base::seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{20} * (29 + 2 * 2), fleet.router(summarizer).sent - before);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.router(fleet.ranked(1, 1)).sent);
    }

    // The next rank acts within 700 ms, and the sums stay right, in its arc and in others.
    void testSummarizerKilled()
    {
        SummaryFleet fleet(90);
        for (std::uint64_t upstream = 0; upstream < Upstreams; ++upstream) {
            fleet.setLoad(fleet.ranked(1, 0), upstream, 0);
        }
        fleet.run(base::seconds{1});
        fleet.checkAll("at first");
        fleet.router(fleet.ranked(1, 0)).isAlive = false;
        fleet.run(milliseconds{300});
        fleet.checkAll("the last sums are used");
        fleet.run(milliseconds{400});
        CPPUNIT_ASSERT(fleet.router(fleet.ranked(1, 1)).machine.summarizedArc() == std::uint16_t{1});
        CPPUNIT_ASSERT(!fleet.router(fleet.ranked(1, 2)).machine.summarizedArc());
        fleet.run(PeerLoad::PeerTimeout); // the killed router is no longer covered
        fleet.setLoad(3, IdleUpstream, 500);
        fleet.setLoad(40, IdleUpstream, 600);
        fleet.run(TwoIntervals);
        // The first router of the arc is beyond the 16 neighbours of the next rank.
        const std::size_t unheard = arcAt(90, 1).size - 1 - fleet.ranked(1, 1) + arcAt(90, 1).begin > 16 ? 1 : 0;
        fleet.check("after the takeover", 89 - unheard, isAnyone);
    }

    // With only the first two ranks as receivers, the third one would get no sums of other arcs.
    void testFirstTwoRanksKilled()
    {
        SummaryFleet fleet(90);
        for (std::size_t rank = 0; rank < 2; ++rank) {
            for (std::uint64_t upstream = 0; upstream < Upstreams; ++upstream) {
                fleet.setLoad(fleet.ranked(1, rank), upstream, 0);
            }
        }
        fleet.run(base::seconds{1});
        fleet.router(fleet.ranked(1, 0)).isAlive = false;
        fleet.router(fleet.ranked(1, 1)).isAlive = false;
        fleet.run(base::seconds{2});
        CPPUNIT_ASSERT(fleet.router(fleet.ranked(1, 2)).machine.summarizedArc().has_value());
        fleet.check("the third rank sums up", 88, isAnyone);
    }

    // Each side has sums of its own arcs; the one with less than half of the routers has no usable ones.
    void testArcsPartitioned()
    {
        SummaryFleet fleet(90);
        fleet.run(base::seconds{1});
        const auto isLargerSide = [](std::size_t router) {
            return router < 60;
        };
        fleet.isCut = [isLargerSide](std::size_t a, std::size_t b) {
            return isLargerSide(a) != isLargerSide(b);
        };
        fleet.run(PeerLoad::PeerTimeout + base::seconds{1});
        fleet.check("larger side", 60, isLargerSide);
        for (std::size_t i = 60; i < 90; ++i) {
            CPPUNIT_ASSERT(!fleet.router(i).machine.others(0, fleet.now()));
            CPPUNIT_ASSERT_EQUAL(0U, fleet.router(i).machine.coveredRouters(fleet.now()));
        }
        fleet.isCut = [](std::size_t, std::size_t) {
            return false;
        };
        fleet.run(base::seconds{2});
        fleet.checkAll("healed");
    }

    // A full summary makes up for lost changes; without it a row would stay wrong until it changes again.
    void testSummariesLost()
    {
        SummaryFleet fleet(90);
        fleet.run(base::seconds{1});
        fleet.lostPercent = 20;
        for (int i = 0; i < 40; ++i) {
            fleet.setLoad(fleet.random().below(90), fleet.random().below(Upstreams + 1), static_cast<std::uint32_t>(fleet.random().below(9)));
            fleet.run(milliseconds{40});
            for (std::size_t router = 0; router < 90; ++router) {
                CPPUNIT_ASSERT(fleet.router(router).machine.others(0, fleet.now()).has_value());
            }
        }
        fleet.lostPercent = 0;
        // An arc's full summary, then the fleet's summary of its changes.
        fleet.run(LoadSummaries::FullInterval + TwoIntervals);
        fleet.checkAll("after the next full summaries");
    }

    // Ten routers are added, and the routers learn of it one after another; the number of arcs changes from 3 to 4.
    void testRoutersWithDifferentLists()
    {
        SummaryFleet fleet(90);
        fleet.run(base::seconds{1});
        for (int i = 0; i < 10; ++i) {
            fleet.add(100);
        }
        for (std::size_t i = 0; i < 90; ++i) {
            fleet.setList(i, 100);
            fleet.run(milliseconds{5});
        }
        fleet.run(base::seconds{1});
        fleet.checkAll("with the same list");
        fleet.setList(99, 90);
        CPPUNIT_ASSERT_MESSAGE("not listed itself", !fleet.router(99).machine.isActive());
    }

    // A list that changes often, while the first rank is dead, must not interrupt the summaries of the second one. Sums
    // of arcs of another division count some routers twice.
    void testListChangesWhileSummarizing()
    {
        const std::size_t second = indexOfRank(arcAt(90, 1), 1);
        LoadSummaries machine(keyOf(second), 1);
        RouterList(90).give(machine, second, Start);
        CPPUNIT_ASSERT(machine.due(Start + milliseconds{599}).empty());
        CPPUNIT_ASSERT(!machine.due(Start + milliseconds{600}).empty());
        RouterList(91).give(machine, second, Start + milliseconds{610});
        CPPUNIT_ASSERT(machine.summarizedArc().has_value());

        const std::size_t self = 48; // in arc 1, of rank 1 of 3300 routers, then of rank 0 of 3301
        LoadSummaries large(keyOf(self), 1);
        RouterList(3300).give(large, self, Start);
        large.onSummary({keyOf(16), 1, true, false, 0, 100, 33, {{5, 7, 0, 0}}, {}}, Start);
        RouterList(3301).give(large, self, Start);
        const auto messages = large.due(Start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, messages.size());
        CPPUNIT_ASSERT(messages[1].second.isFleet);
        CPPUNIT_ASSERT_EQUAL(1U, messages[1].second.coveredRouters);
    }

    // The load of a stopped router leaves the sums when its reports time out.
    void testRouterStops()
    {
        SummaryFleet fleet(90);
        const std::size_t stopped = arcAt(90, 2).begin + 3;
        fleet.setLoad(stopped, 0, 1000);
        fleet.run(base::seconds{1});
        fleet.router(stopped).isAlive = false;
        fleet.run(milliseconds{700});
        fleet.checkAll("before its reports time out");
        fleet.run(PeerLoad::PeerTimeout - milliseconds{700} + TwoIntervals);
        fleet.check("after that", 89, [stopped](std::size_t i) {
            return i != stopped;
        });
    }

    // Up to 65 routers, each hears at least half of the others; summaries would only cost.
    void testSmallFleetsExchangeNoSummaries()
    {
        for (const std::size_t routers : {1, 65, 66}) {
            SummaryFleet fleet(routers);
            fleet.run(milliseconds{700});
            std::size_t sent = 0;
            for (std::size_t i = 0; i < routers; ++i) {
                sent += fleet.router(i).sent + fleet.router(i).machine.receivers().size();
                CPPUNIT_ASSERT_EQUAL(routers > 65, fleet.router(i).machine.isActive());
                CPPUNIT_ASSERT_EQUAL(routers > 65, fleet.router(i).machine.others(0, fleet.now()).has_value());
            }
            CPPUNIT_ASSERT_EQUAL(routers > 65, sent > 0);
        }
    }

    // A sum for other arcs, or from a router that does not sum up, would count routers twice or not at all.
    void testSummariesOfAnotherDivisionAreIgnored()
    {
        SummaryFleet fleet(90); // not run: nothing is heard but what is sent here
        LoadSummaries &machine = fleet.router(0).machine;
        const std::size_t summarizer = fleet.ranked(0, 0);
        const LoadSummary good{keyOf(summarizer), 1, true, true, 0, 3, 90, {{5, 77, 0, 0}}, {}};
        const auto isUsed = [&machine, &fleet](LoadSummary summary, const std::function<void(LoadSummary &)> &change) {
            change(summary);
            machine.onSummary(summary, fleet.now());
            return machine.others(5, fleet.now()).has_value();
        };
        const std::vector<std::pair<std::string, std::function<void(LoadSummary &)>>> bad = {
            {"other number of arcs",
             [](LoadSummary &it) {
                 it.arcs = 4;
             }},
            {"other arc",
             [](LoadSummary &it) {
                 it.arc = 1;
             }},
            {"summarizer of another arc",
             [&fleet](LoadSummary &it) {
                 it.arc = 1, it.sender = keyOf(fleet.ranked(1, 0));
             }},
            {"arc summary",
             [](LoadSummary &it) {
                 it.isFleet = false;
             }},
            {"not listed",
             [](LoadSummary &it) {
                 it.sender = keyOf(500);
             }},
            {"never a summarizer",
             [&fleet](LoadSummary &it) {
                 it.sender = keyOf(fleet.ranked(0, MaxSummarizers));
             }},
            {"changes only",
             [](LoadSummary &it) {
                 it.isFull = false;
             }},
            {"less than half",
             [](LoadSummary &it) {
                 it.coveredRouters = 44;
             }},
        };
        for (std::size_t rank = MaxSummarizers; rank < 30; ++rank) { // these must not fill the table
            machine.onSummary({keyOf(fleet.ranked(0, rank)), 1, true, true, 0, 3, 90, {}, {}}, fleet.now());
        }
        for (const auto &[name, change] : bad) {
            CPPUNIT_ASSERT_MESSAGE(name, !isUsed(good, change));
        }
        CPPUNIT_ASSERT(isUsed(good, [](LoadSummary &) {}));
        CPPUNIT_ASSERT_EQUAL(77U, machine.others(5, fleet.now())->requests);
        CPPUNIT_ASSERT(machine.others(5, fleet.now() + summaryTimeout(90)).has_value());
        CPPUNIT_ASSERT(!machine.others(5, fleet.now() + summaryTimeout(90) + milliseconds{1}));
    }

    // Two summarizers for a moment: a router that took the latest summary would alternate between two sums.
    void testBetterRankedSummaryIsUsed()
    {
        SummaryFleet fleet(90);
        LoadSummaries &machine = fleet.router(0).machine;
        machine.onSummary({keyOf(fleet.ranked(0, 1)), 1, true, true, 0, 3, 90, {{5, 10, 0, 0}}, {}}, fleet.now());
        CPPUNIT_ASSERT_EQUAL(10U, machine.others(5, fleet.now())->requests);
        machine.onSummary({keyOf(fleet.ranked(0, 0)), 1, true, true, 0, 3, 90, {{5, 20, 0, 0}}, {}}, fleet.now());
        machine.onSummary({keyOf(fleet.ranked(0, 1)), 1, false, true, 0, 3, 90, {{5, 30, 0, 0}}, {}}, fleet.now());
        CPPUNIT_ASSERT_EQUAL(20U, machine.others(5, fleet.now())->requests);
    }

    // A summary does not have the latest requests of its receiver; with these subtracted, an upstream would seem idle.
    void testOwnLoadIsSubtractedAsReported()
    {
        SummaryFleet fleet(90);
        LoadSummaries &machine = fleet.router(0).machine;
        const base::TimePoint now = fleet.now();
        const auto others = [&machine, &fleet](base::TimePoint at) {
            (void)machine.due(at);
            machine.onSummary({keyOf(fleet.ranked(0, 0)), 1, true, true, 0, 3, 90, {{5, 10, 0, 0}}, {}}, at);
            return machine.others(5, at).value().requests;
        };
        machine.onOwnLoad({0, 0, false, {{5, 8, 0, 0}}, {}}, now);
        CPPUNIT_ASSERT_EQUAL(10U, others(now + milliseconds{99}));
        CPPUNIT_ASSERT_EQUAL(2U, others(now + milliseconds{100}));
        machine.onOwnLoad({0, 0, false, {{5, 12, 0, 0}}, {}}, now + milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(0U, others(now + milliseconds{200}));
        machine.onOwnLoad({0, 0, true, {}, {}}, now + milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(10U, others(now + milliseconds{300}));
    }

    // Placements go to the other summarizers and from there to their arcs, each once.
    void testPlacementsAreForwardedOnce()
    {
        SummaryFleet fleet(90);
        fleet.run(base::seconds{1});
        const std::size_t summarizer = fleet.ranked(1, 0);
        LoadReport report{keyOf(summarizer + 1), 1, false, {}, {{123, 4}}};
        fleet.router(summarizer).machine.onReport(report, fleet.now());
        report.sender = keyOf(0); // of another arc
        fleet.router(summarizer).machine.onReport(report, fleet.now());
        fleet.run(base::seconds{1});
        for (std::size_t i = 0; i < 90; ++i) {
            const bool isSummarizer = i == fleet.ranked(0, 0) || i == fleet.ranked(2, 0);
            const bool isOfArc = i >= 30 && i < 60;
            // The second rank gets the arc summary and its own summarizer's.
            const bool isSecond = i == fleet.ranked(0, 1) || i == fleet.ranked(2, 1);
            const std::size_t ofOthers = isSecond && !isSummarizer ? 2 : 1;
            CPPUNIT_ASSERT_EQUAL(isOfArc ? std::size_t{i == summarizer ? 0U : 1U} : ofOthers, fleet.router(i).placements);
        }
    }

    // Rows that have no room in a summary follow in the next ones, also after a full one.
    void testMoreUpstreamsThanRowsInASummary()
    {
        SummaryFleet fleet(90);
        fleet.run(base::seconds{1});
        const std::size_t sender = fleet.ranked(1, 0) + 1;
        for (std::uint64_t upstream = 100; upstream < 100 + MaxReportRows + 200; ++upstream) {
            fleet.setLoad(sender, upstream, 3);
        }
        fleet.run(2 * TwoIntervals);
        const auto check = [&fleet] {
            for (int i = 0; i < 30; ++i) { // more than FullInterval
                fleet.run(milliseconds{50});
                for (std::uint64_t upstream = 100; upstream < 100 + MaxReportRows + 200; upstream += 100) {
                    const auto load = fleet.router(0).machine.others(upstream, fleet.now());
                    CPPUNIT_ASSERT_MESSAGE(std::to_string(upstream), load && load->requests >= 3);
                }
            }
        };
        check();
        // The next one takes over after 600 ms, and all its summaries are full for some time.
        fleet.router(fleet.ranked(0, 0)).isAlive = false;
        fleet.run(milliseconds{800});
        check();
    }

    // The first rank starts again and knows nothing at first; the second goes on until the first knows enough.
    void testSummarizerThatStartsAgain()
    {
        SummaryFleet fleet(90);
        fleet.run(base::seconds{1});
        const std::size_t first = fleet.ranked(1, 0);
        fleet.router(first).isAlive = false;
        fleet.run(base::seconds{2});
        LoadSummary partial{keyOf(first), 77, true, true, 1, 3, 1, {}, {}};
        const std::size_t member = fleet.ranked(1, 9);
        const std::size_t second = fleet.ranked(1, 1);
        CPPUNIT_ASSERT(fleet.router(member).machine.coveredRouters(fleet.now()) >= 80);
        for (const std::size_t router : {member, second}) {
            fleet.router(router).machine.onSummary(partial, fleet.now());
        }
        CPPUNIT_ASSERT(fleet.router(second).machine.summarizedArc() == std::uint16_t{1});
        CPPUNIT_ASSERT(fleet.router(member).machine.coveredRouters(fleet.now()) >= 80);
        partial.coveredRouters = 90;
        for (const std::size_t router : {member, second}) {
            fleet.router(router).machine.onSummary(partial, fleet.now());
        }
        CPPUNIT_ASSERT(!fleet.router(second).machine.summarizedArc());
        CPPUNIT_ASSERT_EQUAL(90U, fleet.router(member).machine.coveredRouters(fleet.now()));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LoadSummariesTest);

} // namespace carawaylatch::proxy::testing
