// One caller request, from its last byte to the end of its response.
//
// The steps: check route and key, count the request against its customer's limit, select an
// upstream or wait in the queue, connect, send, reply. After each failed attempt nextStep() decides what follows. An
// exchange ends exactly once, with one log line.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/admission/customerlimits.h"
#include "carawaylatch/base/timerservice.h"
#include "carawaylatch/proxy/attemptrules.h"
#include "carawaylatch/proxy/bodyprogress.h"
#include "carawaylatch/proxy/bufferedbytes.h"
#include "carawaylatch/proxy/callerconnection.h"
#include "carawaylatch/proxy/crashattribution.h"
#include "carawaylatch/proxy/eventscanner.h"
#include "carawaylatch/proxy/fleet.h"
#include "carawaylatch/proxy/placement.h"
#include "carawaylatch/proxy/stallrules.h"
#include "carawaylatch/proxy/streamorigins.h"
#include "carawaylatch/proxy/unreadresponses.h"
#include "carawaylatch/proxy/upstreamconnection.h"
#include "carawaylatch/proxy/upstreamtracker.h"
#include "carawaylatch/proxy/waitqueue.h"

namespace carawaylatch::proxy
{

// One attempt of an exchange, from the selection of an upstream to its end.
struct Attempt
{
    explicit Attempt(std::shared_ptr<std::size_t> bufferedBytes)
        : buffered(std::move(bufferedBytes))
    {
    }

    std::shared_ptr<UpstreamConnection> connection;
    UpstreamRecord *record = nullptr; // of the upstream, or of the other router if isForward
    bool isForward = false; // to another router
    AttemptLoad load;
    base::TimePoint startedAt;
    bool isSent = false;
    std::optional<base::TimePoint> startedOutputAt; // first body bytes received
    bool hasCachedPrefix = false; // as expected when the upstream was selected
    HttpResponseHead head;
    UpstreamResponse response;
    BodyProgress progress;
    // Of a response that is buffered until it is complete, so that a broken one can be retried or replaced by an error.
    std::string body;
    BufferedBytes buffered; // size of `body`
    bool isStreamed = false; // the body is forwarded as it arrives
    bool isReadingPaused = false; // until the caller has taken what is queued, or it is read on
    std::optional<UnreadResponses::Ticket> unread; // from a pause until the caller has taken all
    bool hasEvents = false; // complete events were forwarded; set only for resumable streams
};

class Exchange : public std::enable_shared_from_this<Exchange>, public ResponseListener
{
public:
    Exchange(TrafficPlane &plane, std::shared_ptr<CallerConnection> caller, HttpRequestHead head, std::string body, base::TimePoint startedAt);

    void start();
    // The caller has disconnected.
    void cancel();
    // Ends at once with an explicit response: refused if the request certainly has not run.
    void end(std::string_view reason);
    // Ends the request if its prompt is blocked and no output has begun. Returns true if it did.
    bool endIfBlocked();
    // The snapshot names newer weights than the one before; an attempt may be on older ones now.
    void onWeightsNamed();
    // This router has found that it is cut off from a pool.
    void onPoolCut();
    // All bytes queued for the caller have been written.
    void onCallerDrained();
    // Starts an attempt if an upstream has capacity; returns false if none has.
    bool tryToPlace();
    [[nodiscard]] const base::PoolName &pool() const;
    // Its position in the queue. Only for a request that waits there.
    [[nodiscard]] WaitQueue::Key queueKey() const;
    // True if some upstreams of the pool may not run the request because of their software.
    [[nodiscard]] bool isBoundToSoftware() const;

