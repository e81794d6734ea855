// Carries out the actions of OrderStateMachine on traffic threads and keeps the
// state that outlives an answer: the running orders, pending updates, and the
// reopened records seen.
//
// At most one state machine runs per order at one router. A later request for the
// same order gets the answer of the first one, or is answered from the pending
// update of the first one. NotRun is repeated only while that update has not begun
// to reopen the claim, which is checked under the lock, since afterwards a newer
// request may already run elsewhere.
//
// Requests are numbered on arrival. The number tells whether a request arrived
// before or after this router saw a reopened record, independent of any clock.
#include "carawaylatch/orders/orderexecutor.h"

#include <algorithm>
#include <condition_variable>
#include <thread>
#include <utility>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/logevents.h"
#include "carawaylatch/orders/duplicates.h"

namespace carawaylatch::orders
{

using base::ErrorKind;

namespace
{

std::optional<base::Error> checkKey(const OrderRequest &request)
{
    if (request.key.empty()) {
        return base::fail(ErrorKind::InvalidArgument, "a call that may run at most once needs an Idempotency-Key header");
    }
    if (request.key.size() > MaxKeyBytes) {
        return base::fail(ErrorKind::InvalidArgument, "Idempotency-Key is longer than 200 bytes; use a shorter key");
    }
    return std::nullopt;
}

} // namespace

// An order in progress at this router.
struct OrderExecutor::RunningOrder
{
    std::uint64_t digest = 0;
    std::condition_variable changed;
    std::optional<OrderAnswer> answer; // guarded by m_mutex of the executor
};

struct OrderExecutor::ScheduledUpdate
{
    PendingUpdate update;
    base::TimePoint dueAt;
    bool isInProgress = false; // step() works on a copy of the update
};

// State of one request that runs a state machine; used by its thread only.
struct OrderExecutor::RequestContext
{
    OrderId order;
    const OrderRequest &request;
    ServiceConnection &connection;
    UpstreamChooser &chooser;
    std::uint64_t arrival;
    base::AttemptId attempt;
    OrderStateMachine stateMachine;
    std::vector<base::UpstreamId> refused;
};

OrderExecutor::OrderExecutor(base::RouterId router, base::Incarnation incarnation, OrderRecordStore &store, const RouterLiveness &liveness,
                             const base::Clock &clock, OrderExecutorSettings settings)
    : m_router(std::move(router))
    , m_incarnation(incarnation)
    , m_store(store)
    , m_liveness(liveness)
    , m_clock(clock)
    , m_settings(std::move(settings))
{
}

OrderExecutor::~OrderExecutor() = default;

void OrderExecutor::setEpoch(std::uint64_t epoch)
{
    m_epoch = epoch;
}

OrderExecutorCounters OrderExecutor::counters() const
{
    const std::lock_guard lock(m_mutex);
    OrderExecutorCounters counters = m_counters;
    counters.pendingUpdates = m_pendingUpdates.size();
    return counters;
}

OrderAnswer OrderExecutor::run(const OrderRequest &request, ServiceConnection &connection, UpstreamChooser &chooser)
{
    if (auto error = checkKey(request)) {
        return refusal(OrderAnswerKind::Refused, std::move(*error));
    }
    const OrderId order{request.customer, request.key};
    const std::uint64_t digest = requestDigest(request.service.method, request.service.path, request.service.contentType, request.service.body);

    Lock lock(m_mutex);
    const std::uint64_t arrival = ++m_arrivals;
    if (auto answer = answerWithoutRun(lock, order, request, digest)) {
        count(*answer);
        return *answer;
    }
    const auto running = std::make_shared<RunningOrder>();
    running->digest = digest;
    m_running[order] = running;
    const base::AttemptId attempt{base::combineHashes(m_incarnation.value, ++m_attempts)};
    lock.unlock();

    const OrderStateMachineRequest stateMachineRequest{Claimant{m_router, m_incarnation, attempt}, digest, m_epoch, request.deadline};
    RequestContext context{order, request, connection, chooser, arrival, attempt, OrderStateMachine(stateMachineRequest, m_settings.stateMachine), {}};
    OrderAction last = runToAnswer(context);

    lock.lock();
    if (last.pendingUpdate) {
        const bool isReopen = last.pendingUpdate->kind() == PendingUpdateKind::Reopen;
        const base::Duration delay = isReopen ? last.answer.error.retryAfter / 2 : base::Duration{};
        m_pendingUpdates.insert_or_assign(order, ScheduledUpdate{std::move(*last.pendingUpdate), m_clock.now() + delay});
    }
    m_running.erase(order);
    running->answer = last.answer;
    running->changed.notify_all();
    count(last.answer);
    return last.answer;
}

// Returns an answer if this request must not or need not run a state machine of its own.
std::optional<OrderAnswer> OrderExecutor::answerWithoutRun(Lock &lock, const OrderId &order, const OrderRequest &request, std::uint64_t digest)
{
    if (auto answer = answerFromPendingUpdate(order, digest)) {
        return answer;
    }
    if (const auto it = m_running.find(order); it != m_running.end()) {
        return waitForFirst(lock, it->second, order, request, digest);
    }
    const bool isFull = m_running.size() >= m_settings.maxRunning || m_pendingUpdates.size() >= m_settings.maxPendingUpdates;
    if (isFull != m_isFull) {
        m_isFull = isFull;
        base::logEvent(isFull ? base::LogEvent::OrderTableFull : base::LogEvent::OrderTableFree,
                       {{"running", std::to_string(m_running.size())}, {"duties", std::to_string(m_pendingUpdates.size())}});
    }
    if (isFull) {
        return refusal(OrderAnswerKind::Unknown, base::fail(ErrorKind::Overloaded,
                                                            "this request did not run the order, as too many orders are under way; send it again with the "
                                                            "same key after retry_after_ms",
                                                            m_settings.stateMachine.retryAfter));
    }
    return std::nullopt;
}

OrderAnswer OrderExecutor::waitForFirst(Lock &lock, std::shared_ptr<RunningOrder> first, const OrderId &order, const OrderRequest &request,
                                        std::uint64_t digest)
{
    if (first->digest != digest) {
        return keyReuseRefusal();
    }
    const base::Duration wait = std::min<base::Duration>(request.deadline - m_clock.now(), m_settings.stateMachine.maxWait);
    const bool isAnswered = first->changed.wait_for(lock, wait, [&first] {
        return first->answer.has_value();
    });
    if (!isAnswered) {
        return refusal(OrderAnswerKind::Running, base::fail(ErrorKind::Conflict,
                                                            "another request for the order has not ended; send it again with the same key after "
                                                            "retry_after_ms",
                                                            m_settings.stateMachine.retryAfter));
    }
    if (first->answer->kind == OrderAnswerKind::NotRun) {
        return answerFromPendingUpdate(order, digest).value_or(retryLaterRefusal(m_settings.stateMachine.initialPollInterval));
    }
    OrderAnswer answer = *first->answer;
    answer.execution = ExecutionStatus::NotRun;
    return answer;
}

std::optional<OrderAnswer> OrderExecutor::answerFromPendingUpdate(const OrderId &order, std::uint64_t digest) const
{
    const auto it = m_pendingUpdates.find(order);
    if (it == m_pendingUpdates.end()) {
        return std::nullopt;
    }
    return answerDuplicate(it->second.update, it->second.isInProgress ? PendingUpdatePhase::InProgress : PendingUpdatePhase::Idle, digest,
                           m_settings.stateMachine);
}

OrderAction OrderExecutor::runToAnswer(RequestContext &context)
{
    OrderAction action = context.stateMachine.onStart(m_clock.now());
    while (action.kind != OrderActionKind::Answer) {
        switch (action.kind) {
        case OrderActionKind::ReadRecord:
            action = readRecord(context);
            break;
        case OrderActionKind::WriteRecord: {
            const auto result = m_store.write(context.order, action.record, action.expected);
            action = context.stateMachine.onWritten(m_clock.now(), result);
            break;
        }
        case OrderActionKind::Send:
            action = sendOnce(context);
            break;
        case OrderActionKind::Pause:
            if (m_settings.sleep) {
                m_settings.sleep(action.pause);
            } else {
                std::this_thread::sleep_for(action.pause);
            }
            action = context.stateMachine.onPauseOver(m_clock.now());
            break;
        case OrderActionKind::Answer:
            break;
        }
    }
    return action;
}

OrderAction OrderExecutor::readRecord(RequestContext &context)
{
    const auto result = m_store.read(context.order);
    auto seen = ReopenedSeen::NotBefore;
    auto claimantLiveness = ClaimantLiveness::Unknown;
    if (result && result.value().record.state == RecordState::Reopened) {
        seen = reopenedSeen(context.order, result.value().version, context.arrival);
    }
    if (result && result.value().record.state == RecordState::Claimed) {
        claimantLiveness = livenessOf(result.value().record.claimant);
    }
    return context.stateMachine.onRead(m_clock.now(), result, seen, claimantLiveness);
}

OrderAction OrderExecutor::sendOnce(RequestContext &context)
{
    const auto chosen = context.chooser.choose(context.refused);
    if (!chosen) {
        return context.stateMachine.onNoUpstream(m_clock.now(), chosen.error());
    }
    ServiceRequest request = context.request.service;
    request.upstream = chosen.value().upstream;
    request.endpoint = chosen.value().endpoint;
    request.attempt = context.attempt;
    request.orderKey = context.order.path();
    request.timeout = context.request.deadline - m_clock.now();
    context.refused.push_back(request.upstream);
    const auto result = context.connection.call(request);
    return context.stateMachine.onSent(m_clock.now(), result);
}

ClaimantLiveness OrderExecutor::livenessOf(const Claimant &claimant) const
{
    if (claimant.router == m_router) {
        return claimant.incarnation == m_incarnation ? ClaimantLiveness::Live : ClaimantLiveness::Gone;
    }
    return m_liveness.livenessOf(claimant.router, claimant.incarnation);
}

ReopenedSeen OrderExecutor::reopenedSeen(const OrderId &order, store::Version version, std::uint64_t arrival)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_seenReopened.find(order);
    if (it != m_seenReopened.end() && it->second.version == version) {
        return arrival > it->second.afterArrival ? ReopenedSeen::Before : ReopenedSeen::NotBefore;
    }
    noteReopened(order, version);
    return ReopenedSeen::NotBefore;
}

