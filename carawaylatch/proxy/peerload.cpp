// Sums are updated by the difference between a peer's previous and new values.
#include "carawaylatch/proxy/peerload.h"

#include <algorithm>
#include <vector>

namespace carawaylatch::proxy
{

bool PeerLoad::apply(const LoadReport &report, base::TimePoint now)
{
    auto it = m_peers.find(report.sender);
    if (it == m_peers.end() || it->second.incarnation != report.incarnation) {
        if (!report.isFullReport || (it == m_peers.end() && m_peers.size() >= MaxPeers)) {
            return false;
        }
        it = m_peers.try_emplace(report.sender).first;
    }
    Peer &peer = it->second;
    if (report.isFullReport) {
        removeLoad(peer);
    }
    peer.incarnation = report.incarnation;
    peer.lastReportAt = now;
    for (const PeerUpstreamLoad &load : report.loads) {
        set(peer, load);
    }
    return true;
}

std::size_t PeerLoad::expire(base::TimePoint now)
{
    std::size_t forgotten = 0;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.lastReportAt <= PeerTimeout) {
            ++it;
            continue;
        }
        removeLoad(it->second);
        it = m_peers.erase(it);
        ++forgotten;
    }
    return forgotten;
}

PeerUpstreamLoad PeerLoad::at(std::uint64_t upstream) const
{
    const auto it = m_sums.find(upstream);
    return it == m_sums.end() ? PeerUpstreamLoad{} : it->second;
}

PeerLoad::AtLeast PeerLoad::atLeast(std::uint64_t upstream, const AtLeast &each) const
{
    AtLeast sum;
    for (const auto &[sender, peer] : m_peers) {
        const auto it = peer.loads.find(upstream);
        const PeerUpstreamLoad load = it != peer.loads.end() ? it->second : PeerUpstreamLoad{};
        sum.requests += std::max(each.requests, static_cast<double>(load.requests));
        sum.memoryTokens += std::max(each.memoryTokens, static_cast<double>(load.memoryTokens));
    }
    return sum;
}

std::size_t PeerLoad::peers() const
{
    return m_peers.size();
}

void PeerLoad::set(Peer &peer, const PeerUpstreamLoad &load)
{
    PeerUpstreamLoad &former = peer.loads[load.upstream];
    PeerUpstreamLoad &sum = m_sums[load.upstream];
    // The unsigned differences may wrap, but the sums don't: they include the previous values.
    sum.requests += load.requests - former.requests;
    sum.prefillTokens += load.prefillTokens - former.prefillTokens;
    sum.memoryTokens += load.memoryTokens - former.memoryTokens;
    former = load;
    const auto isZero = [](const PeerUpstreamLoad &it) {
        return it.requests == 0 && it.prefillTokens == 0 && it.memoryTokens == 0;
    };
    if (isZero(sum)) {
        m_sums.erase(load.upstream);
    }
    if (isZero(former)) {
        peer.loads.erase(load.upstream);
    }
}

void PeerLoad::removeLoad(Peer &peer)
{
    std::vector<std::uint64_t> upstreams;
    for (const auto &[upstream, load] : peer.loads) {
        upstreams.push_back(upstream);
    }
    for (const std::uint64_t upstream : upstreams) {
        set(peer, PeerUpstreamLoad{upstream});
    }
}

} // namespace carawaylatch::proxy
