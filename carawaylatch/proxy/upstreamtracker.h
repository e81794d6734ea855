// Tracks the state of each upstream: outstanding requests of this and other routers,
// load reported in responses, failures, and the prefixes sent to it.
//
// A state machine of the traffic thread without I/O. Inputs are fleet snapshots
// (adopt()), the progress of attempts (onAttemptStarted(), onFirstOutput(),
// onAttemptEnded()) and reports of other routers (applyReport()); takeChanges()
// returns this router's own reports.
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
    std::uint64_t idHash = 0; // identifies the upstream in load reports
    bool isReported = true; // other routers have been sent the load below
    bool isListed = false; // in the current snapshot
    std::uint32_t inflight = 0; // outstanding requests of this router
    std::uint64_t inflightTokens = 0; // upper bound of the KV cache that these use
    std::uint64_t prefillTokens = 0; // prompt tokens that the upstream has yet to process for these
    // Requests of other routers at the time of the last sample; discounted to zero over MaxSampleAge.
    std::uint32_t otherRoutersLoad = 0;
    std::uint32_t waiting = 0; // requests queued at the upstream at the time of the last sample
    base::TimePoint sampledAt;
    base::WeightsVersion weights; // newest known version of its model; zero: unknown
    double failureShare = 0; // of attempts, as an exponentially weighted moving average
    std::uint32_t consecutiveConnectFailures = 0; // since the last attempt that was sent
    base::TimePoint backoffUntil; // gets no new requests before this time
    base::TimePoint silentSince; // last byte received, or start of the first outstanding request
    base::TimePoint receivedAt; // last byte received

    static constexpr base::Duration MaxSampleAge = base::seconds{1}; // under load, responses arrive many times a second

    // True if the last recent sample showed queued requests; a new one would be queued too.
    [[nodiscard]] bool isBackedUp(base::TimePoint now) const;
    // Estimated requests at the upstream, of all routers.
    [[nodiscard]] double load(base::TimePoint now) const;
    // True if requests are outstanding and no byte was received for longer than the
    // prefill of their prompts can take: the upstream or the path to it is down.
    [[nodiscard]] bool isSilent(base::TimePoint now, double prefillMillisecondsPerToken) const;
};

// Load of one attempt at its upstream.
struct AttemptLoad
{
    std::uint64_t memoryTokens = 0; // prompt and maximum output
    std::uint64_t prefillTokens = 0; // prompt tokens to process
};

// Known or estimated load of all routers at one upstream.
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
    // Bytes of a response have arrived.
    void onBytesReceived(UpstreamRecord &record, base::TimePoint now);
    // The first body bytes of the response have arrived.
    void onFirstOutput(UpstreamRecord &record, const AttemptLoad &load);
    void onAttemptEnded(UpstreamRecord &record, const AttemptLoad &load, bool hasStarted, AttemptEnd end, base::TimePoint now);
    void onLoadSample(UpstreamRecord &record, const LoadSample &sample, base::TimePoint now);

    // A prompt with this KV cache key is sent to the upstream.
    void onPromptSent(std::uint64_t cacheKey, const UpstreamRecord &record, base::TimePoint now);
    // Placements by this router and others.
    [[nodiscard]] const PrefixPlacements &placements() const;
    // An upstream of the pool of `destination` that likely holds the KV cache entry and can transfer it, or nullptr.
    [[nodiscard]] const UpstreamRecord *findKvSource(std::uint64_t cacheKey, const UpstreamRecord &destination, base::TimePoint now) const;

    // Applies another router's report. Returns false if it was not usable.
    bool applyReport(const LoadReport &report, base::TimePoint now);
    // Removes routers that have timed out; returns their number.
    std::size_t removeSilentPeers(base::TimePoint now);
    [[nodiscard]] std::size_t peers() const;
    // Load that changed and placements made since the last call; load beyond MaxReportRows is left for the next call.
    [[nodiscard]] LoadReport takeChanges();
    // All current load of this router, without placements.
    [[nodiscard]] LoadReport fullReport() const;
    // Load of all `routers` at an upstream: the sum of their reports if at least half of
    // the others report, otherwise an estimate from this router's own load and samples.
    [[nodiscard]] TotalLoad totalLoad(const UpstreamRecord &record, std::uint32_t routers, base::TimePoint now) const;

private:
    void markUnreported(UpstreamRecord &record);

    std::map<base::UpstreamId, UpstreamRecord> m_records; // std::map, because the pointers below need stable addresses
    std::map<base::PoolName, std::vector<UpstreamRecord *>> m_members;
    std::vector<UpstreamRecord *> m_noMembers;
    std::unordered_map<std::uint64_t, const UpstreamRecord *> m_byIdHash; // only listed upstreams
    PrefixPlacements m_placements;
    PeerLoad m_peers;
    std::vector<UpstreamRecord *> m_unreported; // exactly those with isReported false
    std::vector<PrefixPlacement> m_newPlacements; // not reported yet; at most MaxReportRows
};

} // namespace carawaylatch::proxy
