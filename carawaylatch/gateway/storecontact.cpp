// A time and the watch in flight, for each kind.
#include "carawaylatch/gateway/storecontact.h"

#include <algorithm>

namespace carawaylatch::gateway
{

void StoreContact::onListed(ObjectKind kind, base::Duration sentAt)
{
    m_kinds[kind] = Kind{};
    m_kinds[kind].toldUntil = sentAt;
}

void StoreContact::onWatchSent(ObjectKind name, base::Duration now, base::Duration wait)
{
    Kind &kind = m_kinds[name];
    kind.isWatching = true;
    kind.isDoubtful = false;
    kind.sentAt = now;
    kind.dueAt = now + wait + MaxCallDelay;
}

void StoreContact::onWatchAnswered(ObjectKind name, base::Duration now)
{
    onAnswered(now);
    Kind &kind = m_kinds[name];
    kind.isWatching = false;
    kind.toldUntil = now;
}

void StoreContact::onWatchFailed(ObjectKind name, base::Duration now)
{
    Kind &failed = m_kinds[name];
    failed.isWatching = false;
    if (now < failed.dueAt) {
        return;
    }
    for (auto &[other, kind] : m_kinds) {
        if (kind.isWatching) {
            kind.isDoubtful = true;
            kind.toldUntil = std::min(kind.toldUntil, std::optional(failed.sentAt));
        }
    }
    failed.toldUntil = std::min(failed.toldUntil, std::optional(failed.sentAt));
}

void StoreContact::onAnswered(base::Duration now)
{
    for (auto &[name, kind] : m_kinds) {
        if (kind.isWatching && !kind.isDoubtful) {
            kind.toldUntil = now;
        }
    }
}

void StoreContact::onReaderTold(ObjectKind name, base::Duration until)
{
    Kind &kind = m_kinds[name];
    kind.toldByReaderUntil = std::max(kind.toldByReaderUntil, std::optional(until));
}

void StoreContact::onReaderDoubted(ObjectKind name, base::Duration until)
{
    Kind &kind = m_kinds[name];
    kind.toldByReaderUntil = std::min(kind.toldByReaderUntil, std::optional(until));
}

std::optional<base::Duration> StoreContact::silentSince(base::Duration now) const
{
    std::optional<base::Duration> since;
    for (const auto &[name, kind] : m_kinds) {
        if (kind.isWatching && now >= kind.dueAt) {
            since = std::min(since.value_or(kind.sentAt), kind.sentAt);
        }
    }
    return since;
}

std::optional<base::Duration> StoreContact::toldUntil(ObjectKind name, base::Duration now) const
{
    const auto it = m_kinds.find(name);
    if (it == m_kinds.end() || !it->second.toldUntil) {
        return std::nullopt;
    }
    const auto since = silentSince(now);
    return it->second.isWatching && since ? std::min(*it->second.toldUntil, *since) : it->second.toldUntil;
}

std::optional<base::Duration> StoreContact::knownUntil(ObjectKind name, base::Duration now) const
{
    const auto it = m_kinds.find(name);
    return it == m_kinds.end() ? std::nullopt : std::max(toldUntil(name, now), it->second.toldByReaderUntil);
}

bool StoreContact::isSilent(base::Duration now) const
{
    return silentSince(now).has_value();
}

std::vector<ObjectKind> StoreContact::doubtfulWatches() const
{
    return watchesInFlight([](const Kind &kind) {
        return kind.isDoubtful;
    });
}

std::vector<ObjectKind> StoreContact::watchesSentBefore(base::Duration time) const
{
    return watchesInFlight([time](const Kind &kind) {
        return kind.sentAt < time;
    });
}

template <typename Condition>
std::vector<ObjectKind> StoreContact::watchesInFlight(Condition condition) const
{
    std::vector<ObjectKind> out;
    for (const auto &[name, kind] : m_kinds) {
        if (kind.isWatching && condition(kind)) {
            out.push_back(name);
        }
    }
    return out;
}

} // namespace carawaylatch::gateway
