// A small line chart as inline SVG.
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
    std::vector<std::optional<double>> values; // oldest first; nothing leaves a gap
};

struct Chart
{
    std::string title;
    std::vector<ChartLine> lines;
    double minimumTop = 0; // the axis reaches at least this value
    std::function<std::string(double)> format; // values with their unit
    std::string span; // time that the chart covers, such as "last 8 min"
};

// Returns the chart as an HTML figure: title, newest value, axis labels and lines.
[[nodiscard]] std::string renderChart(const Chart &chart);

} // namespace carawaylatch::telemetry
