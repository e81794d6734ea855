// Reconciliation: compare, order the difference, look again.
//
// The controller keeps little: for each engine, whether an order is out whose
// effect was not seen. Everything else is derived from reports in each round, so
// a successor with no memory does the same as its predecessor would have done.
//
// A report counts for an order only if it was sampled after the order was given
// (asked for at takenAt, `age` old by then); before that the engine counts as
// away. If the effect is not seen within loadTimeout the order is given again.
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

std::size_t allowedAway(double share, std::size_t members)
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(share * static_cast<double>(members))));
}

PlannedOrder makeOrder(const config::Pool &pool, const config::PoolMember &member, const EngineReport &report, base::FenceToken fence)
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

std::vector<PlannedOrder> WeightsController::plan(base::TimePoint now, const Tenure &tenure, std::span<const config::Pool> pools,
                                                  std::span<const ObservedEngine> engines)
{
    std::vector<PlannedOrder> orders;
    m_heldBack = 0;
    for (const config::Pool &pool : pools) {
        if (pool.kind == config::UpstreamKind::Engine && pool.weightsVersion.value != 0) {
            planPool(now, tenure, pool, engines, orders);
        }
    }
    std::stable_partition(orders.begin(), orders.end(), [this](const PlannedOrder &it) {
        return m_engines.at(it.upstream).isEmpty;
    });
    return orders;
}

void WeightsController::planPool(base::TimePoint now, const Tenure &tenure, const config::Pool &pool, std::span<const ObservedEngine> engines,
                                 std::vector<PlannedOrder> &orders)
{
    struct Candidate
    {
        const config::PoolMember *member;
        const ObservedEngine *observed;
    };
    std::vector<Candidate> wanted;
    std::size_t members = 0;
    std::size_t away = 0;
    std::size_t lost = 0; // away, and not by a change
    for (const config::PoolMember &member : pool.members) {
        if (member.domain != m_domain) {
            continue;
        }
        ++members;
        Engine &engine = m_engines[member.id];
        const ObservedEngine *observed = find(engines, member.id);
        engine.step = observed == nullptr ? ChangeStep::Unreached : classify(now, pool, *observed, engine);
        const bool isServing = engine.step == ChangeStep::Settled || (engine.step == ChangeStep::Wanted && !engine.isEmpty);
        away += isServing ? 0 : 1;
        lost += engine.step == ChangeStep::Unreached || engine.step == ChangeStep::Leaving ? 1 : 0;
        if (engine.step == ChangeStep::Wanted) {
            wanted.push_back(Candidate{&member, observed});
        }
    }
    const base::TimePoint trustedFrom = pool.fencing == config::OrderFencing::Checked ? base::TimePoint::min() : tenure.since + m_settings.longestInFlight;
    for (const Candidate &it : wanted) {
        if (it.observed->takenAt - it.observed->report->age < trustedFrom) {
            continue;
        }
        const bool isEmpty = m_engines[it.member->id].isEmpty;
        const std::size_t allowed = allowedAway(m_settings.maxAwayShare, members);
        if (!isEmpty && away >= allowed) {
            m_heldBack += lost >= allowed ? 1 : 0;
            continue;
        }
        away += isEmpty ? 0 : 1;
        orders.push_back(makeOrder(pool, *it.member, *it.observed->report, tenure.fence));
    }
}

ChangeStep WeightsController::classify(base::TimePoint now, const config::Pool &pool, const ObservedEngine &observed, Engine &engine) const
{
    if (!observed.report || now - observed.takenAt > m_settings.staleAfter) {
        return ChangeStep::Unreached;
    }
    const EngineReport &report = *observed.report;
    engine.isEmpty = report.weightsVersion.value == 0;
    if (report.state == EngineState::Leaving) {
        return ChangeStep::Leaving;
    }
    if (report.state == EngineState::Loading) {
        return ChangeStep::Loading;
    }
    const bool isAfterOrder = !engine.orderedAt || observed.takenAt - report.age > *engine.orderedAt;
    if (matches(pool, report) && isAfterOrder) {
        engine.orderedAt.reset();
        return ChangeStep::Settled;
    }
    if (engine.orderedAt && now - *engine.orderedAt < m_settings.loadTimeout) {
        return ChangeStep::Ordered;
    }
    return ChangeStep::Wanted;
}

void WeightsController::onOrdered(base::TimePoint now, const base::UpstreamId &upstream)
{
    Engine &engine = m_engines[upstream];
    engine.step = ChangeStep::Ordered;
    engine.orderedAt = now;
}

void WeightsController::onNotOrdered(const base::UpstreamId &upstream)
{
    Engine &engine = m_engines[upstream];
    engine.step = ChangeStep::Wanted;
    engine.orderedAt.reset();
}

void WeightsController::reset()
{
    m_engines.clear();
}

std::size_t WeightsController::heldBack() const
{
    return m_heldBack;
}

ChangeStep WeightsController::step(const base::UpstreamId &upstream) const
{
    const auto it = m_engines.find(upstream);
    return it == m_engines.end() ? ChangeStep::Unreached : it->second.step;
}

} // namespace carawaylatch::fleet
