// Metrics and status pages have only five states; log events have the reason why an
// upstream gets no requests.
#include "carawaylatch/router/telemetrystate.h"

namespace carawaylatch::router
{

telemetry::UpstreamState toTelemetryState(upstreams::UpstreamState state)
{
    switch (state) {
    case upstreams::UpstreamState::Live:
        return telemetry::UpstreamState::Live;
    case upstreams::UpstreamState::Loading:
        return telemetry::UpstreamState::Loading;
    case upstreams::UpstreamState::Leaving:
        return telemetry::UpstreamState::Leaving;
    case upstreams::UpstreamState::Suspect:
    case upstreams::UpstreamState::Ejected:
        return telemetry::UpstreamState::Suspected;
    case upstreams::UpstreamState::Unknown:
    case upstreams::UpstreamState::Dead:
        break;
    }
    return telemetry::UpstreamState::Unreachable;
}

} // namespace carawaylatch::router
