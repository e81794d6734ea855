// carawaylatch-gateway: runs one router on the platform.
//
//   carawaylatch-gateway [--settings FILE] [--check]
//
// Without --settings, the environment variable CARAWAYLATCH_NODE_FILE names the
// file. Exit status: 0 after a graceful stop, 2 for invalid flags or settings, 4 if
// the gateway can't start, such as when an address can't be bound.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "carawaylatch/gateway/gateway.h"
#include "platform/gatewaycomponents.h"

ABSL_FLAG(std::string, settings, "", "file of settings (INI); docs/SETTINGS-gateway.md lists all keys");
ABSL_FLAG(bool, check, false, "check the settings and exit");
ABSL_FLAG(bool, settings_page, false, "print docs/SETTINGS-gateway.md and exit");

namespace
{

constexpr int ExitUsage = 2;
constexpr int ExitCannotStart = 4;
constexpr std::size_t LogBufferBytes = 262'144; // holds several seconds of log lines under high load

std::string settingsPath()
{
    const std::string fromFlag = absl::GetFlag(FLAGS_settings);
    const char *fromEnvironment = std::getenv("CARAWAYLATCH_NODE_FILE");
    return fromFlag.empty() && fromEnvironment != nullptr ? fromEnvironment : fromFlag;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("runs one router on the platform: carawaylatch-gateway [--settings FILE] [--check]");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_settings_page)) {
        std::cout << carawaylatch::gateway::renderGatewaySettingsPage();
        return 0;
    }
    const std::string path = settingsPath();
    if (arguments.size() != 1 || path.empty()) {
        std::cerr << "usage: carawaylatch-gateway --settings FILE\n";
        return ExitUsage;
    }
    auto settings = carawaylatch::gateway::loadGatewaySettings(path);
    if (!settings) {
        std::cerr << settings.error().message << '\n';
        return ExitUsage;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << path << ": ok\n";
        return 0;
    }
    signal(SIGPIPE, SIG_IGN);
    const carawaylatch::base::SteadyClock clock;
    carawaylatch::telemetry::EventLog log(STDOUT_FILENO, LogBufferBytes, clock);
    carawaylatch::gateway::Gateway gateway(path, std::move(settings.value()), clock, log, platform::makeGatewayComponents);
    if (const auto started = gateway.start(); !started) {
        log.write(carawaylatch::base::LogEvent::GatewayCannotStart, {{"reason", started.error().message}});
        log.flush();
        return ExitCannotStart;
    }
    const int code = gateway.run();
    std::_Exit(code); // skips the teardown of open connections
}
