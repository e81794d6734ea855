// Sockets of the peer protocol, by Boost.Asio on one thread.
//
// Every router listens, and keeps connections of its own to those it sends to;
// messages go one way on a connection, from the one who opened it. Connections
// that were idle longest are closed first when there are too many, which keeps
// them few, since a router sends mostly to the same others.
//
// A connection whose oldest message has no answer for AnswerTimeout is closed, so
// that one to a VM that vanished without a word doesn't swallow messages until TCP
// gives up. What waited on it is counted as dropped; senders repeat what matters.
#include "carawaylatch/peer/http2transport.h"

// Boost.Asio's templates use 0 for a pointer where they are instantiated.
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"

#include <boost/asio.hpp>

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "carawaylatch/peer/authenticatedcodec.h"
#include "carawaylatch/peer/http2session.h"

namespace carawaylatch::peer
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr base::Duration AnswerTimeout = base::seconds{3};
constexpr base::Duration ServerIdleTimeout = base::minutes{2};
constexpr base::Duration HousekeepingInterval = base::seconds{1};
constexpr std::size_t ServerConnectionFactor = 4; // connections of others, in own ones
constexpr std::size_t ReadBytes = 65'536;

int statusOf(PeerRefusal refusal)
{
    static constexpr std::array<int, PeerRefusalCount> Statuses{401, 426, 413, 400, 409};
    return Statuses.at(static_cast<std::size_t>(refusal));
}

constexpr int StatusTaken = 204;

} // namespace

class Http2Transport::Impl
{
public:
    explicit Impl(Http2TransportOptions options)
        : m_options(std::move(options))
        , m_acceptor(m_context)
        , m_housekeeping(m_context)
        , m_gate(m_options.self, m_options.key)
        , m_endpoint(m_options.listen)
    {
    }
    ~Impl()
    {
        stop();
    }

    base::Result<void> start(Handler handler);
    void stop();
    void send(const base::Endpoint &to, const PeerMessage &message);
    base::Endpoint endpoint() const
    {
        return m_endpoint;
    }
    PeerCounters counters() const
    {
        const std::lock_guard lock(m_mutex);
        return m_counters;
    }

private:
    // One socket with its protocol state. Lives as long as an operation on it is pending.
    struct Connection : std::enable_shared_from_this<Connection>
    {
        Connection(Impl &impl, Http2Session::Role connectionRole)
            : owner(impl)
            , role(connectionRole)
            , socket(impl.m_context)
            , session(connectionRole, MaxMessageBytes)
        {
        }
        Impl &owner;
        Http2Session::Role role;
        tcp::socket socket;
        Http2Session session;
        base::Endpoint peer; // of a client connection
        bool isConnected = false;
        bool isWriting = false;
        bool isClosed = false;
        base::TimePoint usedAt;
        std::string output; // under way
        std::array<char, ReadBytes> input{};
        std::deque<std::string> waiting; // messages before the connection stands
        std::size_t waitingBytes = 0; // of waiting and unanswered messages
        struct Unanswered
        {
            base::TimePoint sentAt;
            std::size_t bytes = 0;
        };
        std::map<std::int32_t, Unanswered> unanswered; // by stream
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    base::Result<void> listen();
    void accept();
    void post(const base::Endpoint &to, const PeerMessage &message);
    ConnectionPointer connectionTo(const base::Endpoint &to);
    void connect(const ConnectionPointer &connection);
    void submit(Connection &connection, std::string bytes);
    void read(const ConnectionPointer &connection);
    void write(const ConnectionPointer &connection);
    void process(const ConnectionPointer &connection);
    void receive(const ConnectionPointer &connection, const Http2Session::Request &request);
    void close(const ConnectionPointer &connection);
    void keepHouse();
    void closeIdleLongest();
    void countConnections();
    template <typename Change>
    void count(Change change)
    {
        const std::lock_guard lock(m_mutex);
        change(m_counters);
    }

    Http2TransportOptions m_options;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_housekeeping;
    std::thread m_thread; // runs m_context; all below but the counters belong to it
    Handler m_handler;
    AuthenticatedCodec m_gate;
    std::map<base::Endpoint, ConnectionPointer> m_clients; // at most maxConnections
    std::list<ConnectionPointer> m_servers; // at most ServerConnectionFactor times maxConnections
    base::Endpoint m_endpoint; // set before the thread starts
    mutable std::mutex m_mutex;
    PeerCounters m_counters; // guarded by m_mutex
    base::SteadyClock m_clock;
};

base::Result<void> Http2Transport::Impl::listen()
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(m_options.listen.address, ec);
    const tcp::endpoint local(address, m_options.listen.port);
    if (!ec) {
        m_acceptor.open(local.protocol(), ec);
    }
    if (!ec) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
        m_acceptor.bind(local, ec);
    }
    if (!ec) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return base::fail(base::ErrorKind::Unavailable, "can't listen for peers on " + m_options.listen.address + ':' + std::to_string(m_options.listen.port)
                                                            + " (" + ec.message() + "); change address or port in [peers]");
    }
    m_endpoint.port = m_acceptor.local_endpoint(ec).port();
    return base::ok();
}

