// Admission, queueing and completion of an exchange; attempts are in exchangeattempt.cpp,
// limits of customers in exchangelimit.cpp.
#include "carawaylatch/proxy/exchange.h"

#include <algorithm>
#include <utility>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/kvtransfer.h"
#include "carawaylatch/proxy/promptparts.h"
#include "carawaylatch/proxy/trafficplane.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr base::Duration OtherRouterRetryAfter = base::milliseconds{50}; // another router can take the request at once
constexpr base::Duration OriginTimeout = base::milliseconds{500}; // to learn where a stream began; several calls to the store
// The router replies this long after the caller's own deadline, so that the caller times out first.
constexpr base::Duration DeadlineGrace = base::milliseconds{60};

} // namespace

Exchange::Exchange(TrafficPlane &plane, std::shared_ptr<CallerConnection> caller, HttpRequestHead head, std::string body, base::TimePoint startedAt)
    : m_plane(plane)
    , m_caller(std::move(caller))
    , m_head(std::move(head))
    , m_body(std::make_shared<const std::string>(std::move(body)))
    , m_startedAt(startedAt)
    , m_request(plane.dialect().parseRequest(m_head))
    , m_scanner(m_request.lastEventId)
{
}

const base::PoolName &Exchange::pool() const
{
    return m_pool;
}

void Exchange::start()
{
    m_plane.onExchangeStarted(m_body->size());
    m_view = m_plane.view();
    if (!admit()) {
        return;
    }
    if (m_request.forwardedAttempts) {
        m_history.maxAttempts = *m_request.forwardedAttempts;
        ++m_plane.counts().receivedForwards;
    }
    const base::Duration requestTimeout = std::min(m_route->timeout, m_request.callerTimeout.value_or(m_route->timeout) + DeadlineGrace);
    m_deadlineTimer = m_plane.timers().after(m_startedAt, requestTimeout, [weak = weak_from_this()](base::TimePoint) {
        if (const auto self = weak.lock()) {
            self->end("timeout");
        }
    });
    countAgainstLimit();
}

void Exchange::begin()
{
    if (!m_request.forwardedAttempts) {
        m_plane.budget(m_pool).countRequest(m_plane.now()); // at the first router only
    }
    if (isResumption()) {
        findOrigin();
        return;
    }
    if (isResumableStream()) {
        m_stream = base::hash64(m_request.id);
        if (const auto software = m_plane.origins().find(m_stream, m_plane.now())) {
            m_streamSoftware.emplace().insert(*software); // its id has come before
        }
    }
    placeOrQueue();
}

void Exchange::findOrigin()
{
    const base::TimePoint now = m_plane.now();
    m_stream = m_request.resumes.empty() ? 0 : base::hash64(m_request.resumes);
    m_isOriginPending = true;
    if (const auto software = m_plane.origins().find(m_stream, now)) {
        onOriginFound({OriginVerdict::Known, *software});
        return;
    }
    const auto answer = [weak = weak_from_this()](const OriginAnswer &found) {
        if (const auto self = weak.lock()) {
            self->onOriginFound(found);
        }
    };
    m_originTimer = m_plane.timers().after(now, std::min<base::Duration>(OriginTimeout, timeLeft(now) / 2), [answer](base::TimePoint) {
        answer({OriginVerdict::Unavailable, {}});
    });
    m_plane.observer().findOrigin(m_pool, m_stream, answer);
}

void Exchange::onOriginFound(const OriginAnswer &answer)
{
    if (m_isEnded || !m_isOriginPending) {
        return;
    }
    m_isOriginPending = false;
    m_originTimer.cancel();
    switch (answer.verdict) {
    case OriginVerdict::Known:
        break;
    case OriginVerdict::Unknown:
        refuse("stream_origin_unknown", RetrySchedule::MinDelay);
        return;
    case OriginVerdict::Unavailable:
        refuse("stream_origin_unavailable", RetrySchedule::MinDelay);
        return;
    }
    if (m_stream != 0 && !m_plane.origins().find(m_stream, m_plane.now())) {
        m_plane.origins().onLearned(m_stream, m_pool, answer.software, m_plane.now());
    }
    m_streamSoftware.emplace().insert(answer.software);
    placeOrQueue();
}

