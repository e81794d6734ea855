// Distribution of accepted configurations to every router, one machine a router.
//
// The control thread owns it. Only greater revisions are ever applied, so nothing
// reverts, whatever order edits come in and from whom:
//
//   - A few routers of each failure domain, the first by rank, hold the watch on
//     the platform's head object (StartWatch, StopWatch).
//   - Edits go on along a tree by rank within the domain (SendEdits).
//   - Heartbeats carry revisions; a router that sees a greater one asks its sender
//     for the edits between (SendRequest). So losses, cuts and dead inner nodes of
//     the tree cost time, not edits.
//   - A gap too old for the edits kept is filled with the whole configuration.
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
    std::size_t maxEdits = 512; // kept for peers; older gaps are filled with the whole
    base::Duration requestInterval = base::milliseconds{300}; // between requests for the same gap
};

// A router that may serve as watcher or as parent in the tree.
struct DistributionPeer
{
    base::RouterId id;
    base::FailureDomain domain;

    bool operator==(const DistributionPeer &) const = default;
};

// Edits with contiguous revisions, or a whole configuration where these are gone.
struct ConfigUpdate
{
    std::vector<Edit> edits;
    std::shared_ptr<const RowSet> snapshot; // nullptr for edits
};

// Asks a peer for all that is newer.
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

// Read and watch the head object, and report with onStoredConfig() and onWatchFailed().
struct StartWatch
{
};

struct StopWatch
{
};

// A greater revision is in force. `tables` is nullptr if this version can't read it,
// with the reason in `problem`; the tables before stay in force then.
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

    // The live routers, this one included, whenever they change.
    void onMembers(std::span<const DistributionPeer> members);
    // Head and rows as read from the platform.
    void onStoredConfig(const Head &head, const RowSet &rows);
    // An update from a peer.
    void onUpdate(const base::RouterId &from, const ConfigUpdate &update, base::TimePoint now);
    // A peer asks for what is newer than its revision.
    void onRequest(const base::RouterId &from, const ConfigRequest &request);
    // A heartbeat or any message showed a peer's revision.
    void onPeerRevision(const base::RouterId &peer, base::Revision revision, base::TimePoint now);

    [[nodiscard]] std::vector<DistributorAction> takeActions();
    // The revision in force, zero before the first.
    [[nodiscard]] base::Revision revision() const;
    [[nodiscard]] std::shared_ptr<const RowSet> rows() const;
    [[nodiscard]] bool isWatcher() const;
    // Routers that get edits from this one.
    [[nodiscard]] std::span<const base::RouterId> children() const;

private:
    [[nodiscard]] bool applyNextEdits(std::span<const Edit> edits);
    [[nodiscard]] bool replaceRows(std::shared_ptr<const RowSet> rows);
    void publish();
    void forwardToChildren(base::Revision after, const base::RouterId *from);
    [[nodiscard]] std::optional<ConfigUpdate> updateAfter(base::Revision revision) const;

    DistributorOptions m_options;
    std::shared_ptr<const RowSet> m_rows; // never nullptr; its revision only grows
    std::shared_ptr<const Tables> m_tables; // nullptr before the first
    std::deque<Edit> m_edits; // of contiguous revisions that end at m_rows->revision
    std::vector<base::RouterId> m_children;
    bool m_isWatcher = false;
    base::Revision m_requestedRevision; // the greatest revision asked for
    base::TimePoint m_requestedAt;
    std::vector<DistributorAction> m_actions;
};

} // namespace carawaylatch::config
