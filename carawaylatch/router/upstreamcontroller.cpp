// Leaving marks spread by gossip. A router that learns of a new mark sends it to
// GossipFanOut random routers at once and, since messages can be lost or the network
// partitioned, to GossipFanOut random routers every GossipInterval for GossipPeriod.
// A fleet of up to GossipFanOut + 1 routers receives a mark in one hop. In a larger
// fleet a few hops reach all routers but a share of about exp(-GossipFanOut) in each
// round, and no router sends more than GossipFanOut messages per round. After the
// process was suspended, all marks are requested from the other routers.
#include "carawaylatch/router/upstreamcontroller.h"

#include <algorithm>
#include <variant>

#include "carawaylatch/base/logevents.h"
#include "carawaylatch/router/telemetrystate.h"

namespace carawaylatch::router
{

namespace
{

constexpr base::Duration TickInterval = base::milliseconds{100};
constexpr std::size_t GossipFanOut = 8; // receivers in one round
constexpr base::Duration GossipInterval = base::milliseconds{500};
constexpr base::Duration GossipPeriod = base::seconds{3};
constexpr std::size_t MaxRecentMarks = 256; // if exceeded, gossip of the oldest mark ends early
constexpr std::uint32_t MinCapacity = 4; // requests in flight while no upstream is live

} // namespace

UpstreamController::UpstreamController(const ControllerDependencies &dependencies, ControlState &state, PeerBus &bus, http::UpstreamClient &client,
                                       admission::AdmissionController &admissionController, telemetry::Metrics &metrics)
    : m_dependencies(dependencies)
    , m_state(state)
    , m_bus(bus)
    , m_admissionController(admissionController)
    , m_metrics(metrics)
    , m_poller(client, dependencies.routingState.caches, dependencies.settings.timings.loadPoll,
               [this](const auto &id, const auto &report) {
                   m_dependencies.loop.post([this, id, report](base::TimePoint now) {
                       onReport(id, report, now);
                   });
               })
    , m_random(base::combineHashes(dependencies.settings.routing.seed, dependencies.incarnation.value))
{
    m_bus.subscribe<peer::MarksMessage>([this](const auto &, const peer::MarksMessage &message, base::TimePoint now) {
        importMarks(message.marks, now);
        m_registry.onMarksSynchronised(now);
        advance(now);
    });
    m_bus.subscribe<peer::MarksRequest>([this](const peer::PeerIdentity &sender, const auto &, base::TimePoint) {
        m_bus.send(sender.id, peer::MarksMessage{m_registry.exportMarks()});
    });
}

void UpstreamController::start(base::TimePoint now)
{
    m_tickTimer = m_dependencies.loop.timers().every(now, TickInterval, [this](base::TimePoint at) {
        advance(at);
    });
    m_gossipTimer = m_dependencies.loop.timers().every(now, GossipInterval, [this](base::TimePoint at) {
        gossipRecentMarks(at);
    });
    m_poller.start();
}

void UpstreamController::stop()
{
    m_poller.stop();
}

void UpstreamController::configure(const config::Tables &tables, base::TimePoint now)
{
    m_registry.configure(tables, now);
    advance(now);
    updatePollTargets(tables);
}

void UpstreamController::onAttempt(const AttemptReport &attempt, base::TimePoint now)
{
    m_registry.onAttempt(attempt.upstream, attempt.incarnation, attempt.outcome, now);
    if (attempt.outcome != upstreams::AttemptOutcome::Succeeded) {
        advance(now);
    }
}

void UpstreamController::onLeaving(const base::UpstreamId &id, upstreams::LeavingSource source, base::TimePoint now)
{
    m_registry.onLeaving(id, {}, source, now);
    advance(now);
}

void UpstreamController::onUndrain(const base::UpstreamId &id, base::TimePoint now)
{
    m_registry.onUndrain(id, now);
    advance(now);
}

void UpstreamController::onPlatformList(std::span<const store::VmRecord> vms, base::TimePoint now)
{
    m_registry.onPlatformList(vms, now);
    advance(now);
}

void UpstreamController::importMarks(std::span<const upstreams::LeavingMark> marks, base::TimePoint now)
{
    m_registry.importMarks(marks, now);
    advance(now);
}

std::vector<upstreams::LeavingMark> UpstreamController::exportMarks() const
{
    return m_registry.exportMarks();
}

std::size_t UpstreamController::availableCount(base::TimePoint now) const
{
    const auto view = m_registry.view();
    return static_cast<std::size_t>(std::count_if(view->upstreams.begin(), view->upstreams.end(), [now](const upstreams::UpstreamStatus &it) {
        return it.acceptsRequests(now);
    }));
}

void UpstreamController::onReport(const base::UpstreamId &id, const base::Result<upstreams::LoadReport> &report, base::TimePoint now)
{
    if (!report) {
        m_registry.onUnreachable(id, now);
        advance(now);
        return;
    }
    m_registry.onLoadReport(id, report.value(), now);
    const auto *status = m_registry.view()->find(id);
    if (status != nullptr && status->incarnation == report.value().incarnation) {
        m_dependencies.routingState.inflight.onLoadReport(status->slot, report.value());
    }
    advance(now);
}

void UpstreamController::advance(base::TimePoint now)
{
    m_registry.onTick(now);
    for (const auto &it : m_registry.takeActions()) {
        executeAction(it, now);
    }
    const auto view = m_registry.view();
    if (view != m_state.snapshot().upstreams) {
        updateCapacity(*view);
        m_state.setUpstreams(view);
    }
}

void UpstreamController::executeAction(const upstreams::RegistryAction &action, base::TimePoint now)
{
    if (const auto *adopted = std::get_if<upstreams::AdoptIncarnation>(&action)) {
        auto &caches = m_dependencies.routingState.caches;
        m_dependencies.routingState.inflight.onIncarnation(adopted->slot);
        if (adopted->incarnation.value == 0) {
            caches.invalidate(adopted->slot);
        } else {
            caches.adopt(adopted->slot, adopted->upstream, adopted->incarnation);
        }
        base::logEvent(base::LogEvent::UpstreamAdopted, {{"upstream", adopted->upstream.value()}, {"incarnation", std::to_string(adopted->incarnation.value)}});
    } else if (const auto *announced = std::get_if<upstreams::AnnounceMark>(&action)) {
        announceMark(announced->mark, now);
    } else {
        const auto others = otherRouters();
        if (others.empty()) {
            m_registry.onMarksSynchronised(m_dependencies.clock.now());
        }
        for (const auto &it : others) {
            m_bus.send(it, peer::MarksRequest{});
        }
    }
}

void UpstreamController::announceMark(const upstreams::LeavingMark &mark, base::TimePoint now)
{
    base::logEvent(mark.isLeaving() ? base::LogEvent::UpstreamLeaving : base::LogEvent::UpstreamReturned,
                   {{"upstream", mark.upstream.value()}, {"incarnation", std::to_string(mark.incarnation.value)}});
    m_recentMarks.push_back({mark, now});
    if (m_recentMarks.size() > MaxRecentMarks) {
        m_recentMarks.pop_front();
    }
    gossipMarks({&mark, 1});
}

void UpstreamController::gossipRecentMarks(base::TimePoint now)
{
    while (!m_recentMarks.empty() && now - m_recentMarks.front().receivedAt > GossipPeriod) {
        m_recentMarks.pop_front();
    }
    std::vector<upstreams::LeavingMark> marks;
    for (const auto &it : m_recentMarks) {
        marks.push_back(it.mark);
    }
    if (!marks.empty()) {
        gossipMarks(marks);
    }
}

void UpstreamController::gossipMarks(std::span<const upstreams::LeavingMark> marks)
{
    auto others = otherRouters();
    for (std::size_t i = 0; i < std::min(GossipFanOut, others.size()); ++i) {
        std::swap(others[i], others[i + m_random.below(others.size() - i)]);
        m_bus.send(others[i], peer::MarksMessage{{marks.begin(), marks.end()}});
    }
}

void UpstreamController::updatePollTargets(const config::Tables &tables)
{
    std::vector<PollTarget> targets;
    const auto view = m_registry.view();
    for (const auto &pool : tables.pools) {
        for (const auto &it : pool.members) {
            if (const auto *status = view->find(it.id)) {
                targets.push_back({it.id, status->slot, it.endpoint, pool.kind});
            }
        }
    }
    std::sort(targets.begin(), targets.end(), [](const PollTarget &a, const PollTarget &b) {
        return a.id < b.id;
    });
    const auto last = std::unique(targets.begin(), targets.end(), [](const PollTarget &a, const PollTarget &b) {
        return a.id == b.id;
    });
    targets.erase(last, targets.end());
    m_poller.setTargets(std::move(targets));
}

void UpstreamController::updateCapacity(const upstreams::UpstreamView &view)
{
    std::uint32_t capacity = 0;
    for (const auto &it : view.upstreams) {
        if (it.state == upstreams::UpstreamState::Live) {
            capacity += m_dependencies.routingState.inflight.limit(it.slot);
        }
        m_metrics.setUpstreamState(it.id, toTelemetryState(it.state));
    }
    m_admissionController.setCapacity(std::max(MinCapacity, capacity));
}

std::vector<base::RouterId> UpstreamController::otherRouters() const
{
    std::vector<base::RouterId> others;
    const auto &members = m_state.snapshot().members;
    if (members) {
        for (const auto &it : members->members) {
            if (it.record.id != members->self) {
                others.push_back(it.record.id);
            }
        }
    }
    return others;
}

} // namespace carawaylatch::router
