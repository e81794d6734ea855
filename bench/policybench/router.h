// One router of the bench: the real registry, cache index, heat table, in-flight
// counters and strategy, driven in virtual time. What the daemon's drivers do
// (polls, attempts, retries) is done here in the plainest way.
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

// What happened to one request.
struct Outcome
{
    const Request *request = nullptr;
    bool isRefused = false;
    bool hasFirstToken = false;
    base::Duration firstToken{};
    std::uint32_t cachedBlocks = 0;
    std::uint32_t bestCachedBlocks = 0; // most blocks that a live engine in reach held when it was placed
};

// What routers share in the bench: the engines and the state of the network.
struct Fleet
{
    EventQueue &queue;
    std::vector<std::unique_ptr<Engine>> &engines;
    const Scenario &scenario;
    base::Random &random;
    const bool &isPartitioned; // the last domain is cut off
    std::uint32_t domains;
};

class Router
{
public:
    Router(const Fleet &fleet, std::uint32_t number, std::string_view strategy, std::uint64_t seed);

    // Places and runs a request; `done` is called once, with the first token or without.
    void handle(const Request &request, const std::function<void(const Outcome &)> &done);
    // Loses all state, as a restarted process does, and takes a peer's hot state.
    void restart(const Router &peer);
    [[nodiscard]] bool isReachable(std::uint32_t domain) const;

private:
    // What dies with the process.
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
    std::shared_ptr<State> m_state; // attempts keep the state that they began with
};

} // namespace carawaylatch::bench
