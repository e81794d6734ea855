// Runs requests with one thread per stream; StreamAssembler makes the decisions.
//
// run() uses the calling thread for the first attempt and all that follow it. Only
// hedges run on the threads of a small pool; if none is free, no hedge is sent. A
// write to the caller blocks the attempt's thread, which then stops reading from
// the engine: with a slow caller, at most one token is buffered here and the rest
// stays in the engine and the TCP windows. One watcher thread checks deadlines,
// hedge delays and disconnected callers for all open requests. When a request is
// aborted, its attempts are cancelled and the caller gets the error at once.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/config/tables.h"
#include "carawaylatch/relay/attemptidgenerator.h"
#include "carawaylatch/relay/attemptplan.h"
#include "carawaylatch/relay/engineconnection.h"
#include "carawaylatch/relay/hedgedelay.h"
#include "carawaylatch/relay/retrybudget.h"

namespace carawaylatch::relay
{

enum class CallerState {
    Present,
    Gone,
};

// Receives an answer. All calls except state() are serialized: begin once, tokens,
// then exactly one of finish and abort. abort may come without begin; nothing was
// written then, and an ordinary error response is possible. Calls may block.
class CallerSink
{
public:
    virtual ~CallerSink() = default;
    [[nodiscard]] virtual CallerState begin(const AttemptPlan &plan) = 0;
    [[nodiscard]] virtual CallerState token(std::uint64_t index, std::string_view text) = 0;
    virtual void finish(const DoneEvent &done) = 0;
    // Ends an incomplete answer: writes an error event and terminates the transfer so
    // that the caller can detect the truncation.
    virtual void abort(const base::Error &error) = 0;
    // Returns whether the caller is still connected. Called from the watcher thread.
    [[nodiscard]] virtual CallerState state() const = 0;
};

// Collects the whole answer in memory, for requests without streaming.
class CollectingSink : public CallerSink
{
public:
    [[nodiscard]] CallerState begin(const AttemptPlan &plan) override;
    [[nodiscard]] CallerState token(std::uint64_t index, std::string_view text) override;
    void finish(const DoneEvent &done) override;
    void abort(const base::Error &error) override;
    // Override to report a disconnected caller.
    [[nodiscard]] CallerState state() const override;

    [[nodiscard]] const std::string &text() const;
    [[nodiscard]] const std::optional<DoneEvent> &done() const;
    [[nodiscard]] const std::optional<base::Error> &error() const;

private:
    std::string m_text;
    std::optional<DoneEvent> m_done;
    std::optional<base::Error> m_error;
};

struct RelayRequest
{
    std::string requestId;
    base::PoolName pool;
    base::ModelId model;
    base::TrafficClass trafficClass = base::TrafficClass::Interactive;
    std::string_view prompt; // must outlive run()
    std::uint32_t maxTokens = 0;
    config::Idempotency idempotency = config::Idempotency::Idempotent;
    config::Hedging hedging = config::Hedging::Off;
    base::TimePoint firstTokenDeadline;
    base::TimePoint deadline; // for the whole answer
};

// Summary of a request for metrics and the access log.
struct RelayReport
{
    std::uint64_t tokens = 0;
    std::uint32_t runCount = 0; // runs of all attempts, including resumes
    std::uint32_t hedges = 0;
    std::uint32_t resumes = 0;
    std::uint32_t continuations = 0;
    std::uint32_t staleAnswers = 0; // discarded since the echo differed from the plan
    std::optional<base::Duration> firstToken; // since the start of run()
    std::optional<base::UpstreamId> upstream; // source of the first token
    std::optional<DoneEvent> done; // set if the answer is complete
    std::optional<base::Error> error; // set otherwise
};

struct RelayOptions
{
    // Interval of the watcher thread; zero starts no thread (tests call watch()).
    base::Duration watchInterval = base::milliseconds{10};
    std::size_t hedgeThreads = 8;
    base::Duration idleTimeout = base::seconds{10}; // between two events of an engine
    std::uint32_t maxRuns = 6;
    base::Duration retryAfter = base::seconds{1};
};

class RelayDriver
{
public:
    // All references must outlive the driver.
    RelayDriver(EngineConnection &connection, const base::Clock &clock, AttemptIdGenerator &ids, RetryBudgets &budgets, HedgeDelays &delays,
                const RelayOptions &options = {});
    ~RelayDriver();
    RelayDriver(const RelayDriver &) = delete;
    RelayDriver &operator=(const RelayDriver &) = delete;

    // Runs one request to its end. Thread-safe.
    RelayReport run(const RelayRequest &request, Placer &placer, CallerSink &sink);
    // Checks all open requests once, as the watcher thread does every watchInterval.
    void watch();
    [[nodiscard]] std::size_t openRequests() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::relay
