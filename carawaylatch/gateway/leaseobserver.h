// When a router that is no candidate for the fleet's lease reads it.
//
// Few routers of each failure domain, the candidates, call the lease object as
// fleet::Lease asks. If all routers did, a fleet of many routers would send the store mostly
// reads of the lease, and a burst of colliding writes whenever its holder is lost. Another
// router reads it once every two lease durations, and takes part as a candidate does only
// after two such reads in turn have found the same version: then neither the holder nor a
// candidate has written it meanwhile. Whether it may acquire the lease then is decided by
// fleet::Lease alone. A state machine without I/O.
#pragma once

#include <cstdint>
#include <optional>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/fleet/lease.h"

namespace carawaylatch::gateway
{

enum class LeaseTurn {
    Wait,
    Read, // read the lease, pass the result to Lease::onRead(), then call onRead() here
    Poll, // make the call that Lease::poll() returns
};

class LeaseObserver
{
public:
    LeaseObserver(base::Duration leaseDuration, std::uint64_t seed);

    // Returns what to do now. `state`: of the lease, which has no call in flight.
    [[nodiscard]] LeaseTurn turn(base::TimePoint now, bool isCandidate, const fleet::LeaseState &state);
    // `version`: read now; nothing if the read failed.
    void onRead(std::optional<store::Version> version);

private:
    const base::Duration m_leaseDuration;
    base::Random m_random;
    std::optional<base::TimePoint> m_nextRead; // nothing while this router is a candidate
    std::optional<store::Version> m_read; // by the last read that succeeded
    std::optional<store::Version> m_unchanged; // found by two reads in turn
    bool m_wasPolling = false; // at the last turn
};

} // namespace carawaylatch::gateway
