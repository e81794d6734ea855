// Connections of the exchange. peer::Http2Session implements the protocol; this file
// handles the sockets, each with one pending read and at most one pending write.
#include "carawaylatch/proxy/peerexchange.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/incarnation.h"
#include "carawaylatch/config/valuetext.h"
#include "carawaylatch/peer/http2session.h"
#include "carawaylatch/proxy/limitcodec.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr base::Duration HeartbeatInterval = base::milliseconds{400}; // a third of PeerLoad::PeerTimeout
constexpr base::Duration ConnectTimeout = base::milliseconds{700}; // several round trips, but less than the one second after which a lost SYN is sent again
constexpr base::seconds SilenceDetection{2}; // reports are sent several times a second, and a new connection loses none
constexpr base::Duration ResponseTimeout = base::seconds{1}; // a peer so busy that it responds later is of no use
constexpr base::Duration RequestPeerLossDelay = base::seconds{5}; // after which a loss is logged; these peers change often, with coordinators
constexpr std::size_t MaxUnanswered = 16; // reports to one peer; further ones are skipped, and a full report follows
constexpr std::size_t MaxReportInbound = 2 * MaxReportPeers; // routers may temporarily know different rings
constexpr int StatusAnswered = 200;
constexpr int StatusAccepted = 204;
constexpr int StatusRejected = 400;

