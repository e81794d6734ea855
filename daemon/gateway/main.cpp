// carawaylatch-gateway: one router on the users' platform.
//
//   carawaylatch-gateway [--settings FILE] [--check]
//
// Without --settings the file that CARAWAYLATCH_NODE_FILE names is read. Exits
// with 0 after a planned stop, 2 for wrong flags or settings, 4 if an address
// can't be bound.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "carawaylatch/gateway/gateway.h"
#include "platform/parts.h"

ABSL_FLAG(std::string, settings, "", "file of settings (INI); docs/SETTINGS-gateway.md lists all keys");
ABSL_FLAG(bool, check, false, "check the settings and exit");
ABSL_FLAG(bool, settings_page, false, "print docs/SETTINGS-gateway.md and exit");

namespace
{

constexpr int ExitUsage = 2;
constexpr int ExitUnavailable = 4;
constexpr std::size_t LogBufferBytes = 262'144; // several seconds of lines at a high load

std::string settingsPath()
{
    const std::string given = absl::GetFlag(FLAGS_settings);
    const char *fromEnvironment = std::getenv("CARAWAYLATCH_NODE_FILE");
    return given.empty() && fromEnvironment != nullptr ? fromEnvironment : given;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("runs one router on the platform: carawaylatch-gateway [--settings FILE] [--check]");
    const auto words = absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_settings_page)) {
        std::cout << carawaylatch::gateway::renderGatewaySettingsPage();
        return 0;
    }
    const std::string path = settingsPath();
    if (words.size() != 1 || path.empty()) {
        std::cerr << "name the settings: carawaylatch-gateway --settings FILE\n";
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
    carawaylatch::gateway::Gateway gateway(path, std::move(settings.value()), clock, log, platform::makeParts);
    if (const auto started = gateway.start(); !started) {
        log.write(carawaylatch::base::LogEvent::GatewayCannotStart, {{"reason", started.error().message}});
        log.flush();
        return ExitUnavailable;
    }
    const int code = gateway.run();
    std::_Exit(code); // connections under way need no teardown
}