base::Result<void> Http2Transport::Impl::start(Handler handler)
{
    m_handler = std::move(handler);
    BOOST_OUTCOME_TRY(listen());
    accept();
    keepHouse();
    m_thread = std::thread([this] {
        m_context.run();
    });
    return base::ok();
}

void Http2Transport::Impl::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    asio::post(m_context, [this] {
        boost::system::error_code ec;
        m_acceptor.close(ec);
        m_housekeeping.cancel();
        while (!m_clients.empty()) {
            close(m_clients.begin()->second);
        }
        while (!m_servers.empty()) {
            close(m_servers.front());
        }
        m_context.stop();
    });
    m_thread.join();
}

void Http2Transport::Impl::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (!ec && m_servers.size() < m_options.maxConnections * ServerConnectionFactor) {
            auto connection = std::make_shared<Connection>(*this, Http2Session::Role::Server);
            connection->socket = std::move(socket);
            connection->socket.set_option(tcp::no_delay(true), ec);
            connection->isConnected = true;
            connection->usedAt = m_clock.now();
            m_servers.push_back(connection);
            countConnections();
            write(connection);
            read(connection);
        }
        accept();
    });
}

void Http2Transport::Impl::send(const base::Endpoint &to, const PeerMessage &message)
{
    asio::post(m_context, [this, to, message] {
        post(to, message);
    });
}

void Http2Transport::Impl::post(const base::Endpoint &to, const PeerMessage &message)
{
    auto bytes = m_gate.wrap(message);
    const auto connection = connectionTo(to);
    const bool isTooMuch = bytes.size() > MaxMessageBytes || connection->waitingBytes + bytes.size() > m_options.maxQueuedBytes;
    if (isTooMuch) {
        count([](PeerCounters &it) {
            ++it.dropped;
        });
        return;
    }
    connection->usedAt = m_clock.now();
    connection->waitingBytes += bytes.size();
    if (!connection->isConnected) {
        connection->waiting.push_back(std::move(bytes));
        return;
    }
    submit(*connection, std::move(bytes));
    write(connection);
}

Http2Transport::Impl::ConnectionPointer Http2Transport::Impl::connectionTo(const base::Endpoint &to)
{
    if (const auto it = m_clients.find(to); it != m_clients.end()) {
        return it->second;
    }
    if (m_clients.size() >= m_options.maxConnections) {
        closeIdleLongest();
    }
    auto connection = std::make_shared<Connection>(*this, Http2Session::Role::Client);
    connection->peer = to;
    connection->usedAt = m_clock.now();
    m_clients[to] = connection;
    countConnections();
    connect(connection);
    return connection;
}

void Http2Transport::Impl::connect(const ConnectionPointer &connection)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(connection->peer.address, ec);
    if (ec) {
        asio::post(m_context, [this, connection] {
            close(connection);
        });
        return;
    }
    connection->socket.async_connect({address, connection->peer.port}, [this, connection](boost::system::error_code failure) {
        if (connection->isClosed) {
            return;
        }
        if (failure) {
            close(connection);
            return;
        }
        boost::system::error_code ignored;
        connection->socket.set_option(tcp::no_delay(true), ignored);
        connection->isConnected = true;
        for (auto &it : std::exchange(connection->waiting, {})) {
            submit(*connection, std::move(it));
        }
        write(connection);
        read(connection);
    });
}

void Http2Transport::Impl::submit(Connection &connection, std::string bytes)
{
    const auto size = bytes.size();
    const auto stream = connection.session.submit(std::move(bytes));
    if (stream < 0) {
        connection.waitingBytes -= size;
    } else {
        connection.unanswered[stream] = {m_clock.now(), size};
    }
    count([&](PeerCounters &it) {
        it.dropped += stream < 0 ? 1 : 0;
        it.sentMessages += stream < 0 ? 0 : 1;
        it.sentBytes += stream < 0 ? 0 : size;
    });
}

