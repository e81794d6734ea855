// Tests of the records of streams in virtual time.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/streamorigins.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

namespace
{

const base::TimePoint Start{base::hours{1}};
const base::PoolName Pool("p");
const base::PoolName OtherPool("q");
const base::SoftwareVersion V1("v1");
const base::SoftwareVersion V2("v2");
const base::SoftwareVersion V3("v3");

} // namespace

class StreamOriginsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamOriginsTest);
    CPPUNIT_TEST(testRecordMovesUntilItIsGivenAway);
    CPPUNIT_TEST(testOnePoolWithSeveralVersions);
    CPPUNIT_TEST(testStreamsThatBeganBeforeTheSecondVersion);
    CPPUNIT_TEST(testRecordsEnd);
    CPPUNIT_TEST(testOldestRecordsAreDropped);
    CPPUNIT_TEST(testIdsThatComeAgain);
    CPPUNIT_TEST(testLearnedOriginsAreNotStoredAgain);
    CPPUNIT_TEST(testForwardedStreamsAreForgottenUnlessStored);
    CPPUNIT_TEST(testAdmittedSoftware);
    CPPUNIT_TEST(testRandomSteps);
    CPPUNIT_TEST_SUITE_END();

    StreamOrigins m_origins;
    base::TimePoint m_now = Start;

    static FleetView view(const SoftwareSet &listed, const SoftwareSet &stored, const base::PoolName &pool = Pool)
    {
        FleetView out;
        for (const base::SoftwareVersion &software : listed) {
            Upstream upstream;
            upstream.id = base::UpstreamId(pool.value() + "-" + software.value());
            upstream.pool = pool;
            upstream.software = software;
            out.upstreams.push_back(upstream);
        }
        out.software[pool] = stored;
        return out;
    }
    void send(std::uint64_t stream, const base::SoftwareVersion &software, const base::PoolName &pool = Pool)
    {
        m_origins.onSent(stream, pool, software, m_now);
    }
    // The records that are given away, as "STREAM SOFTWARE" in order, each followed by a space.
    std::string due()
    {
        std::string out;
        for (const StreamOrigin &it : m_origins.takeDue(m_now)) {
            out += std::to_string(it.stream) + ' ' + it.software.value() + ' ';
        }
        return out;
    }
    std::string known(std::uint64_t stream) const
    {
        const auto software = m_origins.find(stream, m_now);
        return software ? software->value() : "-";
    }
    std::string fixed(std::uint64_t stream) const
    {
        const auto software = m_origins.findFixed(stream, m_now);
        return software ? software->value() : "-";
    }

