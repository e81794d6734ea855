// Results of all runs as CSV, Markdown and SVG, and the check of the targets.
#pragma once

#include <iosfwd>
#include <string_view>
#include <vector>

#include "bench/policybench/simulation.h"

namespace carawaylatch::bench
{

struct Result
{
    Run run;
    RunMetrics metrics;
};

// Median and spread (maximum minus minimum) of one column over the seeds.
struct Spread
{
    double median = 0;
    double spread = 0;
};

using Column = double RunMetrics::*;

// One row of the tables: the results of a strategy under a scenario over all seeds.
class Row
{
public:
    Row(std::vector<Result> results, const Workload &workload, const Scenario &scenario, std::string_view strategy);
    [[nodiscard]] Spread spread(Column column) const;
    [[nodiscard]] double median(Column column) const;

    const Workload *workload;
    const Scenario *scenario;
    std::string_view strategy;

private:
    std::vector<Result> m_results;
};

[[nodiscard]] std::vector<Row> toRows(const std::vector<Result> &results);
void writeCsv(std::ostream &out, const std::vector<Result> &results);
void writeMarkdown(std::ostream &out, const std::vector<Row> &rows);
void writeSvg(std::ostream &out, const std::vector<Row> &rows);

// One target of the adaptive strategy in one row.
struct Target
{
    const Row *row;
    std::string_view description;
    double measured;
    double bound;
    bool isMet;
};
[[nodiscard]] std::vector<Target> checkTargets(const std::vector<Row> &rows);

} // namespace carawaylatch::bench
