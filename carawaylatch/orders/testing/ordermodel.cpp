// Transitions of the order model. Each copies the model, applies one event and passes
// the result to the state machine or update concerned.
#include "carawaylatch/orders/testing/ordermodel.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace carawaylatch::orders::testing
{

using base::ErrorKind;

namespace
{

constexpr base::TimePoint Now{base::hours{1}};
constexpr base::TimePoint Deadline = Now + base::seconds{30};
constexpr int AnswerBase = 200; // the service answers with AnswerBase + index of the request that ran

OrderStateMachineSettings modelSettings()
{
    OrderStateMachineSettings settings;
    settings.initialPollInterval = base::milliseconds{1};
    settings.maxPollInterval = base::milliseconds{1};
    settings.maxWait = base::milliseconds{3};
    settings.maxSends = 2;
    settings.maxResolveTries = 3;
    return settings;
}

base::Error error(ErrorKind kind)
{
    return base::fail(kind, "fault");
}

void append(std::ostream &out, const OrderRecord &record)
{
    out << static_cast<int>(record.state) << ',' << record.claimant.router << ',' << record.claimant.incarnation << ',' << record.claimant.attempt << ','
        << record.answer.status << ';';
}

void append(std::ostream &out, const OrderStateMachineState &state)
{
    out << static_cast<int>(state.step) << ',' << (state.claim ? state.claim->value : 0) << ',' << state.expected << ',' << state.mayHaveClaimed
        << state.mayHaveRun << ',' << state.sends << ',' << state.tries << ',' << state.pause.count() << ',' << state.waitUntil.has_value() << ';';
}

void append(std::ostream &out, const std::optional<PendingUpdate> &pendingUpdate)
{
    if (pendingUpdate) {
        const PendingUpdateState &state = pendingUpdate->state();
        out << static_cast<int>(pendingUpdate->kind()) << static_cast<int>(state.step) << ',' << state.expected << ',' << state.mayHaveWritten
            << pendingUpdate->holdsClaim();
        append(out, pendingUpdate->record());
    }
    out << '|';
}

} // namespace

OrderModel::OrderModel(const std::vector<int> &routers, ModelLimits limits)
    : m_remaining(limits)
{
    for (const int router : routers) {
        ModelRequest request;
        request.router = router;
        m_requests.push_back(std::move(request));
    }
}

bool OrderModel::hasRun() const
{
    return !m_runs.empty();
}

std::string OrderModel::key() const
{
    std::ostringstream out;
    for (const ModelRequest &it : m_requests) {
        out << static_cast<int>(it.phase) << ',' << it.seenAtArrival << ',';
        if (it.phase == RequestPhase::Active) {
            append(out, it.stateMachine->state());
            out << static_cast<int>(it.action.kind) << ',' << it.action.expected << ',';
            append(out, it.action.record);
        }
        out << (it.answer ? static_cast<int>(it.answer->kind) : -1) << ',' << (it.answer ? it.answer->answer.status : 0) << '|';
    }
    for (const ModelRouter &it : m_routers) {
        out << it.incarnation << ',' << it.seenReopened << ',';
        append(out, it.pendingUpdate);
    }
    out << m_remaining.faults << ',' << m_remaining.crashes << ',' << m_remaining.prunes << ',' << m_remaining.epochWrites << ',' << m_lastVersion << ','
        << m_isClosed << '|';
    if (m_record) {
        out << m_record->version << ',';
        append(out, m_record->record);
    }
    for (const DelayedWrite &it : m_delayed) {
        out << 'w' << it.expected << ',';
        append(out, it.record);
    }
    for (const std::size_t it : m_delayedRuns) {
        out << 's' << it;
    }
    for (const std::size_t it : m_runs) {
        out << 'r' << it;
    }
    out << '|' << m_received << ',' << m_mustNotRun;
    return out.str();
}

std::string OrderModel::violation() const
{
    if (m_runs.size() > 1) {
        return "the order ran twice";
    }
    for (const std::size_t it : m_runs) {
        if ((m_mustNotRun & (1U << it)) != 0) {
            return "a request ran that by an earlier answer must not run";
        }
    }
    const int expected = m_runs.empty() ? -1 : AnswerBase + static_cast<int>(m_runs.front());
    for (const ModelRequest &it : m_requests) {
        if (it.answer && it.answer->kind == OrderAnswerKind::Done && it.answer->answer.status != expected) {
            return "a Done answer is not that of the run";
        }
    }
    if (m_record && m_record->record.state == RecordState::Done && m_record->record.answer.status != expected) {
        return "the record is not that of the run";
    }
    return {};
}

OrderModel::Transitions OrderModel::transitions() const
{
    Transitions transitions;
    addArrivals(transitions);
    addRequestSteps(transitions);
    addPendingUpdateSteps(transitions);
    addPlatformSteps(transitions);
    addCrashes(transitions);
    return transitions;
}

std::optional<std::size_t> OrderModel::activeAt(int router) const
{
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        if (m_requests[i].router == router && m_requests[i].phase == RequestPhase::Active) {
            return i;
        }
    }
    return std::nullopt;
}

