// Reads snapshots; changes go to the control thread and are waited for.
#include "carawaylatch/router/operatordesk.h"

#include "carawaylatch/telemetry/dashboard.h"
#include "carawaylatch/telemetry/processusage.h"

namespace carawaylatch::router
{

OperatorDesk::OperatorDesk(const OperatorParts &parts)
    : m_parts(parts)
    , m_startedAt(parts.clock.now())
    , m_sampledAt(m_startedAt)
{
}

std::string OperatorDesk::notReadyBecause()
{
    const auto snapshot = m_parts.published.load();
    if (snapshot->serving == Serving::Yes) {
        return {};
    }
    return snapshot->notReadyBecause.empty() ? "stopping" : snapshot->notReadyBecause;
}

std::string OperatorDesk::metricsText()
{
    return m_parts.metrics.renderText();
}

std::string OperatorDesk::statusJson()
{
    return telemetry::renderStatusJson(report());
}

std::string OperatorDesk::dashboard()
{
    const auto status = report();
    const std::lock_guard lock(m_mutex);
    return telemetry::renderDashboard(status, m_series);
}

base::Result<std::string> OperatorDesk::explainJson(const http::CompletionCall &call)
{
    BOOST_OUTCOME_TRY(report, m_parts.traffic.explain(call));
    report.strategy = m_parts.settings.routing.strategy;
    return telemetry::renderExplainJson(report);
}

base::Result<void> OperatorDesk::drain(const base::UpstreamId &upstream)
{
    BOOST_OUTCOME_TRYV(known(upstream));
    m_parts.loop.run([&](base::TimePoint now) {
        m_parts.upstreams.onLeaving(upstream, upstreams::LeavingSource::Drain, now);
    });
    return base::ok();
}

base::Result<void> OperatorDesk::undrain(const base::UpstreamId &upstream)
{
    BOOST_OUTCOME_TRYV(known(upstream));
    m_parts.loop.run([&](base::TimePoint now) {
        m_parts.upstreams.onUndrain(upstream, now);
    });
    return base::ok();
}

void OperatorDesk::noteControlTraffic()
{
    using telemetry::ControlChannel;
    auto &metrics = m_parts.metrics;
    const auto peers = m_parts.transport.counters();
    metrics.raiseControlTo(ControlChannel::Peer, peers.sentMessages + peers.receivedMessages, peers.sentBytes + peers.receivedBytes);
    // Both enumerations name the same reasons in the same order.
    static_assert(static_cast<std::size_t>(telemetry::PeerRefusal::Replayed) == static_cast<std::size_t>(peer::PeerRefusal::Replayed));
    for (std::size_t i = 0; i < peers.refused.size(); ++i) {
        metrics.raisePeerRefusalsTo(static_cast<telemetry::PeerRefusal>(i), peers.refused.at(i));
    }
    const auto calls = m_parts.objects.calls();
    metrics.raiseControlTo(ControlChannel::Platform, calls.reads + calls.writes, 0);
}

void OperatorDesk::sample(base::TimePoint now)
{
    noteControlTraffic();
    const base::Duration used = m_parts.loop.processorTime();
    m_parts.metrics.setResourceUsage(used, telemetry::readProcessUsage().residentBytes);
    const std::lock_guard lock(m_mutex);
    m_series.sample(now, m_parts.metrics.totals());
    if (now > m_sampledAt) {
        m_controlCoreShare = base::toSeconds(used - m_sampledProcessorTime) / base::toSeconds(now - m_sampledAt);
    }
    m_rates = customerRates(m_parts.admissionController, m_rates, now - m_sampledAt);
    m_sampledAt = now;
    m_sampledProcessorTime = used;
}

telemetry::StatusReport OperatorDesk::report()
{
    const base::TimePoint now = m_parts.clock.now();
    telemetry::RouterStatus self;
    self.id = m_parts.settings.router.id;
    self.domain = m_parts.settings.router.failureDomain;
    self.incarnation = m_parts.incarnation;
    self.version = m_parts.settings.router.versionLabel;
    self.uptime = now - m_startedAt;
    double share = 0;
    std::vector<CustomerRate> rates;
    {
        const std::lock_guard lock(m_mutex);
        share = m_controlCoreShare;
        rates = m_rates;
    }
    return buildStatus({m_parts.published, m_parts.knowledge, m_parts.admissionController, m_parts.metrics, std::move(self), share, std::move(rates)}, now);
}

base::Result<void> OperatorDesk::known(const base::UpstreamId &upstream) const
{
    if (m_parts.published.load()->upstreams->find(upstream) == nullptr) {
        return base::fail(base::ErrorKind::NotFound, "no upstream " + upstream.value() + " in any pool; carawaylatchctl status lists them");
    }
    return base::ok();
}

} // namespace carawaylatch::router
