// Load that routers report to each other, and its summaries in large fleets, for trafficplane.h.
#include "carawaylatch/proxy/trafficplane.h"

#include <optional>
#include <utility>

namespace carawaylatch::proxy
{

LoadReport TrafficPlane::takeChanges()
{
    LoadReport report = m_tracker.takeChanges();
    m_tracker.summaries().onOwnLoad(report, now());
    return report;
}

LoadReport TrafficPlane::fullReport() const
{
    return m_tracker.fullReport();
}

void TrafficPlane::onReport(const LoadReport &report)
{
    if (m_tracker.applyReport(report, now())) {
        schedulePlacement(); // an upstream may have capacity again
    }
}

void TrafficPlane::onSummary(const LoadSummary &summary)
{
    ++m_counts.summariesReceived;
    m_tracker.applySummary(summary, now());
    schedulePlacement();
}

void TrafficPlane::sendSummaries(base::TimePoint at)
{
    LoadSummaries &summaries = m_tracker.summaries();
    const auto due = summaries.due(at);
    m_peers.setSummaryPeers(summaries.receivers());
    for (const auto &[receivers, summary] : due) {
        const std::string text = encodeLoadSummary(summary);
        for (const base::Endpoint &receiver : receivers) {
            m_peers.sendSummary(receiver, text);
        }
        m_counts.summariesSent += receivers.size();
    }
    logSummarizer();
}

void TrafficPlane::logSummarizer()
{
    const LoadSummaries &summaries = m_tracker.summaries();
    const std::optional<std::uint16_t> arc = summaries.summarizedArc();
    const std::optional<std::uint16_t> former = std::exchange(m_summarizedArc, arc);
    if (arc != former) {
        m_log.write(base::LogEvent::LoadSummarizer,
                    {{"arc", std::to_string(arc.value_or(former.value_or(0)))}, {"routers", std::to_string(summaries.summedRouters())}});
    }
}

} // namespace carawaylatch::proxy
