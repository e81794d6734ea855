// Tests SoftwareVersions and its object in virtual time.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "carawaylatch/gateway/softwareversions.h"
#include "carawaylatch/gateway/storeversion.h"

namespace carawaylatch::gateway::testing
{

namespace
{

constexpr base::Duration StreamTime = base::seconds{30};
constexpr base::Duration Step = base::milliseconds{50};
const base::PoolName PoolP("p");
const base::PoolName PoolQ("q");

std::set<base::SoftwareVersion> versions(const std::vector<std::string> &names)
{
    std::set<base::SoftwareVersion> out;
    for (const std::string &name : names) {
        out.insert(base::SoftwareVersion(name));
    }
    return out;
}

// What a write met.
enum class WriteFault {
    None,
    Refused,
    AnswerLost,
    AppliedLate, // after the next call
};

// One object with conditional writes.
struct ObjectStore
{
    std::optional<StoredObject> object;
    std::uint64_t revision = 10;
    std::uint64_t era = 0;
    int writes = 0;
    std::optional<std::pair<std::string, std::uint64_t>> late;

    base::Result<std::uint64_t> write(const std::string &text, std::uint64_t expected)
    {
        const std::uint64_t present = object ? object->revision : 0;
        if (present != expected) {
            return base::fail(base::ErrorKind::Conflict, "revision differs");
        }
        ++writes;
        object = StoredObject{std::string(SoftwareName), text, makeVersion(era, ++revision), false};
        return object->revision;
    }
    base::Result<StoredObject> read() const
    {
        if (!object) {
            return base::fail(base::ErrorKind::NotFound, "no object");
        }
        return *object;
    }
    [[nodiscard]] SoftwareRecord record() const
    {
        return object ? SoftwareRecord::decode(object->text) : SoftwareRecord{};
    }
};

// A router whose calls are answered at once.
struct VersionsRouter
{
    VersionsRouter(ObjectStore &store, std::uint64_t seed)
        : m_store(store)
        , versions(seed)
    {
        input.isCurrent = true;
        input.maxStreamTime = StreamTime;
    }
    void step(base::TimePoint now)
    {
        input.era = m_store.era;
        if (isWatching && m_store.object) {
            versions.onObject(*m_store.object);
        }
        const SoftwareAction action = versions.poll(now, input);
        const auto late = std::exchange(m_store.late, std::nullopt);
        if (action.call == SoftwareCall::Read) {
            versions.onRead(now, m_store.read());
        } else if (action.call == SoftwareCall::Write) {
            answerWrite(now, action);
        }
        if (late) {
            static_cast<void>(m_store.write(late->first, late->second));
        }
    }
    void answerWrite(base::TimePoint now, const SoftwareAction &action)
    {
        const WriteFault met = std::exchange(fault, WriteFault::None);
        if (met == WriteFault::Refused) {
            versions.onWritten(now, base::fail(base::ErrorKind::Unavailable, "refused"));
            return;
        }
        if (met == WriteFault::AppliedLate) {
            m_store.late.emplace(action.text, action.expected);
        } else {
            const auto written = m_store.write(action.text, action.expected);
            if (met == WriteFault::None) {
                versions.onWritten(now, written);
                return;
            }
        }
        versions.onWritten(now, base::fail(base::ErrorKind::Unclear, "no response"));
    }
    [[nodiscard]] bool admits(const base::PoolName &pool, const std::string &software) const
    {
        const auto it = versions.admitted().find(pool);
        return it != versions.admitted().end() && it->second.contains(base::SoftwareVersion(software));
    }

