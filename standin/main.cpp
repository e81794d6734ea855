// carawaylatch-standin: runs one stand-in for tests and benchmarks until a signal.
//
//   carawaylatch-standin platform|engine|service|kvstore --listen=127.0.0.1:PORT [...]
//
// Prints "listening ADDRESS:PORT" once it accepts connections. Exits with 0 after
// SIGTERM or SIGINT, 2 for wrong usage, 4 if the address can't be bound.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <charconv>
#include <csignal>
#include <iostream>

#include "standin/engine.h"
#include "standin/kvstore.h"
#include "standin/platform.h"
#include "standin/service.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address and port to serve; port 0 selects a free port");
ABSL_FLAG(std::string, model, "clause-1", "engine: name of the served model");
ABSL_FLAG(std::uint64_t, weights, 1, "engine: weights version at the start");
ABSL_FLAG(bool, fencing, true, "engine: reject orders with an old fencing token");
ABSL_FLAG(std::uint32_t, block_bytes, 4000, "engine: prompt bytes in a cached block");
ABSL_FLAG(std::uint64_t, capacity_blocks, 4000, "engine: capacity of the prefix cache in blocks");
ABSL_FLAG(std::uint32_t, max_running, 16, "engine: maximum number of requests in the batch");
ABSL_FLAG(double, prefill_rate, 20000, "engine: prefill rate in prompt tokens per second");
ABSL_FLAG(std::uint32_t, decode_ms, 10, "engine: milliseconds between tokens");
ABSL_FLAG(std::uint32_t, load_ms, 600, "engine: time to load new weights in milliseconds");
ABSL_FLAG(std::uint32_t, report_lag_ms, 300, "engine: age of load reports in milliseconds");
ABSL_FLAG(std::uint32_t, event_lag_ms, 500, "engine: delay of cache events in milliseconds");
ABSL_FLAG(double, event_loss, 0.02, "engine: share of lost cache events, 0 to 1");
ABSL_FLAG(std::uint32_t, run_ms, 5, "service: duration of a call in milliseconds");
ABSL_FLAG(std::uint32_t, list_lag_ms, 2000, "platform: delay of the VM list in milliseconds");

namespace carawaylatch::standin
{

namespace
{

constexpr int ExitUsage = 2;
constexpr int ExitUnreachable = 4;

base::Endpoint listenEndpoint()
{
    const std::string text = absl::GetFlag(FLAGS_listen);
    const auto colon = text.rfind(':');
    base::Endpoint endpoint;
    if (colon == std::string::npos) {
        return endpoint;
    }
    endpoint.address = text.substr(0, colon);
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), endpoint.port);
    return endpoint;
}

EngineOptions engineOptions()
{
    EngineOptions options;
    options.endpoint = listenEndpoint();
    options.model = base::ModelId(absl::GetFlag(FLAGS_model));
    options.weights = {absl::GetFlag(FLAGS_weights)};
    options.fencing = absl::GetFlag(FLAGS_fencing) ? FencingCheck::On : FencingCheck::Off;
    options.blockBytes = absl::GetFlag(FLAGS_block_bytes);
    options.capacityBlocks = absl::GetFlag(FLAGS_capacity_blocks);
    options.maxRunning = absl::GetFlag(FLAGS_max_running);
    options.prefillTokensPerSecond = absl::GetFlag(FLAGS_prefill_rate);
    options.decodeInterval = base::milliseconds{absl::GetFlag(FLAGS_decode_ms)};
    options.loadTime = base::milliseconds{absl::GetFlag(FLAGS_load_ms)};
    options.reportLag = base::milliseconds{absl::GetFlag(FLAGS_report_lag_ms)};
    options.eventLag = base::milliseconds{absl::GetFlag(FLAGS_event_lag_ms)};
    options.eventLoss = absl::GetFlag(FLAGS_event_loss);
    return options;
}

// Serves until one of `signals`, which must have been blocked before any thread
// was started.
template <typename Server>
int serve(Server &server, const sigset_t &signals)
{
    if (!server.start()) {
        std::cerr << "can't listen on " << absl::GetFlag(FLAGS_listen) << "; choose a free --listen address of this machine\n";
        return ExitUnreachable;
    }
    std::cout << "listening " << server.endpoint().address << ':' << server.endpoint().port << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    server.stop();
    return 0;
}

int run(std::string_view kind, const sigset_t &signals)
{
    if (kind == "platform") {
        Platform server({listenEndpoint(), base::milliseconds{absl::GetFlag(FLAGS_list_lag_ms)}});
        return serve(server, signals);
    }
    if (kind == "engine") {
        Engine server(engineOptions());
        return serve(server, signals);
    }
    if (kind == "service") {
        Service server({listenEndpoint(), base::milliseconds{absl::GetFlag(FLAGS_run_ms)}});
        return serve(server, signals);
    }
    if (kind == "kvstore") {
        KvStore server(listenEndpoint());
        return serve(server, signals);
    }
    std::cerr << "unknown stand-in '" << kind << "'; expected platform, engine, service or kvstore\n";
    return ExitUsage;
}

} // namespace

} // namespace carawaylatch::standin

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("runs one stand-in: carawaylatch-standin platform|engine|service|kvstore [flags]");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("carawaylatch-standin 0.1.0\n");
    };
    absl::SetFlagsUsageConfig(usage);
    const auto arguments = absl::ParseCommandLine(argc, argv);
    if (arguments.size() != 2) {
        std::cerr << "expected one stand-in: platform, engine, service or kvstore\n";
        return carawaylatch::standin::ExitUsage;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return carawaylatch::standin::run(arguments[1], signals);
}
