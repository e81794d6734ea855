// A lease over one platform object: at most one believing holder at a time.
//
// Nobody compares wall clocks. An observer times the lease by its own monotonic
// clock from the moment it first saw the object's present version; a whole
// length without a change means that the holder has stopped believing, as that
// one counts from before its last write was sent and stops at two thirds. The
// margin bears clocks whose rates differ by up to a half, and any pause: a
// paused holder asks isHeld(now) before each act. The fencing number is the
// object's version, which grows with every write.
//
// The machine does no I/O: poll() says what to do next, on...() report results.
//
//     LeaseAction action = lease.poll(now);
//     if (action.kind == LeaseActionKind::Read) lease.onRead(clock.now(), store.read(name));
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/store/objectstore.h"

namespace carawaylatch::fleet
{

struct LeaseSettings
{
    base::Duration duration = base::seconds{15}; // equal on all routers
    base::Duration readInterval = base::seconds{1}; // of an observer, and between failed renewals
    // True if a router's id names at most one live process at any time. A lease of
    // an earlier life of this router is then free at once.
    bool isRouterIdUnique = false;
};

struct LeaseHolder
{
    base::RouterId router;
    base::Incarnation incarnation;
    std::uint64_t writeId = 0; // tells this router's own writes apart when reading back

    bool operator==(const LeaseHolder &) const = default;
};

[[nodiscard]] std::string encodeLease(const LeaseHolder &holder);
// The value of a lease that its holder gave up; it is free at once.
[[nodiscard]] std::string encodeReleasedLease();
// Returns the holder, or InvalidArgument for a value that no router wrote.
[[nodiscard]] base::Result<LeaseHolder> decodeLease(std::string_view value);

enum class LeasePhase {
    Observing, // another holds it, or nobody yet known
    Acquiring, // write under way
    Verifying, // reading back after an unclear or refused write
    Holding,
    Renewing, // write under way; still holding by the former one; stays last
};
constexpr std::size_t LeasePhaseCount = static_cast<std::size_t>(LeasePhase::Renewing) + 1;

enum class LeaseActionKind {
    None, // nothing to do, or the former call is under way
    Read,
    Write,
};

struct LeaseAction
{
    LeaseActionKind kind = LeaseActionKind::None;
    std::string value; // with Write
    store::Version expected; // with Write
};

// All that a lease remembers.
struct LeaseState
{
    LeasePhase phase = LeasePhase::Observing;
    bool isCallPending = false;
    // The version last seen of another holder, and since when; zero: object absent.
    std::optional<store::Version> observedVersion;
    base::TimePoint observedAt;
    // True if nobody can believe in the object seen: it was written by this very
    // incarnation, by an earlier one where the settings say that it is no more, or
    // by a holder that gave the lease up.
    bool hasNoHolder = false;
    base::TimePoint nextCall;
    // The last write: its id, when it was sent and what it was conditional on.
    std::uint64_t writeId = 0;
    base::TimePoint sentAt;
    store::Version expected;
    // The version last confirmed as ours; zero: not holding. Belief ends at validUntil.
    store::Version heldVersion;
    base::TimePoint validUntil;
    base::TimePoint heldSince;
    // Another router, or one that gave the lease up, was seen to have held it.
    bool hadOtherHolder = false;

    bool operator==(const LeaseState &) const = default;
};

class Lease
{
public:
    Lease(base::RouterId router, base::Incarnation incarnation, LeaseSettings settings);

    // Returns what to do now; at most one call is under way.
    [[nodiscard]] LeaseAction poll(base::TimePoint now);
    // NotFound counts as an answer: the lease is free.
    void onRead(base::TimePoint now, const base::Result<store::Object> &result);
    void onWritten(base::TimePoint now, const base::Result<store::Version> &result);

    // True while this router may act as holder; ask right before each act.
    [[nodiscard]] bool isHeld(base::TimePoint now) const;
    // Fencing number of the present holding; nothing if isHeld() is false.
    [[nodiscard]] std::optional<base::FenceToken> fence(base::TimePoint now) const;
    // True if no other router held the lease before the present holding, as far as
    // this one saw: the lease was never taken, or it was taken by this router.
    [[nodiscard]] bool hadNoOtherHolder() const;
    // Time since this router learned that it holds, without a break since. Orders
    // of a former holder can be in flight for a while after that.
    [[nodiscard]] base::Duration heldDuration(base::TimePoint now) const;
    [[nodiscard]] const LeaseState &state() const;

private:
    [[nodiscard]] bool isFree(base::TimePoint now) const;
    LeaseAction beginRead(base::TimePoint now);
    LeaseAction beginWrite(base::TimePoint now, LeasePhase phase, store::Version expected);
    void confirm(base::TimePoint now, store::Version version);
    void observe(base::TimePoint now, store::Version version, bool hasNoHolder);

    LeaseHolder m_self; // writeId is that of the last write
    LeaseSettings m_settings;
    LeaseState m_state;
};

} // namespace carawaylatch::fleet
