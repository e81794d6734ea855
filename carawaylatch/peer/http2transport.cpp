// Implements the sockets of the peer protocol with Boost.Asio on one thread.
//
// Every router listens and opens client connections to the routers that it sends to.
// Messages go one way on a connection, from client to server. If there are too many
// client connections, the least recently used one is closed. This keeps their number
// small, since a router sends mostly to the same peers.
//
// A connection whose oldest message has had no response for ResponseTimeout is closed.
// Otherwise a connection to a VM that disappeared without closing it would lose
// messages until TCP gives up. Messages queued or in flight on a closed connection are
// counted as dropped; senders repeat those that matter.
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

constexpr base::Duration ResponseTimeout = base::seconds{3};
constexpr base::Duration ServerIdleTimeout = base::minutes{2};
constexpr base::Duration StaleCheckInterval = base::seconds{1};
constexpr std::size_t ServerConnectionFactor = 4; // limit of server connections, in multiples of maxConnections
constexpr std::size_t ReadBufferBytes = 65'536;

int httpStatusOf(PeerRefusal refusal)
{
    static constexpr std::array<int, PeerRefusalCount> Statuses{401, 426, 413, 400, 409};
    return Statuses.at(static_cast<std::size_t>(refusal));
}

constexpr int StatusNoContent = 204;

} // namespace

class Http2Transport::Impl
{
public:
    explicit Impl(Http2TransportOptions options)
        : m_options(std::move(options))
        , m_acceptor(m_context)
        , m_staleCheckTimer(m_context)
        , m_codec(m_options.self, m_options.key)
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
    // A socket with its protocol state. Pending operations hold a reference to it.
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
        base::TimePoint lastUsedAt;
        std::string output; // bytes of the pending write
        std::array<char, ReadBufferBytes> input{};
        std::deque<std::string> pendingMessages; // queued until the connection is established
        std::size_t queuedBytes = 0; // of pending and in-flight messages
        struct InFlightMessage
        {
            base::TimePoint sentAt;
            std::size_t bytes = 0;
        };
        std::map<std::int32_t, InFlightMessage> inFlight; // sent without a response yet, by stream id
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    base::Result<void> listen();
    void accept();
    void enqueue(const base::Endpoint &to, const PeerMessage &message);
    ConnectionPointer connectionTo(const base::Endpoint &to);
    void connect(const ConnectionPointer &connection);
    void submit(Connection &connection, std::string bytes);
    void read(const ConnectionPointer &connection);
    void write(const ConnectionPointer &connection);
    void handleMessages(const ConnectionPointer &connection);
    void handleRequest(const ConnectionPointer &connection, const Http2Session::Request &request);
    void close(const ConnectionPointer &connection);
    void closeStaleConnections();
    void closeLeastRecentlyUsed();
    void updateConnectionCount();
    template <typename Change>
    void updateCounters(Change change)
    {
        const std::lock_guard lock(m_mutex);
        change(m_counters);
    }

    Http2TransportOptions m_options;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_staleCheckTimer;
    std::thread m_thread; // runs m_context; only this thread uses the members below, except the counters
    Handler m_handler;
    AuthenticatedCodec m_codec;
    std::map<base::Endpoint, ConnectionPointer> m_clientConnections; // at most maxConnections
    std::list<ConnectionPointer> m_serverConnections; // at most ServerConnectionFactor times maxConnections
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
    closeStaleConnections();
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
        m_staleCheckTimer.cancel();
        while (!m_clientConnections.empty()) {
            close(m_clientConnections.begin()->second);
        }
        while (!m_serverConnections.empty()) {
            close(m_serverConnections.front());
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
        if (!ec && m_serverConnections.size() < m_options.maxConnections * ServerConnectionFactor) {
            auto connection = std::make_shared<Connection>(*this, Http2Session::Role::Server);
            connection->socket = std::move(socket);
            connection->socket.set_option(tcp::no_delay(true), ec);
            connection->isConnected = true;
            connection->lastUsedAt = m_clock.now();
            m_serverConnections.push_back(connection);
            updateConnectionCount();
            write(connection);
            read(connection);
        }
        accept();
    });
}

void Http2Transport::Impl::send(const base::Endpoint &to, const PeerMessage &message)
{
    asio::post(m_context, [this, to, message] {
        enqueue(to, message);
    });
}

void Http2Transport::Impl::enqueue(const base::Endpoint &to, const PeerMessage &message)
{
    auto bytes = m_codec.encode(message);
    const auto connection = connectionTo(to);
    const bool exceedsLimit = bytes.size() > MaxMessageBytes || connection->queuedBytes + bytes.size() > m_options.maxQueuedBytes;
    if (exceedsLimit) {
        updateCounters([](PeerCounters &it) {
            ++it.dropped;
        });
        return;
    }
    connection->lastUsedAt = m_clock.now();
    connection->queuedBytes += bytes.size();
    if (!connection->isConnected) {
        connection->pendingMessages.push_back(std::move(bytes));
        return;
    }
    submit(*connection, std::move(bytes));
    write(connection);
}

