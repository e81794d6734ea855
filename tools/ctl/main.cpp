// carawaylatchctl: the command-line tool for operators.
//
// Exit codes: 0 success, 2 wrong usage or invalid tables, 3 refused, 4 platform or router
// not reached.
#include <absl/flags/flag.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <unistd.h>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/valuetext.h"
#include "carawaylatch/store/httpobjectstore.h"
#include "tools/common/commandline.h"
#include "tools/ctl/command.h"

ABSL_FLAG(std::string, platform, "127.0.0.1:7000", "the platform's object API, ADDR:PORT");
ABSL_FLAG(std::string, router, "127.0.0.1:8081", "operators' port of a router, ADDR:PORT");
ABSL_FLAG(std::string, failure_domain, "operator", "failure domain sent to the platform");
ABSL_FLAG(std::uint32_t, timeout_ms, 5000, "timeout of one call to the platform");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(bool, dry_run, false, "apply: validate and show the changes without writing");
ABSL_FLAG(bool, whole, false, "apply, diff: remove rows that the files don't name");
ABSL_FLAG(std::string, remove, "", "apply: rows to remove, such as 'route old,pool old'");
ABSL_FLAG(std::string, author, "", "apply: name in the history, by default the user's");
ABSL_FLAG(std::uint32_t, wait_seconds, 0, "apply: wait until the live routers have the edit in force");
ABSL_FLAG(std::uint32_t, limit, 20, "history: edits to show");
ABSL_FLAG(std::string, customer_key, "", "explain: bearer key of the customer");
ABSL_FLAG(std::string, model, "", "explain: requested model");
ABSL_FLAG(std::string, prompt_file, "", "explain: file with the prompt");
ABSL_FLAG(std::string, traffic_class, "", "explain: interactive or batch");
ABSL_FLAG(bool, help, false, "show this text");
ABSL_FLAG(bool, version, false, "show the version");

namespace carawaylatch::ctl
{

namespace
{

int fail(const base::Error &error)
{
    std::cerr << "carawaylatchctl: " << error.message << '\n';
    return static_cast<int>(tools::exitCodeFor(error.kind));
}

void printHelp()
{
    std::cout << "carawaylatchctl [flags] COMMAND: checks, applies and shows the configuration of carawaylatch\n\n";
    for (const auto *it : allCommands()) {
        const std::string usage = std::string(it->name) + " " + std::string(it->operands);
        std::cout << "  " << usage << std::string(usage.size() < 18 ? 18 - usage.size() : 1, ' ') << it->help << '\n';
    }
    std::cout << '\n' << tools::flagsHelp("tools/ctl/");
}

std::uint64_t processSeed()
{
    const auto ticks = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    return base::combineHashes(ticks, static_cast<std::uint64_t>(getpid()));
}

std::string authorName()
{
    if (auto author = absl::GetFlag(FLAGS_author); !author.empty()) {
        return author;
    }
    const char *user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

base::Result<CommandOptions> optionsFromFlags()
{
    CommandOptions options;
    const auto output = absl::GetFlag(FLAGS_output);
    if (output != "text" && output != "json") {
        return base::fail(base::ErrorKind::InvalidArgument, "--output: write text or json");
    }
    options.output = output == "json" ? OutputFormat::Json : OutputFormat::Text;
    options.applyMode = absl::GetFlag(FLAGS_dry_run) ? ApplyMode::DryRun : ApplyMode::Accept;
    options.scope = absl::GetFlag(FLAGS_whole) ? TableScope::Whole : TableScope::NamedRows;
    options.author = authorName();
    const auto removals = absl::GetFlag(FLAGS_remove);
    for (const auto it : config::splitList(removals)) {
        options.removals.emplace_back(it);
    }
    options.wait = base::seconds{absl::GetFlag(FLAGS_wait_seconds)};
    options.editSeed = processSeed();
    options.historyLimit = absl::GetFlag(FLAGS_limit);
    options.customerKey = absl::GetFlag(FLAGS_customer_key);
    options.model = absl::GetFlag(FLAGS_model);
    options.promptFile = absl::GetFlag(FLAGS_prompt_file);
    options.trafficClass = absl::GetFlag(FLAGS_traffic_class);
    return options;
}

base::Result<void> runCommandLine(std::vector<std::string> operands)
{
    BOOST_OUTCOME_TRY(options, optionsFromFlags());
    BOOST_OUTCOME_TRY(platform, tools::parseEndpointFlag("platform", absl::GetFlag(FLAGS_platform)));
    BOOST_OUTCOME_TRY(router, tools::parseEndpointFlag("router", absl::GetFlag(FLAGS_router)));
    store::HttpObjectStore objects(platform, base::FailureDomain(absl::GetFlag(FLAGS_failure_domain)), base::milliseconds{absl::GetFlag(FLAGS_timeout_ms)});
    const auto client = makeHttpRouterClient(router);
    CommandContext context{options, std::move(operands), objects, *client, std::cout};
    return runCommand(context);
}

int run(std::span<const char *const> arguments)
{
    auto operands = tools::parseCommandLine(arguments);
    if (!operands) {
        return fail(operands.error());
    }
    if (absl::GetFlag(FLAGS_help)) {
        printHelp();
        return 0;
    }
    if (absl::GetFlag(FLAGS_version)) {
        std::cout << "carawaylatchctl 0.1.0\n";
        return 0;
    }
    const auto done = runCommandLine(std::move(operands).value());
    return done ? 0 : fail(done.error());
}

} // namespace

} // namespace carawaylatch::ctl

int main(int argc, char **argv)
{
    return carawaylatch::ctl::run({argv + 1, static_cast<std::size_t>(argc) - 1});
}
