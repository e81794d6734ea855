// Tests of the traffic plane's decision logic: retry rules, events, routes, placement, queue.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "carawaylatch/proxy/attemptrules.h"
#include "carawaylatch/proxy/eventscanner.h"
#include "carawaylatch/proxy/fleet.h"
#include "carawaylatch/proxy/kvtransfer.h"
#include "carawaylatch/proxy/placement.h"
#include "carawaylatch/proxy/prefixplacements.h"
#include "carawaylatch/proxy/upstreamtracker.h"
#include "carawaylatch/proxy/waitqueue.h"

namespace carawaylatch::proxy::testing
{

namespace
{

const base::TimePoint Start{base::hours{1}};

Route routeOf(CallKind kind, bool isResumable, std::uint32_t attempts)
{
    Route route;
    route.kind = kind;
    route.isResumable = isResumable;
    route.maxAttempts = attempts;
    return route;
}

} // namespace

// Checks every call kind and attempt end against every history of up to three sent attempts.
class AttemptRulesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptRulesTest);
    CPPUNIT_TEST(testInvariantsOverAllHistories);
    CPPUNIT_TEST(testNamedCases);
    CPPUNIT_TEST_SUITE_END();

public:
    void testInvariantsOverAllHistories()
    {
        const std::vector<Route> routes{routeOf(CallKind::AtMostOnce, false, 3), routeOf(CallKind::Stream, false, 3), routeOf(CallKind::Stream, true, 2),
                                        routeOf(CallKind::Idempotent, false, 2)};
        int cases = 0;
        for (const Route &route : routes) {
            for (std::size_t i = 0; i < AttemptEndCount; ++i) {
                const auto end = static_cast<AttemptEnd>(i);
                for (std::uint32_t bits = 0; bits < 4 * 4 * 16; ++bits) {
                    AttemptHistory history;
                    history.sent = bits % 4;
                    history.notExecuted = (bits / 4) % 4;
                    history.hasResponseStarted = (bits & 16U) != 0;
                    history.hasTimeLeft = (bits & 32U) != 0;
                    history.hasBudget = (bits & 64U) != 0;
                    history.canResume = (bits & 128U) != 0;
                    const bool isPossible = history.notExecuted <= history.sent && (end != AttemptEnd::NotExecuted || history.notExecuted > 0)
                                            && (end == AttemptEnd::NotSent || history.sent > 0)
                                            && !(history.hasResponseStarted && history.sent == history.notExecuted)
                                            && (!history.canResume || (history.hasResponseStarted && route.isResumable));
                    if (isPossible) {
                        checkInvariants(route, end, history);
                        ++cases;
                    }
                }
            }
        }
        CPPUNIT_ASSERT(cases > 500);
    }

    void checkInvariants(const Route &route, AttemptEnd end, const AttemptHistory &history)
    {
        const NextStep step = nextStep(route, end, history);
        const bool mayHaveRun = history.sent > history.notExecuted;
        if (step == NextStep::Retry) {
            CPPUNIT_ASSERT_MESSAGE("a non-repeatable call is never sent again after it may have run", route.isRepeatable() || !mayHaveRun);
            CPPUNIT_ASSERT(history.hasTimeLeft);
            CPPUNIT_ASSERT(end == AttemptEnd::NotSent || history.hasBudget);
            CPPUNIT_ASSERT(end == AttemptEnd::NotSent || history.sent - history.notExecuted < route.maxAttempts);
        }
        if (step == NextStep::RefuseNotExecuted) {
            CPPUNIT_ASSERT_MESSAGE("'not executed' is reported only if no attempt can have run", !mayHaveRun);
        }
        if (history.hasResponseStarted) {
            CPPUNIT_ASSERT_MESSAGE("a response that has started is never replaced by another one",
                                   step == NextStep::Forward || step == NextStep::Abort || step == NextStep::Retry);
            CPPUNIT_ASSERT(step != NextStep::Forward || end == AttemptEnd::Answered);
            CPPUNIT_ASSERT_MESSAGE("only whole events are continued", step != NextStep::Retry || history.canResume);
        }
    }

    void testNamedCases()
    {
        const Route once = routeOf(CallKind::AtMostOnce, false, 1);
        CPPUNIT_ASSERT(nextStep(once, AttemptEnd::Broken, {.sent = 1}) == NextStep::FailOutcomeUnknown);
        CPPUNIT_ASSERT(nextStep(once, AttemptEnd::NotExecuted, {.sent = 1, .notExecuted = 1}) == NextStep::Retry);
        CPPUNIT_ASSERT(nextStep(once, AttemptEnd::NotSent, {.connectFailures = 1}) == NextStep::Retry);
        CPPUNIT_ASSERT(nextStep(once, AttemptEnd::NotSent, {.connectFailures = MaxConnectFailures}) == NextStep::RefuseNotExecuted);
        const Route safe = routeOf(CallKind::Idempotent, false, 2);
        CPPUNIT_ASSERT(nextStep(safe, AttemptEnd::ServerError, {.sent = 1}) == NextStep::Retry);
        CPPUNIT_ASSERT(nextStep(safe, AttemptEnd::ServerError, {.sent = 2}) == NextStep::Forward);
        const Route resumable = routeOf(CallKind::Stream, true, 2);
        CPPUNIT_ASSERT(nextStep(resumable, AttemptEnd::Broken, {.sent = 1, .hasResponseStarted = true, .canResume = true}) == NextStep::Retry);
        CPPUNIT_ASSERT(nextStep(resumable, AttemptEnd::Broken, {.sent = 2, .hasResponseStarted = true, .canResume = true}) == NextStep::Abort);
        CPPUNIT_ASSERT(nextStep(resumable, AttemptEnd::Broken, {.sent = 1, .hasResponseStarted = true}) == NextStep::Abort);
        const Route stream = routeOf(CallKind::Stream, false, 2);
        CPPUNIT_ASSERT(nextStep(stream, AttemptEnd::Broken, {.sent = 1, .hasResponseStarted = true}) == NextStep::Abort);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AttemptRulesTest);

class EventScannerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventScannerTest);
    CPPUNIT_TEST(testSplitAtEveryByte);
    CPPUNIT_TEST(testResumeAfterBreakAtEveryByte);
    CPPUNIT_TEST(testGapIsDetected);
    CPPUNIT_TEST_SUITE_END();

    static std::string events(int from, int to)
    {
        std::string text;
        for (int i = from; i <= to; ++i) {
            text += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
        }
        return text;
    }

public:
    void testSplitAtEveryByte()
    {
        const std::string text = events(1, 4);
        for (std::size_t cut = 0; cut <= text.size(); ++cut) {
            EventScanner scanner;
            const std::string first = scanner.feed(text.substr(0, cut));
            CPPUNIT_ASSERT(first.empty() || first.ends_with("\n\n"));
            CPPUNIT_ASSERT_EQUAL(text, first + scanner.feed(text.substr(cut)));
            CPPUNIT_ASSERT(scanner.isAtBoundary());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, *scanner.lastEventId());
        }
    }

    // The first upstream fails at any byte; the second one resumes at or before the next event.
    void testResumeAfterBreakAtEveryByte()
    {
        const std::string text = events(1, 5);
        for (std::size_t cut = 0; cut < text.size(); ++cut) {
            for (int overlap = 0; overlap < 3; ++overlap) {
                EventScanner scanner;
                std::string out = scanner.feed(text.substr(0, cut));
                scanner.restart();
                const int next = static_cast<int>(scanner.lastEventId().value_or(0)) + 1;
                out += scanner.feed(events(std::max(1, next - overlap), 5));
                CPPUNIT_ASSERT_EQUAL(text, out);
                CPPUNIT_ASSERT(!scanner.hasGap());
            }
        }
    }

    void testGapIsDetected()
    {
        EventScanner scanner;
        CPPUNIT_ASSERT_EQUAL(events(1, 2), scanner.feed(events(1, 2)));
        scanner.restart();
        CPPUNIT_ASSERT_EQUAL(std::string(), scanner.feed(events(4, 5)));
        CPPUNIT_ASSERT(scanner.hasGap());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EventScannerTest);

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(testLongestPathPrefixWins);
    CPPUNIT_TEST(testOldestAllowedFollowsEachAnnouncement);
    CPPUNIT_TEST_SUITE_END();