void Exchange::limitToStream()
{
    if (m_streamSoftware || m_history.sent == 0 || !isResumableStream()) {
        return;
    }
    if (const auto software = m_plane.origins().findFixed(m_stream, m_plane.now())) {
        m_streamSoftware.emplace().insert(*software);
    }
}

// Checks route, key and request id. Replies with an error and returns false if the request is not admitted.
bool Exchange::admit()
{
    if (m_plane.isLeaving()) {
        refuse("stopping", OtherRouterRetryAfter);
        return false;
    }
    if (m_plane.isBodyBufferFull()) {
        refuse("no_memory", RetrySchedule::MinDelay);
        return false;
    }
    if (!m_view->table) {
        refuse("no_table", RetrySchedule::MinDelay);
        return false;
    }
    m_route = m_view->table->match(m_request.host, m_head.target);
    if (m_route == nullptr) {
        replyLocally(404, "no_route", {});
        return false;
    }
    if (!isAuthorised()) {
        return false;
    }
    if (m_request.id.empty()) {
        replyLocally(400, "no_request_id", {});
        return false;
    }
    selectPool();
    m_fingerprint = requestFingerprint(m_head, m_request, m_customer != nullptr ? m_customer->id : base::CustomerId(), *m_body);
    m_sharedPrefix = sharedPrefixKey(m_request.parts);
    m_sharedTokens = sharedPrefixTokens(m_request.parts);
    constexpr std::uint32_t RoutePriorities = 3; // route priorities within one customer priority
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
    if (!m_plane.isTableConfirmed()) {
        refuse("table_not_confirmed", RetrySchedule::MinDelay);
        return false;
    }
    m_customer = m_view->table->customers.find(m_request.key);
    if (m_customer == nullptr) {
        replyLocally(401, "unknown_key", {});
        return false;
    }
    return true;
}

void Exchange::selectPool()
{
    std::uint64_t total = 0;
    for (const PoolShare &share : m_route->pools) {
        total += share.weight;
    }
    // The pool that the stream began in, if the request resumes one.
    const std::string &key = isResumption() && !m_request.resumes.empty() ? m_request.resumes : m_request.id;
    std::uint64_t point = total > 0 ? base::hash64(key) % total : 0;
    for (const PoolShare &share : m_route->pools) {
        m_pool = share.pool;
        if (point < share.weight) {
            return;
        }
        point -= share.weight;
    }
}

std::uint64_t Exchange::cacheScope() const
{
    const auto view = m_plane.view();
    const RouteTable &inForce = view->table ? *view->table : *m_view->table;
    return m_plane.isTableConfirmed() ? inForce.customers.cacheScope(m_customer, m_request.key) : Customers::ownCacheScope(m_customer);
}

std::uint64_t Exchange::prefixKey() const
{
    return m_sharedPrefix == 0 ? 0 : base::combineHashes(m_sharedPrefix, cacheScope());
}

base::Duration Exchange::timeLeft(base::TimePoint now) const
{
    const base::Duration requestTimeout = std::min(m_route->timeout, m_request.callerTimeout.value_or(m_route->timeout));
    return m_startedAt + requestTimeout - now;
}

PlacementResult Exchange::selectUpstream()
{
    limitToStream();
    const auto view = m_plane.view();
    PlacementQuery query;
    query.now = m_plane.now();
    query.pool = m_pool;
    query.model = m_request.model;
    query.prefixKey = prefixKey();
    query.sharedTokens = m_sharedTokens;
    query.ownTokens = m_request.promptTokens - std::min(m_sharedTokens, m_request.promptTokens);
    query.memoryTokens = m_request.promptTokens + m_request.maxOutputTokens;
    query.domain = m_plane.settings().domain;
    const std::vector<base::UpstreamId> excluded = excludedUpstreams();
    query.excluded = excluded;
    query.software = allowedSoftware();
    return place(query, *view, m_plane.tracker(), m_plane.settings().placement);
}

