// Reports and summaries are kept with all their rows (summedloads.h); which of them are in the sums is decided when they
// arrive, and in due().
#include "carawaylatch/proxy/loadsummaries.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "carawaylatch/proxy/peerload.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr std::size_t MaxArcSenders = 1024; // MaxSummarizers for each arc of 6,700 routers
constexpr std::size_t MaxOwnReports = 16; // OwnLoadAge has two or three; older ones take effect early

std::uint32_t scaled(std::uint32_t total, std::uint32_t own, double factor)
{
    const double value = std::round(static_cast<double>(total > own ? total - own : 0) * factor);
    return static_cast<std::uint32_t>(std::min<double>(value, std::numeric_limits<std::uint32_t>::max()));
}

void addPlacements(std::vector<PrefixPlacement> &to, const std::vector<PrefixPlacement> &placements)
{
    const std::size_t room = MaxReportRows - std::min(MaxReportRows, to.size());
    to.insert(to.end(), placements.begin(), placements.begin() + static_cast<std::ptrdiff_t>(std::min(room, placements.size())));
}

std::uint32_t saturatedSum(std::uint32_t a, std::uint32_t b)
{
    return a > std::numeric_limits<std::uint32_t>::max() - b ? std::numeric_limits<std::uint32_t>::max() : a + b;
}

} // namespace

LoadSummaries::LoadSummaries(std::uint64_t self, std::uint64_t incarnation)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_reports(PeerLoad::MaxPeers + 1)
    , m_otherArcs(MaxArcSenders)
    , m_fleet(MaxSummarizers)
{
    m_reports.apply(m_self, m_incarnation, true, {}, {});
}

void LoadSummaries::setRouters(std::span<const base::Endpoint> endpoints, std::span<const std::uint64_t> keys, const base::Endpoint &self, base::TimePoint now)
{
    if (std::equal(endpoints.begin(), endpoints.end(), m_endpoints.begin(), m_endpoints.end())
        && std::equal(keys.begin(), keys.end(), m_keys.begin(), m_keys.end())) {
        return;
    }
    m_endpoints.assign(endpoints.begin(), endpoints.end());
    m_keys.assign(keys.begin(), keys.end());
    std::vector<Router> ring;
    ring.reserve(endpoints.size());
    for (std::size_t i = 0; i < std::min(endpoints.size(), keys.size()); ++i) {
        ring.push_back({endpoints[i], keys[i]});
    }
    std::sort(ring.begin(), ring.end());
    ring.erase(std::unique(ring.begin(), ring.end(),
                           [](const Router &a, const Router &b) {
                               return a.endpoint == b.endpoint;
                           }),
               ring.end());
    if (ring == m_ring) {
        return;
    }
    const std::size_t formerArcs = m_arcs;
    const std::vector<std::uint64_t> formerBetter = betterRanked();
    m_ring = std::move(ring);
    onListChanged(self);
    // A summarizer of another rank than the first has already waited for the better-ranked ones if these are the same.
    if (!m_isActing || m_arcs != formerArcs || betterRanked() != formerBetter) {
        m_betterHeardAt = now;
    }
    countArcs(now);
    updateActing(now);
    updateUsed(now);
}

void LoadSummaries::onListChanged(const base::Endpoint &self)
{
    m_indexes.clear();
    m_index.reset();
    const auto it = std::find_if(m_ring.begin(), m_ring.end(), [&self](const Router &router) {
        return router.endpoint == self;
    });
    if (it == m_ring.end() || m_ring.size() <= MaxRoutersWithoutSummaries) {
        m_arcs = 0;
    } else {
        const std::size_t arcs = arcCount(m_ring.size());
        if (arcs != m_arcs) {
            // Sums of arcs of another division would count some routers twice. Fleet summaries cover all arcs and stay usable.
            m_otherArcs.removeIf([](std::uint64_t, const SummedLoads::Sender &) {
                return true;
            });
        }
        m_arcs = arcs;
        m_index = static_cast<std::size_t>(it - m_ring.begin());
        for (std::size_t i = 0; i < m_ring.size(); ++i) {
            m_indexes[m_ring[i].key] = i;
        }
        m_place.arc = arcOf(m_ring.size(), *m_index);
        m_arc = arcAt(m_ring.size(), m_place.arc);
        m_place.rank = rankIn(m_arc, *m_index);
        m_interval = summaryInterval(m_ring.size());
        m_timeout = summaryTimeout(m_ring.size());
    }
    m_lastSummarizers.clear();
    const auto isIn = [this](std::uint64_t key, bool isOwnArc) {
        const auto place = placeOf(key);
        return place && place->rank < MaxSummarizers && (place->arc == m_place.arc) == isOwnArc;
    };
    m_fleet.removeIf([&isIn](std::uint64_t key, const SummedLoads::Sender &) {
        return !isIn(key, true);
    });
    m_otherArcs.removeIf([&isIn](std::uint64_t key, const SummedLoads::Sender &) {
        return !isIn(key, false);
    });
    updateCounted();
}