// Delays between connection attempts; the delay doubles with each failure.
struct RetryDelays
{
    base::Duration first;
    base::Duration max;
};
constexpr RetryDelays ReportRetryDelays{base::milliseconds{500}, base::seconds{8}}; // bounds the cost of removed routers, which stay listed
constexpr RetryDelays RequestRetryDelays{base::milliseconds{200}, base::seconds{2}}; // a coordinator that restarts is soon needed again

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
                if (self->m_exchange == nullptr) {
                    return; // closed by a handler of the source
                }
                self->answer(request);
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
    void answer(const peer::Http2Session::Request &request)
    {
        if (isSharePoll(request.body) || isTokenRequest(request.body)) {
            std::string text = m_exchange->m_source.onPeerRequest(request.body);
            const int status = text.empty() ? StatusAccepted : StatusAnswered;
            m_session.respond(request.stream, status, std::move(text));
            return;
        }
        m_session.respond(request.stream, request.isTooLarge ? StatusRejected : StatusAccepted);
        m_exchange->onInbound(request.body);
    }

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
    enum class Purpose {
        Reports,
        Requests,
        Both,
    };

    Outbound(PeerExchange &exchange, base::Endpoint endpoint, Purpose purpose)
        : m_exchange(&exchange)
        , m_endpoint(std::move(endpoint))
        , m_socket(exchange.m_loop)
        , m_purpose(purpose)
        , m_retryDelay(retryDelays().first)
    {
    }

    void setPurpose(Purpose purpose)
    {
        if (purpose == m_purpose) {
            return;
        }
        m_purpose = purpose;
        m_needsFullReport = true; // reports may have been left out
        m_retryDelay = std::min(m_retryDelay, retryDelays().max);
        if (m_state == State::Idle && !m_isInvalid) {
            m_retryAt = std::min(m_retryAt, m_exchange->m_clock.now() + m_retryDelay);
        }
    }

    // Connects when the retry delay has passed, and drops a connection whose peer does not respond.
    void tick()
    {
        const base::TimePoint now = m_exchange->m_clock.now();
        if (m_state == State::Idle && now >= m_retryAt && !m_isInvalid) {
            connect();
        } else if (m_state == State::Connecting && now - m_waitingSince > ConnectTimeout) {
            drop("connect timed out");
        } else if (m_state == State::Open && isResponseOverdue(now)) {
            drop("response timed out");
        }
        if (m_lostSince && !m_isLossLogged && now - *m_lostSince > RequestPeerLossDelay) {
            logLoss();
        }
        if (m_lostSince && sendsReports() && now - *m_lostSince >= UnreachableTimeout) {
            m_lostSince = now;
            m_exchange->m_source.onPeerUnreachable(m_endpoint);
        }
    }

    // True if the peer needs a full report: it has got none on this connection, or reports to it were skipped.
    [[nodiscard]] bool needsFullReport() const
    {
        return m_state == State::Open && sendsReports() && m_needsFullReport;
    }

    // Sends a report, or skips it if too many are unanswered.
    void send(const std::string &report)
    {
        if (m_state != State::Open || !sendsReports()) {
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

    void request(std::string body, RequestHandler done)
    {
        const bool isAllowed = m_state == State::Open && m_requests.size() < MaxUnansweredRequests;
        const std::int32_t stream = isAllowed ? m_session->submit(std::move(body)) : -1;
        if (stream <= 0) {
            m_exchange->complete(std::move(done), std::nullopt);
            return;
        }
        m_requests.emplace(stream, Request{m_exchange->m_clock.now(), std::move(done)});
        write();
    }

    void close()
    {
        reset();
        m_exchange = nullptr;
    }

private:
    enum class State {
        Idle,
        Connecting,
        Open,
    };
    struct Request
    {
        base::TimePoint sentAt;
        RequestHandler done;
    };

    [[nodiscard]] bool sendsReports() const
    {
        return m_purpose != Purpose::Requests;
    }

    [[nodiscard]] const RetryDelays &retryDelays() const
    {
        return m_purpose == Purpose::Reports ? ReportRetryDelays : RequestRetryDelays;
    }

    // Checks the oldest request, too: a peer that responds to others only would fill the table of requests.
    [[nodiscard]] bool isResponseOverdue(base::TimePoint now) const
    {
        const bool isWaiting = m_unanswered > 0 || m_awaitsFirstBytes;
        return (isWaiting && now - m_waitingSince > ResponseTimeout) || (!m_requests.empty() && now - m_requests.begin()->second.sentAt > ResponseTimeout);
    }

    void connect()
    {
        boost::system::error_code ec;
        const auto address = boost::asio::ip::make_address(m_endpoint.address, ec);
        if (ec) {
            m_isInvalid = true;
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
        // Without reports there may be no response for long. The peer's process answers the start of the protocol instead.
        m_awaitsFirstBytes = !sendsReports();
        if (m_awaitsFirstBytes) {
            m_waitingSince = m_exchange->m_clock.now();
            write();
        }
    }

    // Only received bytes show that a peer is alive: the kernel accepts connections even for a suspended process.
    void onAlive()
    {
        m_retryDelay = retryDelays().first;
        m_lostSince.reset();
        if (std::exchange(m_isLossLogged, false)) {
            m_exchange->m_log.write(base::LogEvent::PeerRegained, {{"peer", config::formatEndpoint(m_endpoint)}});
        }
    }

    void onReceived()
    {
        bool isAlive = std::exchange(m_awaitsFirstBytes, false);
        for (peer::Http2Session::Response &response : m_session->takeResponses()) {
            isAlive = true;
            if (auto request = m_requests.extract(response.stream); !request.empty()) {
                const bool isAnswer = response.status == StatusAnswered && !response.body.empty();
                m_exchange->complete(std::move(request.mapped().done), isAnswer ? std::optional(std::move(response.body)) : std::nullopt);
            } else if (m_unanswered > 0) {
                --m_unanswered;
                m_waitingSince = m_exchange->m_clock.now();
            }
        }
        if (isAlive) {
            onAlive();
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
                                     self->onReceived();
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
        m_retryDelay = std::min<base::Duration>(m_retryDelay * 2, retryDelays().max);
        if (!m_lostSince) {
            m_lostSince = m_exchange->m_clock.now();
            m_lossProblem = problem;
            if (sendsReports()) {
                logLoss();
            }
        }
    }

    void logLoss()
    {
        m_isLossLogged = true;
        m_exchange->m_log.write(base::LogEvent::PeerLost, {{"peer", config::formatEndpoint(m_endpoint)}, {"problem", m_lossProblem}});
    }

    void reset()
    {
        ++m_generation;
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_state = State::Idle;
        m_unanswered = 0;
        m_awaitsFirstBytes = false;
        for (auto &[stream, request] : std::exchange(m_requests, {})) {
            m_exchange->complete(std::move(request.done), std::nullopt);
        }
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
    Purpose m_purpose;
    bool m_isInvalid = false; // the address, which is then never tried again
    base::Duration m_retryDelay; // at most retryDelays().max
    std::size_t m_unanswered = 0; // reports without a response; at most MaxUnanswered
    bool m_needsFullReport = true;
    std::map<std::int32_t, Request> m_requests; // without a response, by stream, so in the order sent; at most MaxUnansweredRequests
    bool m_awaitsFirstBytes = false; // of a new connection for requests only
    std::optional<base::TimePoint> m_lostSince; // the first failure since the peer was last alive
    std::string m_lossProblem; // of that failure
    bool m_isLossLogged = false; // PeerRegained is written only after PeerLost
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
        if (!ec && m_inbound.size() < MaxReportInbound + m_routers) {
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
    m_routers = routers.size();
    m_reportPeers = {peers.begin(), peers.end()};
    updateOutbound();
}

void PeerExchange::setRequestPeers(std::span<const base::Endpoint> peers)
{
    if (m_self.port == 0) {
        return;
    }
    m_requestPeers.clear();
    for (const base::Endpoint &peer : peers) {
        if (peer != m_self && m_requestPeers.size() < MaxRequestPeers) {
            m_requestPeers.insert(peer);
        }
    }
    updateOutbound();
}

// Closes and creates connections so that there is one to each peer, with its purpose.
void PeerExchange::updateOutbound()
{
    std::erase_if(m_outbound, [this](const auto &it) {
        const bool isGone = !m_reportPeers.contains(it.first) && !m_requestPeers.contains(it.first);
        if (isGone) {
            it.second->close();
        }
        return isGone;
    });
    const auto add = [this](const base::Endpoint &peer, Outbound::Purpose purpose) {
        if (const auto it = m_outbound.find(peer); it != m_outbound.end()) {
            it->second->setPurpose(purpose);
        } else {
            m_outbound.emplace(peer, std::make_shared<Outbound>(*this, peer, purpose));
        }
    };
    for (const base::Endpoint &peer : m_reportPeers) {
        add(peer, m_requestPeers.contains(peer) ? Outbound::Purpose::Both : Outbound::Purpose::Reports);
    }
    for (const base::Endpoint &peer : m_requestPeers) {
        if (!m_reportPeers.contains(peer)) {
            add(peer, Outbound::Purpose::Requests);
        }
    }
}

void PeerExchange::request(const base::Endpoint &peer, std::string body, RequestHandler done)
{
    if (const auto it = m_outbound.find(peer); it != m_outbound.end()) {
        it->second->request(std::move(body), std::move(done));
    } else {
        complete(std::move(done), std::nullopt);
    }
}

// Calls the handler from the loop, unless closeAll() is called before.
void PeerExchange::complete(RequestHandler done, std::optional<std::string> body)
{
    boost::asio::post(m_loop, [done = std::move(done), body = std::move(body), isOpen = std::weak_ptr(m_isOpen)]() mutable {
        if (!isOpen.expired()) {
            done(std::move(body));
        }
    });
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
    m_isOpen = std::make_shared<const bool>(true);
    const auto inbound = std::exchange(m_inbound, {});
    for (const auto &it : inbound) {
        it->close();
    }
}

} // namespace carawaylatch::proxy
