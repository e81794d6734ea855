// Upstream registry: leaving by each source of notice and under delays, incarnations,
// health, ejection, freeze, choice of the weights version; in-flight table.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <tuple>

#include "carawaylatch/upstreams/inflight.h"
#include "carawaylatch/upstreams/registry.h"

namespace carawaylatch::upstreams::testing
{

namespace
{

constexpr base::Duration LeavingBound = base::seconds{3};

config::Tables tables(std::size_t n)
{
    config::Tables result;
    config::Pool pool;
    pool.name = base::PoolName{"p"};
    pool.model = base::ModelId{"m"};
    pool.weightsVersion = {1};
    for (std::size_t i = 0; i < n; ++i) {
        pool.members.push_back({base::UpstreamId{"e" + std::to_string(i)}, {"127.0.0.1", 1}, base::FailureDomain{"a"}});
    }
    result.pools.push_back(pool);
    return result;
}

LoadReport report(std::uint64_t incarnation, ReportedState state = ReportedState::Live, base::Duration age = {})
{
    LoadReport result;
    result.incarnation = {incarnation};
    result.model = base::ModelId{"m"};
    result.weightsVersion = {1};
    result.state = state;
    result.age = age;
    return result;
}

} // namespace

class RegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegistryTest);
    CPPUNIT_TEST(testLeavingFromEachSource);
    CPPUNIT_TEST(testReportAgeBoundsLeavingWithoutNotice);
    CPPUNIT_TEST(testFrozenRouterWaitsForMarks);
    CPPUNIT_TEST(testMarksMergeInAnyOrder);
    CPPUNIT_TEST(testUndrain);
    CPPUNIT_TEST(testListAppliesToNewIncarnationOnlyWhileListed);
    CPPUNIT_TEST(testLateReportOfPastIncarnationIsIgnored);
    CPPUNIT_TEST(testHealth);
    CPPUNIT_TEST(testEjectsAtMostHalf);
    CPPUNIT_TEST(testServingVersion);
    CPPUNIT_TEST(testRemovedUpstream);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        start(m_registry, 4);
    }

    void testLeavingFromEachSource()
    {
        struct Row
        {
            const char *name;
            void (*notice)(Registry &, base::TimePoint);
        };
        const Row rows[] = {
            {"list",
             [](Registry &registry, base::TimePoint now) {
                 const store::VmRecord vm{"e0", store::VmRecord::Role::Upstream, store::VmRecord::State::Leaving, {}, {}};
                 registry.onPlatformList(std::span{&vm, 1}, now);
             }},
            {"report",
             [](Registry &registry, base::TimePoint now) {
                 registry.onLoadReport(Id, report(1, ReportedState::Leaving), now);
             }},
            {"refusal",
             [](Registry &registry, base::TimePoint now) {
                 registry.onAttempt(Id, {1}, AttemptOutcome::RefusedLeaving, now);
             }},
            {"drain",
             [](Registry &registry, base::TimePoint now) {
                 registry.onLeaving(Id, {}, LeavingSource::Drain, now);
             }},
            {"peer",
             [](Registry &registry, base::TimePoint now) {
                 const LeavingMark mark{Id, {1}, 1};
                 registry.importMarks(std::span{&mark, 1}, now);
             }},
        };
        for (const auto &row : rows) {
            Registry registry;
            start(registry, 2);
            const auto before = registry.view();
            CPPUNIT_ASSERT_MESSAGE(row.name, before->maySend(Id, {1}, m_now));
            row.notice(registry, m_now);
            // An upstream that doesn't know that it is drained goes on to report live.
            registry.onLoadReport(base::UpstreamId{"e1"}, report(1), m_now);
            CPPUNIT_ASSERT_MESSAGE(row.name, !registry.view()->maySend(Id, {1}, m_now));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t{1}, registry.view()->pools[0].eligible.size());
            // A traffic thread that still holds the previous view stops using it by its age.
            CPPUNIT_ASSERT_MESSAGE(row.name, !before->maySend(Id, {1}, m_now + MaxViewAge + base::milliseconds{1}));
            CPPUNIT_ASSERT_MESSAGE(row.name, MaxViewAge < LeavingBound);
            bool isAnnounced = false;
            for (const auto &it : registry.takeActions()) {
                const auto *announce = std::get_if<AnnounceMark>(&it);
                isAnnounced = isAnnounced || (announce != nullptr && announce->mark == LeavingMark{Id, {1}, 1});
            }
            CPPUNIT_ASSERT_MESSAGE(row.name, isAnnounced);
        }
    }

    void testReportAgeBoundsLeavingWithoutNotice()
    {
        // No notice from the list or peers, and reports stop or arrive 2 s late: the age
        // of the last report as live ends new requests within the bound.
        const base::TimePoint lastLive = m_now;
        for (int i = 0; i < 8; ++i) {
            m_now += ViewPeriod;
            m_registry.onTick(m_now);
        }
        m_registry.onLoadReport(Id, report(1, ReportedState::Live, m_now - lastLive), m_now);
        base::TimePoint lastStart = m_now;
        for (int i = 0; i < 20; ++i) {
            m_now += ViewPeriod;
            m_registry.onTick(m_now);
            lastStart = m_registry.view()->maySend(Id, {1}, m_now) ? m_now : lastStart;
        }
        CPPUNIT_ASSERT(lastStart > lastLive + base::seconds{2});
        CPPUNIT_ASSERT(lastStart - lastLive < LeavingBound);
    }

    void testFrozenRouterWaitsForMarks()
    {
        const auto before = m_registry.view();
        m_now += base::seconds{20};
        CPPUNIT_ASSERT(!before->isUsable(m_now));
        m_registry.onTick(m_now);
        m_registry.onLoadReport(Id, report(1), m_now);
        m_registry.onTick(m_now);
        CPPUNIT_ASSERT(!m_registry.view()->maySend(Id, {1}, m_now));
        bool isAsked = false;
        for (const auto &it : m_registry.takeActions()) {
            isAsked = isAsked || std::holds_alternative<RequestMarks>(it);
        }
        CPPUNIT_ASSERT(isAsked);
        const LeavingMark mark{base::UpstreamId{"e1"}, {1}, 1};
        m_registry.importMarks(std::span{&mark, 1}, m_now);
        m_registry.onMarksSynchronised(m_now);
        CPPUNIT_ASSERT(m_registry.view()->maySend(Id, {1}, m_now));
        CPPUNIT_ASSERT(!m_registry.view()->maySend(base::UpstreamId{"e1"}, {1}, m_now));
        // Upstreams without a report since the freeze get no requests either.
        CPPUNIT_ASSERT(!m_registry.view()->maySend(base::UpstreamId{"e2"}, {1}, m_now));
    }

    void testMarksMergeInAnyOrder()
    {
        const LeavingMark marks[] = {{Id, {1}, 1}, {Id, {1}, 2}, {Id, {1}, 3}, {Id, {2}, 1}};
        std::vector<std::size_t> order{0, 1, 2, 3};
        do {
            LeavingMarks merged;
            for (const auto it : order) {
                std::ignore = merged.merge(marks[it]);
                CPPUNIT_ASSERT(!merged.merge(marks[it]));
            }
            CPPUNIT_ASSERT(merged.isLeaving(Id, {1}) && merged.isLeaving(Id, {2}) && !merged.isLeaving(Id, {3}));
            CPPUNIT_ASSERT_EQUAL(3U, merged.generation(Id, {1}));
        } while (std::next_permutation(order.begin(), order.end()));
    }

    void testUndrain()
    {
        m_registry.onLeaving(Id, {}, LeavingSource::Drain, m_now);
        m_registry.onUndrain(Id, m_now);
        CPPUNIT_ASSERT(m_registry.view()->maySend(Id, {1}, m_now));
        // The drain's mark arrives once more; its generation is below that of the undrain.
        const LeavingMark old{Id, {1}, 1};
        m_registry.importMarks(std::span{&old, 1}, m_now);
        CPPUNIT_ASSERT(m_registry.view()->maySend(Id, {1}, m_now));
        m_registry.onLoadReport(Id, report(1, ReportedState::Leaving), m_now);
        m_registry.onUndrain(Id, m_now);
        CPPUNIT_ASSERT(!m_registry.view()->maySend(Id, {1}, m_now));
    }

    void testListAppliesToNewIncarnationOnlyWhileListed()
    {
        store::VmRecord vm{"e0", store::VmRecord::Role::Upstream, store::VmRecord::State::Leaving, {}, {}};
        m_registry.onPlatformList(std::span{&vm, 1}, m_now);
        m_registry.onLoadReport(Id, report(2), m_now);
        m_registry.onTick(m_now);
        CPPUNIT_ASSERT(!m_registry.view()->maySend(Id, {2}, m_now));
        vm.state = store::VmRecord::State::Live;
        m_registry.onPlatformList(std::span{&vm, 1}, m_now);
        CPPUNIT_ASSERT(m_registry.view()->maySend(Id, {2}, m_now));
        // The mark of the previous incarnation remains.
        CPPUNIT_ASSERT(m_registry.exportMarks() == (std::vector<LeavingMark>{{Id, {1}, 1}}));
    }

    void testLateReportOfPastIncarnationIsIgnored()
    {
        std::ignore = m_registry.takeActions();
        m_registry.onLoadReport(Id, report(2), m_now);
        m_registry.onLoadReport(Id, report(1, ReportedState::Leaving), m_now);
        m_registry.onTick(m_now);
        CPPUNIT_ASSERT(m_registry.view()->maySend(Id, {2}, m_now));
        CPPUNIT_ASSERT(!m_registry.view()->maySend(Id, {1}, m_now));
        const auto actions = m_registry.takeActions();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        CPPUNIT_ASSERT(std::get<AdoptIncarnation>(actions[0]).incarnation == base::Incarnation{2});
    }

    void testHealth()
    {
        m_registry.onUnreachable(Id, m_now);
        m_registry.onTick(m_now);
        CPPUNIT_ASSERT(state() == UpstreamState::Live);
        m_registry.onUnreachable(Id, m_now);
        m_registry.onTick(m_now);
        CPPUNIT_ASSERT(state() == UpstreamState::Suspect);
        m_registry.onLoadReport(Id, report(1), m_now);
        m_registry.onTick(m_now);
        CPPUNIT_ASSERT(state() == UpstreamState::Live);
        m_registry.onAttempt(Id, {1}, AttemptOutcome::NotSent, m_now);
        m_registry.onTick(m_now);
        CPPUNIT_ASSERT(state() == UpstreamState::Suspect);
        for (int i = 0; i < 30; ++i) {
            m_now += ViewPeriod;
            m_registry.onTick(m_now);
        }
        CPPUNIT_ASSERT(state() == UpstreamState::Dead);
        m_registry.onLoadReport(Id, report(1, ReportedState::Loading), m_now);
        m_registry.onTick(m_now);
        CPPUNIT_ASSERT(state() == UpstreamState::Loading);
    }

    void testEjectsAtMostHalf()
    {
        for (int i = 0; i < 4; ++i) {
            for (int failure = 0; failure < 3; ++failure) {
                m_registry.onAttempt(base::UpstreamId{"e" + std::to_string(i)}, {1}, AttemptOutcome::Failed, m_now);
            }
        }
        m_registry.onTick(m_now);
        CPPUNIT_ASSERT(state() == UpstreamState::Ejected);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_registry.view()->pools[0].eligible.size());
        m_now += base::milliseconds{1001};
        m_registry.onLoadReport(Id, report(1), m_now);
        m_registry.onTick(m_now);
        CPPUNIT_ASSERT(m_registry.view()->find(Id)->state == UpstreamState::Live);
    }

    void testServingVersion()
    {
        auto changed = tables(4);
        changed.pools[0].weightsVersion = {2};
        m_registry.configure(changed, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_registry.view()->pools[0].servingVersion.value);
        for (int i = 0; i < 2; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_registry.view()->pools[0].servingVersion.value);
            auto loaded = report(1);
            loaded.weightsVersion = {2};
            m_registry.onLoadReport(base::UpstreamId{"e" + std::to_string(i)}, loaded, m_now);
            m_now += ViewPeriod;
            m_registry.onTick(m_now);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_registry.view()->pools[0].servingVersion.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_registry.view()->pools[0].eligible.size());
    }

    void testRemovedUpstream()
    {
        std::ignore = m_registry.takeActions();
        m_registry.configure(tables(2), m_now);
        CPPUNIT_ASSERT(m_registry.view()->find(base::UpstreamId{"e3"}) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_registry.takeActions().size());
        m_registry.configure(tables(3), m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{4}, m_registry.view()->find(base::UpstreamId{"e2"})->slot.index);
    }

