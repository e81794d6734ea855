// Attempts of an exchange: connect, send, process the response, decide on a retry.
#include "carawaylatch/proxy/exchange.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "carawaylatch/proxy/kvtransfer.h"
#include "carawaylatch/proxy/promptparts.h"
#include "carawaylatch/proxy/trafficplane.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr base::Duration ProgressInterval = base::milliseconds{100}; // between checks of an attempt's progress

// Nothing if the end of the body is marked by its last chunk or the end of the connection.
std::optional<std::uint64_t> bodyLength(const HttpResponseHead &head)
{
    const std::string *text = findField(head.fields, "content-length");
    std::uint64_t length = 0;
    if (text == nullptr || std::from_chars(text->data(), text->data() + text->size(), length).ec != std::errc()) {
        return std::nullopt;
    }
    return length;
}

} // namespace

void Exchange::startAttempt(const PlacementResult &placement)
{
    Attempt &attempt = m_attempt.emplace(m_plane.responseBytes());
    attempt.record = placement.record;
    attempt.hasCachedPrefix = placement.hasCachedPrefix;
    attempt.startedAt = m_plane.now();
    attempt.load.memoryTokens = m_request.promptTokens + m_request.maxOutputTokens;
    attempt.load.prefillTokens = placement.hasCachedPrefix ? m_request.promptTokens - std::min(m_sharedTokens, m_request.promptTokens) : m_request.promptTokens;
    attempt.load.room = placement.room;
    m_lastUpstream = placement.record->upstream.id;
    m_lastSoftware = placement.record->upstream.software;
    m_triedUpstreams.push_back(m_lastUpstream);
    m_plane.tracker().onAttemptStarted(*attempt.record, attempt.load, attempt.startedAt);
    if (m_route->isRepeatable()) {
        watchProgress();
    }
    connectAttempt();
}

void Exchange::connectAttempt()
{
    Attempt &attempt = *m_attempt;
    const Upstream &upstream = attempt.record->upstream;
    // A connection that has been idle may be broken; a request that must not be repeated would be lost on it.
    const bool isDoubtful = m_plane.reach().isSuspected(upstream.id) && !hasLivingConnections();
    const bool isFresh = !m_route->isRepeatable() && (attempt.isForward || isDoubtful);
    attempt.connection = isFresh ? nullptr : m_plane.takeIdleConnection(upstream, m_route->isRepeatable(), m_request.id);
    if (attempt.connection) {
        sendOrEnd();
        return;
    }
    attempt.connection = std::make_shared<UpstreamConnection>(m_plane, upstream.id, upstream.startTimeMs);
    ++m_plane.counts().connections;
    attempt.connection->connect(upstream.endpoint, m_plane.settings().connectTimeout, [weak = weak_from_this()](std::string_view problem) {
        if (const auto self = weak.lock()) {
            self->onConnected(problem);
        }
    });
}

void Exchange::onConnected(std::string_view problem)
{
    if (!m_attempt || m_isEnded) {
        return;
    }
    if (!problem.empty()) {
        endAttempt(AttemptEnd::NotSent, problem);
        return;
    }
    limitToStream();
    if (m_attempt->isForward && isBoundToThisRouter()) {
        endAttempt(AttemptEnd::NotSent, "the software of the stream was stored");
        return;
    }
    if (!m_attempt->isForward && isUnwanted()) {
        endAttempt(AttemptEnd::NotSent, "the upstream leaves, has asked for a pause, has named a limit or runs other software");
        return;
    }
    sendOrEnd();
}

// True if the upstream has said, since the attempt started, that it wants no such request, or has started again
// with other software.
bool Exchange::isUnwanted() const
{
    const UpstreamRecord &record = *m_attempt->record;
    return !record.takesRequests(m_plane.now()) || !record.runsOneOf(allowedSoftware())
           || m_plane.tracker().limits().hasBegunAfter(record.key(), m_attempt->startedAt);
}

void Exchange::sendOrEnd()
{
    m_plane.contain(
        "attempt",
        [this] {
            send();
        },
        [this] {
            end("unexpected_error");
        });
}

bool Exchange::isForEngine() const
{
    const Pool *pool = m_view->table->pool(m_pool);
    return pool != nullptr && pool->engine.has_value();
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
    if (m_request.model.isEmpty() && m_request.parts.empty() && !isForEngine()) {
        return plan;
    }
    plan.weights = m_attempt->record->weights;
    const KvTransferPlan state = planKvTransfer(prefixKey(), m_sharedTokens, *m_attempt->record, *m_plane.view(), m_plane.tracker(), m_plane.now());
    plan.fetchFrom = state.fetchFrom;
    plan.saveTo = state.saveTo;
    plan.cacheNamespace = cacheNamespace(m_request.model, plan.weights, cacheScope());
    return plan;
}

