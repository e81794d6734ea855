// Benchmark of routing policies: every strategy under every fault on the same requests.
//
//   policybench [--quick] [--out DIR] [--seeds N] [--strategies A,B] [--scenarios A,B]
//
// Runs the real decision code against simulated engines in virtual time and prints the
// tables and the targets; with --out it also writes policy.csv, policy.md and policy.svg
// to that folder. --quick runs one seed of calm and two faults. Exits with a failure if a
// run measured no request, but not if a target is missed: targets are for people to
// evaluate.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <tbb/global_control.h>
#include <tbb/parallel_for.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "bench/policybench/oracle.h"
#include "bench/policybench/report.h"
#include "carawaylatch/routing/strategy.h"

ABSL_FLAG(bool, quick, false, "one seed of calm, crash and event loss");
ABSL_FLAG(std::string, out, "", "folder for policy.csv, policy.md and policy.svg");
ABSL_FLAG(unsigned, seeds, 5, "number of seeds");
ABSL_FLAG(std::string, strategies, "", "only these strategies, separated by commas");
ABSL_FLAG(std::string, scenarios, "", "only these scenarios, separated by commas");
ABSL_FLAG(unsigned, threads, 4, "number of concurrent runs");

namespace carawaylatch::bench
{

namespace
{

constexpr std::uint64_t FirstSeed = 20'261'203;

bool isSelected(const std::string &list, std::string_view name)
{
    const std::vector<std::string> names = absl::StrSplit(list, ',', absl::SkipEmpty());
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

std::vector<Run> plannedRuns()
{
    const bool isQuick = absl::GetFlag(FLAGS_quick);
    const std::string selectedScenarios = isQuick ? "calm,crash,event-loss" : absl::GetFlag(FLAGS_scenarios);
    const unsigned seeds = isQuick ? 1 : absl::GetFlag(FLAGS_seeds);
    std::vector<std::string_view> strategies(routing::StrategyNames.begin(), routing::StrategyNames.end());
    strategies.push_back(OracleFirstToken);
    strategies.push_back(OracleHitRate);
    std::vector<Run> runs;
    for (const Workload *workload : {&groupement(), &brasaSinal()}) {
        for (const auto &scenario : scenarios()) {
            for (const auto strategy : strategies) {
                const bool isPlanned = isSelected(selectedScenarios, scenario.name) && isSelected(absl::GetFlag(FLAGS_strategies), strategy);
                for (unsigned i = 0; isPlanned && i < seeds; ++i) {
                    runs.push_back(Run{workload, &scenario, strategy, FirstSeed + i});
                }
            }
        }
    }
    return runs;
}

std::string targetsTable(const std::vector<Row> &rows)
{
    std::ostringstream out;
    out << "| workload | scenario | target | measured | bound | met |\n|---|---|---|---|---|---|\n" << std::fixed;
    for (const auto &it : checkTargets(rows)) {
        out << "| " << it.row->workload->name << " | " << it.row->scenario->name << " | " << it.description << " | " << std::setprecision(it.bound < 2 ? 3 : 0)
            << it.measured << " | " << it.bound << " | " << (it.isMet ? "yes" : "NO") << " |\n";
    }
    return out.str();
}

void writeFiles(const std::string &folder, const std::vector<Result> &results, const std::vector<Row> &rows)
{
    std::ofstream csv(folder + "/policy.csv");
    writeCsv(csv, results);
    std::ofstream svg(folder + "/policy.svg");
    writeSvg(svg, rows);
    std::ofstream markdown(folder + "/policy.md");
    markdown << "# Policy bench\n\nWritten by `policybench --out docs/measurements`: the decision code of four routers against\n"
             << "fake engines in virtual time, " << absl::GetFlag(FLAGS_seeds) << " seeds from " << FirstSeed
             << ". Each cell is the median over the seeds; ± is half of the spread between\nthe least and the greatest. docs/design/routing.md explains "
                "workloads, faults and columns.\n\n"
             << "![hit rates](policy.svg)\n\n## Targets\n\n"
             << targetsTable(rows) << "\n## Tables\n";
    writeMarkdown(markdown, rows);
}

int run()
{
    const std::vector<Run> runs = plannedRuns();
    std::cout << "seeds from " << FirstSeed << ", " << runs.size() << " runs\n";
    std::vector<Result> results(runs.size());
    const tbb::global_control limit(tbb::global_control::max_allowed_parallelism, absl::GetFlag(FLAGS_threads));
    tbb::parallel_for(std::size_t{0}, runs.size(), [&](std::size_t i) {
        results[i] = Result{runs[i], simulate(runs[i])};
    });
    const auto rows = toRows(results);
    writeMarkdown(std::cout, rows);
    std::cout << '\n' << targetsTable(rows);
    if (!absl::GetFlag(FLAGS_out).empty()) {
        writeFiles(absl::GetFlag(FLAGS_out), results, rows);
    }
    const bool isEmpty = std::any_of(results.begin(), results.end(), [](const Result &it) {
        return it.metrics.requests == 0;
    });
    return isEmpty ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace

} // namespace carawaylatch::bench

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("measures routing strategies in virtual time; see docs/design/routing.md");
    absl::ParseCommandLine(argc, argv);
    return carawaylatch::bench::run();
}
