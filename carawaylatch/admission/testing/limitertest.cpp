// Bound of divided limits under partitions, message loss, restarts and pauses.
//
// Generated runs simulate several routers with their own clocks: demand varies,
// reports and tables are delayed, lost and reordered, the network partitions and
// recovers, routers pause or restart without state. After every step the sums over
// all routers are compared with the limit.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawaylatch/admission/limiter.h"
#include "carawaylatch/admission/tokenbucket.h"
#include "carawaylatch/base/hash.h"
#include "testing/seed.h"

namespace carawaylatch::admission::testing
{

namespace
{

const base::CustomerId Acme("acme");
constexpr base::TimePoint Start = base::TimePoint{base::hours{1}};
constexpr base::Duration Step = base::milliseconds{100};
constexpr base::Duration LongestRequest = base::seconds{6};

base::RouterId routerName(std::size_t i)
{
    return base::RouterId("r" + std::to_string(i));
}

enum class FaultMode {
    None, // all messages are delivered
    Generated, // message loss, partitions, restarts, pauses
};

// Several routers, their clocks and the messages between them.
class Fleet
{
public:
    Fleet(std::size_t routers, std::uint32_t concurrency, double perSecond, std::uint64_t seed)
        : m_random(seed)
        , m_concurrency(concurrency)
        , m_perSecond(perSecond)
        , m_routers(routers)
        , m_stepsBetweenFaults(1 + 15 * m_random.below(3))
    {
        for (std::size_t i = 0; i < routers; ++i) {
            m_routers[i].clockOffset = base::seconds{m_random.below(1000)};
            restart(i);
        }
        m_restarts = 0;
    }

    void step(FaultMode faultMode)
    {
        m_now += Step;
        m_faultMode = faultMode;
        if (faultMode == FaultMode::Generated && m_random.below(m_stepsBetweenFaults) == 0) {
            injectFault();
        }
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            std::erase_if(m_routers[i].ends, [&](base::TimePoint end) {
                return end <= m_now;
            });
            if (m_now >= m_routers[i].pausedUntil) {
                stepRouter(i);
            }
        }
        deliver();
    }

    // Sets the number of requests that the router would have in flight without a limit.
    void setDemand(std::size_t router, std::size_t demand)
    {
        m_routers[router].demand = demand;
    }
    void setLimit(std::uint32_t concurrency)
    {
        m_concurrency = concurrency; // each router applies it at a different time
    }

    [[nodiscard]] std::size_t inFlight() const
    {
        std::size_t sum = 0;
        for (const Router &it : m_routers) {
            sum += it.ends.size();
        }
        return sum;
    }
    [[nodiscard]] std::uint64_t usable(Resource resource) const
    {
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            sum += usable(i, resource);
        }
        return sum;
    }
    [[nodiscard]] std::uint32_t usable(std::size_t i, Resource resource) const
    {
        return m_routers[i].limiter->share(Acme, resource, localTime(i));
    }
    [[nodiscard]] double rateBound() const
    {
        return m_perSecond * base::toSeconds(m_now - Start) + std::max(m_perSecond, static_cast<double>(m_routers.size())) + m_restarts;
    }
    [[nodiscard]] std::uint64_t admittedByRate() const
    {
        return m_admittedByRate;
    }
    [[nodiscard]] std::size_t largestMessage() const
    {
        return m_largestMessage;
    }

private:
    struct Router
    {
        std::unique_ptr<Limiter> limiter;
        base::Duration clockOffset{};
        std::vector<base::TimePoint> ends; // of requests in flight
        std::size_t counted = 0; // requests that the limiter still counts
        std::size_t demand = 5;
        base::TimePoint pausedUntil;
        std::uint32_t configured = 0;
        int partition = 0; // routers can only reach others in the same partition
    };
    struct Message
    {
        base::TimePoint arrives;
        std::size_t to = 0;
        std::size_t from = 0;
        std::optional<DemandReport> report;
        std::optional<ShareTable> table;
    };