void Exchange::send()
{
    Attempt &attempt = *m_attempt;
    std::string head = attempt.isForward ? forwardHead() : m_plane.dialect().formatAttemptHead(m_head, planAttempt());
    const bool hasBody = !m_body->empty() || findField(m_head.fields, "content-length") != nullptr || findField(m_head.fields, "transfer-encoding") != nullptr;
    if (hasBody) {
        appendField(head, "Content-Length", std::to_string(m_body->size()));
    }
    head.append("\r\n");
    attempt.isSent = true;
    ++m_history.sent;
    if (!m_sentAt) {
        m_sentAt = m_plane.now();
    }
    m_scanner.restart();
    if (attempt.isForward) {
        ++m_plane.counts().forwarded;
        if (beginsStream()) {
            m_plane.origins().onForwarded(m_stream);
        }
    } else {
        noteSent();
    }
    attempt.connection->send(std::move(head), m_body, m_request.id, m_head.method == "HEAD", weak_from_this());
}

void Exchange::noteSent()
{
    Attempt &attempt = *m_attempt;
    m_lastSoftware = attempt.record->upstream.software;
    if (isResumableStream() && !isResumption()) {
        m_plane.origins().onSent(m_stream, m_pool, m_lastSoftware, m_plane.now());
    }
    ++m_plane.counts().attempts;
    if (m_sharedPrefix != 0) {
        m_plane.tracker().onPromptSent(kvCacheKey(prefixKey(), attempt.record->weights), *attempt.record, m_plane.now());
    }
    watchStart();
}

void Exchange::onResponseHead(const HttpResponseHead &head, const UpstreamResponse &response)
{
    if (!m_attempt) {
        return;
    }
    Attempt &attempt = *m_attempt;
    const base::TimePoint now = m_plane.now();
    attempt.head = head;
    attempt.response = response;
    trackerOf(attempt).onBytesReceived(*attempt.record, now);
    if (!attempt.isForward) {
        noteResponse(response);
    }
    if (m_route->kind == CallKind::Stream && classifyResponse() == AttemptEnd::Answered && head.status < 300) {
        beginStream();
    }
}

void Exchange::noteResponse(const UpstreamResponse &response)
{
    Attempt &attempt = *m_attempt;
    m_plane.onUpstreamLoad(*attempt.record, response);
    if (response.isLeaving) {
        m_plane.onUpstreamLeaving(*attempt.record);
    }
    if (response.pause) {
        m_plane.onUpstreamPause(*attempt.record, *response.pause);
    }
    if (response.requestLimit || response.isSigned) {
        m_plane.onUpstreamLimit(*attempt.record, response.requestLimit, attempt.startedAt);
    }
    if (response.brittle || response.isSigned) {
        m_plane.onUpstreamBrittle(*attempt.record, response.brittle, attempt.startedAt);
    }
    if (response.isFull) {
        m_plane.onUpstreamFull(*attempt.record, attempt.load);
    }
    if (response.weights && *response.weights != attempt.record->weights) {
        attempt.record->weights = *response.weights;
        m_plane.observer().onWeightsSeen(attempt.record->upstream.id, *response.weights);
    }
}

void Exchange::onResponseBody(std::string bytes)
{
    if (!m_attempt) {
        return;
    }
    ++m_plane.counts().reads;
    Attempt &attempt = *m_attempt;
    trackerOf(attempt).onBytesReceived(*attempt.record, m_plane.now());
    if (!attempt.startedOutputAt) {
        attempt.startedOutputAt = m_plane.now();
        trackerOf(attempt).onFirstOutput(*attempt.record, attempt.load);
    }
    if (attempt.isStreamed) {
        forwardStream(bytes);
        return;
    }
    attempt.progress.onBytes(bytes.size(), m_plane.now());
    attempt.body.append(bytes);
    attempt.buffered.set(attempt.body.size());
    if (attempt.body.size() <= m_plane.responseBufferBytes()) {
        return;
    }
    const AttemptEnd end = classifyResponse();
    if (end != AttemptEnd::Answered) {
        endAttempt(end == AttemptEnd::NotExecuted ? end : AttemptEnd::Broken, "the body of an error response is too long");
    } else {
        m_isPassThrough = true;
        beginStream();
        attempt.buffered.set(0);
        forwardStream(std::exchange(attempt.body, {}));
    }
}

