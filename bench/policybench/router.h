// A simulated router: the real registry, cache index, heat table, in-flight counters and
// strategy, driven in virtual time. The polls, attempts and retries of the daemon's
// drivers are implemented here in a simplified form.
#pragma once

#include <atomic>
#include <memory>
#include <string_view>
#include <vector>

#include "bench/policybench/engine.h"
#include "bench/policybench/scenario.h"
#include "carawaylatch/prefix/cacheindex.h"
#include "carawaylatch/prefix/heat.h"
#include "carawaylatch/routing/strategy.h"
#include "carawaylatch/upstreams/inflight.h"
#include "carawaylatch/upstreams/registry.h"

namespace carawaylatch::bench
{

// The result of one request.
struct Outcome
{
    const Request *request = nullptr;
    bool isRefused = false;
    bool hasFirstToken = false;
    base::Duration firstToken{};
    std::uint32_t cachedBlocks = 0;
    std::uint32_t bestCachedBlocks = 0; // most blocks that any reachable live engine had cached at placement
};

// State that all routers of a simulation share: the engines and the network.
struct Fleet
{
    EventQueue &queue;
    std::vector<std::unique_ptr<Engine>> &engines;
    const Scenario &scenario;
    base::Random &random;
    const bool &isPartitioned; // the last domain is partitioned from the others
    std::uint32_t domains;
};

class Router
{
public:
    Router(const Fleet &fleet, std::uint32_t number, std::string_view strategy, std::uint64_t seed);

    // Places and runs a request. Calls `done` once, at the first token or at the refusal.
    void handle(const Request &request, const std::function<void(const Outcome &)> &done);
    // Discards all state, as a process restart does, and imports the hot entries of a peer.
    void restart(const Router &peer);
    [[nodiscard]] bool isReachable(std::uint32_t domain) const;

private:
    // State that a restart discards.
    struct State
    {
        explicit State(std::size_t engines);
        upstreams::Registry registry;
        prefix::CacheIndex caches;
        prefix::HeatTable heat;
        upstreams::InflightTable inflight;
        std::unique_ptr<routing::RoutingStrategy> strategy;
    };
    struct Attempt;

    void resetState();
    void pollLoad(std::size_t engine);
    void pollEvents(std::size_t engine);
    void tick();
    void applyActions();
    void place(const std::shared_ptr<Attempt> &attempt);
    void send(const std::shared_ptr<Attempt> &attempt);
    void onFirstToken(const std::shared_ptr<Attempt> &attempt, std::uint32_t cachedBlocks);
    void onDone(const std::shared_ptr<Attempt> &attempt);
    void onFailed(const std::shared_ptr<Attempt> &attempt, JobFailure failure);
    [[nodiscard]] std::uint32_t bestCachedBlocks(const Request &request) const;
    [[nodiscard]] base::Duration latency(std::size_t engine) const;

    Fleet m_fleet;
    std::uint32_t m_number;
    std::uint32_t m_domain;
    std::string_view m_strategyName;
    std::uint64_t m_seed;
    std::atomic<std::uint32_t> m_routers;
    std::shared_ptr<State> m_state; // attempts keep the state that they started with
};

} // namespace carawaylatch::bench
