// The member list: handling of messages and of changes of state.
//
// Changed records are piggybacked on probes and acknowledgements, as in SWIM: each
// record on RetransmitFactor x log2(members) messages. Every message carries its
// sender's own record and, if the sender suspects the receiver, the receiver's, so
// that a router learns at once what it has to refute.
//
// A network partition makes each side declare the other dead. When a router that
// was declared dead sends a message, the receiver revives it. If other members were
// declared dead at the same time, the receiver also reads that router's table page
// by page and revives the members that are alive there, so that thousands of them
// need not refute their deaths one by one. For DeathSuppression after that it
// announces no suspicions or deaths, and a probe across a partition carries no
// updates: false deaths from one side would otherwise spread on the other, where
// each would have to be refuted.
//
// Tables that still differ once updates have stopped are compared page by page
// (anti-entropy). Dead members are left out: routers forget them at different
// times, and a comparison must not bring forgotten ones back. A router that
// receives a record older than its own announces its own again, so that a death
// reaches all members.
#include "carawaylatch/membership/memberlist.h"

#include <algorithm>
#include <utility>

namespace carawaylatch::membership
{

using base::TimePoint;

namespace
{

std::uint64_t recordHash(const MemberRecord &record)
{
    if (record.state == MemberState::Dead) {
        return 0;
    }
    const auto version = base::combineHashes(record.selfVersion, static_cast<std::uint64_t>(record.state));
    return base::combineHashes(base::hash64(record.id.value()), version);
}

MemberAddress recordAddress(const MemberRecord &record)
{
    return {record.id, record.endpoint};
}

constexpr base::Duration PartitionMargin = base::seconds{30}; // deaths up to this long before the peer's may have the same cause
constexpr base::Duration DeathSuppression = base::seconds{20};
constexpr std::ptrdiff_t MinPartitionDeaths = 2; // a single death is not treated as a partition

} // namespace

MemberList::MemberList(MemberListOptions options, MemberRecord self, TimePoint now)
    : m_options(options)
    , m_self(std::move(self))
    , m_random(base::combineHashes(options.seed, base::hash64(m_self.id.value())))
    , m_digest{recordHash(m_self), 1}
    , m_nextHeartbeat(now + options.heartbeat * static_cast<std::int64_t>(m_random.below(16)) / 16)
    , m_nextReshuffle(now + options.reshuffleInterval)
    , m_nextReconnect(now)
    , m_syncRequestedAt(now - options.syncInterval)
    , m_lastChangeAt(now)
    , m_lastTick(now)
{
    announce(m_self.id);
}

void MemberList::onSeeds(std::span<const base::Endpoint> seeds)
{
    m_seeds.clear();
    for (const auto &it : seeds) {
        if (it != m_self.endpoint && m_seeds.size() < m_options.maxMembers) {
            m_seeds.insert(it);
        }
    }
}

void MemberList::onRecords(std::span<const MemberRecord> records, TimePoint now)
{
    for (const auto &it : records) {
        merge(it, Dissemination::No, now);
    }
}

void MemberList::onMessage(const MemberMessage &message, TimePoint now)
{
    if (m_isDeparted) {
        return;
    }
    std::visit(
        [&](const auto &it) {
            mergeGossip(it.gossip, now);
            handle(it, now);
        },
        message);
}

void MemberList::handle(const Probe &message, TimePoint now)
{
    const auto from = recordAddress(message.gossip.self);
    send(from, ProbeAck{message.number, m_self.id, makeAnswer(message.gossip)});
    syncWith(message.gossip, now);
}

void MemberList::handle(const ProbeAck &message, TimePoint now)
{
    m_pendingProbes.erase(message.number);
    if (const auto it = m_relayedProbes.find(message.number); it != m_relayedProbes.end()) {
        send(it->second.requester, ProbeAck{it->second.number, message.subject, makeGossip(it->second.requester.id)});
        m_relayedProbes.erase(it);
    }
    syncWith(message.gossip, now);
}

void MemberList::handle(const IndirectProbe &message, TimePoint now)
{
    if (m_relayedProbes.size() >= m_options.maxMembers) {
        return;
    }
    const auto number = ++m_lastNumber;
    m_relayedProbes[number] = {message.number, recordAddress(message.gossip.self), now};
    send(recordAddress(message.target), Probe{number, makeGossip(message.target.id)});
}

void MemberList::handle(const TableRequest &message, TimePoint)
{
    TablePage page;
    auto it = m_members.upper_bound(message.cursor);
    for (; it != m_members.end() && page.records.size() < m_options.pageRecords; ++it) {
        if (it->second.record.state != MemberState::Dead) {
            page.records.push_back(it->second.record);
        }
    }
    if (it != m_members.end() && !page.records.empty()) {
        page.cursor = page.records.back().id;
    }
    const auto from = recordAddress(message.gossip.self);
    page.gossip = makeAnswer(message.gossip);
    send(from, std::move(page));
}

void MemberList::handle(const TablePage &message, TimePoint now)
{
    if (m_recovery && m_recovery->peer == message.gossip.self.id) {
        recoverFromPage(message, now);
        return;
    }
    const auto dissemination = isJoining(message.gossip.digest) ? Dissemination::No : Dissemination::Yes;
    for (const auto &it : message.records) {
        merge(it, dissemination, now);
    }
    announceMissing(message);
    m_syncCursor = message.cursor;
    if (!m_syncCursor.isEmpty() && isJoining(message.gossip.digest)) {
        requestPage(recordAddress(message.gossip.self), now);
    }
}

void MemberList::revive(Member &member, MemberState state, Dissemination dissemination, TimePoint now)
{
    auto record = member.record;
    ++record.revivalCount;
    record.state = state;
    store(member, record, dissemination, now);
}

// Starts to read the table of a revived router, if other members were declared dead with it.
void MemberList::startPartitionRecovery(const base::RouterId &peer, TimePoint deadSince, TimePoint now)
{
    const auto from = deadSince - PartitionMargin;
    const auto deaths = 1 + std::count_if(m_members.begin(), m_members.end(), [from](const auto &it) {
                            return it.second.record.state == MemberState::Dead && it.second.since >= from;
                        });
    if (!m_recovery && deaths >= MinPartitionDeaths) {
        m_recovery = PartitionRecovery{peer, from, {}, now - m_options.syncInterval, 0};
        m_deathSuppressionEnd = now + DeathSuppression;
        dropQueuedDeaths();
    }
}

bool MemberList::isSuppressed(MemberState state, TimePoint now) const
{
    return now < m_deathSuppressionEnd && (state == MemberState::Suspect || state == MemberState::Dead);
}

// Removes suspicions and deaths from the queue of updates.
void MemberList::dropQueuedDeaths()
{
    std::erase_if(m_updates, [this](const base::RouterId &id) {
        const auto *record = find(id);
        const bool isDoubtful = record != nullptr && (record->state == MemberState::Suspect || record->state == MemberState::Dead);
        if (isDoubtful) {
            m_transmissions.erase(id);
        }
        return isDoubtful;
    });
}

void MemberList::continuePartitionRecovery(TimePoint now)
{
    constexpr std::uint32_t MaxUnanswered = 3;
    if (!m_recovery || now < m_recovery->requestedAt + m_options.syncInterval) {
        return;
    }
    const auto *peer = find(m_recovery->peer);
    if (peer == nullptr || peer->state == MemberState::Dead || ++m_recovery->unanswered > MaxUnanswered) {
        m_recovery.reset(); // the next message from a dead member starts it again
        return;
    }
    m_recovery->requestedAt = now;
    send(recordAddress(*peer), TableRequest{m_recovery->cursor, makeGossip(peer->id)});
}

void MemberList::recoverFromPage(const TablePage &page, TimePoint now)
{
    m_recovery->unanswered = 0;
    m_recovery->cursor = page.cursor;
    for (const auto &it : page.records) {
        const auto held = m_members.find(it.id);
        const bool isDoubtful = held != m_members.end() && held->second.record.state == MemberState::Dead && held->second.record.selfVersion == it.selfVersion
                                && held->second.since >= m_recovery->deadSince;
        if (isDoubtful && it.state != MemberState::Dead) {
            revive(held->second, it.state, Dissemination::No, now);
        } else {
            merge(it, Dissemination::No, now);
        }
    }
    if (page.cursor.isEmpty()) {
        m_recovery.reset();
    }
}

// Announces the members that are missing in a page of another router.
void MemberList::announceMissing(const TablePage &page)
{
    auto it = m_members.upper_bound(m_syncCursor);
    for (; it != m_members.end() && (page.cursor.isEmpty() || it->first <= page.cursor); ++it) {
        const auto held = std::find_if(page.records.begin(), page.records.end(), [&](const MemberRecord &record) {
            return record.id == it->first;
        });
        const bool isKnownThere = held != page.records.end() || it->first == page.gossip.self.id;
        if (!isKnownThere && it->second.record.state != MemberState::Dead) {
            announce(it->first);
        }
    }
}

void MemberList::mergeGossip(const Gossip &gossip, TimePoint now)
{
    if (const auto it = m_members.find(gossip.self.id); it != m_members.end()) {
        const auto &held = it->second.record;
        if (held.state == MemberState::Dead && gossip.self.selfVersion == held.selfVersion && gossip.self.state != MemberState::Dead) {
            const auto deadSince = it->second.since;
            revive(it->second, gossip.self.state, Dissemination::Yes, now);
            startPartitionRecovery(gossip.self.id, deadSince, now);
        }
    }
    merge(gossip.self, Dissemination::Yes, now);
    for (const auto &it : gossip.updates) {
        merge(it, Dissemination::Yes, now);
    }
    if (const auto it = m_members.find(gossip.self.id); it != m_members.end()) {
        if (it->second.revision < gossip.revision) {
            it->second.revision = gossip.revision;
            m_view.reset();
        }
        m_actions.emplace_back(RevisionSeen{gossip.self.id, gossip.revision});
    }
}

void MemberList::merge(const MemberRecord &record, Dissemination dissemination, TimePoint now)
{
    if (record.id == m_self.id) {
        mergeSelf(record, now);
        return;
    }
    const auto it = m_members.find(record.id);
    if (it != m_members.end()) {
        const auto &held = it->second.record;
        if (record.selfVersion == held.selfVersion && record.state == held.state) {
            it->second.record.revivalCount = std::max(record.revivalCount, held.revivalCount);
        } else if (supersedes(record, held)) {
            store(it->second, record, dissemination, now);
        } else if (supersedes(it->second.record, record) && it->second.record.state != record.state && !isSuppressed(it->second.record.state, now)) {
            announce(record.id);
        }
        return;
    }
    if (record.state == MemberState::Dead || record.id.isEmpty()) {
        return; // an unknown member need not be stored as dead
    }
    if (m_members.size() >= m_options.maxMembers) {
        forgetDead(now);
    }
    if (m_members.size() < m_options.maxMembers) {
        auto &member = m_members[record.id];
        member.record.state = MemberState::Dead;
        store(member, record, dissemination, now);
    }
}

// Refutes a record of this router that is false by raising selfVersion above it.
void MemberList::mergeSelf(const MemberRecord &record, TimePoint now)
{
    const bool isOwn = record.incarnation == m_self.incarnation && record.selfVersion == m_self.selfVersion;
    const bool isFalse = record.selfVersion > m_self.selfVersion || (record.selfVersion == m_self.selfVersion && (!isOwn || record.state > m_self.state));
    if (!isFalse || m_isDeparted) {
        return;
    }
    m_digest.hash ^= recordHash(m_self);
    m_self.selfVersion = record.selfVersion + 1;
    m_digest.hash ^= recordHash(m_self);
    m_lastChangeAt = now;
    m_view.reset();
    announce(m_self.id);
}

void MemberList::store(Member &member, const MemberRecord &record, Dissemination dissemination, TimePoint now)
{
    const bool wasGone = member.record.state == MemberState::Dead;
    const bool isGone = record.state == MemberState::Dead;
    if (record.state == MemberState::Suspect) {
        m_suspects.insert(record.id);
    } else {
        m_suspects.erase(record.id);
    }
    m_digest.hash ^= recordHash(member.record) ^ recordHash(record);
    m_digest.count += (wasGone ? 1U : 0U) - (isGone ? 1U : 0U);
    member.record = record;
    member.since = now;
    m_isTargetListStale = m_isTargetListStale || wasGone != isGone;
    m_lastChangeAt = now;
    m_view.reset();
    m_actions.emplace_back(MemberChanged{record});
    if (dissemination == Dissemination::Yes && !isSuppressed(record.state, now)) {
        announce(record.id);
    }
}

void MemberList::setState(Member &member, MemberState state, TimePoint now)
{
    auto record = member.record;
    record.state = state;
    store(member, record, Dissemination::Yes, now);
}

// Compares tables if digests differ: at once while this router joins, otherwise
// only after syncQuietTime without changes, since digests always differ while
// updates are being disseminated.
void MemberList::syncWith(const Gossip &gossip, TimePoint now)
{
    const auto own = digest();
    if (gossip.digest == own) {
        return;
    }
    const bool isDue = isJoining(gossip.digest) || now >= m_lastChangeAt + m_options.syncQuietTime;
    if (isDue && now >= m_syncRequestedAt + m_options.syncInterval) {
        requestPage(recordAddress(gossip.self), now);
    }
}

void MemberList::requestPage(const MemberAddress &from, TimePoint now)
{
    m_syncRequestedAt = now;
    send(from, TableRequest{m_syncCursor, makeGossip(from.id)});
}

bool MemberList::isJoining(const MemberDigest &other) const
{
    return digest().count * 2 < other.count;
}

void MemberList::setRevision(base::Revision revision)
{
    m_revision = revision;
    m_view.reset();
}

void MemberList::leave(TimePoint now)
{
    if (m_self.state == MemberState::Alive) {
        m_digest.hash ^= recordHash(m_self);
        m_self.state = MemberState::Leaving;
        ++m_self.selfVersion;
        m_digest.hash ^= recordHash(m_self);
        m_lastChangeAt = now;
        m_view.reset();
        announce(m_self.id);
    }
}

void MemberList::depart(TimePoint now)
{
    if (m_isDeparted) {
        return;
    }
    m_digest.hash ^= recordHash(m_self);
    m_self.state = MemberState::Dead;
    ++m_self.selfVersion;
    m_lastChangeAt = now;
    announce(m_self.id);
    for (const auto &it : m_probeTargets) {
        if (const auto *record = find(it); record != nullptr) {
            send(recordAddress(*record), Probe{++m_lastNumber, makeGossip(it)});
        }
    }
    m_isDeparted = true;
}

std::vector<MemberAction> MemberList::takeActions()
{
    return std::exchange(m_actions, {});
}

const MemberRecord &MemberList::self() const
{
    return m_self;
}

std::vector<base::RouterId> MemberList::probeTargets() const
{
    return m_probeTargets;
}

std::optional<MemberState> MemberList::stateOf(const base::RouterId &id) const
{
    const auto *record = find(id);
    return record == nullptr ? std::optional<MemberState>{} : record->state;
}

std::vector<MemberRecord> MemberList::records() const
{
    std::vector<MemberRecord> records{m_self};
    for (const auto &it : m_members) {
        records.push_back(it.second.record);
    }
    return records;
}

MemberDigest MemberList::digest() const
{
    return m_digest;
}

std::shared_ptr<const MembershipView> MemberList::view() const
{
    if (m_view == nullptr) {
        auto view = std::make_shared<MembershipView>();
        view->self = m_self.id;
        bool isSelfIn = false;
        const auto addSelf = [&] {
            view->members.push_back({m_self, m_revision});
            isSelfIn = true;
        };
        for (const auto &[id, member] : m_members) {
            if (!isSelfIn && m_self.id < id) {
                addSelf();
            }
            if (member.record.state != MemberState::Dead) {
                view->members.push_back({member.record, member.revision});
            }
        }
        if (!isSelfIn) {
            addSelf();
        }
        m_view = std::move(view);
    }
    return m_view;
}

const MemberRecord *MemberList::find(const base::RouterId &id) const
{
    if (id == m_self.id) {
        return &m_self;
    }
    const auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second.record;
}

// Queues a member's record for dissemination, or restarts its count of transmissions.
void MemberList::announce(const base::RouterId &id)
{
    const auto [it, isNew] = m_transmissions.insert_or_assign(id, 0);
    if (isNew) {
        m_updates.push_front(id);
    }
}

void MemberList::send(const MemberAddress &to, MemberMessage message)
{
    m_actions.emplace_back(SendMember{to, std::move(message)});
}

} // namespace carawaylatch::membership
