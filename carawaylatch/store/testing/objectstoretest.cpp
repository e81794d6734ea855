// The contract of ObjectStore, checked for MemoryStore and for HttpObjectStore
// against the platform stand-in, and the error that each fault causes.
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include "carawaylatch/store/faultystore.h"
#include "carawaylatch/store/httpobjectstore.h"
#include "carawaylatch/store/memorystore.h"
#include "carawaylatch/store/objectjson.h"
#include "standin/platform.h"

namespace carawaylatch::store::testing
{

using base::ErrorKind;

constexpr base::Duration CallTimeout = base::seconds{20};

class MemoryStoreFixture
{
public:
    ObjectStore &store()
    {
        return m_store;
    }

private:
    MemoryStore m_store;
};

class HttpStoreFixture
{
public:
    HttpStoreFixture()
        : m_platform({})
    {
        CPPUNIT_ASSERT(m_platform.start());
        m_client = std::make_unique<HttpObjectStore>(m_platform.endpoint(), base::FailureDomain("dakar-a"), CallTimeout);
    }
    ObjectStore &store()
    {
        return *m_client;
    }

private:
    standin::Platform m_platform;
    std::unique_ptr<HttpObjectStore> m_client;
};

template <typename Fixture>
class ObjectStoreContract : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ObjectStoreContract);
    CPPUNIT_TEST(testConditionalWrites);
    CPPUNIT_TEST(testValuesAreBinarySafe);
    CPPUNIT_TEST(testListIsSortedByName);
    CPPUNIT_TEST(testWatchWakesOnWriteAndRemoval);
    CPPUNIT_TEST(testOversizedValueIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void testConditionalWrites()
    {
        auto &store = m_fixture.store();
        CPPUNIT_ASSERT(store.read("a").error().kind == ErrorKind::NotFound);
        const auto first = store.write("a", "1", {}).value();
        CPPUNIT_ASSERT(store.write("a", "2", {}).error().kind == ErrorKind::Conflict);
        const auto second = store.write("a", "2", first).value();
        CPPUNIT_ASSERT(second > first);
        CPPUNIT_ASSERT(store.write("a", "3", first).error().kind == ErrorKind::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), store.read("a").value().value);
        CPPUNIT_ASSERT(store.remove("a", first).error().kind == ErrorKind::Conflict);
        CPPUNIT_ASSERT(store.remove("a", second).has_value());
        CPPUNIT_ASSERT(store.remove("a", second).error().kind == ErrorKind::NotFound);
    }

    void testValuesAreBinarySafe()
    {
        std::string bytes;
        for (int i = 0; i < 256; ++i) {
            bytes += static_cast<char>(i);
            static_cast<void>(m_fixture.store().write("b/" + std::to_string(i), bytes, {}).value());
            CPPUNIT_ASSERT(m_fixture.store().read("b/" + std::to_string(i)).value().value == bytes);
        }
    }

    void testListIsSortedByName()
    {
        for (const char *it : {"p/2", "q/1", "p/1"}) {
            static_cast<void>(m_fixture.store().write(it, it, {}).value());
        }
        const auto items = m_fixture.store().list("p/").value().written;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, items.size());
        CPPUNIT_ASSERT_EQUAL(std::string("p/1"), items[0].name);
        CPPUNIT_ASSERT_EQUAL(std::string("p/2"), items[1].value);
    }

    void testWatchWakesOnWriteAndRemoval()
    {
        auto &store = m_fixture.store();
        const auto before = store.list("w/").value().upTo;
        std::jthread writer([&store] {
            static_cast<void>(store.write("other", "x", {}));
            static_cast<void>(store.write("w/1", "x", {}));
        });
        const auto written = store.watch("w/", before, CallTimeout).value();
        CPPUNIT_ASSERT_EQUAL(std::string("w/1"), written.written.at(0).name);
        CPPUNIT_ASSERT(store.remove("w/1", written.written.at(0).version).has_value());
        const auto removed = store.watch("w/", written.upTo, CallTimeout).value();
        CPPUNIT_ASSERT_EQUAL(std::string("w/1"), removed.removed.at(0));
        const auto quiet = store.watch("w/", removed.upTo, base::milliseconds{1}).value();
        CPPUNIT_ASSERT(quiet.written.empty() && quiet.removed.empty());
    }

    void testOversizedValueIsRejected()
    {
        const std::string large(MaxValueBytes + 1, 'x');
        CPPUNIT_ASSERT(m_fixture.store().write("large", large, {}).error().kind == ErrorKind::InvalidArgument);
        CPPUNIT_ASSERT(m_fixture.store().read("large").error().kind == ErrorKind::NotFound);
    }

