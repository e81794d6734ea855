// Settings of a gateway process: an INI file that is read at the start and again when it
// changes.
//
// gatewaySettingsKeys() returns the table of all keys, from which the parser, its error
// messages and docs/SETTINGS-gateway.md are derived.
#pragma once

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/controlplane.h"
#include "carawaylatch/proxy/trafficplane.h"

namespace carawaylatch::gateway
{

struct GatewaySettings
{
    std::string id;
    std::string failureDomain;
    base::Endpoint callers;
    base::Endpoint operators;
    base::Endpoint peers;
    base::Endpoint relay;
    base::Endpoint metrics;
    base::Endpoint store;
    double memoryMegabytes = 256; // memory limit of the process
    double graceSeconds = 8; // from the stop signal until the platform kills the process
    double storeTimeoutMs = 1000; // of one call, not counting the wait of a watch
    double watchWaitMs = 1200; // long-poll wait of one watch
    double storeReaders = 2; // routers of a failure domain that watch the store for all; zero: each for itself
    double leaveWithinMs = 2000; // from when an upstream announces that it leaves to the last request sent to it
    double retryShare = 0.2;
    double retryReserve = 50;
    double shareByCustomer = 0; // 1: customers of one urgency share capacity by work; 0: in order of arrival
    double maxAgeMs = 0; // of an unconfirmed configuration, for requests with a key; zero: no limit
    double changeWithinMs = 8000; // from the announcement of new weights to the last request on older ones
    double leaseMs = 3000;
    double limitWindowSeconds = 8; // span over which customers' limits are evaluated
    double limitOvershoot = 0.1;
    double limitSlack = 0;

    [[nodiscard]] proxy::TrafficSettings traffic() const;
    [[nodiscard]] ControlSettings control() const;
};

struct GatewaySettingsKey
{
    std::string_view section;
    std::string_view name;
    std::string_view form; // of the value: "name", "endpoint", "number" or SwitchForm
    std::string_view meaning;
    bool isRequired = false;
    std::string GatewaySettings::*text = nullptr;
    base::Endpoint GatewaySettings::*endpoint = nullptr;
    double GatewaySettings::*number = nullptr;
    double above = -1; // a number must be greater than this
    double most = std::numeric_limits<double>::max(); // and at most this
};

[[nodiscard]] std::span<const GatewaySettingsKey> gatewaySettingsKeys();
// Returns the content of docs/SETTINGS-gateway.md.
[[nodiscard]] std::string renderGatewaySettingsPage();

// InvalidArgument: the message names the file, the line and the key, and says what is
// expected.
[[nodiscard]] base::Result<GatewaySettings> parseGatewaySettings(std::string_view text, std::string_view fileName);
// NotFound if the file can't be read.
[[nodiscard]] base::Result<GatewaySettings> loadGatewaySettings(const std::string &path);

} // namespace carawaylatch::gateway
