// Timing of reports, and the connections that peers open: one read is pending, and at most one write.
// peer::Http2Session implements the protocol, peeroutbound.h the connections to peers.
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
#include "carawaylatch/peer/http2session.h"
#include "carawaylatch/proxy/limitcodec.h"
#include "carawaylatch/proxy/peeroutbound.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr base::Duration HeartbeatInterval = base::milliseconds{400}; // a third of PeerLoad::PeerTimeout
constexpr std::size_t MaxReportInbound = 2 * MaxReportPeers; // besides one of each router of the fleet; routers may temporarily know different rings
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
        , m_session(peer::Http2Session::Role::Server, std::max(MaxReportBytes, MaxLoadSummaryBytes))
    {
        setSocketOptions(m_socket, silenceLimits(PeerSilenceDetection));
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

void PeerExchange::setSummaryPeers(std::span<const base::Endpoint> peers)
{
    if (m_self.port == 0) {
        return;
    }
    std::set<base::Endpoint> receivers;
    for (const base::Endpoint &peer : peers) {
        if (peer != m_self && receivers.size() < MaxRequestPeers) {
            receivers.insert(peer);
        }
    }
    if (receivers != m_summaryPeers) {
        m_summaryPeers = std::move(receivers);
        updateOutbound();
    }
}

void PeerExchange::sendSummary(const base::Endpoint &peer, const std::string &summary)
{
    request(peer, summary, [](const std::optional<std::string> &) {
        // The next summary makes up for a lost one.
    });
}

// Closes and creates connections so that there is one to each peer, with its purpose.
void PeerExchange::updateOutbound()
{
    std::erase_if(m_outbound, [this](const auto &it) {
        const bool isGone = !m_reportPeers.contains(it.first) && !m_requestPeers.contains(it.first) && !m_summaryPeers.contains(it.first);
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
        const bool hasRequests = m_requestPeers.contains(peer) || m_summaryPeers.contains(peer);
        add(peer, hasRequests ? Outbound::Purpose::Both : Outbound::Purpose::Reports);
    }
    for (const auto *peers : {&m_requestPeers, &m_summaryPeers}) {
        for (const base::Endpoint &peer : *peers) {
            if (!m_reportPeers.contains(peer)) {
                add(peer, Outbound::Purpose::Requests);
            }
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
    } else if (isLoadSummary(body)) {
        apply(decodeLoadSummary(body), &PeerReportSource::onSummary);
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