    void onResponseHead(const HttpResponseHead &head, const UpstreamResponse &response) override;
    void onResponseBody(std::string bytes) override;
    void onResponseEnd() override;
    void onResponseError(std::string_view problem) override;

private:
    [[nodiscard]] bool admit();
    // Counts the request against its customer's limit, and begins or refuses it, maybe after another router has answered.
    void countAgainstLimit();
    void onLimitDecided(const admission::LimitDecision &decision);
    // Ends the wait for a decision, and gives back what a request counted that was never sent.
    void releaseLimit();
    // The request is admitted and within its customer's limit.
    void begin();
    [[nodiscard]] PlacementResult selectUpstream();
    // The software that may run the request; nullptr: any.
    [[nodiscard]] const SoftwareSet *allowedSoftware() const;
    void selectPool();
    [[nodiscard]] bool isAuthorised();
    void placeOrQueue();
    [[nodiscard]] bool hasUntriedUpstream() const;
    void giveUp(std::string_view reason, base::Duration retryAfter);
    void giveUpBefore(const NextRequest &next);
    [[nodiscard]] base::Duration queueRetryDelay() const;
    // True if the request goes on with a stream of which its caller has had a part.
    [[nodiscard]] bool goesOn() const;
    [[nodiscard]] std::uint32_t queueRank() const;
    [[nodiscard]] QueuedRequest queuedRequest() const;
    [[nodiscard]] base::Duration maxQueueWait(base::Duration left) const;
    void reportBreak();
    [[nodiscard]] CrashSubjects crashSubjects() const;
    void joinQueue();
    void startAttempt(const PlacementResult &placement);
    void connectAttempt();
    // Forwards the request to another router, or refuses it, if this one is cut off from its pool. Returns false if
    // the request is to be placed here.
    [[nodiscard]] bool forwardOrGiveUp();
    [[nodiscard]] UpstreamRecord *selectRouter() const;
    void startForward(UpstreamRecord &router);
    [[nodiscard]] std::string forwardHead() const;
    // True if only other routers know where the stream that has begun may go on.
    [[nodiscard]] bool isBoundToRouters() const;
    [[nodiscard]] bool hasSeveralSoftware() const;
    // True if the request begins a stream.
    [[nodiscard]] bool beginsStream() const;
    // True if the stream that the request begins must not begin at another router.
    [[nodiscard]] bool isBoundToThisRouter() const;
    // True if kept connections to upstreams of the pool still work, though it is cut off.
    [[nodiscard]] bool hasLivingConnections() const;
    // Upstreams that get no attempt: those tried, and while the pool is cut off those without a kept connection.
    [[nodiscard]] std::vector<base::UpstreamId> excludedUpstreams() const;
    // True if another attempt can be made at once.
    [[nodiscard]] bool canMove();
    [[nodiscard]] UpstreamTracker &trackerOf(const Attempt &attempt) const;
    // Notes that the request is sent to an upstream.
    void noteSent();
    // Notes what an upstream says of itself in a response.
    void noteResponse(const UpstreamResponse &response);
    void onConnected(std::string_view problem);
    [[nodiscard]] bool isUnwanted() const;
    void sendOrEnd();
    void send();
    [[nodiscard]] AttemptPlan planAttempt() const;
    void endAttempt(AttemptEnd end, std::string_view problem);
    void releaseAttempt(AttemptEnd end);
    [[nodiscard]] AttemptEnd classifyResponse() const;
    [[nodiscard]] bool mayBePartOfStream() const;
    [[nodiscard]] bool endsWithConnection() const;
    [[nodiscard]] bool endsAfterHead() const;
    [[nodiscard]] bool endsInsideEvent() const;
    [[nodiscard]] bool isEventStream() const;
    void noteEventBoundary(std::string_view bytes);
    void forwardResponse();
    void beginStream();
    void forwardStream(std::string_view bytes);
    void limitReading();
    [[nodiscard]] bool mayReadOn();
    void pauseReading();
    void continueReading();
    void resumeReading();
    void forgetUnread();
    // Aborts an attempt that makes no progress if the request may be retried at another upstream.
    void watchProgress();
    // Aborts an attempt that an engine has not started before its weights are too old.
    void watchStart();
    [[nodiscard]] ResponsePhase responsePhase() const;
    // Returns why the attempt counts as stalled, or nothing.
    [[nodiscard]] std::string_view findStall(base::TimePoint now) const;
    void refuse(std::string_view reason, base::Duration retryAfter);
    void replyLocally(unsigned status, std::string_view reason, base::Duration retryAfter);
    void abortReply(std::string_view reason);
    void finish(unsigned status, std::string_view outcome, std::string_view reason);
    void leaveQueue(QueueExit exit = QueueExit::Left);
    [[nodiscard]] bool isResumableStream() const;
    [[nodiscard]] bool isResumption() const;
    // Finds out which software began the stream that the request resumes; the request waits until then.
    void findOrigin();
    void onOriginFound(const OriginAnswer &answer);
    // Limits the request to the software of its stream once that must not change any more.
    void limitToStream();
    [[nodiscard]] std::string resumedRequest() const;
    [[nodiscard]] base::Duration timeLeft(base::TimePoint now) const;
    // Whose KV cache the request may use by the configuration in force now, which may be newer than m_view.
    [[nodiscard]] std::uint64_t cacheScope() const;
    // True if the request's pool consists of engines. They may find prompt parts where this router does not.
    [[nodiscard]] bool isForEngine() const;
    // Key of the shared prefix within the cache scope; zero if there is none.
    [[nodiscard]] std::uint64_t prefixKey() const;

