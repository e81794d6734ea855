// Marks that a life of an upstream leaves: a set that only grows.
//
// A mark names (upstream, incarnation) and a generation. Odd generations mean
// leaving, even ones that an operator took the drain back. Merging keeps the
// greatest generation, so that routers agree in whatever order and however
// often marks arrive, and a new incarnation starts unmarked.
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

// Returns the source's name as it stands in logs, such as "load_report".
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
    // Merges a mark; tells whether it said something new.
    [[nodiscard]] bool merge(const LeavingMark &mark);
    [[nodiscard]] bool isLeaving(const base::UpstreamId &id, base::Incarnation incarnation) const;
    // Returns the mark's generation, zero without a mark.
    [[nodiscard]] std::uint32_t generation(const base::UpstreamId &id, base::Incarnation incarnation) const;
    [[nodiscard]] std::vector<LeavingMark> all() const;
    // Drops marks of an upstream whose incarnation is not `current`, beyond the newest few.
    void prune(const base::UpstreamId &id, base::Incarnation current);
    // Drops all marks of an upstream that is no longer configured.
    void drop(const base::UpstreamId &id);
    // Returns the number of upstreams with marks.
    [[nodiscard]] std::size_t upstreams() const;

private:
    struct Row
    {
        base::Incarnation incarnation;
        std::uint32_t generation = 0;
    };
    // Rows in order of arrival; at most MaxMarksPerUpstream after prune().
    std::map<base::UpstreamId, std::vector<Row>> m_rows;
};

} // namespace carawaylatch::upstreams