bool LoadSummaries::isActive() const
{
    return m_index.has_value();
}

bool LoadSummaries::isCandidate() const
{
    return isActive() && m_place.rank < MaxSummarizers;
}

std::optional<LoadSummaries::Place> LoadSummaries::placeOf(std::uint64_t key) const
{
    const auto it = m_indexes.find(key);
    if (it == m_indexes.end()) {
        return std::nullopt;
    }
    const std::size_t arc = arcOf(m_ring.size(), it->second);
    return Place{arc, rankIn(arcAt(m_ring.size(), arc), it->second)};
}

// Keys of the better-ranked routers of this router's arc, if it may be a summarizer.
std::vector<std::uint64_t> LoadSummaries::betterRanked() const
{
    std::vector<std::uint64_t> keys;
    if (isCandidate()) {
        for (std::size_t rank = 0; rank < m_place.rank; ++rank) {
            keys.push_back(m_ring[indexOfRank(m_arc, rank)].key);
        }
    }
    return keys;
}

void LoadSummaries::onReport(const LoadReport &report, base::TimePoint now)
{
    if (report.sender == m_self) {
        return;
    }
    SummedLoads::Sender *sender = m_reports.apply(report.sender, report.incarnation, report.isFullReport, report.loads, now);
    if (!isCandidate()) {
        return;
    }
    const auto place = placeOf(report.sender);
    const bool isOfArc = place && place->arc == m_place.arc;
    if (sender != nullptr) {
        m_reports.setCounted(*sender, isOfArc);
    }
    if (isOfArc && m_isActing) {
        addPlacements(m_arcOut.placements, report.placements);
        addPlacements(m_fleetOut.placements, report.placements); // routers of the arc hear only their neighbours
    }
}

void LoadSummaries::onOwnLoad(const LoadReport &report, base::TimePoint now)
{
    if (!report.loads.empty() || report.isFullReport) {
        m_reports.apply(m_self, m_incarnation, report.isFullReport, report.loads, now);
        m_ownReports.push_back({now, report.isFullReport, report.loads});
    }
    if (m_isActing) {
        addPlacements(m_arcOut.placements, report.placements);
        addPlacements(m_fleetOut.placements, report.placements);
    }
    applyOwnLoad(now - OwnLoadAge);
}

// Brings m_ownEarlier to that time.
void LoadSummaries::applyOwnLoad(base::TimePoint until)
{
    while (!m_ownReports.empty() && (m_ownReports.front().at <= until || m_ownReports.size() > MaxOwnReports)) {
        const OwnReport &report = m_ownReports.front();
        if (report.isFull) {
            m_ownEarlier.clear();
        }
        for (const PeerUpstreamLoad &load : report.loads) {
            if (load.requests == 0 && load.prefillTokens == 0 && load.memoryTokens == 0) {
                m_ownEarlier.erase(load.upstream);
            } else {
                m_ownEarlier[load.upstream] = load;
            }
        }
        m_ownReports.pop_front();
    }
}