const SoftwareSet *Exchange::allowedSoftware() const
{
    if (m_streamSoftware) {
        return &*m_streamSoftware;
    }
    return isResumableStream() ? m_plane.beginningSoftware(m_pool) : nullptr;
}

bool Exchange::isBoundToSoftware() const
{
    const SoftwareSet *allowed = allowedSoftware();
    const auto &members = m_plane.tracker().members(m_pool);
    return std::any_of(members.begin(), members.end(), [allowed](const UpstreamRecord *record) {
        return !record->runsOneOf(allowed);
    });
}

WaitQueue::Key Exchange::queueKey() const
{
    return m_plane.queue(m_pool).key(*m_queueTicket);
}

bool Exchange::tryToPlace()
{
    if (m_queueTicket && forwardOrGiveUp()) {
        return true;
    }
    const PlacementResult placement = selectUpstream();
    if (placement.verdict != PlacementVerdict::Chosen) {
        return false;
    }
    leaveQueue(QueueExit::Served);
    startAttempt(placement);
    return true;
}

CrashSubjects Exchange::crashSubjects() const
{
    return {m_request.model, m_request.parts, m_fingerprint};
}

bool Exchange::endIfBlocked()
{
    if (m_isEnded || (m_attempt && m_attempt->startedOutputAt)) {
        return false;
    }
    const auto block = m_plane.crashes().blockOf(crashSubjects(), m_plane.now());
    if (!block) {
        return false;
    }
    ++m_plane.counts().blocked;
    leaveQueue();
    if (m_attempt) {
        releaseAttempt(AttemptEnd::Answered); // no fault of the upstream
    }
    giveUp(block->isRequest ? "request_blocked" : "prompt_part_blocked", block->left);
    return true;
}

void Exchange::placeOrQueue()
{
    if (endIfBlocked()) {
        return;
    }
    if (forwardOrGiveUp()) {
        return;
    }
    if (m_history.sent > 0 || m_plane.canPassQueue(m_pool)) {
        if (tryToPlace()) {
            return;
        }
    }
    // In the queue, requests that no upstream may take would hold up others.
    if ((allowedSoftware() != nullptr || !m_triedUpstreams.empty()) && !hasUntriedUpstream()) {
        const std::string_view reason = m_streamSoftware ? "no_upstream_of_stream" : "software_not_stored";
        giveUp(m_triedUpstreams.empty() ? reason : "no_other_upstream", queueRetryDelay());
        return;
    }
    joinQueue();
}

bool Exchange::hasUntriedUpstream() const
{
    const auto &members = m_plane.tracker().members(m_pool);
    const SoftwareSet *allowed = allowedSoftware();
    return std::any_of(members.begin(), members.end(), [this, allowed](const UpstreamRecord *record) {
        const bool isTried = std::find(m_triedUpstreams.begin(), m_triedUpstreams.end(), record->upstream.id) != m_triedUpstreams.end();
        return !isTried && record->isStaying() && record->runsOneOf(allowed);
    });
}

// No upstream can take the request in time.
void Exchange::giveUp(std::string_view reason, base::Duration retryAfter)
{
    if (m_isStreaming) {
        abortReply(reason);
    } else if (m_history.sent == m_history.notExecuted) {
        refuse(reason, retryAfter);
    } else {
        replyLocally(502, reason, {});
    }
}

// No upstream takes requests before `next`, which is too late for this one.
void Exchange::giveUpBefore(const NextRequest &next)
{
    if (!next.isLimited) {
        giveUp("upstreams_paused", next.at - m_plane.now());
        return;
    }
    // One of the callers that wait for a limited upstream is served at a time, so each is told a time of its own.
    // Another router may have room sooner if this one sends nothing to the upstream.
    const bool isForOthers = next.at == base::TimePoint::max();
    giveUp("upstreams_limited", isForOthers ? queueRetryDelay() : std::max(next.at - m_plane.now(), queueRetryDelay()));
}

