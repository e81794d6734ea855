// The I/O of limitenforcement.h.
#include "carawaylatch/proxy/limitenforcement.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/incarnation.h"
#include "carawaylatch/config/valuetext.h"
#include "carawaylatch/proxy/fleet.h"
#include "carawaylatch/proxy/limitcodec.h"
#include "carawaylatch/proxy/peerexchange.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr base::Duration LogInterval = base::seconds{1}; // between lines of one kind
constexpr double LoggedShareChange = 0.25; // a smaller change of a share is not logged

admission::RouterKey routerKey(const base::Endpoint &endpoint)
{
    return base::hash64(config::formatEndpoint(endpoint));
}

std::uint64_t seedOf(const base::Endpoint &self, std::uint64_t incarnation)
{
    return base::combineHashes(routerKey(self), incarnation);
}

// The longest time that a request of one of the routes may wait in the queue.
base::Duration maxQueueWait(const RouteTable &table)
{
    base::Duration out{};
    for (const Route &route : table.routes) {
        out = std::max(out, route.maxQueueWait());
    }
    return out;
}

bool isDue(base::TimePoint loggedAt, base::TimePoint now)
{
    return loggedAt == base::TimePoint{} || now - loggedAt >= LogInterval;
}

} // namespace

LimitEnforcement::LimitEnforcement(boost::asio::io_context &loop, const base::Clock &clock, PeerExchange &peers, base::Endpoint self, telemetry::EventLog &log)
    : LimitEnforcement(loop, clock, peers, std::move(self), log, base::newIncarnation().value)
{
}

LimitEnforcement::LimitEnforcement(boost::asio::io_context &loop, const base::Clock &clock, PeerExchange &peers, base::Endpoint self, telemetry::EventLog &log,
                                   std::uint64_t incarnation)
    : m_loop(loop)
    , m_clock(clock)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_log(log)
    , m_alive(std::make_shared<LimitEnforcement *>(this))
    , m_limits(routerKey(m_self), incarnation, seedOf(m_self, incarnation), clock.now())
{
}

LimitEnforcement::~LimitEnforcement() = default;

void LimitEnforcement::adopt(const FleetView &view, const admission::LimitTolerance &tolerance)
{
    admission::LimitTolerance needed = tolerance;
    needed.maxQueueWait = view.table ? maxQueueWait(*view.table) : base::Duration{};
    adoptRouters(view);
    if (view.table == m_table && needed == m_tolerance) {
        return;
    }
    m_table = view.table;
    m_tolerance = needed;
    const auto limits = m_table ? m_table->customers.limits() : std::vector<admission::NamedLimit>{};
    m_limits.configure(limits, m_tolerance, m_clock.now());
    logUnusableLimits(limits);
    schedulePump();
}

// With such a limit all requests of the customer are refused for good.
void LimitEnforcement::logUnusableLimits(std::span<const admission::NamedLimit> limits)
{
    for (const admission::NamedLimit &it : limits) {
        if (admission::bucketCapacity(it.limit, m_tolerance) < 1) {
            m_log.write(
                base::LogEvent::LimitUnusable,
                {{"customer", it.customer.value()},
                 {"problem", "no request fits into what [limits] tolerates; raise overshoot or slack, or lower the longest target latency of the routes"},
                 {"version", std::to_string(m_table->version)}});
        }
    }
}

void LimitEnforcement::adoptRouters(const FleetView &view)
{
    const base::TimePoint now = m_clock.now();
    m_fleetSize.set(std::max(view.routers, static_cast<std::uint32_t>(view.routerEndpoints.size())), now);
    if (view.routerEndpoints == m_routerEndpoints && m_fleetSize.counted(now) == m_routers) {
        return;
    }
    m_routerEndpoints = view.routerEndpoints;
    m_routers = m_fleetSize.counted(now);
    m_endpoints.clear();
    std::vector<admission::RouterKey> keys;
    if (m_self.port == 0) {
        keys.push_back(routerKey(m_self)); // nobody can be asked
    } else {
        for (const base::Endpoint &it : m_routerEndpoints) {
            const admission::RouterKey key = routerKey(it);
            if (m_endpoints.emplace(key, it).second) {
                keys.push_back(key);
            }
        }
    }
    m_routerKeys = std::move(keys);
    m_limits.setRouters(m_routerKeys, m_routers, now);
    schedulePump();
}