void Exchange::beginStream()
{
    Attempt &attempt = *m_attempt;
    attempt.isStreamed = true;
    if (!m_route->isResumable) {
        m_isPassThrough = true;
    }
    if (m_isStreaming) {
        return; // resumed after a failed attempt; the caller already has a response head
    }
    m_isStreaming = true;
    m_streamStatus = attempt.head.status;
    m_isBegunElsewhere = attempt.isForward;
    if (m_route->isResumable && !attempt.isForward) {
        m_streamSoftware.emplace().insert(m_lastSoftware);
    }
    m_history.hasResponseStarted = true;
    m_history.canResume = !m_isPassThrough;
    m_caller->beginReply(Reply{attempt.head.status, attempt.head.reason, forwardableFields(attempt.head.fields), {}});
}

void Exchange::forwardStream(std::string_view bytes)
{
    const base::TimePoint now = m_plane.now();
    if (!m_firstByteAt) {
        m_firstByteAt = now;
    } else {
        m_longestGap = std::max(m_longestGap, now - m_lastByteAt);
    }
    m_lastByteAt = now;
    if (m_isPassThrough) {
        noteEventBoundary(bytes);
        m_caller->sendBodyBytes(bytes);
    } else {
        const std::string events = m_scanner.feed(bytes);
        if (m_scanner.isTooLong()) {
            endAttempt(AttemptEnd::Broken, "an event of the stream is too long");
            return;
        }
        if (!events.empty()) {
            m_lastEventAt = now;
            m_attempt->hasEvents = true;
        }
        if (m_scanner.hasGap()) {
            releaseAttempt(AttemptEnd::Broken);
            abortReply("event_missing");
            return;
        }
        m_caller->sendBodyBytes(events);
    }
    limitReading();
}

AttemptEnd Exchange::classifyResponse() const
{
    const Attempt &attempt = *m_attempt;
    if (attempt.response.isNotExecuted) {
        return AttemptEnd::NotExecuted;
    }
    const unsigned status = attempt.head.status;
    if (attempt.isForward && !attempt.response.isSigned && impliesNotExecuted(status)) {
        return AttemptEnd::NotExecuted; // the other router's own promise
    }
    if (status >= 500 || impliesNotExecuted(status)) {
        return AttemptEnd::ServerError;
    }
    const bool isSuccess = status >= 200 && status < 300;
    if (isSuccess && (!attempt.response.isSigned || attempt.response.isEncoded)) {
        return AttemptEnd::Broken; // altered by an intermediary, or not sent by the upstream
    }
    if (m_isStreaming && !mayBePartOfStream()) {
        return AttemptEnd::ServerError;
    }
    return AttemptEnd::Answered;
}

// True if the response can continue the one of which the caller already has the head.
bool Exchange::mayBePartOfStream() const
{
    return m_attempt->isStreamed || (m_attempt->head.status == m_streamStatus && isEventStream());
}

void Exchange::onResponseEnd()
{
    if (!m_attempt) {
        return;
    }
    const AttemptEnd end = classifyResponse();
    if (end == AttemptEnd::Answered && endsAfterHead()) {
        reportBreak();
        endAttempt(AttemptEnd::Broken, "the response ended before its body");
        return;
    }
    if (m_isStreaming && end == AttemptEnd::Answered && endsInsideEvent()) {
        reportBreak();
        endAttempt(AttemptEnd::Broken, "the stream ended inside an event");
        return;
    }
    endAttempt(end, {});
}

// True if the end of the connection is also the end of the response. An upstream that crashed may have sent it.
bool Exchange::endsWithConnection() const
{
    const HttpFields &fields = m_attempt->head.fields;
    return findField(fields, "content-length") == nullptr && findField(fields, "transfer-encoding") == nullptr;
}

// True if a successful response has ended with its connection before the first byte of its body. An upstream that has an
// empty body to send names its length.
bool Exchange::endsAfterHead() const
{
    constexpr unsigned NoContent = 204;
    constexpr unsigned ResetContent = 205;
    const unsigned status = m_attempt->head.status;
    const bool hasBody = m_head.method != "HEAD" && status < 300 && status != NoContent && status != ResetContent;
    return hasBody && endsWithConnection() && !m_attempt->startedOutputAt;
}

// True if a stream has ended before the end of an event.
bool Exchange::endsInsideEvent() const
{
    if (!m_isPassThrough) {
        return !m_scanner.isAtBoundary() || (endsWithConnection() && !m_attempt->hasEvents);
    }
    return endsWithConnection() && isEventStream() && !endsWithEvent(m_lastBytes);
}