// The caller holds m_mutex.
void OrderExecutor::noteReopened(const OrderId &order, store::Version version)
{
    if (!m_seenReopened.contains(order)) {
        if (m_seenReopenedQueue.size() >= m_settings.maxSeenReopened) {
            m_seenReopened.erase(m_seenReopenedQueue.front());
            m_seenReopenedQueue.pop_front();
        }
        m_seenReopenedQueue.push_back(order);
    }
    m_seenReopened[order] = SeenReopened{version, m_arrivals};
}

void OrderExecutor::step()
{
    processPendingUpdates(PendingUpdateSelection::Due);
}

bool OrderExecutor::flush()
{
    processPendingUpdates(PendingUpdateSelection::All);
    const std::lock_guard lock(m_mutex);
    return m_pendingUpdates.empty();
}

void OrderExecutor::processPendingUpdates(PendingUpdateSelection selection)
{
    Lock lock(m_mutex);
    const base::TimePoint now = m_clock.now();
    std::vector<OrderId> due;
    for (const auto &[order, pendingUpdate] : m_pendingUpdates) {
        if (selection == PendingUpdateSelection::All || (pendingUpdate.dueAt <= now && due.size() < m_settings.maxPendingUpdatesPerStep)) {
            due.push_back(order);
        }
    }
    for (const OrderId &order : due) {
        ScheduledUpdate &pendingUpdate = m_pendingUpdates.at(order); // only this function erases updates
        pendingUpdate.isInProgress = true;
        PendingUpdate update = pendingUpdate.update;
        lock.unlock();
        writePendingUpdate(order, update);
        lock.lock();
        if (update.state().reopened) {
            noteReopened(order, *update.state().reopened);
        }
        if (update.state().step == PendingUpdateStep::Finished) {
            m_pendingUpdates.erase(order);
            continue;
        }
        pendingUpdate = ScheduledUpdate{std::move(update), m_clock.now() + m_settings.pendingUpdateRetryInterval};
    }
}

// Continues until the update is finished or a call makes no progress.
void OrderExecutor::writePendingUpdate(const OrderId &order, PendingUpdate &update)
{
    constexpr int MaxCalls = 4; // write, read back, write, read back
    for (int i = 0; i < MaxCalls && update.state().step != PendingUpdateStep::Finished; ++i) {
        const PendingUpdateState before = update.state();
        if (before.step == PendingUpdateStep::Writing) {
            update.onWritten(m_store.write(order, update.record(), before.expected));
        } else {
            update.onRead(m_store.read(order));
        }
        if (update.state() == before) {
            return;
        }
    }
}

// The caller holds m_mutex.
void OrderExecutor::count(const OrderAnswer &answer)
{
    switch (answer.kind) {
    case OrderAnswerKind::Done:
        ++(answer.execution == ExecutionStatus::Ran ? m_counters.done : m_counters.replayed);
        break;
    case OrderAnswerKind::NotRun:
        ++m_counters.notRun;
        break;
    case OrderAnswerKind::Unknown:
        ++m_counters.unknown;
        break;
    case OrderAnswerKind::Running:
        ++m_counters.running;
        break;
    case OrderAnswerKind::Refused:
        ++m_counters.refused;
        break;
    }
}

} // namespace carawaylatch::orders
