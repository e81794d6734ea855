// The frame of a decision.
//
// Cost: the prefilter keeps the number of options small whatever the pool's size,
// so that a decision stays within microseconds at 10,000 upstreams; only if none
// of them may be chosen is the whole pool looked at.
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

constexpr base::Duration ViewRetry = base::milliseconds{100};
constexpr base::Duration MinImportSaving = base::milliseconds{20};

bool isExcluded(const PlacementRequest &request, const base::UpstreamId &id)
{
    return std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end();
}

bool isAllowed(const Decision &decision, std::uint32_t index)
{
    const auto &status = decision.view.upstreams[index];
    return status.acceptsRequests(decision.request.now) && !isExcluded(decision.request, status.id);
}

// The earliest time from now at which the upstream may take work again.
base::Duration retryAfter(const upstreams::UpstreamStatus &status, base::TimePoint now)
{
    constexpr base::Duration LoadingRetry = base::milliseconds{600};
    constexpr base::Duration LongRetry = base::seconds{1};
    switch (status.state) {
    case upstreams::UpstreamState::Ejected:
        return std::max<base::Duration>(status.ejectedUntil - now, base::milliseconds{1});
    case upstreams::UpstreamState::Loading:
        return LoadingRetry;
    case upstreams::UpstreamState::Live:
    case upstreams::UpstreamState::Suspect:
    case upstreams::UpstreamState::Unknown:
        return 2 * upstreams::PollPeriod;
    case upstreams::UpstreamState::Dead:
    case upstreams::UpstreamState::Leaving:
        return LongRetry;
    }
    return LongRetry;
}

base::Error noUpstream(const Decision &decision)
{
    base::Duration earliest = base::seconds{1};
    for (const std::uint32_t it : decision.pool.members) {
        earliest = std::min(earliest, retryAfter(decision.view.upstreams[it], decision.request.now));
    }
    return base::fail(base::ErrorKind::Unavailable, "no upstream of pool " + decision.pool.name.value() + " takes new work; retry after the time given",
                      earliest);
}

base::Result<const upstreams::PoolView *> findPool(const PlacementRequest &request, const upstreams::UpstreamView &view)
{
    if (!view.isUsable(request.now)) {
        return base::fail(base::ErrorKind::Unavailable, "the router's view of upstreams is out of date; retry after the time given", ViewRetry);
    }
    const auto *pool = view.pool(request.pool);
    if (pool == nullptr) {
        return base::fail(base::ErrorKind::NotFound, "no pool " + request.pool.value() + "; name an existing pool in the route");
    }
    return pool;
}

bool isBetter(const Decision &decision, const Option &left, const Option &right)
{
    if (left.score != right.score) {
        return left.score < right.score;
    }
    const std::uint64_t key = decision.request.chain.empty() ? decision.request.spreadKey : decision.request.chain.back();
    return base::combineHashes(key, decision.view.upstreams[left.index].nodeHash) > base::combineHashes(key, decision.view.upstreams[right.index].nodeHash);
}

const Option &best(const Decision &decision, const std::vector<Option> &options)
{
    return *std::min_element(options.begin(), options.end(), [&](const Option &left, const Option &right) {
        return isBetter(decision, left, right);
    });
}

// Blocks that another upstream holds and the chosen one lacks were hot enough to be exported.
std::optional<ImportHint> importHint(const Decision &decision, const Option &chosen, const std::vector<Option> &options)
{
    if (!decision.pool.hasKvStore) {
        return std::nullopt;
    }
    std::uint32_t most = 0;
    for (const auto &it : options) {
        most = std::max(most, it.heldBlocks);
    }
    if (most <= chosen.heldBlocks) {
        return std::nullopt;
    }
    const std::uint32_t blocks = most - chosen.heldBlocks;
    const base::Duration saving = prefix::importSaving(blocks, decision.request.blockTokens, chosen.queue.tokensPerSecond, {});
    if (saving < MinImportSaving) {
        return std::nullopt;
    }
    return ImportHint{chosen.heldBlocks, blocks, saving};
}

