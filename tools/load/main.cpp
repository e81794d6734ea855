// carawaylatch-load: sends a workload to routers and verifies the responses.
//
// Exit codes: 0 no violation, 2 wrong usage, 3 violation found, 4 no router was reached.
#include <absl/flags/flag.h>

#include <chrono>
#include <fstream>
#include <iostream>

#include "carawaylatch/config/valuetext.h"
#include "tools/common/commandline.h"
#include "tools/load/orderverifier.h"
#include "tools/load/runner.h"

ABSL_FLAG(std::string, target, "127.0.0.1:8080", "callers' ports of the routers, ADDR:PORT,...");
ABSL_FLAG(std::string, key, "", "bearer keys, one for each customer: KEY,...");
ABSL_FLAG(std::string, model, "clause-1", "requested model");
ABSL_FLAG(std::string, workload, "groupement", "groupement or brasa");
ABSL_FLAG(std::uint64_t, requests, 200, "streamed requests to send");
ABSL_FLAG(std::uint32_t, concurrency, 8, "requests in flight");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of prompts, draws and duplicates");
ABSL_FLAG(std::uint64_t, draw_seed, 0, "seed of the choice of prompts, for runs over the same texts; 0 for --seed");
ABSL_FLAG(std::uint64_t, orders, 0, "orders to send in addition to the requests");
ABSL_FLAG(std::string, order_route, "", "service route that takes the orders");
ABSL_FLAG(std::string, judge, "", "service stand-ins whose journals the orders are checked against, ADDR:PORT,...");
ABSL_FLAG(std::uint32_t, deadline_ms, 0, "deadline sent with each request; 0 for the route's default");
ABSL_FLAG(std::uint32_t, pause_ms, 0, "pause of each client between two requests");
ABSL_FLAG(std::string, report, "", "file for the report as JSON");
ABSL_FLAG(bool, help, false, "show this text");
ABSL_FLAG(bool, version, false, "show the version");

namespace carawaylatch::load
{

namespace
{

using tools::ExitCode;

base::Result<std::vector<base::Endpoint>> endpointsOf(std::string_view flag, std::string_view text)
{
    std::vector<base::Endpoint> endpoints;
    for (const auto it : config::splitList(text)) {
        BOOST_OUTCOME_TRY(endpoint, tools::parseEndpointFlag(flag, it));
        endpoints.push_back(std::move(endpoint));
    }
    return endpoints;
}

base::Result<RunOptions> optionsFromFlags()
{
    RunOptions options;
    BOOST_OUTCOME_TRY(targets, endpointsOf("target", absl::GetFlag(FLAGS_target)));
    BOOST_OUTCOME_TRY(workload, parseWorkload(absl::GetFlag(FLAGS_workload)));
    options.client.targets = targets;
    options.workload = workload;
    const std::string keys = absl::GetFlag(FLAGS_key);
    for (const auto it : config::splitList(keys)) {
        options.keys.emplace_back(it);
    }
    options.model = absl::GetFlag(FLAGS_model);
    options.seed = absl::GetFlag(FLAGS_seed);
    options.drawSeed = absl::GetFlag(FLAGS_draw_seed) == 0 ? options.seed : absl::GetFlag(FLAGS_draw_seed);
    options.requests = absl::GetFlag(FLAGS_requests);
    options.concurrency = absl::GetFlag(FLAGS_concurrency);
    options.orders = absl::GetFlag(FLAGS_orders);
    options.orderRoute = absl::GetFlag(FLAGS_order_route);
    options.deadline = base::milliseconds{absl::GetFlag(FLAGS_deadline_ms)};
    options.pause = base::milliseconds{absl::GetFlag(FLAGS_pause_ms)};
    const auto ticks = std::chrono::system_clock::now().time_since_epoch().count();
    options.runId = "run-" + std::to_string(options.seed) + "-" + std::to_string(ticks);
    if (options.client.targets.empty() || options.keys.empty()) {
        return base::fail(base::ErrorKind::InvalidArgument, "--target and --key are required; write --target 127.0.0.1:8080 --key KEY");
    }
    if (options.orders > 0 && options.orderRoute.empty()) {
        return base::fail(base::ErrorKind::InvalidArgument, "--orders needs a service route; write --order-route NAME");
    }
    if (options.concurrency == 0 || options.concurrency > 1000) {
        return base::fail(base::ErrorKind::InvalidArgument, "--concurrency: write 1 to 1000");
    }
    return options;
}

base::Result<void> verifyReport(Report &report)
{
    BOOST_OUTCOME_TRY(services, endpointsOf("judge", absl::GetFlag(FLAGS_judge)));
    std::vector<JournalEntry> journal;
    for (const auto &it : services) {
        BOOST_OUTCOME_TRY(entries, fetchJournal(it));
        journal.insert(journal.end(), entries.begin(), entries.end());
    }
    report.verifiedServices = services.size();
    if (!services.empty()) {
        report.verification = verifyOrders(report.orders, journal);
    }
    return base::ok();
}

int fail(const base::Error &error)
{
    std::cerr << "carawaylatch-load: " << error.message << '\n';
    return static_cast<int>(tools::exitCodeFor(error.kind));
}

int run(std::span<const char *const> arguments)
{
    const auto operands = tools::parseCommandLine(arguments);
    if (!operands) {
        return fail(operands.error());
    }
    if (absl::GetFlag(FLAGS_help)) {
        std::cout << "carawaylatch-load [flags]: sends a workload to routers and verifies the responses\n" << tools::flagsHelp("tools/load/");
        return 0;
    }
    if (absl::GetFlag(FLAGS_version)) {
        std::cout << "carawaylatch-load 0.1.0\n";
        return 0;
    }
    if (!operands.value().empty()) {
        return fail(base::fail(base::ErrorKind::InvalidArgument, "unexpected argument '" + operands.value().front() + "'; --help shows the flags"));
    }
    const auto options = optionsFromFlags();
    if (!options) {
        return fail(options.error());
    }
    auto report = runLoad(options.value());
    if (const auto verified = verifyReport(report); !verified) {
        return fail(verified.error());
    }
    std::cout << renderText(report);
    if (const auto path = absl::GetFlag(FLAGS_report); !path.empty()) {
        std::ofstream out(path);
        out << renderJson(report) << '\n';
        if (!out) {
            return fail(base::fail(base::ErrorKind::InvalidArgument, "can't write the report " + path + "; choose a file in a folder that exists"));
        }
    }
    if (report.totalViolations() > 0) {
        return static_cast<int>(ExitCode::Refused);
    }
    return static_cast<int>(report.requests > 0 && report.notReached == report.requests ? ExitCode::Unreachable : ExitCode::Done);
}

} // namespace

} // namespace carawaylatch::load

int main(int argc, char **argv)
{
    return carawaylatch::load::run({argv + 1, static_cast<std::size_t>(argc) - 1});
}
