// Contract of ClaimStore, run against both implementations: compare-and-set of
// one record, faults of the platform, closed keys, races, and generated
// operations against a map.
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/orders/claimjournal.h"
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

// Kind of a failure; Cancelled, which no store returns, for a success.
template <typename T>
ErrorKind failureOf(const base::Result<T> &result)
{
    return result ? ErrorKind::Cancelled : result.error().kind;
}

// A store under test with its platform and its faults.
struct Bed
{
    store::MemoryStore platform;
    store::FaultyStore faulty{platform};
    std::unique_ptr<ClaimStore> store;
    std::function<void(const OrderId &, std::uint64_t epoch)> pruneBefore;
};

using MakeBed = std::unique_ptr<Bed> (*)();

std::unique_ptr<Bed> makeSingle()
{
    auto bed = std::make_unique<Bed>();
    bed->store = std::make_unique<SingleClaimStore>(bed->faulty);
    bed->pruneBefore = [raw = bed.get()](const OrderId &order, std::uint64_t) {
        ClosedSet closed;
        const std::uint64_t digests[] = {order.hash()};
        CPPUNIT_ASSERT(closed.add(digests));
        CPPUNIT_ASSERT(raw->platform.write(closedObjectName(order), closed.encode(), {}));
        const auto object = raw->platform.read(recordObjectName(order));
        CPPUNIT_ASSERT(raw->platform.remove(object.value().name, object.value().version));
    };
    return bed;
}

std::unique_ptr<Bed> makeJournal()
{
    auto bed = std::make_unique<Bed>();
    auto journal = std::make_unique<JournalClaimStore>(bed->faulty, JournalSettings{4, 500, 20});
    bed->pruneBefore = [raw = journal.get()](const OrderId &order, std::uint64_t epoch) {
        CPPUNIT_ASSERT(raw->prune(static_cast<std::uint32_t>(order.hash() % 4), epoch).value() == 1);
    };
    bed->store = std::move(journal);
    return bed;
}

constexpr MakeBed AllBeds[] = {makeSingle, makeJournal};

} // namespace

class ClaimStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimStoreTest);
    CPPUNIT_TEST(testComparesAndSets);
    CPPUNIT_TEST(testFaults);
    CPPUNIT_TEST(testClosedKeyIsNeverClaimed);
    CPPUNIT_TEST(testOneOfManyRacersWins);
    CPPUNIT_TEST(testTwoStoresOnOnePlatform);
    CPPUNIT_TEST(testAgainstMap);
    CPPUNIT_TEST(testRejectsForeignBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    void testComparesAndSets()
    {
        for (const MakeBed make : AllBeds) {
            const auto bed = make();
            CPPUNIT_ASSERT_EQUAL(base::errorKindName(ErrorKind::NotFound), base::errorKindName(failureOf(bed->store->read(orderId(1)))));
            const auto first = bed->store->write(orderId(1), record(1), {});
            CPPUNIT_ASSERT(first && first.value().value != 0);
            CPPUNIT_ASSERT_EQUAL(base::errorKindName(ErrorKind::Conflict), base::errorKindName(failureOf(bed->store->write(orderId(1), record(2), {}))));
            const auto second = bed->store->write(orderId(1), record(1, RecordState::Done), first.value());
            CPPUNIT_ASSERT(second && second.value() > first.value());
            CPPUNIT_ASSERT_EQUAL(base::errorKindName(ErrorKind::Conflict),
                                 base::errorKindName(failureOf(bed->store->write(orderId(1), record(3), first.value()))));
            const auto found = bed->store->read(orderId(1));
            CPPUNIT_ASSERT(found.value().record == record(1, RecordState::Done) && found.value().version == second.value());
            CPPUNIT_ASSERT_EQUAL(base::errorKindName(ErrorKind::NotFound), base::errorKindName(failureOf(bed->store->read(orderId(2)))));
        }
    }

    // Every fault at every call of a write: the error never says less than what happened.
    void testFaults()
    {
        for (const MakeBed make : AllBeds) {
            for (const StoreFault fault : store::AllStoreFaults) {
                for (const std::uint64_t skip : {0U, 1U, 2U}) {
                    for (const std::uint64_t calls : {std::uint64_t{1}, UINT64_MAX}) {
                        const auto bed = make();
                        bed->faulty.inject(fault, calls, skip);
                        const auto written = bed->store->write(orderId(1), record(1), {});
                        bed->faulty.inject(StoreFault::None);
                        checkOutcome(*bed, written);
                    }
                }
            }
        }
    }

    // The pruner acts while a claim is under way, at every call of the claim.
    void testClosedKeyIsNeverClaimed()
    {
        for (const MakeBed make : AllBeds) {
            const auto bed = make();
            const auto first = bed->store->write(orderId(1), record(1), {});
            CPPUNIT_ASSERT(first);
            bed->pruneBefore(orderId(1), 1);
            CPPUNIT_ASSERT_EQUAL(base::errorKindName(ErrorKind::StaleState), base::errorKindName(failureOf(bed->store->write(orderId(1), record(2), {}))));
            CPPUNIT_ASSERT_EQUAL(base::errorKindName(ErrorKind::StaleState), base::errorKindName(failureOf(bed->store->read(orderId(1)))));
            CPPUNIT_ASSERT(bed->store->write(orderId(2), record(3), {}));
        }
    }

    void testOneOfManyRacersWins()
    {
        constexpr std::uint64_t Racers = 8;
        constexpr std::uint64_t Orders = 50;
        for (const MakeBed make : AllBeds) {
            const auto bed = make();
            std::atomic<std::uint64_t> wins = 0;
            std::vector<std::thread> threads;
            for (std::uint64_t racer = 1; racer <= Racers; ++racer) {
                threads.emplace_back([&bed, &wins, racer] {
                    for (std::uint64_t n = 0; n < Orders; ++n) {
                        wins += bed->store->write(orderId(n), record(racer), {}) ? 1 : 0;
                    }
                });
            }
            for (std::thread &it : threads) {
                it.join();
            }
            CPPUNIT_ASSERT_EQUAL(Orders, wins.load());
        }
    }

    // Two routers with a journal each on one platform: a cached image must not decide.
    void testTwoStoresOnOnePlatform()
    {
        store::MemoryStore platform;
        JournalClaimStore one(platform, JournalSettings{1, 500, 20});
        JournalClaimStore two(platform, JournalSettings{1, 500, 20});
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
        for (const MakeBed make : AllBeds) {
            const auto bed = make();
            base::Random random(carawaylatch::testing::seed());
            std::map<std::uint64_t, VersionedRecord> model;
            for (int step = 0; step < Steps; ++step) {
                const std::uint64_t n = random.below(20);
                const auto it = model.find(n);
                const Version present = it == model.end() ? Version{} : it->second.version;
                const Version expected = random.below(4) == 0 ? Version{random.below(50)} : present;
                bed->faulty.inject(store::AllStoreFaults[random.below(4)], 1 + random.below(2), random.below(3));
                const OrderRecord value = record(static_cast<std::uint64_t>(step) + 1, static_cast<RecordState>(random.below(4)));
                const auto written = bed->store->write(orderId(n), value, expected);
                bed->faulty.inject(StoreFault::None);
                const auto found = bed->store->read(orderId(n));
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

    void testRejectsForeignBytes()
    {
        CPPUNIT_ASSERT(!decodeRecord("\xff\xff\xff"));
        CPPUNIT_ASSERT(!decodeRecord(""));
        CPPUNIT_ASSERT(!JournalImage::decode("\xff\xff\xff"));
        CPPUNIT_ASSERT(!ClosedSet::decode("short"));
        for (const char *key : {"plain", "a/b c", "~", "\xc3\xa9\n", ""}) {
            const OrderId order{base::CustomerId("a b"), key};
            CPPUNIT_ASSERT(OrderId::fromPath(order.path()).value() == order);
        }
        CPPUNIT_ASSERT(!OrderId::fromPath("no-slash"));
        CPPUNIT_ASSERT(!OrderId::fromPath("a/~g0"));
    }

private:
    static void checkOutcome(Bed &bed, const base::Result<Version> &written)
    {
        const auto found = bed.store->read(orderId(1));
        if (written) {
            CPPUNIT_ASSERT(found && found.value().record == record(1) && found.value().version == written.value());
            return;
        }
        const ErrorKind kind = written.error().kind;
        CPPUNIT_ASSERT(kind == ErrorKind::Unclear || kind == ErrorKind::Unavailable);
        CPPUNIT_ASSERT(kind == ErrorKind::Unclear || failureOf(found) == ErrorKind::NotFound);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimStoreTest);

} // namespace carawaylatch::orders::testing
