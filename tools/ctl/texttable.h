// Text table with aligned columns for the terminal.
#pragma once

#include <string>
#include <vector>

namespace carawaylatch::ctl
{

class TextTable
{
public:
    explicit TextTable(std::vector<std::string> headings);
    // Adds a row of as many cells as there are headings.
    void add(std::vector<std::string> cells);
    // Returns headings and rows, each column as wide as its widest cell.
    [[nodiscard]] std::string render() const;

private:
    std::vector<std::vector<std::string>> m_rows; // headings first
};

} // namespace carawaylatch::ctl
