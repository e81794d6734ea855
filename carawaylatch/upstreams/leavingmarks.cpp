// A grow-only map from (upstream, incarnation) to generation.
#include "carawaylatch/upstreams/leavingmarks.h"

#include <algorithm>

namespace carawaylatch::upstreams
{

namespace
{
constexpr std::size_t MaxMarksPerUpstream = 4;
} // namespace

std::string_view leavingSourceName(LeavingSource source)
{
    switch (source) {
    case LeavingSource::PlatformList:
        return "platform_list";
    case LeavingSource::LoadReport:
        return "load_report";
    case LeavingSource::Refusal:
        return "refusal";
    case LeavingSource::Drain:
        return "drain";
    case LeavingSource::Peer:
        return "peer";
    }
    return "unknown";
}

bool LeavingMarks::merge(const LeavingMark &mark)
{
    auto &rows = m_rows[mark.upstream];
    const auto it = std::find_if(rows.begin(), rows.end(), [&](const Row &row) {
        return row.incarnation == mark.incarnation;
    });
    if (it == rows.end()) {
        rows.push_back(Row{mark.incarnation, mark.generation});
        return true;
    }
    if (it->generation >= mark.generation) {
        return false;
    }
    it->generation = mark.generation;
    return true;
}

std::uint32_t LeavingMarks::generation(const base::UpstreamId &id, base::Incarnation incarnation) const
{
    const auto it = m_rows.find(id);
    if (it == m_rows.end()) {
        return 0;
    }
    for (const auto &row : it->second) {
        if (row.incarnation == incarnation) {
            return row.generation;
        }
    }
    return 0;
}

bool LeavingMarks::isLeaving(const base::UpstreamId &id, base::Incarnation incarnation) const
{
    return generation(id, incarnation) % 2 == 1;
}

std::vector<LeavingMark> LeavingMarks::all() const
{
    std::vector<LeavingMark> marks;
    for (const auto &[id, rows] : m_rows) {
        for (const auto &row : rows) {
            marks.push_back(LeavingMark{id, row.incarnation, row.generation});
        }
    }
    return marks;
}

void LeavingMarks::prune(const base::UpstreamId &id, base::Incarnation current)
{
    const auto it = m_rows.find(id);
    if (it == m_rows.end()) {
        return;
    }
    auto &rows = it->second;
    while (rows.size() > MaxMarksPerUpstream) {
        const auto oldest = std::find_if(rows.begin(), rows.end(), [&](const Row &row) {
            return row.incarnation != current;
        });
        rows.erase(oldest);
    }
}

void LeavingMarks::drop(const base::UpstreamId &id)
{
    m_rows.erase(id);
}

std::size_t LeavingMarks::upstreams() const
{
    return m_rows.size();
}

} // namespace carawaylatch::upstreams
