// Concurrent clients over one shared sequence of tasks.
//
// A completion is retried where the API defines it as safe and useful: no connection was
// made, or a refusal named a retry delay. Each retry goes to the next router, as behind a
// load balancer. A stream that has started is never retried. An order keeps its
// idempotency key when it is retried, so that a retry after an unclear result is safe. A
// fraction of the orders is also sent to a second router concurrently, and another fraction
// once more after the response. An order with the response "not run" is retried for every
// second key only, so that the other keys can be verified.
#include "tools/load/runner.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace carawaylatch::load
{

namespace
{

constexpr int MaxAttempts = 4;
constexpr base::Duration MaxPause = base::seconds{2};
constexpr base::Duration RetryPause = base::milliseconds{50};
constexpr std::uint64_t DuplicatePercent = 30; // orders sent to a second router concurrently
constexpr std::uint64_t RepeatPercent = 20; // orders sent once more after the response

void pauseFor(base::Duration duration)
{
    std::this_thread::sleep_for(std::min(duration, MaxPause));
}

class LoadRun
{
public:
    explicit LoadRun(const RunOptions &options)
        : m_options(options)
        , m_workload(options.workload, options.keys.size(), options.requests, options.seed, options.drawSeed)
    {
    }

    Report run()
    {
        const auto start = base::SteadyClock().now();
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < m_options.concurrency; ++i) {
            threads.emplace_back([this, i] {
                runWorker(i);
            });
        }
        for (auto &it : threads) {
            it.join();
        }
        m_report.elapsed = base::SteadyClock().now() - start;
        m_report.seed = m_options.seed;
        m_report.workload = m_options.workload == WorkloadKind::Groupement ? "groupement" : "brasa";
        return std::move(m_report);
    }

private:
    struct Task
    {
        enum class Kind {
            Completion,
            Order,
            None,
        };
        Kind kind = Kind::None;
        std::size_t number = 0;
        LoadRequest request;
    };

    // Returns the next task. Orders are distributed evenly among the completions.
    Task nextTask()
    {
        const std::lock_guard lock(m_mutex);
        const auto all = m_options.requests + m_options.orders;
        Task task;
        if (m_tasksStarted == all) {
            return task;
        }
        ++m_tasksStarted;
        if (m_ordersStarted * all < m_tasksStarted * m_options.orders && m_ordersStarted < m_options.orders) {
            task.kind = Task::Kind::Order;
            task.number = m_ordersStarted++;
        } else {
            task.kind = Task::Kind::Completion;
            task.number = m_tasksStarted;
            task.request = m_workload.next();
        }
        return task;
    }

    void runWorker(std::size_t worker)
    {
        LoadClient client(m_options.client);
        base::Random random(base::combineHashes(m_options.seed, worker));
        Report report;
        for (auto task = nextTask(); task.kind != Task::Kind::None; task = nextTask()) {
            if (task.kind == Task::Kind::Order) {
                runOrder(client, random, task.number, report);
            } else {
                runCompletion(client, random, task, report);
            }
            pauseFor(m_options.pause);
        }
        const std::lock_guard lock(m_mutex);
        m_report.merge(std::move(report));
    }

    void runCompletion(LoadClient &client, base::Random &random, const Task &task, Report &report)
    {
        CompletionRequest request{.key = m_options.keys.at(task.request.customer),
                                  .model = m_options.model,
                                  .prompt = task.request.prompt,
                                  .maxTokens = task.request.maxTokens,
                                  .trafficClass = task.request.trafficClass,
                                  .deadline = m_options.deadline,
                                  .requestId = m_options.runId + "-" + std::to_string(task.number)};
        ++report.requests;
        const auto targets = m_options.client.targets.size();
        auto target = random.below(targets);
        CompletionResult result;
        for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
            report.retries += attempt > 0 ? 1 : 0;
            result = client.complete(target, request);
            const bool isRetryable = result.outcome == CallOutcome::NotReached || (result.outcome == CallOutcome::Refused && result.retryAfter);
            if (!isRetryable || attempt + 1 == MaxAttempts) {
                break;
            }
            pauseFor(result.outcome == CallOutcome::NotReached ? RetryPause : *result.retryAfter);
            target = (target + 1) % targets;
        }
        recordResult(task.request.trafficClass, std::move(result), report);
    }

    static void recordResult(base::TrafficClass trafficClass, CompletionResult &&result, Report &report)
    {
        if (result.outcome == CallOutcome::NotReached) {
            ++report.notReached;
            return;
        }
        if (result.outcome == CallOutcome::Refused) {
            ++report.refusals[result.errorType];
            return;
        }
        ++report.verdicts.at(static_cast<std::size_t>(result.verdict));
        if (result.verdict == StreamVerdict::ExplicitError) {
            ++report.explicitErrors[result.errorType];
        }
        if (result.verdict != StreamVerdict::Complete) {
            return;
        }
        report.promptTokens += result.usage.promptTokens;
        report.cachedTokens += result.usage.cachedTokens;
        report.completionTokens += result.usage.completionTokens;
        auto &latencies = report.latencies.at(static_cast<std::size_t>(trafficClass));
        latencies.firstToken.push_back(result.firstToken);
        latencies.gaps.insert(latencies.gaps.end(), result.gaps.begin(), result.gaps.end());
    }

    void runOrder(LoadClient &client, base::Random &random, std::size_t number, Report &report)
    {
        const OrderRequest request{.bearerKey = m_options.keys.at(number % m_options.keys.size()),
                                   .route = m_options.orderRoute,
                                   .orderKey = m_options.runId + "-order-" + std::to_string(number),
                                   .body = "{\"number\":" + std::to_string(number) + "}"};
        const auto targets = m_options.client.targets.size();
        const auto target = random.below(targets);
        const auto other = (target + 1) % targets;
        OrderResponse duplicateResponse;
        std::thread duplicate;
        if (random.below(100) < DuplicatePercent) {
            duplicate = std::thread([&] {
                LoadClient duplicateClient(m_options.client);
                duplicateResponse = duplicateClient.order(other, request);
            });
        }
        sendOrder(client, target, request, number, report);
        if (duplicate.joinable()) {
            duplicate.join();
            report.orders.push_back(duplicateResponse);
        }
        if (random.below(100) < RepeatPercent) {
            report.orders.push_back(client.order(other, request));
        }
    }

    void sendOrder(LoadClient &client, std::size_t target, const OrderRequest &request, std::size_t number, Report &report)
    {
        for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
            report.orders.push_back(client.order((target + static_cast<std::size_t>(attempt)) % m_options.client.targets.size(), request));
            const auto &outcome = report.orders.back().outcome;
            const bool isSettled = outcome == "done" || outcome == "unknown" || (outcome == "not_run" && number % 2 == 1);
            if (isSettled) {
                return;
            }
            pauseFor(RetryPause);
        }
    }

    const RunOptions &m_options;
    std::mutex m_mutex; // protects all members below
    Workload m_workload;
    std::size_t m_tasksStarted = 0;
    std::size_t m_ordersStarted = 0;
    Report m_report;
};

} // namespace

Report runLoad(const RunOptions &options)
{
    return LoadRun(options).run();
}

} // namespace carawaylatch::load
