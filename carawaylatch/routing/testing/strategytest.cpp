// Requirements on every strategy, and additional ones on the adaptive strategy.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/prefix/cacheindex.h"
#include "carawaylatch/prefix/heat.h"
#include "carawaylatch/routing/strategy.h"
#include "carawaylatch/upstreams/inflight.h"
#include "carawaylatch/upstreams/registry.h"

namespace carawaylatch::routing::testing
{

namespace
{

constexpr double Rate = 10'000; // prompt tokens per second

std::vector<std::uint64_t> chainOf(std::uint64_t n, std::size_t blocks = 8)
{
    std::vector<std::uint64_t> chain;
    for (std::size_t i = 0; i < blocks; ++i) {
        chain.push_back(base::combineHashes(n + 1, i + 1));
    }
    return chain;
}

// One router with a pool of n upstreams.
struct Router
{
    explicit Router(std::size_t n, std::string_view name = "adaptive", std::uint64_t seed = 1)
    {
        config::Tables tables;
        config::Pool pool;
        pool.name = base::PoolName{"p"};
        pool.model = base::ModelId{"m"};
        pool.weightsVersion = {1};
        pool.kvStore = base::Endpoint{"127.0.0.1", 1};
        for (std::size_t i = 0; i < n; ++i) {
            pool.members.push_back({base::UpstreamId{"e" + std::to_string(100'000 + i)}, {"127.0.0.1", 1}, base::FailureDomain{"a"}});
        }
        tables.pools.push_back(pool);
        registry.configure(tables, now);
        for (std::size_t i = 0; i < n; ++i) {
            report(i, 0);
        }
        refresh();
        strategy = std::move(makeStrategy(name, {&caches, &heat, &inflight, &routers}, seed).value());
    }

    void report(std::size_t i, std::uint64_t queuedTokens)
    {
        upstreams::LoadReport load;
        load.incarnation = {1};
        load.model = base::ModelId{"m"};
        load.weightsVersion = {1};
        load.queuedTokens = queuedTokens;
        load.running = queuedTokens > 0 ? 1 : 0;
        load.usedBlocks = load.capacityBlocks = 100;
        load.prefillTokensPerSecond = Rate;
        registry.onLoadReport(id(i), load, now);
    }

    void refresh()
    {
        now += upstreams::ViewPeriod;
        registry.onTick(now);
        for (const auto &it : registry.takeActions()) {
            if (const auto *adopt = std::get_if<upstreams::AdoptIncarnation>(&it)) {
                caches.adopt(adopt->slot, adopt->upstream, adopt->incarnation);
            }
        }
    }

    static base::UpstreamId id(std::size_t i)
    {
        return base::UpstreamId{"e" + std::to_string(100'000 + i)};
    }

    PlacementRequest request(const std::vector<std::uint64_t> &chain) const
    {
        PlacementRequest result;
        result.now = now;
        result.pool = base::PoolName{"p"};
        result.chain = chain;
        result.promptTokens = static_cast<std::uint32_t>(chain.size() * 1000 + 10);
        result.spreadKey = 5;
        return result;
    }

    base::Result<Placement> place(const std::vector<std::uint64_t> &chain) const
    {
        return strategy->place(request(chain), *registry.view());
    }

    base::TimePoint now{base::hours{1}};
    prefix::CacheIndex caches{{1U << 20U, 64, base::seconds{30}}};
    prefix::HeatTable heat{{1U << 12U, base::seconds{10}}};
    upstreams::InflightTable inflight{64};
    std::atomic<std::uint32_t> routers{1};
    upstreams::Registry registry;
    std::unique_ptr<RoutingStrategy> strategy;
};

} // namespace

class StrategyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StrategyTest);
    CPPUNIT_TEST(testChoosesOnlyEligibleUpstreams);
    CPPUNIT_TEST(testReturnsRetryTime);
    CPPUNIT_TEST(testExplainAgreesWithPlace);
    CPPUNIT_TEST(testRepeatsUnderSeed);
    CPPUNIT_TEST(testUnknownStrategyAndPool);
    CPPUNIT_TEST(testWeighsWaitAgainstMisses);
    CPPUNIT_TEST(testRoutersAgreeOnHomes);
    CPPUNIT_TEST(testRoutersDoNotOverloadOneUpstream);
    CPPUNIT_TEST(testSuggestsCacheImport);
    CPPUNIT_TEST(testLargePoolSpreads);
    CPPUNIT_TEST_SUITE_END();

public:
    void testChoosesOnlyEligibleUpstreams()
    {
        for (const auto name : StrategyNames) {
            Router router(6, name);
            const std::string message(name);
            // 0 is leaving, 1 is unreachable, 2 is excluded; 3, 4 and 5 remain.
            const auto chain = chainOf(1);
            for (std::uint16_t i = 0; i < 3; ++i) {
                router.caches.recordPlacement(router.registry.view()->find(Router::id(i))->slot, {1}, chain, router.now);
            }
            router.registry.onLeaving(Router::id(0), {}, upstreams::LeavingSource::Drain, router.now);
            router.registry.onAttempt(Router::id(1), {1}, upstreams::AttemptOutcome::NotSent, router.now);
            router.registry.onTick(router.now);
            const base::UpstreamId excluded[] = {Router::id(2)};
            for (std::uint64_t n = 0; n < 200; ++n) {
                const auto other = chainOf(n % 2 == 0 ? 1 : n, n % 9);
                auto request = router.request(other);
                request.excluded = excluded;
                const auto placement = router.strategy->place(request, *router.registry.view());
                CPPUNIT_ASSERT_MESSAGE(message, placement.has_value());
                CPPUNIT_ASSERT_MESSAGE(message, placement.value().upstream >= Router::id(3));
                CPPUNIT_ASSERT_MESSAGE(message, router.registry.view()->maySend(placement.value().upstream, placement.value().incarnation, router.now));
            }
        }
    }

    void testReturnsRetryTime()
    {
        for (const auto name : StrategyNames) {
            Router router(2, name);
            const std::string message(name);
            const base::UpstreamId excluded[] = {Router::id(0), Router::id(1)};
            const auto chain = chainOf(1);
            auto request = router.request(chain);
            request.excluded = excluded;
            const auto refused = router.strategy->place(request, *router.registry.view());
            CPPUNIT_ASSERT_MESSAGE(message, refused.has_error() && refused.error().kind == base::ErrorKind::Unavailable);
            CPPUNIT_ASSERT_MESSAGE(message, refused.error().retryAfter > base::Duration{});
            // An outdated view is not used.
            request.excluded = {};
            request.now += upstreams::MaxViewAge + base::milliseconds{1};
            CPPUNIT_ASSERT_MESSAGE(message, router.strategy->place(request, *router.registry.view()).has_error());
            request.pool = base::PoolName{"q"};
            request.now = router.now;
            CPPUNIT_ASSERT_MESSAGE(message, router.strategy->place(request, *router.registry.view()).error().kind == base::ErrorKind::NotFound);
        }
    }

    void testExplainAgreesWithPlace()
    {
        Router router(5);
        router.report(2, 40'000);
        router.refresh();
        const auto chain = chainOf(3);
        router.caches.recordPlacement(router.registry.view()->find(Router::id(4))->slot, {1}, chain, router.now);
        router.registry.onLeaving(Router::id(1), {}, upstreams::LeavingSource::Drain, router.now);
        const auto placement = router.place(chain);
        const auto explanation = router.strategy->explain(router.request(chain), *router.registry.view());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, explanation.value().candidates.size());
        for (const auto &it : explanation.value().candidates) {
            CPPUNIT_ASSERT_EQUAL(it.upstream == placement.value().upstream, it.verdict == Candidate::Verdict::Chosen);
            CPPUNIT_ASSERT_EQUAL(it.upstream == Router::id(1), it.verdict == Candidate::Verdict::NotEligible);
            CPPUNIT_ASSERT_EQUAL(it.upstream == Router::id(4) ? 8U : 0U, it.heldBlocks);
        }
    }

    void testRepeatsUnderSeed()
    {
        for (const auto name : StrategyNames) {
            Router first(7, name, 42);
            Router second(7, name, 42);
            for (std::uint64_t n = 0; n < 100; ++n) {
                CPPUNIT_ASSERT(first.place(chainOf(n)).value().upstream == second.place(chainOf(n)).value().upstream);
            }
        }
    }

    void testUnknownStrategyAndPool()
    {
        const SharedRoutingState none;
        CPPUNIT_ASSERT(makeStrategy("best", none, 1).error().kind == base::ErrorKind::InvalidArgument);
    }

    void testWeighsWaitAgainstMisses()
    {
        Router router(3);
        const auto chain = chainOf(1);
        router.caches.recordPlacement(router.registry.view()->find(Router::id(0))->slot, {1}, chain, router.now);
        CPPUNIT_ASSERT(router.place(chain).value().upstream == Router::id(0));
        CPPUNIT_ASSERT_EQUAL(8U, router.place(chain).value().predictedBlocks);
        CPPUNIT_ASSERT_EQUAL(10U, router.place(chain).value().missingTokens);
        router.report(0, 4000); // half of the time to compute the prompt elsewhere
        router.refresh();
        CPPUNIT_ASSERT(router.place(chain).value().upstream == Router::id(0));
        router.report(0, 100'000); // a wait of 10 s against a prefill of 0.8 s
        router.refresh();
        CPPUNIT_ASSERT(router.place(chain).value().upstream != Router::id(0));
    }

    void testRoutersAgreeOnHomes()
    {
        Router first(9, "adaptive", 1);
        Router second(9, "adaptive", 2);
        std::set<std::string> used;
        for (std::uint64_t n = 0; n < 100; ++n) {
            const auto chosen = first.place(chainOf(n)).value().upstream;
            CPPUNIT_ASSERT(chosen == second.place(chainOf(n)).value().upstream);
            used.insert(chosen.value());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, used.size());
    }

    void testRoutersDoNotOverloadOneUpstream()
    {
        // Four routers see one idle upstream and three busy ones and place 16 requests each
        // before the next load report. The idle upstream must not get most of them.
        std::map<std::string, double> tokens;
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            Router router(4, "adaptive", seed);
            router.routers = 4;
            for (std::size_t i = 1; i < 4; ++i) {
                router.report(i, 100'000);
            }
            router.report(0, 0);
            router.refresh();
            std::vector<upstreams::InflightTable::Ticket> tickets;
            for (std::uint64_t n = 0; n < 16; ++n) {
                const auto placement = router.place(chainOf(seed * 100 + n)).value();
                tokens[placement.upstream.value()] += placement.missingTokens;
                tickets.push_back(router.inflight.begin(placement.slot, placement.missingTokens, router.now));
            }
        }
        CPPUNIT_ASSERT(tokens[Router::id(0).value()] >= 50'000);
        CPPUNIT_ASSERT(tokens[Router::id(0).value()] <= 250'000);
    }

    void testSuggestsCacheImport()
    {
        Router router(3);
        const auto chain = chainOf(1);
        router.caches.recordPlacement(router.registry.view()->find(Router::id(0))->slot, {1}, chain, router.now);
        router.report(0, 100'000);
        router.refresh();
        const auto placement = router.place(chain).value();
        CPPUNIT_ASSERT(placement.importHint.has_value());
        CPPUNIT_ASSERT_EQUAL(0U, placement.importHint->firstBlock);
        CPPUNIT_ASSERT_EQUAL(8U, placement.importHint->blocks);
        CPPUNIT_ASSERT(!router.place(chainOf(2)).value().importHint.has_value());
    }

    void testLargePoolSpreads()
    {
        Router router(200);
        std::map<std::string, int> counts;
        for (std::uint64_t n = 0; n < 4000; ++n) {
            ++counts[router.place(chainOf(n)).value().upstream.value()];
        }
        CPPUNIT_ASSERT(counts.size() > 180);
        for (const auto &[id, n] : counts) {
            CPPUNIT_ASSERT_MESSAGE(id, n < 80);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StrategyTest);

} // namespace carawaylatch::routing::testing
