// The rendezvous order has one fixed key: it ranks routers, not keys.
#include "carawaylatch/gateway/readerchoice.h"

#include <algorithm>
#include <utility>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::gateway
{

ReaderChoice::ReaderChoice(base::Endpoint self, ReaderSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

void ReaderChoice::setRouters(std::span<const base::Endpoint> routers)
{
    const std::uint64_t key = base::hash64("store readers");
    std::vector<std::pair<std::uint64_t, base::Endpoint>> ranked;
    for (const base::Endpoint &router : routers) {
        ranked.emplace_back(base::rendezvousWeight(key, config::formatEndpoint(router)), router);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    m_hasRouters = true;
    m_order.clear();
    for (auto &[weight, router] : ranked) {
        m_order.push_back(std::move(router));
    }
    std::erase_if(m_failures, [this](const auto &it) {
        return std::find(m_order.begin(), m_order.end(), it.first) == m_order.end();
    });
}

std::size_t ReaderChoice::rankOf(const base::Endpoint &router) const
{
    return static_cast<std::size_t>(std::find(m_order.begin(), m_order.end(), router) - m_order.begin());
}

const ReaderChoice::Failure *ReaderChoice::failureOf(const base::Endpoint &router, base::TimePoint now) const
{
    const auto it = m_failures.find(router);
    return it != m_failures.end() && now < it->second.until ? &it->second : nullptr;
}

bool ReaderChoice::isAmongFirst() const
{
    return m_self.port == 0 || m_settings.perDomain == 0 || (m_hasRouters && rankOf(m_self) < m_settings.perDomain);
}

std::optional<base::Endpoint> ReaderChoice::reader(base::TimePoint now) const
{
    const std::size_t rank = rankOf(m_self);
    if (m_self.port == 0 || rank < m_settings.perDomain) {
        return std::nullopt;
    }
    std::vector<base::Endpoint> readers;
    for (std::size_t i = 0; i < m_settings.perDomain; ++i) {
        if (failureOf(m_order[i], now) == nullptr) {
            readers.push_back(m_order[i]);
        }
    }
    if (readers.empty()) {
        // The next ones that are reachable. Those that answer but don't serve keep their place, as the routers behind
        // them know no more of the first ones than they do.
        std::size_t reachable = 0;
        for (std::size_t i = m_settings.perDomain; i < rank && reachable < m_settings.perDomain; ++i) {
            const Failure *failure = failureOf(m_order[i], now);
            if (failure == nullptr) {
                readers.push_back(m_order[i]);
            }
            reachable += failure == nullptr || !failure->isUnreachable ? 1 : 0;
        }
        // A router before which fewer than perDomain others stand is itself a reader.
        if (reachable < m_settings.perDomain || readers.empty()) {
            return std::nullopt;
        }
    }
    return readers[base::hash64(config::formatEndpoint(m_self)) % readers.size()];
}

void ReaderChoice::onFailed(const base::Endpoint &reader, base::TimePoint now, ReaderFailure reason, ObjectKind kind)
{
    std::erase_if(m_behind, [&reader](const auto &it) {
        return it.second == reader;
    });
    Failure &failure = m_failures[reader];
    const bool isUnreachable = reason == ReaderFailure::Unreachable;
    if (now < failure.until) {
        return; // several calls failed together, or the others were interrupted because of the first
    }
    const bool isFirst = failure.backoff == base::Duration{};
    failure.backoff = isFirst || !isUnreachable ? m_settings.minBackoff : std::min<base::Duration>(failure.backoff * 2, m_settings.maxBackoff);
    failure.since = now;
    failure.until = now + failure.backoff;
    failure.isUnreachable = isUnreachable;
    failure.kind = kind;
}

void ReaderChoice::onNotReader(const base::Endpoint &router, base::TimePoint now, ObjectKind kind)
{
    onFailed(router, now, ReaderFailure::NotServing, kind);
    if (rankOf(router) < m_settings.perDomain) {
        return;
    }
    // One of the first ones works for that router, so they are tried before their long times end.
    for (auto &[endpoint, failure] : m_failures) {
        if (rankOf(endpoint) < m_settings.perDomain) {
            failure.until = std::min(failure.until, failure.since + m_settings.minBackoff);
        }
    }
}

void ReaderChoice::onBehind(const base::Endpoint &reader, base::TimePoint now, ObjectKind kind)
{
    const auto [it, isNew] = m_behind.try_emplace(kind, reader);
    if (isNew || it->second != reader) {
        it->second = reader;
        return;
    }
    m_behind.erase(it);
    onFailed(reader, now, ReaderFailure::NotServing, kind);
}

void ReaderChoice::onStoreRegained()
{
    std::erase_if(m_failures, [](const auto &it) {
        return !it.second.isUnreachable;
    });
}

// Polls of other kinds may be answered by a reader that does not serve this one.
void ReaderChoice::onAnswered(const base::Endpoint &reader, ObjectKind kind)
{
    if (const auto behind = m_behind.find(kind); behind != m_behind.end() && behind->second == reader) {
        m_behind.erase(behind);
    }
    const auto it = m_failures.find(reader);
    if (it != m_failures.end() && (it->second.isUnreachable || it->second.kind == kind)) {
        m_failures.erase(it);
    }
}

} // namespace carawaylatch::gateway
