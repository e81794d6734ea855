// Carries out decisions: see exchange.h for the steps.
#include "carawaylatch/proxy/exchange.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/trafficplane.h"

namespace carawaylatch::proxy
{

namespace
{

// Refused callers come back after this long where nothing better is known.
constexpr base::Duration DefaultRetryAfter = base::milliseconds{400};
constexpr base::Duration OtherRouterRetryAfter = base::milliseconds{50}; // another router has room now
constexpr base::Duration MaxRetryAfter = base::seconds{2};
// Share of the target latency that a request may wait for room. Beyond it the answer
// would be late in any case, and another router or a moment later serves the caller better.
constexpr double QueuePatienceShare = 0.6;
// A caller's own deadline passes before the router answers for it.
constexpr base::Duration ProgressInterval = base::milliseconds{100}; // between looks at an attempt's progress
constexpr int LateAnswerFactor = 2; // of the target latency; a second server then still answers in time to be of use
constexpr base::Duration LongestStreamPause = base::milliseconds{1200}; // twice a load of weights
constexpr std::uint32_t MinSharedTokensStored = 512; // shorter parts are read faster than they are fetched
constexpr base::Duration DeadlineGrace = base::milliseconds{60};

std::string seconds(base::Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", base::toSeconds(duration));
    return text;
}

std::string milliseconds(base::Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", base::toSeconds(duration) * 1000);
    return text;
}

std::string_view endName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::NotExecuted:
        return "not_executed";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::ServerError:
        return "server_error";
    case AttemptEnd::Answered:
        return "answered";
    }
    return "";
}

std::string_view stepName(NextStep step)
{
    switch (step) {
    case NextStep::TryAgain:
        return "try_again";
    case NextStep::PassOn:
        return "pass_on";
    case NextStep::SayNotRun:
        return "say_not_run";
    case NextStep::SayUnknown:
        return "say_unknown";
    case NextStep::BreakOff:
        return "break_off";
    }
    return "";
}

} // namespace

Exchange::Exchange(TrafficPlane &plane, std::shared_ptr<CallerConnection> caller, HttpRequestHead head, std::string body, base::TimePoint begun)
    : m_plane(plane)
    , m_caller(std::move(caller))
    , m_head(std::move(head))
    , m_body(std::make_shared<const std::string>(std::move(body)))
    , m_begun(begun)
    , m_request(plane.dialect().readRequest(m_head))
    , m_scanner(m_request.lastEventId)
{
}

const base::PoolName &Exchange::pool() const
{
    return m_pool;
}

void Exchange::start()
{
    m_plane.began();
    m_view = m_plane.view();
    if (!check()) {
        return;
    }
    m_plane.budget(m_pool).noteRequest(m_plane.now());
    const base::Duration kept = std::min(m_route->timeout, m_request.patience.value_or(m_route->timeout) + DeadlineGrace);
    m_deadlineTimer = m_plane.timers().after(m_begun, kept, [weak = weak_from_this()](base::TimePoint) {
        if (const auto self = weak.lock()) {
            self->onTimeout();
        }
    });
    placeOrWait();
}

// Route, key and id. Answers and returns false where the request can't go on.
bool Exchange::check()
{
    if (m_plane.isLeaving()) {
        refuse("stopping", OtherRouterRetryAfter);
        return false;
    }
    if (!m_view->table) {
        refuse("no_table", DefaultRetryAfter);
        return false;
    }
    m_route = m_view->table->match(m_request.host, m_head.target);
    if (m_route == nullptr) {
        answerOwn(404, "no_route", {});
        return false;
    }
    if (!isAuthorised()) {
        return false;
    }
    if (m_request.id.empty()) {
        answerOwn(400, "no_request_id", {});
        return false;
    }
    choosePool();
    m_promptKey = sharedPromptKey(m_request.parts);
    if (m_promptKey != 0 && m_customer != nullptr && m_customer->isIsolated) {
        m_promptKey = base::combineHashes(m_promptKey, base::hash64(m_customer->id.value()));
    }
    m_sharedTokens = sharedPromptTokens(m_request.parts);
    constexpr std::uint32_t RoutePriorities = 3; // ranks of routes within one rank of customers
    constexpr std::uint32_t LeastUrgent = 9;
    const std::uint32_t routeRank = std::min(m_route->priority, RoutePriorities - 1);
    const std::uint32_t customerRank = m_customer != nullptr ? m_customer->priority.value_or(0) : 0;
    m_urgency = std::min(customerRank * RoutePriorities + routeRank, LeastUrgent);
    return true;
}

