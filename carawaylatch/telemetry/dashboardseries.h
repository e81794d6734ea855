// A short history of the router's rates for its own page.
//
// The control loop samples the totals every few seconds; each sample becomes
// one point of what happened since the sample before. The ring keeps the newest
// `capacity` points and drops the oldest. One thread writes; the page is
// rendered from a copy.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "carawaylatch/base/time.h"
#include "carawaylatch/telemetry/metrics.h"

namespace carawaylatch::telemetry
{

struct DashboardPoint
{
    base::TimePoint time;
    double requestsPerSecond = 0;
    double refusalsPerSecond = 0;
    double tokensPerSecond = 0;
    std::optional<double> hitRate; // nothing without a prompt in the interval
    std::optional<base::Duration> firstTokenP50; // interactive
    std::optional<base::Duration> firstTokenP99; // interactive
};

class DashboardSeries
{
public:
    explicit DashboardSeries(std::size_t capacity = 240);

    // Adds the point between the former sample and this one; the first sample adds none.
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
