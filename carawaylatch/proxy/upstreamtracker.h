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
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/attemptrules.h"
#include "carawaylatch/proxy/brittleupstreams.h"
#include "carawaylatch/proxy/dialect.h"
#include "carawaylatch/proxy/faultreport.h"
#include "carawaylatch/proxy/fleet.h"
#include "carawaylatch/proxy/loadreport.h"
#include "carawaylatch/proxy/loadsummaries.h"
#include "carawaylatch/proxy/peerload.h"
#include "carawaylatch/proxy/prefixplacements.h"
#include "carawaylatch/proxy/requestlimits.h"
#include "carawaylatch/proxy/upstreampace.h"

namespace carawaylatch::proxy
{

struct UpstreamRecord
{
    Upstream upstream;
    std::uint64_t idHash = 0; // identifies the upstream in load reports
    bool isReported = true; // other routers have been sent the load below
    bool isListed = false; // in the current snapshot
    std::uint32_t inflight = 0; // outstanding requests of this router
    std::uint32_t paused = 0; // of these, the ones whose responses are not read, as their callers take nothing
    std::uint64_t inflightTokens = 0; // upper bound of the KV cache that these use
    std::uint64_t prefillTokens = 0; // prompt tokens that the upstream has yet to process for these
    // Requests of other routers at the time of the last sample; discounted to zero over MaxSampleAge.
    std::uint32_t otherRoutersLoad = 0;
    std::uint32_t waiting = 0; // requests queued at the upstream at the time of the last sample
    base::TimePoint sampledAt;
    UpstreamPace pace; // of this incarnation
    base::WeightsVersion weights; // newest known version of its model; zero: unknown
    double failureShare = 0; // of attempts, as an exponentially weighted moving average
    std::uint32_t consecutiveConnectFailures = 0; // since the last attempt that was sent
    base::TimePoint backoffUntil; // gets no new requests before this time
    base::TimePoint silentSince; // last byte received, or since when bytes are expected again
    base::TimePoint receivedAt; // last byte received
    bool isLeaving = false; // it has said so, to this router or another; holds for the incarnation
    base::TimePoint pausedUntil; // it has asked this router for a pause
    bool hasAnswered = false; // this router has had a valid answer from this incarnation
    base::TimePoint brittleAskedAt; // of the last word of the control thread that was taken

    static constexpr base::Duration MaxSampleAge = base::seconds{1}; // under load, responses arrive many times a second

    // True if neither the list nor the upstream itself says that it leaves.
    [[nodiscard]] bool isStaying() const;
    // True if its software is one of these; nullptr: any.
    [[nodiscard]] bool runsOneOf(const SoftwareSet *software) const;
    // Its incarnation, as reports name it.
    [[nodiscard]] UpstreamKey key() const;
    // True if new requests may be sent to the upstream, as far as it and the list say; limits apart.
    [[nodiscard]] bool takesRequests(base::TimePoint now) const;
    // Share of the slots that may be used after a pause; grows to one over ResumeTime.
    [[nodiscard]] double resumedShare(base::TimePoint now) const;
    // True if the last recent sample showed queued requests; a new one would be queued too.
    [[nodiscard]] bool isBackedUp(base::TimePoint now) const;
    // Estimated requests at the upstream, of all routers.
    [[nodiscard]] double load(base::TimePoint now) const;
    // Time that the prefill of the prompts that this router has sent may take.
    [[nodiscard]] base::Duration prefillTime(double millisecondsPerToken) const;
    // True if this router reads what the upstream sends for one request at least.
    [[nodiscard]] bool isRead() const;
    // True if it is read and no byte was received for longer than the
    // prefill of their prompts can take: the upstream or the path to it is down.
    [[nodiscard]] bool isSilent(base::TimePoint now, double prefillMillisecondsPerToken) const;
};

// Load of one attempt at its upstream.
struct AttemptLoad
{
    std::uint64_t memoryTokens = 0; // prompt and maximum output
    std::uint64_t prefillTokens = 0; // prompt tokens to process
    Room room = Room::Free; // when the attempt started
};

// Capacity of an upstream, and what a request needs of it; zero: unknown, or no bound.
struct RoomQuery
{
    double slots = 0;
    double memoryTokens = 0;
    double neededMemoryTokens = 0;
};

// An upstream has become brittle, is brittle no longer, takes another number of rejections, or has gone while it was.
struct BrittleEvent
{
    base::UpstreamId upstream;
    std::optional<std::uint32_t> rejections; // that it takes a second; nothing if it isn't brittle any more
    std::string_view source; // how this router knows
    bool isGone = false; // it has started again or left the list, without notice
    std::uint64_t rejected = 0; // requests of this router that it has rejected meanwhile
};

// Known or estimated load of all routers at one upstream.
struct TotalLoad
{
    double requests = 0;
    double prefillTokens = 0;
    double memoryTokens = 0;
};

// When an upstream takes the next request of this router.
struct NextRequest
{
    base::TimePoint at; // TimePoint::max(): only other routers may send it requests
    bool isLimited = false; // by a limit of requests a second, else by a pause
};

class UpstreamTracker
{
public:
    // `self` is the endpoint of this router in the fleet's snapshots, `key` its name as the sender of load reports.
    explicit UpstreamTracker(base::Endpoint self = {}, std::uint64_t key = 0, std::uint64_t incarnation = 0);

