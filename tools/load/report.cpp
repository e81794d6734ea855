// Merging and rendering of results.
//
// Every quantile is exact over all values of the run. In the JSON form durations are
// milliseconds with fractions, and the orders are listed one by one with their responses,
// so that a checker can compare them with the services' journals.
#include "tools/load/report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iterator>
#include <sstream>

namespace carawaylatch::load
{

namespace
{

using nlohmann::ordered_json;

constexpr std::array<const char *, ClassCount> ClassNames{"interactive", "batch"};

double milliseconds(base::Duration duration)
{
    return std::round(base::toSeconds(duration) * 1e6) / 1e3;
}

template <typename T>
void append(std::vector<T> &to, std::vector<T> &&from)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

void addCounts(std::map<std::string, std::uint64_t> &to, const std::map<std::string, std::uint64_t> &from)
{
    for (const auto &[name, n] : from) {
        to[name] += n;
    }
}

double hitRate(const Report &report)
{
    return report.promptTokens == 0 ? 0 : static_cast<double>(report.cachedTokens) / static_cast<double>(report.promptTokens);
}

std::map<std::string, std::uint64_t> ordersByOutcome(const Report &report)
{
    std::map<std::string, std::uint64_t> counts;
    for (const auto &it : report.orders) {
        ++counts[it.outcome];
    }
    return counts;
}

std::uint64_t foreignOrderCount(const Report &report)
{
    return static_cast<std::uint64_t>(std::count_if(report.orders.begin(), report.orders.end(), [](const auto &it) {
        return it.isForeign;
    }));
}

ordered_json latenciesJson(std::vector<base::Duration> &values)
{
    return {{"count", values.size()},
            {"p50", milliseconds(quantile(values, 0.5))},
            {"p95", milliseconds(quantile(values, 0.95))},
            {"p99", milliseconds(quantile(values, 0.99))}};
}

ordered_json ordersJson(const Report &report)
{
    auto items = ordered_json::array();
    for (const auto &it : report.orders) {
        items.push_back({{"key", it.key},
                         {"target", it.target},
                         {"status", it.status},
                         {"outcome", it.outcome},
                         {"type", it.errorType},
                         {"replayed", it.isReplayed},
                         {"sent_ms", milliseconds(it.sentAt.time_since_epoch())},
                         {"answered_ms", milliseconds(it.receivedAt.time_since_epoch())}});
    }
    return {{"answers", ordersByOutcome(report)}, {"foreign", foreignOrderCount(report)}, {"items", std::move(items)}};
}

ordered_json verificationJson(const Report &report)
{
    const auto &verification = report.verification;
    return {{"services", report.verifiedServices}, {"orders", verification.ordersVerified},        {"ran_once", verification.ranOnce},
            {"ran_twice", verification.ranTwice},  {"not_run_but_ran", verification.notRunButRan}, {"done_without_run", verification.doneWithoutRun},
            {"ambiguous", verification.ambiguous}};
}

void printCounts(std::ostream &out, const char *title, const std::map<std::string, std::uint64_t> &counts)
{
    if (counts.empty()) {
        return;
    }
    out << title;
    for (const auto &[name, n] : counts) {
        out << "  " << name << ' ' << n;
    }
    out << '\n';
}

void printLatencies(std::ostream &out, const char *title, std::vector<base::Duration> &values)
{
    if (!values.empty()) {
        out << title << std::fixed << std::setprecision(1) << "  p50 " << milliseconds(quantile(values, 0.5)) << " ms  p95 "
            << milliseconds(quantile(values, 0.95)) << " ms  p99 " << milliseconds(quantile(values, 0.99)) << " ms  of " << values.size() << '\n';
    }
}

} // namespace

base::Duration quantile(std::vector<base::Duration> &values, double fraction)
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    return values.at(std::clamp<std::size_t>(rank, 1, values.size()) - 1);
}

