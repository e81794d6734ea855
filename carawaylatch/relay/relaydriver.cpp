// The driver holds the open requests, the watcher thread and the hedge threads.
// openrequest.cpp processes each request.
//
// The watcher checks all open requests every watchInterval. With 290 open streams
// that is 290 short locks every 10 ms. A timer per deadline would save little and
// would still have to poll the callers' connections.
#include "carawaylatch/relay/relaydriver.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "carawaylatch/relay/hedgepool.h"
#include "carawaylatch/relay/openrequest.h"

namespace carawaylatch::relay
{

CallerState CollectingSink::begin(const AttemptPlan &)
{
    return CallerState::Present;
}

CallerState CollectingSink::token(std::uint64_t, std::string_view text)
{
    m_text += text;
    return CallerState::Present;
}

void CollectingSink::finish(const DoneEvent &done)
{
    m_done = done;
}

void CollectingSink::abort(const base::Error &error)
{
    m_error = error;
}

CallerState CollectingSink::state() const
{
    return CallerState::Present;
}

const std::string &CollectingSink::text() const
{
    return m_text;
}

const std::optional<DoneEvent> &CollectingSink::done() const
{
    return m_done;
}

const std::optional<base::Error> &CollectingSink::error() const
{
    return m_error;
}

class RelayDriver::Impl
{
public:
    explicit Impl(const RelayContext &relayContext)
        : context(relayContext)
        , hedges(relayContext.options.hedgeThreads)
    {
        context.tryRunHedge = [this](std::function<void()> task) {
            return hedges.tryRun(std::move(task));
        };
        if (context.options.watchInterval > base::Duration::zero()) {
            watcher = std::thread([this] {
                watchLoop();
            });
        }
    }

    ~Impl()
    {
        {
            const std::lock_guard lock(mutex);
            isStopping = true;
        }
        stopping.notify_all();
        if (watcher.joinable()) {
            watcher.join();
        }
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void watchAll()
    {
        std::vector<std::shared_ptr<OpenRequest>> requests;
        {
            const std::lock_guard lock(mutex);
            requests.assign(open.begin(), open.end());
        }
        for (const auto &it : requests) {
            it->watchIfOpen();
        }
    }

    void watchLoop()
    {
        std::unique_lock lock(mutex);
        while (!stopping.wait_for(lock, context.options.watchInterval, [this] {
            return isStopping;
        })) {
            lock.unlock();
            watchAll();
            lock.lock();
        }
    }

    RelayContext context;
    mutable std::mutex mutex; // guards open and isStopping
    std::condition_variable stopping;
    std::set<std::shared_ptr<OpenRequest>> open;
    bool isStopping = false;
    HedgePool hedges;
    std::thread watcher;
};

RelayDriver::RelayDriver(EngineConnection &connection, const base::Clock &clock, AttemptIdGenerator &ids, RetryBudgets &budgets, HedgeDelays &delays,
                         const RelayOptions &options)
    : m_impl(std::make_unique<Impl>(RelayContext{connection, clock, ids, budgets, delays, options, {}}))
{
}

RelayDriver::~RelayDriver() = default;

RelayReport RelayDriver::run(const RelayRequest &request, Placer &placer, CallerSink &sink)
{
    const auto open = std::make_shared<OpenRequest>(m_impl->context, request, placer, sink);
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->open.insert(open);
    }
    RelayReport report = open->run();
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->open.erase(open);
    }
    open->close();
    return report;
}

void RelayDriver::watch()
{
    m_impl->watchAll();
}

std::size_t RelayDriver::openRequests() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->open.size();
}

} // namespace carawaylatch::relay
