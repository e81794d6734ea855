// State of upstreams on the control thread.
//
// Health. An upstream is polled every PollPeriod. It gets new requests while its
// last report as live, dated by the time at which its figures were true, is younger
// than MaxConfirmationAge. Two failed polls or one refused connection make it
// suspect before that; the next report clears the suspicion. Failed attempts eject
// it for a time that doubles with each ejection, but never more than half of the
// upstreams at a time.
//
// Incarnations. They have no order, so the registry remembers the last few of each
// upstream: a report that names one of them is late and is ignored.
//
// Leaving. The first notice from any source creates a mark for (upstream,
// incarnation), which is announced to peers at once. The platform's list names no
// incarnation and lags. Besides creating the mark, it blocks any incarnation of the
// upstream for as long as it lists it as leaving. A new incarnation on a VM that the
// list no longer calls leaving is usable without further action.
//
// Freeze. After a gap between ticks, notices may be waiting unread. Views are not
// usable until a peer has sent its marks, or for ResyncWait if none answers.
#include "carawaylatch/upstreams/registry.h"

#include <algorithm>
#include <set>
#include <utility>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::upstreams
{

namespace
{

constexpr std::uint32_t SuspectAfterFailedPolls = 2; // failed polls in a row
constexpr base::Duration DeadAfter = base::seconds{5};
constexpr std::uint32_t EjectAfterFailures = 3; // failed attempts in a row
constexpr base::Duration MinEjection = base::seconds{1};
constexpr base::Duration MaxEjection = base::seconds{30};
constexpr std::size_t MaxPastIncarnations = 4;
constexpr std::size_t MaxMarkedUpstreams = 2 * MaxSlots;
constexpr base::Duration FreezeGap = base::seconds{1};
constexpr base::Duration ResyncWait = base::milliseconds{500};

} // namespace

void Registry::configure(const config::Tables &tables, base::TimePoint now)
{
    std::set<base::UpstreamId> configured;
    m_pools = tables.pools;
    for (const auto &pool : m_pools) {
        for (const auto &member : pool.members) {
            addMember(member);
            configured.insert(member.id);
        }
    }
    std::vector<base::UpstreamId> gone;
    for (const auto &[id, entry] : m_entries) {
        if (!configured.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const auto &id : gone) {
        remove(id);
    }
    rebuild(now);
}

void Registry::addMember(const config::PoolMember &member)
{
    auto it = m_entries.find(member.id);
    if (it == m_entries.end()) {
        const auto slot = takeSlot();
        if (!slot) {
            return;
        }
        it = m_entries.emplace(member.id, Entry{}).first;
        it->second.status.id = member.id;
        it->second.status.slot = *slot;
        it->second.status.nodeHash = base::hash64(member.id.value());
    }
    it->second.status.endpoint = member.endpoint;
    it->second.status.domain = member.domain;
}

void Registry::remove(const base::UpstreamId &id)
{
    const auto it = m_entries.find(id);
    m_actions.emplace_back(AdoptIncarnation{it->second.status.slot, id, {}, 0});
    m_freeSlots.push_back(it->second.status.slot);
    m_entries.erase(it);
    if (m_marks.upstreams() > MaxMarkedUpstreams) {
        m_marks.drop(id);
    }
}

std::optional<Slot> Registry::takeSlot()
{
    if (m_nextSlot < MaxSlots) {
        return Slot{m_nextSlot++};
    }
    if (m_freeSlots.empty()) {
        return std::nullopt;
    }
    const Slot slot = m_freeSlots.front();
    m_freeSlots.pop_front();
    return slot;
}

void Registry::onLoadReport(const base::UpstreamId &id, const LoadReport &report, base::TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || report.incarnation.value == 0) {
        return;
    }
    Entry &entry = it->second;
    if (std::find(entry.pastIncarnations.begin(), entry.pastIncarnations.end(), report.incarnation) != entry.pastIncarnations.end()) {
        return;
    }
    if (report.incarnation != entry.status.incarnation) {
        adopt(entry, report);
    }
    entry.lastReportAt = now;
    entry.failedPolls = 0;
    const base::TimePoint trueAt = now - report.age;
    if (trueAt < entry.status.loadAt) {
        return;
    }
    entry.status.load = report;
    entry.status.loadAt = trueAt;
    m_hasNewLoad = true;
    if (report.state == ReportedState::Leaving) {
        onLeaving(id, report.incarnation, LeavingSource::LoadReport, now);
    } else {
        entry.status.confirmedAt = trueAt;
    }
}

void Registry::adopt(Entry &entry, const LoadReport &report)
{
    const base::Incarnation old = entry.status.incarnation;
    if (old.value != 0) {
        entry.pastIncarnations.push_back(old);
        if (entry.pastIncarnations.size() > MaxPastIncarnations) {
            entry.pastIncarnations.erase(entry.pastIncarnations.begin());
        }
    } else if (m_marks.isLeaving(entry.status.id, {})) {
        markLeaving(entry, report.incarnation);
    }
    entry.status.incarnation = report.incarnation;
    entry.status.loadAt = {};
    entry.failures = 0;
    entry.ejections = 0;
    entry.ejectedUntil = {};
    entry.isReportedLeaving = false;
    m_marks.prune(entry.status.id, report.incarnation);
    m_actions.emplace_back(AdoptIncarnation{entry.status.slot, entry.status.id, report.incarnation, report.capacityBlocks});
    m_isDirty = true;
}

void Registry::onUnreachable(const base::UpstreamId &id, base::TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return;
    }
    ++it->second.failedPolls;
    m_isDirty = m_isDirty || stateOf(it->second, now) != it->second.status.state;
}

