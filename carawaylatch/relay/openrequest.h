// State of one request while it is processed: its stream assembler and the lock.
//
// Events come from the threads of attempts and from the watcher thread. Each event
// is passed to the assembler under the lock. Its actions are then carried out
// without the lock by the thread that passed the event, except for two kinds that
// the calling thread of run() carries out: runs of attempts (other than a hedge's
// first) and the end of the answer.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "carawaylatch/relay/relaydriver.h"
#include "carawaylatch/relay/streamassembler.h"

namespace carawaylatch::relay
{

// Objects and options that all requests of one driver share.
struct RelayContext
{
    EngineConnection &connection;
    const base::Clock &clock;
    AttemptIdGenerator &ids;
    RetryBudgets &budgets;
    HedgeDelays &delays;
    RelayOptions options;
    std::function<bool(std::function<void()>)> tryRunHedge;
};

class OpenRequest : public std::enable_shared_from_this<OpenRequest>
{
public:
    OpenRequest(RelayContext &context, const RelayRequest &request, Placer &placer, CallerSink &sink);

    // Blocks until the answer ended and no attempt is running.
    RelayReport run();
    // Called periodically by the watcher: checks deadlines, the idle timeout, the
    // hedge delay and the caller's connection. Does nothing once close() was called.
    void watchIfOpen();
    // Waits for a running watchIfOpen(). Afterwards request, placer and sink are no
    // longer used.
    void close();

private:
    friend class AttemptListener;
    using Event = std::function<void(base::TimePoint now, Actions &out)>;
    enum class Writing {
        No,
        Yes,
    };

    void watch();
    void handle(const Event &event);
    void recordActions(const Actions &actions);
    void perform(const Actions &actions);
    void performWrites(const Actions &actions);
    void reportOutcomes(const std::vector<AttemptOutcome> &outcomes);
    AttemptPlan planOf(base::AttemptId attempt) const;
    void recordFirstToken(const Action &action);
    void place(AttemptPurpose purpose);
    base::Result<AttemptPlan> callPlacer(AttemptPurpose purpose);
    void startHedge();
    void runAttempt(const Action &action);
    EngineRequest engineRequest(const Action &action, std::string &generated) const;
    void endAnswer();
    bool hasReadyWork() const;
    std::optional<Action> nextWork();

    RelayContext &m_context;
    const RelayRequest &m_request;
    Placer &m_placer;
    CallerSink &m_sink;
    const base::TimePoint m_started;
    std::mutex m_placerMutex; // serializes calls of the placer
    std::mutex m_watchMutex; // held during watchIfOpen(); guards m_isClosed
    bool m_isClosed = false;

    mutable std::mutex m_mutex; // guards all members below
    std::condition_variable m_changed;
    StreamAssembler m_assembler;
    std::vector<Action> m_work; // Place, Start and Resume for the calling thread
    std::optional<Action> m_end; // Finish or Abort, once the assembler decided it
    std::vector<base::AttemptId> m_running; // currently in EngineConnection::run()
    std::vector<base::AttemptId> m_cancelled; // the watcher repeats these while they run
    Writing m_writing = Writing::No; // whether a thread is writing to the sink
    std::uint32_t m_hedgesRunning = 0; // decided and not yet ended
    std::optional<base::TimePoint> m_hedgeAt;
    std::optional<DoneEvent> m_done; // from the attempt that finished the answer
    RelayReport m_report;
};

} // namespace carawaylatch::relay
