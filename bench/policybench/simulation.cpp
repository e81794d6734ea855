// Schedule of a run. The warm-up fills the caches and is not measured; transient faults
// start at FaultAt, lasting ones are active during the whole run.
#include "bench/policybench/simulation.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <tuple>

#include "bench/policybench/engine.h"
#include "bench/policybench/router.h"

namespace carawaylatch::bench
{

namespace
{

constexpr base::Duration WarmUp = base::seconds{30};
constexpr base::Duration FaultAt = base::seconds{60};
constexpr base::Duration CrashDuration = base::seconds{4};
constexpr base::Duration RouterDowntime = base::seconds{1};
constexpr base::Duration PartitionDuration = base::seconds{30};
constexpr base::Duration ArrivalsEnd = base::seconds{150};
constexpr base::Duration RunEnd = base::seconds{200}; // all deadlines have passed
constexpr std::uint32_t Routers = 4;
constexpr std::uint32_t RestartedRouter = 1;

class Simulation
{
public:
    explicit Simulation(const Run &run);
    RunMetrics result();

private:
    void scheduleFaults();
    void scheduleSession();
    void scheduleRequest(const Session &session);
    void onOutcome(const Outcome &outcome, base::TimePoint arrived);
    [[nodiscard]] double rate() const;

    const Run &m_run;
    EventQueue m_queue;
    base::TimePoint m_start;
    WorkloadSource m_source;
    base::Random m_network;
    std::vector<std::unique_ptr<Engine>> m_engines;
    bool m_isPartitioned = false;
    std::uint32_t m_downRouter = Routers; // none
    std::vector<std::unique_ptr<Router>> m_routers;
    std::deque<Request> m_requests; // a deque keeps addresses valid
    std::vector<Outcome> m_outcomes;
    BlockCache m_pooledCache; // one cache of all engines' total size, for hitBound
    double m_pooledHits = 0; // tokens
};

Simulation::Simulation(const Run &run)
    : m_run(run)
    , m_start(m_queue.now())
    , m_source(*run.workload, run.seed)
    , m_network(run.seed + 1)
    , m_pooledCache(run.workload->engines * Engine::CapacityBlocks)
{
    for (std::uint32_t i = 0; i < run.workload->engines; ++i) {
        m_engines.push_back(std::make_unique<Engine>(m_queue, i, i % run.workload->domains));
    }
    const Fleet fleet{m_queue, m_engines, *run.scenario, m_network, m_isPartitioned, run.workload->domains};
    for (std::uint32_t i = 0; i < Routers; ++i) {
        m_routers.push_back(std::make_unique<Router>(fleet, i, run.strategy, run.seed * 100 + i));
    }
    scheduleFaults();
    m_queue.after(base::seconds{1}, [this] {
        scheduleSession();
    });
}

double Simulation::rate() const
{
    return m_run.workload->requestsPerSecond * (m_run.scenario->overloads ? m_run.workload->overload : 1);
}

void Simulation::scheduleFaults()
{
    const auto &scenario = *m_run.scenario;
    if (scenario.shiftsHotPrefixes) {
        m_queue.after(FaultAt, [this] {
            m_source.shiftHotPrefixes();
        });
    }
    if (scenario.crashesEngine) {
        m_queue.after(FaultAt, [this] {
            m_engines[0]->crash();
        });
        m_queue.after(FaultAt + CrashDuration, [this] {
            m_engines[0]->start();
        });
    }
    if (scenario.restartsRouter) {
        m_queue.after(FaultAt, [this] {
            m_downRouter = RestartedRouter;
        });
        m_queue.after(FaultAt + RouterDowntime, [this] {
            m_routers[RestartedRouter]->restart(*m_routers[0]);
            m_downRouter = Routers;
        });
    }
    if (scenario.partitionsDomain) {
        m_queue.after(FaultAt, [this] {
            m_isPartitioned = true;
        });
        m_queue.after(FaultAt + PartitionDuration, [this] {
            m_isPartitioned = false;
        });
    }
}

void Simulation::scheduleSession()
{
    if (m_queue.now() - m_start > ArrivalsEnd) {
        return;
    }
    scheduleRequest(m_source.nextSession());
    const double sessionsPerSecond = rate() / m_run.workload->sessionRequests;
    m_queue.after(m_source.exponential(base::fromSeconds(1 / sessionsPerSecond)), [this] {
        scheduleSession();
    });
}

void Simulation::scheduleRequest(const Session &session)
{
    m_requests.push_back(m_source.nextRequest(session));
    // The load balancer skips a router that is down.
    auto router = static_cast<std::uint32_t>(m_source.random().below(Routers));
    router = router == m_downRouter ? (router + 1) % Routers : router;
    m_routers[router]->handle(m_requests.back(), [this, arrived = m_queue.now()](const Outcome &outcome) {
        onOutcome(outcome, arrived);
    });
    if (session.requests > 1) {
        Session remaining = session;
        --remaining.requests;
        m_queue.after(m_source.exponential(m_run.workload->thinkTime), [this, remaining] {
            if (m_queue.now() - m_start <= ArrivalsEnd) {
                scheduleRequest(remaining);
            }
        });
    }
}

void Simulation::onOutcome(const Outcome &outcome, base::TimePoint arrived)
{
    const bool isMeasured = arrived - m_start >= WarmUp;
    if (outcome.hasFirstToken) {
        m_pooledHits += isMeasured ? m_pooledCache.cachedPrefixBlocks(outcome.request->chain) * BlockTokens : 0;
        std::ignore = m_pooledCache.store(outcome.request->chain);
    }
    if (isMeasured) {
        m_outcomes.push_back(outcome);
    }
}

double percentile(std::vector<double> &values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(rank, values.size() - 1)];
}

double jainIndex(const std::vector<double> &values)
{
    double sum = 0;
    double squares = 0;
    for (const double it : values) {
        sum += it;
        squares += it * it;
    }
    return squares > 0 ? sum * sum / (static_cast<double>(values.size()) * squares) : 0;
}

RunMetrics Simulation::result()
{
    m_queue.runUntil(m_start + RunEnd);
    RunMetrics metrics;
    std::vector<double> interactive;
    std::vector<double> batch;
    std::vector<double> goodputByCustomer(m_run.workload->customers.size());
    std::vector<double> requestsByCustomer(m_run.workload->customers.size());
    double prompt = 0;
    double cached = 0;
    double wasted = 0;
    for (const auto &it : m_outcomes) {
        const Request &request = *it.request;
        requestsByCustomer[request.customer] += 1;
        metrics.refused += it.isRefused ? 1 : 0;
        if (!it.hasFirstToken) {
            continue;
        }
        (request.trafficClass == base::TrafficClass::Interactive ? interactive : batch).push_back(base::toSeconds(it.firstToken) * 1000);
        goodputByCustomer[request.customer] += it.firstToken <= request.deadline ? 1 : 0;
        metrics.goodput += it.firstToken <= request.deadline ? 1 : 0;
        prompt += request.promptTokens;
        cached += it.cachedBlocks * BlockTokens;
        wasted += it.bestCachedBlocks > it.cachedBlocks ? (it.bestCachedBlocks - it.cachedBlocks) * BlockTokens : 0;
    }
    const auto n = static_cast<double>(std::max<std::size_t>(m_outcomes.size(), 1));
    for (std::size_t i = 0; i < requestsByCustomer.size(); ++i) {
        goodputByCustomer[i] = requestsByCustomer[i] > 0 ? goodputByCustomer[i] / requestsByCustomer[i] : 1;
    }
    metrics.requests = m_outcomes.size();
    metrics.hitRate = prompt > 0 ? cached / prompt : 0;
    metrics.hitBound = prompt > 0 ? m_pooledHits / prompt : 0;
    metrics.waste = prompt > 0 ? wasted / prompt : 0;
    metrics.refused /= n;
    metrics.goodput /= n;
    metrics.fairness = jainIndex(goodputByCustomer);
    metrics.p50Interactive = percentile(interactive, 0.50);
    metrics.p99Interactive = percentile(interactive, 0.99);
    metrics.p50Batch = percentile(batch, 0.50);
    metrics.p99Batch = percentile(batch, 0.99);
    return metrics;
}

} // namespace

RunMetrics simulate(const Run &run)
{
    return Simulation(run).result();
}

} // namespace carawaylatch::bench