bool Exchange::isAuthorised()
{
    if (m_route->isPublic || !m_view->table->needsKeys) {
        return true;
    }
    const base::Duration maxAge = m_plane.settings().maxTableAge;
    if (maxAge > base::Duration{} && m_plane.tableAge() > maxAge) {
        refuse("table_not_confirmed", DefaultRetryAfter);
        return false;
    }
    m_customer = m_view->table->customerOf(m_request.key);
    if (m_customer == nullptr) {
        answerOwn(401, "unknown_key", {});
        return false;
    }
    return true;
}

void Exchange::choosePool()
{
    std::uint64_t total = 0;
    for (const PoolShare &share : m_route->pools) {
        total += share.weight;
    }
    std::uint64_t point = total > 0 ? base::hash64(m_request.id) % total : 0;
    for (const PoolShare &share : m_route->pools) {
        m_pool = share.pool;
        if (point < share.weight) {
            return;
        }
        point -= share.weight;
    }
}

base::Duration Exchange::timeLeft(base::TimePoint now) const
{
    const base::Duration kept = std::min(m_route->timeout, m_request.patience.value_or(m_route->timeout));
    return m_begun + kept - now;
}

PlacementResult Exchange::findPlace() const
{
    const auto view = m_plane.view();
    PlacementQuery query;
    query.now = m_plane.now();
    query.pool = m_pool;
    query.model = m_request.model;
    query.promptKey = m_promptKey;
    query.sharedTokens = m_sharedTokens;
    query.promptTokens = m_request.promptTokens;
    query.memoryTokens = m_request.promptTokens + m_request.maxAnswerTokens;
    query.domain = m_plane.settings().domain;
    query.excluded = m_tried;
    return place(query, *view, m_plane.book(), m_plane.settings().placement);
}

bool Exchange::tryToPlace()
{
    const PlacementResult placement = findPlace();
    if (placement.verdict != PlacementVerdict::Chosen) {
        return false;
    }
    leaveQueue();
    begin(placement);
    return true;
}

void Exchange::placeOrWait()
{
    if (m_plane.queue(m_pool).isEmpty() || m_history.sent > 0) {
        if (tryToPlace()) {
            return;
        }
    }
    waitForRoom();
}

void Exchange::waitForRoom()
{
    const base::TimePoint now = m_plane.now();
    const base::Duration left = timeLeft(now);
    const base::Duration patience = std::min<base::Duration>(base::fromSeconds(base::toSeconds(m_route->targetLatency) * QueuePatienceShare), left / 2);
    const base::Duration waited = now - m_begun;
    WaitQueue &queue = m_plane.queue(m_pool);
    const auto expected = queue.expectedWait(m_urgency, now);
    if (!m_isStreaming && (waited >= patience || (expected && *expected > patience - waited && queue.size() > 0))) {
        const base::Duration pause = expected ? std::min<base::Duration>(*expected, MaxRetryAfter) : DefaultRetryAfter;
        refuse("no_room", std::max(pause, DefaultRetryAfter));
        return;
    }
    m_queueKey = queue.add(m_urgency, shared_from_this());
    m_queueTimer = m_plane.timers().after(now, m_isStreaming ? left : patience - waited, [weak = weak_from_this()](base::TimePoint) {
        const auto self = weak.lock();
        if (!self || !self->m_queueKey) {
            return;
        }
        self->leaveQueue();
        if (self->m_isStreaming) {
            self->breakOff("no_room");
        } else if (self->m_history.sent == self->m_history.unexecuted) {
            self->refuse("no_room", DefaultRetryAfter);
        } else {
            self->answerOwn(502, "no_other_upstream", {});
        }
    });
}

void Exchange::leaveQueue()
{
    if (m_queueKey) {
        m_plane.queue(m_pool).remove(*m_queueKey);
        m_queueKey.reset();
        m_queueTimer.cancel();
    }
}

