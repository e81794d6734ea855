// The scheduler of the engine stand-in. It runs at fixed intervals and not on
// events: for some tens of jobs, a step every few milliseconds has a negligible
// cost, and all state changes are in one function.
#include "standin/enginemodel.h"

#include <algorithm>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/incarnation.h"
#include "carawaylatch/http/httpserver.h"
#include "carawaylatch/http/wirejson.h"

namespace carawaylatch::standin
{

namespace
{

constexpr std::size_t BytesPerToken = 4;
constexpr base::Duration UnreadJobTimeout = base::seconds{3}; // a job that no client reads is dropped after this time
constexpr base::Duration SnapshotInterval = base::milliseconds{50};
constexpr base::Duration SnapshotRetention = base::seconds{10};
constexpr std::size_t EventsPerCall = 2000;
constexpr std::size_t TokenDigits = 8;

base::TimePoint now()
{
    return base::SteadyClock().now();
}

// Returns whether an event is lost. The result depends only on the engine and the
// sequence number, so that a repeated call loses the same events.
bool isLost(std::uint64_t sequence, base::Incarnation incarnation, double loss)
{
    return base::Random(base::combineHashes(incarnation.value, sequence)).uniformReal() < loss;
}

} // namespace

std::string tokenText(std::string_view prompt, std::uint64_t index)
{
    return " " + http::toHex(base::hash64(prompt, index)).substr(0, TokenDigits);
}

EngineModel::EngineModel(const EngineOptions &options)
    : m_options(options)
    , m_incarnation(base::newIncarnation())
    , m_cache(options.capacityBlocks)
    , m_weights(options.weights)
    , m_scheduler([this](const std::stop_token &stop) {
        schedule(stop);
    })
{
}

EngineModel::~EngineModel() = default;

base::Incarnation EngineModel::incarnation() const
{
    return m_incarnation;
}

const EngineOptions &EngineModel::options() const
{
    return m_options;
}

base::Result<base::WeightsVersion> EngineModel::submit(JobRequest request)
{
    const std::lock_guard lock(m_mutex);
    if (m_state != EngineState::Live) {
        return base::fail(base::ErrorKind::Overloaded, m_state == EngineState::Leaving ? "leaving" : "loading", m_options.loadTime);
    }
    auto job = std::make_shared<Job>();
    job->keys = blockKeys(request.prompt, request.salt, m_options.blockBytes);
    job->promptTokens = request.prompt.size() / BytesPerToken;
    job->request = std::move(request);
    job->lastRead = now();
    job->weights = m_weights;
    m_jobs[job->request.attempt] = job;
    const auto position = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const JobPointer &it) {
        return it->request.priority > job->request.priority;
    });
    m_waiting.insert(position, job);
    ++m_counters.jobs;
    return m_weights;
}

base::Result<JobProgress> EngineModel::wait(base::AttemptId attempt, std::uint64_t from, base::Duration atMost)
{
    std::unique_lock lock(m_mutex);
    const auto it = m_jobs.find(attempt);
    if (it == m_jobs.end()) {
        return base::fail(base::ErrorKind::NotFound, "no such stream; start the request again");
    }
    const JobPointer job = it->second;
    const std::uint64_t firstIndex = job->request.firstIndex;
    const std::size_t skip = from > firstIndex ? from - firstIndex : 0;
    m_progress.wait_for(lock, atMost, [&] {
        return job->tokens.size() > skip || job->isDone || job->isCancelled;
    });
    job->lastRead = now();
    JobProgress progress;
    progress.firstIndex = firstIndex + skip;
    progress.tokens.assign(job->tokens.begin() + static_cast<std::ptrdiff_t>(std::min(skip, job->tokens.size())), job->tokens.end());
    progress.isDone = job->isDone;
    progress.isCancelled = job->isCancelled;
    progress.promptTokens = job->promptTokens;
    progress.cachedTokens = job->cachedTokens;
    progress.count = firstIndex + job->tokens.size();
    return progress;
}

base::Result<JobContext> EngineModel::jobContext(base::AttemptId attempt) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_jobs.find(attempt);
    if (it == m_jobs.end()) {
        return base::fail(base::ErrorKind::NotFound, "no such stream; start the request again");
    }
    return JobContext{it->second->weights, it->second->request.salt};
}

void EngineModel::cancel(base::AttemptId attempt)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_jobs.find(attempt);
    if (it == m_jobs.end() || it->second->isDone || it->second->isCancelled) {
        return;
    }
    it->second->isCancelled = true;
    std::erase(m_waiting, it->second);
    ++m_counters.cancelled;
    m_progress.notify_all();
}

base::Result<void> EngineModel::loadWeights(base::FencingToken fence, base::WeightsVersion weights)
{
    const std::lock_guard lock(m_mutex);
    if (m_options.fencing == FencingCheck::On && fence < m_fence) {
        ++m_counters.staleOrders;
        return base::fail(base::ErrorKind::Conflict, "fencing number " + std::to_string(fence.value) + " is older than " + std::to_string(m_fence.value));
    }
    m_fence = std::max(m_fence, fence);
    if (weights == m_weights && !m_loading) {
        return base::ok();
    }
    m_loading = weights;
    m_loadDoneAt.reset();
    m_state = m_state == EngineState::Leaving ? m_state : EngineState::Loading;
    return base::ok();
}

void EngineModel::leave()
{
    const std::lock_guard lock(m_mutex);
    m_state = EngineState::Leaving;
}

LoadSnapshot EngineModel::loadReport() const
{
    const std::lock_guard lock(m_mutex);
    const base::TimePoint newest = now() - m_options.reportLag;
    LoadSnapshot snapshot;
    snapshot.weights = m_options.weights;
    snapshot.at = newest;
    for (const auto &it : m_snapshots) {
        if (it.at <= newest) {
            snapshot = it;
        }
    }
    return snapshot;
}

