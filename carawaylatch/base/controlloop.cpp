// A queue, a condition variable and a thread that sleeps until the next deadline.
#include "carawaylatch/base/controlloop.h"

#include <time.h>

#include <algorithm>
#include <future>
#include <memory>
#include <utility>

namespace carawaylatch::base
{

ControlLoop::ControlLoop(const Clock &clock)
    : m_clock(clock)
{
}

ControlLoop::~ControlLoop()
{
    stop();
}

void ControlLoop::start()
{
    m_thread = std::thread([this] {
        loop();
    });
}

void ControlLoop::stop()
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

void ControlLoop::post(Task task)
{
    const std::lock_guard lock(m_mutex);
    if (!m_isStopped) {
        m_tasks.push_back(std::move(task));
        m_posted.notify_all();
    }
}

bool ControlLoop::run(const Task &task)
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

TimerService &ControlLoop::timers()
{
    return m_timers;
}

Duration ControlLoop::processorTime() const
{
    return std::chrono::nanoseconds{m_processorNanoseconds.load()};
}

void ControlLoop::loop()
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
        noteProcessorTime();
    }
}

std::deque<ControlLoop::Task> ControlLoop::takeTasks()
{
    const TimePoint now = m_clock.now();
    const Duration sleep = std::clamp<Duration>(m_timers.nextDeadline().value_or(now + LongestSleep) - now, Duration{}, LongestSleep);
    std::unique_lock lock(m_mutex);
    m_posted.wait_for(lock, sleep, [this] {
        return !m_tasks.empty() || m_isStopped;
    });
    return std::exchange(m_tasks, {});
}

void ControlLoop::noteProcessorTime()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    const Duration total = seconds{used.tv_sec} + std::chrono::nanoseconds{used.tv_nsec};
    m_processorNanoseconds = total.count();
}

} // namespace carawaylatch::base
