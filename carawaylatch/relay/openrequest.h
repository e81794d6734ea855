// One request while it runs: the assembler, its lock, and who does what.
//
// Events come from attempts' threads and from the watcher. Each is given to the
// assembler under the lock; its actions are then carried out by the thread that
// brought the event, without the lock, except for two kinds that belong to the
// calling thread: runs (other than a hedge's first) and the end of the answer.
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

// What all requests of one driver share.
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

    // Runs on the calling thread until the answer ended and no attempt runs.
    RelayReport run();
    // A look of the watcher: deadlines, silence, hedge, caller. Does nothing once
    // close() was called.
    void watchIfOpen();
    // Waits for a look that is under way; after it, request, placer and sink are
    // not used any more.
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
    std::mutex m_placerMutex; // calls of the placer, one at a time
    std::mutex m_watchMutex; // held during a look; guards m_isClosed
    bool m_isClosed = false;

    mutable std::mutex m_mutex; // guards all below
    std::condition_variable m_changed;
    StreamAssembler m_assembler;
    std::vector<Action> m_work; // Place, Start and Resume for the calling thread
    std::optional<Action> m_end; // Finish or Abort, not carried out yet
    std::vector<base::AttemptId> m_running; // in EngineConnection::run now
    std::vector<base::AttemptId> m_cancelled; // cancelled; repeated while running
    Writing m_writing = Writing::No; // a thread is in the sink
    std::uint32_t m_hedgesRunning = 0;
    std::optional<base::TimePoint> m_hedgeAt;
    std::optional<DoneEvent> m_done; // of the attempt that finished the answer
    RelayReport m_report;
};

} // namespace carawaylatch::relay
