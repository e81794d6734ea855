// Steps of brittlefleet.h.
#include "carawaylatch/proxy/testing/brittlefleet.h"

#include <algorithm>

namespace carawaylatch::proxy::testing
{

namespace
{

constexpr std::uint32_t CacheTokens = 110'000;
constexpr std::uint32_t LongTokens = 9200;
constexpr std::uint32_t ShortTokens = 900;
constexpr std::size_t RingPeers = 32; // as MaxReportPeers
constexpr std::size_t MaxWaiting = 50; // at one router; further requests are refused
constexpr base::Duration ReportInterval = base::milliseconds{50};
const base::PoolName ThePool("p");

base::Endpoint endpointOf(std::size_t router)
{
    return {"10.0." + std::to_string(router / 250) + '.' + std::to_string(router % 250), 7000};
}

} // namespace

BrittleFleet::BrittleFleet(const BrittleFleetOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_now(base::hours{1})
    , m_start(m_now)
    , m_servers(options.servers)
{
    auto table = std::make_shared<RouteTable>();
    table->pools.push_back({ThePool, 100, options.isEngine ? std::optional(EngineCapacity{CacheTokens, options.slots}) : std::nullopt});
    m_view.table = table;
    for (std::size_t i = 0; i < options.servers; ++i) {
        Upstream upstream;
        upstream.id = base::UpstreamId("u" + std::to_string(1000 + i));
        upstream.pool = ThePool;
        upstream.slots = options.slots;
        upstream.startTimeMs = 1;
        m_view.upstreams.push_back(upstream);
    }
    for (std::size_t i = 0; i < options.routers; ++i) {
        m_view.routerEndpoints.push_back(endpointOf(i));
        m_routers.push_back(std::make_unique<UpstreamTracker>(endpointOf(i)));
    }
    m_waiting.resize(options.routers);
    adopt();
}

base::TimePoint BrittleFleet::now() const
{
    return m_now;
}

UpstreamTracker &BrittleFleet::router(std::size_t i)
{
    return *m_routers[i];
}

const std::vector<Upstream> &BrittleFleet::upstreams() const
{
    return m_view.upstreams;
}

void BrittleFleet::adopt()
{
    m_view.routers = static_cast<std::uint32_t>(m_routers.size());
    for (const auto &router : m_routers) {
        router->adopt(m_view, m_now);
    }
}

void BrittleFleet::restartServers()
{
    for (Upstream &upstream : m_view.upstreams) {
        ++upstream.startTimeMs;
    }
    for (const Flight &flight : m_flights) {
        UpstreamTracker &router = *m_routers[flight.router];
        router.onAttemptEnded(*router.find(m_view.upstreams[flight.server].id), flight.load, false, AttemptEnd::Broken, m_now);
    }
    m_flights.clear();
    m_servers.assign(m_servers.size(), {});
    adopt();
}

void BrittleFleet::endBrittle()
{
    m_isBrittle = false;
}

void BrittleFleet::addRouter()
{
    const std::size_t added = m_routers.size();
    m_view.routerEndpoints.push_back(endpointOf(added));
    m_routers.push_back(std::make_unique<UpstreamTracker>(endpointOf(added)));
    m_waiting.emplace_back();
    adopt();
    m_routers[added]->applyBrittle(m_routers.front()->brittle().all(), m_now);
}

base::Duration BrittleFleet::serviceTime()
{
    return base::milliseconds{20 + m_random.below(40)};
}

void BrittleFleet::run(base::Duration duration)
{
    for (const base::TimePoint end = m_now + duration; m_now < end; m_now += Step) {
        for (std::size_t i = m_flights.size(); i-- > 0;) {
            Flight &flight = m_flights[i];
            if (!flight.hasArrived && m_now >= flight.arrivesAt) {
                arrive(flight);
            } else if (flight.hasArrived && m_now >= flight.endsAt) {
                answer(flight);
                m_flights.erase(m_flights.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
        if ((m_now - m_start) % ReportInterval == base::Duration{} && m_options.reportLoss < 1) {
            exchangeReports();
        }
        const std::size_t active = m_options.activeRouters > 0 ? m_options.activeRouters : m_routers.size();
        for (std::size_t i = 0; i < active; ++i) {
            offer(i);
        }
        if (m_now - m_start > QueueTime) {
            for (const Server &server : m_servers) {
                slotSeconds += server.running * base::toSeconds(Step);
            }
        }
    }
}

// New requests of one step, and those that wait.
void BrittleFleet::offer(std::size_t router)
{
    constexpr double MeanServiceSeconds = 0.04;
    const std::size_t active = m_options.activeRouters > 0 ? m_options.activeRouters : m_routers.size();
    const double perSecond = m_options.load * static_cast<double>(m_servers.size()) * m_options.slots / MeanServiceSeconds / static_cast<double>(active);
    auto &waiting = m_waiting[router];
    for (double expected = perSecond * base::toSeconds(Step); expected > 0; --expected) {
        if (m_random.uniformReal() < expected && waiting.size() < MaxWaiting) {
            waiting.push_back(m_random.below(4) == 0 ? LongTokens : ShortTokens);
        }
    }
    while (!waiting.empty() && tryToSend(router, waiting.front())) {
        waiting.pop_front();
    }
}

bool BrittleFleet::tryToSend(std::size_t router, std::uint32_t tokens)
{
    PlacementQuery query;
    query.now = m_now;
    query.pool = ThePool;
    query.memoryTokens = m_options.isEngine ? tokens : 0;
    UpstreamTracker &tracker = *m_routers[router];
    const PlacementResult placement = place(query, m_view, tracker, m_tuning);
    if (placement.verdict != PlacementVerdict::Chosen) {
        return false;
    }
    Flight flight;
    flight.router = router;
    flight.server = static_cast<std::size_t>(std::stoul(placement.record->upstream.id.value().substr(1)) - 1000);
    flight.arrivesAt = m_now + base::milliseconds{1 + m_random.below(8)};
    flight.load = {query.memoryTokens, 0, placement.room};
    tracker.onAttemptStarted(*placement.record, flight.load, m_now);
    m_flights.push_back(flight);
    return true;
}

void BrittleFleet::arrive(Flight &flight)
{
    Server &server = m_servers[flight.server];
    flight.hasArrived = true;
    const auto need = static_cast<double>(flight.load.memoryTokens);
    const bool hasRoom = server.running < m_options.slots && server.memory + need <= CacheTokens;
    if (!hasRoom && m_now - m_start >= QueueTime) {
        flight.isRejected = true;
        flight.endsAt = m_now + base::milliseconds{1 + m_random.below(8)};
        ++rejected;
        server.rejections.push_back(m_now);
        while (m_now - server.rejections.front() > base::seconds{1}) {
            server.rejections.pop_front();
        }
        worstSecond = std::max(worstSecond, server.rejections.size());
        return;
    }
    flight.endsAt = m_now + serviceTime();
    ++server.running;
    server.memory += need;
}

void BrittleFleet::answer(Flight &flight)
{
    Server &server = m_servers[flight.server];
    UpstreamTracker &tracker = *m_routers[flight.router];
    UpstreamRecord &record = *tracker.find(m_view.upstreams[flight.server].id);
    tracker.onLoadSample(record, {server.running, 0, m_options.slots}, m_now);
    const base::TimePoint sentAt = flight.arrivesAt - base::milliseconds{8};
    tracker.onBrittle(record, m_isBrittle ? std::optional(m_options.rejections) : std::nullopt, sentAt, m_now);
    if (flight.isRejected) {
        tracker.onRejected(record, flight.load, m_now);
    } else {
        --server.running;
        server.memory -= static_cast<double>(flight.load.memoryTokens);
        served += m_now - m_start >= QueueTime ? 1 : 0;
    }
    tracker.onAttemptEnded(record, flight.load, true, flight.isRejected ? AttemptEnd::NotExecuted : AttemptEnd::Answered, m_now);
}

// Each router's changes go to the others, or to those next to it on the ring. Every tenth is a full report, so
// that losses are made up for.
void BrittleFleet::exchangeReports()
{
    const std::size_t count = m_routers.size();
    const bool isFull = (m_now - m_start) % (10 * ReportInterval) == base::Duration{};
    for (std::size_t from = 0; from < count; ++from) {
        LoadReport report = m_routers[from]->takeChanges();
        if (isFull) {
            report = m_routers[from]->fullReport();
        }
        report.sender = from + 1;
        report.incarnation = 1;
        const auto notices = m_routers[from]->brittle().takeChanges();
        for (std::size_t step = 1; step < count && step <= RingPeers; ++step) {
            UpstreamTracker &to = *m_routers[(from + (step % 2 == 1 ? (step + 1) / 2 : count - step / 2)) % count];
            if (m_random.uniformReal() >= m_options.reportLoss) {
                (void)to.applyReport(report, m_now);
                to.applyBrittle(notices, m_now);
            }
        }
    }
    for (const auto &router : m_routers) {
        (void)router->removeSilentPeers(m_now);
    }
}

} // namespace carawaylatch::proxy::testing
