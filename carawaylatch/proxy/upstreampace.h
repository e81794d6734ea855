// How long work takes at an upstream now, from the paces that its responses report.
//
// Handles upstreams whose speed changes many times a second. One figure reflects a single
// moment, so figures are averaged with a weight that decays over AveragingTime. The average
// loses its weight with the age of the latest figure and has none after MaxPaceAge: at the
// rate at which an upstream answers one router, an older figure carries no information.
#pragma once

#include <cstdint>

#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

// Bounds of the factor by which a pace multiplies the expected time of work. Many routers see the same figure at
// about the same time; without bounds all of them would choose the same upstream.
struct PaceBounds
{
    double least = 0.5;
    double most = 2;
};

class UpstreamPace
{
public:
    static constexpr std::uint32_t UsualPace = 100;
    static constexpr std::uint32_t MinPace = 25; // lower figures are raised to it
    static constexpr std::uint32_t MaxPace = 1000; // higher ones are lowered to it
    static constexpr base::Duration AveragingTime = base::milliseconds{100}; // smooths single figures, but follows a change
    static constexpr base::Duration MaxPaceAge = base::milliseconds{500};

    void record(std::uint32_t pace, base::TimePoint now);
    // Forgets all figures.
    void reset();
    // The time of work now as a multiple of the usual time; exactly 1 if no recent figure is known.
    [[nodiscard]] double factor(base::TimePoint now, const PaceBounds &bounds) const;

private:
    double m_sum = 0; // of the figures, each weighted by its age at m_recordedAt
    double m_weight = 0; // sum of these weights; zero: no figure is known
    base::TimePoint m_recordedAt; // of the latest figure
};

} // namespace carawaylatch::proxy
