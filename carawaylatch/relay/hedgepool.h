// Thread pool for hedges. A task is accepted only if a thread is free at that
// moment: a hedge that waits for a thread would not reduce latency.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace carawaylatch::relay
{

// Thread-safe. The destructor waits for running tasks.
class HedgePool
{
public:
    explicit HedgePool(std::size_t threads);
    ~HedgePool();
    HedgePool(const HedgePool &) = delete;
    HedgePool &operator=(const HedgePool &) = delete;

    // Runs the task on a free thread, or returns false.
    [[nodiscard]] bool tryRun(std::function<void()> task);

private:
    enum class Phase {
        Running,
        Stopping,
    };

    void work();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks; // never more than m_idle
    std::size_t m_idle = 0; // threads without a task
    Phase m_phase = Phase::Running;
    std::vector<std::thread> m_threads;
};

} // namespace carawaylatch::relay
