// Steps of the warm start: members, own domain, other domains, platform.
//
// Up to maxParallelTransfers peers are queried at a time and their snapshots merged,
// so that a peer that is stale or has just started does no harm: the greater
// configuration revision wins, and placements are united. A step ends when every
// queried peer has delivered its snapshot or failed, or on timeout. The platform is
// read only if the peers did not provide both a configuration and hot state: when
// many routers restart at once, all peers are empty.
//
// Readiness is not a step: it is computed from the current state at any time. Losing
// a peer or the platform never makes a ready router not ready.
#include "carawaylatch/handover/warmstart.h"

#include <algorithm>
#include <utility>

namespace carawaylatch::handover
{

using base::TimePoint;

namespace
{

constexpr std::uint32_t MaxPartRetries = 2; // then the transfer is abandoned
constexpr std::uint32_t MaxParts = MaxSnapshotBytes / SnapshotPartBytes + 1;

bool isEmpty(const Snapshot &snapshot)
{
    return snapshot.rows.revision.value == 0 && snapshot.placements.upstreams.empty() && snapshot.levels.levels.empty() && snapshot.marks.empty()
           && snapshot.floors.empty() && snapshot.incarnations.empty();
}

bool hasHotState(const Snapshot &snapshot)
{
    return !snapshot.placements.upstreams.empty() || !snapshot.levels.levels.empty();
}

} // namespace

std::string describeNotReady(NotReadyReason reason, std::string_view platformError)
{
    switch (reason) {
    case NotReadyReason::None:
        return {};
    case NotReadyReason::NoConfiguration:
        return "no configuration: no peer has one"
               + (platformError.empty() ? std::string(" and the platform has not responded yet") : "; platform: " + std::string(platformError))
               + "; check [platform] and [peers] in the settings, or apply the first tables";
    case NotReadyReason::BehindPeers:
        return "other routers have a newer configuration, which is being fetched; wait, or check the peers' ports";
    case NotReadyReason::NoUpstream:
        return "no upstream is available; check the pools' members and that their VMs run";
    case NotReadyReason::Stopping:
        return "the router is shutting down";
    }
    return {};
}

WarmStart::WarmStart(WarmStartOptions options, Decoder decoder, TimePoint now)
    : m_options(std::move(options))
    , m_decoder(std::move(decoder))
    , m_random(m_options.seed)
    , m_stepDeadline(now + m_options.findPeersTimeout)
{
}

void WarmStart::onPeers(std::span<const config::DistributionPeer> peers, TimePoint now)
{
    m_peers.assign(peers.begin(), peers.end());
    if (m_step == WarmStartStep::FindPeers && !m_peers.empty()) {
        enter(WarmStartStep::QueryOwnDomain, now);
    }
    startTransfers(now);
}

void WarmStart::enter(WarmStartStep step, TimePoint now)
{
    m_step = step;
    m_transfers.clear();
    switch (step) {
    case WarmStartStep::FindPeers:
        break;
    case WarmStartStep::QueryOwnDomain:
        m_stepDeadline = now + m_options.ownDomainTimeout;
        break;
    case WarmStartStep::QueryOtherDomains:
        m_stepDeadline = now + m_options.otherDomainsTimeout;
        break;
    case WarmStartStep::QueryPlatform:
        m_stepDeadline = now;
        break;
    case WarmStartStep::Done:
        m_stepDeadline = TimePoint::max();
        m_catchUpDeadline = now + m_options.catchUpTimeout;
        break;
    }
    startTransfers(now);
    if ((step == WarmStartStep::QueryOwnDomain || step == WarmStartStep::QueryOtherDomains) && m_transfers.empty()) {
        finishStep(now);
    } else if (step == WarmStartStep::QueryPlatform) {
        onTick(now);
    }
}

bool WarmStart::mayQuery(const config::DistributionPeer &peer) const
{
    const bool isOwnDomain = peer.domain == m_options.domain;
    return !m_queried.contains(peer.id) && (m_step == WarmStartStep::QueryOwnDomain ? isOwnDomain : m_step == WarmStartStep::QueryOtherDomains && !isOwnDomain);
}

void WarmStart::startTransfers(TimePoint now)
{
    for (const auto &it : m_peers) {
        if (m_transfers.size() < m_options.maxParallelTransfers && mayQuery(it)) {
            m_queried.insert(it.id);
            auto &transfer = m_transfers[it.id];
            transfer.request = m_random.next();
            requestPart(it.id, transfer, now);
        }
    }
}

void WarmStart::requestPart(const base::RouterId &peer, Transfer &transfer, TimePoint now)
{
    transfer.requestedAt = now;
    m_actions.emplace_back(SendSnapshotRequest{peer, {transfer.request, transfer.nextPart}});
}

void WarmStart::onPart(const base::RouterId &from, const SnapshotPart &part, TimePoint now)
{
    const auto it = m_transfers.find(from);
    if (it == m_transfers.end() || it->second.request != part.request || it->second.nextPart != part.part) {
        return; // late or duplicate
    }
    auto &transfer = it->second;
    const bool isFirst = part.part == 0;
    const bool isInconsistent = !isFirst && (part.digest != transfer.digest || part.parts != transfer.parts);
    if (part.parts == 0 || part.parts > MaxParts || isInconsistent || part.bytes.size() > SnapshotPartBytes) {
        abandonTransfer(from, now);
        return;
    }
    transfer.parts = part.parts;
    transfer.digest = part.digest;
    transfer.bytes += part.bytes;
    transfer.retries = 0;
    if (++transfer.nextPart < transfer.parts) {
        requestPart(from, transfer, now);
    } else {
        completeTransfer(from, now);
    }
}

void WarmStart::abandonTransfer(const base::RouterId &peer, TimePoint now)
{
    m_transfers.erase(peer);
    startTransfers(now);
    if (m_transfers.empty()) {
        finishStep(now);
    }
}

void WarmStart::completeTransfer(const base::RouterId &peer, TimePoint now)
{
    const auto transfer = std::move(m_transfers.extract(peer).mapped());
    if (base::hash64(transfer.bytes) == transfer.digest) {
        if (const auto snapshot = m_decoder(transfer.bytes); snapshot) {
            mergeSnapshot(m_snapshot, snapshot.value());
        }
    }
    if (m_transfers.empty()) {
        finishStep(now);
    }
}

// Loads the snapshots received in this step, then ends the warm start or enters the next step.
void WarmStart::finishStep(TimePoint now)
{
    if (!isEmpty(m_snapshot)) {
        m_hasHotState = m_hasHotState || hasHotState(m_snapshot);
        m_revision = std::max(m_revision, m_snapshot.rows.revision);
        m_actions.emplace_back(LoadSnapshot{std::exchange(m_snapshot, {})});
    }
    if (m_hasHotState && m_revision.value != 0) {
        enter(WarmStartStep::Done, now);
    } else if (m_step == WarmStartStep::FindPeers || m_step == WarmStartStep::QueryOtherDomains) {
        enter(m_step == WarmStartStep::FindPeers ? WarmStartStep::QueryOwnDomain : WarmStartStep::QueryPlatform, now);
    } else if (m_step == WarmStartStep::QueryOwnDomain) {
        enter(WarmStartStep::QueryOtherDomains, now);
    }
}

void WarmStart::onPlatform(const base::Result<Snapshot> &result, TimePoint now)
{
    m_isPlatformReadPending = false;
    m_stepDeadline = now + m_options.platformRetryInterval;
    if (!result) {
        m_platformError = result.error().message;
        return;
    }
    m_platformError = result.value().rows.revision.value == 0 ? "no tables are stored yet" : "";
    if (m_step != WarmStartStep::QueryPlatform) {
        return;
    }
    auto snapshot = result.value();
    if (!isEmpty(snapshot)) {
        m_revision = std::max(m_revision, snapshot.rows.revision);
        m_actions.emplace_back(LoadSnapshot{std::move(snapshot)});
    }
    if (m_revision.value != 0) {
        enter(WarmStartStep::Done, now);
    }
}

void WarmStart::onStateChanged(base::Revision revision, std::size_t availableUpstreams)
{
    m_revision = std::max(m_revision, revision);
    m_availableUpstreams = availableUpstreams;
    if (m_step == WarmStartStep::Done && m_revision >= m_requiredRevision) {
        m_requiredRevision = {};
    }
}

void WarmStart::onFleetRevision(base::Revision revision)
{
    if (m_step != WarmStartStep::Done) {
        m_requiredRevision = std::max(m_requiredRevision, revision);
    }
}

void WarmStart::onStopping()
{
    m_isStopping = true;
}

void WarmStart::onTick(TimePoint now)
{
    std::vector<base::RouterId> timedOut;
    for (auto &[peer, transfer] : m_transfers) {
        if (now >= transfer.requestedAt + m_options.partTimeout) {
            if (++transfer.retries > MaxPartRetries) {
                timedOut.push_back(peer);
            } else {
                requestPart(peer, transfer, now);
            }
        }
    }
    for (const auto &it : timedOut) {
        abandonTransfer(it, now);
    }
    if (m_step == WarmStartStep::Done || now < m_stepDeadline) {
        m_requiredRevision = m_step == WarmStartStep::Done && now >= m_catchUpDeadline ? base::Revision{} : m_requiredRevision;
        return;
    }
    if (m_step == WarmStartStep::QueryPlatform) {
        if (!m_isPlatformReadPending) {
            m_isPlatformReadPending = true;
            m_stepDeadline = now + m_options.platformRetryInterval;
            m_actions.emplace_back(ReadPlatform{});
        }
        if (m_revision.value != 0 && !m_platformError.empty()) {
            enter(WarmStartStep::Done, now); // a peer sent a configuration in the meantime
        }
    } else {
        finishStep(now);
    }
}

std::vector<WarmStartAction> WarmStart::takeActions()
{
    return std::exchange(m_actions, {});
}

WarmStartStep WarmStart::step() const
{
    return m_step;
}

NotReadyReason WarmStart::readiness() const
{
    if (m_isStopping) {
        return NotReadyReason::Stopping;
    }
    if (m_revision.value == 0) {
        return NotReadyReason::NoConfiguration;
    }
    if (m_revision < m_requiredRevision) {
        return NotReadyReason::BehindPeers;
    }
    return m_availableUpstreams == 0 ? NotReadyReason::NoUpstream : NotReadyReason::None;
}

std::string WarmStart::notReadyMessage() const
{
    return describeNotReady(readiness(), m_platformError);
}

TimePoint WarmStart::nextDeadline() const
{
    auto next = m_step == WarmStartStep::Done && m_requiredRevision.value != 0 ? m_catchUpDeadline : m_stepDeadline;
    for (const auto &it : m_transfers) {
        next = std::min(next, it.second.requestedAt + m_options.partTimeout);
    }
    return next;
}

} // namespace carawaylatch::handover
