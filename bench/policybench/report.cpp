// Aggregation over seeds, and the targets.
//
// Targets of the adaptive strategy, on medians over the seeds:
//   hit rate at least 95% in calm, and 85% in each single fault, of the best of the
//   oracles and of one cache of all engines' total size (a bound that no placement reaches);
//   p99 time to first token no worse than any baseline's, in every row and class;
//   p99 at most half of round-robin's in calm;
//   wasted recomputation under 5% of prompt tokens.
#include "bench/policybench/report.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

#include "bench/policybench/oracle.h"

namespace carawaylatch::bench
{

namespace
{

constexpr std::string_view Adaptive = "adaptive";
constexpr std::string_view RoundRobin = "round-robin";
constexpr double CalmHitShare = 0.95;
constexpr double FaultHitShare = 0.85;
constexpr double MaxWaste = 0.05;
constexpr double RoundRobinShare = 0.5;
constexpr double TieMilliseconds = 1; // smaller differences count as equal

bool isOracle(std::string_view strategy)
{
    return strategy == OracleFirstToken || strategy == OracleHitRate;
}

bool isSameRun(const Row &left, const Row &right)
{
    return left.workload == right.workload && left.scenario == right.scenario;
}

void writeSpread(std::ostream &out, const Spread &value, double scale, int digits)
{
    out << std::fixed << std::setprecision(digits) << value.median * scale << " ±" << value.spread * scale / 2;
}

} // namespace

Row::Row(std::vector<Result> results, const Workload &ofWorkload, const Scenario &ofScenario, std::string_view ofStrategy)
    : workload(&ofWorkload)
    , scenario(&ofScenario)
    , strategy(ofStrategy)
    , m_results(std::move(results))
{
}

Spread Row::spread(Column column) const
{
    std::vector<double> values;
    for (const auto &it : m_results) {
        values.push_back(it.metrics.*column);
    }
    std::sort(values.begin(), values.end());
    return Spread{values[values.size() / 2], values.back() - values.front()};
}

double Row::median(Column column) const
{
    return spread(column).median;
}

std::vector<Row> toRows(const std::vector<Result> &results)
{
    std::vector<Row> rows;
    std::vector<Result> group;
    for (std::size_t i = 0; i < results.size(); ++i) {
        group.push_back(results[i]);
        const Run &run = results[i].run;
        const bool isLast = i + 1 == results.size() || results[i + 1].run.workload != run.workload || results[i + 1].run.scenario != run.scenario
                            || results[i + 1].run.strategy != run.strategy;
        if (isLast) {
            rows.emplace_back(std::move(group), *run.workload, *run.scenario, run.strategy);
            group = {};
        }
    }
    return rows;
}

void writeCsv(std::ostream &out, const std::vector<Result> &results)
{
    out << "workload,scenario,strategy,seed,requests,hit_rate,hit_bound,p50_interactive_ms,p99_interactive_ms,p50_batch_ms,p99_batch_ms,waste,refused,goodput,"
           "fairness\n";
    for (const auto &it : results) {
        const auto &metrics = it.metrics;
        out << it.run.workload->name << ',' << it.run.scenario->name << ',' << it.run.strategy << ',' << it.run.seed << ',' << metrics.requests << std::fixed
            << std::setprecision(4) << ',' << metrics.hitRate << ',' << metrics.hitBound << std::setprecision(1) << ',' << metrics.p50Interactive << ','
            << metrics.p99Interactive << ',' << metrics.p50Batch << ',' << metrics.p99Batch << std::setprecision(4) << ',' << metrics.waste << ','
            << metrics.refused << ',' << metrics.goodput << ',' << metrics.fairness << '\n';
    }
}

void writeMarkdown(std::ostream &out, const std::vector<Row> &rows)
{
    const Row *previous = nullptr;
    for (const auto &row : rows) {
        if (previous == nullptr || !isSameRun(*previous, row)) {
            out << "\n### " << row.workload->name << ", " << row.scenario->name << "\n\n"
                << "| strategy | hit rate % | pooled % | p50 / p99 interactive ms | p50 / p99 batch ms | waste % | refused % | goodput % | fairness |\n"
                << "|---|---|---|---|---|---|---|---|---|\n";
        }
        previous = &row;
        out << "| " << row.strategy << " | ";
        writeSpread(out, row.spread(&RunMetrics::hitRate), 100, 1);
        out << " | " << row.median(&RunMetrics::hitBound) * 100 << " | " << std::setprecision(0) << row.median(&RunMetrics::p50Interactive) << " / ";
        writeSpread(out, row.spread(&RunMetrics::p99Interactive), 1, 0);
        out << " | " << row.median(&RunMetrics::p50Batch) << " / ";
        writeSpread(out, row.spread(&RunMetrics::p99Batch), 1, 0);
        out << " | ";
        writeSpread(out, row.spread(&RunMetrics::waste), 100, 1);
        out << " | " << std::setprecision(1) << row.median(&RunMetrics::refused) * 100 << " | " << row.median(&RunMetrics::goodput) * 100 << " | "
            << std::setprecision(3) << row.median(&RunMetrics::fairness) << " |\n";
    }
}

void writeSvg(std::ostream &out, const std::vector<Row> &rows)
{
    // One horizontal bar for each row's hit rate, with its p99 written beside it.
    constexpr int BarHeight = 12;
    constexpr int Label = 330;
    constexpr int Width = 400;
    const int height = static_cast<int>(rows.size()) * (BarHeight + 2) + 30;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Label + Width + 160 << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"10\">\n<text x=\"4\" y=\"14\">Prefix hit rate (bar) and p99 time to first token, interactive</text>\n";
    int y = 22;
    for (const auto &row : rows) {
        const double hit = row.median(&RunMetrics::hitRate);
        const char *color = row.strategy == Adaptive ? "#1a7f37" : isOracle(row.strategy) ? "#8250df" : "#8c959f";
        out << "<text x=\"4\" y=\"" << y + BarHeight - 2 << "\">" << row.workload->name << ", " << row.scenario->name << ", " << row.strategy << "</text>"
            << "<rect x=\"" << Label << "\" y=\"" << y << "\" width=\"" << std::fixed << std::setprecision(0) << hit * Width << "\" height=\"" << BarHeight
            << "\" fill=\"" << color << "\"/><text x=\"" << Label + hit * Width + 4 << "\" y=\"" << y + BarHeight - 2 << "\">" << std::setprecision(1)
            << hit * 100 << "%, " << std::setprecision(0) << row.median(&RunMetrics::p99Interactive) << " ms</text>\n";
        y += BarHeight + 2;
    }
    out << "</svg>\n";
}

std::vector<Target> checkTargets(const std::vector<Row> &rows)
{
    std::vector<Target> targets;
    for (const auto &row : rows) {
        if (row.strategy != Adaptive) {
            continue;
        }
        double oracle = row.median(&RunMetrics::hitBound);
        double p99Interactive = 1e18;
        double p99Batch = 1e18;
        double roundRobin = 0;
        for (const auto &other : rows) {
            if (!isSameRun(row, other) || other.strategy == Adaptive) {
                continue;
            }
            if (isOracle(other.strategy)) {
                oracle = std::max(oracle, other.median(&RunMetrics::hitRate));
                continue;
            }
            p99Interactive = std::min(p99Interactive, other.median(&RunMetrics::p99Interactive));
            p99Batch = std::min(p99Batch, other.median(&RunMetrics::p99Batch));
            roundRobin = other.strategy == RoundRobin ? other.median(&RunMetrics::p99Interactive) : roundRobin;
        }
        const bool isCalm = row.scenario->name == "calm";
        const double hit = row.median(&RunMetrics::hitRate);
        const double p99 = row.median(&RunMetrics::p99Interactive);
        const double batch = row.median(&RunMetrics::p99Batch);
        const double waste = row.median(&RunMetrics::waste);
        if (!row.scenario->isPair) {
            const double bound = oracle * (isCalm ? CalmHitShare : FaultHitShare);
            targets.push_back({&row, "hit rate, at least", hit, bound, hit >= bound});
        }
        if (isCalm) {
            targets.push_back(
                {&row, "p99 interactive ms against half of round-robin's", p99, roundRobin * RoundRobinShare, p99 <= roundRobin * RoundRobinShare});
        }
        targets.push_back({&row, "p99 interactive ms against the best baseline's", p99, p99Interactive, p99 <= p99Interactive + TieMilliseconds});
        targets.push_back({&row, "p99 batch ms against the best baseline's", batch, p99Batch, batch <= p99Batch + TieMilliseconds});
        targets.push_back({&row, "waste, below", waste, MaxWaste, waste < MaxWaste});
    }
    return targets;
}

} // namespace carawaylatch::bench