void OrderModel::addArrivals(Transitions &transitions) const
{
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        const ModelRequest &request = m_requests[i];
        const std::string name = "request " + std::to_string(i);
        if (request.phase == RequestPhase::NotArrived) {
            OrderModel next = *this;
            next.arrive(i);
            transitions.push_back({name + " arrives at router " + std::to_string(request.router), std::move(next)});
        }
        if (request.phase == RequestPhase::WaitingForFirst && !activeAt(request.router)) {
            OrderModel next = *this;
            const auto &pendingUpdate = m_routers[request.router].pendingUpdate;
            next.deliverAnswer(i, pendingUpdate ? answerDuplicate(*pendingUpdate, PendingUpdatePhase::Idle, 0, modelSettings()) : retryLaterRefusal({}));
            transitions.push_back({name + " is answered after the first one", std::move(next)});
        }
    }
}

// As in OrderExecutor: answers from a pending update, else waits for a running request.
void OrderModel::arrive(std::size_t index)
{
    ModelRequest &request = m_requests[index];
    const ModelRouter &router = m_routers[request.router];
    m_received |= 1U << index;
    request.seenAtArrival = router.seenReopened;
    if (router.pendingUpdate) {
        deliverAnswer(index, answerDuplicate(*router.pendingUpdate, PendingUpdatePhase::Idle, 0, modelSettings()));
        return;
    }
    if (activeAt(request.router)) {
        request.phase = RequestPhase::WaitingForFirst;
        return;
    }
    OrderStateMachineRequest stateMachineRequest;
    stateMachineRequest.self = Claimant{base::RouterId(std::to_string(request.router)), base::Incarnation{router.incarnation}, base::AttemptId{index + 1}};
    stateMachineRequest.deadline = Deadline;
    request.phase = RequestPhase::Active;
    request.stateMachine.emplace(stateMachineRequest, modelSettings());
    applyAction(index, request.stateMachine->onStart(Now));
}

void OrderModel::applyAction(std::size_t index, OrderAction action)
{
    ModelRequest &request = m_requests[index];
    if (action.kind != OrderActionKind::Answer) {
        request.action = std::move(action);
        return;
    }
    if (action.pendingUpdate) {
        m_routers[request.router].pendingUpdate = std::move(action.pendingUpdate);
    }
    deliverAnswer(index, action.answer);
}

void OrderModel::deliverAnswer(std::size_t index, const OrderAnswer &answer)
{
    ModelRequest &request = m_requests[index];
    request.phase = RequestPhase::Answered;
    request.stateMachine.reset();
    request.action = {};
    request.answer = answer;
    if (answer.kind == OrderAnswerKind::NotRun) {
        m_mustNotRun |= m_received;
    }
    if (answer.execution == ExecutionStatus::NotRun) {
        m_mustNotRun |= 1U << index;
    }
}

ClaimantLiveness OrderModel::livenessOf(const Claimant &claimant) const
{
    const ModelRouter &router = m_routers[claimant.router.value() == "0" ? 0 : 1];
    const bool isLive = router.incarnation == claimant.incarnation.value;
    return isLive != m_remaining.isLivenessWrong ? ClaimantLiveness::Live : ClaimantLiveness::Gone;
}

base::Result<VersionedRecord> OrderModel::readRecord() const
{
    if (m_isClosed && (!m_record || m_record->record.state == RecordState::Claimed)) {
        return error(ErrorKind::StaleState);
    }
    if (!m_record) {
        return error(ErrorKind::NotFound);
    }
    return *m_record;
}

base::Result<store::Version> OrderModel::writeRecord(const OrderRecord &record, store::Version expected)
{
    if ((m_record ? m_record->version : store::Version{}) != expected) {
        return error(ErrorKind::Conflict);
    }
    m_record = VersionedRecord{record, store::Version{++m_lastVersion}};
    if (m_isClosed && record.state == RecordState::Claimed) {
        return error(ErrorKind::StaleState);
    }
    return m_record->version;
}

OrderAction OrderModel::read(std::size_t index, const base::Result<VersionedRecord> &result)
{
    ModelRequest &request = m_requests[index];
    auto seen = ReopenedSeen::NotBefore;
    auto claimantLiveness = ClaimantLiveness::Unknown;
    if (result && result.value().record.state == RecordState::Reopened) {
        seen = request.seenAtArrival == result.value().version ? ReopenedSeen::Before : ReopenedSeen::NotBefore;
        m_routers[request.router].seenReopened = result.value().version;
    }
    if (result && result.value().record.state == RecordState::Claimed) {
        claimantLiveness = livenessOf(result.value().record.claimant);
    }
    return request.stateMachine->onRead(Now, result, seen, claimantLiveness);
}

