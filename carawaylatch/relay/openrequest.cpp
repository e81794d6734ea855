// The calling thread places and runs attempts until the assembler returns Finish or
// Abort. Then it ends the answer and waits for a hedge that is still being cancelled.
//
// Tokens are written to the caller by the thread of the winning attempt. There is
// one winner at a time, and a new one starts only after the run of the old one
// ended, so writes never overlap. The end of the answer waits for a running write.
//
// A cancellation may reach the connection before the attempt does. It is therefore
// recorded here: an attempt that is cancelled before its run is not run, and the
// watcher repeats the cancellation until the run has ended.
#include "carawaylatch/relay/openrequest.h"

#include <algorithm>
#include <string>
#include <utility>

namespace carawaylatch::relay
{

using base::ErrorKind;

// Passes the events of one attempt to the assembler.
class AttemptListener : public EngineListener
{
public:
    AttemptListener(OpenRequest &request, base::AttemptId attempt)
        : m_request(request)
        , m_attempt(attempt)
    {
    }

    void onSent() override
    {
        m_request.handle([this](base::TimePoint now, Actions &out) {
            m_request.m_assembler.sent(m_attempt, now, out);
        });
    }
    void onHead(const EngineHead &head) override
    {
        m_request.handle([&](base::TimePoint now, Actions &out) {
            m_request.m_assembler.head(m_attempt, head, now, out);
        });
    }
    void onToken(const TokenEvent &token) override
    {
        m_request.handle([&](base::TimePoint now, Actions &out) {
            m_request.m_assembler.token(m_attempt, token, now, out);
        });
    }
    void onDone(const DoneEvent &done) override
    {
        m_hasEnded = true;
        m_request.handle([&](base::TimePoint now, Actions &out) {
            m_request.m_assembler.done(m_attempt, done, now, out);
            if (!out.empty() && out.back().kind == ActionKind::Finish) {
                m_request.m_done = done;
            }
        });
    }
    void onBroken(BreakKind kind, const base::Error &error) override
    {
        m_hasEnded = true;
        m_request.handle([&](base::TimePoint now, Actions &out) {
            m_request.m_assembler.broken(m_attempt, kind, error, now, out);
        });
    }

    // Called after the run returned. A run without onDone or onBroken counts as lost.
    void onReturned()
    {
        if (!m_hasEnded) {
            onBroken(BreakKind::Lost, base::fail(ErrorKind::Truncated, "the engine connection ended without a final event; try again later"));
        }
    }

private:
    OpenRequest &m_request;
    const base::AttemptId m_attempt;
    bool m_hasEnded = false;
};

namespace
{

StreamOptions streamOptions(const RelayOptions &options, const RelayRequest &request)
{
    StreamOptions stream;
    stream.idempotency = request.idempotency;
    stream.firstTokenDeadline = request.firstTokenDeadline;
    stream.deadline = request.deadline;
    stream.retryAfter = options.retryAfter;
    stream.idleTimeout = options.idleTimeout;
    stream.maxRuns = options.maxRuns;
    if (request.maxTokens > 0) {
        stream.maxTokens = request.maxTokens;
    }
    return stream;
}

bool contains(const std::vector<base::AttemptId> &ids, base::AttemptId id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

OpenRequest::OpenRequest(RelayContext &context, const RelayRequest &request, Placer &placer, CallerSink &sink)
    : m_context(context)
    , m_request(request)
    , m_placer(placer)
    , m_sink(sink)
    , m_started(context.clock.now())
    , m_assembler(streamOptions(context.options, request), m_started)
{
}

RelayReport OpenRequest::run()
{
    m_context.budgets.countRequest(m_request.pool, m_started);
    if (m_request.hedging == config::Hedging::On) {
        if (const auto delay = m_context.delays.delay(m_request.pool)) {
            const std::lock_guard lock(m_mutex);
            m_hedgeAt = m_started + *delay;
        }
    }
    handle([this](base::TimePoint now, Actions &out) {
        m_assembler.start(now, out);
    });
    while (const auto work = nextWork()) {
        if (work->kind == ActionKind::Place) {
            place(work->purpose);
        } else {
            runAttempt(*work);
        }
    }
    endAnswer();
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] {
        return m_hedgesRunning == 0;
    });
    m_report.tokens = m_assembler.delivered();
    m_report.runCount = m_assembler.runCount();
    return m_report;
}

// Returns true if the first entry of m_work can be started. Requires m_mutex. The
// calling thread resumes the stream of a hedge only after the hedge's own run returned.
bool OpenRequest::hasReadyWork() const
{
    return !m_work.empty() && (m_work.front().kind != ActionKind::Resume || !contains(m_running, m_work.front().attempt));
}

// Waits for the next action of the calling thread; returns nothing once the answer ended.
std::optional<Action> OpenRequest::nextWork()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] {
        return hasReadyWork() || m_end;
    });
    if (m_end) {
        m_changed.wait(lock, [this] {
            return m_writing == Writing::No;
        });
        return std::nullopt;
    }
    const Action work = std::move(m_work.front());
    m_work.erase(m_work.begin());
    return work;
}

