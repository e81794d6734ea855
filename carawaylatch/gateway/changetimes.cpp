// Confirmations of each kind of object, and heartbeats of the thread that reads them.
#include "carawaylatch/gateway/changetimes.h"

#include <algorithm>
#include <utility>

namespace carawaylatch::gateway
{

std::optional<base::Duration> ChangeTimes::onHeartbeat(base::Duration now)
{
    const base::Duration last = m_lastHeartbeat.value_or(now);
    const bool hasStalled = now - last > MaxHeartbeatGap;
    if (hasStalled) {
        for (auto &[name, kind] : m_kinds) {
            kind.heldUntil = newestAt(kind);
            kind.mayHaveMissedAnswer = true;
        }
    }
    m_lastButOneHeartbeat = last;
    m_lastHeartbeat = now;
    return hasStalled ? std::optional(now - last) : std::nullopt;
}

std::optional<base::Duration> ChangeTimes::newestAt(const Kind &kind) const
{
    const bool isProvedByHeartbeat = kind.newestAt && !kind.mayHaveMissedAnswer && kind.sentAt && m_lastButOneHeartbeat > *kind.sentAt;
    return std::max(kind.newestAt, isProvedByHeartbeat ? std::optional(m_lastButOneHeartbeat) : kind.heldUntil);
}

void ChangeTimes::onCallSent(ObjectKind kind, base::Duration now)
{
    m_kinds[kind].sentAt = now;
}

void ChangeTimes::onCallFailed(ObjectKind kind)
{
    m_kinds[kind].mayHaveMissedAnswer = true;
    m_kinds[kind].heldUntil.reset();
}

std::optional<base::Duration> ChangeTimes::onAnswered(ObjectKind name, std::optional<std::uint64_t> changedIn)
{
    Kind &kind = m_kinds[name];
    auto changedAfter = newestAt(kind);
    if (changedIn && changedAfter && isSeenBefore(*changedIn, *changedAfter)) {
        changedAfter = kind.newestAt;
        for (const SeenRevision &seen : m_seenRevisions) {
            if (seen.revision < *changedIn) {
                changedAfter = std::max(changedAfter, std::optional(seen.sentAt));
            }
        }
    }
    kind.newestAt = std::max(changedAfter, std::exchange(kind.sentAt, {}));
    kind.heldUntil.reset();
    kind.mayHaveMissedAnswer = false;
    return changedAfter;
}

bool ChangeTimes::isSeenBefore(std::uint64_t revision, base::Duration at) const
{
    return std::any_of(m_seenRevisions.begin(), m_seenRevisions.end(), [revision, at](const SeenRevision &seen) {
        return seen.revision >= revision && seen.answeredAt < at;
    });
}

void ChangeTimes::onRevisionSeen(std::uint64_t revision, base::Duration sentAt, base::Duration now)
{
    m_seenRevisions.push_back({revision, sentAt, now});
    if (m_seenRevisions.size() > MaxSeenRevisions) {
        m_seenRevisions.pop_front();
    }
}

std::optional<base::Duration> ChangeTimes::onRelayed(ObjectKind name, base::Duration confirmedAt, std::optional<base::Duration> changedAfter)
{
    Kind &kind = m_kinds[name];
    kind.mayHaveMissedAnswer = true; // no call of this router is in flight
    kind.heldUntil.reset();
    const auto before = std::exchange(kind.newestAt, std::max(kind.newestAt, std::optional(confirmedAt)));
    return changedAfter ? std::max(before, changedAfter) : before;
}

void ChangeTimes::onContact(base::Duration at)
{
    m_contactAt = std::max(m_contactAt, at);
}

void ChangeTimes::onStoreFailed(ObjectKind name, base::Duration now)
{
    Kind &kind = m_kinds[name];
    if (!kind.storeLostAt) {
        kind.storeLostAt = now;
        kind.contactAt = m_contactAt;
    }
    m_failedCallSentAt = std::max(m_failedCallSentAt, kind.sentAt.value_or(now));
    if (kind.sentAt > kind.otherAnsweredAt) {
        kind.otherAnsweredAt.reset();
    }
}

void ChangeTimes::onStoreAnswered(ObjectKind name, base::Duration at)
{
    onContact(at);
    for (auto &[other, kind] : m_kinds) {
        if (other != name && kind.storeLostAt && !kind.otherAnsweredAt && at > *kind.storeLostAt) {
            kind.otherAnsweredAt = at;
        }
    }
    Kind &kind = m_kinds[name];
    if (const auto lostAt = std::exchange(kind.storeLostAt, {})) {
        const base::Duration answeredAt = std::max(*lostAt, std::exchange(kind.otherAnsweredAt, {}).value_or(at));
        const base::Duration returnedAt = std::max(*lostAt, std::min(answeredAt, m_failedCallSentAt + MaxReturnDelay));
        endOutage(kind, returnedAt, returnedAt - kind.contactAt);
    }
}

void ChangeTimes::onReaderAnswered(ObjectKind name, base::Duration confirmedAt, std::optional<base::Duration> returnedAt)
{
    const auto lostAt = storeLostAt(name);
    const bool isSameOutage = lostAt && returnedAt > lostAt;
    onStoreAnswered(name, isSameOutage ? *returnedAt : confirmedAt);
}

void ChangeTimes::onStoreReturned(ObjectKind kind, base::Duration at)
{
    endOutage(m_kinds[kind], at, base::Duration::max());
}

void ChangeTimes::endOutage(Kind &kind, base::Duration returnedAt, base::Duration outage)
{
    if (!kind.storeReturnedAt || returnedAt >= *kind.storeReturnedAt) {
        kind.storeReturnedAt = returnedAt;
        kind.outage = outage;
    }
}

std::optional<base::Duration> ChangeTimes::storeLostAt(ObjectKind kind) const
{
    const auto it = m_kinds.find(kind);
    return it == m_kinds.end() ? std::nullopt : it->second.storeLostAt;
}

std::optional<base::Duration> ChangeTimes::storeReturnedAt(ObjectKind kind) const
{
    const auto it = m_kinds.find(kind);
    return it == m_kinds.end() ? std::nullopt : it->second.storeReturnedAt;
}

std::optional<base::Duration> ChangeTimes::outageDuration(ObjectKind kind) const
{
    const auto it = m_kinds.find(kind);
    return it == m_kinds.end() || !it->second.storeReturnedAt ? std::nullopt : std::optional(it->second.outage);
}

} // namespace carawaylatch::gateway
