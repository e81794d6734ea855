// Events of the order world. Each copies the world, lets one thing happen and
// hands the result to the guard concerned.
#include "carawaylatch/orders/testing/orderworld.h"

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
constexpr int AnswerBase = 200; // the service answers 200 + index of the request that ran

GuardSettings worldSettings()
{
    GuardSettings settings;
    settings.firstPause = base::milliseconds{1};
    settings.longestPause = base::milliseconds{1};
    settings.longestWait = base::milliseconds{3};
    settings.maxSends = 2;
    settings.maxSettlingTries = 3;
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

void append(std::ostream &out, const GuardState &state)
{
    out << static_cast<int>(state.step) << ',' << (state.claim ? state.claim->value : 0) << ',' << state.expected << ',' << state.mayHaveClaimed
        << state.mayHaveRun << ',' << state.sends << ',' << state.tries << ',' << state.pause.count() << ',' << state.waitUntil.has_value() << ';';
}

void append(std::ostream &out, const std::optional<OrderDuty> &duty)
{
    if (duty) {
        const DutyState &state = duty->state();
        out << static_cast<int>(duty->kind()) << static_cast<int>(state.step) << ',' << state.expected << ',' << state.mayHaveWritten << duty->holdsClaim();
        append(out, duty->record());
    }
    out << '|';
}

} // namespace

OrderWorld::OrderWorld(const std::vector<int> &routers, WorldLimits limits)
    : m_left(limits)
{
    for (const int router : routers) {
        WorldRequest request;
        request.router = router;
        m_requests.push_back(std::move(request));
    }
}

bool OrderWorld::hasRun() const
{
    return !m_runs.empty();
}

std::string OrderWorld::key() const
{
    std::ostringstream out;
    for (const WorldRequest &it : m_requests) {
        out << static_cast<int>(it.phase) << ',' << it.seenAtArrival << ',';
        if (it.phase == RequestPhase::Active) {
            append(out, it.guard->state());
            out << static_cast<int>(it.action.kind) << ',' << it.action.expected << ',';
            append(out, it.action.record);
        }
        out << (it.answer ? static_cast<int>(it.answer->kind) : -1) << ',' << (it.answer ? it.answer->answer.status : 0) << '|';
    }
    for (const WorldRouter &it : m_routers) {
        out << it.incarnation << ',' << it.seenReopened << ',';
        append(out, it.duty);
    }
    out << m_left.faults << ',' << m_left.crashes << ',' << m_left.prunes << ',' << m_left.stamps << ',' << m_lastVersion << ',' << m_isClosed << '|';
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

std::string OrderWorld::violation() const
{
    if (m_runs.size() > 1) {
        return "the order ran twice";
    }
    for (const std::size_t it : m_runs) {
        if ((m_mustNotRun & (1U << it)) != 0) {
            return "a request ran that an answer had ruled out";
        }
    }
    const int expected = m_runs.empty() ? -1 : AnswerBase + static_cast<int>(m_runs.front());
    for (const WorldRequest &it : m_requests) {
        if (it.answer && it.answer->kind == OrderAnswerKind::Done && it.answer->answer.status != expected) {
            return "a Done answer is not that of the run";
        }
    }
    if (m_record && m_record->record.state == RecordState::Done && m_record->record.answer.status != expected) {
        return "the record is not that of the run";
    }
    return {};
}

OrderWorld::Choices OrderWorld::choices() const
{
    Choices choices;
    addArrivals(choices);
    addRequestSteps(choices);
    addDutySteps(choices);
    addPlatformSteps(choices);
    addCrashes(choices);
    return choices;
}

std::optional<std::size_t> OrderWorld::activeAt(int router) const
{
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        if (m_requests[i].router == router && m_requests[i].phase == RequestPhase::Active) {
            return i;
        }
    }
    return std::nullopt;
}

