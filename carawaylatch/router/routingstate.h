// What a router has learned about upstreams and their caches. Updated by the control
// thread, the poller's threads and traffic threads; read by traffic threads for each
// placement. The headers of the members say which functions each thread may call.
#pragma once

#include <atomic>
#include <cstdint>

#include "carawaylatch/prefix/cacheindex.h"
#include "carawaylatch/prefix/heat.h"
#include "carawaylatch/routing/strategy.h"
#include "carawaylatch/upstreams/inflight.h"

namespace carawaylatch::router
{

struct RoutingState
{
    explicit RoutingState(const prefix::CacheIndexOptions &options)
        : caches(options)
    {
    }

    [[nodiscard]] routing::SharedRoutingState sharedRoutingState() const
    {
        return {&caches, &heat, &inflight, &routers};
    }

    prefix::CacheIndex caches;
    prefix::HeatTable heat;
    upstreams::InflightTable inflight;
    std::atomic<std::uint32_t> routers = 1; // that send requests to the same upstreams, including this one
};

} // namespace carawaylatch::router