base::Duration Exchange::queueRetryDelay() const
{
    return m_plane.queue(m_pool).retryDelay(queuedRequest(), m_plane.now());
}

bool Exchange::goesOn() const
{
    return m_isStreaming || isResumption();
}

// A stream that goes on waits before the requests of its urgency that have not begun.
std::uint32_t Exchange::queueRank() const
{
    return 2 * m_urgency + (goesOn() ? 0 : 1);
}

// The work of a request that states no tokens is what it counts against its customer's limit: a customer that leaves
// out the statement would otherwise be served before all others.
QueuedRequest Exchange::queuedRequest() const
{
    std::uint64_t tokens = std::uint64_t{m_request.promptTokens} + m_request.maxOutputTokens;
    if (tokens == 0 && m_customer != nullptr && m_customer->limit) {
        tokens = m_customer->limit->cost(0);
    }
    return {queueRank(), m_customer != nullptr ? m_customer->id : base::CustomerId(), isForEngine() ? tokens : 1};
}

// How long the request may wait from its start. A stream that is taken up again has met or missed its target latency before.
base::Duration Exchange::maxQueueWait(base::Duration left) const
{
    return isResumption() ? left / 2 : std::min<base::Duration>(m_route->maxQueueWait(), left / 2);
}

void Exchange::joinQueue()
{
    const base::TimePoint now = m_plane.now();
    const base::Duration left = timeLeft(now);
    const base::Duration maxWait = maxQueueWait(left);
    const base::Duration waited = now - m_startedAt;
    WaitQueue &queue = m_plane.queue(m_pool);
    const auto next = m_plane.tracker().nextRequest(m_pool, m_triedUpstreams, allowedSoftware(), now);
    if (next && next->at - now > maxWait - waited) {
        giveUpBefore(*next);
        return;
    }
    const auto expected = queue.expectedWait(queuedRequest(), now);
    const bool isTooLong = !goesOn() && expected && *expected > maxWait - waited && queue.size() > 0;
    if (!m_isStreaming && (waited >= maxWait || isTooLong)) {
        refuse("no_room", queueRetryDelay());
        return;
    }
    m_queueTicket = queue.add(queuedRequest(), shared_from_this());
    m_queueTimer = m_plane.timers().after(now, m_isStreaming ? left : maxWait - waited, [weak = weak_from_this()](base::TimePoint) {
        const auto self = weak.lock();
        if (self && self->m_queueTicket) {
            self->leaveQueue();
            self->giveUp("no_room", self->queueRetryDelay());
        }
    });
}

void Exchange::leaveQueue(QueueExit exit)
{
    if (m_queueTicket) {
        m_plane.queue(m_pool).remove(*m_queueTicket, exit);
        m_queueTicket.reset();
        m_queueTimer.cancel();
    }
}