void Registry::onAttempt(const base::UpstreamId &id, base::Incarnation incarnation, AttemptOutcome outcome, base::TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.status.incarnation != incarnation) {
        return;
    }
    Entry &entry = it->second;
    switch (outcome) {
    case AttemptOutcome::Succeeded:
        entry.failures = 0;
        entry.ejections = 0;
        break;
    case AttemptOutcome::NotSent:
        entry.failedPolls = std::max(entry.failedPolls, SuspectAfterFailedPolls);
        m_isDirty = true;
        break;
    case AttemptOutcome::Failed:
        if (++entry.failures >= EjectAfterFailures && mayEject(entry, now)) {
            eject(entry, now);
        }
        break;
    case AttemptOutcome::RefusedLeaving:
        onLeaving(id, incarnation, LeavingSource::Refusal, now);
        break;
    case AttemptOutcome::RefusedOther:
        break;
    }
}

void Registry::eject(Entry &entry, base::TimePoint now)
{
    const base::Duration pause = std::min<base::Duration>(MinEjection * (1U << std::min(entry.ejections, 5U)), MaxEjection);
    entry.ejectedUntil = now + pause;
    entry.failures = 0;
    ++entry.ejections;
    m_isDirty = true;
}

bool Registry::mayEject(const Entry &entry, base::TimePoint now) const
{
    std::size_t ejected = entry.ejectedUntil > now ? 0 : 1;
    for (const auto &[id, other] : m_entries) {
        ejected += other.ejectedUntil > now ? 1 : 0;
    }
    return ejected * 2 <= m_entries.size();
}

void Registry::onLeaving(const base::UpstreamId &id, base::Incarnation incarnation, LeavingSource source, base::TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        if (source == LeavingSource::Drain || incarnation.value != 0) {
            const LeavingMark mark{id, incarnation, m_marks.generation(id, incarnation) | 1U};
            importMarks(std::span{&mark, 1}, now);
        }
        return;
    }
    Entry &entry = it->second;
    const base::Incarnation marked = incarnation.value == 0 ? entry.status.incarnation : incarnation;
    if ((source == LeavingSource::LoadReport || source == LeavingSource::Refusal) && marked == entry.status.incarnation) {
        entry.isReportedLeaving = true;
    }
    markLeaving(entry, marked);
    rebuild(now);
}