    void adopt(const FleetView &view, base::TimePoint now);

    [[nodiscard]] UpstreamRecord *find(const base::UpstreamId &id);
    // Listed upstreams of a pool, in order of id.
    [[nodiscard]] const std::vector<UpstreamRecord *> &members(const base::PoolName &pool) const;

    void onAttemptStarted(UpstreamRecord &record, const AttemptLoad &load, base::TimePoint now);
    // Bytes of a response have arrived.
    void onBytesReceived(UpstreamRecord &record, base::TimePoint now);
    // The response of one request is not read until onReadingResumed().
    void onReadingPaused(UpstreamRecord &record);
    void onReadingResumed(UpstreamRecord &record, base::TimePoint now);
    // The first body bytes of the response have arrived.
    void onFirstOutput(UpstreamRecord &record, const AttemptLoad &load);
    void onAttemptEnded(UpstreamRecord &record, const AttemptLoad &load, bool hasStarted, AttemptEnd end, base::TimePoint now);
    // The upstream has said that it leaves. Returns false if this was known.
    bool onLeaving(UpstreamRecord &record, base::TimePoint now);
    // The upstream has refused a request and asked for a pause, which ends `spread` later.
    void onPause(UpstreamRecord &record, base::Duration pause, base::Duration spread, base::TimePoint now);
    // An answer to a request that was sent at `sentAt` names a limit of requests a second, or none. Returns true if
    // the limit has changed.
    bool onLimit(const UpstreamRecord &record, std::optional<double> perSecond, base::TimePoint sentAt, base::TimePoint now);
    // A valid answer to a request that was sent at `sentAt` says that the upstream takes this number of rejections
    // a second, or does not say that it is brittle.
    void onBrittle(UpstreamRecord &record, std::optional<std::uint32_t> rejections, base::TimePoint sentAt, base::TimePoint now);
    // The upstream has rejected a request because it is full.
    void onRejected(const UpstreamRecord &record, const AttemptLoad &load, base::TimePoint now);
    // The room for a request at an upstream, as far as it is brittle.
    [[nodiscard]] Room room(const UpstreamRecord &record, const RoomQuery &query, const TotalLoad &load, base::TimePoint now) const;
    [[nodiscard]] BrittleUpstreams &brittle();
    [[nodiscard]] const BrittleUpstreams &brittle() const;
    // What has changed of brittle upstreams since the last call.
    [[nodiscard]] std::vector<BrittleEvent> takeBrittleEvents();
    [[nodiscard]] RequestLimits &limits();
    [[nodiscard]] const RequestLimits &limits() const;
    // True if this router may send the upstream a request now.
    [[nodiscard]] bool mayStart(const UpstreamRecord &record, base::TimePoint now) const;
    // The first upstream of the pool that is not `excluded` and runs one of `software` (nullptr: any) to take a
    // request after a pause or within its limit; nothing if one does now, or if none will.
    [[nodiscard]] std::optional<NextRequest> nextRequest(const base::PoolName &pool, std::span<const base::UpstreamId> excluded, const SoftwareSet *software,
                                                         base::TimePoint now) const;
    void onLoadSample(UpstreamRecord &record, const LoadSample &sample, base::TimePoint now);

    // A prompt with this KV cache key is sent to the upstream.
    void onPromptSent(std::uint64_t cacheKey, const UpstreamRecord &record, base::TimePoint now);
    // Placements by this router and others.
    [[nodiscard]] const PrefixPlacements &placements() const;
    // An upstream of the pool of `destination` that likely holds the KV cache entry and can transfer it, or nullptr.
    [[nodiscard]] const UpstreamRecord *findKvSource(std::uint64_t cacheKey, const UpstreamRecord &destination, base::TimePoint now) const;

