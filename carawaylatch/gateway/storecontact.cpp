// A time and whether a watch is in flight, for each kind.
#include "carawaylatch/gateway/storecontact.h"

namespace carawaylatch::gateway
{

void StoreContact::onListed(ObjectKind kind, base::Duration sentAt)
{
    m_kinds[kind] = {false, sentAt};
}

void StoreContact::onWatchSent(ObjectKind kind)
{
    m_kinds[kind].isWatching = true;
}

void StoreContact::onWatchAnswered(ObjectKind kind, base::Duration now)
{
    onAnswered(now);
    m_kinds[kind] = {false, now};
}

void StoreContact::onWatchFailed(ObjectKind kind)
{
    m_kinds[kind].isWatching = false;
}

void StoreContact::onAnswered(base::Duration now)
{
    for (auto &[name, kind] : m_kinds) {
        if (kind.isWatching) {
            kind.toldUntil = now;
        }
    }
}

std::optional<base::Duration> StoreContact::toldUntil(ObjectKind kind) const
{
    const auto it = m_kinds.find(kind);
    return it == m_kinds.end() ? std::nullopt : it->second.toldUntil;
}

} // namespace carawaylatch::gateway
