// A thread that runs posted tasks and timers.
//
// Tasks run one at a time in the order of posting; due timers run between batches
// of tasks. The router has one loop for all control state, whose tasks never
// block, and further loops for blocking calls to the platform and to upstreams,
// which post their results to the control loop.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "carawaylatch/base/time.h"
#include "carawaylatch/base/timerservice.h"

namespace carawaylatch::base
{

class EventLoop
{
public:
    using Task = std::function<void(TimePoint now)>;

    // `clock` must outlive the loop.
    explicit EventLoop(const Clock &clock);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    void start();
    // Stops the thread after the batch of tasks in progress and joins it. Queued tasks
    // are dropped, and later calls of post() have no effect.
    void stop();
    // Runs a task on the loop's thread. Safe from any thread.
    void post(Task task);
    // Posts a task and blocks until it has run. Returns false if the loop has
    // stopped. Must not be called from the loop's thread, where it would deadlock.
    bool runAndWait(const Task &task);
    // To be used only on the loop's thread, or before start().
    [[nodiscard]] TimerService &timers();
    // CPU time used by the loop's thread since its start. Safe from any thread.
    [[nodiscard]] Duration cpuTime() const;

private:
    void loop();
    [[nodiscard]] std::deque<Task> takeTasks();
    void updateCpuTime();

    static constexpr Duration MaxSleep = seconds{1};

    const Clock &m_clock;
    TimerService m_timers; // used on the loop's thread only
    std::mutex m_mutex;
    std::condition_variable m_posted;
    std::deque<Task> m_tasks; // guarded by m_mutex
    bool m_isStopped = false; // guarded by m_mutex
    std::atomic<std::int64_t> m_cpuTimeNanoseconds = 0;
    std::thread m_thread;
};

} // namespace carawaylatch::base
