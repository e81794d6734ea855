// Bookkeeping of upstreambook.h.
//
// Load of others is what an answer told less what this router had there itself;
// it fades linearly, because a sample says nothing about a second later.
#include "carawaylatch/proxy/upstreambook.h"

#include <algorithm>

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
        record.isListed = true;
        for (const auto &[model, weights] : upstream.models) {
            record.weights = std::max(record.weights, weights);
        }
    }
    std::erase_if(m_records, [](const auto &it) {
        return !it.second.isListed && it.second.inflight == 0;
    });
    m_members.clear();
    for (auto &[id, record] : m_records) {
        if (record.isListed) {
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
}

void UpstreamBook::started(UpstreamRecord &record, const AttemptWeight &weight)
{
    record.unreadTokens -= weight.unreadTokens;
}

void UpstreamBook::ended(UpstreamRecord &record, const AttemptWeight &weight, bool hasStarted, AttemptEnd end, base::TimePoint now)
{
    --record.inflight;
    record.inflightTokens -= weight.memoryTokens;
    if (!hasStarted) {
        record.unreadTokens -= weight.unreadTokens;
    }
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

void UpstreamBook::placed(std::uint64_t promptKey, const base::UpstreamId &upstream)
{
    if (m_placements.size() >= MaxPlacements) {
        m_placements.clear();
    }
    auto &placements = m_placements[promptKey];
    if (placements.front() != upstream) {
        std::rotate(placements.begin(), placements.end() - 1, placements.end());
        placements.front() = upstream;
    }
}

bool UpstreamBook::isPlaced(std::uint64_t promptKey, const base::UpstreamId &upstream) const
{
    const auto it = m_placements.find(promptKey);
    return it != m_placements.end() && std::find(it->second.begin(), it->second.end(), upstream) != it->second.end();
}

} // namespace carawaylatch::proxy
