// What this router knows of each upstream: requests under way, here and at other
// routers, load that answers told, failures, and where prompt state was placed.
//
// A state machine of the traffic thread without I/O. Snapshots of the fleet come
// in through adopt(), attempts through began(), started() and ended(), reports of
// other routers through applyReport(); own reports go out through takeChanges().
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/attemptrules.h"
#include "carawaylatch/proxy/dialect.h"
#include "carawaylatch/proxy/fleet.h"
#include "carawaylatch/proxy/loadreport.h"
#include "carawaylatch/proxy/peerload.h"
#include "carawaylatch/proxy/prefixplacements.h"

namespace carawaylatch::proxy
{

struct UpstreamRecord
{
    Upstream upstream;
    std::uint64_t idHash = 0; // hash of the id, as reports name it
    bool isReported = true; // the figures below are as other routers were told
    bool isListed = false; // in the present snapshot
    std::uint32_t inflight = 0; // requests of this router that have not ended
    std::uint64_t inflightTokens = 0; // memory that these may take
    std::uint64_t prefillTokens = 0; // prompt tokens of those without a first event
    // Requests of others at the time of the last sample; trusted for MaxSampleAge.
    std::uint32_t otherRoutersLoad = 0;
    std::uint32_t waiting = 0; // requests that waited at the upstream then
    base::TimePoint sampledAt;
    base::WeightsVersion weights; // newest version known of its model; zero: unknown
    double failureShare = 0; // of recent attempts, weighted towards the newest
    std::uint32_t consecutiveConnectFailures = 0; // connections that could not be made
    base::TimePoint backoffUntil; // gets nothing before, unless nothing else is left
    base::TimePoint silentSince; // last byte heard, or when the first of the requests under way was sent

    static constexpr base::Duration MaxSampleAge = base::seconds{1}; // answers come many times a second under load

    // True if requests waited at the upstream a moment ago: one more would wait too.
    [[nodiscard]] bool isBackedUp(base::TimePoint now) const;
    // Requests at the upstream, own and others'.
    [[nodiscard]] double load(base::TimePoint now) const;
    // True if requests are under way and nothing was heard of any for longer than
    // reading their prompts can take: the upstream or the path to it is dead.
    [[nodiscard]] bool isSilent(base::TimePoint now, double prefillMillisecondsPerToken) const;
};

// How much one attempt weighs on its upstream.
struct AttemptLoad
{
    std::uint64_t memoryTokens = 0; // prompt and longest answer
    std::uint64_t prefillTokens = 0; // prompt tokens that it has to read
};

// All routers' work at one upstream, as far as it is known.
struct TotalLoad
{
    double requests = 0;
    double prefillTokens = 0;
    double memoryTokens = 0;
};

class UpstreamTracker
{
public:
    void adopt(const FleetView &view, base::TimePoint now);

    [[nodiscard]] UpstreamRecord *find(const base::UpstreamId &id);
    // Listed upstreams of a pool, in order of id.
    [[nodiscard]] const std::vector<UpstreamRecord *> &members(const base::PoolName &pool) const;

    void onAttemptStarted(UpstreamRecord &record, const AttemptLoad &load, base::TimePoint now);
    // Bytes of an answer have arrived.
    void onBytesReceived(UpstreamRecord &record, base::TimePoint now);
    // The first event or the head of the answer has arrived.
    void onFirstOutput(UpstreamRecord &record, const AttemptLoad &load);
    void onAttemptEnded(UpstreamRecord &record, const AttemptLoad &load, bool hasStarted, AttemptEnd end, base::TimePoint now);
    void onLoadSample(UpstreamRecord &record, const LoadSample &sample, base::TimePoint now);

    // A prompt of this state is sent to the upstream.
    void onPromptSent(std::uint64_t cacheKey, const UpstreamRecord &record, base::TimePoint now);
    // Placements by this router and others.
    [[nodiscard]] const PrefixPlacements &placements() const;
    // An upstream of the same pool as `taker` that is likely to hold the state and can pass it on.
    [[nodiscard]] const UpstreamRecord *findKvSource(std::uint64_t cacheKey, const UpstreamRecord &destination, base::TimePoint now) const;

    // Takes another router's report. False if it could not be used.
    bool applyReport(const LoadReport &report, base::TimePoint now);
    // Forgets routers that are silent; returns how many.
    std::size_t removeSilentPeers(base::TimePoint now);
    [[nodiscard]] std::size_t peers() const;
    // Work and placements that changed since the last call; the rows' bound may leave some for the next.
    [[nodiscard]] LoadReport takeChanges();
    // All work under way here, without placements.
    [[nodiscard]] LoadReport fullReport() const;
    // Work of all `routers` at an upstream: as they report it, or estimated from what
    // is under way here and what answers told where most of them are not heard.
    [[nodiscard]] TotalLoad totalLoad(const UpstreamRecord &record, std::uint32_t routers, base::TimePoint now) const;

private:
    void markUnreported(UpstreamRecord &record);

    std::map<base::UpstreamId, UpstreamRecord> m_records; // nodes keep their address
    std::map<base::PoolName, std::vector<UpstreamRecord *>> m_members;
    std::vector<UpstreamRecord *> m_noMembers;
    std::unordered_map<std::uint64_t, const UpstreamRecord *> m_byIdHash; // listed ones
    PrefixPlacements m_placements;
    PeerLoad m_peers;
    std::vector<UpstreamRecord *> m_unreported; // exactly those with isReported false
    std::vector<PrefixPlacement> m_newPlacements; // not reported yet; at most MaxReportRows
};

} // namespace carawaylatch::proxy