bool LoadSummaries::onSummary(const LoadSummary &summary, base::TimePoint now)
{
    const auto place = placeOf(summary.sender);
    if (!isActive() || summary.sender == m_self || summary.arcs != m_arcs || !place || place->arc != summary.arc || place->rank >= MaxSummarizers) {
        return false; // not of this division of the ring
    }
    if (summary.isFleet != (place->arc == m_place.arc)) {
        return false;
    }
    if (summary.isFleet) {
        // One that has just started knows little; this router goes on until the other knows as much as is usable.
        if (place->rank < m_place.rank && (isCoverageUsable(summary.coveredRouters) || !isCoverageUsable(fleetCovered()))) {
            m_betterHeardAt = now;
            updateActing(now);
        }
        if (SummedLoads::Sender *sender = m_fleet.apply(summary.sender, summary.incarnation, summary.isFull, summary.loads, now)) {
            sender->coveredRouters = summary.coveredRouters;
        }
        updateUsed(now);
        return true;
    }
    if (!isCandidate()) {
        return true; // this router never needs the sums of other arcs
    }
    if (place->rank >= SummaryRanks) {
        m_lastSummarizers[place->arc] = {m_ring[m_indexes.at(summary.sender)].endpoint, now};
    }
    if (SummedLoads::Sender *sender = m_otherArcs.apply(summary.sender, summary.incarnation, summary.isFull, summary.loads, now)) {
        const std::size_t size = arcAt(m_ring.size(), place->arc).size;
        sender->coveredRouters = static_cast<std::uint32_t>(std::min<std::size_t>(summary.coveredRouters, size));
    }
    if (m_isActing) {
        addPlacements(m_fleetOut.placements, summary.placements);
    }
    return true;
}

void LoadSummaries::expireReports(base::TimePoint now)
{
    m_reports.removeIf([this, now](std::uint64_t key, const SummedLoads::Sender &sender) {
        return key != m_self && now - sender.lastHeardAt > PeerLoad::PeerTimeout;
    });
}

// Counts the reports of this router's arc, if it may be its summarizer.
void LoadSummaries::updateCounted()
{
    for (auto &[key, sender] : m_reports.senders()) {
        const auto place = placeOf(key);
        m_reports.setCounted(sender, isCandidate() && (key == m_self || (place && place->arc == m_place.arc)));
    }
}

// Counts the best-ranked summarizer of each other arc of which a summary has arrived within the timeout, rather one that
// covers half of its arc: one that has just started knows little.
void LoadSummaries::countArcs(base::TimePoint now)
{
    std::unordered_map<std::size_t, std::tuple<bool, std::size_t, std::uint64_t>> best; // partial coverage, rank and key, by arc
    for (const auto &[key, sender] : m_otherArcs.senders()) {
        const auto place = placeOf(key);
        if (!place || now - sender.lastHeardAt > m_timeout) {
            continue;
        }
        const bool isPartial = std::uint64_t{sender.coveredRouters} * 2 < arcAt(m_ring.size(), place->arc).size;
        const std::tuple candidate{isPartial, place->rank, key};
        const auto [it, isNew] = best.try_emplace(place->arc, candidate);
        if (!isNew) {
            it->second = std::min(it->second, candidate);
        }
    }
    for (auto &[key, sender] : m_otherArcs.senders()) {
        const auto place = placeOf(key);
        const auto it = place ? best.find(place->arc) : best.end();
        m_otherArcs.setCounted(sender, it != best.end() && std::get<2>(it->second) == key);
    }
    std::erase_if(m_lastSummarizers, [this, now](const auto &it) {
        return now - it.second.second > m_timeout;
    });
}

void LoadSummaries::updateActing(base::TimePoint now)
{
    const base::Duration wait = m_timeout + static_cast<int>(m_place.rank) * RankDelay;
    const bool isActing = isCandidate() && (m_place.rank == 0 || now - m_betterHeardAt >= wait);
    if (isActing != m_isActing) {
        m_isActing = isActing;
        m_nextAt = now;
        m_arcOut = {};
        m_fleetOut = {};
    }
}

