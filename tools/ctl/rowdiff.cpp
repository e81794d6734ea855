// The difference between rows, line by line.
//
// A key may occur several times (a pool's members), so fields are compared as a multiset of
// lines: lines on both sides are left out, the others are shown.
#include "tools/ctl/rowdiff.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>
#include <vector>

namespace carawaylatch::ctl
{

namespace
{

struct RowDiff
{
    std::string label;
    std::string_view change;
    std::vector<std::string> removed;
    std::vector<std::string> added;
};

std::vector<std::string> linesOf(const config::Row *row)
{
    std::vector<std::string> lines;
    if (row != nullptr) {
        for (const auto &it : row->fields) {
            lines.push_back(it.key + " = " + it.value);
        }
    }
    return lines;
}

// Returns the lines of `from` minus one occurrence of each line of `other`.
std::vector<std::string> linesOnlyIn(std::vector<std::string> from, const std::vector<std::string> &other)
{
    for (const auto &line : other) {
        const auto it = std::find(from.begin(), from.end(), line);
        if (it != from.end()) {
            from.erase(it);
        }
    }
    return from;
}

RowDiff diffOf(const config::RowSet &before, const config::RowChange &change)
{
    const auto *old = before.find(change.row.key);
    const bool isRemoval = change.kind == config::RowChange::Kind::Remove;
    const auto oldLines = linesOf(old);
    const auto newLines = linesOf(isRemoval ? nullptr : &change.row);
    RowDiff diff;
    diff.label = config::rowLabel(change.row.key);
    diff.change = isRemoval ? "removed" : (old == nullptr ? "added" : "changed");
    diff.removed = linesOnlyIn(oldLines, newLines);
    diff.added = linesOnlyIn(newLines, oldLines);
    return diff;
}

} // namespace

std::string renderChanges(const config::RowSet &before, std::span<const config::RowChange> changes)
{
    std::string text;
    for (const auto &it : changes) {
        const auto diff = diffOf(before, it);
        text += "[" + diff.label + "] " + std::string(diff.change) + "\n";
        for (const auto &line : diff.removed) {
            text += "  - " + line + "\n";
        }
        for (const auto &line : diff.added) {
            text += "  + " + line + "\n";
        }
    }
    return text;
}

nlohmann::ordered_json changesJson(const config::RowSet &before, std::span<const config::RowChange> changes)
{
    auto array = nlohmann::ordered_json::array();
    for (const auto &it : changes) {
        const auto diff = diffOf(before, it);
        array.push_back({{"row", diff.label}, {"change", diff.change}, {"removed", diff.removed}, {"added", diff.added}});
    }
    return array;
}

nlohmann::ordered_json rowJson(const config::Row &row)
{
    auto fields = nlohmann::ordered_json::array();
    for (const auto &it : row.fields) {
        fields.push_back({{"key", it.key}, {"value", it.value}});
    }
    return {{"kind", row.key.kind}, {"name", row.key.name}, {"revision", row.revision.value}, {"fields", std::move(fields)}};
}

} // namespace carawaylatch::ctl
