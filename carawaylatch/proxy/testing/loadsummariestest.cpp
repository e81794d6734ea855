// Tests of load summaries in virtual time: a fleet of state machines whose reports and summaries arrive after random
// delays. What others() says is compared with the sum of the loads that the test set.
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/loadsummaries.h"
#include "carawaylatch/proxy/peerexchange.h"
#include "carawaylatch/proxy/peerload.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

namespace
{

using base::milliseconds;

const base::TimePoint Start{base::hours{1}};
constexpr base::Duration Tick = milliseconds{50};
// A report, an arc summary and a fleet summary, each up to a tick late and 3 ms under way.
constexpr base::Duration TwoIntervals = 3 * Tick + milliseconds{10};
constexpr std::uint64_t Upstreams = 6;
constexpr std::uint64_t IdleUpstream = Upstreams; // has no load at first

base::Endpoint endpointOf(std::size_t router)
{
    return {"10.0." + std::to_string(100 + router / 100) + "." + std::to_string(100 + router % 100), 7000};
}

std::uint64_t keyOf(std::size_t router)
{
    return base::hash64("router-" + std::to_string(router));
}

struct RouterList
{
    explicit RouterList(std::size_t routers)
    {
        for (std::size_t i = 0; i < routers; ++i) {
            endpoints.push_back(endpointOf(i));
            keys.push_back(keyOf(i));
        }
    }

    void give(LoadSummaries &machine, std::size_t self, base::TimePoint now) const
    {
        machine.setRouters(endpoints, keys, endpointOf(self), now);
    }

    std::vector<base::Endpoint> endpoints;
    std::vector<std::uint64_t> keys;
};

class SummaryFleet
{
public:
    struct Router
    {
        explicit Router(std::size_t index)
            : machine(keyOf(index), 1)
        {
        }

        LoadSummaries machine;
        std::map<std::uint64_t, std::uint32_t> loads;
        std::set<std::uint64_t> changed;
        std::vector<base::Endpoint> peers;
        std::set<std::size_t> reported; // peers that have got a full report
        base::TimePoint reportedAt;
        bool isAlive = true;
        std::size_t sent = 0; // summaries
        std::size_t placements = 0; // of the summaries received
    };

    explicit SummaryFleet(std::size_t routers)
        : m_random(carawaylatch::testing::seed())
    {
        for (std::size_t i = 0; i < routers; ++i) {
            add(routers);
        }
        for (std::size_t i = 0; i < routers; ++i) {
            for (std::uint64_t upstream = 0; upstream < Upstreams; ++upstream) {
                setLoad(i, upstream, static_cast<std::uint32_t>(m_random.below(4)));
            }
        }
    }

    void add(std::size_t listed)
    {
        const std::size_t index = m_routers.size();
        m_routers.emplace_back(index);
        setList(index, listed);
        at(m_now + milliseconds{m_random.below(50)}, [this, index] {
            tick(index);
        });
    }

    void setList(std::size_t router, std::size_t listed)
    {
        const RouterList list(listed);
        for (std::size_t i = 0; i < listed; ++i) {
            m_indexes[endpointOf(i)] = i;
        }
        Router &it = m_routers.at(router);
        list.give(it.machine, router, m_now);
        it.peers = reportPeers(list.endpoints, endpointOf(router));
    }

    void setLoad(std::size_t router, std::uint64_t upstream, std::uint32_t requests)
    {
        m_routers.at(router).loads[upstream] = requests;
        m_routers.at(router).changed.insert(upstream);
    }

    void run(base::Duration duration)
    {
        const base::TimePoint end = m_now + duration;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }

    // Load of the routers in `from` except one, scaled as if `covered` of all routers were known.
    [[nodiscard]] std::uint32_t expected(std::size_t except, std::uint64_t upstream, std::size_t covered, const std::function<bool(std::size_t)> &from) const
    {
        double sum = 0;
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            const auto it = m_routers[i].loads.find(upstream);
            sum += i != except && from(i) && it != m_routers[i].loads.end() ? it->second : 0;
        }
        return static_cast<std::uint32_t>(std::round(sum * static_cast<double>(m_routers.size() - 1) / static_cast<double>(covered - 1)));
    }

