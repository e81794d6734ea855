// A simulated model engine in virtual time.
//
// Prompts are prefilled one at a time at a fixed rate, interactive ones first; responses
// are decoded concurrently, up to a number of slots. Prefilled blocks are cached with
// least-recently-used eviction, the end of a chain before its start. The engine keeps the
// journal of cache events that routers poll.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "bench/policybench/blockcache.h"
#include "bench/policybench/eventqueue.h"
#include "bench/policybench/workload.h"
#include "carawaylatch/prefix/cacheindex.h"
#include "carawaylatch/upstreams/loadreport.h"

namespace carawaylatch::bench
{

enum class JobFailure {
    NotSent,
    Lost,
};

// One request at an engine, with its callbacks.
struct Job
{
    const Request *request = nullptr; // must outlive the job
    std::function<void(std::uint32_t cachedBlocks)> onFirstToken;
    std::function<void()> onDone;
    std::function<void(JobFailure)> onFailed;
};

class Engine
{
public:
    static constexpr double PrefillTokensPerSecond = 20'000;
    static constexpr std::size_t CapacityBlocks = 250;
    static constexpr std::uint32_t Slots = 64; // responses decoded concurrently
    static constexpr double DecodeMsPerToken = 20;
    static constexpr base::Duration PrefillOverhead = base::milliseconds{8};

    Engine(EventQueue &queue, std::uint32_t number, std::uint32_t domain);

    [[nodiscard]] base::UpstreamId id() const;
    [[nodiscard]] std::uint32_t domain() const;
    [[nodiscard]] bool isAlive() const;
    // Stops the engine. Jobs in flight fail; the cache is lost.
    void crash();
    // Starts a new incarnation with an empty cache.
    void start();

    void submit(Job job);
    [[nodiscard]] upstreams::LoadReport report() const;
    // Returns the events of this incarnation from sequence number `since` on that are at
    // least `lag` old.
    [[nodiscard]] prefix::CacheEvents events(std::uint64_t since, base::Duration lag) const;
    // Returns the number of leading blocks of the chain that are cached.
    [[nodiscard]] std::uint32_t cachedPrefixBlocks(const std::vector<std::uint64_t> &chain) const;
    // Returns the prompt tokens to prefill before a request that is submitted now.
    [[nodiscard]] double queuedTokens(base::TrafficClass trafficClass) const;

private:
    struct QueuedJob
    {
        Job job;
        std::uint32_t missingTokens = 0; // uncached prompt tokens at submission
    };
    struct Event
    {
        base::TimePoint at;
        prefix::CacheEvent event;
    };

    void startNextPrefill();
    void onPrefilled(const std::shared_ptr<Job> &job, std::uint32_t cachedBlocks);
    void onGenerated(const std::shared_ptr<Job> &job);
    void recordEvent(prefix::CacheOperation operation, std::uint64_t block);

    EventQueue &m_queue;
    std::uint32_t m_number;
    std::uint32_t m_domain;
    std::uint64_t m_incarnation = 0;
    bool m_isAlive = false;
    std::deque<QueuedJob> m_interactive;
    std::deque<QueuedJob> m_batch;
    BlockCache m_cache;
    std::vector<std::shared_ptr<Job>> m_running; // in prefill or decode
    bool m_isPrefilling = false;
    base::TimePoint m_prefillEnd;
    std::deque<Event> m_journal;
    std::uint64_t m_nextEvent = 1;
};

} // namespace carawaylatch::bench
