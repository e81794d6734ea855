// Replicated marks of upstream incarnations that are leaving; a grow-only set.
//
// A mark consists of (upstream, incarnation) and a generation. An odd generation
// means leaving, an even one that an operator revoked the drain. Merging keeps the
// highest generation, so that routers agree in whatever order and however often
// marks arrive. A new incarnation starts without a mark.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "carawaylatch/base/ids.h"

namespace carawaylatch::upstreams
{

enum class LeavingSource {
    PlatformList,
    LoadReport,
    Refusal,
    Drain,
    Peer,
};

// Returns the source's name in logs, such as "load_report".
[[nodiscard]] std::string_view leavingSourceName(LeavingSource source);

struct LeavingMark
{
    base::UpstreamId upstream;
    base::Incarnation incarnation;
    std::uint32_t generation = 1; // odd: leaving

    bool operator==(const LeavingMark &) const = default;
    [[nodiscard]] bool isLeaving() const
    {
        return generation % 2 == 1;
    }
};

class LeavingMarks
{
public:
    // Merges a mark; returns whether it changed the set.
    [[nodiscard]] bool merge(const LeavingMark &mark);
    [[nodiscard]] bool isLeaving(const base::UpstreamId &id, base::Incarnation incarnation) const;
    // Returns the mark's generation, or zero if there is none.
    [[nodiscard]] std::uint32_t generation(const base::UpstreamId &id, base::Incarnation incarnation) const;
    [[nodiscard]] std::vector<LeavingMark> all() const;
    // Removes the oldest marks of an upstream beyond MaxMarksPerUpstream, except that of `current`.
    void prune(const base::UpstreamId &id, base::Incarnation current);
    // Removes all marks of an upstream that is no longer configured.
    void drop(const base::UpstreamId &id);
    // Returns the number of upstreams with marks.
    [[nodiscard]] std::size_t upstreams() const;

private:
    struct Row
    {
        base::Incarnation incarnation;
        std::uint32_t generation = 0;
    };
    // In order of arrival; at most MaxMarksPerUpstream each after prune().
    std::map<base::UpstreamId, std::vector<Row>> m_rows;
};

} // namespace carawaylatch::upstreams
