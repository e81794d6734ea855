// Limits that upstreams name, divided over fleets of routers in virtual time.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/requestlimits.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

namespace
{

const base::TimePoint Start = base::TimePoint{} + base::seconds{1000};
constexpr UpstreamKey Engine{77, 5};
constexpr base::Duration Step = base::milliseconds{20};

std::vector<base::Endpoint> endpoints(std::size_t count)
{
    std::vector<base::Endpoint> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({"10.0." + std::to_string(i / 250) + '.' + std::to_string(i % 250), 7000});
    }
    return out;
}

std::vector<RequestLimits> fleet(std::size_t count)
{
    const auto routers = endpoints(count);
    std::vector<RequestLimits> out(count);
    for (std::size_t i = 0; i < count; ++i) {
        out[i].setRouters(routers, routers[i], static_cast<std::uint32_t>(count));
    }
    return out;
}

void nameLimit(std::vector<RequestLimits> &routers, double perSecond, base::TimePoint now)
{
    for (RequestLimits &router : routers) {
        (void)router.observe(Engine, perSecond, now, now);
    }
}

bool mayStart(const RequestLimits &router, base::TimePoint now)
{
    return now >= router.nextRequestAt(Engine).value_or(now);
}

// Counts requests and the most of them within any window of this length.
class Arrivals
{
public:
    void add(base::TimePoint now)
    {
        constexpr base::Duration Window = base::seconds{4};
        ++total;
        m_recent.push_back(now);
        while (now - m_recent.front() >= Window) {
            m_recent.pop_front();
        }
        most = std::max(most, m_recent.size());
    }

    std::size_t total = 0;
    std::size_t most = 0;

private:
    std::deque<base::TimePoint> m_recent;
};

// The greatest number of requests in four seconds that an upstream's limit allows.
double allowed(double perSecond)
{
    return 1.5 * perSecond * 4 + 5;
}

} // namespace

class RequestLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestLimitsTest);
    CPPUNIT_TEST(testFleetsKeepLimits);
    CPPUNIT_TEST(testBurstAfterIdleTime);
    CPPUNIT_TEST(testFleetThatGrows);
    CPPUNIT_TEST(testAnswersThatOvertake);
    CPPUNIT_TEST(testReportsMergeInAnyOrder);
    CPPUNIT_TEST(testRoutersThatSendNothingLearnTheEnd);
    CPPUNIT_TEST(testRestartedUpstreamHasNoLimit);
    CPPUNIT_TEST(testForgottenLimitEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: every router always has a request for the upstream. The limit is kept, and used.
    void testFleetsKeepLimits()
    {
        for (const std::size_t count : {1U, 4U, 16U, 77U, 300U}) {
            for (const double limit : {0.05, 0.5, 1.8, 6.0, 40.0}) {
                auto routers = fleet(count);
                nameLimit(routers, limit, Start);
                Arrivals arrivals;
                for (base::TimePoint now = Start; now < Start + base::seconds{60}; now += Step) {
                    for (RequestLimits &router : routers) {
                        if (mayStart(router, now)) {
                            router.onRequest(Engine, now);
                            arrivals.add(now);
                        }
                    }
                }
                const std::string name = std::to_string(count) + " routers, " + std::to_string(limit) + ": " + std::to_string(arrivals.most);
                CPPUNIT_ASSERT_MESSAGE(name, static_cast<double>(arrivals.most) <= allowed(limit));
                CPPUNIT_ASSERT_MESSAGE(name, static_cast<double>(arrivals.total) >= 0.7 * limit * 60 - 2);
            }
        }
    }

    // Load: nothing for a minute, then a request at each router at once.
    void testBurstAfterIdleTime()
    {
        for (const std::size_t count : {4U, 77U, 300U}) {
            for (const double limit : {0.05, 1.8, 20.0}) {
                auto routers = fleet(count);
                nameLimit(routers, limit, Start);
                const base::TimePoint burst = Start + base::seconds{60};
                Arrivals arrivals;
                for (base::TimePoint now = burst; now < burst + base::seconds{5}; now += Step) {
                    for (RequestLimits &router : routers) {
                        if (mayStart(router, now)) {
                            router.onRequest(Engine, now);
                            arrivals.add(now);
                        }
                    }
                }
                CPPUNIT_ASSERT(static_cast<double>(arrivals.most) <= allowed(limit));
            }
        }
    }

    // Routers that come one by one are told at their first answer; the others learn of them three seconds later.
    void testFleetThatGrows()
    {
        constexpr double Limit = 1.8;
        const auto all = endpoints(8);
        std::vector<RequestLimits> routers(all.size());
        Arrivals arrivals;
        for (base::TimePoint now = Start; now < Start + base::seconds{60}; now += Step) {
            const auto age = now - Start;
            const auto running = std::min<std::size_t>(all.size(), 1 + static_cast<std::size_t>(age / base::seconds{6}));
            const auto known =
                std::min<std::size_t>(all.size(), 1 + static_cast<std::size_t>(std::max<base::Duration>(age - base::seconds{3}, {}) / base::seconds{6}));
            for (std::size_t i = 0; i < running; ++i) {
                const std::size_t seen = std::max(known, i + 1);
                routers[i].setRouters(std::span(all).first(seen), all[i], static_cast<std::uint32_t>(seen));
                if (routers[i].perSecond(Engine) == 0) {
                    (void)routers[i].observe(Engine, Limit, now, now);
                }
                if (mayStart(routers[i], now)) {
                    routers[i].onRequest(Engine, now);
                    arrivals.add(now);
                }
            }
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(arrivals.most), static_cast<double>(arrivals.most) <= allowed(Limit));
    }

    // An answer without a limit ends it only if its request was sent after the limit was named.
    void testAnswersThatOvertake()
    {
        RequestLimits limits;
        CPPUNIT_ASSERT(limits.observe(Engine, 2.0, Start, Start));
        CPPUNIT_ASSERT(!limits.observe(Engine, std::nullopt, Start - base::milliseconds{5}, Start + base::milliseconds{5}));
        CPPUNIT_ASSERT_EQUAL(2.0, limits.perSecond(Engine));
        CPPUNIT_ASSERT(!limits.observe(Engine, 2.0, Start, Start + base::seconds{1}));
        CPPUNIT_ASSERT_MESSAGE("named since", !limits.observe(Engine, std::nullopt, Start + base::milliseconds{5}, Start + base::seconds{2}));
        CPPUNIT_ASSERT(limits.hasBegunAfter(Engine, Start - base::milliseconds{1}));
        CPPUNIT_ASSERT(!limits.hasBegunAfter(Engine, Start));
        CPPUNIT_ASSERT(limits.observe(Engine, std::nullopt, Start + base::seconds{2}, Start + base::seconds{3}));
        CPPUNIT_ASSERT(!limits.nextRequestAt(Engine));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, limits.size());
    }

    // Every router sees other changes, and reports arrive in any order, repeatedly: all come to the same limit.
    void testReportsMergeInAnyOrder()
    {
        base::Random random(carawaylatch::testing::seed());
        for (int round = 0; round < 200; ++round) {
            auto routers = fleet(4);
            std::vector<UpstreamNotice> sent;
            base::TimePoint now = Start;
            for (int i = 0; i < 12; ++i) {
                now += Step;
                RequestLimits &router = routers[random.below(routers.size())];
                const bool isEnd = random.below(3) == 0;
                (void)router.observe(Engine, isEnd ? std::nullopt : std::optional(1.0 + static_cast<double>(random.below(3))), now, now);
                for (const UpstreamNotice &notice : router.takeChanges()) {
                    sent.push_back(notice);
                }
                if (!sent.empty()) {
                    (void)routers[random.below(routers.size())].apply(sent[random.below(sent.size())], now);
                }
            }
            for (int exchange = 0; exchange < 3; ++exchange) {
                for (const RequestLimits &from : routers) {
                    for (const UpstreamNotice &notice : from.all()) {
                        for (RequestLimits &to : routers) {
                            (void)to.apply(notice, now);
                        }
                    }
                }
            }
            for (const RequestLimits &router : routers) {
                CPPUNIT_ASSERT_EQUAL(routers.front().perSecond(Engine), router.perSecond(Engine));
            }
        }
    }

    void testRoutersThatSendNothingLearnTheEnd()
    {
        auto routers = fleet(77);
        nameLimit(routers, 1, Start);
        const auto sendsNothing = [](const RequestLimits &router) {
            return router.nextRequestAt(Engine) == base::TimePoint::max();
        };
        CPPUNIT_ASSERT(std::count_if(routers.begin(), routers.end(), sendsNothing) > 70);
        const auto sharing = std::find_if_not(routers.begin(), routers.end(), sendsNothing);
        CPPUNIT_ASSERT(sharing->observe(Engine, std::nullopt, Start + base::seconds{5}, Start + base::seconds{6}));
        const auto notices = sharing->takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notices.size());
        for (RequestLimits &router : routers) {
            (void)router.apply(notices.front(), Start + base::seconds{6});
            CPPUNIT_ASSERT(mayStart(router, Start + base::seconds{6}));
        }
        CPPUNIT_ASSERT_MESSAGE("passed on", !routers.back().takeChanges().empty() || &*sharing == &routers.back());
    }

    void testRestartedUpstreamHasNoLimit()
    {
        RequestLimits limits;
        (void)limits.observe(Engine, 1.0, Start, Start);
        const UpstreamNotice notice = limits.all().front();
        const UpstreamKey restarted{Engine.idHash, Engine.startTimeMs + 1};
        CPPUNIT_ASSERT(!limits.nextRequestAt(restarted));
        limits.onListed(restarted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, limits.size());
        (void)limits.observe(restarted, 3.0, Start, Start);
        CPPUNIT_ASSERT_MESSAGE("a late notice", !limits.apply(notice, Start));
        CPPUNIT_ASSERT_EQUAL(3.0, limits.perSecond(restarted));
    }

    // A limit that an answer has named lately is reported again; one that nobody sees ends.
    void testForgottenLimitEnds()
    {
        RequestLimits limits;
        (void)limits.observe(Engine, 1.0, Start, Start);
        (void)limits.takeChanges();
        (void)limits.observe(Engine, 1.0, Start, Start + RequestLimits::RefreshInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limits.takeChanges().size());
        limits.removeOutdated(Start + RequestLimits::MaxAge);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limits.size());
        limits.removeOutdated(Start + RequestLimits::RefreshInterval + RequestLimits::MaxAge);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, limits.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestLimitsTest);

} // namespace carawaylatch::proxy::testing