// A response on a stream route is a stream of events unless its type says otherwise.
bool Exchange::isEventStream() const
{
    constexpr std::string_view EventStreamType = "text/event-stream";
    const std::string *type = findField(m_attempt->head.fields, "content-type");
    if (type == nullptr) {
        return m_route->kind == CallKind::Stream;
    }
    return equalsIgnoringCase(std::string_view(*type).substr(0, EventStreamType.size()), EventStreamType);
}

// Keeps the last bytes of a stream that is forwarded without splitting it into events.
void Exchange::noteEventBoundary(std::string_view bytes)
{
    m_lastBytes.append(bytes.substr(bytes.size() - std::min(bytes.size(), EventEndBytes)));
    m_lastBytes.erase(0, m_lastBytes.size() - std::min(m_lastBytes.size(), EventEndBytes));
}

void Exchange::onResponseError(std::string_view problem)
{
    if (m_attempt) {
        reportBreak();
        endAttempt(AttemptEnd::Broken, problem);
    }
}

// The upstream broke the attempt off. It may have crashed, and this request may be the cause if
// its output had hardly begun.
void Exchange::reportBreak()
{
    const Attempt &attempt = *m_attempt;
    const base::TimePoint now = m_plane.now();
    const bool hasLongBegun = attempt.startedOutputAt && now - *attempt.startedOutputAt > CrashAttribution::FirstOutputTime;
    if (attempt.isSent && !attempt.isForward && !hasLongBegun) {
        const Upstream &upstream = attempt.record->upstream;
        m_plane.crashes().onBrokenOff({m_request.model, m_request.parts, m_fingerprint, upstream.id, upstream.startTimeMs, now});
    }
}

void Exchange::onWeightsNamed()
{
    if (m_attempt && m_attempt->isSent && !m_attempt->isForward && !m_attempt->startedOutputAt) {
        watchStart();
    }
}

