// Computes points from the differences of totals.
//
// Totals never decrease, so two samples are enough for a point: a rate is the
// difference divided by the time between the samples, and quantiles come from
// the histogram of that interval. A sample that is not later than the previous
// one is ignored, because a rate needs an interval above zero.
#include "carawaylatch/telemetry/dashboardseries.h"

#include <algorithm>

namespace carawaylatch::telemetry
{

namespace
{

double rate(std::uint64_t now, std::uint64_t before, double elapsed)
{
    return static_cast<double>(now - std::min(now, before)) / elapsed;
}

} // namespace

DashboardSeries::DashboardSeries(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(capacity, 1))
{
}

void DashboardSeries::sample(base::TimePoint now, const MetricsTotals &totals)
{
    const double elapsed = base::toSeconds(now - m_lastTime);
    if (m_lastTotals && elapsed <= 0) {
        return;
    }
    if (m_lastTotals) {
        const auto &last = *m_lastTotals;
        DashboardPoint point;
        point.time = now;
        point.requestsPerSecond = rate(totals.requests, last.requests, elapsed);
        point.refusalsPerSecond = rate(totals.refused, last.refused, elapsed);
        point.tokensPerSecond = rate(totals.deliveredTokens, last.deliveredTokens, elapsed);
        const double promptTokens = rate(totals.promptTokens, last.promptTokens, elapsed);
        if (promptTokens > 0) {
            point.hitRate = rate(totals.cachedTokens, last.cachedTokens, elapsed) / promptTokens;
        }
        const auto firstTokenTimes = totals.firstTokenInteractive.since(last.firstTokenInteractive);
        if (firstTokenTimes.total() > 0) {
            point.firstTokenP50 = firstTokenTimes.quantile(0.5);
            point.firstTokenP99 = firstTokenTimes.quantile(0.99);
        }
        m_points.push_back(point);
        if (m_points.size() > m_capacity) {
            m_points.pop_front();
        }
    }
    m_lastTime = now;
    m_lastTotals = totals;
}

} // namespace carawaylatch::telemetry
