// A task queue guarded by a mutex. The thread waits on a condition variable until a
// task is posted or the next timer is due.
#include "carawaylatch/base/eventloop.h"

#include <time.h>

#include <algorithm>
#include <future>
#include <memory>
#include <utility>

namespace carawaylatch::base
{

EventLoop::EventLoop(const Clock &clock)
    : m_clock(clock)
{
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::start()
{
    m_thread = std::thread([this] {
        loop();
    });
}

void EventLoop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
        m_tasks.clear();
        m_posted.notify_all();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void EventLoop::post(Task task)
{
    const std::lock_guard lock(m_mutex);
    if (!m_isStopped) {
        m_tasks.push_back(std::move(task));
        m_posted.notify_all();
    }
}

bool EventLoop::runAndWait(const Task &task)
{
    const auto done = std::make_shared<std::promise<void>>();
    auto future = done->get_future();
    post([done, task](TimePoint now) {
        task(now);
        done->set_value();
    });
    while (future.wait_for(milliseconds{10}) != std::future_status::ready) {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped) {
            return false;
        }
    }
    return true;
}

TimerService &EventLoop::timers()
{
    return m_timers;
}

Duration EventLoop::cpuTime() const
{
    return std::chrono::nanoseconds{m_cpuTimeNanoseconds.load()};
}

void EventLoop::loop()
{
    while (true) {
        std::deque<Task> tasks = takeTasks();
        {
            const std::lock_guard lock(m_mutex);
            if (m_isStopped) {
                return;
            }
        }
        for (const auto &it : tasks) {
            it(m_clock.now());
        }
        m_timers.advance(m_clock.now());
        updateCpuTime();
    }
}

std::deque<EventLoop::Task> EventLoop::takeTasks()
{
    const TimePoint now = m_clock.now();
    const Duration sleep = std::clamp<Duration>(m_timers.nextDeadline().value_or(now + MaxSleep) - now, Duration{}, MaxSleep);
    std::unique_lock lock(m_mutex);
    m_posted.wait_for(lock, sleep, [this] {
        return !m_tasks.empty() || m_isStopped;
    });
    return std::exchange(m_tasks, {});
}

void EventLoop::updateCpuTime()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    const Duration total = seconds{used.tv_sec} + std::chrono::nanoseconds{used.tv_nsec};
    m_cpuTimeNanoseconds = total.count();
}

} // namespace carawaylatch::base