void Exchange::begin(const PlacementResult &placement)
{
    Attempt &attempt = m_attempt.emplace();
    attempt.record = placement.record;
    attempt.holdsParts = placement.holdsParts;
    attempt.begunAt = m_plane.now();
    attempt.weight.memoryTokens = m_request.promptTokens + m_request.maxAnswerTokens;
    attempt.weight.unreadTokens = placement.holdsParts ? m_request.promptTokens - std::min(m_sharedTokens, m_request.promptTokens) : m_request.promptTokens;
    m_lastUpstream = placement.record->upstream.id;
    m_tried.push_back(m_lastUpstream);
    m_plane.book().began(*attempt.record, attempt.weight, attempt.begunAt);
    if (m_route->isRepeatable()) {
        watchProgress();
    }
    const Upstream &upstream = attempt.record->upstream;
    attempt.connection = m_plane.takeKept(upstream, m_route->isRepeatable());
    if (attempt.connection) {
        send();
        return;
    }
    attempt.connection = std::make_shared<UpstreamConnection>(m_plane, upstream.id, upstream.bornMs);
    ++m_plane.counts().connections;
    attempt.connection->connect(upstream.endpoint, m_plane.settings().connectTimeout, [weak = weak_from_this()](std::string_view problem) {
        if (const auto self = weak.lock()) {
            self->connected(problem);
        }
    });
}

void Exchange::connected(std::string_view problem)
{
    if (!m_attempt || m_isEnded) {
        return;
    }
    if (!problem.empty()) {
        endAttempt(AttemptEnd::NotSent, problem);
        return;
    }
    send();
}

AttemptPlan Exchange::planAttempt() const
{
    AttemptPlan plan;
    plan.upstream = m_attempt->record->upstream.id;
    plan.timeLeft = timeLeft(m_plane.now());
    if (m_customer != nullptr) {
        plan.customer = m_customer->id;
    }
    plan.urgency = m_urgency;
    plan.lastEventId = m_scanner.lastEventId();
    if (m_request.model.isEmpty()) {
        return plan;
    }
    plan.weights = m_attempt->record->weights;
    const std::string owner = m_customer != nullptr && m_customer->isIsolated ? m_customer->id.value() : std::string();
    if (m_sharedTokens >= MinSharedTokensStored && !m_view->table->cacheStores.empty() && plan.weights.value != 0) {
        const base::Endpoint &store = m_view->table->cacheStores.front().endpoint;
        const bool isAlive = !m_plane.view()->deadCacheStores.contains(store);
        if (isAlive) {
            plan.fetchFrom = store; // costs nothing where the engine keeps the parts itself
        }
        if (isAlive && !m_attempt->holdsParts) {
            plan.saveTo = store;
        }
    }
    plan.cacheNamespace = m_request.model.value() + '.' + std::to_string(plan.weights.value) + '.' + owner;
    return plan;
}

void Exchange::send()
{
    Attempt &attempt = *m_attempt;
    const AttemptPlan plan = planAttempt();
    std::string head = m_plane.dialect().writeAttempt(m_head, plan);
    const bool hasBody = !m_body->empty() || findField(m_head.fields, "content-length") != nullptr || findField(m_head.fields, "transfer-encoding") != nullptr;
    if (hasBody) {
        appendField(head, "Content-Length", std::to_string(m_body->size()));
    }
    head.append("\r\n");
    attempt.isSent = true;
    ++m_history.sent;
    ++m_plane.counts().attempts;
    if (!m_sentAt) {
        m_sentAt = m_plane.now();
    }
    if (m_promptKey != 0) {
        m_plane.book().placed(promptStateKey(m_promptKey, attempt.record->weights), attempt.record->upstream.id);
    }
    m_scanner.restart();
    watchStart();
    attempt.connection->send(std::move(head), m_body, m_request.id, m_head.method == "HEAD", weak_from_this());
}

void Exchange::onAnswerHead(const HttpResponseHead &head, const UpstreamAnswer &answer)
{
    if (!m_attempt) {
        return;
    }
    Attempt &attempt = *m_attempt;
    const base::TimePoint now = m_plane.now();
    attempt.head = head;
    attempt.answer = answer;
    m_plane.book().heard(*attempt.record, now);
    if (answer.load) {
        m_plane.book().sampled(*attempt.record, *answer.load, now);
    }
    if (answer.weights && *answer.weights != attempt.record->weights) {
        attempt.record->weights = *answer.weights;
        m_plane.observer().onWeightsSeen(attempt.record->upstream.id, *answer.weights);
    }
    if (m_route->kind == CallKind::Stream && classifyAnswer() == AttemptEnd::Answered && head.status < 300) {
        beginStream();
    }
}

