// Requests read published snapshots. Drain and undrain run on the control thread and
// block until they have taken effect.
#include "carawaylatch/router/operatorrequesthandler.h"

#include "carawaylatch/telemetry/dashboard.h"
#include "carawaylatch/telemetry/processusage.h"

namespace carawaylatch::router
{

OperatorRequestHandler::OperatorRequestHandler(const OperatorDependencies &dependencies)
    : m_dependencies(dependencies)
    , m_startedAt(dependencies.clock.now())
    , m_sampledAt(m_startedAt)
{
}

std::string OperatorRequestHandler::notReadyBecause()
{
    const auto snapshot = m_dependencies.published.load();
    if (snapshot->serving == ServingState::Ready) {
        return {};
    }
    return snapshot->notReadyMessage.empty() ? "stopping" : snapshot->notReadyMessage;
}

std::string OperatorRequestHandler::metricsText()
{
    return m_dependencies.metrics.renderText();
}

std::string OperatorRequestHandler::statusJson()
{
    return telemetry::renderStatusJson(report());
}

std::string OperatorRequestHandler::dashboard()
{
    const auto status = report();
    const std::lock_guard lock(m_mutex);
    return telemetry::renderDashboard(status, m_series);
}

base::Result<std::string> OperatorRequestHandler::explainJson(const http::CompletionCall &call)
{
    BOOST_OUTCOME_TRY(report, m_dependencies.traffic.explain(call));
    report.strategy = m_dependencies.settings.routing.strategy;
    return telemetry::renderExplainJson(report);
}

base::Result<void> OperatorRequestHandler::drain(const base::UpstreamId &upstream)
{
    BOOST_OUTCOME_TRYV(checkUpstreamExists(upstream));
    m_dependencies.loop.runAndWait([&](base::TimePoint now) {
        m_dependencies.upstreams.onLeaving(upstream, upstreams::LeavingSource::Drain, now);
    });
    return base::ok();
}

base::Result<void> OperatorRequestHandler::undrain(const base::UpstreamId &upstream)
{
    BOOST_OUTCOME_TRYV(checkUpstreamExists(upstream));
    m_dependencies.loop.runAndWait([&](base::TimePoint now) {
        m_dependencies.upstreams.onUndrain(upstream, now);
    });
    return base::ok();
}

void OperatorRequestHandler::recordControlTraffic()
{
    using telemetry::ControlChannel;
    auto &metrics = m_dependencies.metrics;
    const auto peers = m_dependencies.transport.counters();
    metrics.raiseControlTo(ControlChannel::Peer, peers.sentMessages + peers.receivedMessages, peers.sentBytes + peers.receivedBytes);
    // Both enumerations list the same reasons in the same order.
    static_assert(static_cast<std::size_t>(telemetry::PeerRefusal::Replayed) == static_cast<std::size_t>(peer::PeerRefusal::Replayed));
    for (std::size_t i = 0; i < peers.refused.size(); ++i) {
        metrics.raisePeerRefusalsTo(static_cast<telemetry::PeerRefusal>(i), peers.refused.at(i));
    }
    const auto calls = m_dependencies.objects.calls();
    metrics.raiseControlTo(ControlChannel::Platform, calls.reads + calls.writes, 0);
}

void OperatorRequestHandler::sample(base::TimePoint now)
{
    recordControlTraffic();
    const base::Duration used = m_dependencies.loop.cpuTime();
    m_dependencies.metrics.setResourceUsage(used, telemetry::readProcessUsage().residentBytes);
    const std::lock_guard lock(m_mutex);
    m_series.sample(now, m_dependencies.metrics.totals());
    if (now > m_sampledAt) {
        m_controlCoreShare = base::toSeconds(used - m_sampledProcessorTime) / base::toSeconds(now - m_sampledAt);
    }
    m_rates = customerRates(m_dependencies.admissionController, m_rates, now - m_sampledAt);
    m_sampledAt = now;
    m_sampledProcessorTime = used;
}

telemetry::StatusReport OperatorRequestHandler::report()
{
    const base::TimePoint now = m_dependencies.clock.now();
    telemetry::RouterStatus self;
    self.id = m_dependencies.settings.router.id;
    self.domain = m_dependencies.settings.router.failureDomain;
    self.incarnation = m_dependencies.incarnation;
    self.version = m_dependencies.settings.router.versionLabel;
    self.uptime = now - m_startedAt;
    double share = 0;
    std::vector<CustomerRate> rates;
    {
        const std::lock_guard lock(m_mutex);
        share = m_controlCoreShare;
        rates = m_rates;
    }
    return buildStatus({m_dependencies.published, m_dependencies.routingState, m_dependencies.admissionController, m_dependencies.metrics, std::move(self),
                        share, std::move(rates)},
                       now);
}

base::Result<void> OperatorRequestHandler::checkUpstreamExists(const base::UpstreamId &upstream) const
{
    if (m_dependencies.published.load()->upstreams->find(upstream) == nullptr) {
        return base::fail(base::ErrorKind::NotFound, "no upstream " + upstream.value() + " in any pool; carawaylatchctl status lists them");
    }
    return base::ok();
}

} // namespace carawaylatch::router
