// Connections of the exchange. peer::Http2Session implements the protocol; this file
// handles the sockets, each with one pending read and at most one pending write.
#include "carawaylatch/proxy/peerexchange.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/incarnation.h"
#include "carawaylatch/config/valuetext.h"
#include "carawaylatch/peer/http2session.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr base::Duration HeartbeatInterval = base::milliseconds{400}; // a third of PeerLoad::PeerTimeout
constexpr base::Duration ConnectTimeout = base::milliseconds{700}; // several round trips, but less than the one second after which a lost SYN is sent again
constexpr base::seconds SilenceDetection{2}; // reports are sent several times a second, and a new connection loses none
constexpr base::Duration ResponseTimeout = base::seconds{1}; // a peer so busy that it responds later is of no use
constexpr base::Duration InitialRetryDelay = base::milliseconds{500}; // after a failure; doubles up to MaxRetryDelay
constexpr base::Duration MaxRetryDelay = base::seconds{8}; // bounds the cost of removed routers, which stay listed
constexpr std::size_t MaxUnanswered = 16; // reports to one peer; further ones are skipped, and a full report follows
constexpr std::size_t MaxInbound = 2 * MaxReportPeers; // routers may temporarily know different rings
constexpr int StatusAccepted = 204;
constexpr int StatusRejected = 400;

// Encodes the report as up to three messages, empty if there is nothing to tell: limits and brittle upstreams have
// their own, since routers of a former version refuse the message that holds them.
std::array<std::string, 3> encodeFaults(FaultReport report)
{
    FaultReport limits;
    limits.limits = std::exchange(report.limits, {});
    FaultReport brittle;
    brittle.brittle = std::exchange(report.brittle, {});
    const auto encodeIfAny = [](const FaultReport &it) {
        return it.isEmpty() ? std::string() : encodeFaultReport(it);
    };
    return {encodeIfAny(report), encodeIfAny(limits), encodeIfAny(brittle)};
}

} // namespace

std::vector<base::Endpoint> reportPeers(std::span<const base::Endpoint> routers, const base::Endpoint &self)
{
    std::set<base::Endpoint> ring(routers.begin(), routers.end());
    ring.insert(self);
    const std::vector<base::Endpoint> order(ring.begin(), ring.end());
    const std::size_t size = order.size();
    const auto at = static_cast<std::size_t>(std::lower_bound(order.begin(), order.end(), self) - order.begin());
    std::vector<base::Endpoint> peers;
    if (size - 1 <= MaxReportPeers) {
        peers.assign(ring.begin(), ring.end());
        std::erase(peers, self);
        return peers;
    }
    for (std::size_t step = 1; step <= MaxReportPeers / 2; ++step) {
        peers.push_back(order[(at + step) % size]);
        peers.push_back(order[(at + size - step) % size]);
    }
    return peers;
}

// Connection that a peer opened to this router.
class PeerExchange::Inbound : public std::enable_shared_from_this<Inbound>
{
public:
    Inbound(PeerExchange &exchange, Tcp::socket socket)
        : m_exchange(&exchange)
        , m_socket(std::move(socket))
        , m_session(peer::Http2Session::Role::Server, MaxReportBytes)
    {
        setSocketOptions(m_socket, silenceLimits(SilenceDetection));
    }

    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_chunk), [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
            if (ec || self->m_exchange == nullptr || !self->m_session.receive({self->m_chunk.data(), n})) {
                self->close();
                return;
            }
            for (const auto &request : self->m_session.takeRequests()) {
                self->m_session.respond(request.stream, request.isTooLarge ? StatusRejected : StatusAccepted);
                self->m_exchange->onInbound(request.body);
            }
            self->write();
        });
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        if (m_exchange != nullptr) {
            std::exchange(m_exchange, nullptr)->m_inbound.erase(shared_from_this());
        }
    }

