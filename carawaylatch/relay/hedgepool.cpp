// A thread counts as idle until it takes a task off the queue. A task is accepted
// only if there are more idle threads than queued tasks.
#include "carawaylatch/relay/hedgepool.h"

#include <utility>

namespace carawaylatch::relay
{

HedgePool::HedgePool(std::size_t threads)
    : m_idle(threads)
{
    m_threads.reserve(threads);
    for (std::size_t i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] {
            work();
        });
    }
}

HedgePool::~HedgePool()
{
    {
        const std::lock_guard lock(m_mutex);
        m_phase = Phase::Stopping;
    }
    m_changed.notify_all();
    for (std::thread &it : m_threads) {
        it.join();
    }
}

bool HedgePool::tryRun(std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_phase == Phase::Stopping || m_tasks.size() >= m_idle) {
            return false;
        }
        m_tasks.push_back(std::move(task));
    }
    m_changed.notify_one();
    return true;
}

void HedgePool::work()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_changed.wait(lock, [this] {
            return !m_tasks.empty() || m_phase == Phase::Stopping;
        });
        if (m_tasks.empty()) {
            return;
        }
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        --m_idle;
        lock.unlock();
        task();
        lock.lock();
        ++m_idle;
    }
}

} // namespace carawaylatch::relay
