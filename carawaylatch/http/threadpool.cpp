// httplib's own pool starts all threads at once, although most servers need few of them.
#include "carawaylatch/http/threadpool.h"

#include <utility>

namespace carawaylatch::http
{

ThreadPool::ThreadPool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{
}

void ThreadPool::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idleThreads && m_threads.size() < m_maxThreads) {
        m_threads.emplace_back([this] {
            run();
        });
    }
    m_hasWork.notify_one();
}

void ThreadPool::shutdown()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_isShutDown = true;
        threads = std::exchange(m_threads, {});
    }
    m_hasWork.notify_all();
    for (std::thread &thread : threads) {
        thread.join();
    }
}

void ThreadPool::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idleThreads;
        m_hasWork.wait(lock, [this] {
            return m_isShutDown || !m_tasks.empty();
        });
        --m_idleThreads;
        if (m_tasks.empty()) {
            return;
        }
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace carawaylatch::http