void Http2Transport::Impl::read(const ConnectionPointer &connection)
{
    connection->socket.async_read_some(asio::buffer(connection->input), [this, connection](boost::system::error_code ec, std::size_t n) {
        if (connection->isClosed) {
            return;
        }
        if (ec || !connection->session.receive({connection->input.data(), n})) {
            close(connection);
            return;
        }
        process(connection);
        write(connection);
        read(connection);
    });
}

void Http2Transport::Impl::write(const ConnectionPointer &connection)
{
    if (connection->isWriting || connection->isClosed) {
        return;
    }
    connection->output = connection->session.takeOutput();
    if (connection->output.empty()) {
        return;
    }
    connection->isWriting = true;
    asio::async_write(connection->socket, asio::buffer(connection->output), [this, connection](boost::system::error_code ec, std::size_t) {
        connection->isWriting = false;
        if (ec) {
            close(connection);
        } else {
            write(connection);
        }
    });
}

void Http2Transport::Impl::process(const ConnectionPointer &connection)
{
    for (const auto &it : connection->session.takeRequests()) {
        connection->usedAt = m_clock.now();
        receive(connection, it);
    }
    for (const auto &it : connection->session.takeResponses()) {
        if (const auto sent = connection->unanswered.find(it.stream); sent != connection->unanswered.end()) {
            connection->waitingBytes -= sent->second.bytes;
            connection->unanswered.erase(sent);
        }
    }
}

void Http2Transport::Impl::receive(const ConnectionPointer &connection, const Http2Session::Request &request)
{
    auto unwrapped = request.isTooLarge ? std::variant<PeerEnvelope, PeerRefusal>(PeerRefusal::TooLarge) : m_gate.unwrap(request.body);
    if (const auto *refusal = std::get_if<PeerRefusal>(&unwrapped)) {
        count([&](PeerCounters &it) {
            ++it.refused.at(static_cast<std::size_t>(*refusal));
        });
        connection->session.respond(request.stream, statusOf(*refusal));
        return;
    }
    count([&](PeerCounters &it) {
        ++it.receivedMessages;
        it.receivedBytes += request.body.size();
    });
    connection->session.respond(request.stream, StatusTaken);
    m_handler(std::get<PeerEnvelope>(unwrapped));
}

void Http2Transport::Impl::close(const ConnectionPointer &connection)
{
    const auto kept = connection; // the argument may be the element that is erased
    if (kept->isClosed) {
        return;
    }
    kept->isClosed = true;
    boost::system::error_code ec;
    kept->socket.close(ec);
    if (kept->role == Http2Session::Role::Client) {
        m_clients.erase(kept->peer);
    } else {
        m_servers.remove(kept);
    }
    count([&](PeerCounters &it) {
        it.dropped += kept->waiting.size() + kept->unanswered.size();
    });
    countConnections();
}

void Http2Transport::Impl::closeIdleLongest()
{
    const auto oldest = std::min_element(m_clients.begin(), m_clients.end(), [](const auto &first, const auto &second) {
        return first.second->usedAt < second.second->usedAt;
    });
    close(oldest->second);
}

void Http2Transport::Impl::keepHouse()
{
    const auto now = m_clock.now();
    std::vector<ConnectionPointer> stale;
    for (const auto &[peer, it] : m_clients) {
        const bool isUnanswered = std::any_of(it->unanswered.begin(), it->unanswered.end(), [now](const auto &sent) {
            return now > sent.second.sentAt + AnswerTimeout;
        });
        const bool isConnecting = !it->isConnected && now > it->usedAt + m_options.connectTimeout;
        if (isUnanswered || isConnecting) {
            stale.push_back(it);
        }
    }
    for (const auto &it : m_servers) {
        if (now > it->usedAt + ServerIdleTimeout) {
            stale.push_back(it);
        }
    }
    for (const auto &it : stale) {
        close(it);
    }
    m_housekeeping.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(HousekeepingInterval));
    m_housekeeping.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            keepHouse();
        }
    });
}

void Http2Transport::Impl::countConnections()
{
    count([this](PeerCounters &it) {
        it.connections = static_cast<std::uint32_t>(m_clients.size() + m_servers.size());
    });
}

Http2Transport::Http2Transport(Http2TransportOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

Http2Transport::~Http2Transport() = default;

base::Result<void> Http2Transport::start(Handler handler)
{
    return m_impl->start(std::move(handler));
}

void Http2Transport::stop()
{
    m_impl->stop();
}

void Http2Transport::send(const base::Endpoint &to, const PeerMessage &message)
{
    m_impl->send(to, message);
}

base::Endpoint Http2Transport::endpoint() const
{
    return m_impl->endpoint();
}

PeerCounters Http2Transport::counters() const
{
    return m_impl->counters();
}

} // namespace carawaylatch::peer
