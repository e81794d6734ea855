// carawaylatchd: runs one router until it receives a signal.
//
//   carawaylatchd --settings FILE
//
// SIGTERM or SIGINT starts a graceful drain that lets all open streams finish; a
// second signal aborts them. Exit status: 0 after a stop, 2 for invalid flags or
// settings, 4 if the router can't start, such as when a port can't be bound.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "carawaylatch/base/logevents.h"
#include "carawaylatch/router/router.h"

ABSL_FLAG(std::string, settings, "", "file of settings (INI); docs/SETTINGS.md lists all keys");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace
{

constexpr int ExitUsage = 2;
constexpr int ExitCannotStart = 4;

using carawaylatch::config::Settings;

void initializeLogging(const Settings::Logs &logs, const char *program)
{
    FLAGS_logtostderr = logs.directory.empty();
    FLAGS_log_dir = logs.directory;
    FLAGS_minloglevel = static_cast<int>(logs.level);
    FLAGS_logbufsecs = 0;
    google::InitGoogleLogging(program);
}

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void forwardSignals(carawaylatch::router::Router &router, const sigset_t &signals, const std::stop_token &stop)
{
    constexpr timespec PollInterval{0, 50'000'000};
    while (!stop.stop_requested()) {
        if (sigtimedwait(&signals, nullptr, &PollInterval) > 0) {
            router.requestStop();
        }
    }
}

int serve(const Settings &settings, const sigset_t &signals)
{
    carawaylatch::router::Router router(settings);
    if (const auto started = router.start(); !started) {
        carawaylatch::base::logEvent(carawaylatch::base::LogEvent::RouterCannotStart, {{"reason", started.error().message}});
        std::cerr << started.error().message << '\n';
        return ExitCannotStart;
    }
    const auto callers = router.callersEndpoint();
    const auto operators = router.operatorsEndpoint();
    const auto peers = router.peersEndpoint();
    std::cout << "listening callers=" << callers.address << ':' << callers.port << " operators=" << operators.address << ':' << operators.port
              << " peers=" << peers.address << ':' << peers.port << std::endl;
    const std::jthread signalThread([&router, signals](const std::stop_token &stop) {
        forwardSignals(router, signals, stop);
    });
    if (router.waitUntilStopped() == carawaylatch::router::StopKind::Forced) {
        google::FlushLogFiles(google::INFO);
        std::_Exit(0);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("runs one router: carawaylatchd --settings FILE");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("carawaylatchd 0.1.0\n");
    };
    absl::SetFlagsUsageConfig(usage);
    const auto arguments = absl::ParseCommandLine(argc, argv);
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (arguments.size() != 1 || path.empty()) {
        std::cerr << "usage: carawaylatchd --settings FILE\n";
        return ExitUsage;
    }
    const auto settings = carawaylatch::config::loadSettings(path);
    if (!settings) {
        std::cerr << settings.error().message << '\n';
        return ExitUsage;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << path << ": ok\n";
        return 0;
    }
    const sigset_t signals = blockStopSignals();
    signal(SIGPIPE, SIG_IGN);
    initializeLogging(settings.value().logs, argv[0]);
    return serve(settings.value(), signals);
}