public:
    void testLongestPathPrefixWins()
    {
        RouteTable table;
        const std::vector<std::pair<std::string, std::string>> rows{{"a", "/"}, {"a", "/x/"}, {"a", "/x/y/"}, {"b", "/x/"}};
        for (const auto &[host, prefix] : rows) {
            Route route;
            route.host = host;
            route.pathPrefix = prefix;
            table.routes.push_back(route);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("/x/y/"), table.match("a", "/x/y/z?q=/")->pathPrefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/x/"), table.match("a", "/x/yy")->pathPrefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/"), table.match("a", "/x?/y/")->pathPrefix);
        CPPUNIT_ASSERT(table.match("b", "/y/") == nullptr);
        CPPUNIT_ASSERT(table.match("c", "/x/") == nullptr);
    }

    // If only the newest announcement counted, versions in quick succession would keep the oldest weights in use.
    void testOldestAllowedFollowsEachAnnouncement()
    {
        const base::Duration limit = base::seconds{6};
        WeightsTarget target;
        target.announce(base::WeightsVersion{2}, Start);
        target.announce(base::WeightsVersion{3}, Start + base::seconds{4});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, target.oldestAllowed(Start + base::seconds{5}, limit).value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, target.oldestAllowed(Start + base::seconds{6}, limit).value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, target.oldestAllowed(Start + base::seconds{10}, limit).value);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

// A pool of three engines in three domains, and one of two plain services.
class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(testSamePromptGoesToTheSameEngine);
    CPPUNIT_TEST(testDrainingAndReloadingEnginesAreSkipped);
    CPPUNIT_TEST(testOldWeightsAreRefusedAfterLimit);
    CPPUNIT_TEST(testNewWeightsArePreferred);
    CPPUNIT_TEST(testPopularPrefixIsSpread);
    CPPUNIT_TEST(testServiceQueueIsBounded);
    CPPUNIT_TEST(testEngineMemoryIsCounted);
    CPPUNIT_TEST(testFailedUpstreamBacksOff);
    CPPUNIT_TEST(testSilentUpstreamIsAvoided);
    CPPUNIT_TEST(testUpstreamThatIsNotReadIsNotSilent);
    CPPUNIT_TEST(testPromptsAreSpreadOverCacheStores);
    CPPUNIT_TEST_SUITE_END();

    FleetView m_view;
    UpstreamTracker m_tracker;
    PlacementTuning m_tuning;

    void addUpstream(const std::string &id, const std::string &pool, const std::string &domain, std::uint32_t slots, std::uint64_t weights)
    {
        Upstream upstream;
        upstream.id = base::UpstreamId(id);
        upstream.pool = base::PoolName(pool);
        upstream.domain = base::FailureDomain(domain);
        upstream.endpoint = base::Endpoint{"127.0.0.1", 1};
        upstream.slots = slots;
        if (weights != 0) {
            upstream.models[base::ModelId("m")] = base::WeightsVersion{weights};
        }
        m_view.upstreams.push_back(upstream);
    }

    PlacementQuery query(std::uint64_t prompt, base::TimePoint now = Start)
    {
        PlacementQuery out;
        out.now = now;
        out.pool = base::PoolName("engines");
        out.model = base::ModelId("m");
        out.prefixKey = prompt;
        out.sharedTokens = 6000;
        out.memoryTokens = 9100;
        out.domain = base::FailureDomain("a");
        return out;
    }

    PlacementQuery serviceQuery()
    {
        PlacementQuery out;
        out.now = Start;
        out.pool = base::PoolName("services");
        out.domain = base::FailureDomain("a");
        return out;
    }

    PlacementResult placeNow(const PlacementQuery &query)
    {
        return place(query, m_view, m_tracker, m_tuning);
    }

