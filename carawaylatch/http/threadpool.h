// The threads of a server: one is started when a task finds none idle, up to a limit.
#pragma once

#include <httplib.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace carawaylatch::http
{

class ThreadPool : public httplib::TaskQueue
{
public:
    explicit ThreadPool(std::size_t maxThreads);

    void enqueue(std::function<void()> task) override;
    // Runs the tasks that wait, and returns when all have ended. No task may be added after it.
    void shutdown() override;

private:
    void run();

    const std::size_t m_maxThreads;
    std::mutex m_mutex; // guards all below
    std::condition_variable m_hasWork;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idleThreads = 0;
    bool m_isShutDown = false;
};

} // namespace carawaylatch::http