    // Upstreams that were found to leave since the last call.
    [[nodiscard]] std::vector<LeavingUpstream> takeLeaving();
    // All upstreams known to leave, up to MaxReportedLeaving.
    [[nodiscard]] std::vector<LeavingUpstream> leaving() const;
    // Another router knows that these upstreams leave. Returns those that are listed and were not known to.
    std::vector<const UpstreamRecord *> applyLeaving(std::span<const LeavingUpstream> leaving, base::TimePoint now);

    // Another router knows these limits. Returns the listed upstreams whose limit has changed.
    std::vector<const UpstreamRecord *> applyLimits(std::span<const UpstreamNotice> limits, base::TimePoint now);

    // Another router knows that these upstreams are brittle, or no longer.
    void applyBrittle(std::span<const UpstreamNotice> notices, base::TimePoint now);
    // Drops limits and brittle upstreams that nobody sees any more.
    void removeOutdatedNotices(base::TimePoint now);

    // Applies another router's report. Returns false if it was not usable.
    bool applyReport(const LoadReport &report, base::TimePoint now);
    // Removes routers that have timed out; returns their number.
    std::size_t removeSilentPeers(base::TimePoint now);
    [[nodiscard]] std::size_t peers() const;
    // Load that changed and placements made since the last call; load beyond MaxReportRows is left for the next call.
    [[nodiscard]] LoadReport takeChanges();
    // All current load of this router, without placements.
    [[nodiscard]] LoadReport fullReport() const;
    // Load of other routers that one of them has summed; placements are taken over.
    void applySummary(const LoadSummary &summary, base::TimePoint now);
    // In a fleet in which not all routers report to each other.
    [[nodiscard]] LoadSummaries &summaries();
    [[nodiscard]] const LoadSummaries &summaries() const;
    // Load of all `routers` at an upstream: the sum of a load summary or, if at least half of the others
    // report, of their reports, otherwise an estimate from this router's own load and samples.
    [[nodiscard]] TotalLoad totalLoad(const UpstreamRecord &record, std::uint32_t routers, base::TimePoint now) const;

private:
    struct Leaving
    {
        std::uint64_t startTimeMs = 0;
        base::TimePoint since;
        bool isReported = false;
    };

    void markUnreported(UpstreamRecord &record);
    // Returns false if the incarnation was known to leave.
    bool addLeaving(std::uint64_t idHash, std::uint64_t startTimeMs, base::TimePoint now);
    void adoptLeaving(UpstreamRecord &record);
    // Takes what the control thread has heard of the upstream.
    void adoptBrittle(UpstreamRecord &record, base::TimePoint now);
    // Notes an upstream that was brittle in an incarnation that has ended or is not listed any more.
    void onIncarnationGone(const UpstreamRecord &record);
    void onBrittleChanged(const UpstreamRecord &record, std::string_view source, base::TimePoint now);
    void updateBrittlePools(base::TimePoint now);
    // True if at least half of the other routers report their load.
    [[nodiscard]] bool isMostlyHeard() const;
    // The rejections a second that the upstream takes as far as this router knows; nothing if it isn't brittle.
    [[nodiscard]] std::optional<std::uint32_t> rejections(const UpstreamRecord &record) const;

    std::map<base::UpstreamId, UpstreamRecord> m_records; // std::map, because the pointers below need stable addresses
    std::map<base::PoolName, std::vector<UpstreamRecord *>> m_members;
    std::vector<UpstreamRecord *> m_noMembers;
    std::unordered_map<std::uint64_t, UpstreamRecord *> m_byIdHash; // only listed upstreams
    std::unordered_map<std::uint64_t, Leaving> m_leaving; // by hash of the id; also of upstreams that are not listed
    base::Endpoint m_self;
    RequestLimits m_limits;
    BrittleUpstreams m_brittle;
    std::map<base::PoolName, base::TimePoint> m_brittlePools; // when they last had listed upstreams that are brittle
    std::vector<BrittleEvent> m_brittleEvents;
    PrefixPlacements m_placements;
    PeerLoad m_peers;
    LoadSummaries m_summaries;
    std::vector<UpstreamRecord *> m_unreported; // exactly those with isReported false
    std::vector<PrefixPlacement> m_newPlacements; // not reported yet; at most MaxReportRows
};

} // namespace carawaylatch::proxy
