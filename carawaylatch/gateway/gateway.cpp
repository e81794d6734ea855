// Start, graceful stop and reload of settings.
//
// On a stop signal the gateway reports not ready at once, but serves requests while the
// load balancer still sends new connections. Then it closes idle connections and exits
// after the last response, or shortly before the platform kills the process.
#include "carawaylatch/gateway/gateway.h"

#include <boost/asio/post.hpp>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::gateway
{

namespace
{

// The load balancer probes readiness once a second and stops sending after two failures.
constexpr base::Duration LoadBalancerDelay = base::milliseconds{2850};
constexpr base::Duration StopInterval = base::milliseconds{50}; // between checks for requests in flight
constexpr base::Duration ExitReserve = base::milliseconds{100}; // the process exits so long before the end of the grace period
constexpr base::Duration AnswerReserve = base::milliseconds{250}; // before it exits, for the responses of requests that are cut off
constexpr base::Duration SettingsInterval = base::seconds{1}; // between checks of the settings file

std::string readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

Gateway::Gateway(std::string settingsPath, GatewaySettings settings, const base::Clock &clock, telemetry::EventLog &log,
                 const GatewayComponentsFactory &makeComponents)
    : m_settingsPath(std::move(settingsPath))
    , m_settings(std::move(settings))
    , m_clock(clock)
    , m_log(log)
    , m_controlLoop(1)
    , m_trafficLoop(1)
    , m_components(makeComponents(m_controlLoop, m_settings))
    , m_relay(m_controlLoop, m_settings.relay)
    , m_signals(m_trafficLoop)
    , m_settingsText(readFile(m_settingsPath))
{
    m_traffic = std::make_unique<proxy::TrafficPlane>(m_trafficLoop, m_clock, m_settings.traffic(), *m_components.dialect, *this, m_log, [this] {
        return m_tableAge.age();
    });
    m_control = std::make_unique<ControlPlane>(m_controlLoop, m_clock, m_settings.control(), *m_components.clients, *m_components.engines,
                                               *m_components.decoder, m_log, m_tableAge, m_relay, [this](std::shared_ptr<const proxy::FleetView> view) {
                                                   boost::asio::post(m_trafficLoop, [this, view = std::move(view)]() mutable {
                                                       m_traffic->adopt(std::move(view));
                                                   });
                                               });
}

Gateway::~Gateway() = default;

base::Result<void> Gateway::start()
{
    boost::system::error_code ec;
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        m_signals.add(signal, ec);
        if (ec) {
            return base::fail(base::ErrorKind::Unavailable,
                              "can't install a signal handler (" + ec.message() + "); allow the process to handle SIGTERM, SIGINT and SIGHUP");
        }
    }
    if (auto listening = m_traffic->listen(); !listening) {
        return listening;
    }
    if (auto listening = m_relay.listen(*m_control); !listening) {
        return listening;
    }
    m_log.write(base::LogEvent::GatewayStarted, {{"router", m_settings.id},
                                                 {"domain", m_settings.failureDomain},
                                                 {"callers", config::formatEndpoint(m_settings.callers)},
                                                 {"operators", config::formatEndpoint(m_settings.operators)},
                                                 {"store", config::formatEndpoint(m_settings.store)}});
    awaitSignal();
    watchSettings();
    m_control->start();
    return base::ok();
}

int Gateway::run()
{
    std::thread control([this] {
        runLoop(m_controlLoop, "control_thread");
    });
    runLoop(m_trafficLoop, "traffic_thread");
    m_controlLoop.stop();
    control.join();
    m_log.flush();
    return 0;
}

// An exception ends the handler that it left, and the loop goes on with the next one.
void Gateway::runLoop(boost::asio::io_context &loop, std::string_view part)
{
    while (true) {
        try {
            loop.run();
            return;
        } catch (const std::exception &ex) {
            m_log.write(base::LogEvent::UnexpectedError, {{"part", std::string(part)}, {"problem", ex.what()}});
        }
    }
}

void Gateway::onUpstreamLeaving(const base::UpstreamId &upstream, std::uint64_t startTimeMs)
{
    boost::asio::post(m_controlLoop, [this, upstream, startTimeMs] {
        m_control->onUpstreamLeaving(upstream, startTimeMs);
    });
}

void Gateway::onWeightsSeen(const base::UpstreamId &upstream, base::WeightsVersion weights)
{
    boost::asio::post(m_controlLoop, [this, upstream, weights] {
        m_control->onWeightsSeen(upstream, weights);
    });
}

void Gateway::onRouterUnreachable(const base::Endpoint &peers)
{
    boost::asio::post(m_controlLoop, [this, peers] {
        m_control->onRouterUnreachable(peers);
    });
}

void Gateway::onStreamsSent(std::vector<proxy::StreamOrigin> streams)
{
    boost::asio::post(m_controlLoop, [this, streams = std::move(streams)] {
        m_control->onStreamsSent(streams);
    });
}

void Gateway::findOrigin(const base::PoolName &pool, std::uint64_t stream, std::function<void(proxy::OriginAnswer)> done)
{
    // `done` is moved along, so that what it refers to is released on the traffic thread.
    boost::asio::post(m_controlLoop, [this, pool, stream, done = std::move(done)]() mutable {
        m_control->findOrigin(pool, stream, [this, done = std::move(done)](const proxy::OriginAnswer &answer) mutable {
            boost::asio::post(m_trafficLoop, [done = std::move(done), answer] {
                done(answer);
            });
        });
    });
}

void Gateway::awaitSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &ec, int signal) {
        if (ec) {
            return;
        }
        if (signal == SIGHUP) {
            reload("signal");
        } else {
            beginStop();
        }
        awaitSignal();
    });
}

