// Evidence and verdicts of reachability.h.
#include "carawaylatch/proxy/reachability.h"

#include <algorithm>
#include <utility>

namespace carawaylatch::proxy
{

namespace
{

constexpr std::size_t MinFailures = 4; // different upstreams that fail before the verdict; all of a smaller pool
constexpr std::size_t MinSuccesses = 2; // different upstreams that are reached before a cut counts as over
constexpr base::Duration SuspiciousConnectTime = base::milliseconds{100}; // several round trips between failure domains
constexpr base::Duration ProbeInterval = base::milliseconds{50}; // between probes of a pool; twice that once it is cut off
constexpr std::size_t ProbesAtOnce = 2; // begun in one interval
constexpr base::Duration SuccessWindow = base::milliseconds{500}; // in which the successes must fall
constexpr base::Duration SilenceDelay = base::milliseconds{500}; // after a success, before silence counts again
constexpr base::Duration ResumeTime = base::seconds{1};

} // namespace

void Reachability::adopt(const FleetView &view, base::TimePoint now)
{
    for (auto &[id, member] : m_members) {
        member.isListed = false;
    }
    for (auto &[name, pool] : m_pools) {
        pool.members.clear();
    }
    for (const Upstream &upstream : view.upstreams) {
        Member &member = m_members[upstream.id];
        member.pool = upstream.pool;
        member.isListed = true;
        auto [it, isNew] = m_pools.try_emplace(upstream.pool);
        if (isNew) {
            it->second.reachedAt = now;
        }
        it->second.members.push_back(&member);
    }
    std::erase_if(m_members, [](const auto &it) {
        return !it.second.isListed;
    });
    std::erase_if(m_pools, [](const auto &it) {
        return it.second.members.empty();
    });
}

Reachability::Member *Reachability::find(const base::UpstreamId &upstream)
{
    const auto it = m_members.find(upstream);
    return it == m_members.end() ? nullptr : &it->second;
}

Reachability::PoolState *Reachability::poolOf(const Member &member)
{
    const auto it = m_pools.find(member.pool);
    return it == m_pools.end() ? nullptr : &it->second;
}

void Reachability::suspect(PoolState &pool, base::TimePoint now)
{
    if (!pool.suspectedSince) {
        pool.suspectedSince = now;
        pool.nextProbeAt = now;
    }
}

void Reachability::onConnecting(const base::UpstreamId &upstream, base::TimePoint now)
{
    Member *member = find(upstream);
    if (member != nullptr && member->connecting++ == 0) {
        member->connectingSince = now;
    }
}

void Reachability::onConnectAbandoned(const base::UpstreamId &upstream)
{
    Member *member = find(upstream);
    if (member != nullptr && member->connecting > 0) {
        --member->connecting;
    }
}

void Reachability::onConnected(const base::UpstreamId &upstream, base::TimePoint now)
{
    onConnectAbandoned(upstream);
    Member *member = find(upstream);
    if (member == nullptr) {
        return;
    }
    PoolState &pool = *poolOf(*member);
    member->reachedAt = now;
    pool.reachedAt = now;
    pool.silenceRefutedAt = now;
    if (!pool.isCut) {
        pool.suspectedSince.reset();
        return;
    }
    const auto reached = static_cast<std::size_t>(std::count_if(pool.members.begin(), pool.members.end(), [now, &pool](const Member *it) {
        return it->reachedAt > pool.cutAt && now - it->reachedAt < SuccessWindow;
    }));
    if (reached >= std::min(MinSuccesses, pool.members.size())) {
        m_changes.push_back({member->pool, false, pool.cutAt, 0});
        pool.isCut = false;
        pool.suspectedSince.reset();
        pool.resumedAt = now;
    }
}

void Reachability::onConnectFailed(const base::UpstreamId &upstream, base::TimePoint now)
{
    onConnectAbandoned(upstream);
    Member *member = find(upstream);
    if (member == nullptr) {
        return;
    }
    PoolState &pool = *poolOf(*member);
    member->failedAt = now;
    suspect(pool, now);
    judge(member->pool, pool, now);
}

void Reachability::onSilence(const base::PoolName &name, base::TimePoint now)
{
    const auto it = m_pools.find(name);
    if (it != m_pools.end() && now - it->second.silenceRefutedAt > SilenceDelay) {
        suspect(it->second, now);
    }
}

std::size_t Reachability::failedMembers(const PoolState &pool)
{
    return static_cast<std::size_t>(std::count_if(pool.members.begin(), pool.members.end(), [&pool](const Member *it) {
        return it->failedAt > pool.reachedAt;
    }));
}

void Reachability::judge(const base::PoolName &name, PoolState &pool, base::TimePoint now)
{
    const std::size_t failed = failedMembers(pool);
    if (pool.isCut || failed < std::min(MinFailures, pool.members.size())) {
        return;
    }
    pool.isCut = true;
    pool.cutAt = now;
    pool.resumedAt.reset();
    m_changes.push_back({name, true, pool.suspectedSince.value_or(now), failed});
    for (auto &[otherName, other] : m_pools) {
        suspect(other, now); // the cause may be the same
    }
}

std::vector<base::UpstreamId> Reachability::advance(base::TimePoint now)
{
    std::map<base::PoolName, std::vector<std::pair<const base::UpstreamId *, Member *>>> candidates;
    for (auto &[id, member] : m_members) {
        PoolState &pool = *poolOf(member);
        if (member.connecting == 0) {
            candidates[member.pool].emplace_back(&id, &member);
            continue;
        }
        if (now - member.connectingSince > SuspiciousConnectTime && pool.reachedAt <= member.connectingSince) {
            suspect(pool, now);
        }
    }
    std::vector<base::UpstreamId> probes;
    for (auto &[name, pool] : m_pools) {
        if (!pool.suspectedSince || now < pool.nextProbeAt) {
            continue;
        }
        pool.nextProbeAt = now + ProbeInterval * (pool.isCut ? 2 : 1);
        auto &chosen = candidates[name];
        // Those that were not tried since the last success first, then the one that was tried longest ago.
        std::sort(chosen.begin(), chosen.end(), [](const auto &left, const auto &right) {
            return std::max(left.second->failedAt, left.second->probedAt) < std::max(right.second->failedAt, right.second->probedAt);
        });
        for (std::size_t i = 0; i < std::min(ProbesAtOnce, chosen.size()); ++i) {
            chosen[i].second->probedAt = now;
            probes.push_back(*chosen[i].first);
        }
    }
    return probes;
}

std::vector<ReachChange> Reachability::takeChanges()
{
    return std::exchange(m_changes, {});
}

bool Reachability::isCut(const base::PoolName &pool) const
{
    const auto it = m_pools.find(pool);
    return it != m_pools.end() && it->second.isCut;
}

std::optional<base::TimePoint> Reachability::cutAt(const base::PoolName &pool) const
{
    const auto it = m_pools.find(pool);
    return it != m_pools.end() && it->second.isCut ? std::optional(it->second.cutAt) : std::nullopt;
}

std::vector<base::PoolName> Reachability::cutPools() const
{
    std::vector<base::PoolName> out;
    for (const auto &[name, pool] : m_pools) {
        if (pool.isCut) {
            out.push_back(name);
        }
    }
    return out;
}

bool Reachability::isCutFromAll() const
{
    return !m_pools.empty() && std::all_of(m_pools.begin(), m_pools.end(), [](const auto &it) {
        return it.second.isCut;
    });
}

bool Reachability::isSuspected(const base::UpstreamId &upstream) const
{
    const auto member = m_members.find(upstream);
    if (member == m_members.end()) {
        return false;
    }
    const auto pool = m_pools.find(member->second.pool);
    return pool != m_pools.end() && pool->second.suspectedSince.has_value();
}

double Reachability::resumedShare(const base::PoolName &pool, base::TimePoint now) const
{
    const auto it = m_pools.find(pool);
    if (it == m_pools.end() || !it->second.resumedAt || now - *it->second.resumedAt >= ResumeTime) {
        return 1.0;
    }
    return base::toSeconds(now - *it->second.resumedAt) / base::toSeconds(ResumeTime);
}

} // namespace carawaylatch::proxy
