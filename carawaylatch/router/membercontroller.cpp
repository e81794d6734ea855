// Drives the member list at a fixed interval well below its shortest timeout. Demand
// reports go to one peer at a time, round-robin.
#include "carawaylatch/router/membercontroller.h"

#include <algorithm>
#include <chrono>
#include <variant>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/logevents.h"

namespace carawaylatch::router
{

namespace
{

constexpr base::Duration TickInterval = base::milliseconds{50};
constexpr base::Duration DemandReportInterval = base::milliseconds{500};

membership::MemberListOptions memberOptions(const config::Settings &settings, base::Incarnation incarnation)
{
    membership::MemberListOptions options;
    options.heartbeat = settings.timings.heartbeat;
    options.suspicionTimeout = settings.timings.suspicion;
    options.seed = base::combineHashes(settings.routing.seed, incarnation.value);
    return options;
}

membership::MemberRecord selfRecord(const config::Settings &settings, base::Incarnation incarnation, const base::Endpoint &endpoint)
{
    membership::MemberRecord self;
    self.id = settings.router.id;
    self.domain = settings.router.failureDomain;
    self.endpoint = endpoint;
    self.incarnation = incarnation;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    self.selfVersion = static_cast<std::uint64_t>(std::chrono::duration_cast<base::milliseconds>(wall).count());
    return self;
}

bool isLive(const membership::MemberRecord &record)
{
    return record.state == membership::MemberState::Alive || record.state == membership::MemberState::Suspect;
}

} // namespace

MemberController::MemberController(const ControllerDependencies &dependencies, ControlState &state, PeerBus &bus,
                                   admission::AdmissionController &admissionController, const base::Endpoint &peerEndpoint, ViewHandler onView,
                                   RevisionHandler onRevision)
    : m_dependencies(dependencies)
    , m_state(state)
    , m_bus(bus)
    , m_admissionController(admissionController)
    , m_onView(std::move(onView))
    , m_onRevision(std::move(onRevision))
    , m_members(memberOptions(dependencies.settings, dependencies.incarnation), selfRecord(dependencies.settings, dependencies.incarnation, peerEndpoint),
                dependencies.clock.now())
{
    m_bus.setResolver([this](const base::RouterId &router) {
        return endpointOf(router);
    });
    subscribe<membership::Probe>();
    subscribe<membership::ProbeAck>();
    subscribe<membership::IndirectProbe>();
    subscribe<membership::TableRequest>();
    subscribe<membership::TablePage>();
    m_bus.subscribe<admission::DemandReport>([this](const peer::PeerIdentity &sender, const admission::DemandReport &report, base::TimePoint now) {
        m_bus.send(sender.id, m_admissionController.answer(report, now));
    });
    m_bus.subscribe<admission::ShareTable>([this](const auto &, const admission::ShareTable &table, base::TimePoint now) {
        m_admissionController.apply(table, now);
    });
}

template <typename Message>
void MemberController::subscribe()
{
    m_bus.subscribe<Message>([this](const auto &, const Message &message, base::TimePoint now) {
        m_members.onMessage(message, now);
        advance(now);
    });
}

void MemberController::start(base::TimePoint now)
{
    m_members.onSeeds(m_dependencies.settings.peers.seeds);
    m_tickTimer = m_dependencies.loop.timers().every(now, TickInterval, [this](base::TimePoint at) {
        m_members.onTick(at);
        advance(at);
    });
    m_demandReportTimer = m_dependencies.loop.timers().every(now, DemandReportInterval, [this](base::TimePoint at) {
        sendDemandReport(at);
    });
}

void MemberController::onPlatformList(std::span<const store::VmRecord> vms, base::TimePoint now)
{
    std::vector<base::Endpoint> seeds;
    for (const auto &it : vms) {
        if (it.role == store::VmRecord::Role::Router && it.endpoint != m_members.self().endpoint) {
            seeds.push_back(it.endpoint);
        }
    }
    m_members.onSeeds(seeds);
    advance(now);
}

void MemberController::onRecords(std::span<const membership::MemberRecord> records, base::TimePoint now)
{
    m_members.onRecords(records, now);
    advance(now);
}

void MemberController::setRevision(base::Revision revision)
{
    m_members.setRevision(revision);
}

void MemberController::leave(base::TimePoint now)
{
    m_members.leave(now);
    advance(now);
}

void MemberController::depart(base::TimePoint now)
{
    m_members.depart(now);
    advance(now);
}

std::vector<membership::MemberRecord> MemberController::records() const
{
    return m_members.records();
}

std::vector<config::DistributionPeer> MemberController::peers() const
{
    std::vector<config::DistributionPeer> peers;
    const auto view = m_members.view();
    for (const auto &it : view->members) {
        if (it.record.id != view->self && isLive(it.record)) {
            peers.push_back({it.record.id, it.record.domain});
        }
    }
    std::stable_partition(peers.begin(), peers.end(), [this](const config::DistributionPeer &it) {
        return it.domain == m_dependencies.settings.router.failureDomain;
    });
    return peers;
}

void MemberController::advance(base::TimePoint now)
{
    for (const auto &it : m_members.takeActions()) {
        if (const auto *send = std::get_if<membership::SendMember>(&it)) {
            std::visit(
                [&](const auto &message) {
                    m_bus.send(send->to.endpoint, message);
                },
                send->message);
        } else if (const auto *changed = std::get_if<membership::MemberChanged>(&it)) {
            base::logEvent(base::LogEvent::MemberChanged,
                           {{"router", changed->record.id.value()}, {"state", std::string(membership::memberStateName(changed->record.state))}});
        } else if (const auto *seen = std::get_if<membership::RevisionSeen>(&it)) {
            m_onRevision(seen->member, seen->revision, now);
        }
    }
    const auto view = m_members.view();
    if (view != m_state.snapshot().members) {
        m_state.setMembers(view);
        m_dependencies.routingState.routers = static_cast<std::uint32_t>(std::max<std::size_t>(1, view->liveCount()));
        m_onView(*view, now);
    }
}

void MemberController::sendDemandReport(base::TimePoint now)
{
    const auto others = peers();
    if (others.empty()) {
        return;
    }
    const auto &to = others[m_nextReportPeer++ % others.size()].id;
    m_bus.send(to, m_admissionController.report(to, now));
}

base::Endpoint MemberController::endpointOf(const base::RouterId &router) const
{
    const auto view = m_members.view();
    const auto it = std::find_if(view->members.begin(), view->members.end(), [&](const membership::MemberView &member) {
        return member.record.id == router;
    });
    return it == view->members.end() ? base::Endpoint{} : it->record.endpoint;
}

} // namespace carawaylatch::router