void Report::merge(Report &&other)
{
    requests += other.requests;
    notReached += other.notReached;
    retries += other.retries;
    for (std::size_t i = 0; i < VerdictCount; ++i) {
        verdicts.at(i) += other.verdicts.at(i);
    }
    addCounts(refusals, other.refusals);
    addCounts(explicitErrors, other.explicitErrors);
    promptTokens += other.promptTokens;
    cachedTokens += other.cachedTokens;
    completionTokens += other.completionTokens;
    for (std::size_t i = 0; i < ClassCount; ++i) {
        append(latencies.at(i).firstToken, std::move(other.latencies.at(i).firstToken));
        append(latencies.at(i).gaps, std::move(other.latencies.at(i).gaps));
    }
    append(orders, std::move(other.orders));
}

std::uint64_t Report::totalViolations() const
{
    std::uint64_t n = verification.violations() + foreignOrderCount(*this);
    for (std::size_t i = 0; i < VerdictCount; ++i) {
        n += isViolation(static_cast<StreamVerdict>(i)) ? verdicts.at(i) : 0;
    }
    return n;
}

std::string renderText(Report &report)
{
    std::ostringstream out;
    out << "workload " << report.workload << "  seed " << report.seed << "  " << std::fixed << std::setprecision(1) << base::toSeconds(report.elapsed)
        << " s\n";
    out << "requests " << report.requests << "  retries " << report.retries << "  not reached " << report.notReached << '\n';
    out << "streams";
    for (std::size_t i = 0; i < VerdictCount; ++i) {
        const auto verdict = static_cast<StreamVerdict>(i);
        if (report.verdicts.at(i) > 0 || isViolation(verdict)) {
            out << "  " << streamVerdictName(verdict) << ' ' << report.verdicts.at(i);
        }
    }
    out << '\n';
    printCounts(out, "refusals", report.refusals);
    printCounts(out, "explicit errors", report.explicitErrors);
    out << "prompt tokens " << report.promptTokens << "  cached " << report.cachedTokens << "  hit rate " << std::setprecision(3) << hitRate(report) << '\n';
    for (std::size_t i = 0; i < ClassCount; ++i) {
        const std::string name = ClassNames.at(i);
        printLatencies(out, ("first token, " + name).c_str(), report.latencies.at(i).firstToken);
        printLatencies(out, ("between tokens, " + name).c_str(), report.latencies.at(i).gaps);
    }
    printCounts(out, "order responses", ordersByOutcome(report));
    if (report.verifiedServices > 0) {
        const auto &verification = report.verification;
        out << "orders checked " << verification.ordersVerified << "  ran once " << verification.ranOnce << "  ran twice " << verification.ranTwice.size()
            << "  \"not run\" that ran " << verification.notRunButRan.size() << "  \"done\" without a run " << verification.doneWithoutRun.size()
            << "  ambiguous " << verification.ambiguous << '\n';
    }
    out << "foreign order responses " << foreignOrderCount(report) << "\nviolations " << report.totalViolations() << '\n';
    return out.str();
}

std::string renderJson(Report &report)
{
    ordered_json verdicts;
    for (std::size_t i = 0; i < VerdictCount; ++i) {
        verdicts[std::string(streamVerdictName(static_cast<StreamVerdict>(i)))] = report.verdicts.at(i);
    }
    ordered_json classes;
    for (std::size_t i = 0; i < ClassCount; ++i) {
        classes[ClassNames.at(i)] = {{"first_token_ms", latenciesJson(report.latencies.at(i).firstToken)},
                                     {"token_gap_ms", latenciesJson(report.latencies.at(i).gaps)}};
    }
    const ordered_json json{{"workload", report.workload},
                            {"seed", report.seed},
                            {"elapsed_ms", milliseconds(report.elapsed)},
                            {"requests", report.requests},
                            {"retries", report.retries},
                            {"not_reached", report.notReached},
                            {"streams", verdicts},
                            {"refusals", report.refusals},
                            {"explicit_errors", report.explicitErrors},
                            {"prompt_tokens", report.promptTokens},
                            {"cached_tokens", report.cachedTokens},
                            {"completion_tokens", report.completionTokens},
                            {"hit_rate", hitRate(report)},
                            {"classes", classes},
                            {"orders", ordersJson(report)},
                            {"judgement", verificationJson(report)},
                            {"broken_promises", report.totalViolations()}};
    return json.dump(2, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace carawaylatch::load