void Exchange::onAnswerBytes(std::string bytes)
{
    if (!m_attempt) {
        return;
    }
    ++m_plane.counts().reads;
    Attempt &attempt = *m_attempt;
    m_plane.book().heard(*attempt.record, m_plane.now());
    if (!attempt.hasStarted) {
        attempt.hasStarted = true;
        m_plane.book().started(*attempt.record, attempt.weight);
    }
    if (m_isStreaming) {
        forwardStream(bytes);
        return;
    }
    attempt.body.append(bytes);
    if (attempt.body.size() > MaxHeldBytes && classifyAnswer() == AttemptEnd::Answered) {
        m_isPassingOn = true;
        beginStream();
        forwardStream(std::exchange(attempt.body, {}));
    }
}

void Exchange::beginStream()
{
    Attempt &attempt = *m_attempt;
    if (!m_route->isResumable) {
        m_isPassingOn = true;
    }
    if (m_isStreaming) {
        return; // goes on after a break; the caller keeps the first head
    }
    m_isStreaming = true;
    m_history.isAnswering = true;
    m_caller->beginBody(Reply{attempt.head.status, attempt.head.reason, forwardableFields(attempt.head.fields), {}});
}

void Exchange::forwardStream(std::string_view bytes)
{
    const base::TimePoint now = m_plane.now();
    if (!m_firstAt) {
        m_firstAt = now;
    } else {
        m_longestPause = std::max(m_longestPause, now - m_lastPieceAt);
    }
    m_lastPieceAt = now;
    if (m_isPassingOn) {
        m_caller->sendPiece(bytes);
    } else {
        const std::string events = m_scanner.feed(bytes);
        if (m_scanner.hasGap()) {
            breakOff("event_missing");
            return;
        }
        m_caller->sendPiece(events);
    }
    if (m_caller->queuedBytes() > MaxQueuedBytes) {
        m_attempt->connection->pauseReading();
    }
}

void Exchange::onCallerDrained()
{
    if (m_attempt && m_attempt->connection) {
        m_attempt->connection->resumeReading();
    }
}

AttemptEnd Exchange::classifyAnswer() const
{
    const Attempt &attempt = *m_attempt;
    if (attempt.answer.isNotExecuted) {
        return AttemptEnd::NotExecuted;
    }
    const unsigned status = attempt.head.status;
    if (status >= 500 || promisesNotRun(status)) {
        return AttemptEnd::ServerError;
    }
    const bool isSuccess = status >= 200 && status < 300;
    if (isSuccess && (!attempt.answer.isSigned || attempt.answer.isEncoded)) {
        return AttemptEnd::Broken; // not the upstream's own answer
    }
    return AttemptEnd::Answered;
}

void Exchange::onAnswerEnd()
{
    if (!m_attempt) {
        return;
    }
    const AttemptEnd end = classifyAnswer();
    if (m_isStreaming && end == AttemptEnd::Answered && !m_isPassingOn && !m_scanner.isAtBoundary()) {
        endAttempt(AttemptEnd::Broken, "the stream ended inside an event");
        return;
    }
    endAttempt(end, {});
}

void Exchange::onBroken(std::string_view problem)
{
    if (m_attempt) {
        endAttempt(AttemptEnd::Broken, problem);
    }
}

void Exchange::watchStart()
{
    const auto view = m_plane.view();
    const auto target = view->targets.find(m_request.model);
    const auto replacedAt = target != view->targets.end() ? target->second.replacedAt(m_attempt->record->weights) : std::nullopt;
    if (!replacedAt) {
        return;
    }
    m_startTimer = m_plane.timers().after(*replacedAt, m_plane.settings().placement.oldWeightsStart, [weak = weak_from_this()](base::TimePoint) {
        const auto self = weak.lock();
        if (self && self->m_attempt && !self->m_attempt->hasStarted) {
            self->endAttempt(AttemptEnd::Broken, "not begun before its weights were too old");
        }
    });
}

void Exchange::watchProgress()
{
    m_progressTimer = m_plane.timers().every(m_plane.now(), ProgressInterval, [weak = weak_from_this()](base::TimePoint now) {
        const auto self = weak.lock();
        if (!self || !self->m_attempt || !self->m_attempt->isSent) {
            return;
        }
        const std::string_view reason = self->stallReason(now);
        // Silence alone ends nothing: the attempt is given up only for a better one.
        if (!reason.empty() && self->m_plane.budget(self->m_pool).mayTake(now) && self->findPlace().verdict == PlacementVerdict::Chosen) {
            self->endAttempt(AttemptEnd::Broken, reason);
        }
    });
}

