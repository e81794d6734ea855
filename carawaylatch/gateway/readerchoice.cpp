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
    m_order.clear();
    for (auto &[weight, router] : ranked) {
        m_order.push_back(std::move(router));
    }
    std::erase_if(m_failures, [this](const auto &it) {
        return std::find(m_order.begin(), m_order.end(), it.first) == m_order.end();
    });
}

std::optional<base::Endpoint> ReaderChoice::reader(base::TimePoint now) const
{
    if (m_self.port == 0) {
        return std::nullopt;
    }
    std::vector<base::Endpoint> readers;
    for (const base::Endpoint &router : m_order) {
        const auto failure = m_failures.find(router);
        if (readers.size() == m_settings.perDomain || router == m_self) {
            break;
        }
        if (failure == m_failures.end() || now >= failure->second.until) {
            readers.push_back(router);
        }
    }
    // A router before which fewer than perDomain others stand is itself a reader.
    if (readers.size() < m_settings.perDomain || readers.empty()) {
        return std::nullopt;
    }
    return readers[base::hash64(config::formatEndpoint(m_self)) % readers.size()];
}

void ReaderChoice::onFailed(const base::Endpoint &reader, base::TimePoint now)
{
    Failure &failure = m_failures[reader];
    if (now < failure.until) {
        return; // several calls failed together
    }
    failure.backoff = failure.backoff == base::Duration{} ? m_settings.minBackoff : std::min<base::Duration>(failure.backoff * 2, m_settings.maxBackoff);
    failure.until = now + failure.backoff;
}

void ReaderChoice::onAnswered(const base::Endpoint &reader)
{
    m_failures.erase(reader);
}

} // namespace carawaylatch::gateway
