// The first token has no gap; the time to first token is recorded by TrafficPlane at
// the end of the request.
#include "carawaylatch/router/tokenmeter.h"

namespace carawaylatch::router
{

TokenMeter::TokenMeter(relay::CallerSink &sink, telemetry::Metrics &metrics, const base::CustomerId &customer, base::TrafficClass trafficClass,
                       const base::Clock &clock)
    : m_sink(sink)
    , m_metrics(metrics)
    , m_customer(customer)
    , m_trafficClass(trafficClass)
    , m_clock(clock)
{
}

relay::CallerState TokenMeter::begin(const relay::AttemptPlan &plan)
{
    return m_sink.begin(plan);
}

relay::CallerState TokenMeter::token(std::uint64_t index, std::string_view text)
{
    const auto now = m_clock.now();
    if (m_lastToken) {
        m_metrics.recordTokenGap(m_customer, m_trafficClass, now - *m_lastToken);
    }
    m_lastToken = now;
    return m_sink.token(index, text);
}

void TokenMeter::finish(const relay::DoneEvent &done)
{
    m_sink.finish(done);
}

void TokenMeter::abort(const base::Error &error)
{
    m_sink.abort(error);
}

relay::CallerState TokenMeter::state() const
{
    return m_sink.state();
}

} // namespace carawaylatch::router
