// Load accounting of upstreamtracker.h.
//
// The load of other routers is the load reported in a response minus this router's own
// load. It decays linearly to zero over MaxSampleAge, after which a sample is outdated.
#include "carawaylatch/proxy/upstreamtracker.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::proxy
{

namespace
{

// Weight of the newest attempt in the failure share, which then covers about ten attempts.
constexpr double FailureWeight = 0.1;
// Backoff after the first failed connection; doubles up to MaxBackoff.
constexpr base::Duration InitialBackoff = base::milliseconds{250};
// A crashed upstream is retried at this interval, which bounds how late its recovery is detected.
constexpr base::Duration MaxBackoff = base::seconds{2};
// An upstream that was to leave has ended after this time.
constexpr base::Duration MaxLeavingTime = base::minutes{10};

PeerUpstreamLoad ownLoad(const UpstreamRecord &record)
{
    constexpr std::uint64_t MaxFieldValue = std::numeric_limits<std::uint32_t>::max();
    return {record.idHash, record.inflight, static_cast<std::uint32_t>(std::min(record.prefillTokens, MaxFieldValue)),
            static_cast<std::uint32_t>(std::min(record.inflightTokens, MaxFieldValue))};
}

} // namespace

double UpstreamRecord::load(base::TimePoint now) const
{
    const base::Duration age = now - sampledAt;
    const double decay = age >= MaxSampleAge ? 0.0 : 1.0 - base::toSeconds(age) / base::toSeconds(MaxSampleAge);
    return inflight + otherRoutersLoad * decay;
}

bool UpstreamRecord::runsOneOf(const SoftwareSet *software) const
{
    return software == nullptr || software->contains(upstream.software);
}

bool UpstreamRecord::isStaying() const
{
    return upstream.phase == UpstreamPhase::Ready && !isLeaving;
}

bool UpstreamRecord::takesRequests(base::TimePoint now) const
{
    return isListed && isStaying() && now >= pausedUntil;
}

UpstreamKey UpstreamRecord::key() const
{
    return {idHash, upstream.startTimeMs};
}

double UpstreamRecord::resumedShare(base::TimePoint now) const
{
    constexpr base::Duration ResumeTime = base::seconds{1};
    const bool wasPaused = pausedUntil != base::TimePoint{};
    return !wasPaused || now - pausedUntil >= ResumeTime ? 1.0 : base::toSeconds(now - pausedUntil) / base::toSeconds(ResumeTime);
}

bool UpstreamRecord::isBackedUp(base::TimePoint now) const
{
    constexpr std::uint32_t MaxWaiting = 1; // a request that waits for the next step is not queued
    constexpr base::Duration MaxBackedUpAge = base::milliseconds{300}; // about the interval at which an engine completes requests
    return waiting > MaxWaiting && now - sampledAt < MaxBackedUpAge;
}

base::Duration UpstreamRecord::prefillTime(double millisecondsPerToken) const
{
    // Prompts of other routers are processed before and between this router's.
    constexpr double PrefillMargin = 3;
    return base::fromSeconds(static_cast<double>(prefillTokens) * millisecondsPerToken * PrefillMargin / 1000);
}

bool UpstreamRecord::isRead() const
{
    return inflight > paused;
}

bool UpstreamRecord::isSilent(base::TimePoint now, double prefillMillisecondsPerToken) const
{
    // Longer than a load of weights, which stalls an engine for about 600 ms.
    constexpr base::Duration MaxSilence = base::milliseconds{800};
    return isRead() && now - silentSince > MaxSilence + prefillTime(prefillMillisecondsPerToken);
}

UpstreamTracker::UpstreamTracker(base::Endpoint self, std::uint64_t key, std::uint64_t incarnation)
    : m_self(std::move(self))
    , m_summaries(key, incarnation)
{
}

void UpstreamTracker::adopt(const FleetView &view, base::TimePoint now)
{
    m_limits.setRouters(view.routerEndpoints, m_self, view.routers);
    m_brittle.setRouters(view.routerEndpoints, m_self, view.routers);
    m_summaries.setRouters(view.routerEndpoints, view.routerKeys, m_self, now);
    std::vector<UpstreamRecord *> unlisted;
    for (auto &[id, record] : m_records) {
        if (std::exchange(record.isListed, false)) {
            unlisted.push_back(&record);
        }
    }
    for (const Upstream &upstream : view.upstreams) {
        UpstreamRecord &record = m_records[upstream.id];
        if (record.upstream.startTimeMs != upstream.startTimeMs) {
            onIncarnationGone(record);
            record.hasAnswered = false;
        }
        if (record.upstream.startTimeMs != upstream.startTimeMs || record.upstream.endpoint != upstream.endpoint) {
            record.failureShare = 0;
            record.consecutiveConnectFailures = 0;
            record.backoffUntil = now;
            record.otherRoutersLoad = 0;
            record.pace.reset();
            record.weights = {};
            record.pausedUntil = {};
        }
        record.upstream = upstream;
        record.idHash = base::hash64(upstream.id.value());
        record.isListed = true;
        adoptLeaving(record);
        m_limits.onListed(record.key());
        m_brittle.onListed(record.key());
        adoptBrittle(record, now);
        for (const auto &[model, weights] : upstream.models) {
            record.weights = std::max(record.weights, weights);
        }
    }
    for (const UpstreamRecord *record : unlisted) {
        if (!record->isListed) {
            onIncarnationGone(*record);
        }
    }
    std::erase_if(m_records, [](const auto &it) {
        return !it.second.isListed && it.second.inflight == 0 && it.second.isReported;
    });
    m_members.clear();
    m_byIdHash.clear();
    for (auto &[id, record] : m_records) {
        if (record.isListed) {
            m_byIdHash.emplace(record.idHash, &record);
            m_members[record.upstream.pool].push_back(&record);
        }
    }
    updateBrittlePools(now);
}

UpstreamRecord *UpstreamTracker::find(const base::UpstreamId &id)
{
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second;
}

const std::vector<UpstreamRecord *> &UpstreamTracker::members(const base::PoolName &pool) const
{
    const auto it = m_members.find(pool);
    return it == m_members.end() ? m_noMembers : it->second;
}

void UpstreamTracker::onBytesReceived(UpstreamRecord &record, base::TimePoint now)
{
    record.silentSince = now;
    record.receivedAt = now;
}

void UpstreamTracker::onAttemptStarted(UpstreamRecord &record, const AttemptLoad &load, base::TimePoint now)
{
    if (!record.isRead()) {
        record.silentSince = now;
    }
    ++record.inflight;
    record.inflightTokens += load.memoryTokens;
    record.prefillTokens += load.prefillTokens;
    m_limits.onRequest(record.key(), now);
    if (load.room != Room::Free) {
        m_brittle.onRequest(record.key(), load.room, load.memoryTokens, now);
    }
    markUnreported(record);
}

void UpstreamTracker::onFirstOutput(UpstreamRecord &record, const AttemptLoad &load)
{
    record.prefillTokens -= load.prefillTokens;
    markUnreported(record);
}

void UpstreamTracker::onReadingPaused(UpstreamRecord &record)
{
    ++record.paused;
}

void UpstreamTracker::onReadingResumed(UpstreamRecord &record, base::TimePoint now)
{
    if (!record.isRead()) {
        record.silentSince = now;
    }
    --record.paused;
}

void UpstreamTracker::onAttemptEnded(UpstreamRecord &record, const AttemptLoad &load, bool hasStarted, AttemptEnd end, base::TimePoint now)
{
    --record.inflight;
    record.inflightTokens -= load.memoryTokens;
    if (!hasStarted) {
        record.prefillTokens -= load.prefillTokens;
    }
    markUnreported(record);
    if (end == AttemptEnd::NotExecuted) {
        return; // does not indicate a fault of the upstream
    }
    const bool isFailure = end != AttemptEnd::Answered;
    record.failureShare += FailureWeight * ((isFailure ? 1.0 : 0.0) - record.failureShare);
    if (end != AttemptEnd::NotSent) {
        record.consecutiveConnectFailures = 0;
        return;
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(record.consecutiveConnectFailures, 4);
    record.backoffUntil = now + std::min<base::Duration>(InitialBackoff * (1U << doublings), MaxBackoff);
    ++record.consecutiveConnectFailures;
}

void UpstreamTracker::adoptLeaving(UpstreamRecord &record)
{
    const auto it = m_leaving.find(record.idHash);
    record.isLeaving = it != m_leaving.end() && record.upstream.startTimeMs <= it->second.startTimeMs;
    if (it != m_leaving.end() && !record.isLeaving) {
        m_leaving.erase(it); // a new incarnation
    }
}

bool UpstreamTracker::addLeaving(std::uint64_t idHash, std::uint64_t startTimeMs, base::TimePoint now)
{
    if (const auto it = m_leaving.find(idHash); it != m_leaving.end() && it->second.startTimeMs >= startTimeMs) {
        return false;
    }
    std::erase_if(m_leaving, [now](const auto &it) {
        return now - it.second.since >= MaxLeavingTime;
    });
    if (m_leaving.size() >= MaxReportedLeaving && !m_leaving.contains(idHash)) {
        const auto oldest = std::min_element(m_leaving.begin(), m_leaving.end(), [](const auto &left, const auto &right) {
            return left.second.since < right.second.since;
        });
        m_leaving.erase(oldest);
    }
    m_leaving[idHash] = Leaving{startTimeMs, now, false};
    return true;
}

bool UpstreamTracker::onLeaving(UpstreamRecord &record, base::TimePoint now)
{
    record.isLeaving = true;
    return addLeaving(record.idHash, record.upstream.startTimeMs, now);
}

void UpstreamTracker::onPause(UpstreamRecord &record, base::Duration pause, base::Duration spread, base::TimePoint now)
{
    record.pausedUntil = std::max(record.pausedUntil, now + pause + spread);
}

bool UpstreamTracker::onLimit(const UpstreamRecord &record, std::optional<double> perSecond, base::TimePoint sentAt, base::TimePoint now)
{
    return m_limits.observe(record.key(), perSecond, sentAt, now);
}

RequestLimits &UpstreamTracker::limits()
{
    return m_limits;
}

const RequestLimits &UpstreamTracker::limits() const
{
    return m_limits;
}

bool UpstreamTracker::mayStart(const UpstreamRecord &record, base::TimePoint now) const
{
    return record.takesRequests(now) && now >= m_limits.nextRequestAt(record.key()).value_or(now);
}

std::optional<NextRequest> UpstreamTracker::nextRequest(const base::PoolName &pool, std::span<const base::UpstreamId> excluded, const SoftwareSet *software,
                                                        base::TimePoint now) const
{
    std::optional<NextRequest> first;
    for (const UpstreamRecord *record : members(pool)) {
        if (!record->isStaying() || !record->runsOneOf(software) || std::find(excluded.begin(), excluded.end(), record->upstream.id) != excluded.end()) {
            continue;
        }
        base::TimePoint limitedUntil = m_limits.nextRequestAt(record->key()).value_or(base::TimePoint{});
        const auto brittle = rejections(*record);
        if (brittle && !isMostlyHeard() && m_brittle.isForOthers(record->key(), *brittle, record->upstream.slots)) {
            limitedUntil = base::TimePoint::max();
        }
        const NextRequest next{std::max(record->pausedUntil, limitedUntil), limitedUntil > record->pausedUntil};
        if (now >= next.at) {
            return std::nullopt;
        }
        if (!first || next.at < first->at) {
            first = next;
        }
    }
    return first;
}

std::vector<LeavingUpstream> UpstreamTracker::takeLeaving()
{
    std::vector<LeavingUpstream> out;
    for (auto &[idHash, it] : m_leaving) {
        if (!it.isReported) {
            it.isReported = true;
            out.push_back({idHash, it.startTimeMs});
        }
    }
    return out;
}

std::vector<LeavingUpstream> UpstreamTracker::leaving() const
{
    std::vector<LeavingUpstream> out;
    for (const auto &[idHash, it] : m_leaving) {
        out.push_back({idHash, it.startTimeMs});
    }
    return out;
}

std::vector<const UpstreamRecord *> UpstreamTracker::applyLeaving(std::span<const LeavingUpstream> leaving, base::TimePoint now)
{
    std::vector<const UpstreamRecord *> found;
    for (const LeavingUpstream &it : leaving) {
        const auto listed = m_byIdHash.find(it.upstream);
        const bool isEnded = listed != m_byIdHash.end() && listed->second->upstream.startTimeMs > it.startTimeMs;
        if (isEnded || !addLeaving(it.upstream, it.startTimeMs, now) || listed == m_byIdHash.end()) {
            continue;
        }
        listed->second->isLeaving = true;
        found.push_back(listed->second);
    }
    return found;
}

std::vector<const UpstreamRecord *> UpstreamTracker::applyLimits(std::span<const UpstreamNotice> limits, base::TimePoint now)
{
    std::vector<const UpstreamRecord *> found;
    for (const UpstreamNotice &it : limits) {
        const auto listed = m_byIdHash.find(it.upstream);
        const bool isEnded = listed != m_byIdHash.end() && listed->second->upstream.startTimeMs > it.startTimeMs;
        if (!isEnded && m_limits.apply(it, now) && listed != m_byIdHash.end()) {
            found.push_back(listed->second);
        }
    }
    return found;
}

void UpstreamTracker::onLoadSample(UpstreamRecord &record, const LoadSample &sample, base::TimePoint now)
{
    const std::uint32_t total = sample.running + sample.waiting;
    record.otherRoutersLoad = total > record.inflight ? total - record.inflight : 0;
    record.waiting = sample.waiting;
    record.sampledAt = now;
    if (sample.pace) {
        record.pace.record(*sample.pace, now);
    }
}

void UpstreamTracker::onPromptSent(std::uint64_t cacheKey, const UpstreamRecord &record, base::TimePoint now)
{
    if (m_newPlacements.size() < MaxReportRows) {
        m_newPlacements.push_back({cacheKey, record.idHash});
    }
    m_placements.onPromptSent(cacheKey, record.idHash, now);
}

const PrefixPlacements &UpstreamTracker::placements() const
{
    return m_placements;
}

const UpstreamRecord *UpstreamTracker::findKvSource(std::uint64_t cacheKey, const UpstreamRecord &destination, base::TimePoint now) const
{
    const auto isUsable = [this, &destination, now](std::uint64_t key) {
        const auto it = m_byIdHash.find(key);
        return it != m_byIdHash.end() && it->second != &destination && it->second->upstream.pool == destination.upstream.pool && it->second->isStaying()
               && now >= it->second->backoffUntil;
    };
    const auto key = m_placements.findHolder(cacheKey, now, isUsable);
    return key ? m_byIdHash.at(*key) : nullptr;
}

bool UpstreamTracker::applyReport(const LoadReport &report, base::TimePoint now)
{
    if (!m_peers.apply(report, now)) {
        return false;
    }
    for (const PrefixPlacement &placement : report.placements) {
        m_placements.onPromptSent(placement.cacheKey, placement.upstream, now);
    }
    m_summaries.onReport(report, now);
    return true;
}

void UpstreamTracker::applySummary(const LoadSummary &summary, base::TimePoint now)
{
    if (!m_summaries.onSummary(summary, now)) {
        return;
    }
    for (const PrefixPlacement &placement : summary.placements) {
        m_placements.onPromptSent(placement.cacheKey, placement.upstream, now);
    }
}

LoadSummaries &UpstreamTracker::summaries()
{
    return m_summaries;
}

const LoadSummaries &UpstreamTracker::summaries() const
{
    return m_summaries;
}

std::size_t UpstreamTracker::removeSilentPeers(base::TimePoint now)
{
    return m_peers.expire(now);
}

std::size_t UpstreamTracker::peers() const
{
    return m_peers.peers();
}

void UpstreamTracker::markUnreported(UpstreamRecord &record)
{
    if (record.isReported) {
        record.isReported = false;
        m_unreported.push_back(&record);
    }
}

LoadReport UpstreamTracker::takeChanges()
{
    LoadReport report;
    while (!m_unreported.empty() && report.loads.size() < MaxReportRows) {
        UpstreamRecord &record = *m_unreported.back();
        m_unreported.pop_back();
        record.isReported = true;
        report.loads.push_back(ownLoad(record));
    }
    // A prompt that was sent twice since the last call is listed once.
    report.placements = std::exchange(m_newPlacements, {});
    std::sort(report.placements.begin(), report.placements.end());
    report.placements.erase(std::unique(report.placements.begin(), report.placements.end()), report.placements.end());
    return report;
}

LoadReport UpstreamTracker::fullReport() const
{
    LoadReport report;
    report.isFullReport = true;
    for (const auto &[id, record] : m_records) {
        if (record.inflight > 0 && report.loads.size() < MaxReportRows) {
            report.loads.push_back(ownLoad(record));
        }
    }
    return report;
}

TotalLoad UpstreamTracker::totalLoad(const UpstreamRecord &record, std::uint32_t routers, base::TimePoint now) const
{
    TotalLoad load;
    const std::size_t others = routers > 0 ? routers - 1 : 0;
    std::optional<PeerUpstreamLoad> known = m_summaries.isActive() ? m_summaries.others(record.idHash, now) : std::nullopt;
    if (!known && m_peers.peers() * 2 >= others) {
        known = m_peers.at(record.idHash);
    }
    if (known) {
        load.requests = static_cast<double>(record.inflight) + known->requests;
        load.prefillTokens = static_cast<double>(record.prefillTokens) + known->prefillTokens;
        load.memoryTokens = static_cast<double>(record.inflightTokens) + known->memoryTokens;
        return load;
    }
    load.requests = record.load(now);
    // Each router sees only its own prefill load; the routers' shares are about equal.
    load.prefillTokens = static_cast<double>(record.prefillTokens) * routers;
    // Assumes that other routers' requests are as large as this router's own.
    load.memoryTokens = record.inflight == 0 ? 0 : load.requests * static_cast<double>(record.inflightTokens) / record.inflight;
    return load;
}

} // namespace carawaylatch::proxy