private:
    // Writes all output before it reads on, so that a peer that does not read makes no more of it.
    void write()
    {
        m_output = m_session.takeOutput();
        if (m_output.empty()) {
            read();
            return;
        }
        boost::asio::async_write(m_socket, boost::asio::buffer(m_output), [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
            if (ec || self->m_exchange == nullptr) {
                self->close();
                return;
            }
            self->write();
        });
    }

    PeerExchange *m_exchange; // nullptr once closed
    Tcp::socket m_socket;
    peer::Http2Session m_session;
    std::array<char, 4096> m_chunk{};
    std::string m_output; // buffer of the pending write
};

// Connection that this router opens to a peer.
class PeerExchange::Outbound : public std::enable_shared_from_this<Outbound>
{
public:
    Outbound(PeerExchange &exchange, base::Endpoint endpoint)
        : m_exchange(&exchange)
        , m_endpoint(std::move(endpoint))
        , m_socket(exchange.m_loop)
    {
    }

    // Connects when the retry delay has passed, and drops a connection whose peer does not respond.
    void tick()
    {
        const base::TimePoint now = m_exchange->m_clock.now();
        if (m_state == State::Idle && now >= m_retryAt) {
            connect();
        } else if (m_state == State::Connecting && now - m_waitingSince > ConnectTimeout) {
            drop("connect timed out");
        } else if (m_state == State::Open && m_unanswered > 0 && now - m_waitingSince > ResponseTimeout) {
            drop("response timed out");
        }
        if (m_lostSince && now - *m_lostSince >= UnreachableTimeout) {
            m_lostSince = now;
            m_exchange->m_source.onPeerUnreachable(m_endpoint);
        }
    }

    // True if the peer needs a full report: it has got none on this connection, or reports to it were skipped.
    [[nodiscard]] bool needsFullReport() const
    {
        return m_state == State::Open && m_needsFullReport;
    }

    // Sends a report, or skips it if too many are unanswered.
    void send(const std::string &report)
    {
        if (m_state != State::Open) {
            return;
        }
        if (m_unanswered >= MaxUnanswered) {
            m_needsFullReport = true;
            return;
        }
        if (report.empty() || m_session->submit(report) <= 0) {
            return;
        }
        m_needsFullReport = false;
        if (m_unanswered++ == 0) {
            m_waitingSince = m_exchange->m_clock.now();
        }
        write();
    }

    void close()
    {
        m_exchange = nullptr;
        reset();
    }

private:
    enum class State {
        Idle,
        Connecting,
        Open,
    };

    void connect()
    {
        boost::system::error_code ec;
        const auto address = boost::asio::ip::make_address(m_endpoint.address, ec);
        if (ec) {
            m_retryAt = base::TimePoint::max(); // an invalid address is never retried
            return;
        }
        m_state = State::Connecting;
        m_waitingSince = m_exchange->m_clock.now();
        m_socket.async_connect(Tcp::endpoint(address, m_endpoint.port),
                               [self = shared_from_this(), generation = m_generation](const boost::system::error_code &error) {
                                   if (self->m_generation != generation || self->m_exchange == nullptr) {
                                       return;
                                   }
                                   if (error) {
                                       self->drop(error.message());
                                       return;
                                   }
                                   self->open();
                               });
    }

    void open()
    {
        m_state = State::Open;
        m_session.emplace(peer::Http2Session::Role::Client, MaxReportBytes);
        setSocketOptions(m_socket, silenceLimits(SilenceDetection));
        m_needsFullReport = true;
        read();
    }

