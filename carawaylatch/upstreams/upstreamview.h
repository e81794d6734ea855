// Immutable snapshot of the upstreams for traffic threads.
//
// The control thread publishes a view whenever something changed and at least every
// ViewPeriod. A traffic thread takes the shared pointer once for each decision and
// calls maySend() again right before an attempt is sent, because a request may have
// waited in a queue since it was placed.
//
// Two bounds keep new requests from an upstream that is leaving, even when this
// process was frozen or its control thread is blocked:
//   - a view older than MaxViewAge is not used at all;
//   - an upstream gets new requests only while its last report as live is younger
//     than MaxConfirmationAge, which is below the guaranteed 3 s from the start of
//     leaving to the last new request.
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
    Unknown, // configured, no report received yet
    Live,
    Loading, // responds, but is loading weights
    Suspect, // missed reports; gets no new requests
    Dead, // no report for a long time
    Ejected, // too many failed attempts; usable again after a delay
    Leaving, // a leaving mark names its incarnation
};

// Returns the state's name on status pages, such as "live".
[[nodiscard]] std::string_view upstreamStateName(UpstreamState state);

struct UpstreamStatus
{
    base::UpstreamId id;
    Slot slot;
    std::uint64_t nodeHash = 0; // hash64 of the id, for rendezvous hashing
    base::Endpoint endpoint;
    base::FailureDomain domain;
    UpstreamState state = UpstreamState::Unknown;
    base::Incarnation incarnation; // zero until the first report
    LoadReport load; // the last report
    base::TimePoint loadAt; // when its figures were true
    base::TimePoint confirmedAt; // latest time at which the upstream was live by its own report
    base::TimePoint ejectedUntil; // only in state Ejected

    // Tells whether the upstream may get new requests now.
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
    bool hasKvStore = false; // the pool has a KV cache store
    std::uint64_t key = 0; // hash64 of the name, the pool's key in the heat table
    // The weights version that requests use now: the configured one as soon as half
    // of the pool's live upstreams have loaded it, before that the most common one.
    base::WeightsVersion servingVersion;
    std::vector<std::uint32_t> members; // indexes into UpstreamView::upstreams, ascending
    // Members eligible for new requests when the view was built, ordered by nodeHash.
    std::vector<std::uint32_t> eligible;
    std::vector<bool> isEligible; // by index into UpstreamView::upstreams
    // Groups of about HomeGroupSize eligible upstreams by the first bits of nodeHash:
    // group i ends before eligible[groupEnds[i]]. Rendezvous hashing examines each group
    // and then the members of one.
    std::vector<std::uint32_t> groupEnds;
    static constexpr std::size_t HomeGroupSize = 64;

    // Sorts `eligible` and fills `isEligible` and `groupEnds`.
    void indexEligible(const std::vector<UpstreamStatus> &upstreams);
};

struct UpstreamView
{
    base::TimePoint builtAt;
    // Earliest time for new requests; later than builtAt while the registry
    // synchronises its marks after a freeze.
    base::TimePoint usableFrom;
    std::vector<UpstreamStatus> upstreams; // ordered by id
    std::vector<PoolView> pools; // ordered by name
    std::vector<std::uint32_t> bySlot; // index of the upstream in a slot, or NoUpstream
    static constexpr std::uint32_t NoUpstream = 0xFFFFFFFF;

    // Returns the pool, or nullptr.
    [[nodiscard]] const PoolView *pool(const base::PoolName &name) const;
    // Returns the upstream, or nullptr.
    [[nodiscard]] const UpstreamStatus *find(const base::UpstreamId &id) const;
    // Tells whether the view is fresh enough for decisions.
    [[nodiscard]] bool isUsable(base::TimePoint now) const;
    // Returns the upstream in a slot, or nullptr.
    [[nodiscard]] const UpstreamStatus *find(Slot slot) const;
    // Tells whether an attempt may be sent to this incarnation of the upstream now.
    [[nodiscard]] bool maySend(const base::UpstreamId &id, base::Incarnation incarnation, base::TimePoint now) const;
};

} // namespace carawaylatch::upstreams
