// Carries the guard's actions out on traffic threads and keeps what outlives an
// answer: the first run of each order, duties, and reopenings that were seen.
//
// Per order at most one guard runs at a time in one router. A later request for
// the same order takes the first one's answer, or is answered from the duty that
// the first one left behind. NotRun is repeated to it only while that duty has
// not begun to reopen the claim, looked up under the lock, since afterwards a
// newer request may already run elsewhere.
//
// Whether a request arrived before or after a reopening was seen is told by a
// count of arrivals, not by a clock.
#include "carawaylatch/orders/orderdesk.h"

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

// An order under way at this router.
struct OrderDesk::Running
{
    std::uint64_t digest = 0;
    std::condition_variable changed;
    std::optional<OrderAnswer> answer; // guarded by the desk's mutex
};

struct OrderDesk::Duty
{
    OrderDuty machine;
    base::TimePoint dueAt;
    bool isUnderWay = false; // step() works on a copy of the machine
};

// One request on its way through the guard; belongs to its thread.
struct OrderDesk::Try
{
    OrderId order;
    const OrderRequest &request;
    ServiceConnection &connection;
    UpstreamChooser &chooser;
    std::uint64_t arrival;
    base::AttemptId attempt;
    OrderGuard guard;
    std::vector<base::UpstreamId> refused;
};

OrderDesk::OrderDesk(base::RouterId router, base::Incarnation incarnation, ClaimStore &store, const RouterLiveness &liveness, const base::Clock &clock,
                     DeskSettings settings)
    : m_router(std::move(router))
    , m_incarnation(incarnation)
    , m_store(store)
    , m_liveness(liveness)
    , m_clock(clock)
    , m_settings(std::move(settings))
{
}

OrderDesk::~OrderDesk() = default;

void OrderDesk::setEpoch(std::uint64_t epoch)
{
    m_epoch = epoch;
}

DeskCounters OrderDesk::counters() const
{
    const std::lock_guard lock(m_mutex);
    DeskCounters counters = m_counters;
    counters.duties = m_duties.size();
    return counters;
}

OrderAnswer OrderDesk::run(const OrderRequest &request, ServiceConnection &connection, UpstreamChooser &chooser)
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
    const auto running = std::make_shared<Running>();
    running->digest = digest;
    m_running[order] = running;
    const base::AttemptId attempt{base::combineHashes(m_incarnation.value, ++m_attempts)};
    lock.unlock();

    const GuardRequest guardRequest{Claimant{m_router, m_incarnation, attempt}, digest, m_epoch, request.deadline};
    Try current{order, request, connection, chooser, arrival, attempt, OrderGuard(guardRequest, m_settings.guard), {}};
    OrderAction last = drive(current);

    lock.lock();
    if (last.duty) {
        const bool isReopen = last.duty->kind() == DutyKind::Reopen;
        const base::Duration delay = isReopen ? last.answer.error.retryAfter / 2 : base::Duration{};
        m_duties.insert_or_assign(order, Duty{std::move(*last.duty), m_clock.now() + delay});
    }
    m_running.erase(order);
    running->answer = last.answer;
    running->changed.notify_all();
    count(last.answer);
    return last.answer;
}

// Returns an answer if this request must not or need not run a guard of its own.
std::optional<OrderAnswer> OrderDesk::answerWithoutRun(Lock &lock, const OrderId &order, const OrderRequest &request, std::uint64_t digest)
{
    if (auto answer = answerFromDuty(order, digest)) {
        return answer;
    }
    if (const auto it = m_running.find(order); it != m_running.end()) {
        return waitForFirst(lock, it->second, order, request, digest);
    }
    const bool isFull = m_running.size() >= m_settings.maxRunning || m_duties.size() >= m_settings.maxDuties;
    if (isFull != m_isFull) {
        m_isFull = isFull;
        base::logEvent(isFull ? base::LogEvent::OrderTableFull : base::LogEvent::OrderTableFree,
                       {{"running", std::to_string(m_running.size())}, {"duties", std::to_string(m_duties.size())}});
    }
    if (isFull) {
        return refusal(OrderAnswerKind::Unknown, base::fail(ErrorKind::Overloaded,
                                                            "this request did not run the order, as too many orders are under way; send it again with the "
                                                            "same key after retry_after_ms",
                                                            m_settings.guard.retryAfter));
    }
    return std::nullopt;
}

OrderAnswer OrderDesk::waitForFirst(Lock &lock, std::shared_ptr<Running> first, const OrderId &order, const OrderRequest &request, std::uint64_t digest)
{
    if (first->digest != digest) {
        return otherRequestRefusal();
    }
    const base::Duration wait = std::min<base::Duration>(request.deadline - m_clock.now(), m_settings.guard.longestWait);
    const bool isAnswered = first->changed.wait_for(lock, wait, [&first] {
        return first->answer.has_value();
    });
    if (!isAnswered) {
        return refusal(OrderAnswerKind::Running, base::fail(ErrorKind::Conflict,
                                                            "another request for the order has not ended; send it again with the same key after "
                                                            "retry_after_ms",
                                                            m_settings.guard.retryAfter));
    }
    if (first->answer->kind == OrderAnswerKind::NotRun) {
        return answerFromDuty(order, digest).value_or(comeBackRefusal(m_settings.guard.firstPause));
    }
    OrderAnswer answer = *first->answer;
    answer.attempt = AttemptFate::NotRun;
    return answer;
}