std::vector<std::pair<std::vector<base::Endpoint>, LoadSummary>> LoadSummaries::due(base::TimePoint now)
{
    expireReports(now);
    applyOwnLoad(now - OwnLoadAge);
    std::vector<std::pair<std::vector<base::Endpoint>, LoadSummary>> messages;
    if (!isActive()) {
        return messages;
    }
    countArcs(now);
    updateActing(now);
    updateUsed(now);
    if (!m_isActing) {
        m_reports.discardChanged();
        m_otherArcs.discardChanged();
        return messages;
    }
    if (now < m_nextAt) {
        return messages;
    }
    m_nextAt += m_interval;
    if (m_nextAt <= now) {
        // The caller is late. Half an interval later, so that a caller that always is a little late misses none.
        m_nextAt = now + m_interval / 2;
    }
    m_reports.takeChanged(m_arcOut.pending);
    m_fleetOut.pending.insert(m_arcOut.pending.begin(), m_arcOut.pending.end());
    m_otherArcs.takeChanged(m_fleetOut.pending);
    for (const bool isFleet : {false, true}) {
        const std::vector<base::Endpoint> receivers = isFleet ? fleetReceivers() : arcReceivers();
        for (LoadSummary &summary : nextSummaries(isFleet ? m_fleetOut : m_arcOut, isFleet, receivers, now)) {
            messages.emplace_back(receivers, std::move(summary));
        }
    }
    return messages;
}

std::vector<LoadSummary> LoadSummaries::nextSummaries(Outgoing &out, bool isFleet, const std::vector<base::Endpoint> &receivers, base::TimePoint now)
{
    std::set<base::Endpoint> current(receivers.begin(), receivers.end());
    if (!std::includes(out.receivers.begin(), out.receivers.end(), current.begin(), current.end())) {
        out.fullUntil = now + NewReceiverTime;
    }
    out.receivers = std::move(current);
    LoadSummary summary;
    summary.sender = m_self;
    summary.incarnation = m_incarnation;
    summary.isFleet = isFleet;
    summary.arc = static_cast<std::uint16_t>(m_place.arc);
    summary.arcs = static_cast<std::uint16_t>(m_arcs);
    summary.coveredRouters = isFleet ? fleetCovered() : arcCovered();
    const bool isFull = now < out.fullUntil || now - out.fullAt >= FullInterval;
    if (isFull) {
        out.fullAt = now;
        out.nextUpstream = 0;
        addAllUpstreams(out, isFleet); // beside those whose load has ended
    }
    std::vector<LoadSummary> summaries{summary};
    summaries.front().isFull = isFull;
    summaries.front().placements = std::exchange(out.placements, {});
    takeRows(out, summaries.front());
    // Those that a full summary has no room for follow at once, so that a receiver that knows nothing soon has all.
    while (isFull && !out.pending.empty()) {
        takeRows(out, summaries.emplace_back(summary));
    }
    return summaries;
}

void LoadSummaries::takeRows(Outgoing &out, LoadSummary &summary) const
{
    while (!out.pending.empty() && summary.loads.size() < MaxReportRows) {
        auto it = out.pending.lower_bound(out.nextUpstream);
        if (it == out.pending.end()) {
            it = out.pending.begin();
        }
        summary.loads.push_back(summary.isFleet ? fleetRow(*it) : m_reports.at(*it));
        out.nextUpstream = *it + 1;
        out.pending.erase(it);
    }
}

void LoadSummaries::addAllUpstreams(Outgoing &out, bool isFleet) const
{
    m_reports.addUpstreams(out.pending);
    if (isFleet) {
        m_otherArcs.addUpstreams(out.pending);
    }
}

PeerUpstreamLoad LoadSummaries::fleetRow(std::uint64_t upstream) const
{
    PeerUpstreamLoad row = m_reports.at(upstream);
    const PeerUpstreamLoad other = m_otherArcs.at(upstream);
    row.requests = saturatedSum(row.requests, other.requests);
    row.prefillTokens = saturatedSum(row.prefillTokens, other.prefillTokens);
    row.memoryTokens = saturatedSum(row.memoryTokens, other.memoryTokens);
    return row;
}

std::uint32_t LoadSummaries::arcCovered() const
{
    const auto &senders = m_reports.senders();
    return static_cast<std::uint32_t>(std::count_if(senders.begin(), senders.end(), [](const auto &it) {
        return it.second.isCounted;
    }));
}

std::uint32_t LoadSummaries::fleetCovered() const
{
    std::uint32_t covered = arcCovered();
    for (const auto &[key, sender] : m_otherArcs.senders()) {
        covered += sender.isCounted ? sender.coveredRouters : 0;
    }
    return covered;
}

