// Sends this router's load reports to other routers and takes theirs.
//
// The load it answers: see loadreport.h. Each router keeps one HTTP/2 connection to
// each of its peers and posts a report each ReportInterval when something changed,
// or a sign of life each HeartbeatInterval. A peer that answers nothing is dropped
// and tried again later, ever less often; it holds nothing else up, and placement
// goes on with what this router sees itself. Peers are the nearest in a ring of all
// routers, so their number, and with it the cost, is bounded whatever the fleet.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/loadreport.h"
#include "carawaylatch/proxy/socket.h"
#include "carawaylatch/telemetry/decisionlog.h"

namespace carawaylatch::proxy
{

// Routers that one router reports to.
constexpr std::size_t MaxReportPeers = 32;

// The routers that `self` reports to: the nearest on both sides in the ring of all
// endpoints in order, so that each of two neighbours reports to the other.
[[nodiscard]] std::vector<base::Endpoint> reportPeers(std::span<const base::Endpoint> routers, const base::Endpoint &self);

// What the exchange needs of the router's own knowledge.
class LoadReportSource
{
public:
    virtual ~LoadReportSource() = default;
    // What changed since the last call.
    [[nodiscard]] virtual LoadReport takeChanges() = 0;
    [[nodiscard]] virtual LoadReport fullReport() const = 0;
    virtual void onReport(const LoadReport &report) = 0;
    // A router has answered nothing for UnreachableTimeout; told again after as long.
    virtual void onPeerUnreachable(const base::Endpoint &peer) = 0;
};

class PeerExchange
{
public:
    // All references outlive the exchange. `self` is where other routers connect and
    // `id` names this router in reports.
    PeerExchange(boost::asio::io_context &loop, const base::Clock &clock, base::Endpoint self, const std::string &id, LoadReportSource &source,
                 telemetry::DecisionLog &log);
    ~PeerExchange();
    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;

    // Binds the address; port zero turns the exchange off. Unavailable if it is taken.
    [[nodiscard]] base::Result<void> listen();
    // All routers of the fleet, this one may be among them.
    void setRouters(std::span<const base::Endpoint> routers);
    // Reports and connects where it is time to; called each ReportInterval.
    void tick();
    void closeAll();

    // Far beyond restarts and cuts between failure domains.
    static constexpr base::Duration UnreachableTimeout = base::minutes{10};
    static constexpr base::Duration ReportInterval = base::milliseconds{50}; // a third of the reading of a long prompt

private:
    class Inbound;
    class Outbound;

    void accept();
    void onInbound(std::string_view body);
    [[nodiscard]] std::string encode(LoadReport report) const;

    boost::asio::io_context &m_loop;
    const base::Clock &m_clock;
    const base::Endpoint m_self;
    LoadReportSource &m_source;
    telemetry::DecisionLog &m_log;
    const std::uint64_t m_sender;
    const std::uint64_t m_incarnation;
    Tcp::acceptor m_acceptor;
    Tcp::socket m_next;
    bool m_isAccepting = false;
    std::set<std::shared_ptr<Inbound>> m_inbound;
    std::map<base::Endpoint, std::shared_ptr<Outbound>> m_outbound;
    base::TimePoint m_reportedAt; // last report or sign of life
    bool m_hasLoggedBadReport = false; // logged once
};

} // namespace carawaylatch::proxy