    [[nodiscard]] base::TimePoint localTime(std::size_t i) const
    {
        return m_now + m_routers[i].clockOffset;
    }

    void restart(std::size_t i)
    {
        Router &router = m_routers[i];
        router.limiter = std::make_unique<Limiter>(LimiterOptions{.router = routerName(i),
                                                                  .incarnation = {++m_incarnations},
                                                                  .fleetSize = static_cast<std::uint32_t>(m_routers.size()),
                                                                  .slot = static_cast<std::uint32_t>(i),
                                                                  .loanTerm = base::seconds{2},
                                                                  .longestRequest = LongestRequest},
                                                   localTime(i));
        router.ends.clear();
        router.counted = 0;
        router.pausedUntil = {};
        ++m_restarts;
        configure(i);
    }

    void configure(std::size_t i)
    {
        m_routers[i].configured = m_concurrency;
        const std::vector<config::Customer> customers = {
            {.id = Acme, .keyDigest = {}, .weight = 1, .requestsPerSecond = m_perSecond, .concurrency = m_concurrency}};
        m_routers[i].limiter->configure(customers, localTime(i));
    }

    void injectFault()
    {
        const std::size_t i = m_random.below(m_routers.size());
        switch (m_random.below(60)) {
        case 0:
            restart(i);
            break;
        case 1: // a pause shorter than the longest request
            m_routers[i].pausedUntil = m_now + base::milliseconds{m_random.below(5000)};
            break;
        case 2:
        case 3:
            for (Router &it : m_routers) {
                it.partition = static_cast<int>(m_random.below(2));
            }
            break;
        case 4:
        case 5:
        case 6:
            for (Router &it : m_routers) {
                it.partition = 0;
            }
            break;
        case 7: // all restart at once
            for (std::size_t n = 0; n < m_routers.size() && m_random.below(4) == 0; ++n) {
                restart(n);
            }
            break;
        default:
            m_routers[i].demand = m_random.below(40);
        }
    }

    void stepRouter(std::size_t i)
    {
        Router &router = m_routers[i];
        const base::TimePoint now = localTime(i);
        if (router.configured != m_concurrency && m_random.below(10) == 0) {
            configure(i);
        }
        for (; router.counted > router.ends.size(); --router.counted) {
            router.limiter->finish(Acme);
        }
        while (router.ends.size() < router.demand && router.limiter->tryStart(Acme, now)) {
            router.ends.push_back(m_now + base::milliseconds{100 + m_random.below(5800)});
            ++router.counted;
        }
        router.limiter->setWaiting(Acme, static_cast<std::uint32_t>(router.demand - std::min(router.demand, router.ends.size())));
        for (std::size_t n = 0; n < router.demand / 4; ++n) {
            m_admittedByRate += router.limiter->consumeRate(Acme, now) ? 1 : 0;
        }
        for (std::size_t to = 0; to < m_routers.size(); ++to) {
            if (to != i && m_random.below(m_faultMode == FaultMode::None ? 2 : 10) == 0) {
                send({.arrives = {}, .to = to, .from = i, .report = router.limiter->report(routerName(to), now), .table = {}});
            }
        }
    }

    void send(Message message)
    {
        const std::size_t entries = message.report ? message.report->entries.size() : message.table->entries.size();
        m_largestMessage = std::max(m_largestMessage, entries);
        const bool isCut = m_routers[message.from].partition != m_routers[message.to].partition;
        if (isCut || (m_faultMode == FaultMode::Generated && m_random.below(5) == 0)) {
            return;
        }
        const std::uint64_t longestMs = m_faultMode == FaultMode::Generated ? 3000 : 100;
        message.arrives = m_now + base::milliseconds{m_random.below(longestMs)};
        m_messages.push_back(std::move(message));
    }

