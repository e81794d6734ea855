// Finds out whether this router is cut off from the upstreams of a pool.
//
// A state machine of the traffic thread without I/O. The evidence is the outcome of connections,
// since an upstream that is busy or suspended still accepts them. A pool is suspected as soon as a
// connection fails or takes long, all outstanding requests have become silent, or another pool is cut off;
// then advance() names upstreams to probe by a connection without a request. One success ends the
// suspicion. The pool is cut off once several different upstreams, or all of a small pool, have
// failed without a success in between. It is reached again when probes of several upstreams succeed.
//
// Whether another router reaches the pool is a different question, see PeerRouters.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/fleet.h"

namespace carawaylatch::proxy
{

struct ReachChange
{
    base::PoolName pool;
    bool isCut = false;
    base::TimePoint since; // last connection that succeeded before the cut, or the first evidence of it
    std::size_t tried = 0; // upstreams that failed since
};

class Reachability
{
public:
    static constexpr base::Duration ProbeTimeout = base::milliseconds{300}; // many round trips between failure domains

    // Takes over the upstreams of the view, each in its pool.
    void adopt(const FleetView &view, base::TimePoint now);

    // A connection is begun, and its outcome. Upstreams that are not in the view are ignored.
    void onConnecting(const base::UpstreamId &upstream, base::TimePoint now);
    void onConnected(const base::UpstreamId &upstream, base::TimePoint now);
    void onConnectFailed(const base::UpstreamId &upstream, base::TimePoint now);
    // The connection was given up without an outcome.
    void onConnectAbandoned(const base::UpstreamId &upstream);
    // All outstanding requests at the pool have been silent for SuspiciousSilence.
    void onSilence(const base::PoolName &pool, base::TimePoint now);
    // Returns the upstreams to probe now.
    [[nodiscard]] std::vector<base::UpstreamId> advance(base::TimePoint now);
    // Verdicts that have changed since the last call.
    [[nodiscard]] std::vector<ReachChange> takeChanges();

    [[nodiscard]] bool isCut(const base::PoolName &pool) const;
    // When the pool was found to be cut off; nothing if it is not.
    [[nodiscard]] std::optional<base::TimePoint> cutAt(const base::PoolName &pool) const;
    [[nodiscard]] std::vector<base::PoolName> cutPools() const;
    // True if there are pools, and all of them are cut off.
    [[nodiscard]] bool isCutFromAll() const;
    // True if the pool of the upstream is suspected or cut off.
    [[nodiscard]] bool isSuspected(const base::UpstreamId &upstream) const;
    // Share of the requests that this router may send itself; grows to one over ResumeTime after a cut.
    [[nodiscard]] double resumedShare(const base::PoolName &pool, base::TimePoint now) const;

    static constexpr base::Duration SuspiciousSilence = base::milliseconds{300}; // longer than most pauses of an upstream

private:
    struct Member
    {
        base::PoolName pool;
        std::uint32_t connecting = 0; // connections without an outcome
        base::TimePoint connectingSince; // of the first of them
        base::TimePoint probedAt;
        base::TimePoint reachedAt;
        base::TimePoint failedAt;
        bool isListed = false;
    };
    struct PoolState
    {
        std::vector<Member *> members; // listed
        base::TimePoint reachedAt; // last connection that succeeded, or adoption of the pool
        std::optional<base::TimePoint> suspectedSince;
        bool isCut = false;
        base::TimePoint cutAt;
        std::optional<base::TimePoint> resumedAt;
        base::TimePoint nextProbeAt;
        base::TimePoint silenceRefutedAt;
    };

    // The state of a listed upstream's pool, or nullptr.
    [[nodiscard]] PoolState *poolOf(const Member &member);
    [[nodiscard]] Member *find(const base::UpstreamId &upstream);
    static void suspect(PoolState &pool, base::TimePoint now);
    void judge(const base::PoolName &name, PoolState &pool, base::TimePoint now);
    [[nodiscard]] static std::size_t failedMembers(const PoolState &pool);

    std::map<base::UpstreamId, Member> m_members; // std::map, because pools point to members
    std::map<base::PoolName, PoolState> m_pools;
    std::vector<ReachChange> m_changes;
};

} // namespace carawaylatch::proxy
