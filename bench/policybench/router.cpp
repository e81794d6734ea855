// Drivers of the decision code: polls, placements, attempts and retries.
#include "bench/policybench/router.h"

#include <algorithm>
#include <string>

#include "bench/policybench/oracle.h"

namespace carawaylatch::bench
{

namespace
{

constexpr base::Duration EventPollPeriod = base::milliseconds{100};
constexpr base::Duration EventLag = base::milliseconds{100};
constexpr base::Duration LateReportDelay = base::seconds{2};
constexpr base::Duration TickPeriod = base::milliseconds{50};
constexpr base::Duration SameDomainLatency = base::microseconds{300}; // one way
constexpr base::Duration CrossDomainLatency = base::microseconds{1300};
constexpr std::uint64_t EventLossDivisor = 8;
constexpr std::size_t MaxAttempts = 4;
constexpr std::size_t HotEntries = 20'000;

} // namespace

struct Router::Attempt
{
    const Request *request = nullptr;
    std::function<void(const Outcome &)> done;
    base::TimePoint arrived;
    Outcome outcome;
    routing::Placement placement;
    std::vector<base::UpstreamId> excluded;
    std::shared_ptr<State> state;
    upstreams::InflightTable::Ticket ticket; // of `state`
    std::size_t engine = 0;
};

Router::State::State(std::size_t engines)
    : caches({4U << 20U, engines, base::seconds{30}})
    , inflight(engines)
{
}

Router::Router(const Fleet &fleet, std::uint32_t number, std::string_view strategy, std::uint64_t seed)
    : m_fleet(fleet)
    , m_number(number)
    , m_domain(number % fleet.domains)
    , m_strategyName(strategy)
    , m_seed(seed)
    , m_routers(4)
{
    resetState();
    // The offsets keep the polls of different routers and engines from coinciding.
    for (std::size_t i = 0; i < m_fleet.engines.size(); ++i) {
        const base::Duration offset = base::milliseconds{1 + (i * 7 + std::size_t{number} * 13) % 90};
        m_fleet.queue.every(offset, upstreams::PollPeriod, [this, i] {
            pollLoad(i);
        });
        m_fleet.queue.every(offset, EventPollPeriod, [this, i] {
            pollEvents(i);
        });
    }
    m_fleet.queue.every(base::milliseconds{number}, TickPeriod, [this] {
        tick();
    });
}

void Router::resetState()
{
    m_state = std::make_shared<State>(m_fleet.engines.size());
    config::Tables tables;
    config::Pool pool;
    pool.name = base::PoolName{"p"};
    pool.model = base::ModelId{"m"};
    pool.weightsVersion = {1};
    for (const auto &it : m_fleet.engines) {
        pool.members.push_back({it->id(), {"127.0.0.1", 1}, base::FailureDomain{"domain-" + std::to_string(it->domain())}});
    }
    tables.pools.push_back(std::move(pool));
    m_state->registry.onTick(m_fleet.queue.now());
    m_state->registry.configure(tables, m_fleet.queue.now());
    const auto isDomainReachable = [this](std::uint32_t domain) {
        return isReachable(domain);
    };
    if (m_strategyName == OracleFirstToken || m_strategyName == OracleHitRate) {
        const auto goal = m_strategyName == OracleHitRate ? OracleGoal::HitRate : OracleGoal::FirstToken;
        m_state->strategy = std::make_unique<OracleStrategy>(m_fleet.engines, isDomainReachable, goal);
        return;
    }
    const routing::SharedRoutingState routingState{&m_state->caches, &m_state->heat, &m_state->inflight, &m_routers};
    m_state->strategy = std::move(routing::makeStrategy(m_strategyName, routingState, m_seed).value());
}

bool Router::isReachable(std::uint32_t domain) const
{
    const std::uint32_t last = m_fleet.domains - 1;
    return !m_fleet.isPartitioned || (domain == last) == (m_domain == last);
}

base::Duration Router::latency(std::size_t engine) const
{
    return m_fleet.engines[engine]->domain() == m_domain ? SameDomainLatency : CrossDomainLatency;
}

void Router::restart(const Router &peer)
{
    resetState();
    for (const auto &engine : m_fleet.engines) {
        if (engine->isAlive() && isReachable(engine->domain())) {
            m_state->registry.onLoadReport(engine->id(), engine->report(), m_fleet.queue.now());
        }
    }
    tick();
    if (isReachable(peer.m_domain)) {
        m_state->caches.importHot(peer.m_state->caches.exportHot(HotEntries, m_fleet.queue.now()), m_fleet.queue.now());
        m_state->heat.importHot(peer.m_state->heat.exportHot(HotEntries, m_fleet.queue.now()), m_fleet.queue.now());
    }
}

void Router::pollLoad(std::size_t engine)
{
    const Engine &it = *m_fleet.engines[engine];
    const auto state = m_state;
    if (!it.isAlive() || !isReachable(it.domain())) {
        state->registry.onUnreachable(it.id(), m_fleet.queue.now());
        return;
    }
    const base::Duration lag = m_fleet.scenario.delaysReports ? LateReportDelay : base::milliseconds{20};
    auto report = it.report();
    report.age = lag;
    m_fleet.queue.after(lag + latency(engine), [this, state, engine, report] {
        state->registry.onLoadReport(m_fleet.engines[engine]->id(), report, m_fleet.queue.now());
        if (const auto *status = state->registry.view()->find(m_fleet.engines[engine]->id())) {
            state->inflight.onLoadReport(status->slot, report);
        }
    });
}

void Router::pollEvents(std::size_t engine)
{
    const Engine &it = *m_fleet.engines[engine];
    const auto *status = m_state->registry.view()->find(it.id());
    if (!it.isAlive() || !isReachable(it.domain()) || status == nullptr) {
        return;
    }
    auto events = it.events(m_state->caches.nextEvent(status->slot), EventLag);
    if (m_fleet.scenario.losesEvents) {
        std::erase_if(events.events, [this](const prefix::CacheEvent &) {
            return m_fleet.random.below(EventLossDivisor) == 0;
        });
    }
    m_state->caches.applyEvents(status->slot, events, m_fleet.queue.now());
}

void Router::tick()
{
    m_state->registry.onTick(m_fleet.queue.now());
    for (const auto &it : m_state->registry.takeActions()) {
        if (const auto *adopt = std::get_if<upstreams::AdoptIncarnation>(&it)) {
            m_state->caches.adopt(adopt->slot, adopt->upstream, adopt->incarnation);
            m_state->inflight.onIncarnation(adopt->slot);
        }
    }
}

void Router::handle(const Request &request, const std::function<void(const Outcome &)> &done)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->request = &request;
    attempt->done = done;
    attempt->arrived = m_fleet.queue.now();
    attempt->outcome.request = &request;
    place(attempt);
}

