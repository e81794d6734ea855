// Tests whole control planes of a failure domain: what a reader answers to polls that it can't
// serve, and which routers call the store while a reader stops and for the lease.
#include <cppunit/extensions/HelperMacros.h>

#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carawaylatch/gateway/readerchoice.h"
#include "carawaylatch/gateway/testing/testcluster.h"

namespace carawaylatch::gateway::testing
{

class ReaderStopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReaderStopTest);
    CPPUNIT_TEST(testStoppingReaderCostsNoCalls);
    CPPUNIT_TEST(testRefusals);
    CPPUNIT_TEST(testOnlyCandidatesCallTheLease);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t Routers = 6;
    static constexpr base::Duration Limit = base::seconds{10};

    base::SteadyClock m_clock;
    NullLog m_log;
    std::unique_ptr<TestCluster> m_cluster;
    std::vector<base::Endpoint> m_endpoints; // parallel to the cluster's routers
    std::vector<std::size_t> m_readers; // the first two of the domain
    std::vector<std::size_t> m_others;
    std::unique_ptr<boost::asio::io_context> m_loop; // destroyed before the cluster that its coroutines refer to

    template <typename Condition>
    bool runUntil(Condition condition, base::Duration limit = Limit)
    {
        const base::TimePoint end = m_clock.now() + limit;
        while (!condition() && m_clock.now() < end) {
            m_loop->run_for(std::chrono::milliseconds{2});
        }
        return condition();
    }
    [[nodiscard]] Router &router(std::size_t i) const
    {
        return *m_cluster->routers[i];
    }
    // All others learn of changes from one of these readers.
    [[nodiscard]] bool areServedBy(const std::vector<std::size_t> &readers) const
    {
        return std::all_of(m_others.begin(), m_others.end(), [&](std::size_t other) {
            return std::any_of(readers.begin(), readers.end(), [&](std::size_t reader) {
                return router(other).relay.answeredBy == m_endpoints[reader];
            });
        });
    }
    [[nodiscard]] int sumOfOthers(int StoreCalls::*count) const
    {
        int sum = 0;
        for (const std::size_t other : m_others) {
            sum += router(other).clients.calls.*count;
        }
        return sum;
    }
    std::optional<RelayAnswer> ask(std::size_t reader, RelayPoll poll, const std::function<void()> &whileHeld = {})
    {
        std::optional<RelayAnswer> out;
        boost::asio::co_spawn(*m_loop, router(reader).plane.answer(std::move(poll)),
                              [&out](const std::exception_ptr &, const std::unique_ptr<RelayAnswer> &answer) {
                                  out = *answer;
                              });
        if (whileHeld) {
            m_loop->run_for(std::chrono::milliseconds{20});
            CPPUNIT_ASSERT(!out);
            whileHeld();
        }
        runUntil([&out] {
            return out.has_value();
        });
        return out;
    }