    // Only responses show that a peer is alive: the kernel accepts connections even for a suspended process.
    void onResponses(std::size_t answers)
    {
        m_unanswered -= std::min(answers, m_unanswered);
        m_waitingSince = m_exchange->m_clock.now();
        m_retryDelay = InitialRetryDelay;
        if (std::exchange(m_lostSince, std::nullopt)) {
            m_exchange->m_log.write(base::LogEvent::PeerRegained, {{"peer", config::formatEndpoint(m_endpoint)}});
        }
    }

    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_chunk),
                                 [self = shared_from_this(), generation = m_generation](const boost::system::error_code &ec, std::size_t n) {
                                     if (self->m_generation != generation || self->m_exchange == nullptr) {
                                         return;
                                     }
                                     if (ec || !self->m_session->receive({self->m_chunk.data(), n})) {
                                         self->drop(ec ? ec.message() : "invalid HTTP/2 response");
                                         return;
                                     }
                                     if (const std::size_t answers = self->m_session->takeResponses().size(); answers > 0) {
                                         self->onResponses(answers);
                                     }
                                     self->write();
                                     self->read();
                                 });
    }

    void write()
    {
        if (!m_output.empty()) {
            return; // the handler of the pending write calls write() again
        }
        m_output = m_session->takeOutput();
        if (m_output.empty()) {
            return;
        }
        boost::asio::async_write(m_socket, boost::asio::buffer(m_output),
                                 [self = shared_from_this(), generation = m_generation](const boost::system::error_code &ec, std::size_t) {
                                     self->m_output.clear();
                                     if (!ec && self->m_generation == generation && self->m_exchange != nullptr) {
                                         self->write();
                                     }
                                 });
    }

    void drop(const std::string &problem)
    {
        reset();
        m_retryAt = m_exchange->m_clock.now() + m_retryDelay;
        m_retryDelay = std::min<base::Duration>(m_retryDelay * 2, MaxRetryDelay);
        if (!m_lostSince) {
            m_lostSince = m_exchange->m_clock.now();
            m_exchange->m_log.write(base::LogEvent::PeerLost, {{"peer", config::formatEndpoint(m_endpoint)}, {"problem", problem}});
        }
    }

    void reset()
    {
        ++m_generation;
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_state = State::Idle;
        m_unanswered = 0;
    }

    PeerExchange *m_exchange; // nullptr once closed
    const base::Endpoint m_endpoint;
    Tcp::socket m_socket;
    std::optional<peer::Http2Session> m_session; // of the current connection
    std::array<char, 1024> m_chunk{};
    std::string m_output; // buffer of the pending write, which may belong to a former connection
    State m_state = State::Idle;
    std::uint64_t m_generation = 0; // of the connection; handlers of former connections return at once
    base::TimePoint m_waitingSince; // start of the wait for the connection or for a response
    base::TimePoint m_retryAt;
    base::Duration m_retryDelay = InitialRetryDelay;
    std::size_t m_unanswered = 0; // reports without a response; at most MaxUnanswered
    bool m_needsFullReport = true;
    std::optional<base::TimePoint> m_lostSince; // the first failure since the last response
};

PeerExchange::PeerExchange(boost::asio::io_context &loop, const base::Clock &clock, base::Endpoint self, const std::string &id, PeerReportSource &source,
                           telemetry::EventLog &log)
    : m_loop(loop)
    , m_clock(clock)
    , m_self(std::move(self))
    , m_source(source)
    , m_log(log)
    , m_sender(base::hash64(id))
    , m_incarnation(base::newIncarnation().value)
    , m_acceptor(loop)
    , m_next(loop)
{
}

PeerExchange::~PeerExchange()
{
    closeAll();
}

base::Result<void> PeerExchange::listen()
{
    if (m_self.port == 0) {
        return base::ok();
    }
    if (auto opened = openAcceptor(m_acceptor, m_self); !opened) {
        return opened;
    }
    accept();
    return base::ok();
}

void PeerExchange::accept()
{
    m_next = Tcp::socket(m_loop);
    m_acceptor.async_accept(m_next, [this](const boost::system::error_code &ec) {
        if (ec == boost::asio::error::operation_aborted) {
            return;
        }
        if (!ec && m_inbound.size() < MaxInbound) {
            const auto inbound = std::make_shared<Inbound>(*this, std::move(m_next));
            m_inbound.insert(inbound);
            inbound->read();
        }
        m_isAccepting = false; // after an error the next tick accepts again, which avoids a busy loop when descriptors run out
        if (!ec) {
            accept();
        }
    });
    m_isAccepting = true;
}