void Registry::markLeaving(const Entry &entry, base::Incarnation incarnation)
{
    const LeavingMark mark{entry.status.id, incarnation, m_marks.generation(entry.status.id, incarnation) | 1U};
    if (m_marks.merge(mark)) {
        m_actions.emplace_back(AnnounceMark{mark});
        m_isDirty = true;
    }
}

void Registry::onUndrain(const base::UpstreamId &id, base::TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.isReportedLeaving || it->second.isListedLeaving) {
        return;
    }
    const base::Incarnation incarnation = it->second.status.incarnation;
    if (m_marks.isLeaving(id, incarnation)) {
        const LeavingMark mark{id, incarnation, m_marks.generation(id, incarnation) + 1};
        importMarks(std::span{&mark, 1}, now);
    }
}

void Registry::onPlatformList(std::span<const store::VmRecord> vms, base::TimePoint now)
{
    for (const auto &vm : vms) {
        if (vm.role != store::VmRecord::Role::Upstream) {
            continue;
        }
        const auto it = m_entries.find(base::UpstreamId{vm.name});
        if (it != m_entries.end()) {
            onPlatformState(it->second, vm.state);
        }
    }
    if (m_isDirty) {
        rebuild(now);
    }
}

void Registry::onPlatformState(Entry &entry, store::VmRecord::State state)
{
    const bool isLeaving = state == store::VmRecord::State::Leaving;
    if (isLeaving && !entry.isListedLeaving && entry.status.incarnation.value != 0) {
        markLeaving(entry, entry.status.incarnation);
    }
    m_isDirty = m_isDirty || isLeaving != entry.isListedLeaving;
    entry.isListedLeaving = isLeaving;
}

void Registry::importMarks(std::span<const LeavingMark> marks, base::TimePoint now)
{
    for (const auto &mark : marks) {
        if (m_marks.merge(mark)) {
            m_actions.emplace_back(AnnounceMark{mark});
            m_isDirty = true;
        }
    }
    if (m_isDirty) {
        rebuild(now);
    }
}

void Registry::onMarksSynchronised(base::TimePoint now)
{
    if (m_usableFrom > now) {
        m_usableFrom = now;
        rebuild(now);
    }
}

std::vector<LeavingMark> Registry::exportMarks() const
{
    return m_marks.all();
}

void Registry::onTick(base::TimePoint now)
{
    const bool wasFrozen = m_lastTick != base::TimePoint{} && now - m_lastTick > FreezeGap;
    m_lastTick = now;
    if (wasFrozen) {
        m_usableFrom = now + ResyncWait;
        m_actions.emplace_back(RequestMarks{});
        m_isDirty = true;
    }
    for (const auto &[id, entry] : m_entries) {
        m_isDirty = m_isDirty || stateOf(entry, now) != entry.status.state;
    }
    constexpr base::Duration LoadPublishPeriod = base::milliseconds{50};
    const base::Duration age = now - m_view->builtAt;
    if (m_isDirty || age >= ViewPeriod || (m_hasNewLoad && age >= LoadPublishPeriod)) {
        rebuild(now);
    }
}

std::vector<RegistryAction> Registry::takeActions()
{
    return std::exchange(m_actions, {});
}

std::shared_ptr<const UpstreamView> Registry::view() const
{
    return m_view;
}

UpstreamState Registry::stateOf(const Entry &entry, base::TimePoint now) const
{
    const auto &status = entry.status;
    if (entry.isReportedLeaving || entry.isListedLeaving || m_marks.isLeaving(status.id, status.incarnation)) {
        return UpstreamState::Leaving;
    }
    if (status.incarnation.value == 0) {
        return UpstreamState::Unknown;
    }
    if (now - entry.lastReportAt > DeadAfter) {
        return UpstreamState::Dead;
    }
    if (entry.failedPolls >= SuspectAfterFailedPolls || now - status.confirmedAt > MaxConfirmationAge) {
        return UpstreamState::Suspect;
    }
    if (status.load.state == ReportedState::Loading) {
        return UpstreamState::Loading;
    }
    return entry.ejectedUntil > now ? UpstreamState::Ejected : UpstreamState::Live;
}

