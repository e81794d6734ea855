// Time and memory of a placement decision and of a cache index update.
//
// The arguments are the number of upstreams and the number of blocks in the index. The
// blocks form chains of 24, each cached by three upstreams. The fixture for a pair of
// arguments is built once and reused by the next benchmarks with the same pair.
//
//   decisionbench --benchmark_format=console
#include <benchmark/benchmark.h>

#include <tbb/concurrent_hash_map.h>

#include <atomic>
#include <memory>
#include <string>
#include <utility>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/prefix/cacheindex.h"
#include "carawaylatch/prefix/chain.h"
#include "carawaylatch/prefix/heat.h"
#include "carawaylatch/routing/strategy.h"
#include "carawaylatch/upstreams/inflight.h"
#include "carawaylatch/upstreams/registry.h"

namespace carawaylatch::bench
{

namespace
{

constexpr std::size_t ChainBlocks = 24;
constexpr std::size_t HoldersPerChain = 3;
constexpr std::size_t TemplateBlocks = 8; // shared by ChainsPerTemplate chains
constexpr std::size_t ChainsPerTemplate = 16;
constexpr std::size_t EntryBytes = 16;

std::vector<std::uint64_t> chainOf(std::uint64_t n)
{
    std::vector<std::uint64_t> chain;
    for (std::size_t i = 0; i < ChainBlocks; ++i) {
        chain.push_back(base::combineHashes(i < TemplateBlocks ? n / ChainsPerTemplate : n + (1ULL << 40U), i + 1));
    }
    return chain;
}

// Routing state of one router with the given numbers of upstreams and cached blocks.
struct RouterFixture
{
    RouterFixture(std::size_t upstreams, std::size_t blocks)
        : chains(std::max<std::size_t>(blocks / ChainBlocks / HoldersPerChain, 1))
        , caches({blocks * EntryBytes * 3 / 2, upstreams, base::seconds{3600}})
        , inflight(upstreams)
    {
        config::Tables tables;
        config::Pool pool;
        pool.name = base::PoolName{"p"};
        pool.model = base::ModelId{"m"};
        pool.weightsVersion = {1};
        for (std::size_t i = 0; i < upstreams; ++i) {
            pool.members.push_back({base::UpstreamId{"e" + std::to_string(i)}, {"127.0.0.1", 1}, base::FailureDomain{"a"}});
        }
        tables.pools.push_back(std::move(pool));
        registry.configure(tables, now);
        base::Random random(1);
        for (std::size_t i = 0; i < upstreams; ++i) {
            upstreams::LoadReport report;
            report.incarnation = {1};
            report.model = base::ModelId{"m"};
            report.weightsVersion = {1};
            report.queuedTokens = random.below(20'000);
            report.usedBlocks = report.capacityBlocks = 1000;
            report.prefillTokensPerSecond = 20'000;
            registry.onLoadReport(base::UpstreamId{"e" + std::to_string(i)}, report, now);
        }
        registry.onTick(now);
        view = registry.view();
        for (const auto &it : view->upstreams) {
            caches.adopt(it.slot, it.id, it.incarnation);
        }
        for (std::size_t n = 0; n < chains; ++n) {
            const auto chain = chainOf(n);
            for (std::size_t holder = 0; holder < HoldersPerChain; ++holder) {
                const upstreams::Slot slot{static_cast<std::uint16_t>(random.below(upstreams))};
                caches.recordPlacement(slot, {1}, chain, now);
            }
            if (n < HeatChains) {
                heat.record(1, chain, ChainBlocks * 1000, static_cast<std::uint32_t>(upstreams), now);
            }
        }
        strategy = std::move(routing::makeStrategy("adaptive", {&caches, &heat, &inflight, &routers}, 1).value());
    }

    static constexpr std::size_t HeatChains = 20'000;
    std::size_t chains;
    base::TimePoint now{base::hours{1}};
    prefix::CacheIndex caches;
    prefix::HeatTable heat;
    upstreams::InflightTable inflight;
    std::atomic<std::uint32_t> routers{4};
    upstreams::Registry registry;
    std::shared_ptr<const upstreams::UpstreamView> view;
    std::unique_ptr<routing::RoutingStrategy> strategy;
};

RouterFixture &fixtureFor(std::int64_t upstreams, std::int64_t blocks)
{
    static std::unique_ptr<RouterFixture> fixture;
    static std::pair<std::int64_t, std::int64_t> arguments;
    if (!fixture || arguments != std::pair{upstreams, blocks}) {
        fixture.reset();
        fixture = std::make_unique<RouterFixture>(upstreams, blocks);
        arguments = {upstreams, blocks};
    }
    return *fixture;
}

void placement(benchmark::State &state)
{
    RouterFixture &fixture = fixtureFor(state.range(0), state.range(1));
    std::uint64_t n = 0;
    for (auto _ : state) {
        const auto chain = chainOf(n = (n + 7919) % fixture.chains);
        routing::PlacementRequest request;
        request.now = fixture.now;
        request.pool = base::PoolName{"p"};
        request.chain = chain;
        request.promptTokens = ChainBlocks * 1000 + 100;
        benchmark::DoNotOptimize(fixture.strategy->place(request, *fixture.view));
    }
}

void indexUpdate(benchmark::State &state)
{
    RouterFixture &fixture = fixtureFor(state.range(0), state.range(1));
    base::Random random(2);
    for (auto _ : state) {
        const auto chain = chainOf(random.below(fixture.chains));
        const upstreams::Slot slot{static_cast<std::uint16_t>(random.below(fixture.view->upstreams.size()))};
        fixture.caches.recordPlacement(slot, {1}, chain, fixture.now);
    }
    // One update records a chain of ChainBlocks entries.
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations() * ChainBlocks));
    state.counters["bytes_per_entry"] = static_cast<double>(fixture.caches.bytes()) / static_cast<double>(fixture.caches.size(fixture.now));
    state.counters["entries"] = static_cast<double>(fixture.caches.size(fixture.now));
}

void heatUpdate(benchmark::State &state)
{
    RouterFixture &fixture = fixtureFor(9, 10'000);
    base::Random random(3);
    for (auto _ : state) {
        fixture.heat.record(1, chainOf(random.below(fixture.chains)), ChainBlocks * 1000, 9, fixture.now);
    }
}

void blockHashChain(benchmark::State &state)
{
    const std::string prompt(ChainBlocks * 4000, 'x');
    for (auto _ : state) {
        benchmark::DoNotOptimize(prefix::blockHashChain(prompt, {7}, 4000));
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * prompt.size()));
}

void viewBuild(benchmark::State &state)
{
    RouterFixture &fixture = fixtureFor(state.range(0), 10'000);
    upstreams::Registry registry = fixture.registry;
    base::TimePoint now = fixture.now;
    for (auto _ : state) {
        now += upstreams::ViewPeriod;
        registry.onTick(now);
    }
}

// Bytes allocated through CountingAllocator.
std::size_t allocatedBytes = 0;

template <typename T>
struct CountingAllocator
{
    using value_type = T;
    CountingAllocator() = default;
    template <typename Other>
    CountingAllocator(const CountingAllocator<Other> &) // NOLINT(google-explicit-constructor): allocators convert
    {
    }
    T *allocate(std::size_t n)
    {
        allocatedBytes += n * sizeof(T);
        return std::allocator<T>{}.allocate(n);
    }
    void deallocate(T *block, std::size_t n)
    {
        std::allocator<T>{}.deallocate(block, n);
    }
    bool operator==(const CountingAllocator &) const
    {
        return true;
    }
};

// Baseline for the index: a node-based concurrent map with the same 8 bytes for each holder.
void nodeBasedMap(benchmark::State &state)
{
    using Map = tbb::concurrent_hash_map<std::uint64_t, std::uint64_t, tbb::tbb_hash_compare<std::uint64_t>,
                                         CountingAllocator<std::pair<const std::uint64_t, std::uint64_t>>>;
    allocatedBytes = 0;
    Map map;
    base::Random random(4);
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        map.emplace(random.next(), 1);
    }
    for (auto _ : state) {
        Map::const_accessor found;
        benchmark::DoNotOptimize(map.find(found, random.next()));
    }
    state.counters["bytes_per_entry"] = static_cast<double>(allocatedBytes) / static_cast<double>(map.size());
}

void sizeArguments(benchmark::internal::Benchmark *bench)
{
    for (const std::int64_t upstreams : {9, 100, 1000, 10'000}) {
        for (const std::int64_t blocks : {10'000, 100'000, 1'000'000, 10'000'000}) {
            bench->Args({upstreams, blocks});
        }
    }
    bench->ArgNames({"upstreams", "blocks"});
}

BENCHMARK(placement)->Apply(sizeArguments);
BENCHMARK(indexUpdate)->Apply(sizeArguments);
BENCHMARK(heatUpdate);
BENCHMARK(blockHashChain);
BENCHMARK(viewBuild)->Arg(9)->Arg(100)->Arg(1000)->Arg(10'000);
BENCHMARK(nodeBasedMap)->Arg(1'000'000);

} // namespace

} // namespace carawaylatch::bench

BENCHMARK_MAIN();