    void deliver()
    {
        std::vector<Message> due;
        std::vector<Message> later;
        for (Message &it : m_messages) {
            const bool isDue = it.arrives <= m_now && m_now >= m_routers[it.to].pausedUntil;
            (isDue ? due : later).push_back(std::move(it));
        }
        m_messages = std::move(later);
        for (const Message &it : due) {
            Limiter &limiter = *m_routers[it.to].limiter;
            if (it.report) {
                send({.arrives = {}, .to = it.from, .from = it.to, .report = {}, .table = limiter.answer(*it.report, localTime(it.to))});
            } else {
                limiter.apply(*it.table, localTime(it.to));
            }
        }
    }

    base::Random m_random;
    base::TimePoint m_now = Start;
    FaultMode m_faultMode = FaultMode::None;
    std::uint32_t m_concurrency;
    double m_perSecond;
    std::vector<Router> m_routers;
    const std::uint64_t m_stepsBetweenFaults; // average number of steps between two faults
    std::vector<Message> m_messages;
    std::uint64_t m_incarnations = 0;
    double m_restarts = 0;
    std::uint64_t m_admittedByRate = 0;
    std::size_t m_largestMessage = 0;
};

} // namespace

class LimiterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimiterTest);
    CPPUNIT_TEST(testSumStaysWithinLimit);
    CPPUNIT_TEST(testSumWhileLimitChanges);
    CPPUNIT_TEST(testSharesFollowDemand);
    CPPUNIT_TEST(testOwnQuotas);
    CPPUNIT_TEST(testOnlyActiveCustomersAreReported);
    CPPUNIT_TEST(testTokenBucket);
    CPPUNIT_TEST_SUITE_END();

