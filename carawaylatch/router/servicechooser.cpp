// Services have no prefix caches, so the routing strategy places the call with an
// empty chain, by load only.
#include "carawaylatch/router/servicechooser.h"

#include "carawaylatch/base/hash.h"

namespace carawaylatch::router
{

namespace
{
constexpr std::uint32_t CallTokens = 1; // load of one call in the in-flight table
}

ServiceChooser::ServiceChooser(const PlacementDependencies &dependencies, const RequestContext &context)
    : m_dependencies(dependencies)
    , m_context(context)
{
}

base::Result<orders::ChosenUpstream> ServiceChooser::choose(const std::vector<base::UpstreamId> &refused)
{
    m_ticket.finish();
    const base::TimePoint now = m_dependencies.clock.now();
    const auto view = m_dependencies.published.load()->upstreams;
    routing::PlacementRequest request;
    request.now = now;
    request.pool = m_context.pool->name;
    request.trafficClass = m_context.head.trafficClass;
    request.deadline = m_context.deadline;
    request.excluded = refused;
    request.spreadKey = base::hash64(m_context.head.requestId);
    BOOST_OUTCOME_TRY(placement, m_dependencies.strategy.place(request, *view));
    if (!view->maySend(placement.upstream, placement.incarnation, now)) {
        return base::fail(base::ErrorKind::Unavailable, placement.upstream.value() + " no longer accepts requests; try again", base::seconds{1});
    }
    m_ticket = m_dependencies.routingState.inflight.begin(placement.slot, CallTokens, now, m_context.head.trafficClass);
    return orders::ChosenUpstream{placement.upstream, placement.endpoint};
}

} // namespace carawaylatch::router
