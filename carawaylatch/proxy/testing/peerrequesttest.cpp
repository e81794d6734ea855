// Tests of requests between routers, over loopback. Time is a manual clock; the loop runs only until a condition holds.
#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "carawaylatch/peer/http2session.h"
#include "carawaylatch/proxy/peerexchange.h"

namespace carawaylatch::proxy::testing
{

namespace
{

// Answers requests with their body reversed, and counts what it gets.
class EchoSource : public PeerReportSource
{
public:
    LoadReport takeChanges() override
    {
        return {};
    }
    LoadReport fullReport() const override
    {
        return {0, 0, true, {}, {}};
    }
    void onReport(const LoadReport & /*report*/) override
    {
        ++reports;
    }
    FaultReport takeFaultChanges() override
    {
        return {};
    }
    FaultReport fullFaultReport() const override
    {
        return {};
    }
    void onFaultReport(const FaultReport & /*report*/) override
    {
        ++reports;
    }
    ReachReport reachReport() const override
    {
        return {0, true, 0, base::FailureDomain("a"), {"10.1.0.3", 80}, {}};
    }
    void onReachReport(const ReachReport & /*report*/) override
    {
        ++reports;
    }
    void onPeerUnreachable(const base::Endpoint & /*peer*/) override
    {
        ++unreachable;
    }
    std::string onPeerRequest(std::string_view body) override
    {
        ++requests;
        return {body.rbegin(), body.rend()};
    }
    int reports = 0;
    int requests = 0;
    int unreachable = 0;
};

// A peer whose responses the tests choose.
class StandInPeer
{
public:
    StandInPeer(boost::asio::io_context &loop, const base::Clock &clock, std::uint16_t port)
        : m_clock(clock)
        , m_acceptor(loop, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port))
    {
        accept();
    }
    void closeConnections()
    {
        for (const auto &it : connections) {
            it->socket.close();
        }
    }

    struct Connection
    {
        explicit Connection(Tcp::socket opened)
            : socket(std::move(opened))
        {
            socket.set_option(Tcp::no_delay(true)); // Nagle's algorithm delays a second response for longer than settle() runs
        }
        Tcp::socket socket;
        peer::Http2Session session{peer::Http2Session::Role::Server, MaxReportBytes * 2};
        std::array<char, 4096> chunk{};
        std::vector<peer::Http2Session::Request> waiting; // not answered
    };
    enum class Reading {
        Yes,
        No,
        CloseAtOnce,
        CloseAtRequest,
    };
    Reading reading = Reading::Yes;
    std::optional<std::pair<int, std::string>> response; // nothing: requests wait
    std::vector<std::shared_ptr<Connection>> connections;
    std::vector<base::TimePoint> acceptedAt;
    std::size_t bytes = 0; // received

    static void respond(Connection &to, std::int32_t stream, int status, const std::string &body)
    {
        to.session.respond(stream, status, body);
        send(to);
    }

private:
    // All responses of the tests fit into the buffers of a socket.
    static void send(Connection &to)
    {
        const std::string output = to.session.takeOutput();
        boost::system::error_code ec;
        for (std::size_t sent = 0; sent < output.size() && !ec;) {
            sent += to.socket.write_some(boost::asio::buffer(output.data() + sent, output.size() - sent), ec);
        }
    }
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &ec, Tcp::socket socket) {
            if (ec) {
                return;
            }
            acceptedAt.push_back(m_clock.now());
            if (reading != Reading::CloseAtOnce) {
                connections.push_back(std::make_shared<Connection>(std::move(socket)));
                if (reading != Reading::No) {
                    read(connections.back());
                }
            }
            accept();
        });
    }
    void read(const std::shared_ptr<Connection> &it)
    {
        it->socket.async_read_some(boost::asio::buffer(it->chunk), [this, it](const boost::system::error_code &ec, std::size_t n) {
            if (ec || !it->session.receive({it->chunk.data(), n})) {
                return;
            }
            bytes += n;
            for (auto &request : it->session.takeRequests()) {
                if (reading == Reading::CloseAtRequest) {
                    it->socket.close();
                    return;
                }
                if (response) {
                    it->session.respond(request.stream, response->first, response->second);
                } else {
                    it->waiting.push_back(std::move(request));
                }
            }
            send(*it);
            read(it);
        });
    }

    const base::Clock &m_clock;
    Tcp::acceptor m_acceptor;
};

} // namespace

class PeerRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerRequestTest);
    CPPUNIT_TEST(testRequestsAreAnswered);
    CPPUNIT_TEST(testReportsGoToReportPeersOnly);
    CPPUNIT_TEST(testFailedRequests);
    CPPUNIT_TEST(testSilentPeers);
    CPPUNIT_TEST(testPartlySilentPeer);
    CPPUNIT_TEST(testUnansweredRequestsAreBounded);
    CPPUNIT_TEST(testPeersRemovedDuringRequests);
    CPPUNIT_TEST(testRestartedPeerIsReachedSoon);
    CPPUNIT_TEST(testLossIsLoggedLate);
    CPPUNIT_TEST(testInboundConnectionsOfALargeFleet);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_loop{1};
    base::ManualClock m_clock;
    int m_logFile = -1;
    std::unique_ptr<telemetry::EventLog> m_log;
    std::vector<Tcp::acceptor> m_reserved; // bound, not listening
    std::vector<std::unique_ptr<EchoSource>> m_sources;
    std::vector<std::unique_ptr<PeerExchange>> m_exchanges;
    std::unique_ptr<StandInPeer> m_peer;

    using Answers = std::vector<std::optional<std::string>>;

    base::Endpoint reserveEndpoint()
    {
        Tcp::acceptor &socket = m_reserved.emplace_back(m_loop, Tcp::v4());
        socket.set_option(boost::asio::socket_base::reuse_address(true));
        socket.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
        return {"127.0.0.1", socket.local_endpoint().port()};
    }
    PeerExchange &addExchange(const base::Endpoint &endpoint)
    {
        m_sources.push_back(std::make_unique<EchoSource>());
        m_exchanges.push_back(std::make_unique<PeerExchange>(m_loop, m_clock, endpoint, "r", *m_sources.back(), *m_log));
        CPPUNIT_ASSERT(m_exchanges.back()->listen().has_value());
        return *m_exchanges.back();
    }
    void pass(base::Duration step)
    {
        m_clock.advance(step);
        for (const auto &exchange : m_exchanges) {
            exchange->tick();
        }
        m_loop.restart();
        m_loop.run_for(std::chrono::milliseconds{2});
    }
    // Advances the clock by `step` in each round; the bound on rounds only ends a test that fails.
    bool passUntil(const std::function<bool()> &condition, base::Duration step = {})
    {
        for (int i = 0; i < 2000; ++i) {
            pass(step);
            if (condition()) {
                return true;
            }
        }
        return false;
    }
    // Runs until so many requests are completed, without time passing.
    void waitFor(const Answers &answers, std::size_t count)
    {
        CPPUNIT_ASSERT(passUntil([&answers, count] {
            return answers.size() >= count;
        }));
    }
    // Rounds without time passing, in which what must not happen could happen.
    void settle()
    {
        for (int i = 0; i < 15; ++i) {
            pass({});
        }
    }
    static PeerExchange::RequestHandler addTo(Answers &answers)
    {
        return [&answers](std::optional<std::string> body) {
            answers.push_back(std::move(body));
        };
    }
    // An exchange that is connected to a stand-in for requests only.
    std::pair<PeerExchange &, base::Endpoint> connectToStandIn(StandInPeer::Reading reading = StandInPeer::Reading::Yes)
    {
        const base::Endpoint endpoint = reserveEndpoint();
        m_peer = std::make_unique<StandInPeer>(m_loop, m_clock, endpoint.port);
        m_peer->reading = reading;
        PeerExchange &exchange = addExchange(reserveEndpoint());
        exchange.setRequestPeers(std::vector{endpoint});
        CPPUNIT_ASSERT(passUntil([this, reading] {
            return !m_peer->connections.empty() && (reading == StandInPeer::Reading::No || m_peer->bytes > 0);
        }));
        settle();
        return {exchange, endpoint};
    }
    [[nodiscard]] std::size_t logged(const std::string &text) const
    {
        m_log->flush();
        std::array<char, 16'384> buf{};
        const auto n = ::pread(m_logFile, buf.data(), buf.size(), 0);
        const std::string all(buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        std::size_t count = 0;
        for (std::size_t at = all.find(text); at != std::string::npos; at = all.find(text, at + 1)) {
            ++count;
        }
        return count;
    }

public:
    void setUp() override
    {
        m_logFile = ::open("/tmp", O_TMPFILE | O_RDWR | O_CLOEXEC, 0600);
        CPPUNIT_ASSERT(m_logFile >= 0);
        m_log = std::make_unique<telemetry::EventLog>(m_logFile, 10'000, m_clock);
    }
    void tearDown() override
    {
        m_exchanges.clear();
        if (m_peer) {
            m_peer->closeConnections();
        }
        m_loop.restart();
        m_loop.run_for(std::chrono::milliseconds{20});
        m_peer.reset();
        m_loop.restart();
        m_loop.poll();
        m_sources.clear();
        m_reserved.clear();
        m_log.reset();
        ::close(m_logFile);
    }

    void testRequestsAreAnswered()
    {
        const base::Endpoint endpoint = reserveEndpoint();
        addExchange(endpoint);
        PeerExchange &caller = addExchange(reserveEndpoint());
        caller.setRequestPeers(std::vector{endpoint});
        Answers early;
        caller.request(endpoint, "\6x", addTo(early));
        CPPUNIT_ASSERT_MESSAGE("handlers are not called inline", early.empty());
        waitFor(early, 1);
        CPPUNIT_ASSERT(early == Answers{std::nullopt});
        Answers answers;
        settle();
        const std::string large = '\7' + std::string(10'000, 'l') + "x\6";
        for (const std::string &body : {std::string("\6x\6"), std::string("\7yz\6"), large}) {
            caller.request(endpoint, body, addTo(answers));
        }
        CPPUNIT_ASSERT(passUntil([&answers] {
            return answers.size() == 3;
        }));
        CPPUNIT_ASSERT(answers[0] == "\6x\6" && answers[1] == "\6zy\7" && answers[2] == std::string(large.rbegin(), large.rend()));
        CPPUNIT_ASSERT_EQUAL(3, m_sources[0]->requests);
    }

    void testReportsGoToReportPeersOnly()
    {
        const auto [exchange, endpoint] = connectToStandIn();
        m_peer->response = {204, ""};
        const std::size_t bytes = m_peer->bytes;
        for (int i = 0; i < 20; ++i) {
            pass(base::milliseconds{200});
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("nothing is sent while no request is in progress", bytes, m_peer->bytes);
        m_peer->response.reset();
        exchange.setRouters(std::vector{endpoint});
        CPPUNIT_ASSERT_MESSAGE("a full report and a reach report", passUntil([this] {
                                   return m_peer->connections[0]->waiting.size() == 2;
                               }));
        CPPUNIT_ASSERT_EQUAL('\1', m_peer->connections[0]->waiting[0].body[0]);
        CPPUNIT_ASSERT_EQUAL('\1', m_peer->connections[0]->waiting[0].body[1]);
        // Responses to reports and requests are told apart, whatever their order.
        Answers answers;
        exchange.request(endpoint, "\6", addTo(answers));
        CPPUNIT_ASSERT(passUntil([this] {
            return m_peer->connections[0]->waiting.size() == 3;
        }));
        StandInPeer::Connection &connection = *m_peer->connections[0];
        StandInPeer::respond(connection, connection.waiting[2].stream, 200, "answer");
        StandInPeer::respond(connection, connection.waiting[0].stream, 204, "");
        StandInPeer::respond(connection, connection.waiting[1].stream, 204, "");
        waitFor(answers, 1);
        CPPUNIT_ASSERT(answers == Answers{"answer"});
        m_peer->response = {204, ""};
        exchange.setRequestPeers({});
        CPPUNIT_ASSERT_MESSAGE("reports go on", passUntil(
                                                    [this, before = m_peer->bytes] {
                                                        return m_peer->bytes > before + 200;
                                                    },
                                                    base::milliseconds{100}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("all on one connection", std::size_t{1}, m_peer->connections.size());
        exchange.setRequestPeers(std::vector{endpoint});
        exchange.setRouters({});
        settle();
        const std::size_t after = m_peer->bytes;
        for (int i = 0; i < 20; ++i) {
            pass(base::milliseconds{200});
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("and end with that purpose", after, m_peer->bytes);
    }

    void testFailedRequests()
    {
        struct Case
        {
            const char *name;
            StandInPeer::Reading reading;
            int status;
            std::string body;
        };
        const std::vector<Case> cases{
            {"a former build", StandInPeer::Reading::Yes, 204, ""},
            {"another status", StandInPeer::Reading::Yes, 500, "text"},
            {"no body", StandInPeer::Reading::Yes, 200, ""},
            {"a body over the limit", StandInPeer::Reading::Yes, 200, std::string(MaxReportBytes + 1, 'x')},
            {"closed instead of a response", StandInPeer::Reading::CloseAtRequest, 200, "text"},
        };
        const auto [exchange, endpoint] = connectToStandIn();
        for (const Case &it : cases) {
            m_peer->reading = it.reading;
            m_peer->response = {it.status, it.body};
            Answers answers;
            exchange.request(endpoint, "\6", addTo(answers));
            CPPUNIT_ASSERT_MESSAGE(it.name, answers.empty());
            waitFor(answers, 1);
            settle();
            CPPUNIT_ASSERT_MESSAGE(it.name, answers == Answers{std::nullopt});
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("only the last case ends the connection", std::size_t{1}, m_peer->connections.size());
    }

    // A suspended process, for which the kernel accepts connections, and one that reads but never responds.
    void testSilentPeers()
    {
        for (const auto reading : {StandInPeer::Reading::No, StandInPeer::Reading::Yes}) {
            const auto [exchange, endpoint] = connectToStandIn(reading);
            Answers answers;
            exchange.request(endpoint, "\7" + std::string(10'000, 'x'), addTo(answers));
            pass(base::milliseconds{900});
            settle();
            CPPUNIT_ASSERT(answers.empty());
            pass(base::milliseconds{200});
            waitFor(answers, 1);
            CPPUNIT_ASSERT(answers == Answers{std::nullopt});
            tearDown();
            setUp();
        }
    }

    // A peer that responds to each request but one must not keep that one for ever.
    void testPartlySilentPeer()
    {
        const auto [exchange, endpoint] = connectToStandIn();
        Answers kept;
        exchange.request(endpoint, "\6", addTo(kept));
        settle();
        m_peer->response = {200, "x"};
        Answers answers;
        for (int i = 0; i < 5; ++i) {
            exchange.request(endpoint, "\6", addTo(answers));
            pass(base::milliseconds{250});
            waitFor(answers, static_cast<std::size_t>(i) + 1);
        }
        waitFor(kept, 1);
        CPPUNIT_ASSERT(kept == Answers{std::nullopt});
    }

    void testUnansweredRequestsAreBounded()
    {
        const auto [exchange, endpoint] = connectToStandIn();
        std::vector<Answers> answers(MaxUnansweredRequests + 5);
        for (std::size_t i = 0; i < answers.size(); ++i) {
            exchange.request(endpoint, '\6' + std::to_string(i), addTo(answers[i]));
        }
        CPPUNIT_ASSERT(passUntil([this] {
            return m_peer->connections[0]->waiting.size() >= MaxUnansweredRequests;
        }));
        settle();
        for (std::size_t i = 0; i < answers.size(); ++i) {
            CPPUNIT_ASSERT(answers[i] == (i < MaxUnansweredRequests ? Answers{} : Answers{std::nullopt}));
        }
        StandInPeer::Connection &connection = *m_peer->connections[0];
        CPPUNIT_ASSERT_EQUAL(MaxUnansweredRequests, connection.waiting.size());
        for (std::size_t i = MaxUnansweredRequests; i-- > 0;) {
            StandInPeer::respond(connection, connection.waiting[i].stream, 200, connection.waiting[i].body.substr(1));
        }
        for (std::size_t i = 0; i < MaxUnansweredRequests; ++i) {
            waitFor(answers[i], 1);
            CPPUNIT_ASSERT_MESSAGE("matched by stream", answers[i] == Answers{std::to_string(i)});
        }
        m_peer->response = {200, "again"};
        Answers again;
        exchange.request(endpoint, "\6", addTo(again));
        waitFor(again, 1);
        CPPUNIT_ASSERT(again == Answers{"again"});
    }

    void testPeersRemovedDuringRequests()
    {
        const auto [exchange, endpoint] = connectToStandIn();
        Answers answers;
        // The first handler to fail removes nothing that is still in use, and may send further requests.
        exchange.request(endpoint, "\6", [&, &caller = exchange, &to = endpoint](std::optional<std::string> body) {
            answers.push_back(std::move(body));
            caller.setRequestPeers(std::vector{to});
            caller.request(to, "\6", addTo(answers));
            caller.setRequestPeers({});
        });
        exchange.request(endpoint, "\6", addTo(answers));
        settle();
        exchange.setRequestPeers({});
        CPPUNIT_ASSERT(answers.empty());
        waitFor(answers, 3);
        settle();
        CPPUNIT_ASSERT(answers == Answers(3));
        exchange.setRequestPeers(std::vector{endpoint});
        CPPUNIT_ASSERT(passUntil([this] {
            return m_peer->connections.size() == 2;
        }));
        settle();
        exchange.request(endpoint, "\6", addTo(answers));
        exchange.closeAll();
        settle();
        CPPUNIT_ASSERT_MESSAGE("discarded, since the owner may be gone", answers == Answers(3));
    }

    // Connections are tried after 200 ms, then after at most 2 s: limits depend on the coordinator.
    void testRestartedPeerIsReachedSoon()
    {
        const auto [exchange, endpoint] = connectToStandIn();
        m_peer->acceptedAt.clear();
        m_peer->reading = StandInPeer::Reading::CloseAtOnce;
        const base::TimePoint lostAt = m_clock.now();
        m_peer->closeConnections();
        settle();
        for (int i = 0; i < 200; ++i) {
            pass(base::milliseconds{50});
        }
        const std::vector<base::TimePoint> &tries = m_peer->acceptedAt;
        CPPUNIT_ASSERT(tries.size() >= 4);
        CPPUNIT_ASSERT(tries[0] - lostAt >= base::milliseconds{200} && tries[0] - lostAt <= base::milliseconds{300});
        CPPUNIT_ASSERT(tries[1] - tries[0] >= base::milliseconds{400});
        for (std::size_t i = 1; i < tries.size(); ++i) {
            CPPUNIT_ASSERT(tries[i] - tries[i - 1] <= base::milliseconds{2200});
        }
        m_peer->reading = StandInPeer::Reading::Yes;
        m_peer->response = {200, "back"};
        pass(base::seconds{2});
        settle();
        Answers answers;
        exchange.request(endpoint, "\6", addTo(answers));
        waitFor(answers, 1);
        CPPUNIT_ASSERT(answers == Answers{"back"});
    }

    void testLossIsLoggedLate()
    {
        const auto [exchange, endpoint] = connectToStandIn();
        const auto loseFor = [this](base::Duration time) {
            m_peer->reading = StandInPeer::Reading::CloseAtOnce;
            m_peer->closeConnections();
            settle();
            for (base::Duration passed{}; passed < time; passed += base::milliseconds{100}) {
                pass(base::milliseconds{100});
            }
            const std::size_t lost = logged("E2418");
            m_peer->reading = StandInPeer::Reading::Yes;
            for (int i = 0; i < 30; ++i) {
                pass(base::milliseconds{100});
            }
            return lost;
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, loseFor(base::seconds{2}));
        // The peer was back without any request in progress, so this is a new loss.
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, loseFor(base::seconds{2}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, logged("E2419"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loseFor(base::seconds{7}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, logged("E2419"));
        m_peer->reading = StandInPeer::Reading::CloseAtOnce;
        m_peer->closeConnections();
        for (int i = 0; i < 100; ++i) {
            pass(base::seconds{10});
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("report peers only", 0, m_sources[0]->unreachable);
    }

    // More routers than the connections of load reports: each must reach a coordinator.
    void testInboundConnectionsOfALargeFleet()
    {
        constexpr std::size_t Routers = 100;
        const base::Endpoint endpoint = reserveEndpoint();
        addExchange(endpoint);
        std::vector<base::Endpoint> routers{endpoint};
        for (std::size_t i = 1; i <= Routers; ++i) {
            routers.push_back(reserveEndpoint());
            addExchange(routers.back()).setRequestPeers(std::vector{endpoint});
        }
        const auto countAnswered = [&] {
            Answers answers;
            for (std::size_t i = 1; i <= Routers; ++i) {
                m_exchanges[i]->request(endpoint, "\6", addTo(answers));
            }
            waitFor(answers, Routers);
            return static_cast<std::size_t>(std::count(answers.begin(), answers.end(), std::optional<std::string>("\6")));
        };
        settle();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("without a known fleet", 2 * MaxReportPeers, countAnswered());
        m_exchanges[0]->setRouters(routers);
        // The bound on rounds only ends a test that fails.
        std::size_t answered = 0;
        for (int i = 0; i < 800 && answered != Routers; ++i) {
            pass(base::milliseconds{100});
            if (i % 40 == 39) {
                settle();
                answered = countAnswered();
            }
        }
        CPPUNIT_ASSERT_EQUAL(Routers, answered);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerRequestTest);

} // namespace carawaylatch::proxy::testing
