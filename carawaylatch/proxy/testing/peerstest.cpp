// Load reports between routers: their bytes, their sums, what placement makes of
// them, and the connections that carry them.
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

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/loadreport.h"
#include "carawaylatch/proxy/peerexchange.h"
#include "carawaylatch/proxy/peerwork.h"
#include "carawaylatch/proxy/placement.h"
#include "carawaylatch/proxy/promptstate.h"
#include "carawaylatch/proxy/upstreambook.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

namespace
{

const base::TimePoint Start{base::hours{1}};

LoadReport randomReport(base::Random &random)
{
    LoadReport report;
    report.sender = 1 + random.below(4);
    report.life = 1 + random.below(2);
    report.isWhole = random.below(4) == 0;
    for (std::uint64_t i = random.below(5); i > 0; --i) {
        const auto figure = [&random] {
            return static_cast<std::uint32_t>(random.below(3) == 0 ? 0 : random.below(50'000));
        };
        report.work.push_back({random.below(6), figure(), figure(), figure()});
    }
    for (std::uint64_t i = random.below(3); i > 0; --i) {
        report.placements.push_back({random.next(), random.below(6)});
    }
    return report;
}

} // namespace

class LoadReportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadReportTest);
    CPPUNIT_TEST(testEveryReportComesBack);
    CPPUNIT_TEST(testEveryCutAndEveryChangedByte);
    CPPUNIT_TEST(testRowsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEveryReportComesBack()
    {
        base::Random random(carawaylatch::testing::seed());
        for (int i = 0; i < 500; ++i) {
            const LoadReport report = randomReport(random);
            const std::string bytes = encodeLoadReport(report);
            const auto decoded = decodeLoadReport(bytes);
            CPPUNIT_ASSERT(decoded.has_value());
            CPPUNIT_ASSERT_EQUAL(bytes, encodeLoadReport(decoded.value()));
            CPPUNIT_ASSERT_EQUAL(report.work.size(), decoded.value().work.size());
            CPPUNIT_ASSERT_EQUAL(report.isWhole, decoded.value().isWhole);
        }
    }

    void testEveryCutAndEveryChangedByte()
    {
        LoadReport report;
        report.work = {{7, 1, 2, 3}, {8, 4, 5, 6}};
        report.placements = {{9, 7}};
        const std::string bytes = encodeLoadReport(report);
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            CPPUNIT_ASSERT_MESSAGE("cut at " + std::to_string(n), !decodeLoadReport(std::string_view(bytes).substr(0, n)).has_value());
        }
        CPPUNIT_ASSERT_MESSAGE("bytes beyond the rows", !decodeLoadReport(bytes + 'x').has_value());
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            for (int value = 0; value < 256; ++value) {
                std::string changed = bytes;
                changed[i] = static_cast<char>(value);
                if (const auto decoded = decodeLoadReport(changed)) {
                    CPPUNIT_ASSERT_EQUAL(bytes.size(), encodeLoadReport(decoded.value()).size());
                }
            }
        }
    }

    void testRowsAreBounded()
    {
        LoadReport report;
        report.work.resize(MaxReportRows + 10);
        report.placements.resize(MaxReportRows + 10);
        const std::string bytes = encodeLoadReport(report);
        CPPUNIT_ASSERT_EQUAL(MaxReportBytes, bytes.size());
        CPPUNIT_ASSERT_EQUAL(MaxReportRows, decodeLoadReport(bytes).value().work.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LoadReportTest);

class PeerWorkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerWorkTest);
    CPPUNIT_TEST(testSumsAgainstAPlainModel);
    CPPUNIT_TEST(testSilentPeersCountNoMore);
    CPPUNIT_TEST(testPeersAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // The sums equal those of a table of all rows that is added up anew each time.
    void testSumsAgainstAPlainModel()
    {
        struct Row
        {
            std::uint64_t life = 0;
            base::TimePoint heardAt;
            std::map<std::uint64_t, UpstreamWork> work;
        };
        base::Random random(carawaylatch::testing::seed());
        PeerWork work;
        std::map<std::uint64_t, Row> model;
        base::TimePoint now = Start;
        for (int i = 0; i < 3000; ++i) {
            now += base::milliseconds{static_cast<int>(random.below(120))};
            work.expire(now);
            std::erase_if(model, [now](const auto &it) {
                return now - it.second.heardAt > PeerWork::PeerLife;
            });
            const LoadReport report = randomReport(random);
            const auto known = model.find(report.sender);
            const bool isUsable = report.isWhole || (known != model.end() && known->second.life == report.life);
            CPPUNIT_ASSERT_EQUAL(isUsable, work.apply(report, now));
            if (isUsable) {
                Row &row = model[report.sender];
                row.life = report.life;
                row.heardAt = now;
                if (report.isWhole) {
                    row.work.clear();
                }
                for (const UpstreamWork &it : report.work) {
                    row.work[it.upstream] = it;
                }
            }
            CPPUNIT_ASSERT_EQUAL(model.size(), work.peers());
            for (std::uint64_t upstream = 0; upstream < 6; ++upstream) {
                UpstreamWork sum;
                for (const auto &[sender, row] : model) {
                    if (const auto it = row.work.find(upstream); it != row.work.end()) {
                        sum.requests += it->second.requests;
                        sum.unreadTokens += it->second.unreadTokens;
                        sum.memoryTokens += it->second.memoryTokens;
                    }
                }
                CPPUNIT_ASSERT_EQUAL(sum.requests, work.at(upstream).requests);
                CPPUNIT_ASSERT_EQUAL(sum.unreadTokens, work.at(upstream).unreadTokens);
                CPPUNIT_ASSERT_EQUAL(sum.memoryTokens, work.at(upstream).memoryTokens);
            }
        }
    }

    void testSilentPeersCountNoMore()
    {
        PeerWork work;
        CPPUNIT_ASSERT(work.apply({1, 1, true, {{5, 3, 100, 200}}, {}}, Start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, work.expire(Start + PeerWork::PeerLife));
        CPPUNIT_ASSERT_EQUAL(3U, work.at(5).requests);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, work.expire(Start + PeerWork::PeerLife + base::milliseconds{1}));
        CPPUNIT_ASSERT_EQUAL(0U, work.at(5).requests);
        CPPUNIT_ASSERT_MESSAGE("changes alone don't tell the whole", !work.apply({1, 1, false, {{5, 1, 0, 0}}, {}}, Start));
    }

    void testPeersAreBounded()
    {
        PeerWork work;
        for (std::uint64_t sender = 1; sender <= PeerWork::MaxPeers; ++sender) {
            CPPUNIT_ASSERT(work.apply({sender, 1, true, {}, {}}, Start));
        }
        CPPUNIT_ASSERT(!work.apply({PeerWork::MaxPeers + 1, 1, true, {}, {}}, Start));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerWorkTest);

// Two routers in front of four engines of one model.
class SharedPlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharedPlacementTest);
    CPPUNIT_TEST(testQueueOfAnotherRouterIsAvoided);
    CPPUNIT_TEST(testPromptThatAnotherRouterPlacedIsFound);
    CPPUNIT_TEST(testMemoryOfOthersIsCounted);
    CPPUNIT_TEST(testPlacesOfAServiceAreSharedOut);
    CPPUNIT_TEST(testEstimateWithoutReports);
    CPPUNIT_TEST(testBurstSpreadsEvenly);
    CPPUNIT_TEST(testChangesAreReportedOnce);
    CPPUNIT_TEST(testUpstreamThatIsGoneIsReportedBeforeItIsForgotten);
    CPPUNIT_TEST_SUITE_END();

    FleetView m_view;
    UpstreamBook m_books[2];
    PlacementTuning m_tuning;

    PlacementQuery query(std::uint64_t prompt)
    {
        PlacementQuery out;
        out.now = Start;
        out.pool = base::PoolName("engines");
        out.model = base::ModelId("m");
        out.promptKey = prompt;
        out.sharedTokens = prompt != 0 ? 6000 : 0;
        out.memoryTokens = 9100;
        out.domain = base::FailureDomain("a");
        return out;
    }
    UpstreamRecord *placeAt(int router, const PlacementQuery &query)
    {
        return place(query, m_view, m_books[router], m_tuning).record;
    }
    // What router `from` did since the last call reaches the other one.
    void report(int from)
    {
        LoadReport changes = m_books[from].takeChanges();
        changes.sender = static_cast<std::uint64_t>(from) + 1;
        changes.life = 1;
        CPPUNIT_ASSERT(m_books[1 - from].heardOf(changes, Start));
    }

