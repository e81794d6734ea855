// Enforces customers' limits in the traffic plane: drives admission::CustomerLimits.
//
// It feeds the state machine with the configuration, the routers of the fleet, time and the
// messages of other routers, and calls the requests that wait for a decision. Messages go out
// right after the events of the loop that caused them, so that requests that arrive together
// share one, and every tick().
//
// Without a limit in the configuration nothing runs: no messages, no connections, and a tick
// ends at once.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "carawaylatch/admission/customerlimits.h"
#include "carawaylatch/admission/fleetsize.h"
#include "carawaylatch/proxy/customers.h"
#include "carawaylatch/telemetry/eventlog.h"

namespace carawaylatch::proxy
{

class PeerExchange;
struct FleetView;
class RouteTable;

class LimitEnforcement
{
public:
    using Done = std::function<void(const admission::LimitDecision &)>;

    // All references must outlive the object. `self` is the endpoint to which other routers connect; port zero:
    // this router exchanges no messages, and enforces its own part of each limit alone.
    LimitEnforcement(boost::asio::io_context &loop, const base::Clock &clock, PeerExchange &peers, base::Endpoint self, telemetry::EventLog &log);
    ~LimitEnforcement();
    LimitEnforcement(const LimitEnforcement &) = delete;
    LimitEnforcement &operator=(const LimitEnforcement &) = delete;

    // A new snapshot or new settings; the longest wait in the queue is taken from the routes.
    void adopt(const FleetView &view, const admission::LimitTolerance &tolerance);
    // The router leaves: other routers get back what they have lent to it.
    void stop();
    // Sends due messages and decides on requests that have waited too long; to be called every
    // CustomerLimits::TickInterval.
    void tick();

    // Counts a request of the customer. If the decision is Pending, `done` is called later unless the ticket is
    // cancelled; else it isn't called.
    [[nodiscard]] admission::LimitDecision request(const base::CustomerId &customer, std::uint32_t cost, Done done);
    void cancel(std::uint64_t ticket);
    // A granted request was never sent.
    void refund(const base::CustomerId &customer, std::uint32_t cost, base::TimePoint usableUntil);
    // Answers a message of another router; empty if it can't be read.
    [[nodiscard]] std::string onPeerRequest(std::string_view body);

    [[nodiscard]] const admission::LimitCounts &counts() const;
    [[nodiscard]] std::size_t limitedCustomers() const;
    [[nodiscard]] double heldShare(std::uint32_t group) const;
    // Milliseconds; zero before the delay has ended for all groups.
    [[nodiscard]] std::uint64_t startDelayMs() const;

private:
    LimitEnforcement(boost::asio::io_context &loop, const base::Clock &clock, PeerExchange &peers, base::Endpoint self, telemetry::EventLog &log,
                     std::uint64_t incarnation);
    // Refusals of one customer since the last line of the log about it.
    struct Refusals
    {
        std::uint64_t count = 0;
        base::TimePoint loggedAt; // zero: never
    };

    void adoptRouters(const FleetView &view);
    void logUnusableLimits(std::span<const admission::NamedLimit> limits);
    void schedulePump();
    // Sends due messages and passes on decisions.
    void pump();
    void send(const admission::LimitMessage &message);
    void onResponse(std::uint64_t id, bool isPoll, const std::optional<std::string> &body);
    void connectPeers();
    void countRefusals();
    void logRefusals();
    void logShares();

    boost::asio::io_context &m_loop;
    const base::Clock &m_clock;
    PeerExchange &m_peers;
    const base::Endpoint m_self;
    telemetry::EventLog &m_log;
    const std::shared_ptr<LimitEnforcement *> m_alive; // handlers that run later hold a weak pointer to it
    admission::CustomerLimits m_limits;
    std::shared_ptr<const RouteTable> m_table; // of the limits in force
    admission::LimitTolerance m_tolerance;
    std::vector<base::Endpoint> m_routerEndpoints;
    admission::FleetSize m_fleetSize;
    std::uint32_t m_routers = 0; // as last passed to m_limits, with m_routerKeys
    std::vector<admission::RouterKey> m_routerKeys;
    std::unordered_map<admission::RouterKey, base::Endpoint> m_endpoints; // of the fleet's routers
    std::vector<admission::RouterKey> m_connected; // routers to which a connection was asked for
    std::unordered_map<std::uint64_t, Done> m_waiting; // by ticket; at most CustomerLimits::MaxPending
    std::map<base::CustomerId, Refusals> m_refusals; // only customers with refusals of the last second
    std::uint64_t m_undecided = 0; // requests, since the last line of the log about them
    base::CustomerId m_undecidedCustomer; // of the latest of them
    base::TimePoint m_undecidedLoggedAt;
    std::array<double, admission::LimitGroups> m_loggedShares{};
    std::array<base::TimePoint, admission::LimitGroups> m_sharesLoggedAt{};
    bool m_isPumpScheduled = false;
};

} // namespace carawaylatch::proxy