void OrderWorld::addArrivals(Choices &choices) const
{
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        const WorldRequest &request = m_requests[i];
        const std::string name = "request " + std::to_string(i);
        if (request.phase == RequestPhase::Coming) {
            OrderWorld next = *this;
            next.arrive(i);
            choices.push_back({name + " arrives at router " + std::to_string(request.router), std::move(next)});
        }
        if (request.phase == RequestPhase::WaitsForFirst && !activeAt(request.router)) {
            OrderWorld next = *this;
            const auto &duty = m_routers[request.router].duty;
            next.say(i, duty ? answerDuplicate(*duty, DutyPhase::Resting, 0, worldSettings()) : comeBackRefusal({}));
            choices.push_back({name + " is answered after the first one", std::move(next)});
        }
    }
}

// As OrderDesk does on arrival: a duty answers, a running first one is waited for.
void OrderWorld::arrive(std::size_t index)
{
    WorldRequest &request = m_requests[index];
    const WorldRouter &router = m_routers[request.router];
    m_received |= 1U << index;
    request.seenAtArrival = router.seenReopened;
    if (router.duty) {
        say(index, answerDuplicate(*router.duty, DutyPhase::Resting, 0, worldSettings()));
        return;
    }
    if (activeAt(request.router)) {
        request.phase = RequestPhase::WaitsForFirst;
        return;
    }
    GuardRequest guardRequest;
    guardRequest.self = Claimant{base::RouterId(std::to_string(request.router)), base::Incarnation{router.incarnation}, base::AttemptId{index + 1}};
    guardRequest.deadline = Deadline;
    request.phase = RequestPhase::Active;
    request.guard.emplace(guardRequest, worldSettings());
    follow(index, request.guard->onStart(Now));
}

void OrderWorld::follow(std::size_t index, OrderAction action)
{
    WorldRequest &request = m_requests[index];
    if (action.kind != OrderActionKind::Answer) {
        request.action = std::move(action);
        return;
    }
    if (action.duty) {
        m_routers[request.router].duty = std::move(action.duty);
    }
    say(index, action.answer);
}

void OrderWorld::say(std::size_t index, const OrderAnswer &answer)
{
    WorldRequest &request = m_requests[index];
    request.phase = RequestPhase::Answered;
    request.guard.reset();
    request.action = {};
    request.answer = answer;
    if (answer.kind == OrderAnswerKind::NotRun) {
        m_mustNotRun |= m_received;
    }
    if (answer.attempt == AttemptFate::NotRun) {
        m_mustNotRun |= 1U << index;
    }
}

ClaimantLife OrderWorld::lifeOf(const Claimant &claimant) const
{
    const WorldRouter &router = m_routers[claimant.router.value() == "0" ? 0 : 1];
    const bool isLive = router.incarnation == claimant.incarnation.value;
    return isLive != m_left.isLivenessWrong ? ClaimantLife::Live : ClaimantLife::Gone;
}

base::Result<VersionedRecord> OrderWorld::readRecord() const
{
    if (m_isClosed && (!m_record || m_record->record.state == RecordState::Claimed)) {
        return error(ErrorKind::StaleState);
    }
    if (!m_record) {
        return error(ErrorKind::NotFound);
    }
    return *m_record;
}

base::Result<store::Version> OrderWorld::writeRecord(const OrderRecord &record, store::Version expected)
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

OrderAction OrderWorld::read(std::size_t index, const base::Result<VersionedRecord> &result)
{
    WorldRequest &request = m_requests[index];
    auto seen = ReopenedSeen::NotBefore;
    auto life = ClaimantLife::Unsure;
    if (result && result.value().record.state == RecordState::Reopened) {
        seen = request.seenAtArrival == result.value().version ? ReopenedSeen::Before : ReopenedSeen::NotBefore;
        m_routers[request.router].seenReopened = result.value().version;
    }
    if (result && result.value().record.state == RecordState::Claimed) {
        life = lifeOf(result.value().record.claimant);
    }
    return request.guard->onRead(Now, result, seen, life);
}