public:
    void setUp() override
    {
        auto table = std::make_shared<RouteTable>();
        table->pools.push_back(Pool{base::PoolName("engines"), 100, EngineShape{50'000, 64}});
        table->pools.push_back(Pool{base::PoolName("services"), 100, std::nullopt});
        m_view = FleetView{};
        m_view.table = table;
        m_view.routers = 2;
        for (const char *id : {"e1", "e2", "e3", "e4", "s1"}) {
            Upstream upstream;
            upstream.id = base::UpstreamId(id);
            upstream.pool = base::PoolName(*id == 'e' ? "engines" : "services");
            upstream.domain = base::FailureDomain("a");
            upstream.endpoint = base::Endpoint{"127.0.0.1", 1};
            upstream.slots = *id == 'e' ? 64 : 4;
            if (*id == 'e') {
                upstream.models[base::ModelId("m")] = base::WeightsVersion{1};
            }
            m_view.upstreams.push_back(upstream);
        }
        for (int router = 0; router < 2; ++router) {
            m_books[router] = UpstreamBook{};
            m_books[router].adopt(m_view, Start);
            LoadReport whole;
            whole.sender = static_cast<std::uint64_t>(1 - router) + 1;
            whole.life = 1;
            whole.isWhole = true;
            CPPUNIT_ASSERT(m_books[router].heardOf(whole, Start));
        }
    }

    void testQueueOfAnotherRouterIsAvoided()
    {
        UpstreamRecord *home = placeAt(0, query(3));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("both routers know the same home", home->upstream.id, placeAt(1, query(3))->upstream.id);
        m_books[0].began(*home, AttemptWeight{9100, 30'000}, Start);
        report(0);
        CPPUNIT_ASSERT(home->upstream.id != placeAt(1, query(3))->upstream.id);
    }

    void testPromptThatAnotherRouterPlacedIsFound()
    {
        const base::UpstreamId home = placeAt(0, query(3))->upstream.id;
        const base::UpstreamId other(home.value() == "e1" ? "e2" : "e1");
        m_books[0].placed(promptStateKey(3, base::WeightsVersion{1}), *m_books[0].find(other), Start);
        report(0);
        CPPUNIT_ASSERT_EQUAL(other, placeAt(1, query(3))->upstream.id);
    }

    void testMemoryOfOthersIsCounted()
    {
        for (const char *id : {"e1", "e2", "e3", "e4"}) {
            m_books[0].began(*m_books[0].find(base::UpstreamId(id)), AttemptWeight{36'000, 0}, Start);
        }
        CPPUNIT_ASSERT(placeAt(1, query(0)) != nullptr);
        report(0);
        CPPUNIT_ASSERT_MESSAGE("36,000 and 9,100 are more than 90% of 50,000", placeAt(1, query(0)) == nullptr);
    }

    void testPlacesOfAServiceAreSharedOut()
    {
        PlacementQuery call;
        call.now = Start;
        call.pool = base::PoolName("services");
        int placed = 0;
        for (; placed < 100; ++placed) {
            UpstreamRecord *record = placeAt(placed % 2, call);
            if (record == nullptr) {
                break;
            }
            m_books[placed % 2].began(*record, {}, Start);
            report(placed % 2);
        }
        CPPUNIT_ASSERT_EQUAL(4 * static_cast<int>(m_tuning.serviceQueueFactor), placed);
    }

    // Without reports a router takes its own part for that of each router.
    void testEstimateWithoutReports()
    {
        m_view.routers = 4;
        UpstreamRecord &record = *m_books[0].find(base::UpstreamId("e1"));
        m_books[0].began(record, AttemptWeight{9000, 5000}, Start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4 * 5000, m_books[0].workAt(record, 4, Start).unreadTokens, 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9000, m_books[0].workAt(record, 4, Start).memoryTokens, 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5000, m_books[0].workAt(record, 2, Start).unreadTokens, 0.1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_books[0].forgetSilentPeers(Start + base::seconds{2}));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2 * 5000, m_books[0].workAt(record, 2, Start).unreadTokens, 0.1);
    }

    // A burst of prompts that share nothing, at both routers in turn.
    void testBurstSpreadsEvenly()
    {
        std::map<base::UpstreamId, int> prompts;
        for (int i = 0; i < 16; ++i) {
            UpstreamRecord *record = placeAt(i % 2, query(0));
            CPPUNIT_ASSERT(record != nullptr);
            m_books[i % 2].began(*record, AttemptWeight{9100, 9000}, Start);
            report(i % 2);
            ++prompts[record->upstream.id];
        }
        for (const auto &[id, n] : prompts) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id.value(), 4, n);
        }
    }

    void testChangesAreReportedOnce()
    {
        UpstreamRecord &record = *m_books[0].find(base::UpstreamId("e1"));
        m_books[0].began(record, AttemptWeight{9000, 5000}, Start);
        m_books[0].started(record, AttemptWeight{9000, 5000});
        m_books[0].placed(7, record, Start);
        m_books[0].placed(7, record, Start);
        const LoadReport changes = m_books[0].takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.work.size());
        CPPUNIT_ASSERT_EQUAL(1U, changes.work[0].requests);
        CPPUNIT_ASSERT_EQUAL(0U, changes.work[0].unreadTokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.placements.size());
        CPPUNIT_ASSERT(m_books[0].takeChanges().work.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_books[0].wholeReport().work.size());
    }

    void testUpstreamThatIsGoneIsReportedBeforeItIsForgotten()
    {
        UpstreamRecord &record = *m_books[0].find(base::UpstreamId("e1"));
        m_books[0].began(record, AttemptWeight{9000, 5000}, Start);
        report(0);
        m_books[0].ended(record, AttemptWeight{9000, 5000}, false, AttemptEnd::Broken, Start);
        m_view.upstreams.erase(m_view.upstreams.begin());
        m_books[0].adopt(m_view, Start);
        const LoadReport changes = m_books[0].takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.work.size());
        CPPUNIT_ASSERT_EQUAL(0U, changes.work[0].requests);
        m_books[0].adopt(m_view, Start);
        CPPUNIT_ASSERT(m_books[0].find(base::UpstreamId("e1")) == nullptr);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SharedPlacementTest);

// Exchanges on loopback addresses of their own, ticked by hand.
class PeerExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerExchangeTest);
    CPPUNIT_TEST(testRingIsMutualAndBounded);
    CPPUNIT_TEST(testReportsArrive);
    CPPUNIT_TEST(testRestartedPeerGetsTheWhole);
    CPPUNIT_TEST(testSilentPeerHoldsNothingUp);
    CPPUNIT_TEST(testBytesThatAreNoReport);
    CPPUNIT_TEST(testPeerThatIsGone);
    CPPUNIT_TEST(testOffWithoutAddress);
    CPPUNIT_TEST_SUITE_END();

    class Source : public LoadReportSource
    {
    public:
        LoadReport takeChanges() override
        {
            return std::exchange(next, {});
        }
        LoadReport wholeReport() const override
        {
            LoadReport out = whole;
            out.isWhole = true;
            return out;
        }
        void onReport(const LoadReport &report) override
        {
            received.push_back(report);
        }
        LoadReport next;
        LoadReport whole;
        void onPeerGone(const base::Endpoint &peer) override
        {
            gone.push_back(peer);
        }
        std::vector<LoadReport> received;
        std::vector<base::Endpoint> gone;
    };

    boost::asio::io_context m_loop{1};
    base::SteadyClock m_clock;
    int m_null = -1;
    std::unique_ptr<telemetry::DecisionLog> m_log;
    std::vector<std::unique_ptr<Source>> m_sources;
    std::vector<std::unique_ptr<PeerExchange>> m_exchanges;
    std::vector<base::Endpoint> m_routers;

    static base::Endpoint freeEndpoint(boost::asio::io_context &loop)
    {
        Tcp::acceptor acceptor(loop, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        return {"127.0.0.1", acceptor.local_endpoint().port()};
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
    // Ticks all exchanges until the condition holds; false after two seconds.
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
    bool hasHeard(std::size_t at, std::uint64_t upstream)
    {
        for (const LoadReport &report : m_sources[at]->received) {
            for (const UpstreamWork &work : report.work) {
                if (work.upstream == upstream) {
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
        m_log = std::make_unique<telemetry::DecisionLog>(m_null, 10'000, m_clock);
        for (int i = 0; i < 3; ++i) {
            m_routers.push_back(freeEndpoint(m_loop));
        }
    }
    void tearDown() override
    {
        m_exchanges.clear();
        m_loop.restart();
        m_loop.run_for(std::chrono::milliseconds{50});
        m_sources.clear();
        m_routers.clear();
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
        m_sources[0]->whole.work = {{41, 1, 2, 3}};
        connectAll();
        CPPUNIT_ASSERT_MESSAGE("the whole comes first", tickUntil([this] {
                                   return hasHeard(1, 41) && hasHeard(2, 41);
                               }));
        CPPUNIT_ASSERT(m_sources[1]->received.front().isWhole);
        m_sources[0]->next.work = {{42, 1, 2, 3}};
        CPPUNIT_ASSERT(tickUntil([this] {
            return hasHeard(1, 42) && hasHeard(2, 42);
        }));
        CPPUNIT_ASSERT(!m_sources[1]->received.back().isWhole);
        const std::size_t heard = m_sources[1]->received.size();
        CPPUNIT_ASSERT_MESSAGE("a sign of life where nothing changes", tickUntil([this, heard] {
                                   return m_sources[1]->received.size() > heard + 2;
                               }));
    }

    void testRestartedPeerGetsTheWhole()
    {
        addExchange(m_routers[0]);
        addExchange(m_routers[1]);
        m_sources[0]->whole.work = {{41, 1, 2, 3}};
        connectAll();
        CPPUNIT_ASSERT(tickUntil([this] {
            return hasHeard(1, 41);
        }));
        m_exchanges[1].reset();
        m_sources[1]->received.clear();
        CPPUNIT_ASSERT(!tickUntil(
            [this] {
                return hasHeard(1, 41);
            },
            std::chrono::milliseconds{100}));
        m_exchanges[1] = std::make_unique<PeerExchange>(m_loop, m_clock, m_routers[1], "again", *m_sources[1], *m_log);
        CPPUNIT_ASSERT(m_exchanges[1]->listen().has_value());
        CPPUNIT_ASSERT(tickUntil(
            [this] {
                return hasHeard(1, 41);
            },
            std::chrono::milliseconds{5000}));
    }

    // A peer that takes connections and answers nothing; the other one goes on.
    void testSilentPeerHoldsNothingUp()
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
            m_sources[0]->next.work = {{upstream, 1, 2, 3}};
            CPPUNIT_ASSERT(tickUntil([this, upstream] {
                return hasHeard(1, upstream);
            }));
        }
    }

    void testBytesThatAreNoReport()
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
        m_sources[1]->whole.work = {{7, 1, 1, 1}};
        CPPUNIT_ASSERT_MESSAGE("sound peers are heard afterwards", tickUntil(
                                                                       [this] {
                                                                           return hasHeard(0, 7);
                                                                       },
                                                                       std::chrono::milliseconds{5000}));
    }

    // Nobody listens at the second address, and the third takes connections but answers
    // nothing, as a suspended process does; time passes in steps of ten seconds.
    void testPeerThatIsGone()
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
        pass(PeerExchange::GoneTime);
        CPPUNIT_ASSERT(source.gone.empty());
        pass(step * 5); // the silent one counts from its first missing answer
        const std::set<base::Endpoint> gone(source.gone.begin(), source.gone.end());
        CPPUNIT_ASSERT(gone == std::set<base::Endpoint>(m_routers.begin() + 1, m_routers.end()));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("each told once", std::size_t{2}, source.gone.size());
        pass(PeerExchange::GoneTime + step);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("and again", std::size_t{4}, source.gone.size());
    }

    void testOffWithoutAddress()
    {
        addExchange(base::Endpoint{});
        m_exchanges[0]->setRouters(m_routers);
        m_sources[0]->next.work = {{7, 1, 1, 1}};
        m_exchanges[0]->tick();
        CPPUNIT_ASSERT_MESSAGE("changes are taken all the same", m_sources[0]->next.work.empty());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerExchangeTest);

} // namespace carawaylatch::proxy::testing
