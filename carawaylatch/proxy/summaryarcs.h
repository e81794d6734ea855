// Division of the ring of routers into arcs, whose load is summed up by one router each (loadsummaries.h).
//
// The ring is all listed routers in the order of their endpoints; a router is named by its index there. It is divided
// into as few arcs as possible of at most MaxArcRouters, of nearly equal length. A router reports to its 16 neighbours
// on each side, so the router in the middle of an arc receives the reports of the whole arc. The routers of an arc are
// ranked by distance from the middle; of two at the same distance, the one before the middle goes first.
#pragma once

#include <cstddef>

#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

constexpr std::size_t MaxArcRouters = 33; // MaxReportPeers + 1: what the middle of an arc hears, and itself
// Up to this number of routers, each router hears at least half of the others, which is enough without summaries.
constexpr std::size_t MaxRoutersWithoutSummaries = 65; // 2 * MaxReportPeers + 1
constexpr std::size_t MaxSummarizers = 5; // ranks of an arc that ever send summaries
constexpr std::size_t SummaryRanks = 2; // ranks of another arc that always get the arc summary

struct Arc
{
    std::size_t begin = 0; // index of its first router
    std::size_t size = 0; // at most MaxArcRouters

    bool operator==(const Arc &) const = default;
};

// All of these require at least one router, and an index, arc and rank that exist.
[[nodiscard]] std::size_t arcCount(std::size_t routers);
[[nodiscard]] Arc arcAt(std::size_t routers, std::size_t arc);
[[nodiscard]] std::size_t arcOf(std::size_t routers, std::size_t index);
[[nodiscard]] std::size_t rankIn(const Arc &arc, std::size_t index);
[[nodiscard]] std::size_t indexOfRank(const Arc &arc, std::size_t rank);

// Time between two summaries of a summarizer.
[[nodiscard]] base::Duration summaryInterval(std::size_t routers);
// A summarizer that has been silent for longer is taken as stopped.
[[nodiscard]] base::Duration summaryTimeout(std::size_t routers);

} // namespace carawaylatch::proxy
