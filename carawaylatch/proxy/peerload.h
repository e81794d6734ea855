// The work of other routers at each upstream, summed from their reports.
//
// A state machine of the traffic thread without I/O. A peer that was not heard of
// for PeerTimeout counts no more: it ended, or is cut off. Bounded by MaxPeers peers
// and the rows of their reports.
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
    static constexpr std::size_t MaxPeers = 64; // twice the peers that a router reports to
    static constexpr base::Duration PeerTimeout = base::milliseconds{1200}; // three missed signs of life

    // Takes a report. False for changes of a life that has told no whole state yet, or of one peer too many.
    bool apply(const LoadReport &report, base::TimePoint now);
    // Forgets peers that are silent; returns how many.
    std::size_t expire(base::TimePoint now);
    // Work of all peers at an upstream; zeros if there is none.
    [[nodiscard]] PeerUpstreamLoad at(std::uint64_t upstream) const;
    [[nodiscard]] std::size_t peers() const;

private:
    struct Peer
    {
        std::uint64_t incarnation = 0;
        base::TimePoint lastReportAt;
        std::unordered_map<std::uint64_t, PeerUpstreamLoad> loads; // by upstream; only those with work
    };

    void set(Peer &peer, const PeerUpstreamLoad &load);
    void removeLoad(Peer &peer);

    std::map<std::uint64_t, Peer> m_peers; // by sender
    std::unordered_map<std::uint64_t, PeerUpstreamLoad> m_sums; // of all peers' work; only upstreams with work
};

} // namespace carawaylatch::proxy
