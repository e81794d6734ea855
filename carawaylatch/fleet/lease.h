// A lease over one platform object: at most one believing holder at a time.
//
// Nobody compares wall clocks. An observer times the lease by its own monotonic
// clock from the moment it first saw the object's present version; a whole
// length without a change means that the holder has stopped believing, as that
// one counts from before its last renewal was sent and stops at two thirds. The
// margin bears clocks whose rates differ by up to a third, and any pause: a
// paused holder asks mayAct(now) before each act. The fencing number is the
// object's version, which grows with every write.
//
// The machine does no I/O: poll() says what to do next, on...() report results.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/platform/objectstore.h"

namespace carawaylatch::fleet
{

struct LeaseSettings
{
    base::Duration length = base::seconds{15}; // equal on all routers
    base::Duration readInterval = base::seconds{1}; // of an observer
};

struct LeaseHolder
{
    base::RouterId router;
    base::Incarnation incarnation;
    std::uint64_t writeId = 0; // tells this router's own writes apart when reading back

    bool operator==(const LeaseHolder &) const = default;
};

[[nodiscard]] std::string encodeLease(const LeaseHolder &holder);
[[nodiscard]] base::Result<LeaseHolder> decodeLease(std::string_view bytes);

enum class LeaseStep {
    Observing, // another holds it, or nobody yet known
    Acquiring, // write under way
    Settling, // reading back after an unclear write
    Holding,
    Renewing, // write under way; still holding by the former one
};

enum class LeaseActionKind {
    None, // nothing until `next`
    Read,
    Write,
};

struct LeaseAction
{
    LeaseActionKind kind = LeaseActionKind::None;
    LeaseHolder value; // with Write
    platform::Version expected; // with Write
    base::TimePoint next; // with None
};

class Lease
{
public:
    Lease(base::RouterId router, base::Incarnation incarnation, LeaseSettings settings);

    // Returns what to do now; at most one call is under way.
    [[nodiscard]] LeaseAction poll(base::TimePoint now);
    // NotFound counts as an answer: the lease is free.
    void onRead(base::TimePoint now, const base::Result<platform::Object> &result);
    void onWritten(base::TimePoint now, const base::Result<platform::Version> &result);

    // True while this router may act as holder; ask right before each act.
    [[nodiscard]] bool mayAct(base::TimePoint now) const;
    // Fencing number of the present holding; nothing if mayAct() is false.
    [[nodiscard]] std::optional<base::FenceToken> fence(base::TimePoint now) const;
    // Time since this router became holder without a break; orders of a former
    // holder can be in flight for a while after that.
    [[nodiscard]] std::optional<base::Duration> heldFor(base::TimePoint now) const;
    [[nodiscard]] LeaseStep step() const;

private:
    void observe(base::TimePoint now, platform::Version version);
    void confirm(base::TimePoint sentAt, base::TimePoint now, platform::Version version);

    LeaseHolder m_self;
    LeaseSettings m_settings;
    LeaseStep m_step = LeaseStep::Observing;
    // The version last seen, and since when by this clock. Zero: object absent.
    std::optional<platform::Version> m_seen;
    base::TimePoint m_seenAt;
    base::TimePoint m_nextRead;
    // Start of the call under way.
    base::TimePoint m_sentAt;
    platform::Version m_expected;
    // Holding: fence, and belief lasts until m_believeUntil.
    platform::Version m_held;
    base::TimePoint m_believeUntil;
    base::TimePoint m_heldSince;
    bool m_isCallUnderWay = false;
};

} // namespace carawaylatch::fleet
