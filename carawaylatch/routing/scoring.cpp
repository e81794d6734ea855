// Placement of one request.
//
// The prefilter limits the number of estimates whatever the pool's size, so that a
// placement takes microseconds with 10,000 upstreams. The whole pool is evaluated only
// if none of the prefiltered upstreams may be chosen.
#include "carawaylatch/routing/scoring.h"

#include <algorithm>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/prefix/manifest.h"
#include "carawaylatch/upstreams/inflight.h"
#include "carawaylatch/upstreams/registry.h"

namespace carawaylatch::routing
{

namespace
{

constexpr base::Duration ViewRetryDelay = base::milliseconds{100};
constexpr base::Duration MinImportSaving = base::milliseconds{20};

bool isExcluded(const PlacementRequest &request, const base::UpstreamId &id)
{
    return std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end();
}

bool isAllowed(const PlacementContext &context, std::uint32_t index)
{
    const auto &status = context.view.upstreams[index];
    return status.acceptsRequests(context.request.now) && !isExcluded(context.request, status.id);
}

// Returns the shortest delay after which the upstream may accept requests again.
base::Duration retryAfter(const upstreams::UpstreamStatus &status, base::TimePoint now)
{
    constexpr base::Duration LoadingRetryDelay = base::milliseconds{600};
    constexpr base::Duration LongRetryDelay = base::seconds{1};
    switch (status.state) {
    case upstreams::UpstreamState::Ejected:
        return std::max<base::Duration>(status.ejectedUntil - now, base::milliseconds{1});
    case upstreams::UpstreamState::Loading:
        return LoadingRetryDelay;
    case upstreams::UpstreamState::Live:
    case upstreams::UpstreamState::Suspect:
    case upstreams::UpstreamState::Unknown:
        return 2 * upstreams::PollPeriod;
    case upstreams::UpstreamState::Dead:
    case upstreams::UpstreamState::Leaving:
        return LongRetryDelay;
    }
    return LongRetryDelay;
}

base::Error noUpstreamError(const PlacementContext &context)
{
    base::Duration earliest = base::seconds{1};
    for (const std::uint32_t it : context.pool.members) {
        earliest = std::min(earliest, retryAfter(context.view.upstreams[it], context.request.now));
    }
    return base::fail(base::ErrorKind::Unavailable, "no upstream of pool " + context.pool.name.value() + " accepts new requests; retry after the given delay",
                      earliest);
}

base::Result<const upstreams::PoolView *> findPool(const PlacementRequest &request, const upstreams::UpstreamView &view)
{
    if (!view.isUsable(request.now)) {
        return base::fail(base::ErrorKind::Unavailable, "the router's view of upstreams is out of date; retry after the given delay", ViewRetryDelay);
    }
    const auto *pool = view.pool(request.pool);
    if (pool == nullptr) {
        return base::fail(base::ErrorKind::NotFound, "no pool " + request.pool.value() + "; use an existing pool in the route");
    }
    return pool;
}

bool isBetter(const PlacementContext &context, const UpstreamEstimate &left, const UpstreamEstimate &right)
{
    if (left.score != right.score) {
        return left.score < right.score;
    }
    const std::uint64_t key = context.request.chain.empty() ? context.request.spreadKey : context.request.chain.back();
    return base::combineHashes(key, context.view.upstreams[left.index].nodeHash) > base::combineHashes(key, context.view.upstreams[right.index].nodeHash);
}

const UpstreamEstimate &bestEstimate(const PlacementContext &context, const std::vector<UpstreamEstimate> &estimates)
{
    return *std::min_element(estimates.begin(), estimates.end(), [&](const UpstreamEstimate &left, const UpstreamEstimate &right) {
        return isBetter(context, left, right);
    });
}

// Returns a hint to import the blocks that another upstream holds and the chosen one
// lacks: these were used often enough to be exported.
std::optional<ImportHint> importHint(const PlacementContext &context, const UpstreamEstimate &chosen, const std::vector<UpstreamEstimate> &estimates)
{
    if (!context.pool.hasKvStore) {
        return std::nullopt;
    }
    std::uint32_t most = 0;
    for (const auto &it : estimates) {
        most = std::max(most, it.heldBlocks);
    }
    if (most <= chosen.heldBlocks) {
        return std::nullopt;
    }
    const std::uint32_t blocks = most - chosen.heldBlocks;
    const base::Duration saving = prefix::importSaving(blocks, context.request.blockTokens, chosen.queue.tokensPerSecond, {});
    if (saving < MinImportSaving) {
        return std::nullopt;
    }
    return ImportHint{chosen.heldBlocks, blocks, saving};
}

Placement toPlacement(const PlacementContext &context, const UpstreamEstimate &chosen, const std::vector<UpstreamEstimate> &estimates)
{
    const auto &status = context.view.upstreams[chosen.index];
    Placement placement;
    placement.upstream = status.id;
    placement.slot = status.slot;
    placement.incarnation = status.incarnation;
    placement.endpoint = status.endpoint;
    placement.weightsVersion = context.pool.servingVersion;
    placement.predictedBlocks = chosen.heldBlocks;
    placement.missingTokens = chosen.missingTokens;
    placement.expectedWait = chosen.queue.wait;
    placement.expectedFirstToken = chosen.queue.wait + chosen.prefill;
    placement.importHint = importHint(context, chosen, estimates);
    return placement;
}

} // namespace

std::string_view verdictName(Candidate::Verdict verdict)
{
    switch (verdict) {
    case Candidate::Verdict::Chosen:
        return "chosen";
    case Candidate::Verdict::Possible:
        return "possible";
    case Candidate::Verdict::Excluded:
        return "excluded";
    case Candidate::Verdict::NotEligible:
        return "not_eligible";
    case Candidate::Verdict::NotConsidered:
        return "not_considered";
    }
    return "unknown";
}

ScoringStrategy::ScoringStrategy(const SharedRoutingState &sharedState, std::uint64_t seed)
    : m_sharedState(sharedState)
    , m_seed(seed)
{
}

base::Result<Placement> ScoringStrategy::place(const PlacementRequest &request, const upstreams::UpstreamView &view) const
{
    BOOST_OUTCOME_TRY(pool, findPool(request, view));
    const PlacementContext context = makeContext(request, view, *pool);
    std::vector<UpstreamEstimate> all = estimates(context);
    if (all.empty()) {
        return noUpstreamError(context);
    }
    score(context, all);
    return toPlacement(context, bestEstimate(context, all), all);
}

base::Result<Explanation> ScoringStrategy::explain(const PlacementRequest &request, const upstreams::UpstreamView &view) const
{
    BOOST_OUTCOME_TRY(pool, findPool(request, view));
    const PlacementContext context = makeContext(request, view, *pool);
    std::vector<UpstreamEstimate> all = estimates(context);
    score(context, all);
    const std::uint32_t chosen = all.empty() ? upstreams::UpstreamView::NoUpstream : bestEstimate(context, all).index;
    Explanation explanation = describe(context);
    for (const std::uint32_t index : pool->members) {
        const auto &status = view.upstreams[index];
        UpstreamEstimate estimate = makeEstimate(context, index);
        Candidate candidate;
        const auto it = std::find_if(all.begin(), all.end(), [index](const UpstreamEstimate &other) {
            return other.index == index;
        });
        if (it != all.end()) {
            estimate = *it;
            candidate.verdict = index == chosen ? Candidate::Verdict::Chosen : Candidate::Verdict::Possible;
        } else if (isExcluded(request, status.id)) {
            candidate.verdict = Candidate::Verdict::Excluded;
        } else {
            const bool isEligible = std::find(pool->eligible.begin(), pool->eligible.end(), index) != pool->eligible.end();
            candidate.verdict = isEligible ? Candidate::Verdict::NotConsidered : Candidate::Verdict::NotEligible;
        }
        candidate.upstream = status.id;
        candidate.state = status.state;
        candidate.heldBlocks = estimate.heldBlocks;
        candidate.missingTokens = estimate.missingTokens;
        candidate.expectedWait = estimate.queue.wait;
        candidate.prefill = estimate.prefill;
        candidate.penalty = estimate.penalty;
        candidate.score = estimate.score;
        explanation.candidates.push_back(std::move(candidate));
    }
    std::sort(explanation.candidates.begin(), explanation.candidates.end(), [](const Candidate &left, const Candidate &right) {
        return left.upstream < right.upstream;
    });
    return explanation;
}

PlacementContext ScoringStrategy::makeContext(const PlacementRequest &request, const upstreams::UpstreamView &view, const upstreams::PoolView &pool) const
{
    PlacementContext context{request, view, pool, {}, {}};
    m_sharedState.caches->findHolders(request.chain, request.now, context.holders);
    context.homes = homes(context);
    return context;
}

std::vector<std::uint32_t> ScoringStrategy::homes(const PlacementContext &) const
{
    return {};
}

std::vector<UpstreamEstimate> ScoringStrategy::estimates(const PlacementContext &context) const
{
    std::vector<std::uint32_t> indexes = prefilter(context);
    std::sort(indexes.begin(), indexes.end());
    indexes.erase(std::unique(indexes.begin(), indexes.end()), indexes.end());
    const auto notAllowed = [&context](std::uint32_t index) {
        return !isAllowed(context, index);
    };
    std::erase_if(indexes, notAllowed);
    if (indexes.empty()) {
        indexes = context.pool.eligible;
        std::erase_if(indexes, notAllowed);
    }
    std::vector<UpstreamEstimate> result;
    result.reserve(indexes.size());
    for (const std::uint32_t it : indexes) {
        result.push_back(makeEstimate(context, it));
    }
    addHeldBlocks(context, result);
    return result;
}

UpstreamEstimate ScoringStrategy::makeEstimate(const PlacementContext &context, std::uint32_t index) const
{
    const auto &status = context.view.upstreams[index];
    const base::TimePoint now = context.request.now;
    UpstreamEstimate estimate;
    estimate.index = index;
    estimate.queue = estimateQueue(status, m_sharedState.inflight->counts(status.slot, status.loadAt, now),
                                   {context.request.trafficClass, assumedRouters(), prefillCorrection(status.slot), now});
    estimate.missingTokens = context.request.promptTokens;
    estimate.prefill = prefillTime(estimate.missingTokens, estimate.queue);
    return estimate;
}

void ScoringStrategy::addHeldBlocks(const PlacementContext &context, std::vector<UpstreamEstimate> &estimates)
{
    const auto &holders = context.holders;
    for (auto &estimate : estimates) {
        const upstreams::Slot slot = context.view.upstreams[estimate.index].slot;
        const auto it = std::lower_bound(holders.begin(), holders.end(), slot, [](const prefix::Holder &holder, upstreams::Slot wanted) {
            return holder.slot < wanted;
        });
        if (it != holders.end() && it->slot == slot) {
            estimate.heldBlocks = it->blocks;
            const std::uint64_t held = std::uint64_t{it->blocks} * context.request.blockTokens;
            estimate.missingTokens -= static_cast<std::uint32_t>(std::min<std::uint64_t>(held, estimate.missingTokens));
            estimate.prefill = prefillTime(estimate.missingTokens, estimate.queue);
        }
    }
}

double ScoringStrategy::prefillCorrection(upstreams::Slot) const
{
    return 1;
}

std::uint32_t ScoringStrategy::assumedRouters() const
{
    return 1;
}

Explanation ScoringStrategy::describe(const PlacementContext &) const
{
    return {};
}

const SharedRoutingState &ScoringStrategy::sharedState() const
{
    return m_sharedState;
}

std::uint64_t ScoringStrategy::nextRandom() const
{
    return base::combineHashes(m_seed, m_randomCount.fetch_add(1, std::memory_order_relaxed));
}

std::vector<std::uint32_t> ScoringStrategy::sample(const PlacementContext &context, std::size_t n) const
{
    const auto &eligible = context.pool.eligible;
    if (eligible.size() <= n) {
        return eligible;
    }
    std::vector<std::uint32_t> sampled;
    for (std::size_t i = 0; i < n; ++i) {
        sampled.push_back(eligible[nextRandom() % eligible.size()]);
    }
    return sampled;
}

void ScoringStrategy::addHolders(const PlacementContext &context, std::vector<std::uint32_t> &indexes)
{
    for (const auto &it : context.holders) {
        const auto *status = context.view.find(it.slot);
        if (status != nullptr) {
            const auto index = static_cast<std::uint32_t>(status - context.view.upstreams.data());
            if (context.pool.isEligible[index]) {
                indexes.push_back(index);
            }
        }
    }
}

std::uint64_t ScoringStrategy::spreadKey(const PlacementContext &context)
{
    return context.request.chain.empty() ? context.request.spreadKey : context.request.chain.front();
}

} // namespace carawaylatch::routing