void LimitEnforcement::stop()
{
    m_limits.stop();
    pump();
}

void LimitEnforcement::tick()
{
    const bool hasLoggedShare = std::any_of(m_loggedShares.begin(), m_loggedShares.end(), [](double share) {
        return share > 0;
    });
    if (m_limits.limitedCustomers() == 0 && m_waiting.empty() && m_connected.empty() && !hasLoggedShare) {
        return;
    }
    if (const std::uint32_t routers = m_fleetSize.counted(m_clock.now()); routers != m_routers) {
        m_routers = routers;
        m_limits.setRouters(m_routerKeys, m_routers, m_clock.now());
    }
    pump();
    countRefusals();
    logRefusals();
    logShares();
}

admission::LimitDecision LimitEnforcement::request(const base::CustomerId &customer, std::uint32_t cost, Done done)
{
    const admission::LimitDecision decision = m_limits.request(customer, cost, m_clock.now());
    if (decision.verdict == admission::LimitVerdict::Pending) {
        m_waiting.emplace(decision.ticket, std::move(done));
        schedulePump();
    }
    return decision;
}

void LimitEnforcement::cancel(std::uint64_t ticket)
{
    m_waiting.erase(ticket);
    m_limits.cancel(ticket);
}

void LimitEnforcement::refund(const base::CustomerId &customer, std::uint32_t cost, base::TimePoint usableUntil)
{
    m_limits.refund(customer, cost, usableUntil, m_clock.now());
}

void LimitEnforcement::schedulePump()
{
    if (std::exchange(m_isPumpScheduled, true)) {
        return;
    }
    boost::asio::post(m_loop, [weak = std::weak_ptr(m_alive)] {
        if (const auto self = weak.lock()) {
            (*self)->m_isPumpScheduled = false;
            (*self)->pump();
        }
    });
}

void LimitEnforcement::pump()
{
    connectPeers();
    for (const admission::LimitMessage &message : m_limits.takeMessages(m_clock.now())) {
        send(message);
    }
    for (const admission::TicketDecision &it : m_limits.takeDecisions(m_clock.now())) {
        const auto waiting = m_waiting.find(it.ticket);
        if (waiting == m_waiting.end()) {
            continue; // an earlier one of these decisions has ended it
        }
        const Done done = std::move(waiting->second);
        m_waiting.erase(waiting);
        done(it.decision);
    }
}

void LimitEnforcement::connectPeers()
{
    std::vector<admission::RouterKey> needed = m_limits.peers();
    std::sort(needed.begin(), needed.end());
    if (needed == m_connected) {
        return;
    }
    m_connected = std::move(needed);
    std::vector<base::Endpoint> endpoints;
    for (const admission::RouterKey key : m_connected) {
        if (const auto it = m_endpoints.find(key); it != m_endpoints.end()) {
            endpoints.push_back(it->second);
        }
    }
    m_peers.setRequestPeers(endpoints);
}

void LimitEnforcement::send(const admission::LimitMessage &message)
{
    const auto endpoint = m_endpoints.find(message.to);
    if (endpoint == m_endpoints.end()) {
        m_limits.onFailure(message.id, m_clock.now());
        return;
    }
    const auto *poll = std::get_if<admission::SharePoll>(&message.content);
    std::string body = poll != nullptr ? encodeSharePoll(*poll) : encodeTokenRequest(std::get<admission::TokenRequest>(message.content));
    m_peers.request(endpoint->second, std::move(body),
                    [weak = std::weak_ptr(m_alive), id = message.id, isPoll = poll != nullptr](const std::optional<std::string> &response) {
                        if (const auto self = weak.lock()) {
                            (*self)->onResponse(id, isPoll, response);
                        }
                    });
}

