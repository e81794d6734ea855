// Knowledge of the load of all routers in fleets of more than MaxRoutersWithoutSummaries, in which a router hears the
// load reports of less than half of the others. See part 1 of docs/design/fleet-load.md.
//
// A state machine of the traffic thread without I/O. The ring of routers is divided into arcs (summaryarcs.h). In each
// arc, the first live router in the order of ranks is the summarizer: every summary interval it sends the sums of its
// arc to other summarizers, and the sums of all arcs that it knows to the routers of its arc. No election is needed: a
// router of rank r sends summaries while it has heard none from a better-ranked router of its arc for the summary
// timeout and r * RankDelay. Two routers may do so at the same time; receivers use the better-ranked one.
//
// A summary lists the rows that have changed since the last one, and all rows in every FullInterval, which makes up for
// lost ones. In smaller fleets, and if the router is not listed itself, nothing is sent and others() knows nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/loadreport.h"
#include "carawaylatch/proxy/loadsummary.h"
#include "carawaylatch/proxy/summaryarcs.h"
#include "carawaylatch/proxy/summedloads.h"

namespace carawaylatch::proxy
{

class LoadSummaries
{
public:
    // Later start of each next rank, so that rarely two start at once; more than a summary takes to arrive.
    static constexpr base::Duration RankDelay = base::milliseconds{100};
    static constexpr base::Duration FullInterval = base::seconds{1}; // in which a lost summary is made up for
    // All rows are sent to a new receiver for this time, since the connection to it may have to be made first.
    static constexpr base::Duration NewReceiverTime = base::milliseconds{500};
    // Age of this router's load in the sums: a report and two summaries, each half an interval late on average.
    static constexpr base::Duration OwnLoadAge = base::milliseconds{100};

    LoadSummaries(std::uint64_t self, std::uint64_t incarnation);
    ~LoadSummaries() = default;
    LoadSummaries(const LoadSummaries &) = delete; // m_used points into m_fleet, which survives a move only
    LoadSummaries &operator=(const LoadSummaries &) = delete;
    LoadSummaries(LoadSummaries &&) = default;
    LoadSummaries &operator=(LoadSummaries &&) = default;

    // Sets the listed routers; `keys` is parallel to `endpoints`.
    void setRouters(std::span<const base::Endpoint> endpoints, std::span<const std::uint64_t> keys, const base::Endpoint &self, base::TimePoint now);
    // True if summaries are exchanged.
    [[nodiscard]] bool isActive() const;
    // Handles a load report of a peer, as PeerLoad gets it; also while not active, since full reports are rare.
    void onReport(const LoadReport &report, base::TimePoint now);
    // Handles this router's own load, whenever it is reported.
    void onOwnLoad(const LoadReport &report, base::TimePoint now);
    // Returns false if the summary is ignored, because it is not of this router's division of the ring.
    bool onSummary(const LoadSummary &summary, base::TimePoint now);
    // Returns the messages that are due, each with its receivers. To be called every 50 ms, the shortest interval.
    [[nodiscard]] std::vector<std::pair<std::vector<base::Endpoint>, LoadSummary>> due(base::TimePoint now);
    // Returns the load of all other routers at an upstream, or nothing if no usable summary is known.
    [[nodiscard]] std::optional<PeerUpstreamLoad> others(std::uint64_t upstream, base::TimePoint now) const;
    // Returns the routers to which summaries are sent; connections to them are needed. The first SummaryRanks routers of
    // an arc always have them, so that the takeover by the second one takes no longer.
    [[nodiscard]] std::vector<base::Endpoint> receivers() const;
    // Number of routers in the sums that others() uses; 0 if it knows nothing.
    [[nodiscard]] std::uint32_t coveredRouters(base::TimePoint now) const;
    // The arc of which this router is the summarizer.
    [[nodiscard]] std::optional<std::uint16_t> summarizedArc() const;
    // Number of routers in the sums of this summarizer; 0 if it is none.
    [[nodiscard]] std::uint32_t summedRouters() const;

private:
    struct Router
    {
        base::Endpoint endpoint;
        std::uint64_t key = 0;

        auto operator<=>(const Router &) const = default;
    };

