// Events of the model and its checks for each kind of action.
#include "carawaylatch/relay/testing/streammodel.h"

#include <algorithm>

namespace carawaylatch::relay::testing
{

namespace
{

const char *purposeName(AttemptPurpose purpose)
{
    switch (purpose) {
    case AttemptPurpose::Fresh:
        return "fresh";
    case AttemptPurpose::Continue:
        return "continue";
    case AttemptPurpose::Hedge:
        return "hedge";
    }
    return "?";
}

std::string describe(const Action &action)
{
    const std::string id = std::to_string(action.attempt.value);
    switch (action.kind) {
    case ActionKind::Place:
        return std::string("place:") + purposeName(action.purpose);
    case ActionKind::Start:
        return "start:" + id;
    case ActionKind::Resume:
        return "resume:" + id;
    case ActionKind::Cancel:
        return "cancel:" + id;
    case ActionKind::Deliver:
        return "deliver:" + std::to_string(action.index);
    case ActionKind::Finish:
        return "finish";
    case ActionKind::Abort:
        return "abort:" + std::string(base::errorKindName(action.error->kind));
    case ActionKind::FirstToken:
    case ActionKind::Begin:
        return "";
    }
    return "?";
}

} // namespace

AttemptPlan planOn(std::uint64_t u, std::uint64_t version)
{
    return {.upstream = base::UpstreamId("u" + std::to_string(u)), .endpoint = {}, .incarnation = {u + 1000}, .weightsVersion = {version}, .salt = {5}};
}

EngineHead echoOf(base::AttemptId attempt, const AttemptPlan &plan)
{
    return {attempt, plan.incarnation, plan.weightsVersion, plan.salt};
}

std::string tokenText(std::uint64_t index)
{
    return "t" + std::to_string(index);
}

StreamOptions options(config::Idempotency idempotency)
{
    StreamOptions options;
    options.idempotency = idempotency;
    options.firstTokenDeadline = FirstTokenDeadline;
    options.deadline = Deadline;
    options.maxTokenBytes = 64;
    return options;
}

StreamModel::StreamModel(const StreamOptions &options)
    : m_assembler(options, Start)
{
}

void StreamModel::start()
{
    applyEvent(&StreamAssembler::start);
}

void StreamModel::placed(std::uint64_t id, AttemptPurpose purpose, std::uint64_t version)
{
    place(id, planOn(id, version), purpose);
}

AttemptPurpose StreamModel::needed() const
{
    return m_received > 0 ? AttemptPurpose::Continue : AttemptPurpose::Fresh;
}

void StreamModel::offerExcludedUpstream()
{
    place(50, planOn(1), needed());
}

void StreamModel::offerOtherWeights()
{
    place(50, planOn(50, 8), needed());
}

void StreamModel::nothingOffered()
{
    notPlaced(needed());
}

void StreamModel::place(std::uint64_t id, const AttemptPlan &plan, AttemptPurpose purpose)
{
    if (!m_runs.try_emplace(id, Run{.plan = plan}).second) {
        return;
    }
    if (purpose == AttemptPurpose::Hedge) {
        m_isHedgeRequested = false;
    } else if (m_requestedPlacement == purpose) {
        m_requestedPlacement.reset();
    }
    applyEvent(&StreamAssembler::placed, base::AttemptId{id}, plan, purpose);
}

void StreamModel::notPlaced(AttemptPurpose purpose)
{
    if (purpose == AttemptPurpose::Hedge) {
        m_isHedgeRequested = false;
    } else {
        m_requestedPlacement.reset();
    }
    applyEvent(&StreamAssembler::notPlaced, purpose, base::fail(base::ErrorKind::Overloaded, "no upstream"));
}

void StreamModel::sent(std::uint64_t id)
{
    applyEvent(&StreamAssembler::sent, base::AttemptId{id});
}

void StreamModel::echo(std::uint64_t id, const EngineHead &echo)
{
    if (const auto it = m_runs.find(id); it != m_runs.end()) {
        const EngineHead expected = echoOf({id}, it->second.plan);
        it->second.isVerified = echo.attempt == expected.attempt && echo.incarnation == expected.incarnation && echo.weightsVersion == expected.weightsVersion
                                && echo.salt == expected.salt;
    }
    applyEvent(&StreamAssembler::head, base::AttemptId{id}, echo);
}

void StreamModel::head(std::uint64_t id)
{
    const auto it = m_runs.find(id);
    echo(id, echoOf({id}, it == m_runs.end() ? planOn(id) : it->second.plan));
}

void StreamModel::token(std::uint64_t id, std::uint64_t index)
{
    applyEvent(&StreamAssembler::token, base::AttemptId{id}, TokenEvent{index, tokenText(index)});
}

void StreamModel::tokenAhead(std::uint64_t id, std::uint64_t ahead, std::size_t padding)
{
    const std::uint64_t index = m_received + ahead;
    applyEvent(&StreamAssembler::token, base::AttemptId{id}, TokenEvent{index, tokenText(index) + std::string(padding, ' ')});
}

void StreamModel::done(std::uint64_t id, std::uint64_t count)
{
    applyEvent(&StreamAssembler::done, base::AttemptId{id}, DoneEvent{.count = count, .finishReason = "stop", .usage = {}});
}

void StreamModel::broken(std::uint64_t id, BreakKind kind)
{
    applyEvent(&StreamAssembler::broken, base::AttemptId{id}, kind, base::fail(base::ErrorKind::Unavailable, "broken"));
}

void StreamModel::callerGone()
{
    applyEvent(&StreamAssembler::callerGone);
}

void StreamModel::tickAt(base::TimePoint time)
{
    m_now = time;
    applyEvent(&StreamAssembler::tick);
}

void StreamModel::idle()
{
    Actions out;
    m_assembler.written(m_now);
    m_assembler.idle(m_now + options().idleTimeout - base::milliseconds{1}, out);
    require(out.empty(), "an attempt is kept until the idle timeout");
    m_assembler.idle(m_now + options().idleTimeout, out);
    check(out);
}

void StreamModel::hedgeDue()
{
    applyEvent(&StreamAssembler::hedgeDue);
}

void StreamModel::finishWithHealthyEngine()
{
    for (int steps = 0; steps < 64 && !isOver() && m_violation.empty(); ++steps) {
        if (m_isHedgeRequested) {
            notPlaced(AttemptPurpose::Hedge);
        } else if (m_requestedPlacement) {
            placed(++m_lastId, *m_requestedPlacement, 7);
        } else {
            const auto live = std::find_if(m_runs.rbegin(), m_runs.rend(), [&](const auto &it) {
                return m_assembler.state({it.first}) != AttemptState::Failed && m_assembler.state({it.first}) != AttemptState::Done;
            });
            require(live != m_runs.rend(), "an open request has a live attempt or a pending placement");
            if (live == m_runs.rend()) {
                return;
            }
            const std::uint64_t id = live->first;
            if (!live->second.isVerified) {
                head(id);
            } else if (m_received < AnswerTokens) {
                token(id, m_received);
            } else {
                done(id, AnswerTokens);
            }
        }
    }
    require(isOver(), "a request ends with a healthy engine");
}

const std::string &StreamModel::violation() const
{
    return m_violation;
}

const std::string &StreamModel::lastActions() const
{
    return m_lastActions;
}

bool StreamModel::isOver() const
{
    return m_finished || m_error;
}

bool StreamModel::isWhole() const
{
    return m_finished == AnswerTokens && m_received == AnswerTokens;
}

const std::optional<base::Error> &StreamModel::error() const
{
    return m_error;
}

const StreamAssembler &StreamModel::assembler() const
{
    return m_assembler;
}

void StreamModel::check(const Actions &actions)
{
    m_lastActions.clear();
    for (const Action &it : actions) {
        const std::string text = describe(it);
        m_lastActions += (m_lastActions.empty() || text.empty() ? "" : " ") + text;
        checkOne(it);
    }
    require(m_assembler.isOver() == isOver(), "the assembler is over exactly after Finish or Abort");
    require(m_assembler.runCount() <= options().maxRuns, "the number of runs is bounded");
    for (const auto &[id, run] : m_runs) {
        const bool isLive = m_assembler.state({id}) != AttemptState::Failed && m_assembler.state({id}) != AttemptState::Done;
        require(!isLive || (!isOver() && !run.isCancelled), "no attempt is live after the end or its cancellation");
    }
}

void StreamModel::checkOne(const Action &action)
{
    require(!isOver(), "no action follows the end");
    const std::uint64_t id = action.attempt.value;
    switch (action.kind) {
    case ActionKind::Place:
        require(action.purpose == AttemptPurpose::Hedge ? !m_isHedgeRequested : !m_requestedPlacement, "one placement is requested at a time");
        require((action.purpose == AttemptPurpose::Continue) == (m_received > 0), "a continuation is placed only after delivered tokens");
        if (action.purpose == AttemptPurpose::Hedge) {
            m_isHedgeRequested = true;
        } else {
            m_requestedPlacement = action.purpose;
        }
        break;
    case ActionKind::Start:
        require(!m_version || m_runs[id].plan.weightsVersion == *m_version, "one weights version for the whole answer");
        [[fallthrough]];
    case ActionKind::Resume:
        require(action.index == m_received, "a run starts at the first missing token");
        require(!m_runs[id].isCancelled, "a cancelled attempt does not run");
        m_runs[id].isVerified = false;
        break;
    case ActionKind::Cancel:
        m_runs[id].isCancelled = true;
        break;
    case ActionKind::FirstToken:
        break;
    case ActionKind::Begin:
        require(!m_hasBegun, "Begin is returned once");
        m_hasBegun = true;
        break;
    case ActionKind::Deliver:
        require(m_hasBegun, "Begin is returned before the tokens");
        require(m_runs[id].isVerified, "tokens come from an attempt that echoed its plan");
        require(!m_version || m_runs[id].plan.weightsVersion == *m_version, "one weights version for the whole answer");
        require(action.index == m_received && action.text.starts_with(tokenText(m_received)), "tokens are delivered in order, once each");
        m_version = m_runs[id].plan.weightsVersion;
        ++m_received;
        break;
    case ActionKind::Finish:
        require(m_runs[id].isVerified && m_received == AnswerTokens && action.index == AnswerTokens, "only a complete answer finishes");
        m_finished = action.index;
        break;
    case ActionKind::Abort:
        require(action.error.has_value() && !action.error->message.empty(), "Abort has an error message");
        require(action.error->kind == base::ErrorKind::Cancelled || action.error->kind == base::ErrorKind::Unclear
                    || action.error->retryAfter > base::Duration::zero(),
                "Abort has a retry delay");
        m_error = action.error;
        break;
    }
}

void StreamModel::require(bool holds, const char *rule)
{
    if (!holds && m_violation.empty()) {
        m_violation = rule;
    }
}

} // namespace carawaylatch::relay::testing
