// Arc k holds the indexes from k * routers / arcs up to (k + 1) * routers / arcs, rounded down.
#include "carawaylatch/proxy/summaryarcs.h"

#include <algorithm>

namespace carawaylatch::proxy
{

namespace
{

constexpr base::Duration MinSummaryInterval = base::milliseconds{50}; // of load reports, which summaries add up
constexpr base::Duration MinSummaryTimeout = base::milliseconds{500};
constexpr int TimeoutIntervals = 4; // summaries that may be lost or late
constexpr std::size_t MaxMessagesPerSecond = 700; // as many as a router sends and receives for reports
constexpr std::size_t MessagesPerArc = SummaryRanks + 1; // and the summarizer last heard from

std::size_t middleOf(const Arc &arc)
{
    return arc.begin + arc.size / 2;
}

} // namespace

std::size_t arcCount(std::size_t routers)
{
    return (routers + MaxArcRouters - 1) / MaxArcRouters;
}

Arc arcAt(std::size_t routers, std::size_t arc)
{
    const std::size_t arcs = arcCount(routers);
    const std::size_t begin = arc * routers / arcs;
    return {begin, (arc + 1) * routers / arcs - begin};
}

std::size_t arcOf(std::size_t routers, std::size_t index)
{
    return ((index + 1) * arcCount(routers) - 1) / routers;
}

std::size_t rankIn(const Arc &arc, std::size_t index)
{
    const std::size_t middle = middleOf(arc);
    return index < middle ? 2 * (middle - index) - 1 : 2 * (index - middle);
}

std::size_t indexOfRank(const Arc &arc, std::size_t rank)
{
    const std::size_t distance = (rank + 1) / 2;
    return rank % 2 == 1 ? middleOf(arc) - distance : middleOf(arc) + distance;
}

base::Duration summaryInterval(std::size_t routers)
{
    const std::size_t arcs = arcCount(routers);
    const std::size_t longestArc = (routers + arcs - 1) / arcs; // the same interval in all arcs
    const std::size_t messages = longestArc - 1 + MessagesPerArc * (arcs - 1);
    return std::max<base::Duration>(MinSummaryInterval, base::Duration{base::seconds{messages}} / MaxMessagesPerSecond);
}

base::Duration summaryTimeout(std::size_t routers)
{
    return std::max<base::Duration>(MinSummaryTimeout, TimeoutIntervals * summaryInterval(routers));
}

} // namespace carawaylatch::proxy