void OpenRequest::watchIfOpen()
{
    const std::lock_guard lock(m_watchMutex);
    if (!m_isClosed) {
        watch();
    }
}

void OpenRequest::close()
{
    const std::lock_guard lock(m_watchMutex);
    m_isClosed = true;
}

void OpenRequest::watch()
{
    const bool isGone = m_sink.state() == CallerState::Gone;
    handle([&](base::TimePoint now, Actions &out) {
        if (isGone) {
            m_assembler.callerGone(now, out);
        }
        if (m_writing == Writing::No) {
            m_assembler.tick(now, out);
            m_assembler.idle(now, out);
        }
        if (m_hedgeAt && now >= *m_hedgeAt) {
            m_hedgeAt.reset();
            m_assembler.hedgeDue(now, out);
        }
        for (const base::AttemptId id : m_cancelled) {
            if (contains(m_running, id)) {
                out.push_back({.kind = ActionKind::Cancel, .attempt = id});
            }
        }
    });
}

// Passes one event to the assembler and carries out the resulting actions.
void OpenRequest::handle(const Event &event)
{
    Actions actions;
    std::vector<AttemptOutcome> outcomes;
    {
        const std::lock_guard lock(m_mutex);
        event(m_context.clock.now(), actions);
        outcomes = m_assembler.takeOutcomes();
        recordActions(actions);
    }
    m_changed.notify_all();
    perform(actions);
    reportOutcomes(outcomes);
}

// Records the actions that other threads carry out or wait for. Requires m_mutex.
void OpenRequest::recordActions(const Actions &actions)
{
    for (const Action &it : actions) {
        switch (it.kind) {
        case ActionKind::Begin:
        case ActionKind::Deliver:
            m_writing = Writing::Yes;
            break;
        case ActionKind::Finish:
        case ActionKind::Abort:
            m_end = it;
            break;
        case ActionKind::Cancel:
            if (!contains(m_cancelled, it.attempt)) {
                m_cancelled.push_back(it.attempt);
            }
            break;
        case ActionKind::Resume:
            ++m_report.resumes;
            m_work.push_back(it);
            break;
        case ActionKind::Place:
        case ActionKind::Start:
            if (it.purpose != AttemptPurpose::Hedge) {
                m_work.push_back(it);
            } else if (it.kind == ActionKind::Place) {
                ++m_hedgesRunning; // in the step that decides it, so that run() can't miss it
            }
            break;
        case ActionKind::FirstToken:
            break;
        }
        if (it.kind == ActionKind::Start) {
            m_report.hedges += it.purpose == AttemptPurpose::Hedge ? 1 : 0;
            m_report.continuations += it.purpose == AttemptPurpose::Continue ? 1 : 0;
        }
    }
}

void OpenRequest::perform(const Actions &actions)
{
    for (const Action &it : actions) {
        if (it.kind == ActionKind::Cancel) {
            m_context.connection.cancel(it.attempt);
        } else if (it.kind == ActionKind::FirstToken) {
            recordFirstToken(it);
        }
    }
    performWrites(actions);
    for (const Action &it : actions) {
        if (it.purpose != AttemptPurpose::Hedge) {
            continue;
        }
        if (it.kind == ActionKind::Place) {
            startHedge();
        } else if (it.kind == ActionKind::Start) {
            runAttempt(it); // on the hedge's own thread, see startHedge()
        }
    }
}

void OpenRequest::performWrites(const Actions &actions)
{
    CallerState state = CallerState::Present;
    bool hasWritten = false;
    for (const Action &it : actions) {
        if (state == CallerState::Gone) {
            break;
        }
        if (it.kind == ActionKind::Begin) {
            state = m_sink.begin(planOf(it.attempt));
            hasWritten = true;
        } else if (it.kind == ActionKind::Deliver) {
            state = m_sink.token(it.index, it.text);
            hasWritten = true;
        }
    }
    if (!hasWritten) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_writing = Writing::No;
        m_assembler.written(m_context.clock.now());
    }
    m_changed.notify_all();
    if (state == CallerState::Gone) {
        handle([this](base::TimePoint now, Actions &out) {
            m_assembler.callerGone(now, out);
        });
    }
}

AttemptPlan OpenRequest::planOf(base::AttemptId attempt) const
{
    const std::lock_guard lock(m_mutex);
    return *m_assembler.plan(attempt);
}

void OpenRequest::reportOutcomes(const std::vector<AttemptOutcome> &outcomes)
{
    const std::lock_guard placerLock(m_placerMutex);
    for (const AttemptOutcome &it : outcomes) {
        if (it.result == AttemptResult::Stale) {
            const std::lock_guard lock(m_mutex);
            ++m_report.staleAnswers;
        }
        m_placer.ended(it);
    }
}

