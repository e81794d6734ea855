// Load of other routers at each upstream, summed over their reports.
//
// A state machine of the traffic thread without I/O. The load of a peer that has not
// reported for PeerTimeout is removed: the peer stopped or is unreachable. Memory is
// bounded by MaxPeers peers and the rows of their reports.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/loadreport.h"

namespace carawaylatch::proxy
{

class PeerLoad
{
public:
    static constexpr std::size_t MaxPeers = 64; // twice MaxReportPeers
    static constexpr base::Duration PeerTimeout = base::milliseconds{1200}; // three missed heartbeats

    // Applies a report. Returns false for changes of an incarnation that has sent no full report yet,
    // and for a peer beyond MaxPeers.
    bool apply(const LoadReport &report, base::TimePoint now);
    // Removes peers that have timed out; returns their number.
    std::size_t expire(base::TimePoint now);
    // Total load of all peers at an upstream.
    [[nodiscard]] PeerUpstreamLoad at(std::uint64_t upstream) const;
    [[nodiscard]] std::size_t peers() const;
    // The same sums, with each peer's requests and memory counted as these numbers if they are lower.
    struct AtLeast
    {
        double requests = 0;
        double memoryTokens = 0;
    };
    [[nodiscard]] AtLeast atLeast(std::uint64_t upstream, const AtLeast &each) const;

private:
    struct Peer
    {
        std::uint64_t incarnation = 0;
        base::TimePoint lastReportAt;
        std::unordered_map<std::uint64_t, PeerUpstreamLoad> loads; // by upstream; only those with load
    };

    void set(Peer &peer, const PeerUpstreamLoad &load);
    void removeLoad(Peer &peer);

    std::map<std::uint64_t, Peer> m_peers; // by sender
    std::unordered_map<std::uint64_t, PeerUpstreamLoad> m_sums; // of all peers, by upstream; only those with load
};

} // namespace carawaylatch::proxy
