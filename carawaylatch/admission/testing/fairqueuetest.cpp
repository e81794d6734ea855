// Fair queueing, drain rate and early rejection.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "carawaylatch/admission/fairqueue.h"
#include "carawaylatch/admission/overload.h"
#include "carawaylatch/base/hash.h"
#include "testing/seed.h"

namespace carawaylatch::admission::testing
{

namespace
{

constexpr base::TimePoint Start = base::TimePoint{base::hours{1}};
constexpr auto Interactive = base::TrafficClass::Interactive;
constexpr auto Batch = base::TrafficClass::Batch;

const auto All = [](const base::CustomerId &) {
    return true;
};

QueueEntry entry(std::uint64_t id, const std::string &customer, std::uint64_t tokens = 1000, base::TrafficClass trafficClass = Interactive,
                 base::TimePoint enqueued = Start)
{
    return {.id = id,
            .customer = base::CustomerId(customer),
            .trafficClass = trafficClass,
            .tokens = tokens,
            .enqueued = enqueued,
            .deadline = enqueued + base::seconds{30}};
}

} // namespace

class FairQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairQueueTest);
    CPPUNIT_TEST(testSharesByWeightAndTokens);
    CPPUNIT_TEST(testOneCustomerCannotStarveAnother);
    CPPUNIT_TEST(testInteractiveFirstAndBatchAges);
    CPPUNIT_TEST(testBounds);
    CPPUNIT_TEST(testAgainstReferenceModel);
    CPPUNIT_TEST(testDrainRate);
    CPPUNIT_TEST(testOverload);
    CPPUNIT_TEST_SUITE_END();

