// Timers of the member list: probes, suspicion, choice of probe targets, and the
// updates piggybacked on a message.
//
// The set of probe targets is small and changes slowly, so that connections are
// few and stay open. It holds the next routers on a ring in hash order, so that
// each router is probed by as many others, and random ones, so that updates reach
// all routers in a logarithmic number of steps. One random target is replaced
// every reshuffleInterval. With few routers the set holds all of them.
//
// After a pause of the process, such as a suspended VM, all its timers have
// expired. They are restarted, or the router would declare all others dead.
#include "carawaylatch/membership/memberlist.h"

#include <algorithm>
#include <cmath>

namespace carawaylatch::membership
{

using base::TimePoint;

namespace
{

constexpr std::int64_t MaxTickGapHeartbeats = 4; // a longer gap between ticks means that the process was paused
constexpr std::uint32_t RetransmitFactor = 2; // messages that carry a record, for each doubling of the members

} // namespace

void MemberList::onTick(TimePoint now)
{
    if (m_isDeparted) {
        return;
    }
    if (now > m_lastTick + m_options.heartbeat * MaxTickGapHeartbeats) {
        restartTimersAfterPause(now);
    }
    m_lastTick = now;
    expireProbes(now);
    expireSuspects(now);
    continuePartitionRecovery(now);
    if (m_isTargetListStale) {
        chooseProbeTargets();
    }
    if (now >= m_nextReshuffle) {
        m_nextReshuffle = now + m_options.reshuffleInterval;
        replaceRandomTarget();
        forgetDead(now);
    }
    if (now >= m_nextReconnect) {
        m_nextReconnect = now + m_options.reconnectInterval;
        reconnectNext(now);
    }
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = std::max(m_nextHeartbeat + m_options.heartbeat, now);
        probeNext(now);
    }
}

TimePoint MemberList::nextDeadline() const
{
    auto next = std::min({m_nextHeartbeat, m_nextReshuffle, m_nextReconnect});
    for (const auto &it : m_pendingProbes) {
        next = std::min(next, it.second.sentAt + (it.second.isIndirect ? m_options.heartbeat : m_options.probeTimeout));
    }
    return next;
}

void MemberList::restartTimersAfterPause(TimePoint now)
{
    m_pendingProbes.clear();
    m_relayedProbes.clear();
    m_nextHeartbeat = now;
    for (const auto &it : m_suspects) {
        m_members.at(it).since = now;
    }
}

void MemberList::probeNext(TimePoint now)
{
    for (std::size_t i = 0; i < m_probeTargets.size(); ++i) {
        const auto &id = m_probeTargets[m_nextTarget++ % m_probeTargets.size()];
        if (isProbeable(id)) {
            probe(addressOf(id), makeGossip(id), now);
            return;
        }
    }
}

void MemberList::probe(const MemberAddress &target, Gossip gossip, TimePoint now)
{
    const auto number = ++m_lastNumber;
    m_pendingProbes[number] = {target, now, false};
    send(target, Probe{number, std::move(gossip)});
}

// Probes a dead member or a seed, to detect the end of a partition. The probe carries
// no updates, see memberlist.cpp.
void MemberList::reconnectNext(TimePoint now)
{
    for (const auto &it : m_members) {
        if (it.second.record.state != MemberState::Dead) {
            m_seeds.erase(it.second.record.endpoint);
        }
    }
    std::vector<MemberAddress> candidates;
    for (const auto &it : m_seeds) {
        candidates.push_back({{}, it});
    }
    for (const auto &it : m_members) {
        if (it.second.record.state == MemberState::Dead) {
            candidates.push_back({it.first, it.second.record.endpoint});
        }
    }
    if (!candidates.empty()) {
        probe(candidates[m_random.below(candidates.size())], {m_self, m_revision, digest(), {}}, now);
    }
}

void MemberList::expireProbes(TimePoint now)
{
    std::erase_if(m_relayedProbes, [&](const auto &it) {
        return now >= it.second.sentAt + 2 * m_options.heartbeat;
    });
    for (auto it = m_pendingProbes.begin(); it != m_pendingProbes.end();) {
        auto &[number, pending] = *it;
        const auto member = m_members.find(pending.target.id);
        const bool isWatched = member != m_members.end() && member->second.record.state != MemberState::Dead;
        if (now >= pending.sentAt + m_options.heartbeat) {
            if (isWatched && member->second.record.state != MemberState::Suspect) {
                setState(member->second, member->second.record.state == MemberState::Leaving ? MemberState::Dead : MemberState::Suspect, now);
            }
            it = m_pendingProbes.erase(it);
            continue;
        }
        if (isWatched && !pending.isIndirect && now >= pending.sentAt + m_options.probeTimeout) {
            pending.isIndirect = true;
            requestIndirectProbes(number, member->second.record);
        }
        ++it;
    }
}

void MemberList::requestIndirectProbes(std::uint64_t number, const MemberRecord &target)
{
    std::uint32_t requested = 0;
    const auto start = m_random.below(std::max<std::size_t>(m_probeTargets.size(), 1));
    for (std::size_t i = 0; i < m_probeTargets.size() && requested < m_options.indirectProbes; ++i) {
        const auto &id = m_probeTargets[(start + i) % m_probeTargets.size()];
        if (id != target.id && isProbeable(id)) {
            ++requested;
            send(addressOf(id), IndirectProbe{number, target, makeGossip(id)});
        }
    }
}

