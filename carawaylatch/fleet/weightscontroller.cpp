// Reconciliation loop: compares reports with the pools and orders the differences.
//
// The only state kept between rounds is whether an engine has a pending order. Everything
// else is derived from the reports of each round, so a new lease holder without any
// state plans the same orders as the previous one.
//
// A report confirms an order only if it was sampled (`age` before requestedAt) after the
// order was sent; until then the engine counts as unavailable. If no report confirms
// the order within loadTimeout, the order is sent again.
#include "carawaylatch/fleet/weightscontroller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace carawaylatch::fleet
{

namespace
{

bool matches(const config::Pool &pool, const EngineReport &report)
{
    return report.weightsVersion == pool.weightsVersion && report.adapter == pool.adapter;
}

std::size_t maxUnavailable(double share, std::size_t members)
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(share * static_cast<double>(members))));
}

PlannedOrder makeOrder(const config::Pool &pool, const config::PoolMember &member, const EngineReport &report, base::FencingToken fence)
{
    const bool isLoad = report.weightsVersion != pool.weightsVersion;
    PlannedOrder planned;
    planned.upstream = member.id;
    planned.endpoint = member.endpoint;
    planned.slots = std::max<std::uint32_t>(1, pool.maxLoads);
    planned.order.kind = isLoad ? EngineOrderKind::LoadWeights : EngineOrderKind::LoadAdapter;
    planned.order.fence = fence;
    planned.order.weightsVersion = pool.weightsVersion;
    planned.order.adapter = pool.adapter;
    return planned;
}

const ObservedEngine *find(std::span<const ObservedEngine> engines, const base::UpstreamId &id)
{
    const auto it = std::find_if(engines.begin(), engines.end(), [&id](const ObservedEngine &engine) {
        return engine.id == id;
    });
    return it == engines.end() ? nullptr : &*it;
}

} // namespace

WeightsController::WeightsController(base::FailureDomain domain, WeightsSettings settings)
    : m_domain(std::move(domain))
    , m_settings(settings)
{
}

std::vector<PlannedOrder> WeightsController::plan(base::TimePoint now, const LeaseTerm &term, std::span<const config::Pool> pools,
                                                  std::span<const ObservedEngine> engines)
{
    std::vector<PlannedOrder> orders;
    m_blockedEngines = 0;
    for (const config::Pool &pool : pools) {
        if (pool.kind == config::UpstreamKind::Engine && pool.weightsVersion.value != 0) {
            planPool(now, term, pool, engines, orders);
        }
    }
    std::stable_partition(orders.begin(), orders.end(), [this](const PlannedOrder &it) {
        return m_engines.at(it.upstream).hasNoWeights;
    });
    return orders;
}

void WeightsController::planPool(base::TimePoint now, const LeaseTerm &term, const config::Pool &pool, std::span<const ObservedEngine> engines,
                                 std::vector<PlannedOrder> &orders)
{
    struct Candidate
    {
        const config::PoolMember *member;
        const ObservedEngine *observed;
    };
    std::vector<Candidate> outdated;
    std::size_t members = 0;
    std::size_t unavailable = 0;
    std::size_t unplanned = 0; // unavailable for a reason other than a change
    for (const config::PoolMember &member : pool.members) {
        if (member.domain != m_domain) {
            continue;
        }
        ++members;
        Engine &engine = m_engines[member.id];
        const ObservedEngine *observed = find(engines, member.id);
        engine.state = observed == nullptr ? EngineChangeState::Unreachable : classify(now, pool, *observed, engine);
        const bool isServing = engine.state == EngineChangeState::UpToDate || (engine.state == EngineChangeState::Outdated && !engine.hasNoWeights);
        unavailable += isServing ? 0 : 1;
        unplanned += engine.state == EngineChangeState::Unreachable || engine.state == EngineChangeState::Leaving ? 1 : 0;
        if (engine.state == EngineChangeState::Outdated) {
            outdated.push_back(Candidate{&member, observed});
        }
    }
    const base::TimePoint trustedFrom = pool.fencing == config::OrderFencing::Checked ? base::TimePoint::min() : term.since + m_settings.maxOrderDelay;
    for (const Candidate &it : outdated) {
        if (it.observed->requestedAt - it.observed->report->age < trustedFrom) {
            continue;
        }
        const bool hasNoWeights = m_engines[it.member->id].hasNoWeights;
        const std::size_t allowed = maxUnavailable(m_settings.maxUnavailableShare, members);
        if (!hasNoWeights && unavailable >= allowed) {
            m_blockedEngines += unplanned >= allowed ? 1 : 0;
            continue;
        }
        unavailable += hasNoWeights ? 0 : 1;
        orders.push_back(makeOrder(pool, *it.member, *it.observed->report, term.fence));
    }
}

EngineChangeState WeightsController::classify(base::TimePoint now, const config::Pool &pool, const ObservedEngine &observed, Engine &engine) const
{
    if (!observed.report || now - observed.requestedAt > m_settings.maxReportAge) {
        return EngineChangeState::Unreachable;
    }
    const EngineReport &report = *observed.report;
    engine.hasNoWeights = report.weightsVersion.value == 0;
    if (report.state == EngineState::Leaving) {
        return EngineChangeState::Leaving;
    }
    if (report.state == EngineState::Loading) {
        return EngineChangeState::Loading;
    }
    const bool isAfterOrder = !engine.orderedAt || observed.requestedAt - report.age > *engine.orderedAt;
    if (matches(pool, report) && isAfterOrder) {
        engine.orderedAt.reset();
        return EngineChangeState::UpToDate;
    }
    if (engine.orderedAt && now - *engine.orderedAt < m_settings.loadTimeout) {
        return EngineChangeState::Ordered;
    }
    return EngineChangeState::Outdated;
}

void WeightsController::recordOrder(base::TimePoint now, const base::UpstreamId &upstream)
{
    Engine &engine = m_engines[upstream];
    engine.state = EngineChangeState::Ordered;
    engine.orderedAt = now;
}

void WeightsController::clearOrder(const base::UpstreamId &upstream)
{
    Engine &engine = m_engines[upstream];
    engine.state = EngineChangeState::Outdated;
    engine.orderedAt.reset();
}

void WeightsController::reset()
{
    m_engines.clear();
}

std::size_t WeightsController::blockedEngines() const
{
    return m_blockedEngines;
}

EngineChangeState WeightsController::changeState(const base::UpstreamId &upstream) const
{
    const auto it = m_engines.find(upstream);
    return it == m_engines.end() ? EngineChangeState::Unreachable : it->second.state;
}

} // namespace carawaylatch::fleet
