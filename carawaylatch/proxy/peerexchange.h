// Exchanges load reports (loadreport.h), fault reports (faultreport.h) and reach reports (reachreport.h) with other routers,
// requests by which routers enforce customers' limits together (limitcodec.h), and load summaries of large fleets
// (loadsummary.h).
//
// Each router keeps one HTTP/2 connection to each of its peers and posts a report
// every ReportInterval in which something changed, and a heartbeat (an empty report)
// after HeartbeatInterval without one. A peer that does not respond is disconnected
// and retried with exponential backoff. It does not delay other peers, and placement
// continues with this router's own data. Peers are the nearest neighbours in a ring
// of all routers, so their number and the cost are bounded for any fleet size.
//
// Requests go over the same connections, and over further ones to routers that get no
// reports. Nothing is sent on a connection for requests only while none is in progress.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/faultreport.h"
#include "carawaylatch/proxy/loadreport.h"
#include "carawaylatch/proxy/loadsummary.h"
#include "carawaylatch/proxy/reachreport.h"
#include "carawaylatch/proxy/socket.h"
#include "carawaylatch/telemetry/eventlog.h"

namespace carawaylatch::proxy
{

// Maximum number of routers to which one router reports.
constexpr std::size_t MaxReportPeers = 32;
// Maximum number of routers with which one router exchanges requests; more than the largest fleet has. Further ones are
// left out.
constexpr std::size_t MaxRequestPeers = 4096;
// Maximum number of requests to one router without a response; further ones fail at once. A router sends a poll and a
// few token requests within the time in which a live router responds.
constexpr std::size_t MaxUnansweredRequests = 64;

// The routers to which `self` reports: the nearest on both sides in the ring of all
// sorted endpoints, so that the relation is symmetric.
[[nodiscard]] std::vector<base::Endpoint> reportPeers(std::span<const base::Endpoint> routers, const base::Endpoint &self);

// Provides this router's reports and receives those of peers.
class PeerReportSource
{
public:
    virtual ~PeerReportSource() = default;
    // Changes since the last call.
    [[nodiscard]] virtual LoadReport takeChanges() = 0;
    [[nodiscard]] virtual LoadReport fullReport() const = 0;
    virtual void onReport(const LoadReport &report) = 0;
    // The same for faults of upstreams; nothing is sent for an empty report.
    [[nodiscard]] virtual FaultReport takeFaultChanges() = 0;
    [[nodiscard]] virtual FaultReport fullFaultReport() const = 0;
    virtual void onFaultReport(const FaultReport &report) = 0;
    // What this router reaches; sent with each heartbeat, and when the pools change.
    [[nodiscard]] virtual ReachReport reachReport() const = 0;
    virtual void onReachReport(const ReachReport &report) = 0;
    // A peer has not responded for UnreachableTimeout. Repeated after each further UnreachableTimeout.
    virtual void onPeerUnreachable(const base::Endpoint &peer) = 0;
    // Load of other routers, summed by one of them. Sources that take no summaries ignore it.
    virtual void onSummary(const LoadSummary & /*summary*/)
    {
    }
    // Answers a request of another router, whose first byte is 6 or 7; empty: no answer.
    [[nodiscard]] virtual std::string onPeerRequest(std::string_view body) = 0;
};

class PeerExchange
{
public:
    // All references must outlive the exchange. `self` is the endpoint to which other
    // routers connect, and `id` identifies this router in reports.
    PeerExchange(boost::asio::io_context &loop, const base::Clock &clock, base::Endpoint self, const std::string &id, PeerReportSource &source,
                 telemetry::EventLog &log);
    ~PeerExchange();
    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;

    // Binds the address; port zero disables the exchange. Unavailable if the address is in use.
    [[nodiscard]] base::Result<void> listen();
    // Sets the routers of the fleet, which may include this one.
    void setRouters(std::span<const base::Endpoint> routers);
    // Sets the routers with which requests are exchanged, at most MaxRequestPeers; this one is ignored.
    void setRequestPeers(std::span<const base::Endpoint> peers);
    // Sets the routers to which this one sends summaries, at most MaxRequestPeers; this one is ignored.
    void setSummaryPeers(std::span<const base::Endpoint> peers);
    // Sends a summary, or drops it if the router is not connected or does not respond in time.
    void sendSummary(const base::Endpoint &peer, const std::string &summary);
    // The body of the response, or nothing if there is none.
    using RequestHandler = std::function<void(std::optional<std::string>)>;
    // Sends a request to a router to which there is a connection. The handler is always called from the loop, never
    // inline: with nothing if the router is not connected, is removed or does not respond, responds without a body or
    // with another status than 200, or if MaxUnansweredRequests are waiting. closeAll() discards handlers without a call.
    void request(const base::Endpoint &peer, std::string body, RequestHandler done);
    // Sends due reports and makes due connections; to be called every ReportInterval.
    void tick();
    void closeAll();

    // Much longer than restarts and network partitions between failure domains.
    static constexpr base::Duration UnreachableTimeout = base::minutes{10};
    static constexpr base::Duration ReportInterval = base::milliseconds{50}; // a third of the prefill time of a long prompt

private:
    class Inbound;
    class Outbound;

    void accept();
    void updateOutbound();
    void complete(RequestHandler done, std::optional<std::string> body);
    void onInbound(std::string_view body);
    template <typename Report>
    void apply(const base::Result<Report> &report, void (PeerReportSource::*handler)(const Report &));
    [[nodiscard]] std::string encode(LoadReport report) const;
    [[nodiscard]] std::string dueReachText(base::TimePoint now);

    boost::asio::io_context &m_loop;
    const base::Clock &m_clock;
    const base::Endpoint m_self;
    PeerReportSource &m_source;
    telemetry::EventLog &m_log;
    const std::uint64_t m_sender;
    const std::uint64_t m_incarnation;
    Tcp::acceptor m_acceptor;
    Tcp::socket m_next;
    bool m_isAccepting = false;
    std::set<std::shared_ptr<Inbound>> m_inbound;
    std::size_t m_routers = 0; // of the fleet
    std::set<base::Endpoint> m_reportPeers; // at most MaxReportPeers
    std::set<base::Endpoint> m_requestPeers; // at most MaxRequestPeers
    std::set<base::Endpoint> m_summaryPeers; // at most MaxRequestPeers
    std::map<base::Endpoint, std::shared_ptr<Outbound>> m_outbound; // one for each endpoint of the three sets
    std::shared_ptr<const bool> m_isOpen = std::make_shared<const bool>(true); // handlers of requests hold a weak pointer; replaced by closeAll()
    base::TimePoint m_reportedAt; // last report or heartbeat
    base::TimePoint m_reachReportedAt;
    std::string m_reachText; // the last one
    std::vector<std::uint64_t> m_reportedUnreached; // as of m_reachText
    bool m_reportedTakesRequests = false;
    bool m_hasLoggedBadReport = false; // a malformed report is logged only once
};

} // namespace carawaylatch::proxy
