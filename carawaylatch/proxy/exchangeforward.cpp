// Forwarding of an exchange to another router while this one is cut off from the pool.
//
// The other router decides about the request like about a caller's, and tries it once: what
// follows a failure is decided here, by the same rules as for upstreams. It never forwards the request further.
#include "carawaylatch/proxy/exchange.h"

#include <algorithm>

#include "carawaylatch/proxy/trafficplane.h"

namespace carawaylatch::proxy
{

namespace
{

constexpr base::Duration UnreachedRetryAfter = base::milliseconds{250}; // as long as a cut that has ended takes to be noticed
constexpr std::uint32_t ForwardedAttempts = 1; // that another router may make

} // namespace

UpstreamTracker &Exchange::trackerOf(const Attempt &attempt) const
{
    return attempt.isForward ? m_plane.peerRouters().tracker() : m_plane.tracker();
}

bool Exchange::hasSeveralSoftware() const
{
    const auto &members = m_plane.tracker().members(m_pool);
    return std::any_of(members.begin(), members.end(), [&members](const UpstreamRecord *record) {
        return record->upstream.software != members.front()->upstream.software;
    });
}

bool Exchange::isBoundToRouters() const
{
    return m_isBegunElsewhere && isResumableStream() && !m_streamSoftware;
}

bool Exchange::beginsStream() const
{
    return isResumableStream() && !m_scanner.lastEventId();
}

// Another router may begin the stream anew, at software that this one need not know of.
bool Exchange::isBoundToThisRouter() const
{
    const bool hasBegun = m_history.sent > m_history.notExecuted;
    return beginsStream() && (m_streamSoftware || (hasBegun && (hasSeveralSoftware() || m_plane.origins().findFixed(m_stream, m_plane.now()))));
}

// The router to forward the request to, or nullptr.
UpstreamRecord *Exchange::selectRouter() const
{
    if (m_request.forwardedAttempts || isBoundToThisRouter()) {
        return nullptr;
    }
    return m_plane.peerRouters().choose(m_pool, m_plane.settings().domain, m_triedRouters, m_plane.random(), m_plane.now());
}

bool Exchange::hasLivingConnections() const
{
    const auto cutAt = m_plane.reach().cutAt(m_pool);
    const auto &members = m_plane.tracker().members(m_pool);
    return cutAt && std::any_of(members.begin(), members.end(), [this, &cutAt](const UpstreamRecord *record) {
               return record->receivedAt > *cutAt && m_plane.hasIdleConnection(record->upstream.id);
           });
}

std::vector<base::UpstreamId> Exchange::excludedUpstreams() const
{
    std::vector<base::UpstreamId> out = m_triedUpstreams;
    if (m_plane.reach().isCut(m_pool)) {
        for (const UpstreamRecord *record : m_plane.tracker().members(m_pool)) {
            if (!m_plane.hasIdleConnection(record->upstream.id)) {
                out.push_back(record->upstream.id);
            }
        }
    }
    return out;
}

bool Exchange::canMove()
{
    if (m_plane.reach().isCut(m_pool) || isBoundToRouters()) {
        return selectRouter() != nullptr;
    }
    return selectUpstream().verdict == PlacementVerdict::Chosen;
}

bool Exchange::forwardOrGiveUp()
{
    const bool isCut = m_plane.reach().isCut(m_pool);
    const bool mustForward = isCut || isBoundToRouters();
    if (!mustForward) {
        const double share = m_plane.reach().resumedShare(m_pool, m_plane.now());
        if (share >= 1 || m_request.forwardedAttempts || m_plane.random().uniformReal() < share) {
            return false;
        }
    }
    UpstreamRecord *router = selectRouter();
    if (router == nullptr && !mustForward) {
        return false;
    }
    if (router == nullptr && !isBoundToRouters() && hasLivingConnections()) {
        return false;
    }
    leaveQueue();
    if (router != nullptr) {
        startForward(*router);
    } else {
        giveUp("pool_not_reached", UnreachedRetryAfter);
    }
    return true;
}

void Exchange::startForward(UpstreamRecord &router)
{
    Attempt &attempt = m_attempt.emplace(m_plane.responseBytes());
    attempt.record = &router;
    attempt.isForward = true;
    attempt.startedAt = m_plane.now();
    attempt.load.memoryTokens = m_request.promptTokens + m_request.maxOutputTokens;
    attempt.load.prefillTokens = m_request.promptTokens;
    m_lastUpstream = router.upstream.id;
    m_lastSoftware = {};
    m_triedRouters.push_back(m_lastUpstream);
    trackerOf(attempt).onAttemptStarted(router, attempt.load, attempt.startedAt);
    if (m_route->isRepeatable()) {
        watchProgress();
    }
    connectAttempt();
}

std::string Exchange::forwardHead() const
{
    ForwardPlan plan;
    plan.timeLeft = timeLeft(m_plane.now());
    plan.attempts = ForwardedAttempts;
    plan.lastEventId = m_scanner.lastEventId();
    if (!isResumption() && plan.lastEventId) {
        plan.resumes = m_request.id; // this request began the stream
    }
    return m_plane.dialect().formatForwardHead(m_head, plan);
}

void Exchange::onPoolCut()
{
    if (m_attempt && !m_attempt->isForward && !m_attempt->isSent && m_plane.reach().isCut(m_pool)) {
        endAttempt(AttemptEnd::NotSent, "the pool is not reached");
    }
}

} // namespace carawaylatch::proxy