public:
    void setUp() override
    {
        m_loop = std::make_unique<boost::asio::io_context>(1);
        m_cluster = std::make_unique<TestCluster>(*m_loop, m_clock, m_log.log);
        m_endpoints.clear();
        m_readers.clear();
        m_others.clear();
        for (std::size_t i = 0; i < Routers; ++i) {
            ControlSettings settings = Router::settings(std::string(1, static_cast<char>('a' + i)));
            settings.peers = {"10.0.0." + std::to_string(i + 1), 7000};
            settings.domain = base::FailureDomain("d");
            settings.relay = {"10.0.0." + std::to_string(i + 1), 7100};
            settings.readers = {2, base::milliseconds{200}, base::milliseconds{800}};
            m_endpoints.push_back(settings.relay);
            m_cluster->addRouter(settings);
        }
        for (std::size_t i = 0; i < Routers; ++i) {
            ReaderChoice choice(m_endpoints[i], {});
            choice.setRouters(m_endpoints);
            (choice.isAmongFirst() ? m_readers : m_others).push_back(i);
        }
        int watches = -1;
        // Their first polls may have been refused, while the routers did not know each other.
        CPPUNIT_ASSERT(runUntil([&] {
            m_loop->run_for(std::chrono::milliseconds{500});
            return areServedBy(m_readers) && std::exchange(watches, sumOfOthers(&StoreCalls::watches)) == watches;
        }));
    }
    void tearDown() override
    {
        m_loop.reset();
        m_cluster.reset();
    }

    // Every router whose reader stopped called the store, for each kind of object and again after each back-off.
    void testStoppingReaderCostsNoCalls()
    {
        const int before = sumOfOthers(&StoreCalls::watches);
        router(m_readers[0]).plane.beginStop();
        CPPUNIT_ASSERT(runUntil([this] {
            return areServedBy({m_readers[1]});
        }));
        m_cluster->network.faults[m_endpoints[m_readers[0]]] = RelayFault::Closed;
        m_loop->run_for(std::chrono::milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(before, sumOfOthers(&StoreCalls::watches));
        m_cluster->store.put(ObjectKind::Tables, "main", "2");
        CPPUNIT_ASSERT(runUntil([this] {
            return std::all_of(m_others.begin(), m_others.end(), [this](std::size_t other) {
                return router(other).newestTable == 2;
            });
        }));
        CPPUNIT_ASSERT_EQUAL(before, sumOfOthers(&StoreCalls::watches));
        CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->violation());
    }

    // A poll of a reader that stops was held until its end.
    void testRefusals()
    {
        constexpr std::uint64_t Newest = 1'000'000;
        const RelayPoll poll{ObjectKind::Weights, Newest, base::seconds{20}};
        CPPUNIT_ASSERT(ask(m_others[0], poll)->refusal == RelayRefusal::NotReader);
        CPPUNIT_ASSERT(ask(m_readers[0], {ObjectKind::Weights, 1, base::seconds{20}})->refusal == RelayRefusal::Behind);
        const auto answer = ask(m_readers[0], poll, [this] {
            router(m_readers[0]).plane.beginStop();
        });
        CPPUNIT_ASSERT(answer && !answer->isKnown && answer->refusal == RelayRefusal::Stopping);
    }

    // All routers read the lease at each interval.
    void testOnlyCandidatesCallTheLease()
    {
        const auto holder = [this] {
            const auto &leases = m_cluster->store.objects(ObjectKind::Leases);
            const std::string text = leases.empty() ? std::string() : leases.begin()->second.text;
            return text.empty() ? Routers : static_cast<std::size_t>(text[0] - 'a');
        };
        const auto isCandidate = [this](std::size_t i) {
            return std::find(m_readers.begin(), m_readers.end(), i) != m_readers.end();
        };
        CPPUNIT_ASSERT(runUntil([&] {
            return holder() < Routers;
        }));
        // A router may acquire the lease while it knows no other one of its domain, and keeps it. A candidate follows it.
        if (const std::size_t first = holder(); !isCandidate(first)) {
            router(first).clients.isDisconnected = true;
            CPPUNIT_ASSERT(runUntil([&] {
                return isCandidate(holder());
            }));
            router(first).clients.isDisconnected = false;
            CPPUNIT_ASSERT(runUntil([&] {
                m_loop->run_for(std::chrono::milliseconds{200});
                return areServedBy(m_readers);
            }));
        }
        const int before = sumOfOthers(&StoreCalls::leaseCalls);
        const base::TimePoint startedAt = m_clock.now();
        m_loop->run_for(std::chrono::milliseconds{2000});
        const base::Duration minInterval = Router::settings("a").lease.duration * 7 / 4;
        const auto most = static_cast<int>(m_others.size()) * static_cast<int>((m_clock.now() - startedAt) / minInterval + 1);
        const int calls = sumOfOthers(&StoreCalls::leaseCalls) - before;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls), calls <= most);
        for (const std::size_t reader : m_readers) {
            router(reader).clients.isDisconnected = true;
        }
        CPPUNIT_ASSERT(runUntil([&] {
            return holder() < Routers && !isCandidate(holder());
        }));
        CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->violation());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReaderStopTest);

} // namespace carawaylatch::gateway::testing