public:
    void setUp() override
    {
        m_origins = StreamOrigins();
        m_now = Start;
    }

    void testRecordMovesUntilItIsGivenAway()
    {
        m_origins.adopt(view({V1, V2}, {V1, V2}));
        send(1, V1);
        CPPUNIT_ASSERT_EQUAL(std::string("-"), fixed(1));
        send(1, V2);
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), known(1));
        CPPUNIT_ASSERT_EQUAL(std::string("1 v2 "), due());
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), fixed(1));
        send(1, V2); // sent again at the same software
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), fixed(1));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("stored already", std::string(), due());
    }

    // Only the streams of a pool with several versions are stored.
    void testOnePoolWithSeveralVersions()
    {
        struct Row
        {
            const char *name;
            SoftwareSet listed;
            SoftwareSet stored;
            std::string due;
        };
        const std::vector<Row> rows{
            {"one", {V1}, {V1}, ""},
            {"one, nothing stored", {V1}, {}, ""},
            {"unnamed", {base::SoftwareVersion()}, {base::SoftwareVersion()}, ""},
            {"two", {V1, V2}, {V1, V2}, "1 v1 "},
            {"the second is not stored yet", {V1, V2}, {V1}, "1 v1 "},
            {"nothing is stored yet", {V1, V2}, {}, "1 v1 "},
            {"the first has left", {V2}, {V1, V2}, "1 v1 "},
            {"named and unnamed", {V1, base::SoftwareVersion()}, {V1, base::SoftwareVersion()}, "1 v1 "},
        };
        for (const Row &row : rows) {
            setUp();
            FleetView both = view(row.listed, row.stored);
            const FleetView other = view({V1}, {V1}, OtherPool);
            both.upstreams.push_back(other.upstreams.front());
            both.software[OtherPool] = {V1};
            m_origins.adopt(both);
            send(1, V1);
            send(2, V1, OtherPool);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.due, due());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("v1"), known(2));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("-"), fixed(2));
        }
    }

    void testStreamsThatBeganBeforeTheSecondVersion()
    {
        m_origins.adopt(view({V1}, {V1}));
        send(1, V1);
        send(2, V1);
        CPPUNIT_ASSERT_EQUAL(std::string(), due());
        m_now += MaxStreamTime / 2;
        send(2, V1);
        send(3, V1, OtherPool);
        m_now += MaxStreamTime / 2;
        m_origins.adopt(view({V1, V2}, {V1}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the first is outdated, the third of another pool", std::string("2 v1 "), due());
        m_origins.adopt(view({V1, V2}, {V1, V2}));
        CPPUNIT_ASSERT_EQUAL(std::string(), due());
    }

    void testRecordsEnd()
    {
        m_origins.adopt(view({V1, V2}, {V1, V2}));
        send(1, V1);
        CPPUNIT_ASSERT_EQUAL(std::string("1 v1 "), due());
        m_now += MaxStreamTime - base::milliseconds{1};
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), known(1));
        m_now += base::milliseconds{1};
        CPPUNIT_ASSERT_EQUAL(std::string("-"), known(1));
        CPPUNIT_ASSERT_EQUAL(std::string("-"), fixed(1));
        send(1, V2); // a new stream
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_origins.size());
        CPPUNIT_ASSERT_EQUAL(std::string("1 v2 "), due());
        m_now += MaxStreamTime;
        CPPUNIT_ASSERT_EQUAL(std::string(), due());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_origins.size());
    }

    void testOldestRecordsAreDropped()
    {
        m_origins.adopt(view({V1}, {V1}));
        for (std::uint64_t stream = 1; stream <= StreamOrigins::MaxStreams + 100; ++stream) {
            send(stream, V1);
            m_now += base::microseconds{1};
        }
        CPPUNIT_ASSERT_EQUAL(StreamOrigins::MaxStreams, m_origins.size());
        CPPUNIT_ASSERT_EQUAL(std::string("-"), known(100));
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), known(101));
        m_origins.adopt(view({V1, V2}, {V1, V2}));
        CPPUNIT_ASSERT_EQUAL(StreamOrigins::MaxStreams, m_origins.takeDue(m_now).size());
        // One that is sent again and again pushes out no other.
        for (std::size_t i = 0; i < 3 * StreamOrigins::MaxStreams; ++i) {
            send(7, V1);
        }
        CPPUNIT_ASSERT_EQUAL(StreamOrigins::MaxStreams, m_origins.size());
        CPPUNIT_ASSERT_EQUAL(std::string("-"), known(101));
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), known(102));
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), known(7));
        send(103, V1);
        for (std::uint64_t stream = 1; stream <= 10; ++stream) {
            send(StreamOrigins::MaxStreams * 2 + stream, V1);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("sent again, so not one of the oldest", std::string("v1"), known(103));
        CPPUNIT_ASSERT_EQUAL(std::string("-"), known(104));
    }

    // The same id is sent again, before and after its record is given away.
    void testIdsThatComeAgain()
    {
        m_origins.adopt(view({V1, V2}, {V1, V2}));
        send(1, V1);
        m_now += MaxStreamTime / 2;
        send(1, V1);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("once", std::string("1 v1 "), due());
        m_now += MaxStreamTime * 3 / 4;
        CPPUNIT_ASSERT_EQUAL_MESSAGE("its time counts from the last", std::string("v1"), known(1));
        send(2, V2); // removes what is outdated
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), fixed(1));
    }

    void testLearnedOriginsAreNotStoredAgain()
    {
        m_origins.adopt(view({V1, V2}, {V1, V2}));
        m_origins.onLearned(1, Pool, V2, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), known(1));
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), fixed(1));
        CPPUNIT_ASSERT_EQUAL(std::string(), due());
    }

    void testForwardedStreamsAreForgottenUnlessStored()
    {
        m_origins.adopt(view({V1}, {V1}));
        send(1, V1);
        send(2, V1);
        m_origins.onForwarded(1);
        m_origins.onForwarded(9); // not known
        CPPUNIT_ASSERT_EQUAL(std::string("-"), known(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_origins.size());
        m_origins.adopt(view({V1, V2}, {V1}));
        CPPUNIT_ASSERT_EQUAL(std::string("2 v1 "), due());
        m_origins.onForwarded(2);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), fixed(2));
        send(1, V2); // the other router did not take it
        m_origins.onForwarded(1);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("due, but forgotten before it was given away", std::string(), due());
    }

    void testAdmittedSoftware()
    {
        struct Row
        {
            const char *step;
            SoftwareSet listed;
            SoftwareSet stored;
            std::string admitted; // "any" if the choice is not limited
        };
        const std::vector<Row> rows{
            {"nothing is stored yet", {V1}, {}, ""},
            {"the first version", {V1}, {V1}, "any"},
            {"a second one appears", {V1, V2}, {V1}, "v1 "},
            {"it is stored", {V1, V2}, {V1, V2}, "any"},
            {"it is removed, and this router still lists it", {V1, V2}, {V1}, "v1 "},
            {"its upstreams are gone for a moment", {V1}, {V1, V2}, "any"},
            {"and are back", {V1, V2}, {V1, V2}, "any"},
            {"the first has left and is removed", {V2}, {V2}, "any"},
            {"it comes back", {V1, V2}, {V2}, "v2 "},
            {"with a third one", {V1, V2, V3}, {V1, V2}, "v1 v2 "},
            {"only the third stays", {V3}, {V1, V2}, "v1 v2 "},
        };
        for (const Row &row : rows) {
            m_origins.adopt(view(row.listed, row.stored));
            const SoftwareSet *admitted = m_origins.admittedOnly(Pool);
            std::string text = admitted == nullptr ? "any" : "";
            for (const base::SoftwareVersion &it : admitted == nullptr ? SoftwareSet{} : *admitted) {
                text += it.value() + ' ';
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.step, row.admitted, text);
            CPPUNIT_ASSERT_MESSAGE(row.step, m_origins.admittedOnly(OtherPool) == nullptr);
        }
    }

    // Against a simple model: what was given away stays what it is while the rules of use are kept.
    void testRandomSteps()
    {
        base::Random random(carawaylatch::testing::seed());
        struct Model
        {
            base::SoftwareVersion software;
            base::TimePoint sentAt;
            bool isStored = false;
        };
        std::map<std::uint64_t, Model> model;
        const SoftwareSet versions{V1, V2, V3};
        m_origins.adopt(view(versions, versions));
        for (int step = 0; step < 20'000; ++step) {
            m_now += base::milliseconds{random.below(200)};
            std::erase_if(model, [this](const auto &it) {
                return m_now - it.second.sentAt >= MaxStreamTime;
            });
            const std::uint64_t stream = random.below(300);
            const auto it = model.find(stream);
            if (random.below(10) == 0) {
                for (const StreamOrigin &given : m_origins.takeDue(m_now)) {
                    CPPUNIT_ASSERT(model.contains(given.stream) && !model[given.stream].isStored);
                    CPPUNIT_ASSERT_EQUAL(model[given.stream].software, given.software);
                    model[given.stream].isStored = true;
                }
                for (const auto &[id, value] : model) {
                    CPPUNIT_ASSERT(value.isStored);
                }
                continue;
            }
            const base::SoftwareVersion chosen = *std::next(versions.begin(), static_cast<std::ptrdiff_t>(random.below(versions.size())));
            const bool isStored = it != model.end() && it->second.isStored;
            CPPUNIT_ASSERT_EQUAL(isStored ? it->second.software.value() : std::string("-"), fixed(stream));
            CPPUNIT_ASSERT_EQUAL(it != model.end() ? it->second.software.value() : std::string("-"), known(stream));
            const base::SoftwareVersion software = isStored ? it->second.software : chosen;
            send(stream, software);
            model[stream] = Model{software, m_now, isStored};
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginsTest);

} // namespace carawaylatch::proxy::testing