private:
    Fixture m_fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectStoreContract<MemoryStoreFixture>);
CPPUNIT_TEST_SUITE_REGISTRATION(ObjectStoreContract<HttpStoreFixture>);

struct FaultCase
{
    const char *name;
    const char *httpMode; // fault mode of the stand-in; nullptr if it has none
    StoreFault fault;
    ErrorKind writeError;
    bool tookEffect;
};

constexpr FaultCase FaultCases[] = {
    {"down", "down", StoreFault::Down, ErrorKind::Unavailable, false},
    {"response lost after the write took effect", "lose_answers", StoreFault::ResponseLost, ErrorKind::Unclear, true},
    {"request lost", nullptr, StoreFault::RequestLost, ErrorKind::Unclear, false},
};

class ObjectStoreFaultTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ObjectStoreFaultTest);
    CPPUNIT_TEST(testFaultyStore);
    CPPUNIT_TEST(testHttpStore);
    CPPUNIT_TEST(testPartitionedFailureDomain);
    CPPUNIT_TEST(testConnectionRefused);
    CPPUNIT_TEST(testDecodersRejectInvalidText);
    CPPUNIT_TEST_SUITE_END();

public:
    void testFaultyStore()
    {
        for (const auto &it : FaultCases) {
            MemoryStore inner;
            FaultyStore store(inner);
            store.inject(it.fault, 1);
            CPPUNIT_ASSERT_MESSAGE(it.name, store.write("x", "1", {}).error().kind == it.writeError);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.tookEffect, inner.read("x").has_value());
            CPPUNIT_ASSERT_MESSAGE(it.name, store.write("y", "1", {}).has_value());
        }
    }

    void testHttpStore()
    {
        for (const auto &it : FaultCases) {
            if (it.httpMode == nullptr) {
                continue;
            }
            standin::Platform platform({});
            CPPUNIT_ASSERT(platform.start());
            HttpObjectStore store(platform.endpoint(), base::FailureDomain("dakar-a"), CallTimeout);
            platform.injectFault({it.httpMode, 1, {}, {}, 0});
            CPPUNIT_ASSERT_MESSAGE(it.name, store.write("x", "1", {}).error().kind == it.writeError);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.tookEffect, platform.store().read("x").has_value());
            CPPUNIT_ASSERT_MESSAGE(it.name, store.write("y", "1", {}).has_value());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, store.calls().failures);
        }
    }

    void testPartitionedFailureDomain()
    {
        standin::Platform platform({});
        CPPUNIT_ASSERT(platform.start());
        HttpObjectStore partitioned(platform.endpoint(), base::FailureDomain("dakar-a"), CallTimeout);
        HttpObjectStore connected(platform.endpoint(), base::FailureDomain("dakar-b"), CallTimeout);
        platform.injectFault({"down", 0, "dakar-a", {}, 0});
        CPPUNIT_ASSERT(partitioned.write("x", "1", {}).error().kind == ErrorKind::Unavailable);
        CPPUNIT_ASSERT(connected.write("x", "1", {}).has_value());
        platform.injectFault({"up", 0, "dakar-a", {}, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("1"), partitioned.read("x").value().value);
    }

    void testConnectionRefused()
    {
        standin::Platform platform({});
        CPPUNIT_ASSERT(platform.start());
        const auto endpoint = platform.endpoint();
        platform.stop();
        HttpObjectStore store(endpoint, base::FailureDomain("dakar-a"), base::seconds{1});
        CPPUNIT_ASSERT(store.write("x", "1", {}).error().kind == ErrorKind::Unavailable);
        CPPUNIT_ASSERT(store.read("x").error().kind == ErrorKind::Unavailable);
    }

    void testDecodersRejectInvalidText()
    {
        for (const char *it :
             {"", "{", "[]", "{}", R"({"name":1,"version":2,"value":""})", R"({"name":"a","version":2,"value":"*"})", R"({"items":[{}],"version":1})"}) {
            CPPUNIT_ASSERT_MESSAGE(it, decodeObject(it).error().kind == ErrorKind::InvalidArgument);
            CPPUNIT_ASSERT_MESSAGE(it, decodeChanges(it).error().kind == ErrorKind::InvalidArgument);
            CPPUNIT_ASSERT_MESSAGE(it, decodeVms(it).error().kind == ErrorKind::InvalidArgument);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectStoreFaultTest);

} // namespace carawaylatch::store::testing