    // Place of a router in the division of the ring.
    struct Place
    {
        std::size_t arc = 0;
        std::size_t rank = 0;
    };

    // What is sent of one kind of summary.
    struct Outgoing
    {
        std::set<base::Endpoint> receivers; // of the last summary
        std::set<std::uint64_t> pending; // upstreams to list; bounded by the rows of the sums, cleared by a full summary
        std::uint64_t nextUpstream = 0; // where the next summary begins in `pending`
        base::TimePoint fullAt; // last full summary
        base::TimePoint fullUntil; // all summaries are full
        std::vector<PrefixPlacement> placements; // at most MaxReportRows
    };

    // One report or summary of this router's load.
    struct OwnReport
    {
        base::TimePoint at;
        bool isFull = false;
        std::vector<PeerUpstreamLoad> loads;
    };

    [[nodiscard]] std::optional<Place> placeOf(std::uint64_t key) const;
    [[nodiscard]] bool isCandidate() const;
    [[nodiscard]] std::vector<std::uint64_t> betterRanked() const;
    void onListChanged(const base::Endpoint &self);
    void updateCounted();
    void countArcs(base::TimePoint now);
    void updateActing(base::TimePoint now);
    void expireReports(base::TimePoint now);
    void applyOwnLoad(base::TimePoint until);
    void updateUsed(base::TimePoint now);
    [[nodiscard]] std::vector<base::Endpoint> arcReceivers() const;
    [[nodiscard]] std::vector<base::Endpoint> fleetReceivers() const;
    // True if the sums cover half of the ring.
    [[nodiscard]] bool isCoverageUsable(std::uint32_t covered) const;
    // Several if a full one has more rows than fit into it.
    [[nodiscard]] std::vector<LoadSummary> nextSummaries(Outgoing &out, bool isFleet, const std::vector<base::Endpoint> &receivers, base::TimePoint now);
    void takeRows(Outgoing &out, LoadSummary &summary) const;
    void addAllUpstreams(Outgoing &out, bool isFleet) const;
    [[nodiscard]] PeerUpstreamLoad fleetRow(std::uint64_t upstream) const;
    [[nodiscard]] std::uint32_t arcCovered() const;
    [[nodiscard]] std::uint32_t fleetCovered() const;

    std::uint64_t m_self;
    std::uint64_t m_incarnation;
    std::vector<base::Endpoint> m_endpoints; // as last set, with m_keys
    std::vector<std::uint64_t> m_keys;
    std::vector<Router> m_ring; // all listed routers
    std::unordered_map<std::uint64_t, std::size_t> m_indexes; // in m_ring, by key; empty while not active
    std::optional<std::size_t> m_index; // of this router in m_ring; set if active
    std::size_t m_arcs = 0;
    Arc m_arc; // of this router
    Place m_place; // of this router
    base::Duration m_interval{};
    base::Duration m_timeout{};

    SummedLoads m_reports; // by sender; this router's own load too; counted: those of the arc, if this router is a candidate
    SummedLoads m_otherArcs; // by summarizer; counted: the best-ranked one of each arc that is not silent
    SummedLoads m_fleet; // fleet summaries of this arc, by summarizer; none are counted
    std::unordered_map<std::size_t, std::pair<base::Endpoint, base::TimePoint>> m_lastSummarizers; // by arc; only ranks beyond SummaryRanks

    const SummedLoads::Sender *m_used = nullptr; // in m_fleet; what others() uses unless this router is acting
    std::uint32_t m_usedCovered = 0; // routers in the sums that others() uses; 0 if less than half of the ring
    bool m_isActing = false;
    base::TimePoint m_betterHeardAt; // last summary of a better-ranked router, or when the list changed
    base::TimePoint m_nextAt; // next summaries
    Outgoing m_arcOut;
    Outgoing m_fleetOut;

    std::deque<OwnReport> m_ownReports; // younger than OwnLoadAge, at most MaxOwnReports
    std::unordered_map<std::uint64_t, PeerUpstreamLoad> m_ownEarlier; // this router's load OwnLoadAge ago; only upstreams with load
};

} // namespace carawaylatch::proxy