public:
    void setUp() override
    {
        auto table = std::make_shared<RouteTable>();
        table->pools.push_back(Pool{base::PoolName("engines"), 100, EngineCapacity{100'000, 16}});
        table->pools.push_back(Pool{base::PoolName("services"), 100, std::nullopt});
        m_view = FleetView{};
        m_view.table = table;
        addUpstream("e1", "engines", "a", 16, 1);
        addUpstream("e2", "engines", "b", 16, 1);
        addUpstream("e3", "engines", "c", 16, 1);
        addUpstream("s1", "services", "a", 2, 0);
        addUpstream("s2", "services", "b", 2, 0);
        m_tracker = UpstreamTracker{};
        m_tracker.adopt(m_view, Start);
    }

    void testSamePromptGoesToTheSameEngine()
    {
        for (std::uint64_t prompt = 1; prompt < 50; ++prompt) {
            CPPUNIT_ASSERT(placeNow(query(prompt)).record == placeNow(query(prompt)).record);
        }
    }

    void testDrainingAndReloadingEnginesAreSkipped()
    {
        m_view.upstreams[0].phase = UpstreamPhase::Draining;
        m_view.targets[base::ModelId("m")].announce(base::WeightsVersion{2}, Start);
        m_view.reloading.insert(base::UpstreamId("e2"));
        m_tracker.adopt(m_view, Start);
        for (std::uint64_t prompt = 1; prompt < 50; ++prompt) {
            CPPUNIT_ASSERT_EQUAL(std::string("e3"), placeNow(query(prompt)).record->upstream.id.value());
        }
        // An engine that already has the announced weights is usable even if still listed as reloading.
        m_view.upstreams[1].models[base::ModelId("m")] = base::WeightsVersion{2};
        m_tracker.adopt(m_view, Start);
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), placeNow(query(1)).record->upstream.id.value());
    }

    void testOldWeightsAreRefusedAfterLimit()
    {
        m_view.targets[base::ModelId("m")].announce(base::WeightsVersion{2}, Start);
        CPPUNIT_ASSERT(placeNow(query(1, Start + m_tuning.oldWeightsLimit - base::milliseconds{1})).verdict == PlacementVerdict::Chosen);
        CPPUNIT_ASSERT(placeNow(query(1, Start + m_tuning.oldWeightsLimit)).verdict == PlacementVerdict::NoUpstream);
    }

    void testNewWeightsArePreferred()
    {
        m_view.targets[base::ModelId("m")].announce(base::WeightsVersion{2}, Start);
        m_view.upstreams[2].models[base::ModelId("m")] = base::WeightsVersion{2};
        m_tracker.adopt(m_view, Start);
        PlacementQuery plain = query(0);
        plain.sharedTokens = 0;
        CPPUNIT_ASSERT_EQUAL(std::string("e3"), placeNow(plain).record->upstream.id.value());
    }

    void testPopularPrefixIsSpread()
    {
        std::set<std::string> used;
        for (int i = 0; i < 12; ++i) {
            const auto placement = placeNow(query(7));
            CPPUNIT_ASSERT(placement.verdict == PlacementVerdict::Chosen);
            used.insert(placement.record->upstream.id.value());
            m_tracker.onAttemptStarted(*placement.record, AttemptLoad{9100, 9000}, Start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, used.size());
    }

    void testServiceQueueIsBounded()
    {
        int placed = 0;
        while (placeNow(serviceQuery()).verdict == PlacementVerdict::Chosen) {
            m_tracker.onAttemptStarted(*placeNow(serviceQuery()).record, {}, Start);
            ++placed;
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(2 * 2 * m_tuning.serviceQueueFactor), placed);
        CPPUNIT_ASSERT(placeNow(serviceQuery()).verdict == PlacementVerdict::Full);
    }

    void testEngineMemoryIsCounted()
    {
        int placed = 0;
        for (; placeNow(query(0)).verdict == PlacementVerdict::Chosen; ++placed) {
            m_tracker.onAttemptStarted(*placeNow(query(0)).record, AttemptLoad{9100, 0}, Start);
        }
        CPPUNIT_ASSERT_MESSAGE("nine prompts of 9,100 tokens fit into 90% of 100,000", placed == 3 * 9);
    }

    void testFailedUpstreamBacksOff()
    {
        UpstreamRecord *record = m_tracker.find(base::UpstreamId("s1"));
        m_tracker.onAttemptStarted(*record, {}, Start);
        m_tracker.onAttemptEnded(*record, {}, false, AttemptEnd::NotSent, Start);
        CPPUNIT_ASSERT_EQUAL(std::string("s2"), placeNow(serviceQuery()).record->upstream.id.value());
        PlacementQuery later = serviceQuery();
        later.now = record->backoffUntil;
        for (int i = 0; i < 3; ++i) {
            m_tracker.onAttemptStarted(*m_tracker.find(base::UpstreamId("s2")), {}, Start);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), placeNow(later).record->upstream.id.value());
    }

    // An upstream counts as silent only while requests are outstanding, and not during the prefill of their prompts.
    void testSilentUpstreamIsAvoided()
    {
        UpstreamRecord *record = m_tracker.find(base::UpstreamId("e1"));
        const base::TimePoint later = Start + base::milliseconds{900};
        CPPUNIT_ASSERT(!record->isSilent(later, m_tuning.prefillMillisecondsPerToken));
        m_tracker.onAttemptStarted(*record, {}, Start);
        CPPUNIT_ASSERT(record->isSilent(later, m_tuning.prefillMillisecondsPerToken));
        m_tracker.onBytesReceived(*record, Start + base::milliseconds{200});
        CPPUNIT_ASSERT(!record->isSilent(later, m_tuning.prefillMillisecondsPerToken));
        m_tracker.onAttemptStarted(*record, AttemptLoad{40'000, 40'000}, Start);
        CPPUNIT_ASSERT(!record->isSilent(Start + base::seconds{3}, m_tuning.prefillMillisecondsPerToken));
        m_tracker.onFirstOutput(*record, AttemptLoad{40'000, 40'000});
        CPPUNIT_ASSERT(record->isSilent(Start + base::seconds{3}, m_tuning.prefillMillisecondsPerToken));
        for (std::uint64_t prompt = 1; prompt < 20; ++prompt) {
            CPPUNIT_ASSERT(placeNow(query(prompt, Start + base::seconds{3})).record != record);
        }
    }

    // An upstream that is not read, as the callers take nothing, tells nothing by its silence; the time counts anew afterwards.
    void testUpstreamThatIsNotReadIsNotSilent()
    {
        UpstreamRecord *record = m_tracker.find(base::UpstreamId("e1"));
        const auto isSilent = [this, record](int milliseconds) {
            return record->isSilent(Start + base::milliseconds{milliseconds}, m_tuning.prefillMillisecondsPerToken);
        };
        m_tracker.onAttemptStarted(*record, {}, Start);
        m_tracker.onReadingPaused(*record);
        CPPUNIT_ASSERT(!isSilent(5000));
        m_tracker.onAttemptStarted(*record, {}, Start + base::seconds{5});
        CPPUNIT_ASSERT(!isSilent(5700));
        CPPUNIT_ASSERT(isSilent(5900)); // the second request is read
        m_tracker.onAttemptEnded(*record, {}, false, AttemptEnd::Answered, Start + base::seconds{6});
        CPPUNIT_ASSERT(!isSilent(9000));
        m_tracker.onReadingResumed(*record, Start + base::seconds{9});
        CPPUNIT_ASSERT(!isSilent(9700));
        CPPUNIT_ASSERT(isSilent(9900));
    }

    // Prompts are spread over three stores; the loss of one store moves only its own prompts.
    void testPromptsAreSpreadOverCacheStores()
    {
        CPPUNIT_ASSERT(selectCacheStore(1, m_view) == nullptr);
        auto table = std::make_shared<RouteTable>(*m_view.table);
        for (const char *address : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
            table->cacheStores.push_back({base::Endpoint{address, 80}, base::FailureDomain("a")});
        }
        m_view.table = table;
        constexpr std::uint64_t Prompts = 900;
        std::map<std::string, int> kept;
        std::map<std::uint64_t, std::string> before;
        for (std::uint64_t prompt = 1; prompt <= Prompts; ++prompt) {
            before[prompt] = selectCacheStore(prompt, m_view)->endpoint.address;
            ++kept[before[prompt]];
        }
        for (const auto &[address, n] : kept) {
            CPPUNIT_ASSERT_MESSAGE(address + " keeps " + std::to_string(n), n > 200 && n < 400);
        }
        m_view.unavailableCacheStores.insert(base::Endpoint{"10.0.0.2", 80});
        for (std::uint64_t prompt = 1; prompt <= Prompts; ++prompt) {
            const std::string now = selectCacheStore(prompt, m_view)->endpoint.address;
            CPPUNIT_ASSERT(now != "10.0.0.2" && (now == before[prompt] || before[prompt] == "10.0.0.2"));
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

class PrefixPlacementsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrefixPlacementsTest);
    CPPUNIT_TEST(testHolderFromPrefillToEviction);
    CPPUNIT_TEST(testLatestUsableHolder);
    CPPUNIT_TEST(testKeysAreBounded);
    CPPUNIT_TEST(testTransferPlan);
    CPPUNIT_TEST_SUITE_END();

    static bool any(std::uint64_t /*upstream*/)
    {
        return true;
    }

public:
    void testHolderFromPrefillToEviction()
    {
        PrefixPlacements placements;
        placements.onPromptSent(1, 7, Start);
        const base::TimePoint read = Start + PrefixPlacements::PrefillTime;
        CPPUNIT_ASSERT_MESSAGE("prefill not complete", !placements.findHolder(1, read - base::milliseconds{1}, any));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, *placements.findHolder(1, read, any));
        CPPUNIT_ASSERT_MESSAGE("evicted", !placements.findHolder(1, Start + PrefixPlacements::RetentionTime, any));
        CPPUNIT_ASSERT(placements.isLikelyCached(1, 7, Start) && !placements.isLikelyCached(1, 7, Start + PrefixPlacements::RetentionTime));
        placements.onPromptSent(1, 7, Start + base::seconds{1});
        CPPUNIT_ASSERT_MESSAGE("used again", placements.findHolder(1, Start + PrefixPlacements::RetentionTime, any).has_value());
        CPPUNIT_ASSERT(!placements.findHolder(2, read, any));
    }

    void testLatestUsableHolder()
    {
        PrefixPlacements placements;
        for (std::uint64_t upstream = 1; upstream <= PrefixPlacements::MaxUpstreamsPerKey + 1; ++upstream) {
            placements.onPromptSent(1, upstream, Start + base::milliseconds{static_cast<int>(upstream)});
        }
        const base::TimePoint later = Start + base::seconds{1};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{PrefixPlacements::MaxUpstreamsPerKey + 1}, *placements.findHolder(1, later, any));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, *placements.findHolder(1, later, [](std::uint64_t upstream) {
            return upstream == 3;
        }));
        CPPUNIT_ASSERT_MESSAGE("the least recently used one is replaced", !placements.isLikelyCached(1, 1, later) && placements.isLikelyCached(1, 2, later));
    }

    void testKeysAreBounded()
    {
        PrefixPlacements placements;
        for (std::uint64_t state = 1; state <= PrefixPlacements::MaxKeys + 1; ++state) {
            placements.onPromptSent(state, 7, Start);
        }
        CPPUNIT_ASSERT(!placements.contains(1) && placements.contains(PrefixPlacements::MaxKeys + 1));
    }

    // Two engines and a store: the first engine computes the prefix and saves it once, the second
    // one fetches it from the first.
    void testTransferPlan()
    {
        auto table = std::make_shared<RouteTable>();
        const base::Endpoint store{"10.0.0.9", 80};
        table->cacheStores.push_back({store, base::FailureDomain("a")});
        FleetView view;
        view.table = table;
        for (const char *id : {"e1", "e2"}) {
            Upstream upstream;
            upstream.id = base::UpstreamId(id);
            upstream.pool = base::PoolName("engines");
            upstream.endpoint = base::Endpoint{std::string("10.0.0.") + id[1], 80};
            upstream.models[base::ModelId("m")] = base::WeightsVersion{4};
            view.upstreams.push_back(upstream);
        }
        UpstreamTracker tracker;
        tracker.adopt(view, Start);
        UpstreamRecord &first = *tracker.find(base::UpstreamId("e1"));
        UpstreamRecord &second = *tracker.find(base::UpstreamId("e2"));
        const auto planFor = [&](const UpstreamRecord &destination, base::TimePoint now) {
            return planKvTransfer(5, 6000, destination, view, tracker, now);
        };
        CPPUNIT_ASSERT(planFor(first, Start).fetchFrom == store && planFor(first, Start).saveTo == store);
        tracker.onPromptSent(kvCacheKey(5, base::WeightsVersion{4}), first, Start);
        CPPUNIT_ASSERT_MESSAGE("prefill not complete", planFor(second, Start).fetchFrom == store && !planFor(second, Start).saveTo);
        const base::TimePoint later = Start + base::seconds{1};
        CPPUNIT_ASSERT(planFor(second, later).fetchFrom == first.upstream.endpoint);
        CPPUNIT_ASSERT_MESSAGE("never from itself", planFor(first, later).fetchFrom == store);
        first.backoffUntil = later + base::seconds{1};
        CPPUNIT_ASSERT_MESSAGE("never from an upstream in backoff", planFor(second, later).fetchFrom == store);
        first.backoffUntil = later;
        second.weights = base::WeightsVersion{5};
        CPPUNIT_ASSERT_MESSAGE("never a KV cache of other weights", planFor(second, later).fetchFrom == store && planFor(second, later).saveTo == store);
        second.weights = {};
        CPPUNIT_ASSERT_MESSAGE("nothing while the weights are unknown", !planFor(second, later).fetchFrom);
        CPPUNIT_ASSERT_MESSAGE("short prefixes are recomputed", !planKvTransfer(5, 100, first, view, tracker, later).fetchFrom);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PrefixPlacementsTest);

class WaitQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WaitQueueTest);
    CPPUNIT_TEST(testUrgentFirstThenOldest);
    CPPUNIT_TEST(testExpectedWait);
    CPPUNIT_TEST(testRefusedCallersRetryOneAtATime);
    CPPUNIT_TEST_SUITE_END();

public:
    void testUrgentFirstThenOldest()
    {
        WaitQueue queue;
        const auto late = queue.add({4}, nullptr);
        const auto first = queue.add({1}, nullptr);
        const auto second = queue.add({1}, nullptr);
        CPPUNIT_ASSERT(queue.key(first) < queue.key(second));
        CPPUNIT_ASSERT(queue.key(second) < queue.key(late));
        queue.remove(first, QueueExit::Served);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.size());
    }

    // At ten completions per second, a request with nine ahead of it waits one second, whatever is queued behind it.
    void testExpectedWait()
    {
        WaitQueue queue;
        CPPUNIT_ASSERT(!queue.expectedWait({1}, Start));
        base::TimePoint now = Start;
        for (int i = 0; i < 50; ++i) {
            now += base::milliseconds{100};
            queue.completionRate().record(now);
        }
        for (int i = 0; i < 9; ++i) {
            queue.add({1}, nullptr);
            queue.add({2}, nullptr);
        }
        const double wait = base::toSeconds(*queue.expectedWait({1}, now));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, wait, 0.1);
    }

    // Sixty callers are refused within 60 ms by a pool that completes 20 requests per second:
    // each retries one completion interval after the previous one, and none waits longer than
    // two seconds.
    void testRefusedCallersRetryOneAtATime()
    {
        RetrySchedule returns;
        base::TimePoint before = Start;
        for (int i = 0; i < 60; ++i) {
            const base::TimePoint now = Start + base::milliseconds{i};
            const base::Duration pause = returns.next(now, base::milliseconds{100}, 20);
            CPPUNIT_ASSERT(pause >= RetrySchedule::MinDelay && pause <= RetrySchedule::MaxDelay);
            const base::TimePoint at = now + pause;
            if (i > 0 && pause < RetrySchedule::MaxDelay) {
                CPPUNIT_ASSERT(at - before >= base::milliseconds{49});
            }
            before = at;
        }
        CPPUNIT_ASSERT_MESSAGE("the schedule reaches MaxDelay", before >= Start + RetrySchedule::MaxDelay);
        const base::TimePoint later = Start + base::seconds{10};
        CPPUNIT_ASSERT_MESSAGE("the schedule is empty again later", returns.next(later, std::nullopt, 20) == RetrySchedule::MinDelay);
        CPPUNIT_ASSERT_MESSAGE("no interval between retries without completions", returns.next(later, std::nullopt, 0) == RetrySchedule::MinDelay);
        CPPUNIT_ASSERT(returns.next(later, base::seconds{1}, 0) == base::seconds{1});
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WaitQueueTest);

} // namespace carawaylatch::proxy::testing
