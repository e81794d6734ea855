// Bookkeeping of upstreambook.h.
//
// Load of others is what an answer told less what this router had there itself;
// it fades linearly, because a sample says nothing about a second later.
#include "carawaylatch/proxy/upstreamtracker.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::proxy
{

namespace
{

// Weight of the newest attempt in the failure share: about the last ten count.
constexpr double FailureWeight = 0.1;
// Pause after the first connection that could not be made; doubles up to MaxAvoidance.
constexpr base::Duration FirstAvoidance = base::milliseconds{250};
// A crashed upstream is tried again this often, which bounds how late its return is noticed.
constexpr base::Duration MaxAvoidance = base::seconds{2};

UpstreamWork workOf(const UpstreamRecord &record)
{
    constexpr std::uint64_t Most = std::numeric_limits<std::uint32_t>::max();
    return {record.key, record.inflight, static_cast<std::uint32_t>(std::min(record.unreadTokens, Most)),
            static_cast<std::uint32_t>(std::min(record.inflightTokens, Most))};
}

} // namespace

double UpstreamRecord::load(base::TimePoint now) const
{
    const base::Duration age = now - sampledAt;
    const double fading = age >= SampleLife ? 0.0 : 1.0 - base::toSeconds(age) / base::toSeconds(SampleLife);
    return inflight + othersLoad * fading;
}

bool UpstreamRecord::isBackedUp(base::TimePoint now) const
{
    constexpr std::uint32_t MostWaiting = 1; // one that waits for the next step is no queue
    constexpr base::Duration BackedUpLife = base::milliseconds{300}; // about the time in which an engine ends a request
    return waiting > MostWaiting && now - sampledAt < BackedUpLife;
}

bool UpstreamRecord::isSilent(base::TimePoint now, double millisecondsPerToken) const
{
    // Above a load of weights, which holds an engine's runs up for about 600 ms.
    constexpr base::Duration LongestPause = base::milliseconds{800};
    // Prompts of other routers are read before and between this one's.
    constexpr double ReadingMargin = 3;
    const base::Duration reading = base::fromSeconds(static_cast<double>(unreadTokens) * millisecondsPerToken * ReadingMargin / 1000);
    return inflight > 0 && now - quietSince > LongestPause + reading;
}

void UpstreamBook::adopt(const FleetView &view, base::TimePoint now)
{
    for (auto &[id, record] : m_records) {
        record.isListed = false;
    }
    for (const Upstream &upstream : view.upstreams) {
        UpstreamRecord &record = m_records[upstream.id];
        if (record.upstream.bornMs != upstream.bornMs || record.upstream.endpoint != upstream.endpoint) {
            record.failureShare = 0;
            record.failuresInRow = 0;
            record.avoidUntil = now;
            record.othersLoad = 0;
            record.weights = {};
        }
        record.upstream = upstream;
        record.key = base::hash64(upstream.id.value());
        record.isListed = true;
        for (const auto &[model, weights] : upstream.models) {
            record.weights = std::max(record.weights, weights);
        }
    }
    std::erase_if(m_records, [](const auto &it) {
        return !it.second.isListed && it.second.inflight == 0 && it.second.isReported;
    });
    m_members.clear();
    m_byKey.clear();
    for (auto &[id, record] : m_records) {
        if (record.isListed) {
            m_byKey.emplace(record.key, &record);
            m_members[record.upstream.pool].push_back(&record);
        }
    }
}

UpstreamRecord *UpstreamBook::find(const base::UpstreamId &id)
{
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second;
}

const std::vector<UpstreamRecord *> &UpstreamBook::members(const base::PoolName &pool) const
{
    const auto it = m_members.find(pool);
    return it == m_members.end() ? m_noMembers : it->second;
}

void UpstreamBook::heard(UpstreamRecord &record, base::TimePoint now)
{
    record.quietSince = now;
}

void UpstreamBook::began(UpstreamRecord &record, const AttemptWeight &weight, base::TimePoint now)
{
    if (record.inflight == 0) {
        record.quietSince = now;
    }
    ++record.inflight;
    record.inflightTokens += weight.memoryTokens;
    record.unreadTokens += weight.unreadTokens;
    changed(record);
}

void UpstreamBook::started(UpstreamRecord &record, const AttemptWeight &weight)
{
    record.unreadTokens -= weight.unreadTokens;
    changed(record);
}

void UpstreamBook::ended(UpstreamRecord &record, const AttemptWeight &weight, bool hasStarted, AttemptEnd end, base::TimePoint now)
{
    --record.inflight;
    record.inflightTokens -= weight.memoryTokens;
    if (!hasStarted) {
        record.unreadTokens -= weight.unreadTokens;
    }
    changed(record);
    if (end == AttemptEnd::NotExecuted) {
        return; // says nothing about health
    }
    const bool isFailure = end != AttemptEnd::Answered;
    record.failureShare += FailureWeight * ((isFailure ? 1.0 : 0.0) - record.failureShare);
    if (end != AttemptEnd::NotSent) {
        record.failuresInRow = 0;
        return;
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(record.failuresInRow, 4);
    record.avoidUntil = now + std::min<base::Duration>(FirstAvoidance * (1U << doublings), MaxAvoidance);
    ++record.failuresInRow;
}

void UpstreamBook::sampled(UpstreamRecord &record, const LoadSample &sample, base::TimePoint now)
{
    const std::uint32_t total = sample.running + sample.waiting;
    record.othersLoad = total > record.inflight ? total - record.inflight : 0;
    record.waiting = sample.waiting;
    record.sampledAt = now;
}

void UpstreamBook::placed(std::uint64_t promptState, const UpstreamRecord &record, base::TimePoint now)
{
    if (m_newPlacements.size() < MaxReportRows) {
        m_newPlacements.push_back({promptState, record.key});
    }
    m_placements.placed(promptState, record.key, now);
}

const PromptPlacements &UpstreamBook::placements() const
{
    return m_placements;
}

const UpstreamRecord *UpstreamBook::holderOf(std::uint64_t promptState, const UpstreamRecord &taker, base::TimePoint now) const
{
    const auto isUsable = [this, &taker, now](std::uint64_t key) {
        const auto it = m_byKey.find(key);
        return it != m_byKey.end() && it->second != &taker && it->second->upstream.pool == taker.upstream.pool
               && it->second->upstream.phase == UpstreamPhase::Ready && now >= it->second->avoidUntil;
    };
    const auto key = m_placements.holder(promptState, now, isUsable);
    return key ? m_byKey.at(*key) : nullptr;
}

bool UpstreamBook::heardOf(const LoadReport &report, base::TimePoint now)
{
    if (!m_peers.apply(report, now)) {
        return false;
    }
    for (const PromptPlacement &placement : report.placements) {
        m_placements.placed(placement.promptState, placement.upstream, now);
    }
    return true;
}

std::size_t UpstreamBook::forgetSilentPeers(base::TimePoint now)
{
    return m_peers.expire(now);
}

std::size_t UpstreamBook::peers() const
{
    return m_peers.peers();
}

void UpstreamBook::changed(UpstreamRecord &record)
{
    if (record.isReported) {
        record.isReported = false;
        m_unreported.push_back(&record);
    }
}

LoadReport UpstreamBook::takeChanges()
{
    LoadReport report;
    while (!m_unreported.empty() && report.work.size() < MaxReportRows) {
        UpstreamRecord &record = *m_unreported.back();
        m_unreported.pop_back();
        record.isReported = true;
        report.work.push_back(workOf(record));
    }
    // A prompt that was sent twice since is named once.
    report.placements = std::exchange(m_newPlacements, {});
    std::sort(report.placements.begin(), report.placements.end());
    report.placements.erase(std::unique(report.placements.begin(), report.placements.end()), report.placements.end());
    return report;
}

LoadReport UpstreamBook::wholeReport() const
{
    LoadReport report;
    report.isWhole = true;
    for (const auto &[id, record] : m_records) {
        if (record.inflight > 0 && report.work.size() < MaxReportRows) {
            report.work.push_back(workOf(record));
        }
    }
    return report;
}

TotalWork UpstreamBook::workAt(const UpstreamRecord &record, std::uint32_t routers, base::TimePoint now) const
{
    TotalWork work;
    const std::size_t others = routers > 0 ? routers - 1 : 0;
    if (m_peers.peers() * 2 >= others) {
        const UpstreamWork peers = m_peers.at(record.key);
        work.requests = static_cast<double>(record.inflight) + peers.requests;
        work.unreadTokens = static_cast<double>(record.unreadTokens) + peers.unreadTokens;
        work.memoryTokens = static_cast<double>(record.inflightTokens) + peers.memoryTokens;
        return work;
    }
    work.requests = record.load(now);
    // Each router sees its own part of the queued work; the parts are about equal.
    work.unreadTokens = static_cast<double>(record.unreadTokens) * routers;
    // Others' requests are taken to be as large as this router's own.
    work.memoryTokens = record.inflight == 0 ? 0 : work.requests * static_cast<double>(record.inflightTokens) / record.inflight;
    return work;
}

} // namespace carawaylatch::proxy