void OrderModel::addRequestSteps(Transitions &transitions) const
{
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        if (m_requests[i].phase != RequestPhase::Active) {
            continue;
        }
        const std::string name = "request " + std::to_string(i);
        switch (m_requests[i].action.kind) {
        case OrderActionKind::WriteRecord:
            addWrite(transitions, i);
            break;
        case OrderActionKind::Send:
            addSend(transitions, i);
            break;
        case OrderActionKind::ReadRecord: {
            OrderModel next = *this;
            next.applyAction(i, next.read(i, readRecord()));
            transitions.push_back({name + " reads the record", std::move(next)});
            if (m_remaining.faults > 0) {
                OrderModel failed = *this;
                --failed.m_remaining.faults;
                failed.applyAction(i, failed.read(i, error(ErrorKind::Unavailable)));
                transitions.push_back({name + " can't read", std::move(failed)});
            }
            break;
        }
        case OrderActionKind::Pause: {
            OrderModel next = *this;
            next.applyAction(i, next.m_requests[i].stateMachine->onPauseOver(Now));
            transitions.push_back({name + " ends its pause", std::move(next)});
            break;
        }
        case OrderActionKind::Answer:
            break;
        }
    }
}

void OrderModel::addWrite(Transitions &transitions, std::size_t index) const
{
    const std::string name = "request " + std::to_string(index) + " writes";
    const OrderAction &action = m_requests[index].action;
    for (const base::TimePoint now : {Now, Deadline}) {
        OrderModel next = *this;
        const auto result = next.writeRecord(action.record, action.expected);
        next.applyAction(index, next.m_requests[index].stateMachine->onWritten(now, result));
        transitions.push_back({name + (now == Deadline ? ", answered after the deadline" : ""), std::move(next)});
    }
    if (m_remaining.faults == 0) {
        return;
    }
    enum class Fault {
        Unreachable,
        AnswerLost,
        Delayed,
    };
    for (const Fault fault : {Fault::Unreachable, Fault::AnswerLost, Fault::Delayed}) {
        OrderModel next = *this;
        --next.m_remaining.faults;
        if (fault == Fault::AnswerLost) {
            (void)next.writeRecord(action.record, action.expected);
        } else if (fault == Fault::Delayed) {
            next.m_delayed.push_back(DelayedWrite{action.record, action.expected});
        }
        const auto kind = fault == Fault::Unreachable ? ErrorKind::Unavailable : ErrorKind::Unclear;
        next.applyAction(index, next.m_requests[index].stateMachine->onWritten(Now, error(kind)));
        transitions.push_back({name
                                   + (fault == Fault::Unreachable  ? ": unreachable"
                                      : fault == Fault::AnswerLost ? ": answer lost"
                                                                   : ": delayed"),
                               std::move(next)});
    }
}

void OrderModel::run(std::size_t index)
{
    m_runs.push_back(index);
}

void OrderModel::addSend(Transitions &transitions, std::size_t index) const
{
    const std::string name = "request " + std::to_string(index) + " sends";
    ServiceAnswer answer;
    answer.status = AnswerBase + static_cast<int>(index);
    answer.attempt = base::AttemptId{index + 1};
    OrderModel done = *this;
    done.run(index);
    done.applyAction(index, done.m_requests[index].stateMachine->onSent(Now, answer));
    transitions.push_back({name + ": ran", std::move(done)});
    if (m_remaining.faults == 0) {
        return;
    }
    enum class Fault {
        Refused,
        RanAnswerLost,
        WrongAttempt,
        Delayed,
        Lost,
    };
    for (const Fault fault : {Fault::Refused, Fault::RanAnswerLost, Fault::WrongAttempt, Fault::Delayed, Fault::Lost}) {
        OrderModel next = *this;
        --next.m_remaining.faults;
        base::Result<ServiceAnswer> result = error(fault == Fault::Refused ? ErrorKind::Overloaded : ErrorKind::Truncated);
        if (fault == Fault::RanAnswerLost) {
            next.run(index);
        } else if (fault == Fault::Delayed) {
            next.m_delayedRuns.push_back(index);
        } else if (fault == Fault::WrongAttempt) {
            next.run(index);
            result = ServiceAnswer{AnswerBase + 99, {}, {}, base::AttemptId{99}, {}};
        }
        next.applyAction(index, next.m_requests[index].stateMachine->onSent(Now, result));
        transitions.push_back({name + ": fault " + std::to_string(static_cast<int>(fault)), std::move(next)});
    }
}