base::Duration MemberList::suspicionTime() const
{
    const double factor = std::max(1.0, std::log10(static_cast<double>(m_members.size() + 1)));
    return base::fromSeconds(base::toSeconds(m_options.suspicionTimeout) * factor);
}

void MemberList::expireSuspects(TimePoint now)
{
    const auto limit = suspicionTime();
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        auto &member = m_members.at(*it++);
        if (now >= member.since + limit) {
            setState(member, MemberState::Dead, now);
        }
    }
}

void MemberList::forgetDead(TimePoint now)
{
    std::erase_if(m_members, [&](const auto &it) {
        return it.second.record.state == MemberState::Dead && now >= it.second.since + m_options.deadRetention;
    });
    while (m_members.size() >= m_options.maxMembers) {
        auto oldest = m_members.end();
        for (auto it = m_members.begin(); it != m_members.end(); ++it) {
            const bool isDead = it->second.record.state == MemberState::Dead;
            if (isDead && (oldest == m_members.end() || it->second.since < oldest->second.since)) {
                oldest = it;
            }
        }
        if (oldest == m_members.end()) {
            return;
        }
        m_members.erase(oldest);
    }
}

bool MemberList::isProbeable(const base::RouterId &id) const
{
    const auto it = m_members.find(id);
    return it != m_members.end() && it->second.record.state != MemberState::Dead;
}

MemberAddress MemberList::addressOf(const base::RouterId &id) const
{
    return {id, m_members.at(id).record.endpoint};
}

// Recomputes the ring targets and keeps the random targets that are not dead.
void MemberList::chooseProbeTargets()
{
    m_isTargetListStale = false;
    const auto ownHash = base::hash64(m_self.id.value());
    std::vector<std::pair<std::uint64_t, base::RouterId>> ring; // by hash distance from this router
    for (const auto &it : m_members) {
        if (it.second.record.state != MemberState::Dead) {
            ring.emplace_back(base::hash64(it.first.value()) - ownHash, it.first);
        }
    }
    const auto ringCount = std::min<std::size_t>(ring.size(), m_options.ringProbes);
    const auto wanted = std::min<std::size_t>(ring.size(), m_options.ringProbes + m_options.randomProbes);
    std::partial_sort(ring.begin(), ring.begin() + static_cast<std::ptrdiff_t>(ringCount), ring.end());
    std::vector<base::RouterId> chosen;
    for (std::size_t i = 0; i < ringCount; ++i) {
        chosen.push_back(ring[i].second);
    }
    const auto add = [&](const base::RouterId &id) {
        if (chosen.size() < wanted && std::find(chosen.begin(), chosen.end(), id) == chosen.end()) {
            chosen.push_back(id);
        }
    };
    for (const auto &it : m_probeTargets) {
        if (isProbeable(it)) {
            add(it);
        }
    }
    while (chosen.size() < wanted) {
        add(ring[m_random.below(ring.size())].second);
    }
    m_probeTargets = std::move(chosen);
}

void MemberList::replaceRandomTarget()
{
    if (m_probeTargets.size() > m_options.ringProbes && m_probeTargets.size() < m_members.size()) {
        const auto random = m_probeTargets.size() - m_options.ringProbes;
        m_probeTargets.erase(m_probeTargets.begin() + static_cast<std::ptrdiff_t>(m_options.ringProbes + m_random.below(random)));
        chooseProbeTargets();
    }
}

std::uint32_t MemberList::retransmissions() const
{
    return RetransmitFactor * static_cast<std::uint32_t>(std::ceil(std::log2(static_cast<double>(m_members.size() + 2))));
}

// Makes the gossip of a reply. It includes the sender's own record if this router
// holds a greater selfVersion of it.
Gossip MemberList::makeAnswer(const Gossip &received)
{
    auto gossip = makeGossip(received.self.id);
    const auto *held = find(received.self.id);
    if (held != nullptr && held->selfVersion > received.self.selfVersion) {
        gossip.updates.push_back(*held);
    }
    return gossip;
}

Gossip MemberList::makeGossip(const base::RouterId &to)
{
    Gossip gossip{m_self, m_revision, digest(), {}};
    const auto receiver = m_members.find(to);
    if (receiver != m_members.end() && receiver->second.record.state == MemberState::Suspect) {
        gossip.updates.push_back(receiver->second.record);
    }
    const auto limit = retransmissions();
    for (auto n = std::min<std::size_t>(m_options.maxUpdates, m_updates.size()); n > 0; --n) {
        auto id = std::move(m_updates.front());
        m_updates.pop_front();
        const auto *record = find(id);
        if (record == nullptr || ++m_transmissions[id] > limit) {
            m_transmissions.erase(id);
            continue;
        }
        if (record != &m_self) {
            gossip.updates.push_back(*record);
        }
        m_updates.push_back(std::move(id));
    }
    return gossip;
}

} // namespace carawaylatch::membership