    ObjectStore &m_store;
    SoftwareVersions versions;
    SoftwareInput input;
    WriteFault fault = WriteFault::None; // of the next write
    bool isWatching = true;
};

} // namespace

class SoftwareVersionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SoftwareVersionsTest);
    CPPUNIT_TEST(testEncoding);
    CPPUNIT_TEST(testMalformedObjectIsIncomplete);
    CPPUNIT_TEST(testObjectIsBounded);
    CPPUNIT_TEST(testMaxStreamTime);
    CPPUNIT_TEST(testOnlyPoolsOfResumableRoutesAreListed);
    CPPUNIT_TEST(testLeaseHolderAdmitsAtOnce);
    CPPUNIT_TEST(testAnotherRouterAdmitsAfterItsPause);
    CPPUNIT_TEST(testRouterLeavesAdmissionToTheHolder);
    CPPUNIT_TEST(testFewRoutersOfALargeFleetWrite);
    CPPUNIT_TEST(testRacingWriters);
    CPPUNIT_TEST(testOlderObjectIsIgnored);
    CPPUNIT_TEST(testWriteFaults);
    CPPUNIT_TEST(testAbsentVersionIsRemoved);
    CPPUNIT_TEST(testVersionThatReturnsStays);
    CPPUNIT_TEST(testNewHolderCountsAnew);
    CPPUNIT_TEST(testGapInTheObservationCountsAnew);
    CPPUNIT_TEST(testRemovedVersionIsNotAdmitted);
    CPPUNIT_TEST(testRestoredStoreGetsForgottenVersions);
    CPPUNIT_TEST(testRestoredStoreIsIncompleteForAStreamTime);
    CPPUNIT_TEST(testRestoredStoreWithoutObjectIsIncomplete);
    CPPUNIT_TEST(testRemovedObjectIsWrittenAgain);
    CPPUNIT_TEST(testNeedsRecords);
    CPPUNIT_TEST_SUITE_END();

    ObjectStore m_store;
    base::TimePoint m_now{base::hours{1}};
    std::vector<std::unique_ptr<VersionsRouter>> m_routers;

    VersionsRouter &addRouter(const std::vector<std::string> &listed)
    {
        m_routers.push_back(std::make_unique<VersionsRouter>(m_store, m_routers.size() + 1));
        m_routers.back()->input.listed[PoolP] = versions(listed);
        return *m_routers.back();
    }
    VersionsRouter &addHolder(const std::vector<std::string> &listed)
    {
        VersionsRouter &router = addRouter(listed);
        router.input.isLeaseHolder = true;
        return router;
    }
    void run(base::Duration duration)
    {
        for (const base::TimePoint end = m_now + duration; m_now < end; m_now += Step) {
            for (const auto &router : m_routers) {
                router->step(m_now);
            }
        }
    }
    [[nodiscard]] bool holds(const std::vector<std::string> &names) const
    {
        const SoftwareRecord record = m_store.record();
        const auto it = record.pools.find(PoolP);
        return names.empty() ? it == record.pools.end() : it != record.pools.end() && it->second == versions(names);
    }

