// One request of a caller, from its last byte to the end of its answer.
//
// The steps: check (route, key), place or wait, connect, send, answer. Each
// failed attempt is put to nextStep(); the exchange only carries out what the
// tables and state machines decide. It ends exactly once, with one log line.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/timerservice.h"
#include "carawaylatch/proxy/attemptrules.h"
#include "carawaylatch/proxy/callerconnection.h"
#include "carawaylatch/proxy/eventscanner.h"
#include "carawaylatch/proxy/fleet.h"
#include "carawaylatch/proxy/placement.h"
#include "carawaylatch/proxy/upstreamconnection.h"
#include "carawaylatch/proxy/upstreamtracker.h"
#include "carawaylatch/proxy/waitqueue.h"

namespace carawaylatch::proxy
{

// One attempt of an exchange, from its placement to its end.
struct Attempt
{
    std::shared_ptr<UpstreamConnection> connection;
    UpstreamRecord *record = nullptr;
    AttemptLoad load;
    base::TimePoint startedAt;
    bool isSent = false;
    bool hasStarted = false;
    bool hasCachedPrefix = false; // of the prompt, as placed
    HttpResponseHead head;
    UpstreamResponse response;
    std::string body; // of an answer that is passed on whole
};

class Exchange : public std::enable_shared_from_this<Exchange>, public ResponseListener
{
public:
    Exchange(TrafficPlane &plane, std::shared_ptr<CallerConnection> caller, HttpRequestHead head, std::string body, base::TimePoint startedAt);

    void start();
    // The caller has left.
    void cancel();
    // The caller has taken all bytes that were queued for it.
    void onCallerDrained();
    // Places the request if there is room; false if it goes on waiting.
    bool tryToPlace();
    [[nodiscard]] const base::PoolName &pool() const;

    void onResponseHead(const HttpResponseHead &head, const UpstreamResponse &response) override;
    void onResponseBody(std::string bytes) override;
    void onResponseEnd() override;
    void onResponseError(std::string_view problem) override;

private:
    [[nodiscard]] bool admit();
    [[nodiscard]] PlacementResult selectUpstream() const;
    void selectPool();
    [[nodiscard]] bool isAuthorised();
    void placeOrQueue();
    void joinQueue();
    void startAttempt(const PlacementResult &placement);
    void onConnected(std::string_view problem);
    void send();
    [[nodiscard]] AttemptPlan planAttempt() const;
    void endAttempt(AttemptEnd end, std::string_view problem);
    void releaseAttempt(AttemptEnd end);
    [[nodiscard]] AttemptEnd classifyResponse() const;
    void forwardResponse();
    void beginStream();
    void forwardStream(std::string_view bytes);
    void onTimeout();
    // Gives an attempt up that makes no progress, where the request may go to another upstream.
    void watchProgress();
    // Takes an attempt back that waits at an engine until its weights are too old.
    void watchStart();
    [[nodiscard]] std::string_view stallReason(base::TimePoint now) const;
    void refuse(std::string_view reason, base::Duration retryAfter);
    void replyLocally(unsigned status, std::string_view reason, base::Duration retryAfter);
    void abortReply(std::string_view reason);
    void finish(unsigned status, std::string_view outcome, std::string_view reason);
    void leaveQueue();
    [[nodiscard]] base::Duration timeLeft(base::TimePoint now) const;

    // An answer that does not stream is held back up to this size, so that one which
    // breaks can be tried again or becomes an error; a longer one is passed on as it comes.
    static constexpr std::size_t MaxBufferedResponseBytes = 262'144;
    // Bytes that a slow caller may leave in this process before the upstream is no longer read.
    static constexpr std::size_t MaxCallerQueueBytes = 262'144;

    TrafficPlane &m_plane;
    std::shared_ptr<CallerConnection> m_caller; // until the end
    HttpRequestHead m_head;
    std::shared_ptr<const std::string> m_body;
    const base::TimePoint m_startedAt;
    CallerRequest m_request;
    std::shared_ptr<const FleetView> m_view; // the one that route and key were checked against
    const Route *m_route = nullptr; // lives as long as m_view
    const Customer *m_customer = nullptr; // likewise; nothing on public routes
    base::PoolName m_pool;
    std::uint64_t m_prefixKey = 0;
    std::uint32_t m_sharedTokens = 0;
    std::uint32_t m_urgency = 0;
    std::vector<base::UpstreamId> m_triedUpstreams;
    AttemptHistory m_history;
    std::optional<Attempt> m_attempt; // under way
    std::optional<WaitQueue::Key> m_queueKey; // while waiting
    base::TimerService::Subscription m_deadlineTimer;
    base::TimerService::Subscription m_queueTimer;
    base::TimerService::Subscription m_startTimer; // while an attempt on older weights has not begun
    base::TimerService::Subscription m_progressTimer; // while an attempt of a repeatable request is under way
    EventScanner m_scanner;
    std::optional<base::TimePoint> m_sentAt; // of the first attempt that was sent
    std::optional<base::TimePoint> m_firstByteAt; // first byte of the answer
    base::TimePoint m_lastByteAt; // of a stream
    base::Duration m_longestGap{}; // between two pieces of a stream
    base::UpstreamId m_lastUpstream;
    bool m_isStreaming = false; // the answer's head went to the caller
    bool m_isPassThrough = false; // m_isStreaming, and not a resumable stream
    bool m_isEnded = false;
};

} // namespace carawaylatch::proxy
