// The cache namespace of a request depends on the weights version that the pool
// currently serves, so the salt and the block chain are computed when the request is
// placed, and again if the version changed between two attempts. A continuation keeps
// the version of the tokens already delivered.
#include "carawaylatch/router/completionplacer.h"

#include <algorithm>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/prefix/chain.h"
#include "carawaylatch/prefix/namespace.h"

namespace carawaylatch::router
{

namespace
{

constexpr base::Duration ViewRetryAfter = base::seconds{1};

upstreams::AttemptOutcome toRegistryOutcome(const relay::AttemptOutcome &outcome)
{
    if (outcome.result != relay::AttemptResult::Broken || !outcome.breakKind) {
        return upstreams::AttemptOutcome::Succeeded;
    }
    switch (*outcome.breakKind) {
    case relay::BreakKind::NotSent:
        return upstreams::AttemptOutcome::NotSent;
    case relay::BreakKind::Refused:
        return upstreams::AttemptOutcome::RefusedOther;
    case relay::BreakKind::Cancelled:
        return upstreams::AttemptOutcome::Succeeded;
    case relay::BreakKind::Lost:
    case relay::BreakKind::Malformed:
        break;
    }
    return upstreams::AttemptOutcome::Failed;
}

} // namespace

CompletionPlacer::CompletionPlacer(const PlacementDependencies &dependencies, const RequestContext &context)
    : m_dependencies(dependencies)
    , m_context(context)
    , m_blockTokens(std::max(1U, context.pool->blockBytes / prefix::BytesPerToken))
{
}

base::Result<relay::AttemptPlan> CompletionPlacer::place(const relay::PlacementRequest &request)
{
    const base::TimePoint now = m_dependencies.clock.now();
    BOOST_OUTCOME_TRY(view, prepareView(request.weightsVersion, now));
    const auto *pool = view->pool(m_context.pool->name);
    std::vector<base::UpstreamId> excluded;
    for (const auto &it : request.excluded) {
        const auto *status = view->find(it.upstream);
        if (status != nullptr && status->incarnation == it.incarnation) {
            excluded.push_back(it.upstream);
        }
    }
    BOOST_OUTCOME_TRY(placement, m_dependencies.strategy.place(routingRequest(excluded, now), *view));
    if (!view->maySend(placement.upstream, placement.incarnation, now)) {
        return base::fail(base::ErrorKind::Unavailable, placement.upstream.value() + " no longer accepts requests; try again", ViewRetryAfter);
    }
    OpenPlacement openPlacement{placement.slot, placement.incarnation, placement.predictedBlocks, findMaxCachedBlocks(now), {}};
    openPlacement.ticket = m_dependencies.routingState.inflight.begin(placement.slot, placement.missingTokens, now, m_context.head.trafficClass);
    m_dependencies.routingState.caches.recordPlacement(placement.slot, placement.incarnation, m_chain, now);
    m_dependencies.routingState.heat.record(base::hash64(m_context.pool->name.value()), m_chain, prefix::promptTokens(m_context.prompt),
                                            static_cast<std::uint32_t>(std::max<std::size_t>(1, pool->eligible.size())), now);
    m_openPlacements.emplace(placement.upstream, std::move(openPlacement));
    return relay::AttemptPlan{placement.upstream, placement.endpoint, placement.incarnation, m_version, m_salt};
}

void CompletionPlacer::firstToken(const relay::AttemptPlan &plan, base::Duration)
{
    const auto it = m_openPlacements.find(plan.upstream);
    if (it != m_openPlacements.end()) {
        it->second.ticket.onFirstToken();
    }
}

void CompletionPlacer::ended(const relay::AttemptOutcome &outcome)
{
    const auto it = m_openPlacements.find(outcome.plan.upstream);
    if (it != m_openPlacements.end()) {
        it->second.ticket.finish();
        recordUsage(outcome, it->second);
        m_openPlacements.erase(it);
    }
    m_dependencies.onAttempt({outcome.plan.upstream, outcome.plan.incarnation, toRegistryOutcome(outcome)});
}

std::uint64_t CompletionPlacer::wastedTokens() const
{
    return m_wastedTokens;
}

base::Result<routing::Placement> CompletionPlacer::previewPlacement()
{
    const base::TimePoint now = m_dependencies.clock.now();
    BOOST_OUTCOME_TRY(view, prepareView(std::nullopt, now));
    return m_dependencies.strategy.place(routingRequest({}, now), *view);
}

base::Result<routing::Explanation> CompletionPlacer::explain()
{
    const base::TimePoint now = m_dependencies.clock.now();
    BOOST_OUTCOME_TRY(view, prepareView(std::nullopt, now));
    return m_dependencies.strategy.explain(routingRequest({}, now), *view);
}

base::Result<std::shared_ptr<const upstreams::UpstreamView>> CompletionPlacer::prepareView(std::optional<base::WeightsVersion> version, base::TimePoint now)
{
    auto view = m_dependencies.published.load()->upstreams;
    const auto *pool = view->pool(m_context.pool->name);
    if (pool == nullptr || !view->isUsable(now)) {
        return base::fail(base::ErrorKind::Unavailable, "the router's view of its upstreams is stale; nothing ran, try again", ViewRetryAfter);
    }
    prepareChain(version.value_or(pool->servingVersion));
    return view;
}

routing::PlacementRequest CompletionPlacer::routingRequest(const std::vector<base::UpstreamId> &excluded, base::TimePoint now) const
{
    routing::PlacementRequest request;
    request.now = now;
    request.pool = m_context.pool->name;
    request.chain = m_chain;
    request.promptTokens = prefix::promptTokens(m_context.prompt);
    request.blockTokens = m_blockTokens;
    request.trafficClass = m_context.head.trafficClass;
    request.deadline = m_context.deadline;
    request.excluded = excluded;
    request.spreadKey = base::hash64(m_context.head.requestId);
    return request;
}

void CompletionPlacer::prepareChain(base::WeightsVersion version)
{
    if (m_salt.value != 0 && version == m_version) {
        return;
    }
    m_version = version;
    m_salt = prefix::cacheSalt(m_context.customer->id, m_context.model, version, m_context.pool->adapter);
    m_chain = prefix::blockHashChain(m_context.prompt, m_salt, m_context.pool->blockBytes);
}

std::uint32_t CompletionPlacer::findMaxCachedBlocks(base::TimePoint now) const
{
    std::vector<prefix::Holder> holders;
    m_dependencies.routingState.caches.findHolders(m_chain, now, holders);
    std::uint32_t best = 0;
    for (const auto &it : holders) {
        best = std::max(best, it.blocks);
    }
    return best;
}

void CompletionPlacer::recordUsage(const relay::AttemptOutcome &outcome, const OpenPlacement &openPlacement)
{
    if (outcome.result != relay::AttemptResult::Finished || !outcome.usage || outcome.purpose == relay::AttemptPurpose::Continue) {
        return;
    }
    const auto cachedBlocks = static_cast<std::uint32_t>(outcome.usage->cachedTokens / m_blockTokens);
    m_dependencies.routingState.caches.recordAnswer({openPlacement.slot, openPlacement.incarnation, m_chain, openPlacement.predictedBlocks, cachedBlocks},
                                                    m_dependencies.clock.now());
    if (openPlacement.maxCachedBlocks > cachedBlocks) {
        m_wastedTokens += static_cast<std::uint64_t>(openPlacement.maxCachedBlocks - cachedBlocks) * m_blockTokens;
    }
}

} // namespace carawaylatch::router