public:
    void tearDown() override
    {
        m_routers.clear();
    }

    void testEncoding()
    {
        SoftwareRecord record;
        record.completeEra = 3;
        record.add(PoolP, base::SoftwareVersion(""));
        record.add(PoolP, base::SoftwareVersion("v1.1"));
        record.add(base::PoolName("a b=c,%\n"), base::SoftwareVersion("1 2,3=4%\xff"));
        CPPUNIT_ASSERT(SoftwareRecord::decode(record.encode()) == record);
        record.completeEra.reset();
        CPPUNIT_ASSERT(SoftwareRecord::decode(record.encode()) == record);
        CPPUNIT_ASSERT_EQUAL(std::string("incomplete a%20b%3Dc%2C%25%0A=1%202%2C3%3D4%25%FF p=,v1.1"), record.encode());
    }

    // Another writer's bytes: nothing is taken for the only version.
    void testMalformedObjectIsIncomplete()
    {
        for (const std::string text :
             {"", "complete", "complete x p=v1", "complete 1x p=v1", "complete 0 p", "complete 0 p=v1 =v2", "complete 0 p=%", "complete 0 p=%2",
              "complete 0 p=%zz", "complete 0  p=v1", "complete 0 p=v 1", "complete 0 p=v1 q=\xff", "{\"a\":1}", "COMPLETE 0 p=v1"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !SoftwareRecord::decode(text).completeEra);
        }
        const SoftwareRecord record = SoftwareRecord::decode("complete 0 p=v1 q=% r=v2");
        CPPUNIT_ASSERT(record.pools.at(PoolP) == versions({"v1"}));
        CPPUNIT_ASSERT(record.pools.at(base::PoolName("r")) == versions({"v2"}));
        CPPUNIT_ASSERT(!SoftwareRecord::decode("complete 0 p=" + std::string(SoftwareRecord::MaxNameBytes + 1, 'v')).completeEra);
    }

    void testObjectIsBounded()
    {
        SoftwareRecord record;
        for (std::size_t i = 0; i < 2 * SoftwareRecord::MaxPools; ++i) {
            for (std::size_t j = 0; j < 2 * SoftwareRecord::MaxVersions; ++j) {
                record.add(base::PoolName("pool" + std::to_string(i)), base::SoftwareVersion("v" + std::to_string(j)));
            }
        }
        CPPUNIT_ASSERT_EQUAL(SoftwareRecord::MaxPools, record.pools.size());
        CPPUNIT_ASSERT_EQUAL(SoftwareRecord::MaxVersions, record.pools.begin()->second.size());
        record.add(base::PoolName(std::string(SoftwareRecord::MaxNameBytes + 1, 'p')), base::SoftwareVersion("v"));
        record.add(base::PoolName(""), base::SoftwareVersion("v"));
        CPPUNIT_ASSERT_EQUAL(SoftwareRecord::MaxPools, record.pools.size());
    }

    void testMaxStreamTime()
    {
        proxy::RouteTable table;
        CPPUNIT_ASSERT(maxStreamTime(table) == base::seconds{30});
        proxy::Route route;
        route.kind = proxy::CallKind::Stream;
        route.timeout = base::seconds{40};
        table.routes.push_back(route);
        CPPUNIT_ASSERT(maxStreamTime(table) == base::seconds{30});
        table.routes.back().isResumable = true;
        CPPUNIT_ASSERT(maxStreamTime(table) == base::seconds{80});
        table.routes.back().timeout = base::Duration::max();
        CPPUNIT_ASSERT(maxStreamTime(table) == base::minutes{5});
    }

    void testOnlyPoolsOfResumableRoutesAreListed()
    {
        proxy::RouteTable table;
        for (const bool isResumable : {false, true}) {
            proxy::Route route;
            route.kind = proxy::CallKind::Stream;
            route.isResumable = isResumable;
            route.pools = {{isResumable ? PoolP : PoolQ, 1}};
            table.routes.push_back(route);
        }
        std::map<base::UpstreamId, proxy::Upstream> upstreams;
        for (const char *name : {"p1", "p2", "q1"}) {
            proxy::Upstream &upstream = upstreams[base::UpstreamId(name)];
            upstream.pool = base::PoolName(std::string(1, name[0]));
            upstream.software = base::SoftwareVersion(std::string("v").append(1, name[1]));
            upstream.phase = proxy::UpstreamPhase::Draining; // still runs its streams
        }
        CPPUNIT_ASSERT(listedSoftware(table, upstreams) == (SoftwareByPool{{PoolP, versions({"v1", "v2"})}}));
    }

    void testLeaseHolderAdmitsAtOnce()
    {
        VersionsRouter &holder = addHolder({"v1"});
        run(3 * Step);
        CPPUNIT_ASSERT(holds({"v1"}));
        CPPUNIT_ASSERT(m_store.record().completeEra == std::uint64_t{0});
        holder.input.listed[PoolP] = versions({"v1", "v2"});
        holder.input.listed[PoolQ] = versions({""});
        CPPUNIT_ASSERT(!holder.admits(PoolP, "v2"));
        run(Step);
        CPPUNIT_ASSERT(holds({"v1", "v2"}));
        CPPUNIT_ASSERT(holder.admits(PoolP, "v2"));
        CPPUNIT_ASSERT(holder.admits(PoolQ, ""));
        CPPUNIT_ASSERT(!holder.admits(PoolQ, "v2"));
        CPPUNIT_ASSERT_EQUAL(2, m_store.writes);
    }

    void testAnotherRouterAdmitsAfterItsPause()
    {
        addRouter({"v1"});
        run(SoftwareVersions::MinPause - Step);
        CPPUNIT_ASSERT(!m_store.object);
        run(SoftwareVersions::MinPauseSpread + 4 * Step);
        CPPUNIT_ASSERT(holds({"v1"}));
    }

    void testRouterLeavesAdmissionToTheHolder()
    {
        addHolder({"v1"});
        for (int i = 0; i < 3; ++i) {
            addRouter({"v1"});
        }
        run(base::seconds{5});
        CPPUNIT_ASSERT_EQUAL(1, m_store.writes);
        for (const auto &router : m_routers) {
            CPPUNIT_ASSERT(router->admits(PoolP, "v1"));
        }
    }

    // Without a lease holder; each router sees the object a second after it was written.
    void testFewRoutersOfALargeFleetWrite()
    {
        constexpr int Routers = 1'000;
        for (int i = 0; i < Routers; ++i) {
            VersionsRouter &router = addRouter({"v1"});
            router.input.routers = Routers;
            router.isWatching = false;
        }
        int attempts = 0;
        for (const base::TimePoint end = m_now + SoftwareVersions::MinPause + base::milliseconds{200} + base::seconds{1}; m_now < end; m_now += Step) {
            for (const auto &router : m_routers) {
                const SoftwareAction action = router->versions.poll(m_now, router->input);
                attempts += action.call == SoftwareCall::Write ? 1 : 0;
                if (action.call == SoftwareCall::Read) {
                    router->versions.onRead(m_now, base::fail(base::ErrorKind::NotFound, "no object"));
                }
            }
        }
        CPPUNIT_ASSERT(attempts > 0);
        CPPUNIT_ASSERT(attempts <= 2 * static_cast<int>(SoftwareVersions::WritersPerSecond));
    }

    // Two writers that see different versions and each the other's write only by its conflict.
    void testRacingWriters()
    {
        VersionsRouter &first = addHolder({"v1"});
        VersionsRouter &second = addHolder({"v2"});
        first.isWatching = false;
        second.isWatching = false;
        run(base::seconds{2});
        CPPUNIT_ASSERT(holds({"v1", "v2"}));
        CPPUNIT_ASSERT(first.admits(PoolP, "v1") && second.admits(PoolP, "v1") && second.admits(PoolP, "v2"));
    }

    // A watch that lags behind this router's own write.
    void testOlderObjectIsIgnored()
    {
        VersionsRouter &holder = addHolder({"v1"});
        run(base::seconds{1});
        const StoredObject older = *m_store.object;
        holder.input.listed[PoolP] = versions({"v1", "v2"});
        run(base::seconds{1});
        holder.versions.onObject(older);
        CPPUNIT_ASSERT(holder.admits(PoolP, "v2"));
        run(base::seconds{1});
        CPPUNIT_ASSERT_EQUAL(2, m_store.writes);
    }

    void testWriteFaults()
    {
        for (const WriteFault fault : {WriteFault::Refused, WriteFault::AnswerLost, WriteFault::AppliedLate}) {
            m_store = ObjectStore{};
            m_routers.clear();
            VersionsRouter &holder = addHolder({"v1"});
            run(base::seconds{1});
            holder.fault = fault;
            holder.input.listed[PoolP] = versions({"v1", "v2"});
            run(base::seconds{2});
            const std::string text = "fault " + std::to_string(static_cast<int>(fault));
            CPPUNIT_ASSERT_MESSAGE(text, holds({"v1", "v2"}) && holder.admits(PoolP, "v2"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 2, m_store.writes);
        }
    }

    void testAbsentVersionIsRemoved()
    {
        VersionsRouter &holder = addHolder({"v1", "v2"});
        VersionsRouter &other = addRouter({"v1", "v2"});
        run(base::seconds{40});
        holder.input.listed[PoolP] = versions({"v2"});
        other.input.listed[PoolP] = versions({"v2"});
        run(StreamTime);
        CPPUNIT_ASSERT(holds({"v1", "v2"}));
        run(3 * Step);
        CPPUNIT_ASSERT(holds({"v2"}));
        CPPUNIT_ASSERT(m_store.record().completeEra == std::uint64_t{0});
        CPPUNIT_ASSERT(!holder.admits(PoolP, "v1"));
        CPPUNIT_ASSERT(!other.admits(PoolP, "v1"));
        run(base::seconds{5});
        CPPUNIT_ASSERT(holds({"v2"}));
    }

    void testVersionThatReturnsStays()
    {
        VersionsRouter &holder = addHolder({"v1", "v2"});
        run(base::seconds{1});
        holder.input.listed[PoolP] = versions({"v2"});
        run(StreamTime - base::seconds{1});
        holder.input.listed[PoolP] = versions({"v1", "v2"});
        run(Step);
        holder.input.listed[PoolP] = versions({"v2"});
        run(StreamTime - base::seconds{1});
        CPPUNIT_ASSERT(holds({"v1", "v2"}));
    }

    void testNewHolderCountsAnew()
    {
        VersionsRouter &holder = addHolder({"v1", "v2"});
        VersionsRouter &next = addRouter({"v1", "v2"});
        run(base::seconds{1});
        holder.input.listed[PoolP] = versions({"v2"});
        next.input.listed[PoolP] = versions({"v2"});
        run(StreamTime - base::seconds{1});
        holder.input.isLeaseHolder = false;
        next.input.isLeaseHolder = true;
        run(StreamTime - base::seconds{1});
        CPPUNIT_ASSERT(holds({"v1", "v2"}));
        // The first holder gets the lease back; what it saw before does not count.
        next.input.isLeaseHolder = false;
        holder.input.isLeaseHolder = true;
        run(StreamTime - base::seconds{1});
        CPPUNIT_ASSERT(holds({"v1", "v2"}));
        run(base::seconds{2});
        CPPUNIT_ASSERT(holds({"v2"}));
    }

    // While the upstreams can't be read, a version may come and go unseen.
    void testGapInTheObservationCountsAnew()
    {
        VersionsRouter &holder = addHolder({"v1", "v2"});
        run(base::seconds{1});
        holder.input.listed[PoolP] = versions({"v2"});
        run(StreamTime - base::seconds{1});
        holder.input.isCurrent = false;
        run(Step);
        holder.input.isCurrent = true;
        run(StreamTime - base::seconds{1});
        CPPUNIT_ASSERT(holds({"v1", "v2"}));
    }

    // An upstream of a removed version appears again: no stream before the version is in the object.
    void testRemovedVersionIsNotAdmitted()
    {
        VersionsRouter &holder = addHolder({"v2"});
        VersionsRouter &other = addRouter({"v2"});
        m_store.object = StoredObject{std::string(SoftwareName), "complete 0 p=v1,v2", m_store.revision, false};
        run(StreamTime + base::seconds{1});
        CPPUNIT_ASSERT(holds({"v2"}));
        holder.input.isLeaseHolder = false;
        other.input.listed[PoolP] = versions({"v1", "v2"});
        run(2 * Step);
        CPPUNIT_ASSERT(!other.admits(PoolP, "v1"));
    }

    // The copy is older than the admission of v2, and no upstream of v2 is listed any more.
    void testRestoredStoreGetsForgottenVersions()
    {
        for (const bool isWatching : {true, false}) {
            m_store = ObjectStore{};
            m_routers.clear();
            forgetAndRestore(isWatching);
        }
    }

    void forgetAndRestore(bool isWatching)
    {
        VersionsRouter &holder = addHolder({"v1"});
        VersionsRouter &other = addRouter({"v1"});
        run(base::seconds{1});
        const auto copy = m_store.object;
        holder.input.listed[PoolP] = versions({"v1", "v2"});
        run(base::seconds{1});
        CPPUNIT_ASSERT(holds({"v1", "v2"}));
        holder.input.listed[PoolP] = versions({"v1"});
        m_store.era = 1;
        m_store.object = copy;
        m_store.object->revision = makeVersion(1, revisionOf(copy->revision));
        holder.input.isLeaseHolder = false; // the lease is not held after a rise
        holder.isWatching = isWatching;
        other.isWatching = isWatching;
        run(base::seconds{3});
        CPPUNIT_ASSERT(holds({"v1", "v2"}));
        CPPUNIT_ASSERT(holder.admits(PoolP, "v2") && other.admits(PoolP, "v2"));
    }

    void testRestoredStoreIsIncompleteForAStreamTime()
    {
        addHolder({"v1"});
        run(base::seconds{50});
        CPPUNIT_ASSERT(m_store.record().completeEra == std::uint64_t{0});
        m_store.era = 1;
        m_store.object->revision = makeVersion(1, revisionOf(m_store.object->revision));
        run(StreamTime);
        CPPUNIT_ASSERT(m_store.record().completeEra != std::uint64_t{1});
        run(3 * Step);
        CPPUNIT_ASSERT(m_store.record().completeEra == std::uint64_t{1});
        CPPUNIT_ASSERT(holds({"v1"}));
    }

    void testRestoredStoreWithoutObjectIsIncomplete()
    {
        VersionsRouter &holder = addHolder({"v1"});
        m_store.era = 2; // this router starts after the rise
        run(base::seconds{2});
        CPPUNIT_ASSERT(holds({"v1"}));
        CPPUNIT_ASSERT(!m_store.record().completeEra);
        CPPUNIT_ASSERT(holder.versions.needsRecords());
        run(StreamTime);
        CPPUNIT_ASSERT(m_store.record().completeEra == std::uint64_t{2});
    }

    void testRemovedObjectIsWrittenAgain()
    {
        VersionsRouter &holder = addHolder({"v1"});
        run(base::seconds{1});
        m_store.object.reset();
        holder.versions.onObjectGone();
        run(base::seconds{1});
        CPPUNIT_ASSERT(holds({"v1"}));
        CPPUNIT_ASSERT_MESSAGE("versions may have been forgotten with it", !m_store.record().completeEra);
    }

    void testNeedsRecords()
    {
        VersionsRouter &holder = addHolder({"v1"});
        run(base::seconds{1});
        CPPUNIT_ASSERT(!holder.versions.needsRecords());
        holder.input.listed[PoolQ] = versions({"v2"});
        run(base::seconds{1});
        CPPUNIT_ASSERT(!holder.versions.needsRecords());
        holder.input.listed[PoolP] = versions({"v2"});
        run(Step);
        CPPUNIT_ASSERT(holder.versions.needsRecords());
        run(StreamTime - base::seconds{1});
        CPPUNIT_ASSERT(holder.versions.needsRecords());
        run(base::seconds{2});
        CPPUNIT_ASSERT(!holder.versions.needsRecords());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SoftwareVersionsTest);

} // namespace carawaylatch::gateway::testing
