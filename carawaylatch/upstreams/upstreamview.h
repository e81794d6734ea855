// What traffic threads know of upstreams: an immutable snapshot.
//
// The control thread publishes a view whenever something changed and at least
// every ViewPeriod. A traffic thread takes the shared pointer once for each
// decision and asks maySend() again right before an attempt is sent, because a
// request may have waited in a queue since it was placed.
//
// Two bounds keep new work from an upstream that leaves, also when this process
// was frozen or its control thread is stuck:
//   - a view older than MaxViewAge is not used at all;
//   - an upstream takes new work only while its own last word that it is live
//     is younger than MaxConfirmationAge, which is below the 3 s of the promise.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/config/tables.h"
#include "carawaylatch/upstreams/loadreport.h"
#include "carawaylatch/upstreams/slot.h"

namespace carawaylatch::upstreams
{

constexpr base::Duration ViewPeriod = base::milliseconds{250};
constexpr base::Duration MaxViewAge = base::milliseconds{1500};
constexpr base::Duration MaxConfirmationAge = base::milliseconds{2750};

enum class UpstreamState {
    Unknown, // configured, never heard of
    Live,
    Loading, // answers, but loads weights
    Suspect, // missed reports; takes no new work
    Dead, // missed reports for long
    Ejected, // too many failed attempts; comes back after a pause
    Leaving, // a leaving mark names its incarnation
};

// Returns the state's name as it stands in status pages, such as "live".
[[nodiscard]] std::string_view upstreamStateName(UpstreamState state);

struct UpstreamStatus
{
    base::UpstreamId id;
    Slot slot;
    std::uint64_t nodeHash = 0; // hash64 of the id, for rendezvous order
    base::Endpoint endpoint;
    base::FailureDomain domain;
    UpstreamState state = UpstreamState::Unknown;
    base::Incarnation incarnation; // zero until the first report
    LoadReport load; // the last one
    base::TimePoint loadAt; // when its figures were true
    base::TimePoint confirmedAt; // the latest time at which the upstream was live by its own word
    base::TimePoint ejectedUntil; // only in state Ejected

    // Tells whether the upstream may be given new work now.
    [[nodiscard]] bool acceptsRequests(base::TimePoint now) const
    {
        return state == UpstreamState::Live && now - confirmedAt <= MaxConfirmationAge;
    }
};

struct PoolView
{
    base::PoolName name;
    config::UpstreamKind kind = config::UpstreamKind::Engine;
    base::ModelId model;
    std::string adapter;
    std::uint32_t blockBytes = 0;
    bool hasKvStore = false; // a KV cache store stands beside the pool
    std::uint64_t key = 0; // hash64 of the name, the pool's key in the heat table
    // The weights version that requests use now: the configured one as soon as
    // half of the pool's live upstreams hold it, the most common one before.
    base::WeightsVersion servingVersion;
    std::vector<std::uint32_t> members; // indexes into UpstreamView::upstreams, ascending
    // Members that may take new work when the view was built, ordered by nodeHash.
    std::vector<std::uint32_t> eligible;
    std::vector<bool> isEligible; // by index into UpstreamView::upstreams
    // Groups of about HomeGroupSize eligible upstreams by the first bits of nodeHash:
    // group i ends before eligible[groupEnds[i]]. Finding a home costs a look at each
    // group and at the members of one.
    std::vector<std::uint32_t> groupEnds;
    static constexpr std::size_t HomeGroupSize = 64;

    // Sorts `eligible` and fills `isEligible` and `groupEnds`.
    void indexEligible(const std::vector<UpstreamStatus> &upstreams);
};

struct UpstreamView
{
    base::TimePoint builtAt;
    // Earliest time for new work; later than builtAt while the registry
    // synchronises its marks after a freeze.
    base::TimePoint usableFrom;
    std::vector<UpstreamStatus> upstreams; // ordered by id
    std::vector<PoolView> pools; // ordered by name
    std::vector<std::uint32_t> bySlot; // index of the upstream in a slot, or NoUpstream
    static constexpr std::uint32_t NoUpstream = 0xFFFFFFFF;

    // Returns the pool, or nothing.
    [[nodiscard]] const PoolView *pool(const base::PoolName &name) const;
    // Returns the upstream, or nothing.
    [[nodiscard]] const UpstreamStatus *find(const base::UpstreamId &id) const;
    // Tells whether the view may be used for decisions at all.
    [[nodiscard]] bool isUsable(base::TimePoint now) const;
    // Returns the upstream in a slot, or nothing.
    [[nodiscard]] const UpstreamStatus *find(Slot slot) const;
    // Tells whether an attempt may be sent to this life of the upstream now.
    [[nodiscard]] bool maySend(const base::UpstreamId &id, base::Incarnation incarnation, base::TimePoint now) const;
};

} // namespace carawaylatch::upstreams
