// Each interval fetches one load report and, from engines, one page of cache events.
#include "carawaylatch/router/upstreampoller.h"

#include <algorithm>
#include <utility>

namespace carawaylatch::router
{

namespace
{
constexpr base::Duration StopCheckInterval = base::milliseconds{50}; // longest sleep between checks of the stop token
}

UpstreamPoller::UpstreamPoller(http::UpstreamClient &client, prefix::CacheIndex &caches, base::Duration interval, ReportHandler onReport)
    : m_client(client)
    , m_caches(caches)
    , m_interval(interval)
    , m_onReport(std::move(onReport))
    , m_targets(std::make_shared<const std::vector<PollTarget>>())
{
}

UpstreamPoller::~UpstreamPoller()
{
    stop();
}

void UpstreamPoller::start()
{
    for (std::size_t shard = 0; shard < ThreadCount; ++shard) {
        m_threads.emplace_back([this, shard](const std::stop_token &stop) {
            pollShard(shard, stop);
        });
    }
}

void UpstreamPoller::stop()
{
    m_threads.clear();
}

void UpstreamPoller::setTargets(std::vector<PollTarget> targets)
{
    m_targets.store(std::make_shared<const std::vector<PollTarget>>(std::move(targets)));
}

void UpstreamPoller::pollShard(std::size_t shard, const std::stop_token &stop)
{
    const base::SteadyClock clock;
    base::TimePoint next = clock.now();
    while (!stop.stop_requested()) {
        const auto targets = m_targets.load();
        for (std::size_t i = shard; i < targets->size() && !stop.stop_requested(); i += ThreadCount) {
            poll((*targets)[i]);
        }
        next = std::max(next + m_interval, clock.now());
        while (!stop.stop_requested() && clock.now() < next) {
            std::this_thread::sleep_for(std::min<base::Duration>(StopCheckInterval, next - clock.now()));
        }
    }
}

void UpstreamPoller::poll(const PollTarget &target)
{
    const auto report = m_client.loadReport(target.endpoint);
    m_onReport(target.id, report);
    if (!report || target.kind != config::UpstreamKind::Engine) {
        return;
    }
    const auto events = m_client.cacheEvents(target.endpoint, m_caches.nextEvent(target.slot));
    if (events) {
        static_cast<void>(m_caches.applyEvents(target.slot, events.value(), base::SteadyClock().now()));
    }
}

} // namespace carawaylatch::router
