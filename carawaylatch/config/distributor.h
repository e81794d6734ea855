// Distribution of committed configurations to every router. Each router runs one
// Distributor, a state machine without I/O that belongs to the control thread.
//
// Only greater revisions are applied, so a configuration never reverts, in whatever
// order and from whichever peer updates arrive:
//
//   - The first few routers of each failure domain, by rank, watch the platform's
//     head object (StartWatch, StopWatch).
//   - Edits are forwarded along a tree by rank within the domain (SendUpdate).
//   - Heartbeats carry revisions; a router that receives a greater one requests the
//     missing edits from the sender (SendRequest). Lost messages, network partitions
//     and dead inner nodes of the tree therefore delay edits but don't lose them.
//   - A gap that starts before the oldest edit kept is filled with a full snapshot.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/config/head.h"
#include "carawaylatch/config/tables.h"

namespace carawaylatch::config
{

struct DistributorOptions
{
    base::RouterId self;
    base::FailureDomain domain;
    std::uint32_t watchers = 2; // of each failure domain
    std::uint32_t fanOut = 8; // children of a node of the tree
    std::size_t maxEdits = 512; // kept for peers; older gaps are filled with a snapshot
    base::Duration requestInterval = base::milliseconds{300}; // minimum time between requests for the same gap
};

// A router that may be a watcher or a node of the tree.
struct DistributionPeer
{
    base::RouterId id;
    base::FailureDomain domain;

    bool operator==(const DistributionPeer &) const = default;
};

// Edits with contiguous revisions, or a full configuration if the edits are no longer kept.
struct ConfigUpdate
{
    std::vector<Edit> edits;
    std::shared_ptr<const RowSet> snapshot; // nullptr if the update carries edits
};

// Requests everything newer than a revision from a peer.
struct ConfigRequest
{
    base::Revision after;
};

struct SendUpdate
{
    base::RouterId to;
    ConfigUpdate update;
};

struct SendRequest
{
    base::RouterId to;
    ConfigRequest request;
};

// Read and watch the head object, and report each configuration with onStoredConfig().
struct StartWatch
{
};

struct StopWatch
{
};

// A greater revision is in force. If this version can't parse its rows, `tables` is
// nullptr and `problem` is the reason; the previous tables then stay in force.
struct ConfigInForce
{
    base::Revision revision;
    std::shared_ptr<const RowSet> rows;
    std::shared_ptr<const Tables> tables;
    std::string problem;
};

using DistributorAction = std::variant<SendUpdate, SendRequest, StartWatch, StopWatch, ConfigInForce>;

class Distributor
{
public:
    explicit Distributor(DistributorOptions options);

    // Sets the live routers, this one included. Call whenever they change.
    void onMembers(std::span<const DistributionPeer> members);
    // Reports the configuration as read from the platform.
    void onStoredConfig(const Head &head, const RowSet &rows);
    // Handles an update from a peer.
    void onUpdate(const base::RouterId &from, const ConfigUpdate &update, base::TimePoint now);
    // Handles a peer's request for everything newer than its revision.
    void onRequest(const base::RouterId &from, const ConfigRequest &request);
    // Reports a peer's revision, from a heartbeat or any other message.
    void onPeerRevision(const base::RouterId &peer, base::Revision revision, base::TimePoint now);

    // Returns the actions since the last call, in the order to execute them.
    [[nodiscard]] std::vector<DistributorAction> takeActions();
    // Returns the revision in force, zero before the first.
    [[nodiscard]] base::Revision revision() const;
    [[nodiscard]] std::shared_ptr<const RowSet> rows() const;
    [[nodiscard]] bool isWatcher() const;
    // Returns the routers to which this one forwards edits.
    [[nodiscard]] std::span<const base::RouterId> children() const;

private:
    [[nodiscard]] bool applyNextEdits(std::span<const Edit> edits);
    [[nodiscard]] bool replaceRows(std::shared_ptr<const RowSet> rows);
    void publish();
    void forwardToChildren(base::Revision after, const base::RouterId *from);
    [[nodiscard]] std::optional<ConfigUpdate> updateAfter(base::Revision revision) const;

    DistributorOptions m_options;
    std::shared_ptr<const RowSet> m_rows; // never nullptr; its revision only increases
    std::shared_ptr<const Tables> m_tables; // nullptr before the first
    std::deque<Edit> m_edits; // contiguous revisions, the last is m_rows->revision
    std::vector<base::RouterId> m_children;
    bool m_isWatcher = false;
    base::Revision m_requestedRevision; // the greatest revision requested so far
    base::TimePoint m_requestedAt;
    std::vector<DistributorAction> m_actions;
};

} // namespace carawaylatch::config
