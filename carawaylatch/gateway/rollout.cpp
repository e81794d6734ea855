// Translates the fleet's state into the controller's terms and back.
#include "carawaylatch/gateway/rollout.h"

#include <algorithm>
#include <utility>

namespace carawaylatch::gateway
{

namespace
{

// The lease covers the whole fleet, so all engines are one domain to the controller.
const base::FailureDomain WholeFleet("fleet");

fleet::WeightsSettings controllerSettings(const RolloutSettings &settings)
{
    fleet::WeightsSettings out;
    out.maxAwayShare = settings.changingShare;
    out.longestInFlight = settings.settleTime;
    out.loadTimeout = settings.orderTimeout;
    return out;
}

} // namespace

Rollout::Rollout(RolloutSettings settings)
    : m_settings(settings)
    , m_controller(WholeFleet, controllerSettings(settings))
{
}

std::vector<WeightsOrder> Rollout::plan(base::TimePoint now, const fleet::Tenure &tenure, const FleetState &state)
{
    std::map<std::pair<base::PoolName, base::ModelId>, config::Pool> pools;
    std::vector<fleet::ObservedEngine> observed;
    for (const auto &[id, upstream] : state.upstreams()) {
        if (upstream.models.empty()) {
            continue;
        }
        const auto &[model, weights] = *upstream.models.begin();
        const auto target = state.targets().find(model);
        if (target == state.targets().end()) {
            continue;
        }
        config::Pool &pool = pools[{upstream.pool, model}];
        pool.name = upstream.pool;
        pool.model = model;
        pool.weightsVersion = target->second.version;
        pool.members.push_back(config::PoolMember{id, upstream.endpoint, WholeFleet});

        fleet::EngineReport report;
        report.weightsVersion = weights;
        report.state = upstream.phase == proxy::UpstreamPhase::Ready ? fleet::EngineState::Live : fleet::EngineState::Leaving;
        // What entries say is as of now, unless an order is out: then only an answer given since counts.
        base::TimePoint takenAt = now;
        const auto pending = m_pending.find(id);
        if (pending != m_pending.end()) {
            const bool hasChanged = weights >= target->second.version;
            takenAt = hasChanged ? now : pending->second.orderedAt;
            if (hasChanged) {
                m_changed[id] = weights;
                m_pending.erase(pending);
            }
        }
        observed.push_back(fleet::ObservedEngine{id, report, takenAt});
    }
    std::erase_if(m_pending, [&state](const auto &it) {
        return !state.upstreams().contains(it.first);
    });
    std::erase_if(m_changed, [&state](const auto &it) {
        const auto upstream = state.upstreams().find(it.first);
        return upstream == state.upstreams().end() || upstream->second.models.empty()
            || upstream->second.models.begin()->second < state.targets().at(upstream->second.models.begin()->first).version;
    });
    std::vector<config::Pool> list;
    for (auto &[key, pool] : pools) {
        list.push_back(std::move(pool));
    }
    std::vector<WeightsOrder> orders;
    for (const fleet::PlannedOrder &planned : m_controller.plan(now, tenure, list, observed)) {
        const proxy::Upstream &upstream = state.upstreams().at(planned.upstream);
        WeightsOrder order;
        order.engine = planned.upstream;
        order.endpoint = planned.endpoint;
        order.model = upstream.models.begin()->first;
        order.version = planned.order.weightsVersion;
        order.fence = planned.order.fence;
        if (const auto known = m_known.find(planned.upstream); known != m_known.end()) {
            order.expectedOrders = known->second.status.acceptedOrders;
        }
        orders.push_back(std::move(order));
    }
    for (const WeightsOrder &order : orders) {
        m_pending[order.engine] = Pending{order, now};
        m_changed.erase(order.engine);
    }
    return orders;
}

void Rollout::onOrdered(base::TimePoint now, const base::UpstreamId &engine)
{
    m_controller.onOrdered(now, engine);
    if (const auto it = m_pending.find(engine); it != m_pending.end()) {
        it->second.orderedAt = now;
    }
}

void Rollout::onRefused(const base::UpstreamId &engine)
{
    m_controller.onNotOrdered(engine);
}

void Rollout::onStatus(base::TimePoint askedAt, const base::UpstreamId &engine, const EngineStatus &status)
{
    m_known[engine] = Known{status, askedAt};
}

std::vector<WeightsOrder> Rollout::pending() const
{
    std::vector<WeightsOrder> out;
    for (const auto &[engine, pending] : m_pending) {
        out.push_back(pending.order);
    }
    return out;
}

ChangingEngines Rollout::changing() const
{
    ChangingEngines out;
    for (const auto &[engine, pending] : m_pending) {
        out.engines.insert(engine);
    }
    out.changed = m_changed;
    return out;
}

void Rollout::reset()
{
    m_controller.reset();
    m_pending.clear();
    m_known.clear();
    m_changed.clear();
}

} // namespace carawaylatch::gateway