void Router::place(const std::shared_ptr<Attempt> &attempt)
{
    const base::TimePoint now = m_fleet.queue.now();
    const Request &request = *attempt->request;
    routing::PlacementRequest placement;
    placement.now = now;
    placement.pool = base::PoolName{"p"};
    placement.chain = request.chain;
    placement.promptTokens = request.promptTokens;
    placement.blockTokens = BlockTokens;
    placement.trafficClass = request.trafficClass;
    placement.deadline = attempt->arrived + request.deadline;
    placement.excluded = attempt->excluded;
    placement.spreadKey = request.id;
    attempt->outcome.bestCachedBlocks = bestCachedBlocks(request);
    auto placed = m_state->strategy->place(placement, *m_state->registry.view());
    // Admission control, the same for all strategies: a request that can't meet its deadline is refused.
    if (placed.has_error() || now + placed.value().expectedFirstToken > placement.deadline) {
        attempt->outcome.isRefused = true;
        attempt->done(attempt->outcome);
        return;
    }
    attempt->placement = placed.value();
    attempt->state = m_state;
    send(attempt);
}

void Router::send(const std::shared_ptr<Attempt> &attempt)
{
    const base::TimePoint now = m_fleet.queue.now();
    const auto &placement = attempt->placement;
    const Request &request = *attempt->request;
    State &state = *attempt->state;
    const auto eligible = static_cast<std::uint32_t>(state.registry.view()->pools[0].eligible.size());
    attempt->ticket = state.inflight.begin(placement.slot, placement.missingTokens, now, request.trafficClass);
    state.caches.recordPlacement(placement.slot, placement.incarnation, request.chain, now);
    state.heat.record(state.registry.view()->pools[0].key, request.chain, request.promptTokens, eligible, now);
    const auto isChosen = [&](const std::unique_ptr<Engine> &engine) {
        return engine->id() == placement.upstream;
    };
    attempt->engine = static_cast<std::size_t>(std::find_if(m_fleet.engines.begin(), m_fleet.engines.end(), isChosen) - m_fleet.engines.begin());
    m_fleet.queue.after(latency(attempt->engine), [this, attempt] {
        Engine &engine = *m_fleet.engines[attempt->engine];
        if (!isReachable(engine.domain())) {
            onFailed(attempt, JobFailure::NotSent);
            return;
        }
        engine.submit(Job{attempt->request,
                          [this, attempt](std::uint32_t cachedBlocks) {
                              onFirstToken(attempt, cachedBlocks);
                          },
                          [this, attempt] {
                              onDone(attempt);
                          },
                          [this, attempt](JobFailure failure) {
                              onFailed(attempt, failure);
                          }});
    });
}

