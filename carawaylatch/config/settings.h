// Settings of one router process, read once at its start.
//
// One INI file sets the addresses, the failure domain and the limits of a process.
// Each key is described once, in the table that settingsKeys() returns: section,
// name, unit, default, range and meaning. The parser, the error messages and the
// page docs/SETTINGS.md are generated from that table.
//
//     BOOST_OUTCOME_TRY(settings, loadSettings("/etc/carawaylatch.ini"));
//
// Unknown or repeated sections and keys, wrong units and values out of range are
// errors of kind InvalidArgument that name file, line and key and the valid form.
// Durations have a unit: "250ms", "3s", "2m". Sizes are in bytes.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/logevents.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::config
{

struct Settings
{
    struct Router
    {
        base::RouterId id;
        base::FailureDomain failureDomain;
        std::string versionLabel = "0.1.0"; // shown to operators only
    };
    struct Callers
    {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0; // zero lets the system choose
        std::uint32_t maxStreams = 512; // requests served at the same time, one thread each
        std::uint64_t maxBodyBytes = 8'000'000;
    };
    struct Operators
    {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0;
    };
    struct Peers
    {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0;
        std::string key; // shared by all routers of one fleet; never shown
        std::vector<base::Endpoint> seeds; // first peers to contact, in addition to the platform's list
        std::uint32_t maxConnections = 64; // open connections to other routers
    };
    struct Platform
    {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0;
        base::Duration timeout = base::seconds{2}; // of one call; a watch may take watchWait longer
        base::Duration watchWait = base::seconds{20}; // longest wait of one watch call
    };
    struct Routing
    {
        std::string strategy = "adaptive";
        std::uint64_t seed = 1; // of random choices
        std::uint64_t indexBytes = 64'000'000; // size limit of the prefix index
    };
    struct Admission
    {
        std::uint32_t configuredRouters = 4; // divides the limits while other routers can't be reached
        std::uint32_t maxQueue = 512; // waiting requests of all customers
        std::uint32_t retryBudgetPercent = 10; // retries and hedges per hundred requests
    };
    struct Timings
    {
        base::Duration loadPoll = base::milliseconds{250}; // between load reports of one upstream
        base::Duration heartbeat = base::milliseconds{500}; // between probes of a peer
        base::Duration suspicion = base::seconds{2}; // from a missed probe until a peer counts as dead
        base::Duration drainLag = base::seconds{2}; // time for which the balancer still sends requests after "not ready"
        base::Duration lease = base::seconds{6}; // duration of the lease of a failure domain's controller
        base::Duration snapshot = base::seconds{3}; // between snapshots for warm starts
        base::Duration warmStart = base::seconds{2}; // longest wait for peers during a start
        base::Duration upstreamTimeout = base::seconds{5}; // of a call without a streamed response
    };
    struct Logs
    {
        std::string directory; // empty for standard error
        base::LogLevel level = base::LogLevel::Info;
    };

    Router router;
    Callers callers;
    Operators operators;
    Peers peers;
    Platform platform;
    Routing routing;
    Admission admission;
    Timings timings;
    Logs logs;
};

// Description of one key, for the settings page and the command line.
struct SettingsKey
{
    std::string_view section;
    std::string_view name;
    std::string_view form; // format of a value, such as "duration"
    std::string defaultText; // empty if the key is required
    std::string range; // allowed values, empty for any
    std::string_view meaning;
};

// Returns all keys, in the order of the page.
[[nodiscard]] std::vector<SettingsKey> settingsKeys();

// Returns the page docs/SETTINGS.md.
[[nodiscard]] std::string renderSettingsPage();

// Parses a text; `fileName` is used in error messages only.
[[nodiscard]] base::Result<Settings> parseSettings(std::string_view text, std::string_view fileName);

// Parses a file; NotFound if it can't be read.
[[nodiscard]] base::Result<Settings> loadSettings(const std::string &path);

} // namespace carawaylatch::config
