// Connection that a router opens to a peer, for reports, requests or both. One read is pending, and at most one write.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "carawaylatch/peer/http2session.h"
#include "carawaylatch/proxy/peerexchange.h"

namespace carawaylatch::proxy
{

constexpr base::seconds PeerSilenceDetection{2}; // reports are sent several times a second, and a new connection loses none
constexpr int StatusAnswered = 200; // with the answer to a request in the body

class PeerExchange::Outbound : public std::enable_shared_from_this<Outbound>
{
public:
    enum class Purpose {
        Reports,
        Requests,
        Both,
    };

    Outbound(PeerExchange &exchange, base::Endpoint endpoint, Purpose purpose);
    void setPurpose(Purpose purpose);
    // Connects when the retry delay has passed, and drops a connection whose peer does not respond.
    void tick();
    // True if the peer needs a full report: it has got none on this connection, or reports to it were skipped.
    [[nodiscard]] bool needsFullReport() const;
    // Sends a report, or skips it if too many are unanswered.
    void send(const std::string &report);
    // Sends a request, or fails it if the connection is not open or too many are unanswered.
    void request(std::string body, RequestHandler done);
    // Fails all requests; the exchange forgets the connection.
    void close();

private:
    enum class State {
        Idle,
        Connecting,
        Open,
    };

    // Delays between connection attempts; the delay doubles with each failure.
    struct RetryDelays
    {
        base::Duration first;
        base::Duration max;
    };
    static const RetryDelays ReportRetryDelays;
    static const RetryDelays RequestRetryDelays;
    struct Request
    {
        base::TimePoint sentAt;
        RequestHandler done;
    };

    [[nodiscard]] bool sendsReports() const;
    [[nodiscard]] const RetryDelays &retryDelays() const;
    // Checks the oldest request, too: a peer that responds to others only would fill the table of requests.
    [[nodiscard]] bool isResponseOverdue(base::TimePoint now) const;
    void connect();
    void open();
    // Only received bytes show that a peer is alive: the kernel accepts connections even for a suspended process.
    void onAlive();
    // Expects the peer to answer the start of the protocol, since without reports there may be no response for long.
    void awaitFirstBytes();
    void onReceived();
    void read();
    void write();
    void drop(const std::string &problem);
    void logLoss();
    void reset();

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

} // namespace carawaylatch::proxy