    // Checks that the live routers in `from` know the load of all of `from`, and that it covers so many.
    void check(const std::string &when, std::size_t covered, const std::function<bool(std::size_t)> &from) const
    {
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            const Router &router = m_routers[i];
            if (!router.isAlive || !from(i)) {
                continue;
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(when + ": router " + std::to_string(i), covered, std::size_t{router.machine.coveredRouters(m_now)});
            for (std::uint64_t upstream = 0; upstream <= IdleUpstream; ++upstream) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(when + ": router " + std::to_string(i), expected(i, upstream, covered, from),
                                             router.machine.others(upstream, m_now).value().requests);
            }
        }
    }

    void checkAll(const std::string &when) const
    {
        check(when, m_routers.size(), [](std::size_t) {
            return true;
        });
    }

    // Router of that rank in an arc, for lists in the order of the endpoints.
    [[nodiscard]] std::size_t ranked(std::size_t arc, std::size_t rank) const
    {
        return indexOfRank(arcAt(m_routers.size(), arc), rank);
    }

    Router &router(std::size_t index)
    {
        return m_routers.at(index);
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_routers.size();
    }

    base::Random &random()
    {
        return m_random;
    }

    [[nodiscard]] base::TimePoint now() const
    {
        return m_now;
    }

    std::function<bool(std::size_t, std::size_t)> isCut = [](std::size_t, std::size_t) {
        return false;
    };
    std::uint64_t lostPercent = 0; // of the summaries

private:
    void at(base::TimePoint time, std::function<void()> event)
    {
        m_events.emplace(time, std::move(event));
    }

    // Messages on one path may overtake each other by less than a tick.
    template <typename Deliver>
    bool send(std::size_t from, std::size_t to, Deliver deliver)
    {
        if (isCut(from, to) || to >= m_routers.size() || !m_routers[to].isAlive) {
            return false;
        }
        at(m_now + base::microseconds{200 + m_random.below(2800)}, [this, to, deliver = std::move(deliver)] {
            if (m_routers[to].isAlive) {
                deliver(m_routers[to]);
            }
        });
        return true;
    }

    void tick(std::size_t index)
    {
        Router &router = m_routers[index];
        if (!router.isAlive) {
            return;
        }
        at(m_now + Tick, [this, index] {
            tick(index);
        });
        sendReports(index);
        for (const auto &[receivers, summary] : router.machine.due(m_now)) {
            const auto received = decodeLoadSummary(encodeLoadSummary(summary));
            CPPUNIT_ASSERT(received.has_value());
            const LoadSummary &decoded = received.value();
            for (const base::Endpoint &receiver : receivers) {
                ++router.sent;
                if (m_random.below(100) < lostPercent) {
                    continue;
                }
                send(index, m_indexes.at(receiver), [this, decoded](Router &to) {
                    to.placements += decoded.placements.size();
                    to.machine.onSummary(decoded, m_now);
                });
            }
        }
    }

    void sendReports(std::size_t index)
    {
        Router &router = m_routers[index];
        const LoadReport changes = report(index, router.changed, false);
        std::set<std::uint64_t> all;
        for (const auto &[upstream, requests] : router.loads) {
            all.insert(upstream);
        }
        const LoadReport full = report(index, all, true);
        router.machine.onOwnLoad(changes, m_now);
        const bool isDue = !changes.loads.empty() || m_now - router.reportedAt >= milliseconds{400};
        router.changed.clear();
        if (isDue) {
            router.reportedAt = m_now;
        }
        for (const base::Endpoint &peer : router.peers) {
            const std::size_t to = m_indexes.at(peer);
            const bool needsFull = !router.reported.contains(to);
            if (!needsFull && !isDue) {
                continue;
            }
            const bool isSent = send(index, to, [this, report = needsFull ? full : changes](Router &receiver) {
                receiver.machine.onReport(report, m_now);
            });
            isSent ? (void)router.reported.insert(to) : (void)router.reported.erase(to);
        }
    }

    [[nodiscard]] LoadReport report(std::size_t index, const std::set<std::uint64_t> &upstreams, bool isFull) const
    {
        LoadReport report{keyOf(index), 1, isFull, {}, {}};
        for (const std::uint64_t upstream : upstreams) {
            const std::uint32_t requests = m_routers[index].loads.at(upstream);
            report.loads.push_back({upstream, requests, requests * 10, requests * 100});
        }
        return report;
    }

    base::Random m_random;
    base::TimePoint m_now = Start;
    std::multimap<base::TimePoint, std::function<void()>> m_events;
    std::vector<Router> m_routers;
    std::map<base::Endpoint, std::size_t> m_indexes;
};

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
