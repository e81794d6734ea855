// Embeds the placement strategy alone: three engines, two customers, no network.
//
// A program that already talks to engines passes their load reports to the registry and
// asks the strategy where to send a prompt. A request is placed on the engine that has
// its prefix cached. Cache keys are separate for each customer, so another customer's
// request for the same text finds no cached prefix.
#include <atomic>
#include <iostream>
#include <string>

#include <carawaylatch/prefix/cacheindex.h>
#include <carawaylatch/prefix/chain.h>
#include <carawaylatch/prefix/heat.h>
#include <carawaylatch/prefix/namespace.h>
#include <carawaylatch/routing/strategy.h>
#include <carawaylatch/upstreams/inflight.h>
#include <carawaylatch/upstreams/registry.h>

namespace base = carawaylatch::base;
namespace config = carawaylatch::config;
namespace prefix = carawaylatch::prefix;
namespace routing = carawaylatch::routing;
namespace upstreams = carawaylatch::upstreams;

namespace
{

constexpr std::uint32_t BlockBytes = 4000;

config::Tables makeTables()
{
    config::Pool pool;
    pool.name = base::PoolName("readers");
    pool.model = base::ModelId("clause-1");
    pool.weightsVersion = {1};
    pool.blockBytes = BlockBytes;
    for (const auto *it : {"engine-1", "engine-2", "engine-3"}) {
        pool.members.push_back({base::UpstreamId(it), {"10.0.0.1", 8000}, base::FailureDomain("dakar-a")});
    }
    config::Tables tables;
    tables.pools.push_back(pool);
    return tables;
}

// A strategy with the routing state that it reads.
class Placer
{
public:
    Placer()
        : m_strategy(routing::makeStrategy("adaptive", {&m_caches, &m_heat, &m_inflight, &m_routers}, 1).value())
    {
        const auto tables = makeTables();
        m_registry.configure(tables, m_now);
        for (const auto &it : tables.pools.front().members) {
            upstreams::LoadReport report;
            report.incarnation = {7};
            report.model = base::ModelId("clause-1");
            report.weightsVersion = {1};
            report.prefillTokensPerSecond = 10'000;
            report.capacityBlocks = 1000;
            m_registry.onLoadReport(it.id, report, m_now);
        }
        m_now += upstreams::ViewPeriod;
        m_registry.onTick(m_now);
        for (const auto &it : m_registry.takeActions()) {
            if (const auto *adopt = std::get_if<upstreams::AdoptIncarnation>(&it)) {
                m_caches.adopt(adopt->slot, adopt->upstream, adopt->incarnation);
            }
        }
    }

    routing::Placement place(const std::string &customer, const std::string &prompt)
    {
        const auto salt = prefix::cacheSalt(base::CustomerId(customer), base::ModelId("clause-1"), {1}, "");
        const auto chain = prefix::blockHashChain(prompt, salt, BlockBytes);
        routing::PlacementRequest request;
        request.now = m_now;
        request.pool = base::PoolName("readers");
        request.chain = chain;
        request.promptTokens = prefix::promptTokens(prompt);
        auto placement = m_strategy->place(request, *m_registry.view()).value();
        m_caches.recordPlacement(placement.slot, placement.incarnation, chain, m_now);
        return placement;
    }

private:
    base::TimePoint m_now{base::hours{1}}; // a real program reads base::SteadyClock
    upstreams::Registry m_registry;
    prefix::CacheIndex m_caches;
    prefix::HeatTable m_heat;
    upstreams::InflightTable m_inflight;
    std::atomic<std::uint32_t> m_routers{1};
    std::unique_ptr<routing::RoutingStrategy> m_strategy;
};

} // namespace

int main()
{
    Placer placer;
    const std::string contract(40'000, 'c');
    const auto first = placer.place("acme", contract + "clause 1");
    const auto second = placer.place("acme", contract + "clause 2");
    const auto otherCustomer = placer.place("rival", contract + "clause 1");
    std::cout << "first:  " << first.upstream << ", " << first.missingTokens << " tokens to compute\n"
              << "second: " << second.upstream << ", " << second.missingTokens << " tokens to compute\n"
              << "rival:  " << otherCustomer.upstream << ", " << otherCustomer.missingTokens << " tokens to compute\n";
    const bool isExpected =
        second.upstream == first.upstream && second.missingTokens < first.missingTokens && otherCustomer.missingTokens == first.missingTokens;
    std::cout << (isExpected ? "the prefix was found for its own customer only\n" : "unexpected placement\n");
    return isExpected ? 0 : 1;
}