std::optional<OrderAnswer> OrderDesk::answerFromDuty(const OrderId &order, std::uint64_t digest) const
{
    const auto it = m_duties.find(order);
    if (it == m_duties.end()) {
        return std::nullopt;
    }
    return answerDuplicate(it->second.machine, it->second.isUnderWay ? DutyPhase::UnderWay : DutyPhase::Resting, digest, m_settings.guard);
}

OrderAction OrderDesk::drive(Try &attempt)
{
    OrderAction action = attempt.guard.onStart(m_clock.now());
    while (action.kind != OrderActionKind::Answer) {
        switch (action.kind) {
        case OrderActionKind::ReadRecord:
            action = readRecord(attempt);
            break;
        case OrderActionKind::WriteRecord: {
            const auto result = m_store.write(attempt.order, action.record, action.expected);
            action = attempt.guard.onWritten(m_clock.now(), result);
            break;
        }
        case OrderActionKind::Send:
            action = sendOnce(attempt);
            break;
        case OrderActionKind::Pause:
            if (m_settings.sleep) {
                m_settings.sleep(action.pause);
            } else {
                std::this_thread::sleep_for(action.pause);
            }
            action = attempt.guard.onPauseOver(m_clock.now());
            break;
        case OrderActionKind::Answer:
            break;
        }
    }
    return action;
}

OrderAction OrderDesk::readRecord(Try &attempt)
{
    const auto result = m_store.read(attempt.order);
    auto seen = ReopenedSeen::NotBefore;
    auto life = ClaimantLife::Unsure;
    if (result && result.value().record.state == RecordState::Reopened) {
        seen = reopenedSeen(attempt.order, result.value().version, attempt.arrival);
    }
    if (result && result.value().record.state == RecordState::Claimed) {
        life = lifeOf(result.value().record.claimant);
    }
    return attempt.guard.onRead(m_clock.now(), result, seen, life);
}

OrderAction OrderDesk::sendOnce(Try &attempt)
{
    const auto chosen = attempt.chooser.choose(attempt.refused);
    if (!chosen) {
        return attempt.guard.onNoUpstream(m_clock.now(), chosen.error());
    }
    ServiceRequest request = attempt.request.service;
    request.upstream = chosen.value().upstream;
    request.endpoint = chosen.value().endpoint;
    request.attempt = attempt.attempt;
    request.orderKey = attempt.order.path();
    request.timeout = attempt.request.deadline - m_clock.now();
    attempt.refused.push_back(request.upstream);
    const auto result = attempt.connection.call(request);
    return attempt.guard.onSent(m_clock.now(), result);
}

ClaimantLife OrderDesk::lifeOf(const Claimant &claimant) const
{
    if (claimant.router == m_router) {
        return claimant.incarnation == m_incarnation ? ClaimantLife::Live : ClaimantLife::Gone;
    }
    return m_liveness.life(claimant.router, claimant.incarnation);
}

ReopenedSeen OrderDesk::reopenedSeen(const OrderId &order, store::Version version, std::uint64_t arrival)
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
void OrderDesk::noteReopened(const OrderId &order, store::Version version)
{
    if (!m_seenReopened.contains(order)) {
        if (m_seenOrder.size() >= m_settings.maxSeenReopened) {
            m_seenReopened.erase(m_seenOrder.front());
            m_seenOrder.pop_front();
        }
        m_seenOrder.push_back(order);
    }
    m_seenReopened[order] = Seen{version, m_arrivals};
}

void OrderDesk::step()
{
    workOff(DutyTiming::Due);
}

bool OrderDesk::flush()
{
    workOff(DutyTiming::All);
    const std::lock_guard lock(m_mutex);
    return m_duties.empty();
}

void OrderDesk::workOff(DutyTiming timing)
{
    Lock lock(m_mutex);
    const base::TimePoint now = m_clock.now();
    std::vector<OrderId> due;
    for (const auto &[order, duty] : m_duties) {
        if (timing == DutyTiming::All || (duty.dueAt <= now && due.size() < m_settings.maxDutiesPerStep)) {
            due.push_back(order);
        }
    }
    for (const OrderId &order : due) {
        Duty &duty = m_duties.at(order); // only this function erases duties
        duty.isUnderWay = true;
        OrderDuty machine = duty.machine;
        lock.unlock();
        carryOut(order, machine);
        lock.lock();
        if (machine.state().reopened) {
            noteReopened(order, *machine.state().reopened);
        }
        if (machine.state().step == DutyStep::Finished) {
            m_duties.erase(order);
            continue;
        }
        duty = Duty{std::move(machine), m_clock.now() + m_settings.dutyRetry};
    }
}

// Goes on until the duty is finished or the platform does not help on.
void OrderDesk::carryOut(const OrderId &order, OrderDuty &machine)
{
    constexpr int MaxCalls = 4; // write, read back, write, read back
    for (int i = 0; i < MaxCalls && machine.state().step != DutyStep::Finished; ++i) {
        const DutyState before = machine.state();
        if (before.step == DutyStep::Writing) {
            machine.onWritten(m_store.write(order, machine.record(), before.expected));
        } else {
            machine.onRead(m_store.read(order));
        }
        if (machine.state() == before) {
            return;
        }
    }
}

// The caller holds m_mutex.
void OrderDesk::count(const OrderAnswer &answer)
{
    switch (answer.kind) {
    case OrderAnswerKind::Done:
        ++(answer.attempt == AttemptFate::Ran ? m_counters.done : m_counters.replayed);
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
