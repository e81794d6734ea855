// Merging of upstreamnotices.h.
#include "carawaylatch/proxy/upstreamnotices.h"

#include <algorithm>

namespace carawaylatch::proxy
{

UpstreamNotices::UpstreamNotices(base::Duration maxAge, base::Duration refreshInterval)
    : m_maxAge(maxAge)
    , m_refreshInterval(refreshInterval)
{
}

const KnownNotice *UpstreamNotices::find(const UpstreamKey &upstream) const
{
    if (m_known.empty()) {
        return nullptr;
    }
    const auto it = m_known.find(upstream.idHash);
    return it != m_known.end() && it->second.startTimeMs == upstream.startTimeMs ? &it->second : nullptr;
}

KnownNotice &UpstreamNotices::findOrAdd(const UpstreamKey &upstream)
{
    if (m_known.size() >= MaxReportedNotices && !m_known.contains(upstream.idHash)) {
        m_known.erase(std::min_element(m_known.begin(), m_known.end(), [](const auto &left, const auto &right) {
            return left.second.refreshedAt < right.second.refreshedAt;
        }));
    }
    KnownNotice &known = m_known[upstream.idHash];
    if (known.startTimeMs != upstream.startTimeMs) {
        known = KnownNotice{};
        known.startTimeMs = upstream.startTimeMs;
    }
    return known;
}

void UpstreamNotices::removeOutdated(base::TimePoint now)
{
    std::erase_if(m_known, [this, now](const auto &it) {
        return now - it.second.refreshedAt >= m_maxAge;
    });
}

void UpstreamNotices::set(KnownNotice &known, std::uint32_t generation, std::uint32_t value, base::TimePoint now)
{
    if (known.value == 0) {
        known.begunAt = now;
    }
    known.generation = generation;
    known.value = value;
    known.namedAt = now;
    known.refreshedAt = now;
    known.isReported = false;
}

void UpstreamNotices::refresh(KnownNotice &known, base::TimePoint now) const
{
    known.namedAt = now;
    if (now - known.refreshedAt >= m_refreshInterval) {
        known.refreshedAt = now;
        known.isReported = false;
    }
}

bool UpstreamNotices::observe(const UpstreamKey &upstream, std::uint32_t value, base::TimePoint sentAt, base::TimePoint now)
{
    if (value == 0) {
        const KnownNotice *known = find(upstream);
        // An answer without a number may be older than one that named it, unless its request was sent afterwards.
        const bool hasEnded = known != nullptr && known->value > 0 && sentAt > known->namedAt;
        if (hasEnded) {
            set(findOrAdd(upstream), known->generation + 1, 0, now);
        }
        return hasEnded;
    }
    KnownNotice &known = findOrAdd(upstream);
    if (known.value == value) {
        refresh(known, now);
        return false;
    }
    set(known, known.generation + 1, value, now);
    return true;
}

bool UpstreamNotices::apply(const UpstreamNotice &notice, base::TimePoint now)
{
    const auto it = m_known.find(notice.upstream);
    if (it != m_known.end() && it->second.startTimeMs > notice.startTimeMs) {
        return false;
    }
    KnownNotice &known = findOrAdd({notice.upstream, notice.startTimeMs});
    if (notice.generation < known.generation) {
        known.isReported = false; // the sender has missed the change
        return false;
    }
    const bool isSame = notice.value == known.value;
    if (notice.generation == known.generation) {
        if (isSame) {
            refresh(known, now);
            return false;
        }
        // Seen by two routers at the same time.
        const bool isSafer = known.value == 0 || (notice.value > 0 && notice.value < known.value);
        if (!isSafer) {
            known.isReported = false;
            return false;
        }
    }
    set(known, notice.generation, notice.value, now);
    return !isSame;
}

void UpstreamNotices::onListed(const UpstreamKey &upstream)
{
    const auto it = m_known.find(upstream.idHash);
    if (it != m_known.end() && it->second.startTimeMs < upstream.startTimeMs) {
        m_known.erase(it);
    }
}

std::uint32_t UpstreamNotices::value(const UpstreamKey &upstream) const
{
    const KnownNotice *known = find(upstream);
    return known != nullptr ? known->value : 0;
}

bool UpstreamNotices::knows(std::uint64_t idHash) const
{
    return m_known.contains(idHash);
}

bool UpstreamNotices::isEmpty() const
{
    return m_known.empty();
}

std::size_t UpstreamNotices::size() const
{
    return static_cast<std::size_t>(std::count_if(m_known.begin(), m_known.end(), [](const auto &it) {
        return it.second.value > 0;
    }));
}

UpstreamNotice UpstreamNotices::noticeOf(std::uint64_t idHash, const KnownNotice &known)
{
    return {idHash, known.startTimeMs, known.generation, known.value};
}

std::vector<UpstreamNotice> UpstreamNotices::takeChanges()
{
    std::vector<UpstreamNotice> out;
    for (auto &[idHash, known] : m_known) {
        if (!known.isReported) {
            known.isReported = true;
            out.push_back(noticeOf(idHash, known));
        }
    }
    return out;
}

std::vector<UpstreamNotice> UpstreamNotices::all() const
{
    std::vector<UpstreamNotice> out;
    for (const auto &[idHash, known] : m_known) {
        out.push_back(noticeOf(idHash, known));
    }
    return out;
}

} // namespace carawaylatch::proxy
