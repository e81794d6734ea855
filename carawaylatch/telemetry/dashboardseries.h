// A bounded history of the router's rates for the operators' page.
//
// The control loop samples the totals every few seconds; each sample adds one
// point for the interval since the previous sample. The newest `capacity`
// points are kept. Not thread-safe: one thread adds samples, and the page is
// rendered from a copy.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "carawaylatch/base/time.h"
#include "carawaylatch/telemetry/metrics.h"

namespace carawaylatch::telemetry
{

// Rates and quantiles of one interval; `time` is its end.
struct DashboardPoint
{
    base::TimePoint time;
    double requestsPerSecond = 0;
    double refusalsPerSecond = 0;
    double tokensPerSecond = 0;
    std::optional<double> hitRate; // 0 to 1; empty if the interval has no prompt tokens
    std::optional<base::Duration> firstTokenP50; // of interactive requests; empty without one
    std::optional<base::Duration> firstTokenP99; // of interactive requests; empty without one
};

class DashboardSeries
{
public:
    explicit DashboardSeries(std::size_t capacity = 240);

    // Adds a point for the interval since the previous sample; the first sample adds none.
    void sample(base::TimePoint now, const MetricsTotals &totals);

    [[nodiscard]] const std::deque<DashboardPoint> &points() const
    {
        return m_points;
    }

private:
    std::size_t m_capacity;
    std::deque<DashboardPoint> m_points; // oldest first, never more than m_capacity
    base::TimePoint m_lastTime;
    std::optional<MetricsTotals> m_lastTotals;
};

} // namespace carawaylatch::telemetry