void OrderWorld::addRequestSteps(Choices &choices) const
{
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        if (m_requests[i].phase != RequestPhase::Active) {
            continue;
        }
        const std::string name = "request " + std::to_string(i);
        switch (m_requests[i].action.kind) {
        case OrderActionKind::WriteRecord:
            addWrite(choices, i);
            break;
        case OrderActionKind::Send:
            addSend(choices, i);
            break;
        case OrderActionKind::ReadRecord: {
            OrderWorld next = *this;
            next.follow(i, next.read(i, readRecord()));
            choices.push_back({name + " reads the record", std::move(next)});
            if (m_left.faults > 0) {
                OrderWorld failed = *this;
                --failed.m_left.faults;
                failed.follow(i, failed.read(i, error(ErrorKind::Unavailable)));
                choices.push_back({name + " can't read", std::move(failed)});
            }
            break;
        }
        case OrderActionKind::Pause: {
            OrderWorld next = *this;
            next.follow(i, next.m_requests[i].guard->onPauseOver(Now));
            choices.push_back({name + " ends its pause", std::move(next)});
            break;
        }
        case OrderActionKind::Answer:
            break;
        }
    }
}

void OrderWorld::addWrite(Choices &choices, std::size_t index) const
{
    const std::string name = "request " + std::to_string(index) + " writes";
    const OrderAction &action = m_requests[index].action;
    for (const base::TimePoint now : {Now, Deadline}) {
        OrderWorld next = *this;
        const auto result = next.writeRecord(action.record, action.expected);
        next.follow(index, next.m_requests[index].guard->onWritten(now, result));
        choices.push_back({name + (now == Deadline ? ", answered after the deadline" : ""), std::move(next)});
    }
    if (m_left.faults == 0) {
        return;
    }
    enum class Fate {
        Unreachable,
        AnswerLost,
        Delayed,
    };
    for (const Fate fate : {Fate::Unreachable, Fate::AnswerLost, Fate::Delayed}) {
        OrderWorld next = *this;
        --next.m_left.faults;
        if (fate == Fate::AnswerLost) {
            (void)next.writeRecord(action.record, action.expected);
        } else if (fate == Fate::Delayed) {
            next.m_delayed.push_back(DelayedWrite{action.record, action.expected});
        }
        const auto kind = fate == Fate::Unreachable ? ErrorKind::Unavailable : ErrorKind::Unclear;
        next.follow(index, next.m_requests[index].guard->onWritten(Now, error(kind)));
        choices.push_back({name + (fate == Fate::Unreachable ? ": unreachable" : fate == Fate::AnswerLost ? ": answer lost" : ": delayed"), std::move(next)});
    }
}

void OrderWorld::run(std::size_t index)
{
    m_runs.push_back(index);
}

void OrderWorld::addSend(Choices &choices, std::size_t index) const
{
    const std::string name = "request " + std::to_string(index) + " sends";
    ServiceAnswer answer;
    answer.status = AnswerBase + static_cast<int>(index);
    answer.attempt = base::AttemptId{index + 1};
    OrderWorld done = *this;
    done.run(index);
    done.follow(index, done.m_requests[index].guard->onSent(Now, answer));
    choices.push_back({name + ": ran", std::move(done)});
    if (m_left.faults == 0) {
        return;
    }
    enum class Fate {
        Refused,
        RanAnswerLost,
        CrossedAnswer,
        Delayed,
        Lost,
    };
    for (const Fate fate : {Fate::Refused, Fate::RanAnswerLost, Fate::CrossedAnswer, Fate::Delayed, Fate::Lost}) {
        OrderWorld next = *this;
        --next.m_left.faults;
        base::Result<ServiceAnswer> result = error(fate == Fate::Refused ? ErrorKind::Overloaded : ErrorKind::Truncated);
        if (fate == Fate::RanAnswerLost) {
            next.run(index);
        } else if (fate == Fate::Delayed) {
            next.m_delayedRuns.push_back(index);
        } else if (fate == Fate::CrossedAnswer) {
            next.run(index);
            result = ServiceAnswer{AnswerBase + 99, {}, {}, base::AttemptId{99}, {}};
        }
        next.follow(index, next.m_requests[index].guard->onSent(Now, result));
        choices.push_back({name + ": fault " + std::to_string(static_cast<int>(fate)), std::move(next)});
    }
}

void OrderWorld::finishDuty(int index)
{
    WorldRouter &router = m_routers[index];
    if (router.duty->state().reopened) {
        router.seenReopened = *router.duty->state().reopened;
    }
    if (router.duty->state().step == DutyStep::Finished) {
        router.duty.reset();
    }
}