Http2Transport::Impl::ConnectionPointer Http2Transport::Impl::connectionTo(const base::Endpoint &to)
{
    if (const auto it = m_clientConnections.find(to); it != m_clientConnections.end()) {
        return it->second;
    }
    if (m_clientConnections.size() >= m_options.maxConnections) {
        closeLeastRecentlyUsed();
    }
    auto connection = std::make_shared<Connection>(*this, Http2Session::Role::Client);
    connection->peer = to;
    connection->lastUsedAt = m_clock.now();
    m_clientConnections[to] = connection;
    updateConnectionCount();
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
        for (auto &it : std::exchange(connection->pendingMessages, {})) {
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
        connection.queuedBytes -= size;
    } else {
        connection.inFlight[stream] = {m_clock.now(), size};
    }
    updateCounters([&](PeerCounters &it) {
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
        handleMessages(connection);
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

void Http2Transport::Impl::handleMessages(const ConnectionPointer &connection)
{
    for (const auto &it : connection->session.takeRequests()) {
        connection->lastUsedAt = m_clock.now();
        handleRequest(connection, it);
    }
    for (const auto &it : connection->session.takeResponses()) {
        if (const auto sent = connection->inFlight.find(it.stream); sent != connection->inFlight.end()) {
            connection->queuedBytes -= sent->second.bytes;
            connection->inFlight.erase(sent);
        }
    }
}

void Http2Transport::Impl::handleRequest(const ConnectionPointer &connection, const Http2Session::Request &request)
{
    auto decoded = request.isTooLarge ? std::variant<PeerEnvelope, PeerRefusal>(PeerRefusal::TooLarge) : m_codec.decode(request.body);
    if (const auto *refusal = std::get_if<PeerRefusal>(&decoded)) {
        updateCounters([&](PeerCounters &it) {
            ++it.refused.at(static_cast<std::size_t>(*refusal));
        });
        connection->session.respond(request.stream, httpStatusOf(*refusal));
        return;
    }
    updateCounters([&](PeerCounters &it) {
        ++it.receivedMessages;
        it.receivedBytes += request.body.size();
    });
    connection->session.respond(request.stream, StatusNoContent);
    m_handler(std::get<PeerEnvelope>(decoded));
}

void Http2Transport::Impl::close(const ConnectionPointer &connection)
{
    const auto closing = connection; // the argument may be the element that is erased
    if (closing->isClosed) {
        return;
    }
    closing->isClosed = true;
    boost::system::error_code ec;
    closing->socket.close(ec);
    if (closing->role == Http2Session::Role::Client) {
        m_clientConnections.erase(closing->peer);
    } else {
        m_serverConnections.remove(closing);
    }
    updateCounters([&](PeerCounters &it) {
        it.dropped += closing->pendingMessages.size() + closing->inFlight.size();
    });
    updateConnectionCount();
}

void Http2Transport::Impl::closeLeastRecentlyUsed()
{
    const auto oldest = std::min_element(m_clientConnections.begin(), m_clientConnections.end(), [](const auto &first, const auto &second) {
        return first.second->lastUsedAt < second.second->lastUsedAt;
    });
    close(oldest->second);
}

void Http2Transport::Impl::closeStaleConnections()
{
    const auto now = m_clock.now();
    std::vector<ConnectionPointer> stale;
    for (const auto &[peer, it] : m_clientConnections) {
        const bool isResponseOverdue = std::any_of(it->inFlight.begin(), it->inFlight.end(), [now](const auto &sent) {
            return now > sent.second.sentAt + ResponseTimeout;
        });
        const bool isConnectOverdue = !it->isConnected && now > it->lastUsedAt + m_options.connectTimeout;
        if (isResponseOverdue || isConnectOverdue) {
            stale.push_back(it);
        }
    }
    for (const auto &it : m_serverConnections) {
        if (now > it->lastUsedAt + ServerIdleTimeout) {
            stale.push_back(it);
        }
    }
    for (const auto &it : stale) {
        close(it);
    }
    m_staleCheckTimer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(StaleCheckInterval));
    m_staleCheckTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            closeStaleConnections();
        }
    });
}

void Http2Transport::Impl::updateConnectionCount()
{
    updateCounters([this](PeerCounters &it) {
        it.connections = static_cast<std::uint32_t>(m_clientConnections.size() + m_serverConnections.size());
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