bool LoadSummaries::isCoverageUsable(std::uint32_t covered) const
{
    return std::uint64_t{covered} * 2 >= m_ring.size();
}

// Chooses what others() uses: the fleet summary of the best-ranked summarizer that is not silent and covers enough, or
// the own sums.
void LoadSummaries::updateUsed(base::TimePoint now)
{
    m_used = nullptr;
    m_usedCovered = 0;
    std::uint32_t covered = 0;
    std::size_t bestRank = MaxSummarizers;
    if (m_isActing) {
        covered = fleetCovered();
    } else {
        for (const auto &[key, sender] : m_fleet.senders()) {
            const auto place = placeOf(key);
            const bool isUsable = now - sender.lastHeardAt <= m_timeout && isCoverageUsable(sender.coveredRouters);
            if (place && place->rank < bestRank && isUsable) {
                bestRank = place->rank;
                m_used = &sender;
                covered = sender.coveredRouters;
            }
        }
    }
    if (isCoverageUsable(covered)) {
        m_usedCovered = static_cast<std::uint32_t>(std::min<std::size_t>(covered, m_ring.size()));
    }
}

std::uint32_t LoadSummaries::coveredRouters(base::TimePoint now) const
{
    const bool isUsable = isActive() && (m_isActing || (m_used != nullptr && now - m_used->lastHeardAt <= m_timeout));
    return isUsable ? m_usedCovered : 0;
}

std::optional<PeerUpstreamLoad> LoadSummaries::others(std::uint64_t upstream, base::TimePoint now) const
{
    const std::uint32_t covered = coveredRouters(now);
    if (covered == 0) {
        return std::nullopt;
    }
    PeerUpstreamLoad total;
    PeerUpstreamLoad own;
    if (m_isActing) {
        total = fleetRow(upstream);
        own = m_reports.row(m_self, upstream);
    } else {
        if (const auto it = m_used->rows.find(upstream); it != m_used->rows.end()) {
            total = it->second.load;
        }
        if (const auto it = m_ownEarlier.find(upstream); it != m_ownEarlier.end()) {
            own = it->second;
        }
    }
    const double factor = static_cast<double>(m_ring.size() - 1) / (covered - 1);
    return PeerUpstreamLoad{upstream, scaled(total.requests, own.requests, factor), scaled(total.prefillTokens, own.prefillTokens, factor),
                            scaled(total.memoryTokens, own.memoryTokens, factor)};
}

std::vector<base::Endpoint> LoadSummaries::arcReceivers() const
{
    std::vector<base::Endpoint> receivers;
    for (std::size_t arc = 0; arc < m_arcs; ++arc) {
        if (arc == m_place.arc) {
            continue;
        }
        const Arc other = arcAt(m_ring.size(), arc);
        for (std::size_t rank = 0; rank < std::min(SummaryRanks, other.size); ++rank) {
            receivers.push_back(m_ring[indexOfRank(other, rank)].endpoint);
        }
        if (const auto it = m_lastSummarizers.find(arc); it != m_lastSummarizers.end()) {
            receivers.push_back(it->second.first);
        }
    }
    return receivers;
}

std::vector<base::Endpoint> LoadSummaries::fleetReceivers() const
{
    std::vector<base::Endpoint> receivers;
    for (std::size_t i = m_arc.begin; i < m_arc.begin + m_arc.size; ++i) {
        if (i != *m_index) {
            receivers.push_back(m_ring[i].endpoint);
        }
    }
    return receivers;
}

std::vector<base::Endpoint> LoadSummaries::receivers() const
{
    if (!isActive() || (m_place.rank >= SummaryRanks && !m_isActing)) {
        return {};
    }
    std::vector<base::Endpoint> all = arcReceivers();
    const std::vector<base::Endpoint> members = fleetReceivers();
    all.insert(all.end(), members.begin(), members.end());
    return all;
}

std::uint32_t LoadSummaries::summedRouters() const
{
    return m_isActing ? fleetCovered() : 0;
}

std::optional<std::uint16_t> LoadSummaries::summarizedArc() const
{
    return m_isActing ? std::optional(static_cast<std::uint16_t>(m_place.arc)) : std::nullopt;
}

} // namespace carawaylatch::proxy
