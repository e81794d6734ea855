// Runs requests: a thread for each stream, the decisions in StreamAssembler.
//
// run() uses the calling thread for the first attempt and all that follow it;
// only hedges run on threads of a small pool, and if none is free there is no
// hedge. A write to the caller blocks the attempt's thread, which stops reading
// from the engine: so a slow caller holds one token here and the rest stays in
// the engine and the TCP windows. One watcher thread looks after all open
// requests: deadlines, hedge delays and callers that left. When a request is
// given up its attempts are cancelled and the caller gets the answer at once.
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

// Where an answer goes. All calls but state() come one at a time: begin once,
// tokens, then exactly one of finish and abort. abort may come without begin;
// then nothing was written and a plain refusal can be. Calls may block.
class CallerSink
{
public:
    virtual ~CallerSink() = default;
    [[nodiscard]] virtual CallerState begin(const AttemptPlan &plan) = 0;
    [[nodiscard]] virtual CallerState token(std::uint64_t index, std::string_view text) = 0;
    virtual void finish(const DoneEvent &done) = 0;
    // The answer ends here and is not whole: an error event, then a transfer that
    // visibly breaks off.
    virtual void abort(const base::Error &error) = 0;
    // Says whether the caller is still connected; called from the watcher.
    [[nodiscard]] virtual CallerState state() const = 0;
};

// Keeps the whole answer in memory, for requests that don't stream.
class CollectingSink : public CallerSink
{
public:
    [[nodiscard]] CallerState begin(const AttemptPlan &plan) override;
    [[nodiscard]] CallerState token(std::uint64_t index, std::string_view text) override;
    void finish(const DoneEvent &done) override;
    void abort(const base::Error &error) override;
    // Override to report a caller that left.
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
    std::string_view prompt; // outlives run()
    std::uint32_t maxTokens = 0;
    config::Idempotency idempotency = config::Idempotency::Idempotent;
    config::Hedging hedging = config::Hedging::Off;
    base::TimePoint firstTokenDeadline;
    base::TimePoint deadline; // for the whole answer
};

// What happened, for metrics and the access log.
struct RelayReport
{
    std::uint64_t tokens = 0;
    std::uint32_t runCount = 0; // runs of attempts, resumes included
    std::uint32_t hedges = 0;
    std::uint32_t resumes = 0;
    std::uint32_t continuations = 0;
    std::uint32_t staleAnswers = 0; // discarded by the echo check
    std::optional<base::Duration> firstToken; // from run()'s start
    std::optional<base::UpstreamId> upstream; // that gave the first token
    std::optional<DoneEvent> done; // set if the answer is whole
    std::optional<base::Error> error; // set otherwise
};

struct RelayOptions
{
    // Between two looks of the watcher; zero for none (tests call watch()).
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

    // Runs one request to its end; safe for use from many threads.
    RelayReport run(const RelayRequest &request, Placer &placer, CallerSink &sink);
    // One look of the watcher over all open requests.
    void watch();
    [[nodiscard]] std::size_t openRequests() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::relay
