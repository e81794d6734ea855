// A lease stored in one object of the object store: at most one router regards itself
// as the holder at any time.
//
// Wall clocks are never compared. An observer measures with its own monotonic clock,
// from when it first read the object's current version. Once that version is
// unchanged for the whole lease duration, the lease has expired for its holder: the
// holder counts from before it sent its last write, and only for two thirds of the
// duration. The margin tolerates clock rates that differ by up to a half. A process
// that was stopped is safe as well, because it checks isHeld(now) before each action;
// on a suspended VM that holds only if the clock includes the time of suspension, as
// base::SteadyClock does. The fencing token is the object's version, which increases with
// every write.
//
// The class does no I/O: poll() returns the next call to make, on...() take its result.
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
    base::Duration duration = base::seconds{15}; // must be the same on all routers
    base::Duration readInterval = base::seconds{1}; // between reads of an observer, and between failed renewals
    // True if at most one process uses a router id at any time. A lease that an earlier
    // process with this id held is then free at once.
    bool isRouterIdUnique = false;
};

struct LeaseHolder
{
    base::RouterId router;
    base::Incarnation incarnation;
    std::uint64_t writeId = 0; // identifies the write when the object is read back

    bool operator==(const LeaseHolder &) const = default;
};

[[nodiscard]] std::string encodeLease(const LeaseHolder &holder);
// Returns the value of a lease that its holder released; it is free at once.
[[nodiscard]] std::string encodeReleasedLease();
// Returns the holder, or InvalidArgument if the value is malformed.
[[nodiscard]] base::Result<LeaseHolder> decodeLease(std::string_view value);

enum class LeasePhase {
    Observing, // another router holds the lease, or the holder is not known yet
    Acquiring, // write in flight
    Verifying, // reads the object back after a write that failed or whose result is unknown
    Holding,
    Renewing, // write in flight; holds the lease by the previous write; must stay last
};
constexpr std::size_t LeasePhaseCount = static_cast<std::size_t>(LeasePhase::Renewing) + 1;

enum class LeaseActionKind {
    None, // nothing to do, or the previous call is in flight
    Read,
    Write,
};

struct LeaseAction
{
    LeaseActionKind kind = LeaseActionKind::None;
    std::string value; // to write
    store::Version expected; // the write succeeds only if this is the object's version
};

// Complete state of a lease; the tests use it to recognize equal states.
struct LeaseState
{
    LeasePhase phase = LeasePhase::Observing;
    bool isCallPending = false;
    // Last version read while not holding, and when it was first read; version zero:
    // the object is absent.
    std::optional<store::Version> observedVersion;
    base::TimePoint observedAt;
    // True if no router can be holding the lease by the observed version: this
    // incarnation wrote it, or an earlier one while isRouterIdUnique is set, or its
    // holder released the lease.
    bool hasNoHolder = false;
    base::TimePoint nextCall;
    // The last write: its id, when it was sent, and the version that it required.
    std::uint64_t writeId = 0;
    base::TimePoint sentAt;
    store::Version expected;
    // Last version confirmed as written by this router; zero: not holding. The lease is
    // held until validUntil.
    store::Version heldVersion;
    base::TimePoint validUntil;
    base::TimePoint heldSince;
    // The lease is not acquired before this time, whatever the object says.
    base::TimePoint notBefore;
    // True if another router's lease or a released lease was read.
    bool hadOtherHolder = false;

    bool operator==(const LeaseState &) const = default;
};

class Lease
{
public:
    Lease(base::RouterId router, base::Incarnation incarnation, LeaseSettings settings);

    // Returns the call to make now; at most one call is in flight.
    [[nodiscard]] LeaseAction poll(base::TimePoint now);
    // NotFound means that the lease is free.
    void onRead(base::TimePoint now, const base::Result<store::Object> &result);
    void onWritten(base::TimePoint now, const base::Result<store::Version> &result);

    // The store has lost its latest writes: this router no longer holds the lease, and does not
    // acquire it before another holder, of which the store may know nothing, has stopped for a lease duration.
    void onStoreRestored(base::TimePoint now);

    // True while this router may act as the holder. Check it right before each action.
    [[nodiscard]] bool isHeld(base::TimePoint now) const;
    // Returns the fencing token; nothing if isHeld() is false.
    [[nodiscard]] std::optional<base::FencingToken> fence(base::TimePoint now) const;
    // True if this router has never read a lease of another router or a released lease.
    [[nodiscard]] bool hadNoOtherHolder() const;
    // Time since this router learned that it had acquired the lease, which it has held
    // without interruption since. Orders of the previous holder can be in flight for a
    // while after that.
    [[nodiscard]] base::Duration heldDuration(base::TimePoint now) const;
    [[nodiscard]] const LeaseState &state() const;

private:
    [[nodiscard]] bool isFree(base::TimePoint now) const;
    LeaseAction beginRead(base::TimePoint now);
    LeaseAction beginWrite(base::TimePoint now, LeasePhase phase, store::Version expected);
    void confirm(base::TimePoint now, store::Version version);
    void observe(base::TimePoint now, store::Version version, bool hasNoHolder);

    LeaseHolder m_self; // with the id of the last write
    LeaseSettings m_settings;
    LeaseState m_state;
};

} // namespace carawaylatch::fleet
