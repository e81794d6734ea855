// Maps FleetState to the pools and reports that WeightsController expects, and its
// planned orders back to WeightsOrder.
#include "carawaylatch/gateway/rollout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace carawaylatch::gateway
{

namespace
{

// One lease covers the whole fleet, so the controller treats all engines as one domain.
const base::FailureDomain WholeFleet("fleet");

fleet::WeightsSettings controllerSettings(const RolloutSettings &settings)
{
    fleet::WeightsSettings out;
    out.maxUnavailableShare = settings.maxUnavailableShare;
    out.maxOrderDelay = base::Duration{}; // applied to each engine instead, see takeOver()
    // Rollout repeats orders itself; the controller counts the engine as unavailable until
    // clearOrder().
    out.loadTimeout = base::hours{1};
    return out;
}

// Current and target weights of an upstream's model; nothing if there is no target.
struct ModelState
{
    base::ModelId model;
    base::WeightsVersion weights;
    base::WeightsVersion target;
};

std::optional<ModelState> modelState(const proxy::Upstream &upstream, const FleetState &state)
{
    if (upstream.models.empty()) {
        return std::nullopt;
    }
    const auto &[model, weights] = *upstream.models.begin();
    const auto target = state.targets().find(model);
    if (target == state.targets().end()) {
        return std::nullopt;
    }
    return ModelState{model, weights, target->second.version};
}

} // namespace

// Input of WeightsController.
struct Rollout::Fleet
{
    std::vector<config::Pool> pools;
    std::vector<fleet::ObservedEngine> engines;
};

Rollout::Rollout(base::RouterId router, RolloutSettings settings)
    : m_router(std::move(router))
    , m_settings(settings)
    , m_controller(WholeFleet, controllerSettings(settings))
{
}

// Removes changes that are complete, or whose engine is gone or leaving.
void Rollout::removeCompleted(base::TimePoint now, const FleetState &state)
{
    std::erase_if(m_changes, [this, &state](const auto &it) {
        const auto &[id, change] = it;
        const auto upstream = state.upstreams().find(id);
        const auto model = upstream != state.upstreams().end() ? modelState(upstream->second, state) : std::nullopt;
        if (!model || upstream->second.phase != proxy::UpstreamPhase::Ready) {
            m_controller.clearOrder(id);
            return true;
        }
        if (model->weights < change.order.version) {
            return false;
        }
        if (change.orderedAt) {
            m_completed[id] = CompletedChange{model->weights, *change.orderedAt};
        }
        m_controller.clearOrder(id); // there may be a newer target already
        return true;
    });
    std::erase_if(m_completed, [this, now](const auto &it) {
        return now - it.second.orderedAt >= m_settings.takeoverDelay;
    });
}

void Rollout::removeOutdated(base::TimePoint now)
{
    std::erase_if(m_noOrdersUntil, [now](const auto &it) {
        return now >= it.second;
    });
    std::erase_if(m_sentOrders, [this, now](const auto &it) {
        return !it.second.isUnderWay && now - it.second.at >= m_settings.takeoverDelay;
    });
}

Rollout::Fleet Rollout::observe(base::TimePoint now, const FleetState &state)
{
    std::map<std::pair<base::PoolName, base::ModelId>, config::Pool> pools;
    Fleet out;
    for (const auto &[id, upstream] : state.upstreams()) {
        const auto model = modelState(upstream, state);
        const auto noOrders = m_noOrdersUntil.find(id);
        if (!model || (noOrders != m_noOrdersUntil.end() && now < noOrders->second)) {
            continue;
        }
        config::Pool &pool = pools[{upstream.pool, model->model}];
        pool.name = upstream.pool;
        pool.model = model->model;
        pool.weightsVersion = model->target;
        pool.members.push_back(config::PoolMember{id, upstream.endpoint, WholeFleet});
        fleet::EngineReport report;
        report.weightsVersion = model->weights;
        report.state = upstream.phase == proxy::UpstreamPhase::Ready ? fleet::EngineState::Live : fleet::EngineState::Leaving;
        out.engines.push_back(fleet::ObservedEngine{id, report, now});
    }
    for (auto &[key, pool] : pools) {
        out.pools.push_back(std::move(pool));
    }
    return out;
}

void Rollout::startDraining(base::TimePoint now, const fleet::LeaseTerm &term, const Fleet &fleet, const FleetState &state)
{
    for (const fleet::PlannedOrder &planned : m_controller.plan(now, term, fleet.pools, fleet.engines)) {
        Change change;
        change.order.engine = planned.upstream;
        change.order.endpoint = planned.endpoint;
        change.order.model = state.upstreams().at(planned.upstream).models.begin()->first;
        change.order.version = planned.order.weightsVersion;
        change.drainingSince = now;
        change.earliestOrderAt = now;
        m_changes.insert_or_assign(planned.upstream, std::move(change));
        m_controller.recordOrder(now, planned.upstream);
    }
}

bool Rollout::isDrained(base::TimePoint now, const Change &change) const
{
    const bool isEmpty = change.status && change.status->running + change.status->waiting == 0;
    return isEmpty || now - change.drainingSince >= m_settings.maxDrainTime;
}

std::vector<WeightsOrder> Rollout::plan(base::TimePoint now, const fleet::LeaseTerm &term, const FleetState &state)
{
    removeCompleted(now, state);
    removeOutdated(now);
    if (now < m_holdOrdersUntil) {
        return {};
    }
    const Fleet fleet = observe(now, state);
    startDraining(now, term, fleet, state);
    // A draining engine loads the newest target directly, without the version before it.
    for (auto &[id, change] : m_changes) {
        if (!change.orderedAt) {
            change.order.version = state.targets().at(change.order.model).version;
        }
    }
    const auto loading = std::count_if(m_changes.begin(), m_changes.end(), [](const auto &it) {
        return it.second.orderedAt.has_value();
    });
    const auto share = static_cast<std::int64_t>(std::floor(m_settings.maxLoadingShare * static_cast<double>(fleet.engines.size())));
    std::int64_t freeLoads = std::max<std::int64_t>(m_settings.minLoadLimit, share) - loading;
    std::vector<WeightsOrder> orders;
    for (auto &[id, change] : m_changes) {
        const bool isRepeated = change.orderedAt && now - *change.orderedAt >= m_settings.orderTimeout;
        const bool isFirst = !change.orderedAt && freeLoads > 0 && isDrained(now, change);
        if ((!isRepeated && !isFirst) || now < change.earliestOrderAt) {
            continue;
        }
        if (isUnderWay(id)) {
            continue;
        }
        freeLoads -= isFirst ? 1 : 0;
        m_sentOrders[id] = SentOrder{true, now};
        change.orderedAt = now;
        WeightsOrder order = change.order;
        order.runningRequests = RunningRequestPolicy::Continue;
        order.fence = term.fence;
        if (change.status) {
            order.expectedOrders = change.status->acceptedOrders;
        }
        orders.push_back(std::move(order));
    }
    return orders;
}

bool Rollout::isUnderWay(const base::UpstreamId &engine) const
{
    const auto it = m_sentOrders.find(engine);
    return it != m_sentOrders.end() && it->second.isUnderWay;
}

void Rollout::onOrderEnded(base::TimePoint now, const base::UpstreamId &engine)
{
    m_sentOrders[engine] = SentOrder{false, now};
}

void Rollout::onOrderRejected(base::TimePoint now, const base::UpstreamId &engine)
{
    constexpr base::Duration OrderPause = base::milliseconds{300}; // about half the time of a load
    const auto it = m_changes.find(engine);
    if (it != m_changes.end()) {
        it->second.orderedAt.reset();
        it->second.earliestOrderAt = now + OrderPause;
    }
}

void Rollout::onStatus(base::TimePoint requestedAt, const base::UpstreamId &engine, const EngineStatus &status)
{
    const auto it = m_changes.find(engine);
    if (it != m_changes.end() && requestedAt >= it->second.drainingSince) {
        it->second.status = status;
    }
}

std::vector<WeightsOrder> Rollout::pendingOrders() const
{
    std::vector<WeightsOrder> out;
    for (const auto &[engine, change] : m_changes) {
        out.push_back(change.order);
    }
    return out;
}

ChangingEngines Rollout::changing(base::TimePoint now) const
{
    ChangingEngines out;
    out.writer = m_router;
    out.isIncomplete = now < m_holdOrdersUntil;
    out.incompleteFor = out.isIncomplete ? m_holdOrdersUntil - now : base::Duration{};
    for (const auto &[engine, until] : m_noOrdersUntil) {
        if (now < until) {
            out.changed.emplace(engine, base::WeightsVersion{});
        }
    }
    for (const auto &[engine, order] : m_sentOrders) {
        out.changed.emplace(engine, base::WeightsVersion{});
    }
    for (const auto &[engine, change] : m_changes) {
        out.engines.insert(engine);
    }
    for (const auto &[engine, completed] : m_completed) {
        out.changed.insert_or_assign(engine, completed.weights);
    }
    return out;
}

void Rollout::takeOver(base::TimePoint now, const ChangingEngines &inherited, PreviousHolder holder, base::TimePoint seenAt)
{
    const bool isOwn = holder == PreviousHolder::SameRouter && inherited.writer == m_router;
    const base::TimePoint ownUntil = now + (isOwn ? m_settings.orderFlightTime : m_settings.takeoverDelay);
    const auto wait = [this](const base::UpstreamId &engine, base::TimePoint until) {
        base::TimePoint &known = m_noOrdersUntil[engine];
        known = std::max(known, until);
    };
    if (inherited.isIncomplete) {
        // Orders that the list lacks were sent before it was written.
        holdOrdersUntil(seenAt + std::min(inherited.incompleteFor, m_settings.takeoverDelay));
    }
    for (const auto &engine : inherited.engines) {
        wait(engine, ownUntil);
    }
    for (const auto &[engine, weights] : inherited.changed) {
        const bool mayBeOfOthers = weights == base::WeightsVersion{};
        wait(engine, mayBeOfOthers ? now + m_settings.takeoverDelay : ownUntil);
    }
}

void Rollout::holdOrdersUntil(base::TimePoint time)
{
    m_holdOrdersUntil = std::max(m_holdOrdersUntil, time);
}

void Rollout::reset()
{
    m_controller.reset();
    m_changes.clear();
}

} // namespace carawaylatch::gateway