public:
    // Backlogged customers get tokens in proportion to their weights, whatever the request sizes.
    void testSharesByWeightAndTokens()
    {
        FairQueue queue;
        queue.setWeights({{base::CustomerId("a"), 1}, {base::CustomerId("b"), 2}, {base::CustomerId("c"), 0.5}});
        const std::map<std::string, std::uint64_t> sizes = {{"a", 500}, {"b", 30'000}, {"c", 3'000}};
        std::uint64_t id = 0;
        for (const auto &[customer, tokens] : sizes) {
            for (int i = 0; i < 2000; ++i) {
                CPPUNIT_ASSERT(queue.push(entry(++id, customer, tokens)));
            }
        }
        std::map<std::string, double> served;
        double sum = 0;
        while (sum < 2'000'000) {
            const auto it = queue.pop(Start, All);
            served[it->customer.value()] += static_cast<double>(it->tokens);
            sum += static_cast<double>(it->tokens);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1 / 3.5, served["a"] / sum, 0.03);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2 / 3.5, served["b"] / sum, 0.03);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5 / 3.5, served["c"] / sum, 0.03);
    }

    // However many requests one customer queues, another customer's request waits for one round at most.
    void testOneCustomerCannotStarveAnother()
    {
        FairQueue queue;
        for (std::uint64_t i = 1; i <= 1000; ++i) {
            CPPUNIT_ASSERT(queue.push(entry(i, "flood", 4000)));
        }
        (void)queue.pop(Start, All);
        CPPUNIT_ASSERT(queue.push(entry(5000, "small", 4000)));
        int before = 0;
        while (queue.pop(Start, All)->id != 5000) {
            ++before;
        }
        CPPUNIT_ASSERT(before <= 2);
        // A customer that leaves the ring does not make another one lose its visit.
        FairQueue ring;
        for (std::uint64_t id = 0; id < 12; ++id) {
            CPPUNIT_ASSERT(ring.push(entry(id, std::string(1, static_cast<char>('a' + id % 3)), 2000)));
        }
        std::string order;
        for (int i = 0; i < 5; ++i) {
            order += ring.pop(Start, All)->customer.value();
        }
        CPPUNIT_ASSERT(ring.remove(6) && ring.remove(9)); // the remaining entries of a
        for (int i = 0; i < 3; ++i) {
            order += ring.pop(Start, All)->customer.value();
        }
        CPPUNIT_ASSERT_EQUAL(std::string("aabbccbb"), order);
        // A customer that may not start is skipped and keeps its position.
        CPPUNIT_ASSERT(queue.push(entry(5001, "small", 4000)));
        const auto onlySmall = [](const base::CustomerId &it) {
            return it.value() == "small";
        };
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5001}, queue.pop(Start, onlySmall)->id);
        CPPUNIT_ASSERT(!queue.pop(Start, onlySmall));
    }

    void testInteractiveFirstAndBatchAges()
    {
        FairQueue queue({.batchAgingTime = base::seconds{5}});
        for (std::uint64_t i = 1; i <= 10; ++i) {
            CPPUNIT_ASSERT(queue.push(entry(i, "a", 1000, Batch)));
            CPPUNIT_ASSERT(queue.push(entry(100 + i, "b", 1000, Interactive)));
        }
        CPPUNIT_ASSERT(queue.pop(Start + base::seconds{4}, All)->trafficClass == Interactive);
        const auto late = Start + base::seconds{5};
        for (int i = 0; i < 4; ++i) { // aged batch work gets every second turn and no more
            CPPUNIT_ASSERT(queue.pop(late, All)->trafficClass == Batch);
            CPPUNIT_ASSERT(queue.pop(late, All)->trafficClass == Interactive);
        }
        const auto onlyB = [](const base::CustomerId &it) {
            return it.value() == "b";
        };
        CPPUNIT_ASSERT(queue.pop(late, onlyB)->trafficClass == Interactive);
    }

    void testBounds()
    {
        FairQueue queue({.maxEntries = 3, .maxEntriesPerCustomer = 2});
        CPPUNIT_ASSERT(queue.push(entry(1, "a")) && queue.push(entry(2, "a")));
        CPPUNIT_ASSERT(queue.push(entry(3, "a")).error().kind == base::ErrorKind::LimitExceeded);
        CPPUNIT_ASSERT(queue.push(entry(1, "b")).error().kind == base::ErrorKind::InvalidArgument);
        CPPUNIT_ASSERT(queue.push(entry(4, "b")));
        CPPUNIT_ASSERT(queue.push(entry(5, "c")).error().kind == base::ErrorKind::Overloaded);
        CPPUNIT_ASSERT(queue.remove(2) && !queue.remove(2));
        CPPUNIT_ASSERT(queue.push(entry(6, "a")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3000}, queue.queuedTokens());
    }

    // Compares generated pushes, pops and removals with one list per customer and
    // class: no entry is lost or returned twice, and each list is first in, first out.
    void testAgainstReferenceModel()
    {
        base::Random random(carawaylatch::testing::seed());
        FairQueue queue;
        std::map<std::pair<std::string, base::TrafficClass>, std::vector<std::uint64_t>> lists;
        std::size_t size = 0;
        for (std::uint64_t id = 1; id <= 20'000; ++id) {
            const auto now = Start + base::milliseconds{id};
            const std::string customer(1, static_cast<char>('a' + random.below(6)));
            const auto trafficClass = random.below(3) == 0 ? Batch : Interactive;
            auto &list = lists[{customer, trafficClass}];
            if (random.below(10) < 5) {
                CPPUNIT_ASSERT(queue.push(entry(id, customer, 1 + random.below(100'000), trafficClass, now)));
                list.push_back(id);
                ++size;
            } else if (random.below(10) == 0 && !list.empty()) {
                const std::size_t i = random.below(list.size());
                CPPUNIT_ASSERT(queue.remove(list[i]));
                list.erase(list.begin() + static_cast<std::ptrdiff_t>(i));
                --size;
            } else {
                const auto barred = static_cast<char>('a' + random.below(6));
                const auto eligible = [&](const base::CustomerId &it) {
                    return it.value()[0] != barred;
                };
                if (const auto it = queue.pop(now, eligible)) {
                    auto &from = lists[{it->customer.value(), it->trafficClass}];
                    CPPUNIT_ASSERT(it->customer.value()[0] != barred);
                    CPPUNIT_ASSERT_EQUAL(from.front(), it->id);
                    from.erase(from.begin());
                    --size;
                } else {
                    for (const auto &[key, entries] : lists) {
                        CPPUNIT_ASSERT(entries.empty() || key.first[0] == barred);
                    }
                }
            }
            CPPUNIT_ASSERT_EQUAL(size, queue.size());
        }
    }

    void testDrainRate()
    {
        DrainRate rate(base::seconds{5});
        CPPUNIT_ASSERT(!rate.perSecond(Start));
        auto now = Start;
        for (int i = 0; i < 600; ++i) {
            rate.add(100, now);
            now += base::milliseconds{100};
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, *rate.perSecond(now), 50);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500, *rate.perSecond(now + base::seconds{5}), 30); // no completion since
    }

    void testOverload()
    {
        OverloadPolicy policy({.minRetryAfter = base::milliseconds{100}, .maxRetryAfter = base::seconds{30}, .jitter = 0.5, .seed = 1});
        struct Row
        {
            base::Duration wait;
            base::Duration deadline;
            bool passes;
        };
        for (const Row &row : std::vector<Row>{{base::seconds{1}, base::seconds{2}, true},
                                               {base::seconds{2}, base::seconds{2}, false},
                                               {base::seconds{90}, base::seconds{2}, false},
                                               {base::seconds{0}, base::seconds{0}, false}}) {
            const auto checked = policy.check(row.wait, Start + row.deadline, Start);
            CPPUNIT_ASSERT_EQUAL(row.passes, checked.has_value());
            if (!checked) {
                const auto least = std::clamp<base::Duration>(row.wait, base::milliseconds{100}, base::seconds{30});
                CPPUNIT_ASSERT(checked.error().kind == base::ErrorKind::Overloaded);
                CPPUNIT_ASSERT(checked.error().retryAfter >= least && checked.error().retryAfter <= least * 3 / 2);
            }
        }
        CPPUNIT_ASSERT(policy.retryAfter(base::seconds{10}) != policy.retryAfter(base::seconds{10}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

} // namespace carawaylatch::admission::testing
