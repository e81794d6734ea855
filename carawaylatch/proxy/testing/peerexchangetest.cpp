// Tests of the connections that carry load reports between routers.
#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "carawaylatch/proxy/peerexchange.h"
#include "testing/endlesshttp2caller.h"

namespace carawaylatch::proxy::testing
{

// Exchanges on separate loopback ports; the tests call tick() themselves.
class PeerExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerExchangeTest);
    CPPUNIT_TEST(testRingIsMutualAndBounded);
    CPPUNIT_TEST(testReportsArrive);
    CPPUNIT_TEST(testRestartedPeerGetsFullReport);
    CPPUNIT_TEST(testUnresponsivePeerDoesNotBlockOthers);
    CPPUNIT_TEST(testMalformedInput);
    CPPUNIT_TEST(testEndlessRequestsOfAPeerThatDoesNotRead);
    CPPUNIT_TEST(testUnreachablePeer);
    CPPUNIT_TEST(testDisabledWithoutAddress);
    CPPUNIT_TEST(testSummariesArrive);
    CPPUNIT_TEST_SUITE_END();

    class Source : public PeerReportSource
    {
    public:
        LoadReport takeChanges() override
        {
            return std::exchange(next, {});
        }
        LoadReport fullReport() const override
        {
            LoadReport out = full;
            out.isFullReport = true;
            return out;
        }
        void onReport(const LoadReport &report) override
        {
            received.push_back(report);
        }
        FaultReport takeFaultChanges() override
        {
            return std::exchange(nextCrashes, {});
        }
        FaultReport fullFaultReport() const override
        {
            return fullCrashes;
        }
        ReachReport reachReport() const override
        {
            return reach;
        }
        void onReachReport(const ReachReport &report) override
        {
            receivedReach.push_back(report);
        }
        void onFaultReport(const FaultReport &report) override
        {
            receivedCrashes.push_back(report);
        }
        LoadReport next;
        LoadReport full;
        FaultReport nextCrashes;
        FaultReport fullCrashes;
        ReachReport reach{0, true, 7, base::FailureDomain("a"), {"10.1.0.3", 80}, {}};
        std::vector<ReachReport> receivedReach;
        void onPeerUnreachable(const base::Endpoint &peer) override
        {
            gone.push_back(peer);
        }
        std::string onPeerRequest(std::string_view /*body*/) override
        {
            return {};
        }
        void onSummary(const LoadSummary &summary) override
        {
            receivedSummaries.push_back(summary);
        }
        std::vector<LoadReport> received;
        std::vector<LoadSummary> receivedSummaries;
        std::vector<FaultReport> receivedCrashes;
        std::vector<base::Endpoint> gone;
    };

    boost::asio::io_context m_loop{1};
    base::SteadyClock m_clock;
    int m_null = -1;
    std::unique_ptr<telemetry::EventLog> m_log;
    std::vector<std::unique_ptr<Source>> m_sources;
    std::vector<std::unique_ptr<PeerExchange>> m_exchanges;
    std::vector<base::Endpoint> m_routers;
    std::vector<Tcp::acceptor> m_reserved; // bound, not listening

    // Nobody else gets its port until tearDown().
    base::Endpoint reserveEndpoint()
    {
        Tcp::acceptor &socket = m_reserved.emplace_back(m_loop, Tcp::v4());
        socket.set_option(boost::asio::socket_base::reuse_address(true));
        socket.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
        return {"127.0.0.1", socket.local_endpoint().port()};
    }
    void addExchange(const base::Endpoint &endpoint)
    {
        m_sources.push_back(std::make_unique<Source>());
        m_exchanges.push_back(std::make_unique<PeerExchange>(m_loop, m_clock, endpoint, "r" + std::to_string(endpoint.port), *m_sources.back(), *m_log));
        CPPUNIT_ASSERT(m_exchanges.back()->listen().has_value());
    }
    void connectAll()
    {
        for (const auto &exchange : m_exchanges) {
            exchange->setRouters(m_routers);
        }
    }
    // Calls tick() on all exchanges until the condition holds; returns false after `limit`.
    template <typename Condition>
    bool tickUntil(Condition condition, std::chrono::milliseconds limit = std::chrono::milliseconds{2000})
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            for (const auto &exchange : m_exchanges) {
                if (exchange) {
                    exchange->tick();
                }
            }
            m_loop.run_for(std::chrono::milliseconds{10});
            if (condition()) {
                return true;
            }
        }
        return false;
    }
    bool hasReceived(std::size_t at, std::uint64_t upstream)
    {
        for (const LoadReport &report : m_sources[at]->received) {
            for (const PeerUpstreamLoad &load : report.loads) {
                if (load.upstream == upstream) {
                    return true;
                }
            }
        }
        return false;
    }