    TrafficPlane &m_plane;
    std::shared_ptr<CallerConnection> m_caller; // reset when the exchange ends
    HttpRequestHead m_head;
    std::shared_ptr<const std::string> m_body;
    const base::TimePoint m_startedAt;
    CallerRequest m_request;
    std::shared_ptr<const FleetView> m_view; // the view in which route and key were looked up
    const Route *m_route = nullptr; // owned by m_view
    const Customer *m_customer = nullptr; // owned by m_view; nullptr on public routes
    std::uint64_t m_fingerprint = 0; // set when the request is admitted
    base::PoolName m_pool;
    std::uint64_t m_sharedPrefix = 0; // key of the shared prefix, the same for all customers; zero if there is none
    std::uint32_t m_sharedTokens = 0;
    std::uint32_t m_urgency = 0;
    std::optional<std::uint64_t> m_limitTicket; // while the request waits for a decision on its customer's limit
    std::uint32_t m_limitCost = 0; // what the request counts; zero: it counts against no limit
    std::optional<base::TimePoint> m_limitUsableUntil; // end of the term of what it has counted
    std::vector<base::UpstreamId> m_triedUpstreams;
    std::vector<base::UpstreamId> m_triedRouters; // to which the request was forwarded
    AttemptHistory m_history;
    std::optional<Attempt> m_attempt; // in progress
    std::optional<WaitQueue::Ticket> m_queueTicket; // while waiting
    base::TimerService::Subscription m_deadlineTimer;
    base::TimerService::Subscription m_queueTimer;
    base::TimerService::Subscription m_startTimer; // armed until an attempt on older weights has started
    base::TimerService::Subscription m_progressTimer; // armed during attempts of a repeatable request
    base::TimerService::Subscription m_unreadTimer; // armed while the attempt has a ticket of UnreadResponses
    EventScanner m_scanner;
    std::optional<base::TimePoint> m_sentAt; // of the first attempt that was sent
    std::optional<base::TimePoint> m_firstByteAt; // first byte of the response
    base::TimePoint m_lastByteAt; // last bytes of a streamed response
    base::TimePoint m_lastEventAt; // last complete events of a resumable stream, or the end of a pause in reading
    std::string m_lastBytes; // up to EventEndBytes of a stream that is passed through
    base::Duration m_longestGap{}; // between consecutive reads of a streamed response
    base::UpstreamId m_lastUpstream;
    base::SoftwareVersion m_lastSoftware; // of m_lastUpstream when the attempt started, or was sent
    std::uint64_t m_stream = 0; // the stream that the request begins or resumes; zero if the caller does not name it
    bool m_isOriginPending = false;
    base::TimerService::Subscription m_originTimer;
    std::optional<SoftwareSet> m_streamSoftware; // the one version at which the stream may go on; empty while any may begin it
    bool m_isBegunElsewhere = false; // another router sent the head of the response
    bool m_isStreaming = false; // the response head was sent to the caller
    unsigned m_streamStatus = 0; // in that head
    bool m_isPassThrough = false; // bytes are forwarded as they arrive, without splitting into events
    bool m_isEnded = false;
};

} // namespace carawaylatch::proxy