void PeerExchange::setRouters(std::span<const base::Endpoint> routers)
{
    if (m_self.port == 0) {
        return;
    }
    const auto peers = reportPeers(routers, m_self);
    std::erase_if(m_outbound, [&peers](const auto &it) {
        const bool isGone = std::find(peers.begin(), peers.end(), it.first) == peers.end();
        if (isGone) {
            it.second->close();
        }
        return isGone;
    });
    for (const base::Endpoint &peer : peers) {
        if (!m_outbound.contains(peer)) {
            m_outbound.emplace(peer, std::make_shared<Outbound>(*this, peer));
        }
    }
}

void PeerExchange::tick()
{
    const base::TimePoint now = m_clock.now();
    LoadReport changes = m_source.takeChanges(); // also when disabled, because nothing else clears them
    if (m_self.port == 0) {
        return;
    }
    if (!m_isAccepting && m_acceptor.is_open()) {
        accept();
    }
    const bool isDue = !changes.loads.empty() || !changes.placements.empty() || now - m_reportedAt >= HeartbeatInterval;
    const std::string changesText = isDue ? encode(changes) : std::string();
    if (isDue) {
        m_reportedAt = now;
    }
    const auto faultChangesTexts = encodeFaults(m_source.takeFaultChanges());
    const std::string reachText = dueReachText(now);
    std::string fullText; // built only if a peer needs it, which is rare
    std::array<std::string, 3> fullFaultTexts;
    for (const auto &[endpoint, outbound] : m_outbound) {
        outbound->tick();
        const bool needsFullReport = outbound->needsFullReport();
        if (needsFullReport && fullText.empty()) {
            LoadReport full = m_source.fullReport();
            full.placements = changes.placements;
            fullText = encode(std::move(full));
            fullFaultTexts = encodeFaults(m_source.fullFaultReport());
        }
        outbound->send(needsFullReport ? fullText : changesText);
        for (const std::string &text : needsFullReport ? fullFaultTexts : faultChangesTexts) {
            outbound->send(text);
        }
        outbound->send(needsFullReport ? m_reachText : reachText);
    }
}

// The reach report if it is due, else empty.
std::string PeerExchange::dueReachText(base::TimePoint now)
{
    ReachReport report = m_source.reachReport();
    const bool isChanged = report.unreachedPools != m_reportedUnreached || report.takesRequests != m_reportedTakesRequests;
    if (!isChanged && !m_reachText.empty() && now - m_reachReportedAt < HeartbeatInterval) {
        return {};
    }
    report.sender = m_sender;
    m_reachReportedAt = now;
    m_reportedUnreached = report.unreachedPools;
    m_reportedTakesRequests = report.takesRequests;
    m_reachText = encodeReachReport(report);
    return m_reachText;
}

std::string PeerExchange::encode(LoadReport report) const
{
    report.sender = m_sender;
    report.incarnation = m_incarnation;
    return encodeLoadReport(report);
}

void PeerExchange::onInbound(std::string_view body)
{
    if (isReachReport(body)) {
        apply(decodeReachReport(body), &PeerReportSource::onReachReport);
    } else if (isFaultReport(body)) {
        apply(decodeFaultReport(body), &PeerReportSource::onFaultReport);
    } else {
        apply(decodeLoadReport(body), &PeerReportSource::onReport);
    }
}

template <typename Report>
void PeerExchange::apply(const base::Result<Report> &report, void (PeerReportSource::*handler)(const Report &))
{
    if (report) {
        (m_source.*handler)(report.value());
    } else if (!std::exchange(m_hasLoggedBadReport, true)) {
        m_log.write(base::LogEvent::PeerReportRefused, {{"problem", report.error().message}});
    }
}

void PeerExchange::closeAll()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto &[endpoint, outbound] : m_outbound) {
        outbound->close();
    }
    m_outbound.clear();
    const auto inbound = std::exchange(m_inbound, {});
    for (const auto &it : inbound) {
        it->close();
    }
}

} // namespace carawaylatch::proxy