void Registry::refreshStates(base::TimePoint now)
{
    for (auto &[id, entry] : m_entries) {
        entry.status.state = stateOf(entry, now);
        entry.status.ejectedUntil = entry.ejectedUntil;
    }
}

void Registry::rebuild(base::TimePoint now)
{
    refreshStates(now);
    auto view = std::make_shared<UpstreamView>();
    view->builtAt = now;
    view->usableFrom = m_usableFrom;
    view->upstreams.reserve(m_entries.size());
    view->bySlot.assign(m_nextSlot, UpstreamView::NoUpstream);
    for (const auto &[id, entry] : m_entries) {
        view->bySlot[entry.status.slot.index] = static_cast<std::uint32_t>(view->upstreams.size());
        view->upstreams.push_back(entry.status);
    }
    for (const auto &pool : m_pools) {
        view->pools.push_back(buildPool(pool, *view));
    }
    std::sort(view->pools.begin(), view->pools.end(), [](const PoolView &left, const PoolView &right) {
        return left.name < right.name;
    });
    m_view = std::move(view);
    m_isDirty = false;
    m_hasNewLoad = false;
}

namespace
{

bool servesModel(const UpstreamStatus &status, const config::Pool &pool)
{
    return status.state == UpstreamState::Live
           && (pool.kind == config::UpstreamKind::Service || (status.load.model == pool.model && status.load.adapter == pool.adapter));
}

// Returns the configured version as soon as half of the live members have loaded it;
// until then the version most of them have, so that a change of weights keeps capacity.
base::WeightsVersion chooseServingVersion(const config::Pool &pool, const std::map<base::WeightsVersion, std::size_t> &holders)
{
    std::size_t live = 0;
    base::WeightsVersion mostCommon = pool.weightsVersion;
    std::size_t most = 0;
    for (const auto &[version, n] : holders) {
        live += n;
        if (n > most) {
            most = n;
            mostCommon = version;
        }
    }
    const auto wanted = holders.find(pool.weightsVersion);
    return wanted != holders.end() && wanted->second * 2 >= live ? pool.weightsVersion : mostCommon;
}

} // namespace

PoolView Registry::buildPool(const config::Pool &pool, const UpstreamView &view) const
{
    PoolView result;
    result.name = pool.name;
    result.kind = pool.kind;
    result.model = pool.model;
    result.adapter = pool.adapter;
    result.blockBytes = pool.blockBytes;
    result.hasKvStore = pool.kvStore.has_value();
    result.key = base::hash64(pool.name.value());
    std::map<base::WeightsVersion, std::size_t> holders;
    for (const auto &member : pool.members) {
        const UpstreamStatus *status = view.find(member.id);
        if (status == nullptr) {
            continue;
        }
        result.members.push_back(static_cast<std::uint32_t>(status - view.upstreams.data()));
        if (servesModel(*status, pool)) {
            ++holders[status->load.weightsVersion];
        }
    }
    std::sort(result.members.begin(), result.members.end());
    result.servingVersion = pool.kind == config::UpstreamKind::Service ? pool.weightsVersion : chooseServingVersion(pool, holders);
    for (const std::uint32_t it : result.members) {
        const UpstreamStatus &status = view.upstreams[it];
        if (servesModel(status, pool) && (pool.kind == config::UpstreamKind::Service || status.load.weightsVersion == result.servingVersion)) {
            result.eligible.push_back(it);
        }
    }
    result.indexEligible(view.upstreams);
    return result;
}

} // namespace carawaylatch::upstreams