public:
    void testSumStaysWithinLimit()
    {
        for (std::uint64_t run = 0; run < 60; ++run) {
            base::Random random(carawaylatch::testing::seed() + run);
            const std::size_t routers = 2 + random.below(4);
            const auto limit = static_cast<std::uint32_t>(1 + random.below(60));
            const double perSecond = 1 + static_cast<double>(random.below(50));
            Fleet fleet(routers, limit, perSecond, carawaylatch::testing::seed() + run);
            for (int i = 0; i < 1500; ++i) {
                fleet.step(FaultMode::Generated);
                const std::string where = "run " + std::to_string(run) + ", step " + std::to_string(i);
                CPPUNIT_ASSERT_MESSAGE(where + ": in flight", fleet.inFlight() <= limit);
                CPPUNIT_ASSERT_MESSAGE(where + ": usable", fleet.usable(Resource::Concurrency) <= limit);
                CPPUNIT_ASSERT_MESSAGE(where + ": rate units", fleet.usable(Resource::Rate) <= perSecond * RateUnitsPerRequest);
                CPPUNIT_ASSERT_MESSAGE(where + ": rate", static_cast<double>(fleet.admittedByRate()) <= fleet.rateBound());
            }
        }
    }

    void testSumWhileLimitChanges()
    {
        for (std::uint64_t run = 0; run < 10; ++run) {
            base::Random random(carawaylatch::testing::seed() + run);
            Fleet fleet(4, 40, 40, carawaylatch::testing::seed() + run);
            std::uint32_t greatest = 40; // highest limit under which requests in flight may have started
            int since = 0;
            std::uint32_t limit = 40;
            for (int i = 0; i < 1500; ++i) {
                if (i % 300 == 299) {
                    greatest = limit;
                    limit = static_cast<std::uint32_t>(10 + random.below(60));
                    greatest = std::max(greatest, limit);
                    fleet.setLimit(limit);
                    since = 0;
                }
                fleet.step(FaultMode::Generated);
                ++since;
                CPPUNIT_ASSERT(fleet.inFlight() <= greatest);
            }
        }
    }

    // A router that has all the demand borrows what the others may lend; when they have
    // demand again, they get their quotas back.
    void testSharesFollowDemand()
    {
        Fleet fleet(4, 100, 100, carawaylatch::testing::seed());
        for (std::size_t i = 0; i < 4; ++i) {
            fleet.setDemand(i, i == 0 ? 200 : 0);
        }
        for (int i = 0; i < 200; ++i) {
            fleet.step(FaultMode::None);
        }
        // Own quota of 25, and from each of three lenders 25 less the reserved quarter of 7.
        CPPUNIT_ASSERT_EQUAL(79U, fleet.usable(0, Resource::Concurrency));
        CPPUNIT_ASSERT(fleet.usable(0, Resource::Rate) >= 75'000U);
        for (std::size_t i = 0; i < 4; ++i) {
            fleet.setDemand(i, 200);
        }
        for (int i = 0; i < 200; ++i) {
            fleet.step(FaultMode::None);
        }
        for (std::size_t i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT_EQUAL(25U, fleet.usable(i, Resource::Concurrency));
        }
    }

    // Own quotas of a fleet sum to the limit L; without slots, to at most max(L, F).
    void testOwnQuotas()
    {
        for (const std::uint32_t fleet : {1U, 4U, 7U, 3400U}) {
            for (const std::uint32_t limit : {1U, 3U, 4U, 100U, 5000U}) {
                std::uint64_t withSlot = 0;
                std::uint64_t without = 0;
                for (std::uint32_t slot = 0; slot < fleet; ++slot) {
                    withSlot += quotaOf(fleet, slot, limit);
                    without += quotaOf(fleet, std::nullopt, limit);
                }
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{limit}, withSlot);
                CPPUNIT_ASSERT(without <= std::max(limit, fleet));
            }
        }
    }

    void testOnlyActiveCustomersAreReported()
    {
        std::vector<config::Customer> customers;
        customers.reserve(640);
        for (int i = 0; i < 640; ++i) {
            customers.push_back({.id = base::CustomerId("c" + std::to_string(i)), .keyDigest = {}, .weight = 1, .requestsPerSecond = 100, .concurrency = 100});
        }
        Limiter limiter({.router = routerName(0), .incarnation = {1}, .fleetSize = 50, .slot = 0}, Start);
        limiter.configure(customers, Start);
        CPPUNIT_ASSERT(limiter.report(routerName(1), Start).entries.empty());
        CPPUNIT_ASSERT(!limiter.hasUnmetDemand(Start));
        for (int i = 0; i < 100; ++i) {
            limiter.setWaiting(customers[i].id, 5);
        }
        // More customers than fit into a message are reported in turn.
        std::set<std::string> seen;
        for (int i = 0; i < 3; ++i) {
            const auto report = limiter.report(routerName(1), Start);
            CPPUNIT_ASSERT(report.entries.size() <= MaxEntries);
            for (const DemandEntry &it : report.entries) {
                seen.insert(it.customer.value());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, seen.size());
    }

    void testTokenBucket()
    {
        TokenBucket bucket(Start);
        bucket.refill(10, Start);
        CPPUNIT_ASSERT(bucket.tryConsume() && !bucket.tryConsume());
        CPPUNIT_ASSERT(bucket.timeToNextToken() == base::milliseconds{100});
        bucket.refill(10, Start + base::seconds{100});
        int taken = 0;
        while (bucket.tryConsume()) {
            ++taken;
        }
        CPPUNIT_ASSERT_EQUAL(10, taken); // the capacity is one second of the rate
        bucket.refill(1000, Start + base::seconds{101}); // refilled at the lower of the two rates
        taken = 0;
        while (bucket.tryConsume()) {
            ++taken;
        }
        CPPUNIT_ASSERT_EQUAL(10, taken);
    }

private:
    static std::uint32_t quotaOf(std::uint32_t fleet, std::optional<std::uint32_t> slot, std::uint32_t limit)
    {
        Limiter limiter({.router = routerName(0), .incarnation = {1}, .fleetSize = fleet, .slot = slot}, Start);
        const std::vector<config::Customer> customers = {{.id = Acme, .keyDigest = {}, .weight = 1, .requestsPerSecond = 0, .concurrency = limit}};
        limiter.configure(customers, Start);
        // After the recovery time of a restarted lender.
        return limiter.share(Acme, Resource::Concurrency, Start + base::hours{1});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimiterTest);

} // namespace carawaylatch::admission::testing
