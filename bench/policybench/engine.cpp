// Queue, cache and journal of the engine. Scheduled callbacks carry the incarnation that
// scheduled them and do nothing in a later one.
#include "bench/policybench/engine.h"

#include <algorithm>
#include <string>
#include <utility>

namespace carawaylatch::bench
{

namespace
{
constexpr std::size_t JournalEvents = 4096;
} // namespace

Engine::Engine(EventQueue &queue, std::uint32_t number, std::uint32_t domain)
    : m_queue(queue)
    , m_number(number)
    , m_domain(domain)
    , m_cache(CapacityBlocks)
{
    start();
}

base::UpstreamId Engine::id() const
{
    return base::UpstreamId{"engine-" + std::to_string(m_number)};
}

std::uint32_t Engine::domain() const
{
    return m_domain;
}

bool Engine::isAlive() const
{
    return m_isAlive;
}

void Engine::crash()
{
    m_isAlive = false;
    auto running = std::exchange(m_running, {});
    auto waiting = std::exchange(m_interactive, {});
    for (auto &it : std::exchange(m_batch, {})) {
        waiting.push_back(std::move(it));
    }
    m_cache = BlockCache(CapacityBlocks);
    m_journal.clear();
    m_isPrefilling = false;
    for (const auto &it : running) {
        it->onFailed(JobFailure::Lost);
    }
    for (const auto &it : waiting) {
        it.job.onFailed(JobFailure::Lost);
    }
}

void Engine::start()
{
    m_isAlive = true;
    m_nextEvent = 1;
    ++m_incarnation;
}

void Engine::submit(Job job)
{
    if (!m_isAlive) {
        job.onFailed(JobFailure::NotSent);
        return;
    }
    const std::uint32_t missing = job.request->promptTokens - cachedPrefixBlocks(job.request->chain) * BlockTokens;
    auto &waiting = job.request->trafficClass == base::TrafficClass::Interactive ? m_interactive : m_batch;
    waiting.push_back(QueuedJob{std::move(job), missing});
    startNextPrefill();
}

void Engine::startNextPrefill()
{
    auto &waiting = m_interactive.empty() ? m_batch : m_interactive;
    if (m_isPrefilling || waiting.empty() || m_running.size() >= Slots) {
        return;
    }
    const auto job = std::make_shared<Job>(std::move(waiting.front().job));
    waiting.pop_front();
    m_running.push_back(job);
    const auto &chain = job->request->chain;
    const std::uint32_t cached = cachedPrefixBlocks(chain);
    m_cache.touch(std::span(chain).first(cached));
    const std::uint32_t missing = job->request->promptTokens - cached * BlockTokens;
    const base::Duration prefillTime = PrefillOverhead + base::fromSeconds(missing / PrefillTokensPerSecond);
    m_isPrefilling = true;
    m_prefillEnd = m_queue.now() + prefillTime;
    m_queue.after(prefillTime, [this, job, cached, incarnation = m_incarnation] {
        if (m_isAlive && incarnation == m_incarnation) {
            onPrefilled(job, cached);
        }
    });
}

void Engine::onPrefilled(const std::shared_ptr<Job> &job, std::uint32_t cachedBlocks)
{
    m_isPrefilling = false;
    const auto changes = m_cache.store(job->request->chain);
    for (const std::uint64_t it : changes.stored) {
        recordEvent(prefix::CacheOperation::Stored, it);
    }
    for (const std::uint64_t it : changes.evicted) {
        recordEvent(prefix::CacheOperation::Evicted, it);
    }
    job->onFirstToken(cachedBlocks);
    const double decode = DecodeMsPerToken * job->request->outputTokens / 1000;
    m_queue.after(base::fromSeconds(decode), [this, job, incarnation = m_incarnation] {
        if (m_isAlive && incarnation == m_incarnation) {
            onGenerated(job);
        }
    });
    startNextPrefill();
}

void Engine::onGenerated(const std::shared_ptr<Job> &job)
{
    m_running.erase(std::find(m_running.begin(), m_running.end(), job));
    job->onDone();
    startNextPrefill();
}

void Engine::recordEvent(prefix::CacheOperation operation, std::uint64_t block)
{
    m_journal.push_back(Event{m_queue.now(), {m_nextEvent++, operation, block}});
    if (m_journal.size() > JournalEvents) {
        m_journal.pop_front();
    }
}

upstreams::LoadReport Engine::report() const
{
    upstreams::LoadReport report;
    report.incarnation = {m_incarnation};
    report.model = base::ModelId{"m"};
    report.weightsVersion = {1};
    report.running = static_cast<std::uint32_t>(m_running.size());
    report.waiting = static_cast<std::uint32_t>(m_interactive.size() + m_batch.size());
    report.queuedTokens = static_cast<std::uint64_t>(queuedTokens(base::TrafficClass::Batch));
    report.usedBlocks = m_cache.size();
    report.capacityBlocks = CapacityBlocks;
    report.prefillTokensPerSecond = PrefillTokensPerSecond;
    report.decodeMsPerToken = DecodeMsPerToken;
    return report;
}

prefix::CacheEvents Engine::events(std::uint64_t since, base::Duration lag) const
{
    prefix::CacheEvents result{{m_incarnation}, std::max<std::uint64_t>(since, 1), {}};
    const auto first = std::lower_bound(m_journal.begin(), m_journal.end(), since, [](const Event &event, std::uint64_t sequence) {
        return event.event.sequence < sequence;
    });
    for (auto it = first; it != m_journal.end() && it->at + lag <= m_queue.now(); ++it) {
        result.events.push_back(it->event);
        result.next = it->event.sequence + 1;
    }
    return result;
}

std::uint32_t Engine::cachedPrefixBlocks(const std::vector<std::uint64_t> &chain) const
{
    return m_cache.cachedPrefixBlocks(chain);
}

double Engine::queuedTokens(base::TrafficClass trafficClass) const
{
    double tokens = m_isPrefilling ? base::toSeconds(m_prefillEnd - m_queue.now()) * PrefillTokensPerSecond : 0;
    for (const auto &it : m_interactive) {
        tokens += it.missingTokens;
    }
    if (trafficClass == base::TrafficClass::Batch) {
        for (const auto &it : m_batch) {
            tokens += it.missingTokens;
        }
    }
    return tokens;
}

} // namespace carawaylatch::bench