void LimitEnforcement::onResponse(std::uint64_t id, bool isPoll, const std::optional<std::string> &body)
{
    const base::TimePoint now = m_clock.now();
    if (isPoll) {
        const auto answer = decodeShareAnswer(body.value_or(std::string()));
        if (answer) {
            m_limits.onAnswer(answer.value(), now);
        } else {
            m_limits.onFailure(id, now);
        }
    } else {
        const auto grant = decodeTokenGrant(body.value_or(std::string()));
        if (grant) {
            m_limits.onGrant(id, grant.value(), now);
        } else {
            m_limits.onFailure(id, now);
        }
    }
    schedulePump(); // responses that arrive together are passed on together
}

std::string LimitEnforcement::onPeerRequest(std::string_view body)
{
    const base::TimePoint now = m_clock.now();
    if (const auto poll = decodeSharePoll(body)) {
        schedulePump();
        return encodeShareAnswer(m_limits.onPoll(poll.value(), now));
    }
    if (const auto request = decodeTokenRequest(body)) {
        return encodeTokenGrant(m_limits.onTokenRequest(request.value(), now));
    }
    return {};
}

const admission::LimitCounts &LimitEnforcement::counts() const
{
    return m_limits.counts();
}

std::size_t LimitEnforcement::limitedCustomers() const
{
    return m_limits.limitedCustomers();
}

double LimitEnforcement::heldShare(std::uint32_t group) const
{
    return m_limits.heldShare(group, m_clock.now());
}

std::uint64_t LimitEnforcement::startDelayMs() const
{
    const auto lasted = m_limits.startDelayLasted(m_clock.now());
    return static_cast<std::uint64_t>(base::toMilliseconds(lasted.value_or(base::Duration{})));
}

void LimitEnforcement::countRefusals()
{
    for (const admission::LimitUse &it : m_limits.takeRefusals()) {
        if (it.overLimit > 0) {
            m_refusals[it.customer].count += it.overLimit;
        }
        if (it.unavailable > 0) {
            m_undecided += it.unavailable;
            m_undecidedCustomer = it.customer;
        }
    }
}

void LimitEnforcement::logRefusals()
{
    const base::TimePoint now = m_clock.now();
    for (auto it = m_refusals.begin(); it != m_refusals.end();) {
        auto &[customer, refusals] = *it;
        if (!isDue(refusals.loggedAt, now)) {
            ++it;
            continue;
        }
        if (refusals.count == 0) {
            it = m_refusals.erase(it);
            continue;
        }
        m_log.write(base::LogEvent::CustomerOverLimit, {{"customer", customer.value()}, {"refused", std::to_string(refusals.count)}});
        refusals = {0, now};
        ++it;
    }
    if (m_undecided > 0 && isDue(m_undecidedLoggedAt, now)) {
        m_log.write(base::LogEvent::LimitNotDecided, {{"requests", std::to_string(m_undecided)}, {"customer", m_undecidedCustomer.value()}});
        m_undecided = 0;
        m_undecidedLoggedAt = now;
    }
}

void LimitEnforcement::logShares()
{
    constexpr double Percent = 100;
    const base::TimePoint now = m_clock.now();
    for (std::uint32_t i = 0; i < admission::LimitGroups; ++i) {
        const double share = m_limits.limitedCustomers() == 0 ? 0 : m_limits.heldShare(i, now);
        const bool hasChanged = (share > 0) != (m_loggedShares[i] > 0) || std::abs(share - m_loggedShares[i]) >= LoggedShareChange;
        if (!hasChanged || !isDue(m_sharesLoggedAt[i], now)) {
            continue;
        }
        m_loggedShares[i] = share;
        m_sharesLoggedAt[i] = now;
        m_log.write(base::LogEvent::LimitCoordination,
                    {{"group", std::to_string(i)}, {"share_percent", std::to_string(static_cast<int>(std::lround(share * Percent)))}});
    }
}

} // namespace carawaylatch::proxy