void Router::onFirstToken(const std::shared_ptr<Attempt> &attempt, std::uint32_t cachedBlocks)
{
    attempt->ticket.onFirstToken();
    attempt->outcome.hasFirstToken = true;
    attempt->outcome.cachedBlocks = cachedBlocks;
    attempt->outcome.firstToken = m_fleet.queue.now() + latency(attempt->engine) - attempt->arrived;
    attempt->done(attempt->outcome);
}

void Router::onDone(const std::shared_ptr<Attempt> &attempt)
{
    const auto &placement = attempt->placement;
    State &state = *attempt->state;
    attempt->ticket.finish();
    state.caches.recordAnswer({placement.slot, placement.incarnation, attempt->request->chain, placement.predictedBlocks, attempt->outcome.cachedBlocks},
                              m_fleet.queue.now());
    state.registry.onAttempt(placement.upstream, placement.incarnation, upstreams::AttemptOutcome::Succeeded, m_fleet.queue.now());
}

void Router::onFailed(const std::shared_ptr<Attempt> &attempt, JobFailure failure)
{
    const auto &placement = attempt->placement;
    const auto outcome = failure == JobFailure::NotSent ? upstreams::AttemptOutcome::NotSent : upstreams::AttemptOutcome::Failed;
    attempt->ticket.finish();
    attempt->state->registry.onAttempt(placement.upstream, placement.incarnation, outcome, m_fleet.queue.now());
    tick();
    if (attempt->outcome.hasFirstToken) {
        return; // the relay would resume the stream on another engine; the first token counts
    }
    attempt->excluded.push_back(placement.upstream);
    if (attempt->excluded.size() >= MaxAttempts) {
        attempt->outcome.isRefused = true;
        attempt->done(attempt->outcome);
        return;
    }
    place(attempt);
}

std::uint32_t Router::bestCachedBlocks(const Request &request) const
{
    std::uint32_t most = 0;
    for (const auto &it : m_fleet.engines) {
        if (it->isAlive() && isReachable(it->domain())) {
            most = std::max(most, it->cachedPrefixBlocks(request.chain));
        }
    }
    return most;
}

} // namespace carawaylatch::bench
