// Settings of one gateway process: an INI file, read at the start and again when
// it changes.
//
// Each key is one row of the table behind gatewaySettingsKeys(), from which the
// parser, its messages and docs/SETTINGS-gateway.md come.
#pragma once

#include <cstdint>
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
    base::Endpoint metrics;
    base::Endpoint store;
    double memoryMegabytes = 256; // that the process may use
    double graceSeconds = 8; // from the stop signal to the end of the process
    double storeTimeoutMs = 1000; // of one call, without a watch's wait
    double watchWaitMs = 1200; // of one watch
    double leaveWithinMs = 2000; // from the news of an upstream's leaving to its last request
    double retryShare = 0.2;
    double retryReserve = 50;
    double maxAgeMs = 0; // of the configuration, for requests with a key; zero: no limit
    double changeWithinMs = 8000; // of new weights
    double leaseMs = 3000;

    [[nodiscard]] proxy::TrafficSettings traffic() const;
    [[nodiscard]] ControlSettings control() const;
};

struct GatewaySettingsKey
{
    std::string_view section;
    std::string_view name;
    std::string_view form; // "name", "endpoint" or "number"
    std::string_view meaning;
    bool isRequired = false;
    std::string GatewaySettings::*text = nullptr;
    base::Endpoint GatewaySettings::*endpoint = nullptr;
    double GatewaySettings::*number = nullptr;
};

[[nodiscard]] std::span<const GatewaySettingsKey> gatewaySettingsKeys();
// Returns the page docs/SETTINGS-gateway.md.
[[nodiscard]] std::string renderGatewaySettingsPage();

// InvalidArgument names file, line and key, and says what to write.
[[nodiscard]] base::Result<GatewaySettings> parseGatewaySettings(std::string_view text, std::string_view fileName);
// NotFound if the file can't be read.
[[nodiscard]] base::Result<GatewaySettings> loadGatewaySettings(const std::string &path);

} // namespace carawaylatch::gateway