void OrderModel::finishPendingUpdate(int index)
{
    ModelRouter &router = m_routers[index];
    if (router.pendingUpdate->state().reopened) {
        router.seenReopened = *router.pendingUpdate->state().reopened;
    }
    if (router.pendingUpdate->state().step == PendingUpdateStep::Finished) {
        router.pendingUpdate.reset();
    }
}

void OrderModel::addPendingUpdateSteps(Transitions &transitions) const
{
    for (int i = 0; i < 2; ++i) {
        if (!m_routers[i].pendingUpdate) {
            continue;
        }
        const std::string name = "pending update of router " + std::to_string(i);
        const PendingUpdate &pendingUpdate = *m_routers[i].pendingUpdate;
        if (pendingUpdate.state().step == PendingUpdateStep::Reading) {
            OrderModel next = *this;
            next.m_routers[i].pendingUpdate->onRead(readRecord());
            next.finishPendingUpdate(i);
            transitions.push_back({name + " reads", std::move(next)});
            continue;
        }
        OrderModel next = *this;
        next.m_routers[i].pendingUpdate->onWritten(next.writeRecord(pendingUpdate.record(), pendingUpdate.state().expected));
        next.finishPendingUpdate(i);
        transitions.push_back({name + " writes", std::move(next)});
        if (m_remaining.faults > 0) {
            OrderModel lost = *this;
            --lost.m_remaining.faults;
            (void)lost.writeRecord(pendingUpdate.record(), pendingUpdate.state().expected);
            lost.m_routers[i].pendingUpdate->onWritten(error(ErrorKind::Unclear));
            transitions.push_back({name + " writes: answer lost", std::move(lost)});
            OrderModel delayed = *this;
            --delayed.m_remaining.faults;
            delayed.m_delayed.push_back(DelayedWrite{pendingUpdate.record(), pendingUpdate.state().expected});
            delayed.m_routers[i].pendingUpdate->onWritten(error(ErrorKind::Unclear));
            transitions.push_back({name + " writes: delayed", std::move(delayed)});
        }
    }
}

void OrderModel::addPlatformSteps(Transitions &transitions) const
{
    for (std::size_t i = 0; i < m_delayed.size(); ++i) {
        OrderModel next = *this;
        (void)next.writeRecord(m_delayed[i].record, m_delayed[i].expected);
        next.m_delayed.erase(next.m_delayed.begin() + static_cast<std::ptrdiff_t>(i));
        transitions.push_back({"a delayed write arrives", std::move(next)});
    }
    for (std::size_t i = 0; i < m_delayedRuns.size(); ++i) {
        OrderModel next = *this;
        next.run(m_delayedRuns[i]);
        next.m_delayedRuns.erase(next.m_delayedRuns.begin() + static_cast<std::ptrdiff_t>(i));
        transitions.push_back({"a delayed order reaches the service", std::move(next)});
    }
    if (m_remaining.epochWrites > 0 && m_record) {
        OrderModel next = *this;
        --next.m_remaining.epochWrites;
        next.m_record->version.value = ++next.m_lastVersion;
        transitions.push_back({"the pruner sets the epoch of the record", std::move(next)});
    }
    if (m_remaining.prunes > 0 && m_record && !m_isClosed) {
        OrderModel next = *this;
        next.m_isClosed = true;
        transitions.push_back({"the key is closed", std::move(next)});
    }
    if (m_remaining.prunes > 0 && m_record && m_isClosed) {
        OrderModel next = *this;
        --next.m_remaining.prunes;
        next.m_record.reset();
        transitions.push_back({"the record is pruned", std::move(next)});
    }
}

void OrderModel::addCrashes(Transitions &transitions) const
{
    for (int i = 0; i < 2 && m_remaining.crashes > 0; ++i) {
        OrderModel next = *this;
        next.crash(i);
        transitions.push_back({"router " + std::to_string(i) + " restarts", std::move(next)});
    }
}

// A write or a send in progress may or may not take effect: it becomes a delayed one,
// and exploration includes that it never arrives.
void OrderModel::crash(int index)
{
    --m_remaining.crashes;
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        ModelRequest &request = m_requests[i];
        if (request.router != index || (request.phase != RequestPhase::Active && request.phase != RequestPhase::WaitingForFirst)) {
            continue;
        }
        if (request.phase == RequestPhase::Active && request.action.kind == OrderActionKind::Send) {
            m_delayedRuns.push_back(i);
        } else if (request.phase == RequestPhase::Active && request.action.kind == OrderActionKind::WriteRecord) {
            m_delayed.push_back(DelayedWrite{request.action.record, request.action.expected});
        }
        request.phase = RequestPhase::RouterCrashed;
        request.stateMachine.reset();
        request.action = {};
    }
    m_routers[index] = ModelRouter{m_routers[index].incarnation + 1, {}, {}};
}

} // namespace carawaylatch::orders::testing
