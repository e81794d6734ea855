// The times of an observer's reads.
#include "carawaylatch/gateway/leaseobserver.h"

namespace carawaylatch::gateway
{

namespace
{

// Between two reads, in lease durations. More than one, so that a lease with the same version in both has expired; random, so
// that the routers don't find that at the same moment.
constexpr double MinReadInterval = 1.75;
constexpr double MaxReadInterval = 2.25;
// Of the first read after the start, or after this router was a candidate. Candidates acquire a free lease within one.
constexpr double MinFirstRead = 1;
constexpr double MaxFirstRead = 2;

base::Duration randomTime(base::Random &random, base::Duration unit, double min, double max)
{
    return base::fromSeconds(base::toSeconds(unit) * (min + (max - min) * random.uniformReal()));
}

} // namespace

LeaseObserver::LeaseObserver(base::Duration leaseDuration, std::uint64_t seed)
    : m_leaseDuration(leaseDuration)
    , m_random(seed)
{
}

LeaseTurn LeaseObserver::turn(base::TimePoint now, bool isCandidate, const fleet::LeaseState &state)
{
    if (isCandidate) {
        m_nextRead.reset();
        m_wasPolling = true;
        return LeaseTurn::Poll;
    }
    if (!m_nextRead) {
        m_nextRead = now + randomTime(m_random, m_leaseDuration, MinFirstRead, MaxFirstRead);
    }
    // A holder goes on, and so does a router whose write is still to be verified, or has taken effect late.
    const bool isUnchanged = m_unchanged && m_unchanged == state.observedVersion;
    const bool isOwn = m_wasPolling && state.hasNoHolder;
    m_wasPolling = state.phase != fleet::LeasePhase::Observing || isUnchanged || isOwn;
    if (m_wasPolling) {
        return LeaseTurn::Poll;
    }
    if (now < *m_nextRead) {
        return LeaseTurn::Wait;
    }
    m_nextRead = now + randomTime(m_random, m_leaseDuration, MinReadInterval, MaxReadInterval);
    return LeaseTurn::Read;
}

void LeaseObserver::onRead(std::optional<store::Version> version)
{
    if (!version) {
        return;
    }
    m_unchanged = m_read == version ? version : std::nullopt;
    m_read = version;
}

} // namespace carawaylatch::gateway
