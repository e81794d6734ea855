// Warm start of a router, as a state machine without I/O.
//
// It requests snapshots from peers of its own failure domain, then from other peers,
// then reads the platform's snapshot and configuration, and uses the greatest
// revision found. The router is ready once it has a configuration that is not behind
// its peers' and an upstream is available.
//
//     WarmStart warmStart(options, decoder, now);
//     warmStart.onPeers(peers, now);
//     for (auto &it : warmStart.takeActions()) ...   // SendSnapshotRequest, ReadPlatform, LoadSnapshot
//     warmStart.readiness()                          // for /readyz and the log
//
// If neither a peer nor the platform has a configuration, the router stays not ready,
// reports why, and retries the platform. The revision never goes backwards.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/config/distributor.h"
#include "carawaylatch/handover/snapshot.h"

namespace carawaylatch::handover
{

enum class WarmStartStep {
    FindPeers, // waits for the first membership view
    QueryOwnDomain,
    QueryOtherDomains,
    QueryPlatform,
    Done, // a configuration was loaded, and hot state if there was any
};
constexpr WarmStartStep AllWarmStartSteps[] = {WarmStartStep::FindPeers, WarmStartStep::QueryOwnDomain, WarmStartStep::QueryOtherDomains,
                                               WarmStartStep::QueryPlatform, WarmStartStep::Done};

struct WarmStartOptions
{
    base::FailureDomain domain;
    base::Duration findPeersTimeout = base::milliseconds{700}; // for the first membership view
    base::Duration ownDomainTimeout = base::seconds{1}; // for snapshots from peers of the own domain
    base::Duration otherDomainsTimeout = base::seconds{1};
    base::Duration platformRetryInterval = base::seconds{1};
    base::Duration partTimeout = base::milliseconds{400}; // until a part is requested again
    base::Duration catchUpTimeout = base::seconds{2}; // for reaching the greatest revision that peers show, after Done
    std::uint32_t maxParallelTransfers = 2; // peers queried at the same time
    std::uint64_t seed = 1; // for random request numbers
};

struct SendSnapshotRequest
{
    base::RouterId peer;
    SnapshotRequest request;
};

// Read the stored configuration and the stored snapshot of the domain; report with onPlatform().
struct ReadPlatform
{
};

// Load hot prefixes, incarnations, marks and floors; the configuration goes to the distributor.
struct LoadSnapshot
{
    Snapshot snapshot;
};

using WarmStartAction = std::variant<SendSnapshotRequest, ReadPlatform, LoadSnapshot>;

// Why the router is not ready.
enum class NotReadyReason {
    None, // ready
    NoConfiguration, // neither a peer nor the platform provided one
    BehindPeers, // a live router showed a greater revision during the warm start
    NoUpstream, // no upstream is available
    Stopping,
};

// Describes what is missing and what to check, for /readyz and the event RouterNotReady.
[[nodiscard]] std::string describeNotReady(NotReadyReason reason, std::string_view platformError);

class WarmStart
{
public:
    // Decodes an encoded snapshot; the router uses peer::decodeSnapshot.
    using Decoder = std::function<base::Result<Snapshot>(std::string_view bytes)>;

    WarmStart(WarmStartOptions options, Decoder decoder, base::TimePoint now);

    // Live routers other than this one.
    void onPeers(std::span<const config::DistributionPeer> peers, base::TimePoint now);
    void onPart(const base::RouterId &from, const SnapshotPart &part, base::TimePoint now);
    // Result of ReadPlatform: the stored snapshot with the stored configuration in `rows`, or an error.
    void onPlatform(const base::Result<Snapshot> &result, base::TimePoint now);
    // Current configuration revision and number of available upstreams.
    void onStateChanged(base::Revision revision, std::size_t availableUpstreams);
    // The greatest revision that live routers show.
    void onFleetRevision(base::Revision revision);
    void onStopping();
    void onTick(base::TimePoint now);

    [[nodiscard]] std::vector<WarmStartAction> takeActions();
    [[nodiscard]] WarmStartStep step() const;
    [[nodiscard]] NotReadyReason readiness() const;
    // Describes why the router is not ready; empty when it is.
    [[nodiscard]] std::string notReadyMessage() const;
    [[nodiscard]] base::TimePoint nextDeadline() const;

private:
    // Transfer of a snapshot from one peer.
    struct Transfer
    {
        std::uint64_t request = 0;
        std::uint32_t parts = 0; // zero before the first part
        std::uint32_t nextPart = 0;
        std::uint64_t digest = 0;
        std::string bytes;
        base::TimePoint requestedAt;
        std::uint32_t retries = 0;
    };

    void enter(WarmStartStep step, base::TimePoint now);
    void startTransfers(base::TimePoint now);
    void requestPart(const base::RouterId &peer, Transfer &transfer, base::TimePoint now);
    void abandonTransfer(const base::RouterId &peer, base::TimePoint now);
    void completeTransfer(const base::RouterId &peer, base::TimePoint now);
    void finishStep(base::TimePoint now);
    [[nodiscard]] bool mayQuery(const config::DistributionPeer &peer) const;

    WarmStartOptions m_options;
    Decoder m_decoder;
    base::Random m_random;
    WarmStartStep m_step = WarmStartStep::FindPeers;
    base::TimePoint m_stepDeadline;
    std::vector<config::DistributionPeer> m_peers;
    std::set<base::RouterId> m_queried; // each peer is queried once
    std::map<base::RouterId, Transfer> m_transfers;
    Snapshot m_snapshot; // merged so far
    bool m_hasHotState = false;
    bool m_isPlatformReadPending = false; // waiting for onPlatform()
    std::string m_platformError;
    base::Revision m_revision;
    base::Revision m_requiredRevision; // to reach before the router first becomes ready; doesn't grow after Done
    base::TimePoint m_catchUpDeadline;
    std::size_t m_availableUpstreams = 0;
    bool m_isStopping = false;
    std::vector<WarmStartAction> m_actions;
};

} // namespace carawaylatch::handover
