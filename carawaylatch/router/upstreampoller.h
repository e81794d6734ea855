// Polls upstreams for load reports and cache events on threads of its own.
//
// Each thread polls one shard of the upstreams, so that an upstream that hangs delays
// only the reports of its shard, by at most the call's timeout.
#pragma once

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/snapshotpointer.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/config/tables.h"
#include "carawaylatch/http/upstreamclient.h"
#include "carawaylatch/prefix/cacheindex.h"
#include "carawaylatch/upstreams/slot.h"

namespace carawaylatch::router
{

struct PollTarget
{
    base::UpstreamId id;
    upstreams::Slot slot;
    base::Endpoint endpoint;
    config::UpstreamKind kind = config::UpstreamKind::Engine;
};

class UpstreamPoller
{
public:
    using ReportHandler = std::function<void(const base::UpstreamId &id, const base::Result<upstreams::LoadReport> &report)>;

    // Both references outlive the poller; `onReport` is called on poller threads.
    UpstreamPoller(http::UpstreamClient &client, prefix::CacheIndex &caches, base::Duration interval, ReportHandler onReport);
    ~UpstreamPoller();

    void start();
    void stop();
    void setTargets(std::vector<PollTarget> targets);

private:
    void pollShard(std::size_t shard, const std::stop_token &stop);
    void poll(const PollTarget &target);

    static constexpr std::size_t ThreadCount = 4;

    http::UpstreamClient &m_client;
    prefix::CacheIndex &m_caches;
    const base::Duration m_interval;
    const ReportHandler m_onReport;
    base::SnapshotPointer<std::vector<PollTarget>> m_targets;
    std::vector<std::jthread> m_threads;
};

} // namespace carawaylatch::router