Placement toPlacement(const Decision &decision, const Option &chosen, const std::vector<Option> &options)
{
    const auto &status = decision.view.upstreams[chosen.index];
    Placement placement;
    placement.upstream = status.id;
    placement.slot = status.slot;
    placement.incarnation = status.incarnation;
    placement.endpoint = status.endpoint;
    placement.weightsVersion = decision.pool.servingVersion;
    placement.predictedBlocks = chosen.heldBlocks;
    placement.missingTokens = chosen.missingTokens;
    placement.expectedWait = chosen.queue.wait;
    placement.expectedFirstToken = chosen.queue.wait + chosen.prefill;
    placement.importHint = importHint(decision, chosen, options);
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

ScoringStrategy::ScoringStrategy(const RoutingKnowledge &knowledge, std::uint64_t seed)
    : m_knowledge(knowledge)
    , m_seed(seed)
{
}

base::Result<Placement> ScoringStrategy::place(const PlacementRequest &request, const upstreams::UpstreamView &view) const
{
    BOOST_OUTCOME_TRY(pool, findPool(request, view));
    const Decision decision = decide(request, view, *pool);
    std::vector<Option> all = options(decision);
    if (all.empty()) {
        return noUpstream(decision);
    }
    score(decision, all);
    return toPlacement(decision, best(decision, all), all);
}

base::Result<Explanation> ScoringStrategy::explain(const PlacementRequest &request, const upstreams::UpstreamView &view) const
{
    BOOST_OUTCOME_TRY(pool, findPool(request, view));
    const Decision decision = decide(request, view, *pool);
    std::vector<Option> all = options(decision);
    score(decision, all);
    const std::uint32_t chosen = all.empty() ? upstreams::UpstreamView::NoUpstream : best(decision, all).index;
    Explanation explanation = describe(decision);
    for (const std::uint32_t index : pool->members) {
        const auto &status = view.upstreams[index];
        Option option = makeOption(decision, index);
        Candidate candidate;
        const auto it = std::find_if(all.begin(), all.end(), [index](const Option &other) {
            return other.index == index;
        });
        if (it != all.end()) {
            option = *it;
            candidate.verdict = index == chosen ? Candidate::Verdict::Chosen : Candidate::Verdict::Possible;
        } else if (isExcluded(request, status.id)) {
            candidate.verdict = Candidate::Verdict::Excluded;
        } else {
            const bool isEligible = std::find(pool->eligible.begin(), pool->eligible.end(), index) != pool->eligible.end();
            candidate.verdict = isEligible ? Candidate::Verdict::NotConsidered : Candidate::Verdict::NotEligible;
        }
        candidate.upstream = status.id;
        candidate.state = status.state;
        candidate.heldBlocks = option.heldBlocks;
        candidate.missingTokens = option.missingTokens;
        candidate.expectedWait = option.queue.wait;
        candidate.prefill = option.prefill;
        candidate.penalty = option.penalty;
        candidate.score = option.score;
        explanation.candidates.push_back(std::move(candidate));
    }
    std::sort(explanation.candidates.begin(), explanation.candidates.end(), [](const Candidate &left, const Candidate &right) {
        return left.upstream < right.upstream;
    });
    return explanation;
}

Decision ScoringStrategy::decide(const PlacementRequest &request, const upstreams::UpstreamView &view, const upstreams::PoolView &pool) const
{
    Decision decision{request, view, pool, {}, {}};
    m_knowledge.caches->findHolders(request.chain, request.now, decision.holders);
    decision.homes = homes(decision);
    return decision;
}

std::vector<std::uint32_t> ScoringStrategy::homes(const Decision &) const
{
    return {};
}

std::vector<Option> ScoringStrategy::options(const Decision &decision) const
{
    std::vector<std::uint32_t> indexes = prefilter(decision);
    std::sort(indexes.begin(), indexes.end());
    indexes.erase(std::unique(indexes.begin(), indexes.end()), indexes.end());
    const auto notAllowed = [&decision](std::uint32_t index) {
        return !isAllowed(decision, index);
    };
    std::erase_if(indexes, notAllowed);
    if (indexes.empty()) {
        indexes = decision.pool.eligible;
        std::erase_if(indexes, notAllowed);
    }
    std::vector<Option> result;
    result.reserve(indexes.size());
    for (const std::uint32_t it : indexes) {
        result.push_back(makeOption(decision, it));
    }
    addHeldBlocks(decision, result);
    return result;
}

Option ScoringStrategy::makeOption(const Decision &decision, std::uint32_t index) const
{
    const auto &status = decision.view.upstreams[index];
    const base::TimePoint now = decision.request.now;
    Option option;
    option.index = index;
    option.queue = estimateQueue(status, m_knowledge.inflight->counts(status.slot, status.loadAt, now),
                                 {decision.request.trafficClass, assumedRouters(), workRatio(status.slot), now});
    option.missingTokens = decision.request.promptTokens;
    option.prefill = prefillTime(option.missingTokens, option.queue);
    return option;
}

void ScoringStrategy::addHeldBlocks(const Decision &decision, std::vector<Option> &options)
{
    const auto &holders = decision.holders;
    for (auto &option : options) {
        const upstreams::Slot slot = decision.view.upstreams[option.index].slot;
        const auto it = std::lower_bound(holders.begin(), holders.end(), slot, [](const prefix::Holder &holder, upstreams::Slot wanted) {
            return holder.slot < wanted;
        });
        if (it != holders.end() && it->slot == slot) {
            option.heldBlocks = it->blocks;
            const std::uint64_t held = std::uint64_t{it->blocks} * decision.request.blockTokens;
            option.missingTokens -= static_cast<std::uint32_t>(std::min<std::uint64_t>(held, option.missingTokens));
            option.prefill = prefillTime(option.missingTokens, option.queue);
        }
    }
}

double ScoringStrategy::workRatio(upstreams::Slot) const
{
    return 1;
}

std::uint32_t ScoringStrategy::assumedRouters() const
{
    return 1;
}

Explanation ScoringStrategy::describe(const Decision &) const
{
    return {};
}

const RoutingKnowledge &ScoringStrategy::knowledge() const
{
    return m_knowledge;
}

std::uint64_t ScoringStrategy::draw() const
{
    return base::combineHashes(m_seed, m_draws.fetch_add(1, std::memory_order_relaxed));
}

std::vector<std::uint32_t> ScoringStrategy::sample(const Decision &decision, std::size_t n) const
{
    const auto &eligible = decision.pool.eligible;
    if (eligible.size() <= n) {
        return eligible;
    }
    std::vector<std::uint32_t> drawn;
    for (std::size_t i = 0; i < n; ++i) {
        drawn.push_back(eligible[draw() % eligible.size()]);
    }
    return drawn;
}

void ScoringStrategy::addHolders(const Decision &decision, std::vector<std::uint32_t> &indexes)
{
    for (const auto &it : decision.holders) {
        const auto *status = decision.view.find(it.slot);
        if (status != nullptr) {
            const auto index = static_cast<std::uint32_t>(status - decision.view.upstreams.data());
            if (decision.pool.isEligible[index]) {
                indexes.push_back(index);
            }
        }
    }
}

std::uint64_t ScoringStrategy::spreadKey(const Decision &decision)
{
    return decision.request.chain.empty() ? decision.request.spreadKey : decision.request.chain.front();
}

} // namespace carawaylatch::routing