void OrderWorld::addDutySteps(Choices &choices) const
{
    for (int i = 0; i < 2; ++i) {
        if (!m_routers[i].duty) {
            continue;
        }
        const std::string name = "duty of router " + std::to_string(i);
        const OrderDuty &duty = *m_routers[i].duty;
        if (duty.state().step == DutyStep::Reading) {
            OrderWorld next = *this;
            next.m_routers[i].duty->onRead(readRecord());
            next.finishDuty(i);
            choices.push_back({name + " reads", std::move(next)});
            continue;
        }
        OrderWorld next = *this;
        next.m_routers[i].duty->onWritten(next.writeRecord(duty.record(), duty.state().expected));
        next.finishDuty(i);
        choices.push_back({name + " writes", std::move(next)});
        if (m_left.faults > 0) {
            OrderWorld lost = *this;
            --lost.m_left.faults;
            (void)lost.writeRecord(duty.record(), duty.state().expected);
            lost.m_routers[i].duty->onWritten(error(ErrorKind::Unclear));
            choices.push_back({name + " writes: answer lost", std::move(lost)});
            OrderWorld delayed = *this;
            --delayed.m_left.faults;
            delayed.m_delayed.push_back(DelayedWrite{duty.record(), duty.state().expected});
            delayed.m_routers[i].duty->onWritten(error(ErrorKind::Unclear));
            choices.push_back({name + " writes: delayed", std::move(delayed)});
        }
    }
}

void OrderWorld::addPlatformSteps(Choices &choices) const
{
    for (std::size_t i = 0; i < m_delayed.size(); ++i) {
        OrderWorld next = *this;
        (void)next.writeRecord(m_delayed[i].record, m_delayed[i].expected);
        next.m_delayed.erase(next.m_delayed.begin() + static_cast<std::ptrdiff_t>(i));
        choices.push_back({"a delayed write arrives", std::move(next)});
    }
    for (std::size_t i = 0; i < m_delayedRuns.size(); ++i) {
        OrderWorld next = *this;
        next.run(m_delayedRuns[i]);
        next.m_delayedRuns.erase(next.m_delayedRuns.begin() + static_cast<std::ptrdiff_t>(i));
        choices.push_back({"a delayed order reaches the service", std::move(next)});
    }
    if (m_left.stamps > 0 && m_record) {
        OrderWorld next = *this;
        --next.m_left.stamps;
        next.m_record->version.value = ++next.m_lastVersion;
        choices.push_back({"the record is stamped", std::move(next)});
    }
    if (m_left.prunes > 0 && m_record && !m_isClosed) {
        OrderWorld next = *this;
        next.m_isClosed = true;
        choices.push_back({"the key is closed", std::move(next)});
    }
    if (m_left.prunes > 0 && m_record && m_isClosed) {
        OrderWorld next = *this;
        --next.m_left.prunes;
        next.m_record.reset();
        choices.push_back({"the record is pruned", std::move(next)});
    }
}

void OrderWorld::addCrashes(Choices &choices) const
{
    for (int i = 0; i < 2 && m_left.crashes > 0; ++i) {
        OrderWorld next = *this;
        next.crash(i);
        choices.push_back({"router " + std::to_string(i) + " restarts", std::move(next)});
    }
}

// What the router had under way may or may not take effect: a write or an order
// on its way is delayed, and exploration covers that it never arrives.
void OrderWorld::crash(int index)
{
    --m_left.crashes;
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        WorldRequest &request = m_requests[i];
        if (request.router != index || (request.phase != RequestPhase::Active && request.phase != RequestPhase::WaitsForFirst)) {
            continue;
        }
        if (request.phase == RequestPhase::Active && request.action.kind == OrderActionKind::Send) {
            m_delayedRuns.push_back(i);
        } else if (request.phase == RequestPhase::Active && request.action.kind == OrderActionKind::WriteRecord) {
            m_delayed.push_back(DelayedWrite{request.action.record, request.action.expected});
        }
        request.phase = RequestPhase::Dead;
        request.guard.reset();
        request.action = {};
    }
    m_routers[index] = WorldRouter{m_routers[index].incarnation + 1, {}, {}};
}

} // namespace carawaylatch::orders::testing