void Exchange::end(std::string_view reason)
{
    if (m_isEnded) {
        return;
    }
    leaveQueue();
    if (m_attempt) {
        releaseAttempt(m_isStreaming ? AttemptEnd::Answered : AttemptEnd::Broken);
    }
    if (m_isStreaming) {
        abortReply(reason);
    } else if (m_history.sent == m_history.notExecuted && !(m_attempt && m_attempt->isSent)) {
        refuse(reason, RetrySchedule::MinDelay);
    } else {
        replyLocally(504, reason, {});
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
    // Random jitter of up to half the delay spreads the retries of callers refused together.
    const base::Duration spread = base::fromSeconds(base::toSeconds(retryAfter) * 0.5 * m_plane.random().uniformReal());
    replyLocally(503, reason, retryAfter + spread);
}

void Exchange::replyLocally(unsigned status, std::string_view reason, base::Duration retryAfter)
{
    Reply reply{status, {}, {}, std::string(reason) + '\n'};
    if (!m_request.id.empty()) {
        reply.fields.push_back({std::string(m_plane.dialect().requestIdField()), m_request.id});
    }
    if (m_request.forwardedAttempts && m_history.sent == m_history.notExecuted) {
        reply.fields.push_back({std::string(m_plane.dialect().notExecutedField()), "1"}); // the router that forwarded it may try another one
    }
    if (retryAfter > base::Duration{}) {
        reply.fields.push_back({"Retry-After", base::formatSeconds(retryAfter)});
    }
    const auto caller = m_caller;
    const bool isRefused = status == 503 || status == 429;
    finish(status, isRefused ? "refused" : (status < 500 ? "rejected" : "failed"), reason);
    caller->reply(reply);
}

void Exchange::abortReply(std::string_view reason)
{
    const auto caller = m_caller;
    finish(0, "broken_off", reason);
    caller->abort();
}

// The request that began the stream that this one resumes, for logs.
std::string Exchange::resumedRequest() const
{
    if (!isResumption()) {
        return "-";
    }
    return m_request.resumes.empty() ? "unnamed" : m_request.resumes;
}

// True if the request resumes a stream that another request began.
bool Exchange::isResumption() const
{
    return isResumableStream() && m_request.lastEventId;
}

bool Exchange::isResumableStream() const
{
    return m_route != nullptr && m_route->kind == CallKind::Stream && m_route->isResumable;
}

void Exchange::finish(unsigned status, std::string_view outcome, std::string_view reason)
{
    if (m_isEnded) {
        return;
    }
    m_isEnded = true;
    m_deadlineTimer.cancel();
    m_originTimer.cancel();
    leaveQueue();
    releaseLimit();
    if (m_attempt && m_attempt->connection && outcome != "served" && outcome != "upstream_error") {
        m_attempt->connection->close(); // cancels the request at the upstream
    }
    m_attempt.reset();
    TrafficCounts &counts = m_plane.counts();
    if (outcome == "served") {
        const auto kind = static_cast<std::size_t>(m_route->kind);
        const base::TimePoint end = m_plane.now();
        ++counts.served;
        ++counts.firstByte[kind].counts[telemetry::latencyBucket(m_firstByteAt.value_or(end) - m_startedAt)];
        ++counts.total[kind].counts[telemetry::latencyBucket(end - m_startedAt)];
    }
    counts.refused += outcome == "refused" ? 1 : 0;
    counts.rejected += outcome == "rejected" ? 1 : 0;
    counts.failed += outcome == "failed" || outcome == "broken_off" || outcome == "upstream_error" ? 1 : 0;
    const base::TimePoint now = m_plane.now();
    m_plane.log().write(base::LogEvent::RequestEnded, {{"id", m_request.id},
                                                       {"route", m_route != nullptr ? m_route->name.value() : std::string("-")},
                                                       {"pool", m_pool.value()},
                                                       {"upstream", m_lastUpstream.value()},
                                                       {"software", m_lastSoftware.value()},
                                                       {"resumes", resumedRequest()},
                                                       {"attempts", std::to_string(m_triedUpstreams.size() + m_triedRouters.size())},
                                                       {"sent", std::to_string(m_history.sent)},
                                                       {"unexecuted", std::to_string(m_history.notExecuted)},
                                                       {"status", std::to_string(status)},
                                                       {"outcome", std::string(outcome)},
                                                       {"reason", std::string(reason)},
                                                       {"queued_ms", base::formatMilliseconds(m_sentAt.value_or(now) - m_startedAt)},
                                                       {"first_ms", m_firstByteAt ? base::formatMilliseconds(*m_firstByteAt - m_startedAt) : std::string("-")},
                                                       {"pause_ms", base::formatMilliseconds(m_longestGap)},
                                                       {"total_ms", base::formatMilliseconds(now - m_startedAt)},
                                                       {"table", std::to_string(m_view->table ? m_view->table->version : 0)},
                                                       {"view", std::to_string(m_plane.view()->sequence)},
                                                       {"age_ms", base::formatMilliseconds(m_plane.tableAge())}});
    m_caller.reset();
    m_plane.onExchangeEnded(m_body->size());
}

} // namespace carawaylatch::proxy
