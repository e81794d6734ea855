// A line chart as inline SVG, for the operators' page. It needs no script.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace carawaylatch::telemetry
{

struct ChartLine
{
    std::string name; // legend; empty for a single line
    std::string cssClass; // colour of the line
    std::vector<std::optional<double>> values; // oldest first; an empty value is drawn as a gap
};

struct Chart
{
    std::string title;
    std::vector<ChartLine> lines;
    double minimumTop = 0; // the axis reaches at least this value
    std::function<std::string(double)> format; // formats a value with its unit
    std::string span; // label of the left end of the time axis, such as "8 min ago"
};

// Returns the chart as an HTML figure with its title, the newest value of each
// line, the axis labels and the lines.
[[nodiscard]] std::string renderChart(const Chart &chart);

} // namespace carawaylatch::telemetry