private:
    void start(Registry &registry, std::size_t n)
    {
        registry.onTick(m_now);
        registry.configure(tables(n), m_now);
        for (std::size_t i = 0; i < n; ++i) {
            registry.onLoadReport(base::UpstreamId{"e" + std::to_string(i)}, report(1), m_now);
        }
        registry.onTick(m_now);
    }

    UpstreamState state() const
    {
        return m_registry.view()->find(Id)->state;
    }

    static const base::UpstreamId Id;
    Registry m_registry;
    base::TimePoint m_now{base::hours{1}};
};

const base::UpstreamId RegistryTest::Id{"e0"};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryTest);

class InflightTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InflightTest);
    CPPUNIT_TEST(testCountsSinceReport);
    CPPUNIT_TEST(testLimitFollowsQueue);
    CPPUNIT_TEST_SUITE_END();

public:
    void testCountsSinceReport()
    {
        InflightTable table(4);
        const Slot slot{2};
        auto early = table.begin(slot, 100, m_now);
        auto late = table.begin(slot, 7, m_now + base::milliseconds{300});
        const auto now = m_now + base::milliseconds{400};
        auto counts = table.counts(slot, m_now + base::milliseconds{100}, now);
        CPPUNIT_ASSERT_EQUAL(2U, counts.requests);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{107}, counts.pendingPrefillTokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, counts.prefillTokensSince);
        early.onFirstToken();
        early.onFirstToken();
        early.finish();
        late = InflightTable::Ticket{};
        counts = table.counts(slot, m_now - base::seconds{1}, now);
        CPPUNIT_ASSERT_EQUAL(0U, counts.requests);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counts.pendingPrefillTokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{107}, counts.prefillTokensSince);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table.counts(slot, m_now, m_now + base::seconds{5}).prefillTokensSince);
        // A slot beyond the table is not counted.
        CPPUNIT_ASSERT_EQUAL(0U, (std::ignore = table.begin(Slot{9}, 1, m_now), table.counts(Slot{9}, m_now, m_now).requests));
    }

    void testLimitFollowsQueue()
    {
        InflightTable table(1);
        const auto initial = table.limit(Slot{0});
        LoadReport busy;
        busy.waiting = 3;
        table.onLoadReport(Slot{0}, busy);
        CPPUNIT_ASSERT(table.limit(Slot{0}) < initial);
        for (int i = 0; i < 100; ++i) {
            table.onLoadReport(Slot{0}, busy);
        }
        const auto floor = table.limit(Slot{0});
        CPPUNIT_ASSERT(floor >= 1);
        std::vector<InflightTable::Ticket> tickets;
        for (int i = 0; i < 50; ++i) {
            while (table.remainingCapacity(Slot{0}) > 0) {
                tickets.push_back(table.begin(Slot{0}, 1, m_now));
            }
            table.onLoadReport(Slot{0}, LoadReport{});
        }
        CPPUNIT_ASSERT_EQUAL(floor + 50, table.limit(Slot{0}));
    }

private:
    const base::TimePoint m_now{base::hours{1}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(InflightTest);

} // namespace carawaylatch::upstreams::testing