// Only a request that can go elsewhere is given up: another one has nothing to gain.
std::string_view Exchange::stallReason(base::TimePoint now) const
{
    const Attempt &attempt = *m_attempt;
    if (m_history.sent - m_history.unexecuted >= m_route->maxAttempts) {
        return {};
    }
    if (attempt.record->isSilent(now, m_plane.settings().placement.millisecondsPerToken)) {
        return "the upstream is silent";
    }
    const bool isLateAnswer = m_route->kind == CallKind::Idempotent && now - attempt.begunAt > m_route->targetLatency * LateAnswerFactor;
    if (isLateAnswer) {
        return "no answer in twice the target latency";
    }
    if (m_firstAt && now - std::max(m_lastPieceAt, attempt.begunAt) > LongestStreamPause) {
        return "the stream has stopped";
    }
    return {};
}

void Exchange::releaseAttempt(AttemptEnd end)
{
    m_progressTimer.cancel();
    m_startTimer.cancel();
    Attempt &attempt = *m_attempt;
    const base::TimePoint now = m_plane.now();
    m_plane.book().ended(*attempt.record, attempt.weight, attempt.hasStarted, end, now);
    m_plane.queue(m_pool).ends().note(now);
    m_plane.scheduleQueues();
}

void Exchange::endAttempt(AttemptEnd end, std::string_view problem)
{
    const base::TimePoint now = m_plane.now();
    releaseAttempt(end);
    m_history.unsent += end == AttemptEnd::NotSent ? 1 : 0;
    m_history.unexecuted += end == AttemptEnd::NotExecuted ? 1 : 0;
    m_history.hasTimeLeft = timeLeft(now) > base::Duration{};
    NextStep step = nextStep(*m_route, end, m_history);
    if (step == NextStep::TryAgain && end != AttemptEnd::NotSent && !m_plane.budget(m_pool).tryTake(now)) {
        m_history.hasBudget = false;
        step = nextStep(*m_route, end, m_history);
    }
    if (end != AttemptEnd::Answered) {
        m_plane.log().write(base::LogEvent::AttemptFailed,
                            {{"id", m_request.id},
                             {"upstream", m_lastUpstream.value()},
                             {"end", std::string(endName(end))},
                             {"next", std::string(stepName(step))},
                             {"problem", problem.empty() ? "status " + std::to_string(m_attempt->head.status) : std::string(problem)},
                             {"elapsed_ms", milliseconds(now - m_attempt->begunAt)},
                             {"load", std::to_string(m_attempt->record->inflight)}});
    }
    switch (step) {
    case NextStep::TryAgain:
        m_attempt->connection->close();
        m_attempt.reset();
        m_plane.counts().resumed += m_isStreaming ? 1 : 0;
        placeOrWait();
        break;
    case NextStep::PassOn:
        passOn();
        break;
    case NextStep::SayNotRun:
        refuse(end == AttemptEnd::NotSent ? "not_reached" : "not_executed", DefaultRetryAfter);
        break;
    case NextStep::SayUnknown:
        answerOwn(502, "answer_lost", {});
        break;
    case NextStep::BreakOff:
        breakOff("answer_lost");
        break;
    }
}

void Exchange::passOn()
{
    Attempt &attempt = *m_attempt;
    if (m_isStreaming) {
        m_caller->endBody();
        finish(attempt.head.status, "served", {});
        return;
    }
    // A status that promises "not run" is passed on only where it is true or harmless.
    if (promisesNotRun(attempt.head.status) && !m_route->isRepeatable()) {
        answerOwn(502, "upstream_refused_without_promise", {});
        return;
    }
    const unsigned status = attempt.head.status;
    if (!m_firstAt) {
        m_firstAt = m_plane.now();
    }
    const auto caller = m_caller;
    const Reply reply{status, attempt.head.reason, forwardableFields(attempt.head.fields), std::move(attempt.body)};
    finish(status, status < 500 ? "served" : "upstream_error", {});
    caller->reply(reply);
}

