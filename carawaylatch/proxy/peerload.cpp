// Sums are changed by the difference between a peer's former and present figures.
#include "carawaylatch/proxy/peerload.h"

#include <vector>

namespace carawaylatch::proxy
{

bool PeerWork::apply(const LoadReport &report, base::TimePoint now)
{
    auto it = m_peers.find(report.sender);
    if (it == m_peers.end() || it->second.life != report.life) {
        if (!report.isWhole || (it == m_peers.end() && m_peers.size() >= MaxPeers)) {
            return false;
        }
        it = m_peers.try_emplace(report.sender).first;
    }
    Peer &peer = it->second;
    if (report.isWhole) {
        forget(peer);
    }
    peer.life = report.life;
    peer.heardAt = now;
    for (const UpstreamWork &work : report.work) {
        set(peer, work);
    }
    return true;
}

std::size_t PeerWork::expire(base::TimePoint now)
{
    std::size_t forgotten = 0;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.heardAt <= PeerLife) {
            ++it;
            continue;
        }
        forget(it->second);
        it = m_peers.erase(it);
        ++forgotten;
    }
    return forgotten;
}

UpstreamWork PeerWork::at(std::uint64_t upstream) const
{
    const auto it = m_sums.find(upstream);
    return it == m_sums.end() ? UpstreamWork{} : it->second;
}

std::size_t PeerWork::peers() const
{
    return m_peers.size();
}

void PeerWork::set(Peer &peer, const UpstreamWork &work)
{
    UpstreamWork &former = peer.work[work.upstream];
    UpstreamWork &sum = m_sums[work.upstream];
    // Unsigned differences wrap back: the sum holds the former figure.
    sum.requests += work.requests - former.requests;
    sum.unreadTokens += work.unreadTokens - former.unreadTokens;
    sum.memoryTokens += work.memoryTokens - former.memoryTokens;
    former = work;
    const auto isNothing = [](const UpstreamWork &it) {
        return it.requests == 0 && it.unreadTokens == 0 && it.memoryTokens == 0;
    };
    if (isNothing(sum)) {
        m_sums.erase(work.upstream);
    }
    if (isNothing(former)) {
        peer.work.erase(work.upstream);
    }
}

void PeerWork::forget(Peer &peer)
{
    std::vector<std::uint64_t> upstreams;
    for (const auto &[upstream, work] : peer.work) {
        upstreams.push_back(upstream);
    }
    for (const std::uint64_t upstream : upstreams) {
        set(peer, UpstreamWork{upstream});
    }
}

} // namespace carawaylatch::proxy