void Exchange::watchStart()
{
    const auto view = m_plane.view();
    const auto target = view->targets.find(m_request.model);
    const auto supersededAt = target != view->targets.end() ? target->second.supersededAt(m_attempt->record->weights) : std::nullopt;
    if (!supersededAt) {
        return;
    }
    m_startTimer = m_plane.timers().after(*supersededAt, m_plane.settings().placement.oldWeightsStart, [weak = weak_from_this()](base::TimePoint) {
        const auto self = weak.lock();
        if (self && self->m_attempt && !self->m_attempt->startedOutputAt) {
            self->endAttempt(AttemptEnd::Broken, "not started before its weights were too old");
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
        const std::string_view reason = self->findStall(now);
        // A stalled attempt is aborted only if the retry budget and an upstream are available for another one.
        if (!reason.empty() && self->m_plane.budget(self->m_pool).mayTake(now) && self->canMove()) {
            self->endAttempt(AttemptEnd::Broken, reason);
        }
    });
}

// The caller may have bytes of an earlier attempt while this one still waits.
ResponsePhase Exchange::responsePhase() const
{
    if (m_isStreaming) {
        return ResponsePhase::PassedOn;
    }
    return m_attempt->startedOutputAt ? ResponsePhase::Buffered : ResponsePhase::Waiting;
}

// An attempt is never stalled when the request has no attempts left, because ending it would gain nothing.
std::string_view Exchange::findStall(base::TimePoint now) const
{
    const Attempt &attempt = *m_attempt;
    if (!hasAttemptLeft(*m_route, m_history)) {
        return {};
    }
    const double prefillRate = m_plane.settings().placement.prefillMillisecondsPerToken;
    AttemptState state;
    state.kind = m_route->kind;
    state.phase = responsePhase();
    state.canResume = m_history.canResume;
    state.isReadingPaused = attempt.isReadingPaused;
    state.isPoolCut = !attempt.isForward && m_plane.reach().isCut(m_pool) && now - attempt.record->silentSince > Reachability::SuspiciousSilence;
    state.isUpstreamSilent = attempt.record->isSilent(now, prefillRate);
    state.age = now - attempt.startedAt;
    state.targetLatency = m_route->targetLatency;
    state.isBodyInTime = attempt.progress.isInTime(bodyLength(attempt.head), timeLeft(now), now);
    if (m_firstByteAt) {
        state.eventGap = now - std::max(m_lastEventAt, attempt.startedAt);
    }
    if (!attempt.startedOutputAt) {
        state.prefillTime = attempt.record->prefillTime(prefillRate);
    }
    return stallReason(state);
}

void Exchange::releaseAttempt(AttemptEnd end)
{
    m_progressTimer.cancel();
    m_startTimer.cancel();
    Attempt &attempt = *m_attempt;
    forgetUnread();
    if (attempt.isReadingPaused) {
        resumeReading();
    }
    const base::TimePoint now = m_plane.now();
    // What an upstream wants tells nothing of its health.
    const bool isUpstreamsWish = !attempt.isForward && (attempt.response.pause || (attempt.isSent ? !attempt.record->takesRequests(now) : isUnwanted()));
    const AttemptEnd observed = isUpstreamsWish ? AttemptEnd::NotExecuted : end;
    trackerOf(attempt).onAttemptEnded(*attempt.record, attempt.load, attempt.startedOutputAt.has_value(), observed, now);
    if (!attempt.isForward) {
        m_plane.queue(m_pool).completionRate().record(now);
    }
    m_plane.schedulePlacement();
}

void Exchange::endAttempt(AttemptEnd end, std::string_view problem)
{
    const base::TimePoint now = m_plane.now();
    releaseAttempt(end);
    if (end == AttemptEnd::Answered && !m_attempt->isForward && m_attempt->head.status < 300) {
        m_plane.crashes().onAnswered(crashSubjects(), now);
    }
    m_history.connectFailures += end == AttemptEnd::NotSent ? 1 : 0;
    m_history.notExecuted += end == AttemptEnd::NotExecuted ? 1 : 0;
    m_history.hasTimeLeft = timeLeft(now) > base::Duration{};
    NextStep step = nextStep(*m_route, end, m_history);
    // A request under which an upstream has crashed before does not end a second one by a retry.
    const bool isSuspect = end == AttemptEnd::Broken && m_plane.crashes().isSuspect(crashSubjects());
    if (step == NextStep::Retry && end != AttemptEnd::NotSent && (isSuspect || !m_plane.budget(m_pool).tryTake(now))) {
        m_history.hasBudget = false;
        step = nextStep(*m_route, end, m_history);
    }
    if (end != AttemptEnd::Answered) {
        m_plane.log().write(base::LogEvent::AttemptFailed,
                            {{"id", m_request.id},
                             {"upstream", m_lastUpstream.value()},
                             {"software", m_lastSoftware.value()},
                             {"end", std::string(attemptEndName(end))},
                             {"next", std::string(nextStepName(step))},
                             {"problem", problem.empty() ? "status " + std::to_string(m_attempt->head.status) : std::string(problem)},
                             {"elapsed_ms", base::formatMilliseconds(now - m_attempt->startedAt)},
                             {"load", std::to_string(m_attempt->record->inflight)},
                             {"output_ms", m_attempt->startedOutputAt ? base::formatMilliseconds(now - *m_attempt->startedOutputAt) : std::string("-")},
                             {"prompt", formatSharedParts(m_request.parts)},
                             {"request", formatPartId(m_fingerprint)}});
    }
    switch (step) {
    case NextStep::Retry:
        m_attempt->connection->close();
        m_attempt.reset();
        m_plane.counts().resumed += m_isStreaming ? 1 : 0;
        placeOrQueue();
        break;
    case NextStep::Forward:
        forwardResponse();
        break;
    case NextStep::RefuseNotExecuted:
        refuse(end == AttemptEnd::NotSent ? "not_reached" : "not_executed", RetrySchedule::MinDelay);
        break;
    case NextStep::FailOutcomeUnknown:
        replyLocally(502, "answer_lost", {});
        break;
    case NextStep::Abort:
        abortReply("answer_lost");
        break;
    }
}

void Exchange::forwardResponse()
{
    Attempt &attempt = *m_attempt;
    if (m_isStreaming) {
        m_caller->endReply();
        finish(attempt.head.status, "served", {});
        return;
    }
    // Callers may retry after a status that implies "not executed". For a non-repeatable
    // request that may have run it is replaced by 502.
    if (impliesNotExecuted(attempt.head.status) && !m_route->isRepeatable()) {
        replyLocally(502, "upstream_refused_without_promise", {});
        return;
    }
    const unsigned status = attempt.head.status;
    if (!m_firstByteAt) {
        m_firstByteAt = m_plane.now();
    }
    const auto caller = m_caller;
    const Reply reply{status, attempt.head.reason, forwardableFields(attempt.head.fields), std::move(attempt.body)};
    finish(status, status < 500 ? "served" : "upstream_error", {});
    caller->reply(reply);
}

} // namespace carawaylatch::proxy
