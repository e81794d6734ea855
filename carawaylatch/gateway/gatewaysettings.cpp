// The table of keys, the parser, and the settings derived for each plane.
#include "carawaylatch/gateway/gatewaysettings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>

#include "carawaylatch/config/inidocument.h"
#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::gateway
{

namespace
{

using Key = GatewaySettingsKey;
using S = GatewaySettings;

constexpr double MaxLimitWindowSeconds = 86'400; // one day; keeps times far below the range of a duration

constexpr std::string_view SwitchForm = "0 or 1";

constexpr std::array<Key, 23> Keys{
    Key{"gateway", "id", "name", "names this VM; one process at a time has it", true, &S::id},
    Key{"gateway", "failure_domain", "name", "failure domain of this VM", true, &S::failureDomain},
    Key{"gateway", "callers", "endpoint", "where callers connect", true, nullptr, &S::callers},
    Key{"gateway", "operators", "endpoint", "where readiness and metrics are asked for", true, nullptr, &S::operators},
    Key{"gateway", "metrics", "endpoint", "where metrics alone are asked for, beside the operators' address", false, nullptr, &S::metrics},
    Key{"gateway", "peers", "endpoint", "where other routers send reports of their load; without it none are exchanged", false, nullptr, &S::peers},
    Key{"gateway", "relay", "endpoint", "where routers of the failure domain learn of changes of the store; without it each router watches the store itself",
        false, nullptr, &S::relay},
    Key{"gateway", "memory_mb", "number", "megabytes that the process may use; an eighth of it holds request bodies, a quarter responses", false, nullptr,
        nullptr, &S::memoryMegabytes},
    Key{"gateway", "grace_seconds", "number", "seconds from the stop signal to the end of the process", false, nullptr, nullptr, &S::graceSeconds},
    Key{"store", "address", "endpoint", "the object store", true, nullptr, &S::store},
    Key{"store", "timeout_ms", "number", "milliseconds for one call, without a watch's wait", false, nullptr, nullptr, &S::storeTimeoutMs},
    Key{"store", "watch_ms", "number", "milliseconds that one watch waits; bounds the age of the configuration", false, nullptr, nullptr, &S::watchWaitMs},
    Key{"store", "readers", "number", "routers of a failure domain that watch the store for all of it; 0: each router for itself", false, nullptr, nullptr,
        &S::storeReaders},
    Key{"retries", "share", "number", "requests sent again, for each request of a pool, over all routers", false, nullptr, nullptr, &S::retryShare},
    Key{"retries", "reserve", "number", "requests sent again in ten seconds beside the share, over all routers", false, nullptr, nullptr, &S::retryReserve},
    Key{"queue", "share_by_customer", SwitchForm,
        "1: customers whose requests of one urgency wait share capacity by work; 0: these are served in order of arrival", false, nullptr, nullptr,
        &S::shareByCustomer},
    Key{"configuration", "max_age_ms", "number", "milliseconds after which an unconfirmed configuration serves no request with a key; 0: no limit", false,
        nullptr, nullptr, &S::maxAgeMs},
    Key{"upstreams", "leave_within_ms", "number", "milliseconds from the news that an upstream leaves to the last request that it is sent", false, nullptr,
        nullptr, &S::leaveWithinMs},
    Key{"weights", "change_within_ms", "number", "milliseconds from a version's naming to the last request on older weights", false, nullptr, nullptr,
        &S::changeWithinMs},
    Key{"weights", "lease_ms", "number", "milliseconds between the last order of one holder and the first of another", false, nullptr, nullptr, &S::leaseMs},
    Key{"limits", "window_seconds", "number", "seconds over which customers' limits are evaluated", false, nullptr, nullptr, &S::limitWindowSeconds, 0,
        MaxLimitWindowSeconds},
    Key{"limits", "overshoot", "number", "fraction by which a limit may be exceeded in the window; at most 1", false, nullptr, nullptr, &S::limitOvershoot, -1,
        1},
    Key{"limits", "slack", "number", "units allowed in the window beside that fraction", false, nullptr, nullptr, &S::limitSlack},
};

base::Error invalidValueError(std::string_view fileName, const config::IniEntry &entry, const std::string &problem)
{
    return base::fail(base::ErrorKind::InvalidArgument, config::linePrefix(fileName, entry.line) + entry.key + ": " + problem);
}

base::Result<void> assign(GatewaySettings &settings, const Key &key, const config::IniEntry &entry, std::string_view fileName)
{
    if (key.text != nullptr) {
        const auto name = config::parseName(entry.value);
        if (!name) {
            return invalidValueError(fileName, entry, name.error().message);
        }
        settings.*key.text = name.value();
    } else if (key.endpoint != nullptr) {
        const auto endpoint = config::parseEndpoint(entry.value);
        if (!endpoint) {
            return invalidValueError(fileName, entry, endpoint.error().message);
        }
        settings.*key.endpoint = endpoint.value();
    } else {
        const auto number = config::parseFraction(entry.value);
        if (!number) {
            return invalidValueError(fileName, entry, number.error().message);
        }
        if (number.value() <= key.above || number.value() > key.most) {
            const std::string least = key.above < 0 ? "0 or more" : "above " + config::formatFraction(key.above);
            return invalidValueError(fileName, entry, "must be " + least + " and at most " + config::formatFraction(key.most));
        }
        if (key.form == SwitchForm && entry.value != "0" && entry.value != "1") {
            return invalidValueError(fileName, entry, "must be 0 or 1, not '" + entry.value + "'");
        }
        settings.*key.number = number.value();
    }
    return base::ok();
}

base::Result<void> checkRanges(const GatewaySettings &settings, std::string_view fileName)
{
    const auto belowMinimumError = [fileName](std::string_view key, std::string_view least) {
        return base::fail(base::ErrorKind::InvalidArgument, std::string(fileName) + ": " + std::string(key) + " must be " + std::string(least) + " or more");
    };
    if (settings.memoryMegabytes < 32) {
        return belowMinimumError("memory_mb", "32");
    }
    if (settings.graceSeconds < 1) {
        return belowMinimumError("grace_seconds", "1");
    }
    if (settings.storeTimeoutMs < 10 || settings.watchWaitMs < 10) {
        return belowMinimumError("timeout_ms and watch_ms", "10");
    }
    if (settings.storeReaders < 0) {
        return belowMinimumError("readers", "0");
    }
    if (settings.leaveWithinMs < 100) {
        return belowMinimumError("leave_within_ms", "100");
    }
    if (settings.leaseMs < 100 || settings.changeWithinMs < 100) {
        return belowMinimumError("lease_ms and change_within_ms", "100");
    }
    return base::ok();
}

} // namespace

std::span<const GatewaySettingsKey> gatewaySettingsKeys()
{
    return Keys;
}

std::string renderGatewaySettingsPage()
{
    std::ostringstream out;
    out << "# Settings of the gateway\n\nRendered from carawaylatch/gateway/gatewaysettings.cpp; a test compares the two.\n"
        << "The file is read at the start, on SIGHUP and when it changes; a wrong file changes nothing.\n\n"
        << "| section | key | form | needed | meaning |\n|---|---|---|---|---|\n";
    for (const Key &key : Keys) {
        out << "| " << key.section << " | " << key.name << " | " << key.form << " | " << (key.isRequired ? "yes" : "no") << " | " << key.meaning << " |\n";
    }
    return out.str();
}

base::Result<GatewaySettings> parseGatewaySettings(std::string_view text, std::string_view fileName)
{
    auto document = config::parseIni(text, fileName);
    if (!document) {
        return document.error();
    }
    GatewaySettings settings;
    std::set<std::string> seen;
    for (const config::IniSection &section : document.value().sections) {
        for (const config::IniEntry &entry : section.entries) {
            const auto key = std::find_if(Keys.begin(), Keys.end(), [&](const Key &it) {
                return it.section == section.name && it.name == entry.key;
            });
            if (key == Keys.end()) {
                return invalidValueError(fileName, entry, "no such key in [" + section.name + "]; docs/SETTINGS-gateway.md lists all");
            }
            if (!seen.insert(section.name + '.' + entry.key).second) {
                return invalidValueError(fileName, entry, "duplicate key; remove one of the two");
            }
            if (const auto assigned = assign(settings, *key, entry, fileName); !assigned) {
                return assigned.error();
            }
        }
    }
    for (const Key &key : Keys) {
        if (key.isRequired && !seen.contains(std::string(key.section) + '.' + std::string(key.name))) {
            return base::fail(base::ErrorKind::InvalidArgument,
                              std::string(fileName) + ": [" + std::string(key.section) + "] " + std::string(key.name) + " is missing; set it");
        }
    }
    if (const auto checked = checkRanges(settings, fileName); !checked) {
        return checked.error();
    }
    return settings;
}

base::Result<GatewaySettings> loadGatewaySettings(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return base::fail(base::ErrorKind::NotFound, path + ": can't open the settings file; check its path and permissions");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return parseGatewaySettings(text.str(), path);
}

proxy::TrafficSettings GatewaySettings::traffic() const
{
    // The rest of the limit covers the time between admission and execution of a request,
    // and the duration of the watch that confirms the configuration.
    constexpr double UsedAgeShare = 0.9;
    // Above the age that is reached between two successful watches, so that readiness
    // doesn't flap.
    constexpr double ReadyAgeShare = 0.62;
    constexpr double MaxBodiesShare = 0.125; // request bodies' share of the process's memory
    constexpr double MaxResponsesShare = 0.25; // responses' share
    constexpr double OldWeightsShare = 0.8; // the last requests on older weights are sent within this share of the time
    constexpr double OldWeightsStartShare = 0.925; // and start within this; the rest covers network delay and late notification
    proxy::TrafficSettings out;
    out.domain = base::FailureDomain(failureDomain);
    out.callers = callers;
    out.operators = operators;
    out.metrics = metrics;
    out.peers = peers;
    out.routerId = id;
    out.retryShare = retryShare;
    out.retryReserve = static_cast<std::uint32_t>(retryReserve);
    out.queueOrder = shareByCustomer != 0 ? proxy::QueueOrder::ByCustomer : proxy::QueueOrder::ByArrival;
    out.maxTableAge = base::fromMilliseconds(maxAgeMs * UsedAgeShare);
    out.readyTableAge = base::fromMilliseconds(maxAgeMs * ReadyAgeShare);
    out.maxBufferedBodyBytes = static_cast<std::uint64_t>(memoryMegabytes * 1e6 * MaxBodiesShare);
    out.maxBufferedResponseBytes = static_cast<std::uint64_t>(memoryMegabytes * 1e6 * MaxResponsesShare);
    out.placement.oldWeightsLimit = base::fromMilliseconds(changeWithinMs * OldWeightsShare);
    out.placement.oldWeightsStart = base::fromMilliseconds(changeWithinMs * OldWeightsStartShare);
    out.limits.window = base::fromSeconds(limitWindowSeconds);
    out.limits.overshoot = limitOvershoot;
    out.limits.slack = limitSlack;
    return out;
}

ControlSettings GatewaySettings::control() const
{
    constexpr double LeaseShare = 0.6; // lease duration; the holder uses at most two thirds of it
    constexpr base::Duration OrderMargin = base::milliseconds{100}; // of the arrival of an order after the end of its call
    constexpr base::Duration OrderTime = EngineClient::MaxOrderTime + OrderMargin;
    constexpr double RemovalPauseShare = 0.2; // of the time to leave; the rest covers a slow call and requests in flight
    constexpr double UntoldShare = 0.6; // of the time to leave; the rest covers a call to the store, repeated once, and requests in flight
    constexpr double RemovalUseShare = 0.85; // of the time to leave; the rest covers requests in flight
    ControlSettings out;
    out.removal.pause = base::fromMilliseconds(leaveWithinMs * RemovalPauseShare);
    out.removal.maxUse = base::fromMilliseconds(leaveWithinMs * RemovalUseShare);
    out.maxUntoldTime = std::max(base::fromMilliseconds(leaveWithinMs * UntoldShare), base::fromMilliseconds(watchWaitMs));
    out.router = base::RouterId(id);
    out.peers = peers;
    out.domain = base::FailureDomain(failureDomain);
    out.readers.perDomain = static_cast<std::size_t>(storeReaders);
    out.relay = out.readers.perDomain > 0 ? relay : base::Endpoint{};
    out.lease.duration = base::fromMilliseconds(leaseMs * LeaseShare);
    out.lease.readInterval = base::fromMilliseconds(leaseMs * LeaseShare / 6);
    out.lease.isRouterIdUnique = true;
    // The previous holder's last order may have been sent right before its lease ended, and arrive at the end of its call.
    out.rollout.takeoverDelay = base::fromMilliseconds(leaseMs) + OrderTime;
    out.rollout.orderFlightTime = OrderTime;
    out.watchWait = base::fromMilliseconds(watchWaitMs);
    return out;
}

} // namespace carawaylatch::gateway
