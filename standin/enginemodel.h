// A model of an engine with continuous batching, in real time.
//
// A scheduler thread runs one step every decode interval: it admits waiting jobs
// by priority up to the batch size, computes prefills one after another at the
// prefill rate, and adds one token to each decoding job. A job is kept for a
// while after its connection is closed, so that its stream can be resumed. Token
// i of the response to a prompt is " " and eight hex digits of
// hash64(prompt, i), so that a client that has the prompt can verify each token.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "standin/enginecache.h"

namespace carawaylatch::standin
{

enum class FencingCheck {
    Off,
    On,
};

struct EngineOptions
{
    base::Endpoint endpoint{"127.0.0.1", 0};
    base::ModelId model{"clause-1"};
    base::WeightsVersion weights{1};
    FencingCheck fencing = FencingCheck::On;
    std::uint32_t blockBytes = 4000;
    std::size_t capacityBlocks = 4000;
    std::uint32_t maxRunning = 16; // maximum number of jobs in the batch
    double prefillTokensPerSecond = 20'000;
    base::Duration decodeInterval = base::milliseconds{10};
    base::Duration loadTime = base::milliseconds{600}; // duration of loading new weights
    base::Duration reportLag = base::milliseconds{300}; // minimum age of load reports
    base::Duration eventLag = base::milliseconds{500}; // delay of cache events
    double eventLoss = 0.02; // share of events that are never published
};

enum class EngineState {
    Live,
    Leaving,
    Loading,
};

struct JobRequest
{
    base::AttemptId attempt;
    std::string prompt;
    base::CacheSalt salt;
    std::uint32_t maxTokens = 0;
    std::uint32_t priority = 0; // 0 is scheduled before 1
    std::uint64_t firstIndex = 0; // index of the first token; above zero to continue a response
};

struct JobProgress
{
    std::uint64_t firstIndex = 0;
    std::vector<std::string> tokens; // from firstIndex on
    bool isDone = false;
    bool isCancelled = false;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t count = 0; // tokens of the whole response so far
};

struct LoadSnapshot
{
    EngineState state = EngineState::Live;
    base::WeightsVersion weights;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t queuedTokens = 0;
    std::size_t usedBlocks = 0;
    base::TimePoint at; // time of the snapshot
};

struct EngineCounters
{
    std::uint64_t jobs = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t wrongHits = 0; // hits on blocks of another cache salt or weights version
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t staleOrders = 0; // rejected because of an old fencing token
};

// The weights version and the cache salt that a job runs with.
struct JobContext
{
    base::WeightsVersion weights;
    base::CacheSalt salt;
};

// Returns token `index` of the response to a prompt.
[[nodiscard]] std::string tokenText(std::string_view prompt, std::uint64_t index);

class EngineModel
{
public:
    explicit EngineModel(const EngineOptions &options);
    ~EngineModel();

    [[nodiscard]] base::Incarnation incarnation() const;
    [[nodiscard]] const EngineOptions &options() const;

    // Queues a job and returns the weights version that it runs with. Fails with
    // Overloaded while the engine is leaving or loading weights.
    [[nodiscard]] base::Result<base::WeightsVersion> submit(JobRequest request);
    // Waits up to `atMost` for tokens from index `from` on or for the end of the job.
    // Fails with NotFound for an unknown job.
    [[nodiscard]] base::Result<JobProgress> wait(base::AttemptId attempt, std::uint64_t from, base::Duration atMost);
    // Fails with NotFound for an unknown job.
    [[nodiscard]] base::Result<JobContext> jobContext(base::AttemptId attempt) const;
    void cancel(base::AttemptId attempt);

    // Starts to load weights once the queued and running jobs are done. Fails with
    // Conflict for an old fencing token if the check is on.
    [[nodiscard]] base::Result<void> loadWeights(base::FencingToken fence, base::WeightsVersion weights);
    // Stops the admission of jobs for good; accepted jobs continue.
    void leave();
    // Returns the newest snapshot that is at least the report lag old.
    [[nodiscard]] LoadSnapshot loadReport() const;
    // Returns the published cache events after a sequence number. Events appear after
    // the event lag, and a share of them is lost.
    [[nodiscard]] std::vector<CacheEvent> cacheEvents(std::uint64_t sequence);
    [[nodiscard]] EngineCounters counters() const;

private:
    struct Job
    {
        JobRequest request;
        std::vector<std::uint64_t> keys;
        std::uint64_t promptTokens = 0;
        std::uint64_t cachedTokens = 0;
        base::TimePoint prefillDoneAt;
        std::vector<std::string> tokens;
        bool isRunning = false;
        bool isDone = false;
        bool isCancelled = false;
        base::TimePoint lastRead;
        base::WeightsVersion weights;
    };
    using JobPointer = std::shared_ptr<Job>;

    void schedule(const std::stop_token &stop);
    void step(base::TimePoint now);
    void admitWaiting(base::TimePoint now);
    void startPrefill(Job &job, base::TimePoint now);
    void decodeToken(Job &job, base::TimePoint now);
    void advanceWeightLoad(base::TimePoint now);
    void dropUnreadJobs(base::TimePoint now);
    void takeSnapshot(base::TimePoint now);
    [[nodiscard]] std::uint32_t runningCount() const;

    const EngineOptions m_options;
    const base::Incarnation m_incarnation;
    mutable std::mutex m_mutex;
    std::condition_variable m_progress;
    // All members below are guarded by m_mutex.
    EngineCache m_cache;
    std::map<base::AttemptId, JobPointer> m_jobs;
    std::deque<JobPointer> m_waiting; // by priority, then in order of arrival
    base::TimePoint m_prefillFreeAt;
    EngineState m_state = EngineState::Live;
    base::WeightsVersion m_weights;
    base::FencingToken m_fence;
    std::optional<base::WeightsVersion> m_loading;
    std::optional<base::TimePoint> m_loadDoneAt;
    std::deque<LoadSnapshot> m_snapshots;
    struct PublishedSequence
    {
        base::TimePoint at;
        std::uint64_t sequence = 0;
    };
    std::deque<PublishedSequence> m_publishedSequences; // last cache event at the time of each snapshot
    EngineCounters m_counters;
    std::jthread m_scheduler; // last member: is stopped before the members that it uses are destroyed
};

} // namespace carawaylatch::standin
