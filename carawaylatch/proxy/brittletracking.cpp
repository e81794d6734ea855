// What upstreamtracker.h knows of brittle upstreams: who is, and the room at each.
#include <algorithm>
#include <utility>

#include "carawaylatch/proxy/upstreamtracker.h"

namespace carawaylatch::proxy
{

bool UpstreamTracker::isMostlyHeard() const
{
    return m_peers.peers() * 2 + 1 >= m_brittle.routers();
}

std::optional<std::uint32_t> UpstreamTracker::rejections(const UpstreamRecord &record) const
{
    if (m_brittle.isEmpty() && m_brittlePools.empty()) {
        return std::nullopt;
    }
    if (const auto known = m_brittle.rejections(record.key())) {
        return known;
    }
    // One that has just started says so with its first answer, but the requests that come before could end it.
    const bool isLikely = !record.hasAnswered && m_brittlePools.contains(record.upstream.pool);
    return isLikely ? std::optional<std::uint32_t>(0) : std::nullopt;
}

Room UpstreamTracker::room(const UpstreamRecord &record, const RoomQuery &query, const TotalLoad &load, base::TimePoint now) const
{
    const auto takes = rejections(record);
    if (!takes) {
        return Room::Free;
    }
    CapacityUse slots;
    slots.capacity = query.slots;
    slots.own = record.inflight;
    slots.others = std::max(load.requests, record.load(now)) - slots.own;
    slots.need = 1;
    CapacityUse memory;
    memory.capacity = query.memoryTokens;
    memory.own = static_cast<double>(record.inflightTokens);
    memory.others = std::max(0.0, load.memoryTokens - memory.own);
    memory.need = query.neededMemoryTokens;
    const bool isHeard = isMostlyHeard();
    if (isHeard) {
        const double routers = m_brittle.routers();
        const double unheard = std::max(0.0, routers - 1 - static_cast<double>(m_peers.peers()));
        const double part = BrittleUpstreams::ReservedShare / routers;
        const PeerLoad::AtLeast heard = m_peers.atLeast(record.idHash, {query.slots * part, query.memoryTokens * part});
        slots.reserved = std::max(slots.others, heard.requests + unheard * query.slots / routers);
        memory.reserved = std::max(memory.others, heard.memoryTokens + unheard * query.memoryTokens / routers);
    }
    return m_brittle.room(record.key(), *takes, slots, memory, isHeard, now);
}

void UpstreamTracker::onBrittle(UpstreamRecord &record, std::optional<std::uint32_t> rejections, base::TimePoint sentAt, base::TimePoint now)
{
    record.hasAnswered = true;
    if (m_brittle.observe(record.key(), rejections, sentAt, now)) {
        onBrittleChanged(record, "answer", now);
    }
}

void UpstreamTracker::onRejected(const UpstreamRecord &record, const AttemptLoad &load, base::TimePoint now)
{
    if (rejections(record)) {
        m_brittle.onRejected(record.key(), load.room, record.inflight - 1, now);
    }
}

void UpstreamTracker::applyBrittle(std::span<const UpstreamNotice> notices, base::TimePoint now)
{
    for (const UpstreamNotice &it : notices) {
        const auto listed = m_byIdHash.find(it.upstream);
        const bool isEnded = listed != m_byIdHash.end() && listed->second->upstream.startTimeMs > it.startTimeMs;
        if (!isEnded && m_brittle.apply(it, now) && listed != m_byIdHash.end() && listed->second->upstream.startTimeMs == it.startTimeMs) {
            onBrittleChanged(*listed->second, "router", now);
        }
    }
}

void UpstreamTracker::adoptBrittle(UpstreamRecord &record, base::TimePoint now)
{
    const auto &word = record.upstream.brittle;
    if (!word || word->askedAt <= record.brittleAskedAt) {
        return;
    }
    record.brittleAskedAt = word->askedAt;
    if (m_brittle.observe(record.key(), word->rejections, word->askedAt, now)) {
        onBrittleChanged(record, "status", now);
    }
}

void UpstreamTracker::onIncarnationGone(const UpstreamRecord &record)
{
    const auto takes = m_brittle.rejections(record.key());
    if (takes && record.isStaying()) {
        m_brittleEvents.push_back({record.upstream.id, takes, "list", true, m_brittle.rejected(record.key())});
    }
}

void UpstreamTracker::onBrittleChanged(const UpstreamRecord &record, std::string_view source, base::TimePoint now)
{
    m_brittleEvents.push_back({record.upstream.id, m_brittle.rejections(record.key()), source, false, m_brittle.rejected(record.key())});
    updateBrittlePools(now);
}

void UpstreamTracker::updateBrittlePools(base::TimePoint now)
{
    std::erase_if(m_brittlePools, [now](const auto &it) {
        return now - it.second >= BrittleUpstreams::MaxAge;
    });
    if (m_brittle.isEmpty()) {
        return;
    }
    for (const auto &[pool, members] : m_members) {
        const bool isBrittle = std::any_of(members.begin(), members.end(), [this](const UpstreamRecord *record) {
            return m_brittle.rejections(record->key()).has_value();
        });
        if (isBrittle) {
            m_brittlePools[pool] = now;
        }
    }
}

void UpstreamTracker::removeOutdatedNotices(base::TimePoint now)
{
    m_limits.removeOutdated(now);
    m_brittle.removeOutdated(now);
    updateBrittlePools(now);
}

BrittleUpstreams &UpstreamTracker::brittle()
{
    return m_brittle;
}

const BrittleUpstreams &UpstreamTracker::brittle() const
{
    return m_brittle;
}

std::vector<BrittleEvent> UpstreamTracker::takeBrittleEvents()
{
    return std::exchange(m_brittleEvents, {});
}

} // namespace carawaylatch::proxy
