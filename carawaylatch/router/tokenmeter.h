// Records the time between tokens of one stream to the caller.
//
// A decorator of the caller's sink. A token is timestamped when the relay passes it
// to the sink, so back pressure from a slow caller shows as a long gap.
#pragma once

#include <optional>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/relay/relaydriver.h"
#include "carawaylatch/telemetry/metrics.h"

namespace carawaylatch::router
{

class TokenMeter : public relay::CallerSink
{
public:
    // All references must outlive the meter.
    TokenMeter(relay::CallerSink &sink, telemetry::Metrics &metrics, const base::CustomerId &customer, base::TrafficClass trafficClass,
               const base::Clock &clock);

    [[nodiscard]] relay::CallerState begin(const relay::AttemptPlan &plan) override;
    [[nodiscard]] relay::CallerState token(std::uint64_t index, std::string_view text) override;
    void finish(const relay::DoneEvent &done) override;
    void abort(const base::Error &error) override;
    [[nodiscard]] relay::CallerState state() const override;

private:
    relay::CallerSink &m_sink;
    telemetry::Metrics &m_metrics;
    const base::CustomerId &m_customer;
    const base::TrafficClass m_trafficClass;
    const base::Clock &m_clock;
    std::optional<base::TimePoint> m_lastToken;
};

} // namespace carawaylatch::router