void OpenRequest::recordFirstToken(const Action &action)
{
    const AttemptPlan plan = planOf(action.attempt);
    {
        const std::lock_guard lock(m_mutex);
        if (!m_report.firstToken) {
            m_report.firstToken = m_context.clock.now() - m_started;
            m_report.upstream = plan.upstream;
            // Measured from the request's start: the sample of a winning hedge is
            // longer than the hedge delay, so hedging does not lower its own delay.
            m_context.delays.add(m_request.pool, *m_report.firstToken);
        }
    }
    const std::lock_guard placerLock(m_placerMutex);
    m_placer.firstToken(plan, action.elapsed);
}

void OpenRequest::place(AttemptPurpose purpose)
{
    const auto plan = callPlacer(purpose);
    handle([&](base::TimePoint now, Actions &out) {
        if (plan) {
            m_assembler.placed(m_context.ids.next(), plan.value(), purpose, now, out);
        } else {
            m_assembler.notPlaced(purpose, plan.error(), now, out);
        }
    });
}

base::Result<AttemptPlan> OpenRequest::callPlacer(AttemptPurpose purpose)
{
    const auto now = m_context.clock.now();
    std::vector<ExcludedUpstream> excluded;
    PlacementRequest placement{.purpose = purpose, .weightsVersion = std::nullopt, .excluded = {}, .delivered = 0, .now = now};
    bool isFirst = false;
    {
        const std::lock_guard lock(m_mutex);
        excluded = m_assembler.excluded(purpose);
        placement.excluded = excluded;
        placement.weightsVersion = m_assembler.weightsVersion();
        placement.delivered = m_assembler.delivered();
        isFirst = m_assembler.runCount() == 0;
    }
    if (purpose == AttemptPurpose::Continue) {
        m_context.budgets.countContinuation(m_request.pool, now);
    } else if (!isFirst && !m_context.budgets.tryTake(m_request.pool, now)) {
        return base::fail(ErrorKind::Overloaded, "the retry budget of the pool is used up; try again later", m_context.options.retryAfter);
    }
    const std::lock_guard placerLock(m_placerMutex);
    return m_placer.place(placement);
}

// Reserves a thread before the placement: a hedge that can't run at once is not placed.
// recordActions() has counted it.
void OpenRequest::startHedge()
{
    const auto end = [self = shared_from_this()] {
        const std::lock_guard lock(self->m_mutex);
        --self->m_hedgesRunning;
        self->m_changed.notify_all();
    };
    const bool isTaken = m_context.tryRunHedge([self = shared_from_this(), end] {
        self->place(AttemptPurpose::Hedge);
        end();
    });
    if (!isTaken) {
        handle([this](base::TimePoint now, Actions &out) {
            m_assembler.notPlaced(AttemptPurpose::Hedge, base::fail(ErrorKind::Overloaded, "no thread is free for a hedge"), now, out);
        });
        end();
    }
}

void OpenRequest::runAttempt(const Action &action)
{
    std::string generated;
    EngineRequest request;
    {
        const std::lock_guard lock(m_mutex);
        if (contains(m_cancelled, action.attempt)) {
            return;
        }
        m_running.push_back(action.attempt);
        request = engineRequest(action, generated);
    }
    AttemptListener listener(*this, action.attempt);
    m_context.connection.run(request, listener);
    {
        const std::lock_guard lock(m_mutex);
        m_running.erase(std::find(m_running.begin(), m_running.end(), action.attempt));
    }
    m_changed.notify_all();
    listener.onReturned();
}

// Makes the request of a run. `generated` stores the text that the request refers to.
EngineRequest OpenRequest::engineRequest(const Action &action, std::string &generated) const
{
    const AttemptPlan &plan = *m_assembler.plan(action.attempt);
    const auto now = m_context.clock.now();
    EngineRequest request{.attempt = action.attempt,
                          .requestId = m_request.requestId,
                          .upstream = plan.upstream,
                          .endpoint = plan.endpoint,
                          .model = m_request.model,
                          .salt = plan.salt,
                          .trafficClass = m_request.trafficClass,
                          .prompt = m_request.prompt,
                          .maxTokens = m_request.maxTokens,
                          .continuation = std::nullopt,
                          .resumeFrom = std::nullopt,
                          .timeout = m_request.firstTokenDeadline - now};
    if (m_assembler.delivered() > 0) {
        request.timeout = std::min(m_context.options.idleTimeout, m_request.deadline - now);
    }
    if (action.kind == ActionKind::Resume) {
        request.resumeFrom = action.index;
    } else if (action.purpose == AttemptPurpose::Continue) {
        generated = m_assembler.deliveredText();
        request.continuation = Continuation{.firstIndex = action.index, .generated = generated};
    }
    return request;
}

void OpenRequest::endAnswer()
{
    Action end;
    {
        const std::lock_guard lock(m_mutex);
        end = *m_end;
        if (end.kind == ActionKind::Finish) {
            m_report.done = m_done;
        } else {
            m_report.error = end.error;
        }
    }
    if (end.kind == ActionKind::Finish) {
        m_sink.finish(*m_report.done);
    } else {
        m_sink.abort(*m_report.error);
    }
}

} // namespace carawaylatch::relay