void Exchange::onTimeout()
{
    if (m_isEnded) {
        return;
    }
    leaveQueue();
    if (m_attempt) {
        releaseAttempt(m_isStreaming ? AttemptEnd::Answered : AttemptEnd::Broken);
    }
    if (m_isStreaming) {
        breakOff("timeout");
    } else if (m_history.sent == m_history.unexecuted && !(m_attempt && m_attempt->isSent)) {
        refuse("timeout", DefaultRetryAfter);
    } else {
        answerOwn(504, "timeout", {});
    }
}

void Exchange::cancel()
{
    if (m_isEnded) {
        return;
    }
    leaveQueue();
    if (m_attempt) {
        releaseAttempt(AttemptEnd::Answered);
    }
    ++m_plane.counts().cancelled;
    finish(0, "cancelled", "caller_left");
}

void Exchange::refuse(std::string_view reason, base::Duration retryAfter)
{
    // Callers that were refused together come back spread over half the pause.
    const base::Duration spread = base::fromSeconds(base::toSeconds(retryAfter) * 0.5 * m_plane.random().unit());
    answerOwn(503, reason, retryAfter + spread);
}

void Exchange::answerOwn(unsigned status, std::string_view reason, base::Duration retryAfter)
{
    Reply reply{status, {}, {}, std::string(reason) + '\n'};
    if (!m_request.id.empty()) {
        reply.fields.push_back({std::string(m_plane.dialect().requestIdField()), m_request.id});
    }
    if (retryAfter > base::Duration{}) {
        reply.fields.push_back({"Retry-After", seconds(retryAfter)});
    }
    const auto caller = m_caller;
    finish(status, status == 503 ? "refused" : (status < 500 ? "rejected" : "failed"), reason);
    caller->reply(reply);
}

void Exchange::breakOff(std::string_view reason)
{
    const auto caller = m_caller;
    finish(0, "broken_off", reason);
    caller->abort();
}

void Exchange::finish(unsigned status, std::string_view outcome, std::string_view reason)
{
    if (m_isEnded) {
        return;
    }
    m_isEnded = true;
    m_deadlineTimer.cancel();
    leaveQueue();
    if (m_attempt && m_attempt->connection && outcome != "served" && outcome != "upstream_error") {
        m_attempt->connection->close(); // the upstream drops what it still does for this request
    }
    m_attempt.reset();
    TrafficCounts &counts = m_plane.counts();
    if (outcome == "served") {
        const auto kind = static_cast<std::size_t>(m_route->kind);
        const base::TimePoint end = m_plane.now();
        ++counts.served;
        ++counts.firstByte[kind].counts[telemetry::latencyBucket(m_firstAt.value_or(end) - m_begun)];
        ++counts.total[kind].counts[telemetry::latencyBucket(end - m_begun)];
    }
    counts.refused += outcome == "refused" ? 1 : 0;
    counts.rejected += outcome == "rejected" ? 1 : 0;
    counts.failed += outcome == "failed" || outcome == "broken_off" || outcome == "upstream_error" ? 1 : 0;
    const base::TimePoint now = m_plane.now();
    m_plane.log().write(base::LogEvent::RequestEnded, {{"id", m_request.id},
                                                       {"route", m_route != nullptr ? m_route->name.value() : std::string("-")},
                                                       {"pool", m_pool.value()},
                                                       {"upstream", m_lastUpstream.value()},
                                                       {"attempts", std::to_string(m_tried.size())},
                                                       {"sent", std::to_string(m_history.sent)},
                                                       {"unexecuted", std::to_string(m_history.unexecuted)},
                                                       {"status", std::to_string(status)},
                                                       {"outcome", std::string(outcome)},
                                                       {"reason", std::string(reason)},
                                                       {"queued_ms", milliseconds(m_sentAt.value_or(now) - m_begun)},
                                                       {"first_ms", m_firstAt ? milliseconds(*m_firstAt - m_begun) : std::string("-")},
                                                       {"pause_ms", milliseconds(m_longestPause)},
                                                       {"total_ms", milliseconds(now - m_begun)},
                                                       {"table", std::to_string(m_view->table ? m_view->table->version : 0)},
                                                       {"view", std::to_string(m_plane.view()->sequence)},
                                                       {"age_ms", milliseconds(m_plane.tableAge())}});
    m_caller.reset();
    m_plane.ended();
}

} // namespace carawaylatch::proxy
