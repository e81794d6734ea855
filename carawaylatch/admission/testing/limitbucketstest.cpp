// A coordinator's buckets: what a bucket gives, when it sends callers away until, and what
// changes of shares and limits do to its level.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <vector>

#include "carawaylatch/admission/limitbuckets.h"
#include "carawaylatch/base/hash.h"

namespace carawaylatch::admission::testing
{

namespace
{

constexpr base::TimePoint Start = base::TimePoint{base::hours{1}};
constexpr double Tolerance = 1e-3;
const base::CustomerId Customer("acme");
const CustomerKey Key = base::hash64("acme");
const CustomerLimit Usual{.unit = LimitUnit::Tokens, .perSecond = 46'000, .burst = 46'000, .defaultTokens = 860};
const LimitTolerance Tolerated{.slack = 110'000, .maxQueueWait = base::seconds{1}};

struct Buckets
{
    base::TimePoint now = Start;
    LimitBuckets buckets{Start};

    explicit Buckets(const CustomerLimit &limit = Usual, double share = 1)
    {
        configure(limit);
        hold(share);
    }
    void configure(const CustomerLimit &limit)
    {
        buckets.configure(std::vector{NamedLimit{.customer = Customer, .limit = limit}}, Tolerated, now);
    }
    void hold(double share)
    {
        buckets.setHeldShare(limitGroup(Key), share, now);
    }
    [[nodiscard]] double level() const
    {
        return buckets.level(Key, now);
    }
    TokenGrantEntry take(std::uint32_t needed, std::uint32_t smallest = 0, std::uint32_t extra = 0)
    {
        return buckets.take({.customer = Key, .needed = needed, .smallest = smallest != 0 ? smallest : needed, .extra = extra}, now);
    }
};

std::int64_t retryMs(const TokenGrantEntry &entry)
{
    CPPUNIT_ASSERT(entry.verdict == GrantVerdict::Denied);
    return base::toMilliseconds(entry.retryAfter);
}

} // namespace

class LimitBucketsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitBucketsTest);
    CPPUNIT_TEST(testCapacity);
    CPPUNIT_TEST(testGrants);
    CPPUNIT_TEST(testNothingFromPartsOfTokens);
    CPPUNIT_TEST(testDeniedRequestsHavePlaces);
    CPPUNIT_TEST(testFloodOfDenialsIsBounded);
    CPPUNIT_TEST(testTooLarge);
    CPPUNIT_TEST(testMovesMakeNoTokens);
    CPPUNIT_TEST(testChangedLimits);
    CPPUNIT_TEST(testFractionalRate);
    CPPUNIT_TEST(testRetryOfSlowRates);
    CPPUNIT_TEST(testGeneratedRunsStayBelowLine);
    CPPUNIT_TEST_SUITE_END();

public:
    // A capacity above what the tolerance leaves breaks the bound; one below the burst without need loses throughput.
    void testCapacity()
    {
        struct Case
        {
            double rate, burst, slack;
            base::Duration queueWait;
            double expected;
        };
        for (const Case &it : {Case{46'000, 46'000, 110'000, base::seconds{1}, 46'000},
                               Case{1'200'000, 1'200'000, 110'000, base::seconds{1}, 590'000}, // 1.2M + 1.08M + 0.11M - 1.8M
                               Case{1'000, 0, 110'000, base::seconds{1}, 250}, // a quarter second
                               Case{0.5, 0, 10, base::Duration{}, 1}, // one request
                               Case{100, 10, 0, base::seconds{1}, 0}}) { // the tolerance leaves nothing
            const CustomerLimit limit{.perSecond = it.rate, .burst = it.burst};
            const LimitTolerance tolerance{.slack = it.slack, .maxQueueWait = it.queueWait};
            CPPUNIT_ASSERT_DOUBLES_EQUAL(it.expected, bucketCapacity(limit, tolerance), Tolerance);
        }
    }
    // A new bucket that is not empty, or extra given from a low level, takes from requests that wait elsewhere.
    void testGrants()
    {
        Buckets it;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{20}, retryMs(it.take(920)));
        it.now += base::seconds{1};
        TokenGrantEntry grant = it.take(10'000, 200, 5'000);
        CPPUNIT_ASSERT_EQUAL(15'000U, grant.tokens);
        grant = it.take(10'000, 200, 5'000); // half of the capacity is 23,000, and 31,000 are left
        CPPUNIT_ASSERT_EQUAL(10'000U, grant.tokens);
        grant = it.take(50'000, 9'200, 5'000); // 21,000 are left
        CPPUNIT_ASSERT_EQUAL(18'400U, grant.tokens);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2'600, it.level(), Tolerance);
        it.hold(0);
        CPPUNIT_ASSERT(it.take(1).verdict == GrantVerdict::NoCoordinator);
        CPPUNIT_ASSERT(it.buckets.take({.customer = Key + LimitGroups, .needed = 1, .smallest = 1}, it.now).verdict == GrantVerdict::NoCoordinator);
    }
    // A router that already holds enough for its smallest request asks for the rest with a smallest of zero. Each such
    // request must not get a token that the bucket does not have.
    void testNothingFromPartsOfTokens()
    {
        Buckets it({.perSecond = 0.5, .burst = 1});
        for (int n = 0; n < 100; ++n) {
            const TokenGrantEntry grant = it.buckets.take({.customer = Key, .needed = 2, .smallest = 0}, it.now);
            CPPUNIT_ASSERT_EQUAL(0U, grant.tokens);
        }
        it.now += base::seconds{1};
        CPPUNIT_ASSERT_EQUAL(0U, it.buckets.take({.customer = Key, .needed = 2, .smallest = 0}, it.now).tokens);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, it.level(), Tolerance);
    }
    // A customer at a multiple of its rate: times that are all equal bring all callers back at once.
    void testDeniedRequestsHavePlaces()
    {
        Buckets it;
        for (std::int64_t n = 1; n <= 20; ++n) {
            CPPUNIT_ASSERT_EQUAL(n * 200, retryMs(it.take(9'200)));
        }
        for (int n = 1; n <= 20; ++n) { // each that comes back at its time finds its tokens
            it.now += base::milliseconds{200};
            CPPUNIT_ASSERT(it.take(9'200).verdict == GrantVerdict::Granted);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, retryMs(it.take(9'200)));
    }
    // Callers that give up: an unbounded backlog would send later ones away for minutes.
    void testFloodOfDenialsIsBounded()
    {
        Buckets it;
        for (int n = 0; n < 10'000; ++n) {
            CPPUNIT_ASSERT(retryMs(it.take(9'200)) <= 10'000);
        }
        it.now += base::seconds{10};
        CPPUNIT_ASSERT(it.take(46'000).verdict == GrantVerdict::Granted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, retryMs(it.take(9'200)));
    }
    // A caller that is told to come back for what can never be granted would retry for ever.
    void testTooLarge()
    {
        Buckets it;
        CPPUNIT_ASSERT(it.take(46'001).verdict == GrantVerdict::TooLarge);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'000}, retryMs(it.take(46'000)));
        Buckets half(Usual, 0.5);
        CPPUNIT_ASSERT(half.take(46'001).verdict == GrantVerdict::TooLarge);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'000}, retryMs(half.take(23'001)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{500}, retryMs(half.take(11'500))); // no backlog by the former
    }
    // Shares that move to and fro, or that end unseen while the process is suspended.
    void testMovesMakeNoTokens()
    {
        Buckets it;
        it.now += base::seconds{2};
        it.hold(0.25);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(11'500, it.level(), Tolerance);
        it.hold(1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(11'500, it.level(), Tolerance);
        it.now += base::milliseconds{500};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(34'500, it.level(), Tolerance);
        CPPUNIT_ASSERT(it.take(34'500).verdict == GrantVerdict::Granted);
        it.now += base::milliseconds{100};
        it.hold(0.1); // the time since the last use counts at the lower rate
        CPPUNIT_ASSERT_DOUBLES_EQUAL(460, it.level(), Tolerance);
        it.hold(0);
        it.now += base::seconds{5};
        it.hold(1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, it.level(), Tolerance);
        it.hold(1.5); // routers with different lists
        it.now += base::seconds{5};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(46'000, it.level(), Tolerance);
    }
    // A limit that falls by four while the customer sends: the old level would be granted on top of the new limit.
    void testChangedLimits()
    {
        Buckets it;
        it.now += base::seconds{2};
        CustomerLimit limit = Usual;
        limit.perSecond /= 4;
        limit.burst /= 4;
        it.configure(limit);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(11'500, it.level(), Tolerance);
        it.configure(Usual);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(11'500, it.level(), Tolerance);
        limit.unit = LimitUnit::Requests;
        it.configure(limit);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, it.level(), Tolerance);
        it.buckets.configure({}, Tolerated, it.now);
        CPPUNIT_ASSERT(it.take(1).verdict == GrantVerdict::NoCoordinator);
    }
    // Half a request a second: levels below one must add up, and the time given must suffice.
    void testFractionalRate()
    {
        Buckets it({.perSecond = 0.5, .burst = 1});
        const std::int64_t wait = retryMs(it.take(1));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000}, wait);
        int granted = 0;
        for (int n = 0; n < 20'000; ++n) {
            it.now += base::milliseconds{1};
            granted += it.take(1).verdict == GrantVerdict::Granted ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(10, granted);
    }
    // A time shorter than the bucket needs for the request itself brings each caller back in vain.
    void testRetryOfSlowRates()
    {
        Buckets slow({.perSecond = 0.001, .burst = 1});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'000'000}, retryMs(slow.take(1)));
        Buckets large({.unit = LimitUnit::Tokens, .perSecond = 1'000, .burst = 55'000});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{55'000}, retryMs(large.take(55'000)));
    }
    // Requests, shares and limits of any kind: no span may get more than the line of the highest limit in it allows.
    void testGeneratedRunsStayBelowLine()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            base::Random random(seed);
            Buckets it;
            std::vector<std::pair<base::TimePoint, double>> grants;
            for (int n = 0; n < 3'000; ++n) {
                it.now += base::milliseconds{random.below(20)};
                const std::uint64_t kind = random.below(40);
                if (kind == 0) {
                    it.hold(random.uniformReal() * 1.2);
                } else if (kind == 1) {
                    CustomerLimit limit = Usual;
                    limit.perSecond *= random.uniformReal();
                    limit.burst *= random.uniformReal();
                    it.configure(limit);
                } else {
                    const auto smallest = static_cast<std::uint32_t>(1 + random.below(20'000));
                    const auto needed = static_cast<std::uint32_t>(smallest + random.below(30'000));
                    grants.emplace_back(it.now, it.take(needed, smallest, static_cast<std::uint32_t>(random.below(5'000))).tokens);
                }
            }
            double excess = 0; // above a line that rises at the rate
            base::TimePoint last = Start;
            for (const auto &[time, tokens] : grants) {
                excess = std::max(0.0, excess - base::toSeconds(time - last) * Usual.perSecond) + tokens;
                last = time;
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), excess <= Usual.burst + 1);
            }
        }
        std::cout << "seeds 1 to 20\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitBucketsTest);

} // namespace carawaylatch::admission::testing
