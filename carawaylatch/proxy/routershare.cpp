// Rendezvous order of routershare.h.
#include "carawaylatch/proxy/routershare.h"

#include <algorithm>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr std::size_t MaxRanks = 4096; // of ended upstreams too, until the fleet changes

} // namespace

bool RouterShare::setRouters(std::span<const base::Endpoint> routers, const base::Endpoint &self, std::uint32_t count)
{
    if (count == m_count && std::equal(routers.begin(), routers.end(), m_fleet.begin(), m_fleet.end())) {
        return false;
    }
    m_fleet.assign(routers.begin(), routers.end());
    m_count = count;
    m_others.clear();
    m_ranks.clear();
    for (const base::Endpoint &router : routers) {
        if (router != self) {
            m_others.push_back(base::hash64(config::formatEndpoint(router)));
        }
    }
    m_self = base::hash64(config::formatEndpoint(self));
    const auto known = static_cast<std::uint32_t>(m_others.size() + 1);
    if (known < count) {
        m_others.clear();
    }
    m_routers = std::max(known, count);
    return true;
}

std::uint32_t RouterShare::routers() const
{
    return m_routers;
}

bool RouterShare::areAllKnown() const
{
    return m_others.size() + 1 == m_routers;
}

std::uint32_t RouterShare::routersBefore(std::uint64_t upstream) const
{
    if (const auto it = m_ranks.find(upstream); it != m_ranks.end()) {
        return it->second;
    }
    if (m_ranks.size() >= MaxRanks) {
        m_ranks.clear();
    }
    const auto isBefore = [upstream, own = base::combineHashes(upstream, m_self)](std::uint64_t router) {
        return base::combineHashes(upstream, router) > own;
    };
    const auto rank = static_cast<std::uint32_t>(std::count_if(m_others.begin(), m_others.end(), isBefore));
    m_ranks.emplace(upstream, rank);
    return rank;
}

std::uint32_t RouterShare::rank(std::uint64_t upstream) const
{
    return areAllKnown() ? routersBefore(upstream) : m_routers - 1;
}

std::uint32_t RouterShare::rankFromEnd(std::uint64_t upstream) const
{
    return m_routers - 1 - (areAllKnown() ? routersBefore(upstream) : 0);
}

} // namespace carawaylatch::proxy
