// Waits, back-off and liveness of peeroutbound.h; peer::Http2Session implements the protocol.
#include "carawaylatch/proxy/peeroutbound.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr base::Duration ConnectTimeout = base::milliseconds{700}; // several round trips, but less than the one second after which a lost SYN is sent again
constexpr base::Duration ResponseTimeout = base::seconds{1}; // a peer so busy that it responds later is of no use
constexpr base::Duration RequestPeerLossDelay = base::seconds{5}; // after which a loss is logged; these peers change often, with coordinators
constexpr std::size_t MaxUnanswered = 16; // reports to one peer; further ones are skipped, and a full report follows

} // namespace

constexpr PeerExchange::Outbound::RetryDelays PeerExchange::Outbound::ReportRetryDelays{
    base::milliseconds{500}, base::seconds{8}}; // bounds the cost of removed routers, which stay listed
constexpr PeerExchange::Outbound::RetryDelays PeerExchange::Outbound::RequestRetryDelays{base::milliseconds{200},
                                                                                         base::seconds{2}}; // a coordinator that restarts is soon needed again

PeerExchange::Outbound::Outbound(PeerExchange &exchange, base::Endpoint endpoint, Purpose purpose)
    : m_exchange(&exchange)
    , m_endpoint(std::move(endpoint))
    , m_socket(exchange.m_loop)
    , m_purpose(purpose)
    , m_retryDelay(retryDelays().first)
{
}

void PeerExchange::Outbound::setPurpose(Purpose purpose)
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
    if (m_state == State::Open && m_lostSince && !sendsReports()) {
        awaitFirstBytes(); // no report will show that the peer is back
    }
}

void PeerExchange::Outbound::tick()
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

bool PeerExchange::Outbound::needsFullReport() const
{
    return m_state == State::Open && sendsReports() && m_needsFullReport;
}

void PeerExchange::Outbound::send(const std::string &report)
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

void PeerExchange::Outbound::request(std::string body, RequestHandler done)
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

void PeerExchange::Outbound::close()
{
    reset();
    m_exchange = nullptr;
}

bool PeerExchange::Outbound::sendsReports() const
{
    return m_purpose != Purpose::Requests;
}

const PeerExchange::Outbound::RetryDelays &PeerExchange::Outbound::retryDelays() const
{
    return m_purpose == Purpose::Reports ? ReportRetryDelays : RequestRetryDelays;
}

bool PeerExchange::Outbound::isResponseOverdue(base::TimePoint now) const
{
    const bool isWaiting = m_unanswered > 0 || m_awaitsFirstBytes;
    return (isWaiting && now - m_waitingSince > ResponseTimeout) || (!m_requests.empty() && now - m_requests.begin()->second.sentAt > ResponseTimeout);
}

void PeerExchange::Outbound::connect()
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

void PeerExchange::Outbound::open()
{
    m_state = State::Open;
    m_session.emplace(peer::Http2Session::Role::Client, MaxReportBytes);
    setSocketOptions(m_socket, silenceLimits(PeerSilenceDetection));
    m_needsFullReport = true;
    read();
    if (!sendsReports()) {
        awaitFirstBytes();
    }
}

void PeerExchange::Outbound::awaitFirstBytes()
{
    m_awaitsFirstBytes = true;
    m_waitingSince = m_exchange->m_clock.now();
    write();
}

void PeerExchange::Outbound::onAlive()
{
    m_retryDelay = retryDelays().first;
    m_lostSince.reset();
    if (std::exchange(m_isLossLogged, false)) {
        m_exchange->m_log.write(base::LogEvent::PeerRegained, {{"peer", config::formatEndpoint(m_endpoint)}});
    }
}

void PeerExchange::Outbound::onReceived()
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

void PeerExchange::Outbound::read()
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

void PeerExchange::Outbound::write()
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

void PeerExchange::Outbound::drop(const std::string &problem)
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

void PeerExchange::Outbound::logLoss()
{
    m_isLossLogged = true;
    m_exchange->m_log.write(base::LogEvent::PeerLost, {{"peer", config::formatEndpoint(m_endpoint)}, {"problem", m_lossProblem}});
}

void PeerExchange::Outbound::reset()
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

} // namespace carawaylatch::proxy