std::vector<CacheEvent> EngineModel::cacheEvents(std::uint64_t sequence)
{
    const std::lock_guard lock(m_mutex);
    const base::TimePoint newest = now() - m_options.eventLag;
    std::uint64_t published = 0;
    for (const auto &it : m_publishedSequences) {
        if (it.at <= newest) {
            published = it.sequence;
        }
    }
    auto events = m_cache.eventsAfter(sequence, EventsPerCall);
    std::erase_if(events, [&](const CacheEvent &it) {
        return it.sequence > published || isLost(it.sequence, m_incarnation, m_options.eventLoss);
    });
    return events;
}

EngineCounters EngineModel::counters() const
{
    const std::lock_guard lock(m_mutex);
    EngineCounters counters = m_counters;
    counters.wrongHits = m_cache.wrongHits();
    return counters;
}

void EngineModel::schedule(const std::stop_token &stop)
{
    auto next = std::chrono::steady_clock::now();
    while (!stop.stop_requested()) {
        next = std::max(next + m_options.decodeInterval, std::chrono::steady_clock::now());
        std::this_thread::sleep_until(next);
        const std::lock_guard lock(m_mutex);
        step(now());
        m_progress.notify_all();
    }
}

void EngineModel::step(base::TimePoint now)
{
    advanceWeightLoad(now);
    admitWaiting(now);
    for (auto &[attempt, job] : m_jobs) {
        if (job->isRunning && !job->isDone && !job->isCancelled) {
            decodeToken(*job, now);
        }
    }
    dropUnreadJobs(now);
    takeSnapshot(now);
}

void EngineModel::admitWaiting(base::TimePoint now)
{
    while (!m_waiting.empty() && runningCount() < m_options.maxRunning) {
        const JobPointer job = m_waiting.front();
        m_waiting.pop_front();
        startPrefill(*job, now);
    }
}

void EngineModel::startPrefill(Job &job, base::TimePoint now)
{
    const std::size_t cachedBlocks = m_cache.match(job.keys, job.request.salt, job.weights);
    job.cachedTokens = std::min<std::uint64_t>(job.promptTokens, cachedBlocks * m_options.blockBytes / BytesPerToken);
    const double missing = static_cast<double>(job.promptTokens - job.cachedTokens);
    m_prefillFreeAt = std::max(m_prefillFreeAt, now) + base::fromSeconds(missing / m_options.prefillTokensPerSecond);
    job.prefillDoneAt = m_prefillFreeAt;
    job.isRunning = true;
    m_counters.promptTokens += job.promptTokens;
    m_counters.cachedTokens += job.cachedTokens;
}

void EngineModel::decodeToken(Job &job, base::TimePoint now)
{
    if (now < job.prefillDoneAt) {
        return;
    }
    if (job.tokens.empty()) {
        m_cache.store(job.keys, job.request.salt, job.weights);
    }
    const std::uint64_t index = job.request.firstIndex + job.tokens.size();
    if (index < job.request.maxTokens) {
        job.tokens.push_back(tokenText(job.request.prompt, index));
    }
    job.isDone = index + 1 >= job.request.maxTokens;
}

// Loads new weights once the waiting and running jobs are done, and clears the
// cache of the old ones.
void EngineModel::advanceWeightLoad(base::TimePoint now)
{
    if (!m_loading || runningCount() > 0 || !m_waiting.empty()) {
        return;
    }
    if (!m_loadDoneAt) {
        m_loadDoneAt = now + m_options.loadTime;
    }
    if (now < *m_loadDoneAt) {
        return;
    }
    m_weights = *m_loading;
    m_loading.reset();
    m_loadDoneAt.reset();
    m_cache.clear();
    m_state = m_state == EngineState::Loading ? EngineState::Live : m_state;
}

void EngineModel::dropUnreadJobs(base::TimePoint now)
{
    std::erase_if(m_jobs, [&](const auto &item) {
        const Job &job = *item.second;
        const bool isUnread = now - job.lastRead > UnreadJobTimeout;
        if (isUnread && !job.isDone && !job.isCancelled) {
            item.second->isCancelled = true;
            std::erase(m_waiting, item.second);
            ++m_counters.cancelled;
        }
        return isUnread;
    });
}

void EngineModel::takeSnapshot(base::TimePoint now)
{
    if (!m_snapshots.empty() && now - m_snapshots.back().at < SnapshotInterval) {
        return;
    }
    LoadSnapshot snapshot;
    snapshot.state = m_state;
    snapshot.weights = m_weights;
    snapshot.running = runningCount();
    snapshot.waiting = static_cast<std::uint32_t>(m_waiting.size());
    for (const auto &it : m_waiting) {
        snapshot.queuedTokens += it->promptTokens;
    }
    if (m_prefillFreeAt > now) {
        snapshot.queuedTokens += static_cast<std::uint64_t>(base::toSeconds(m_prefillFreeAt - now) * m_options.prefillTokensPerSecond);
    }
    snapshot.usedBlocks = m_cache.size();
    snapshot.at = now;
    m_snapshots.push_back(snapshot);
    m_publishedSequences.push_back({now, m_cache.lastSequence()});
    while (now - m_snapshots.front().at > SnapshotRetention) {
        m_snapshots.pop_front();
        m_publishedSequences.pop_front();
    }
}

std::uint32_t EngineModel::runningCount() const
{
    return static_cast<std::uint32_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &item) {
        return item.second->isRunning && !item.second->isDone && !item.second->isCancelled;
    }));
}

} // namespace carawaylatch::standin
