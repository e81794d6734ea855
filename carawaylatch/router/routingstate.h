// What a router has learnt about upstreams and their caches; shared by the
// control thread, which feeds it, and traffic threads, which ask it.
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
    std::atomic<std::uint32_t> routers = 1; // that send to the same upstreams, this one included
};

} // namespace carawaylatch::router
