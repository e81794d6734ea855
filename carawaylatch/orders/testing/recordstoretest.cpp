// Contract of OrderRecordStore, run against both implementations: compare-and-set of
// one record, faults of the object store, closed keys, concurrent writers, and random
// operations compared with a map.
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/orders/journalrecordstore.h"
#include "carawaylatch/orders/retention.h"
#include "carawaylatch/store/faultystore.h"
#include "carawaylatch/store/memorystore.h"
#include "testing/seed.h"

namespace carawaylatch::orders::testing
{

using base::ErrorKind;
using store::StoreFault;
using store::Version;

namespace
{

OrderId orderId(std::uint64_t n)
{
    return OrderId{base::CustomerId("acme"), "key " + std::to_string(n)};
}

OrderRecord record(std::uint64_t attempt, RecordState state = RecordState::Claimed)
{
    OrderRecord out;
    out.state = state;
    out.claimant = Claimant{base::RouterId("r1"), base::Incarnation{7}, base::AttemptId{attempt}};
    out.requestDigest = 42;
    out.answer = StoredAnswer{state == RecordState::Done ? 200 : 0, "text/plain", std::string("a\0b", 3)};
    return out;
}

// Returns the kind of a failure; Cancelled, which no store returns, on success.
template <typename T>
ErrorKind failureOf(const base::Result<T> &result)
{
    return result ? ErrorKind::Cancelled : result.error().kind;
}

// A store under test, the object store below it and its faults.
struct StoreFixture
{
    store::MemoryStore platform;
    store::FaultyStore faulty{platform};
    std::unique_ptr<OrderRecordStore> store;
    std::function<void(const OrderId &, std::uint64_t epoch)> pruneBefore;
};

using MakeFixture = std::unique_ptr<StoreFixture> (*)();

std::unique_ptr<StoreFixture> makeObjectStore()
{
    auto fixture = std::make_unique<StoreFixture>();
    fixture->store = std::make_unique<ObjectRecordStore>(fixture->faulty);
    fixture->pruneBefore = [raw = fixture.get()](const OrderId &order, std::uint64_t) {
        ClosedKeySet closed;
        const std::uint64_t digests[] = {order.hash()};
        CPPUNIT_ASSERT(closed.add(digests));
        CPPUNIT_ASSERT(raw->platform.write(closedObjectName(order), closed.encode(), {}));
        const auto object = raw->platform.read(recordObjectName(order));
        CPPUNIT_ASSERT(raw->platform.remove(object.value().name, object.value().version));
    };
    return fixture;
}

std::unique_ptr<StoreFixture> makeJournalStore()
{
    auto fixture = std::make_unique<StoreFixture>();
    auto journal = std::make_unique<JournalRecordStore>(fixture->faulty, JournalSettings{4, 500, 20});
    fixture->pruneBefore = [raw = journal.get()](const OrderId &order, std::uint64_t epoch) {
        CPPUNIT_ASSERT(raw->prune(static_cast<std::uint32_t>(order.hash() % 4), epoch).value() == 1);
    };
    fixture->store = std::move(journal);
    return fixture;
}

constexpr MakeFixture AllFixtures[] = {makeObjectStore, makeJournalStore};

} // namespace

class OrderRecordStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderRecordStoreTest);
    CPPUNIT_TEST(testComparesAndSets);
    CPPUNIT_TEST(testFaults);
    CPPUNIT_TEST(testClosedKeyIsNeverClaimed);
    CPPUNIT_TEST(testOneConcurrentClaimWins);
    CPPUNIT_TEST(testTwoStoresOnOnePlatform);
    CPPUNIT_TEST(testAgainstMap);
    CPPUNIT_TEST(testRejectsMalformedBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    void testComparesAndSets()
    {
        for (const MakeFixture make : AllFixtures) {
            const auto fixture = make();
            CPPUNIT_ASSERT_EQUAL(base::errorKindName(ErrorKind::NotFound), base::errorKindName(failureOf(fixture->store->read(orderId(1)))));
            const auto first = fixture->store->write(orderId(1), record(1), {});
            CPPUNIT_ASSERT(first && first.value().value != 0);
            CPPUNIT_ASSERT_EQUAL(base::errorKindName(ErrorKind::Conflict), base::errorKindName(failureOf(fixture->store->write(orderId(1), record(2), {}))));
            const auto second = fixture->store->write(orderId(1), record(1, RecordState::Done), first.value());
            CPPUNIT_ASSERT(second && second.value() > first.value());
            CPPUNIT_ASSERT_EQUAL(base::errorKindName(ErrorKind::Conflict),
                                 base::errorKindName(failureOf(fixture->store->write(orderId(1), record(3), first.value()))));
            const auto found = fixture->store->read(orderId(1));
            CPPUNIT_ASSERT(found.value().record == record(1, RecordState::Done) && found.value().version == second.value());
            CPPUNIT_ASSERT_EQUAL(base::errorKindName(ErrorKind::NotFound), base::errorKindName(failureOf(fixture->store->read(orderId(2)))));
        }
    }

    // Every fault at every call of a write: an error other than Unclear means that nothing was written.
    void testFaults()
    {
        for (const MakeFixture make : AllFixtures) {
            for (const StoreFault fault : store::AllStoreFaults) {
                for (const std::uint64_t skip : {0U, 1U, 2U}) {
                    for (const std::uint64_t calls : {std::uint64_t{1}, UINT64_MAX}) {
                        const auto fixture = make();
                        fixture->faulty.inject(fault, calls, skip);
                        const auto written = fixture->store->write(orderId(1), record(1), {});
                        fixture->faulty.inject(StoreFault::None);
                        checkOutcome(*fixture, written);
                    }
                }
            }
        }
    }

    // A pruned key can be neither claimed nor read.
    void testClosedKeyIsNeverClaimed()
    {
        for (const MakeFixture make : AllFixtures) {
            const auto fixture = make();
            const auto first = fixture->store->write(orderId(1), record(1), {});
            CPPUNIT_ASSERT(first);
            fixture->pruneBefore(orderId(1), 1);
            CPPUNIT_ASSERT_EQUAL(base::errorKindName(ErrorKind::StaleState), base::errorKindName(failureOf(fixture->store->write(orderId(1), record(2), {}))));
            CPPUNIT_ASSERT_EQUAL(base::errorKindName(ErrorKind::StaleState), base::errorKindName(failureOf(fixture->store->read(orderId(1)))));
            CPPUNIT_ASSERT(fixture->store->write(orderId(2), record(3), {}));
        }
    }

    void testOneConcurrentClaimWins()
    {
        constexpr std::uint64_t Claimants = 8;
        constexpr std::uint64_t Orders = 50;
        for (const MakeFixture make : AllFixtures) {
            const auto fixture = make();
            std::atomic<std::uint64_t> wins = 0;
            std::vector<std::thread> threads;
            for (std::uint64_t claimant = 1; claimant <= Claimants; ++claimant) {
                threads.emplace_back([&fixture, &wins, claimant] {
                    for (std::uint64_t n = 0; n < Orders; ++n) {
                        wins += fixture->store->write(orderId(n), record(claimant), {}) ? 1 : 0;
                    }
                });
            }
            for (std::thread &it : threads) {
                it.join();
            }
            CPPUNIT_ASSERT_EQUAL(Orders, wins.load());
        }
    }

    // Two routers with a journal store each on one object store: an outdated cached image must not decide.
    void testTwoStoresOnOnePlatform()
    {
        store::MemoryStore platform;
        JournalRecordStore one(platform, JournalSettings{1, 500, 20});
        JournalRecordStore two(platform, JournalSettings{1, 500, 20});
        const auto first = one.write(orderId(1), record(1), {});
        CPPUNIT_ASSERT_EQUAL(base::errorKindName(ErrorKind::Conflict), base::errorKindName(failureOf(two.write(orderId(1), record(2), {}))));
        CPPUNIT_ASSERT(two.write(orderId(1), record(1, RecordState::Reopened), first.value()));
        const auto reopened = two.read(orderId(1));
        CPPUNIT_ASSERT(one.write(orderId(1), record(3), reopened.value().version));
        CPPUNIT_ASSERT(two.write(orderId(2), record(4), {}));
        CPPUNIT_ASSERT(one.read(orderId(1)).value().record == record(3));
        CPPUNIT_ASSERT(one.counters().conflicts + two.counters().conflicts > 0);
    }

    void testAgainstMap()
    {
        constexpr int Steps = 2000;
        for (const MakeFixture make : AllFixtures) {
            const auto fixture = make();
            base::Random random(carawaylatch::testing::seed());
            std::map<std::uint64_t, VersionedRecord> model;
            for (int step = 0; step < Steps; ++step) {
                const std::uint64_t n = random.below(20);
                const auto it = model.find(n);
                const Version present = it == model.end() ? Version{} : it->second.version;
                const Version expected = random.below(4) == 0 ? Version{random.below(50)} : present;
                fixture->faulty.inject(store::AllStoreFaults[random.below(4)], 1 + random.below(2), random.below(3));
                const OrderRecord value = record(static_cast<std::uint64_t>(step) + 1, static_cast<RecordState>(random.below(4)));
                const auto written = fixture->store->write(orderId(n), value, expected);
                fixture->faulty.inject(StoreFault::None);
                const auto found = fixture->store->read(orderId(n));
                const bool isWritten = found && found.value().record == value;
                if (written) {
                    CPPUNIT_ASSERT(isWritten && found.value().version == written.value());
                } else if (written.error().kind != ErrorKind::Unclear) {
                    CPPUNIT_ASSERT(!isWritten);
                }
                CPPUNIT_ASSERT(!isWritten || expected == present);
                if (isWritten) {
                    model[n] = found.value();
                } else if (it != model.end()) {
                    CPPUNIT_ASSERT(found.value().record == it->second.record);
                }
            }
        }
    }

    void testRejectsMalformedBytes()
    {
        CPPUNIT_ASSERT(!decodeRecord("\xff\xff\xff"));
        CPPUNIT_ASSERT(!decodeRecord(""));
        CPPUNIT_ASSERT(!JournalImage::decode("\xff\xff\xff"));
        CPPUNIT_ASSERT(!ClosedKeySet::decode("short"));
        for (const char *key : {"plain", "a/b c", "~", "\xc3\xa9\n", ""}) {
            const OrderId order{base::CustomerId("a b"), key};
            CPPUNIT_ASSERT(OrderId::fromPath(order.path()).value() == order);
        }
        CPPUNIT_ASSERT(!OrderId::fromPath("no-slash"));
        CPPUNIT_ASSERT(!OrderId::fromPath("a/~g0"));
    }

private:
    static void checkOutcome(StoreFixture &fixture, const base::Result<Version> &written)
    {
        const auto found = fixture.store->read(orderId(1));
        if (written) {
            CPPUNIT_ASSERT(found && found.value().record == record(1) && found.value().version == written.value());
            return;
        }
        const ErrorKind kind = written.error().kind;
        CPPUNIT_ASSERT(kind == ErrorKind::Unclear || kind == ErrorKind::Unavailable);
        CPPUNIT_ASSERT(kind == ErrorKind::Unclear || failureOf(found) == ErrorKind::NotFound);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderRecordStoreTest);

} // namespace carawaylatch::orders::testing
