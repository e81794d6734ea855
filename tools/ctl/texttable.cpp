// Text table with aligned columns.
#include "tools/ctl/texttable.h"

#include <algorithm>

namespace carawaylatch::ctl
{

TextTable::TextTable(std::vector<std::string> headings)
{
    m_rows.push_back(std::move(headings));
}

void TextTable::add(std::vector<std::string> cells)
{
    cells.resize(m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

std::string TextTable::render() const
{
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace carawaylatch::ctl
