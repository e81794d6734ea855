// A thread that runs what others post to it, and timers.
//
// Tasks run one at a time in order of posting; timers of the loop's timer
// service run between them. The router has one such loop for all control state,
// whose tasks never block, and others for calls that do: to the platform and to
// upstreams. These post their results to the control loop.
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
    // Ends the thread after the task that runs now; later tasks are dropped.
    void stop();
    // Runs a task on the loop's thread. Safe from any thread.
    void post(Task task);
    // Posts a task and waits until it has run; false if the loop has stopped.
    // Not to be called from the loop's thread.
    bool runAndWait(const Task &task);
    // For the loop's thread and before start().
    [[nodiscard]] TimerService &timers();
    // Processor time that the loop's thread has used.
    [[nodiscard]] Duration cpuTime() const;

private:
    void loop();
    [[nodiscard]] std::deque<Task> takeTasks();
    void updateCpuTime();

    static constexpr Duration MaxSleep = seconds{1};

    const Clock &m_clock;
    TimerService m_timers; // the loop's thread
    std::mutex m_mutex;
    std::condition_variable m_posted;
    std::deque<Task> m_tasks; // guarded by m_mutex
    bool m_isStopped = false; // guarded by m_mutex
    std::atomic<std::int64_t> m_cpuTimeNanoseconds = 0;
    std::thread m_thread;
};

} // namespace carawaylatch::base