void Gateway::beginStop()
{
    if (m_traffic->isStopping()) {
        return;
    }
    const base::TimePoint now = m_clock.now();
    m_log.write(base::LogEvent::GatewayStopping, {{"inflight", std::to_string(m_traffic->inflight())}});
    // At once, so that a router that is about to end neither keeps nor acquires the lease.
    boost::asio::post(m_controlLoop, [this] {
        m_control->beginStop();
    });
    m_stop.emplace(*m_traffic, proxy::TrafficStopSettings{LoadBalancerDelay, base::fromSeconds(m_settings.graceSeconds) - ExitReserve, AnswerReserve}, now);
    m_stopTimer = m_traffic->timers().every(now, StopInterval, [this](base::TimePoint) {
        continueStop();
    });
}

void Gateway::continueStop()
{
    const base::TimePoint now = m_clock.now();
    const proxy::StopStep step = m_stop->poll(now);
    if (step == proxy::StopStep::Serving || step == proxy::StopStep::Refusing) {
        return;
    }
    if (step != proxy::StopStep::Complete) {
        return;
    }
    const proxy::StopCounts &counts = m_traffic->stopCounts();
    m_log.write(base::LogEvent::GatewayStopped, {{"cut", std::to_string(m_stop->cutRequests())},
                                                 {"waited_ms", std::to_string(base::toMilliseconds(m_stop->duration(now)))},
                                                 {"backlog", std::to_string(counts.backlog)},
                                                 {"unused", std::to_string(counts.unused)},
                                                 {"late", std::to_string(counts.late)},
                                                 {"partial", std::to_string(m_traffic->partialRequests())}});
    m_log.flush();
    m_trafficLoop.stop();
}

void Gateway::watchSettings()
{
    m_settingsTimer = m_traffic->timers().every(m_clock.now(), SettingsInterval, [this](base::TimePoint) {
        if (readFile(m_settingsPath) != m_settingsText) {
            reload("file");
        }
    });
}

void Gateway::reload(const std::string &cause)
{
    m_settingsText = readFile(m_settingsPath);
    auto settings = parseGatewaySettings(m_settingsText, m_settingsPath);
    if (!settings) {
        m_log.write(base::LogEvent::SettingsRejected, {{"path", m_settingsPath}, {"problem", settings.error().message}});
        return;
    }
    // Addresses and the id can't change while the process runs.
    settings.value().callers = m_settings.callers;
    settings.value().operators = m_settings.operators;
    settings.value().metrics = m_settings.metrics;
    settings.value().peers = m_settings.peers;
    settings.value().relay = m_settings.relay;
    settings.value().id = m_settings.id;
    m_settings = std::move(settings.value());
    m_traffic->applySettings(m_settings.traffic());
    m_log.write(base::LogEvent::SettingsReloaded, {{"path", m_settingsPath}, {"cause", cause}});
}

} // namespace carawaylatch::gateway
