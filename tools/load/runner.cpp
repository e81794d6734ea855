// Concurrent callers over one shared sequence of work.
//
// Completions are repeated where the interface says that it is safe and useful:
// no connection was made, or a refusal named a time to come back. Each repeat
// goes to the next router, as through a balancer. A stream that began is never
// repeated. Orders keep their key when they are repeated, so a repeat after an
// unclear end is safe; a share of them is sent to a second router at the same
// time, and another share once more after the answer. An order answered "not
// run" is repeated for every second key only, so that the others can be judged.
#include "tools/load/runner.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace carawaylatch::load
{

namespace
{

constexpr int MaxTries = 4;
constexpr base::Duration LongestPause = base::seconds{2};
constexpr base::Duration UnreachedPause = base::milliseconds{50};
constexpr std::uint64_t DuplicatePercent = 30;
constexpr std::uint64_t RepeatPercent = 20;

void pauseFor(base::Duration duration)
{
    std::this_thread::sleep_for(std::min(duration, LongestPause));
}

class Run
{
public:
    explicit Run(const RunOptions &options)
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
                work(i);
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

    // Spreads the orders evenly over the completions.
    Task take()
    {
        const std::lock_guard lock(m_mutex);
        const auto all = m_options.requests + m_options.orders;
        Task task;
        if (m_taken == all) {
            return task;
        }
        ++m_taken;
        if (m_ordersTaken * all < m_taken * m_options.orders && m_ordersTaken < m_options.orders) {
            task.kind = Task::Kind::Order;
            task.number = m_ordersTaken++;
        } else {
            task.kind = Task::Kind::Completion;
            task.number = m_taken;
            task.request = m_workload.next();
        }
        return task;
    }

    void work(std::size_t worker)
    {
        Caller caller(m_options.caller);
        base::Random random(base::combineHashes(m_options.seed, worker));
        Report report;
        for (auto task = take(); task.kind != Task::Kind::None; task = take()) {
            if (task.kind == Task::Kind::Order) {
                runOrder(caller, random, task.number, report);
            } else {
                runCompletion(caller, random, task, report);
            }
            pauseFor(m_options.pause);
        }
        const std::lock_guard lock(m_mutex);
        m_report.merge(std::move(report));
    }

    void runCompletion(Caller &caller, base::Random &random, const Task &task, Report &report)
    {
        CompletionCall call{.key = m_options.keys.at(task.request.customer),
                            .model = m_options.model,
                            .prompt = task.request.prompt,
                            .maxTokens = task.request.maxTokens,
                            .trafficClass = task.request.trafficClass,
                            .deadline = m_options.deadline,
                            .requestId = m_options.runId + "-" + std::to_string(task.number)};
        ++report.requests;
        const auto targets = m_options.caller.targets.size();
        auto target = random.below(targets);
        CompletionResult result;
        for (int tries = 0; tries < MaxTries; ++tries) {
            report.retries += tries > 0 ? 1 : 0;
            result = caller.complete(target, call);
            const bool mayRepeat = result.end == CallEnd::NotReached || (result.end == CallEnd::Refused && result.retryAfter);
            if (!mayRepeat || tries + 1 == MaxTries) {
                break;
            }
            pauseFor(result.end == CallEnd::NotReached ? UnreachedPause : *result.retryAfter);
            target = (target + 1) % targets;
        }
        account(task.request.trafficClass, std::move(result), report);
    }

    static void account(base::TrafficClass trafficClass, CompletionResult &&result, Report &report)
    {
        if (result.end == CallEnd::NotReached) {
            ++report.notReached;
            return;
        }
        if (result.end == CallEnd::Refused) {
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
        auto &times = report.times.at(static_cast<std::size_t>(trafficClass));
        times.firstToken.push_back(result.firstToken);
        times.gaps.insert(times.gaps.end(), result.gaps.begin(), result.gaps.end());
    }

    void runOrder(Caller &caller, base::Random &random, std::size_t number, Report &report)
    {
        const OrderCall call{.bearerKey = m_options.keys.at(number % m_options.keys.size()),
                             .route = m_options.orderRoute,
                             .orderKey = m_options.runId + "-order-" + std::to_string(number),
                             .body = "{\"number\":" + std::to_string(number) + "}"};
        const auto targets = m_options.caller.targets.size();
        const auto target = random.below(targets);
        const auto other = (target + 1) % targets;
        OrderAnswer twin;
        std::thread duplicate;
        if (random.below(100) < DuplicatePercent) {
            duplicate = std::thread([&] {
                Caller second(m_options.caller);
                twin = second.order(other, call);
            });
        }
        sendOrder(caller, target, call, number, report);
        if (duplicate.joinable()) {
            duplicate.join();
            report.orders.push_back(twin);
        }
        if (random.below(100) < RepeatPercent) {
            report.orders.push_back(caller.order(other, call));
        }
    }

    void sendOrder(Caller &caller, std::size_t target, const OrderCall &call, std::size_t number, Report &report)
    {
        for (int tries = 0; tries < MaxTries; ++tries) {
            report.orders.push_back(caller.order((target + static_cast<std::size_t>(tries)) % m_options.caller.targets.size(), call));
            const auto &outcome = report.orders.back().outcome;
            const bool isSettled = outcome == "done" || outcome == "unknown" || (outcome == "not_run" && number % 2 == 1);
            if (isSettled) {
                return;
            }
            pauseFor(UnreachedPause);
        }
    }

    const RunOptions &m_options;
    std::mutex m_mutex; // guards all below
    Workload m_workload;
    std::size_t m_taken = 0;
    std::size_t m_ordersTaken = 0;
    Report m_report;
};

} // namespace

Report runLoad(const RunOptions &options)
{
    return Run(options).run();
}

} // namespace carawaylatch::load
