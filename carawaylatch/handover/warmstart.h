// The start of a router, as a state machine without I/O.
//
// It asks peers of its own failure domain, then others, then reads the platform's
// snapshot and configuration, and takes the greatest revision of all. The router
// is ready once it holds a configuration and an upstream answers.
//
//     WarmStart start(options, now);
//     start.onPeers(peers, now);
//     for (auto &it : start.takeActions()) ...   // SendSnapshotRequest, ReadPlatform, Load
//     start.readiness()                          // for /readyz and the log
//
// After an outage of everything the router waits and says why; it never takes a
// revision older than one it has seen.
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
    FindPeers, // wait for the first view of members
    QueryOwnDomain,
    QueryOtherDomains,
    QueryPlatform,
    Done, // hot state was loaded, or there is none
};
constexpr WarmStartStep AllWarmStartSteps[] = {WarmStartStep::FindPeers, WarmStartStep::QueryOwnDomain, WarmStartStep::QueryOtherDomains,
                                               WarmStartStep::QueryPlatform, WarmStartStep::Done};

struct WarmStartOptions
{
    base::FailureDomain domain;
    base::Duration findPeersTimeout = base::milliseconds{700}; // longest wait for members
    base::Duration ownDomainTimeout = base::seconds{1}; // longest wait for own domain's peers
    base::Duration otherDomainsTimeout = base::seconds{1};
    base::Duration platformRetryInterval = base::seconds{1};
    base::Duration partTimeout = base::milliseconds{400}; // until a part is asked for again
    base::Duration catchUpTimeout = base::seconds{2}; // longest wait for a greater revision that was seen
    std::uint32_t maxParallelTransfers = 2; // peers asked together
    std::uint64_t seed = 1; // of request numbers
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

// Load hot prefixes, lives, marks and floors; the configuration goes to the distributor.
struct LoadSnapshot
{
    Snapshot snapshot;
};

using WarmStartAction = std::variant<SendSnapshotRequest, ReadPlatform, LoadSnapshot>;

// Why the router can't serve yet.
enum class NotReadyReason {
    None, // ready
    NoConfiguration, // no peer and no platform gave one
    BehindPeers, // a live router has shown a greater revision since this one started
    NoUpstream, // none answers
    Stopping,
};

// Returns what is missing and what to look at, for /readyz and event RouterNotReady.
[[nodiscard]] std::string describeNotReady(NotReadyReason reason, std::string_view platformError);

class WarmStart
{
public:
    // Decodes an encoded snapshot; peer::decodeSnapshot in the daemon.
    using Decoder = std::function<base::Result<Snapshot>(std::string_view bytes)>;

    WarmStart(WarmStartOptions options, Decoder decoder, base::TimePoint now);

    // Live routers other than this one.
    void onPeers(std::span<const config::DistributionPeer> peers, base::TimePoint now);
    void onPart(const base::RouterId &from, const SnapshotPart &part, base::TimePoint now);
    // What the platform gave: a snapshot with the stored configuration in `rows`, or why not.
    void onPlatform(const base::Result<Snapshot> &result, base::TimePoint now);
    // Revision in force and number of upstreams that answer, whenever they change.
    void onStateChanged(base::Revision revision, std::size_t availableUpstreams);
    // The greatest revision that live routers show, whenever it grows.
    void onFleetRevision(base::Revision revision);
    void onStopping();
    void onTick(base::TimePoint now);

    [[nodiscard]] std::vector<WarmStartAction> takeActions();
    [[nodiscard]] WarmStartStep step() const;
    [[nodiscard]] NotReadyReason readiness() const;
    // Readiness as text; empty when ready.
    [[nodiscard]] std::string notReadyMessage() const;
    [[nodiscard]] base::TimePoint nextDeadline() const;

private:
    // A snapshot under way from one peer.
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
    std::set<base::RouterId> m_queried; // never asked twice
    std::map<base::RouterId, Transfer> m_transfers;
    Snapshot m_snapshot; // merged so far
    bool m_hasHotState = false;
    bool m_isPlatformReadPending = false; // an answer is due
    std::string m_platformError;
    base::Revision m_revision;
    base::Revision m_requiredRevision; // the revision to reach before the first readiness; fixed once done
    base::TimePoint m_catchUpDeadline;
    std::size_t m_availableUpstreams = 0;
    bool m_isStopping = false;
    std::vector<WarmStartAction> m_actions;
};

} // namespace carawaylatch::handover
