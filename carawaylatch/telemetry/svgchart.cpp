// Line charts without a script.
//
// The SVG contains only lines and is stretched to the width of its column; all
// text is HTML around it, so that it keeps its size on a phone. The axis starts
// at zero and ends at a round number not below the greatest value. A missing
// value ends a line segment and the next value starts a new one, so that a pause
// in traffic is drawn as a gap and not as a straight line.
#include "carawaylatch/telemetry/svgchart.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "carawaylatch/telemetry/htmltext.h"

namespace carawaylatch::telemetry
{

namespace
{

constexpr double Width = 600;
constexpr double Height = 120;

// Returns the smallest of 1, 2 or 5 times a power of ten that is not below the value.
double roundUp(double value)
{
    if (value <= 0) {
        return 1;
    }
    const double power = std::pow(10, std::floor(std::log10(value)));
    for (const double step : {1.0, 2.0, 5.0}) {
        if (step * power >= value) {
            return step * power;
        }
    }
    return 10 * power;
}

double axisTop(const Chart &chart)
{
    double top = chart.minimumTop;
    for (const auto &line : chart.lines) {
        for (const auto &value : line.values) {
            top = std::max(top, value.value_or(0));
        }
    }
    return roundUp(top);
}

std::string pathData(const ChartLine &line, double top)
{
    std::string path;
    const double step = line.values.size() > 1 ? Width / static_cast<double>(line.values.size() - 1) : 0;
    bool isDrawing = false;
    for (std::size_t i = 0; i < line.values.size(); ++i) {
        if (!line.values[i]) {
            isDrawing = false;
            continue;
        }
        std::array<char, 64> buf{};
        const double y = Height - Height * std::clamp(*line.values[i] / top, 0.0, 1.0);
        std::snprintf(buf.data(), buf.size(), "%c%.1f %.1f", isDrawing ? 'L' : 'M', step * static_cast<double>(i), y);
        path += buf.data();
        // A segment of a single point has no length and would be invisible, so it is
        // extended by a horizontal line.
        const bool isSinglePoint = !isDrawing && (i + 1 == line.values.size() || !line.values[i + 1]);
        path += isSinglePoint ? "h2" : "";
        isDrawing = true;
    }
    return path;
}

std::string newestValuesHtml(const Chart &chart)
{
    std::string text;
    for (const auto &line : chart.lines) {
        const auto it = std::find_if(line.values.rbegin(), line.values.rend(), [](const auto &value) {
            return value.has_value();
        });
        const auto value = it == line.values.rend() ? std::string("none yet") : chart.format(**it);
        text += "<span class=\"key " + line.cssClass + "\">" + escapeHtml(line.name.empty() ? value : line.name + " " + value) + "</span> ";
    }
    return text;
}

} // namespace

std::string renderChart(const Chart &chart)
{
    const double top = axisTop(chart);
    std::string out = "<figure><figcaption><b>" + escapeHtml(chart.title) + "</b> " + newestValuesHtml(chart) + "</figcaption><div class=\"plot\">";
    out += "<div class=\"axis\"><span>" + escapeHtml(chart.format(top)) + "</span><span>" + escapeHtml(chart.format(top / 2)) + "</span><span>0</span></div>";
    out += "<svg viewBox=\"0 -2 600 124\" preserveAspectRatio=\"none\" role=\"img\" aria-label=\"" + escapeHtml(chart.title) + "\">";
    out += "<path class=\"grid\" d=\"M0 0H600M0 60H600M0 120H600\"/>";
    for (const auto &line : chart.lines) {
        out += "<path class=\"line " + line.cssClass + "\" d=\"" + pathData(line, top) + "\"/>";
    }
    return out + "</svg></div><div class=\"span\"><span>" + escapeHtml(chart.span) + "</span><span>now</span></div></figure>\n";
}

} // namespace carawaylatch::telemetry