public:
    void setUp() override
    {
        m_null = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
        m_log = std::make_unique<telemetry::EventLog>(m_null, 10'000, m_clock);
        for (int i = 0; i < 3; ++i) {
            m_routers.push_back(reserveEndpoint());
        }
    }
    void tearDown() override
    {
        m_exchanges.clear();
        m_loop.restart();
        m_loop.run_for(std::chrono::milliseconds{50});
        m_sources.clear();
        m_routers.clear();
        m_reserved.clear();
        m_log.reset();
        ::close(m_null);
    }

    void testRingIsMutualAndBounded()
    {
        for (const int size : {1, 2, 3, 32, 33, 34, 50, 300}) {
            std::vector<base::Endpoint> routers;
            routers.reserve(static_cast<std::size_t>(size));
            for (int i = 0; i < size; ++i) {
                routers.push_back({"10.0." + std::to_string(i / 250) + '.' + std::to_string(i % 250), 7000});
            }
            std::map<base::Endpoint, std::set<base::Endpoint>> peers;
            for (const base::Endpoint &router : routers) {
                const auto list = reportPeers(routers, router);
                peers[router] = {list.begin(), list.end()};
                CPPUNIT_ASSERT_EQUAL(std::min<std::size_t>(MaxReportPeers, routers.size() - 1), list.size());
                CPPUNIT_ASSERT_EQUAL(list.size(), peers[router].size());
                CPPUNIT_ASSERT(!peers[router].contains(router));
            }
            for (const auto &[router, list] : peers) {
                for (const base::Endpoint &peer : list) {
                    CPPUNIT_ASSERT(peers[peer].contains(router));
                }
            }
        }
        CPPUNIT_ASSERT(reportPeers({}, base::Endpoint{"10.0.0.1", 1}).empty());
    }

    void testReportsArrive()
    {
        for (const base::Endpoint &router : m_routers) {
            addExchange(router);
        }
        m_sources[0]->full.loads = {{41, 1, 2, 3}};
        connectAll();
        CPPUNIT_ASSERT_MESSAGE("the full report comes first", tickUntil([this] {
                                   return hasReceived(1, 41) && hasReceived(2, 41);
                               }));
        CPPUNIT_ASSERT(m_sources[1]->received.front().isFullReport);
        m_sources[0]->next.loads = {{42, 1, 2, 3}};
        CPPUNIT_ASSERT(tickUntil([this] {
            return hasReceived(1, 42) && hasReceived(2, 42);
        }));
        CPPUNIT_ASSERT(!m_sources[1]->received.back().isFullReport);
        const std::size_t heard = m_sources[1]->received.size();
        CPPUNIT_ASSERT_MESSAGE("heartbeats while nothing changes", tickUntil([this, heard] {
                                   return m_sources[1]->received.size() > heard + 2;
                               }));
    }

    void testRestartedPeerGetsFullReport()
    {
        addExchange(m_routers[0]);
        addExchange(m_routers[1]);
        m_sources[0]->full.loads = {{41, 1, 2, 3}};
        connectAll();
        CPPUNIT_ASSERT(tickUntil([this] {
            return hasReceived(1, 41);
        }));
        m_exchanges[1].reset();
        m_sources[1]->received.clear();
        CPPUNIT_ASSERT(!tickUntil(
            [this] {
                return hasReceived(1, 41);
            },
            std::chrono::milliseconds{100}));
        m_exchanges[1] = std::make_unique<PeerExchange>(m_loop, m_clock, m_routers[1], "again", *m_sources[1], *m_log);
        CPPUNIT_ASSERT(m_exchanges[1]->listen().has_value());
        CPPUNIT_ASSERT(tickUntil(
            [this] {
                return hasReceived(1, 41);
            },
            std::chrono::milliseconds{5000}));
    }

    // One peer accepts connections but never responds; reports to the other one must still arrive.
    void testUnresponsivePeerDoesNotBlockOthers()
    {
        Tcp::acceptor silent(m_loop, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), m_routers[2].port));
        addExchange(m_routers[0]);
        addExchange(m_routers[1]);
        connectAll();
        CPPUNIT_ASSERT(tickUntil([this] {
            return !m_sources[1]->received.empty();
        }));
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds{1500};
        for (std::uint64_t upstream = 100; std::chrono::steady_clock::now() < end; ++upstream) {
            m_sources[0]->next.loads = {{upstream, 1, 2, 3}};
            CPPUNIT_ASSERT(tickUntil([this, upstream] {
                return hasReceived(1, upstream);
            }));
        }
    }

    void testMalformedInput()
    {
        addExchange(m_routers[0]);
        connectAll();
        for (const std::string &bytes :
             {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(100'000, '\0'), std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nxxxxxxxxxxxx")}) {
            Tcp::socket socket(m_loop);
            socket.connect(Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), m_routers[0].port));
            boost::system::error_code ignored;
            socket.write_some(boost::asio::buffer(bytes), ignored);
            CPPUNIT_ASSERT(!tickUntil(
                [this] {
                    return !m_sources[0]->received.empty();
                },
                std::chrono::milliseconds{50}));
        }
        addExchange(m_routers[1]);
        connectAll();
        m_sources[1]->full.loads = {{7, 1, 1, 1}};
        CPPUNIT_ASSERT_MESSAGE("reports of valid peers are received afterwards", tickUntil(
                                                                                     [this] {
                                                                                         return hasReceived(0, 7);
                                                                                     },
                                                                                     std::chrono::milliseconds{5000}));
    }

    // The responses to them would be kept without a bound.
    void testEndlessRequestsOfAPeerThatDoesNotRead()
    {
        addExchange(m_routers[0]);
        const auto caller = std::make_shared<carawaylatch::testing::EndlessHttp2Caller>(m_loop);
        caller->start(m_routers[0].port);
        CPPUNIT_ASSERT_MESSAGE("still taken: " + std::to_string(caller->sentBytes()), caller->runUntilStopped());
        addExchange(m_routers[1]);
        connectAll();
        m_sources[1]->full.loads = {{7, 1, 1, 1}};
        CPPUNIT_ASSERT(tickUntil([this] {
            return hasReceived(0, 7);
        }));
    }

    // Nothing listens on the second address, and the third accepts connections but never
    // responds, like a suspended process. The clock advances in steps of ten seconds.
    void testUnreachablePeer()
    {
        const Tcp::acceptor silent(m_loop, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), m_routers[2].port));
        base::ManualClock clock;
        Source source;
        PeerExchange exchange(m_loop, clock, m_routers[0], "r", source, *m_log);
        CPPUNIT_ASSERT(exchange.listen().has_value());
        exchange.setRouters(m_routers);
        const base::Duration step = base::seconds{10};
        const auto pass = [&](base::Duration time) {
            for (base::Duration passed{}; passed < time; passed += step) {
                exchange.tick();
                m_loop.run_for(std::chrono::milliseconds{5});
                clock.advance(step);
            }
        };
        pass(PeerExchange::UnreachableTimeout);
        CPPUNIT_ASSERT(source.gone.empty());
        pass(step * 5); // for the silent peer the time counts from its first missing response
        const std::set<base::Endpoint> gone(source.gone.begin(), source.gone.end());
        CPPUNIT_ASSERT(gone == std::set<base::Endpoint>(m_routers.begin() + 1, m_routers.end()));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("each is reported once", std::size_t{2}, source.gone.size());
        pass(PeerExchange::UnreachableTimeout + step);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("and again after UnreachableTimeout", std::size_t{4}, source.gone.size());
    }

    void testDisabledWithoutAddress()
    {
        addExchange(base::Endpoint{});
        m_exchanges[0]->setRouters(m_routers);
        m_sources[0]->next.loads = {{7, 1, 1, 1}};
        m_exchanges[0]->tick();
        CPPUNIT_ASSERT_MESSAGE("changes are taken even if the exchange is disabled", m_sources[0]->next.loads.empty());
    }

    // A summary that the receiver takes for a report would be refused, and one as large as they get would be cut off.
    void testSummariesArrive()
    {
        addExchange(m_routers[0]);
        addExchange(m_routers[1]);
        m_exchanges[0]->setSummaryPeers(std::vector{m_routers[0], m_routers[1], m_routers[2]}); // itself, a peer, one that is down
        LoadSummary summary{11, 12, true, true, 1, 3, 90, {}, {}};
        for (std::uint64_t i = 0; i < MaxReportRows; ++i) {
            summary.loads.push_back({i, 1, 2, 3});
            summary.placements.push_back({i, i + 1});
        }
        const std::string text = encodeLoadSummary(summary);
        CPPUNIT_ASSERT(tickUntil([&] {
            for (const base::Endpoint &peer : m_routers) {
                m_exchanges[0]->sendSummary(peer, text);
            }
            return !m_sources[1]->receivedSummaries.empty();
        }));
        const LoadSummary &received = m_sources[1]->receivedSummaries.front();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{90}, received.coveredRouters);
        CPPUNIT_ASSERT_EQUAL(MaxReportRows, received.loads.size());
        CPPUNIT_ASSERT(received.placements == summary.placements);
        CPPUNIT_ASSERT_MESSAGE("a router that only gets summaries gets no reports", m_sources[1]->received.empty());
        m_exchanges[0]->setSummaryPeers({});
        summary.coveredRouters = 91; // tells it from those that are still under way
        m_exchanges[0]->sendSummary(m_routers[1], encodeLoadSummary(summary));
        CPPUNIT_ASSERT(!tickUntil(
            [this] {
                return m_sources[1]->receivedSummaries.back().coveredRouters == 91;
            },
            std::chrono::milliseconds{100}));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerExchangeTest);

} // namespace carawaylatch::proxy::testing
