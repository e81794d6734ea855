// A gateway process: a control thread, a traffic thread, and the handling of signals.
//
//     Gateway gateway(path, settings, log, makeComponents);
//     BOOST_OUTCOME_TRY(gateway.start());
//     return gateway.run();        // returns when the stop after SIGTERM is complete
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/controlplane.h"
#include "carawaylatch/gateway/gatewaysettings.h"
#include "carawaylatch/gateway/http2relay.h"
#include "carawaylatch/gateway/tableage.h"
#include "carawaylatch/proxy/trafficplane.h"
#include "carawaylatch/proxy/trafficstop.h"
#include "carawaylatch/telemetry/eventlog.h"

namespace carawaylatch::gateway
{

// Platform-specific components; they run on the control thread's loop.
struct GatewayComponents
{
    std::unique_ptr<ObjectClientFactory> clients;
    std::unique_ptr<EngineClient> engines;
    std::unique_ptr<FleetDecoder> decoder;
    std::unique_ptr<proxy::Dialect> dialect;
};
using GatewayComponentsFactory = std::function<GatewayComponents(boost::asio::io_context &controlLoop, const GatewaySettings &settings)>;

class Gateway : public proxy::TrafficObserver
{
public:
    Gateway(std::string settingsPath, GatewaySettings settings, const base::Clock &clock, telemetry::EventLog &log,
            const GatewayComponentsFactory &makeComponents);
    ~Gateway() override;

    // Binds the addresses. Unavailable: an address is in use, or signals can't be handled.
    [[nodiscard]] base::Result<void> start();
    // Serves until the stop after a signal is complete; returns the exit code.
    int run();

    void onUpstreamLeaving(const base::UpstreamId &upstream, std::uint64_t startTimeMs) override;
    void onWeightsSeen(const base::UpstreamId &upstream, base::WeightsVersion weights) override;
    void onRouterUnreachable(const base::Endpoint &peers) override;
    void onStreamsSent(std::vector<proxy::StreamOrigin> streams) override;
    void findOrigin(const base::PoolName &pool, std::uint64_t stream, std::function<void(proxy::OriginAnswer)> done) override;

private:
    void runLoop(boost::asio::io_context &loop, std::string_view part);
    void awaitSignal();
    void beginStop();
    void continueStop();
    void watchSettings();
    void reload(const std::string &cause);

    const std::string m_settingsPath;
    GatewaySettings m_settings;
    const base::Clock &m_clock;
    telemetry::EventLog &m_log;
    TableAge m_tableAge;
    boost::asio::io_context m_controlLoop;
    boost::asio::io_context m_trafficLoop;
    GatewayComponents m_components;
    std::unique_ptr<proxy::TrafficPlane> m_traffic;
    Http2Relay m_relay;
    std::unique_ptr<ControlPlane> m_control;
    boost::asio::signal_set m_signals; // handled on the traffic thread
    base::TimerService::Subscription m_stopTimer;
    base::TimerService::Subscription m_settingsTimer;
    std::optional<proxy::TrafficStop> m_stop;
    std::string m_settingsText; // content of the file as last read
};

} // namespace carawaylatch::gateway
