// Lease without a common clock, as in usual lock services: the holder's validity period
// is shorter than the time that an observer waits before it takes over.
//
// Why two routers never hold the lease at once: let router A send its last write at
// time s of its clock. A holds the lease until s + 2/3 duration. Router B reads the new
// version only after the write took effect, waits for the whole duration by its own
// clock and then writes on the condition that the version is unchanged. If A has
// renewed the lease meanwhile, B's write fails. So B's lease starts more than one
// duration after s, for clocks whose rates differ by less than a half.
//
// After a write whose response was lost, the object is read back. If it contains the id
// of that write, this router holds the lease, and its validity counts from when the
// write was sent, not from the read. An older write of this incarnation that took
// effect late is overwritten at once, as no other router holds the lease by it.
#include "carawaylatch/fleet/lease.h"

#include <charconv>
#include <utility>

namespace carawaylatch::fleet
{

using base::ErrorKind;

namespace
{

base::Error malformedLeaseError()
{
    return base::fail(ErrorKind::InvalidArgument, "lease object is malformed; remove it, and a router will create a new one");
}

// Parses the number after the last space and removes both from the text.
std::optional<std::uint64_t> extractTrailingNumber(std::string_view &text)
{
    const std::size_t space = text.rfind(' ');
    if (space == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(space + 1);
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (ec != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    text = text.substr(0, space);
    return value;
}

} // namespace

std::string encodeLease(const LeaseHolder &holder)
{
    return holder.router.value() + ' ' + std::to_string(holder.incarnation.value) + ' ' + std::to_string(holder.writeId);
}

std::string encodeReleasedLease()
{
    return "released";
}

base::Result<LeaseHolder> decodeLease(std::string_view value)
{
    const auto writeId = extractTrailingNumber(value);
    const auto incarnation = writeId ? extractTrailingNumber(value) : std::nullopt;
    if (!incarnation || value.empty()) {
        return malformedLeaseError();
    }
    return LeaseHolder{base::RouterId(value), base::Incarnation{*incarnation}, *writeId};
}

Lease::Lease(base::RouterId router, base::Incarnation incarnation, LeaseSettings settings)
    : m_self{std::move(router), incarnation, 0}
    , m_settings(settings)
{
}

const LeaseState &Lease::state() const
{
    return m_state;
}

bool Lease::isHeld(base::TimePoint now) const
{
    return m_state.heldVersion.value != 0 && now < m_state.validUntil;
}

std::optional<base::FencingToken> Lease::fence(base::TimePoint now) const
{
    if (!isHeld(now)) {
        return std::nullopt;
    }
    return base::FencingToken{m_state.heldVersion.value};
}

bool Lease::hadNoOtherHolder() const
{
    return !m_state.hadOtherHolder;
}

base::Duration Lease::heldDuration(base::TimePoint now) const
{
    return isHeld(now) ? now - m_state.heldSince : base::Duration{};
}

LeaseAction Lease::poll(base::TimePoint now)
{
    if (m_state.isCallPending) {
        return {};
    }
    if (now < m_state.nextCall) {
        return {};
    }
    if (m_state.phase == LeasePhase::Holding) {
        return beginWrite(now, LeasePhase::Renewing, m_state.heldVersion);
    }
    if (m_state.phase == LeasePhase::Observing && isFree(now)) {
        return beginWrite(now, LeasePhase::Acquiring, *m_state.observedVersion);
    }
    return beginRead(now);
}

// True if no other router can be holding the lease by the observed version.
bool Lease::isFree(base::TimePoint now) const
{
    return now >= m_state.notBefore && m_state.observedVersion
           && (m_state.observedVersion->value == 0 || m_state.hasNoHolder || now - m_state.observedAt >= m_settings.duration);
}

void Lease::onStoreRestored(base::TimePoint now)
{
    m_state.phase = m_state.isCallPending ? LeasePhase::Verifying : LeasePhase::Observing;
    m_state.heldVersion = {};
    m_state.observedVersion.reset();
    m_state.hasNoHolder = false;
    m_state.notBefore = now + 2 * m_settings.duration;
    m_state.nextCall = now;
    ++m_self.writeId; // an earlier write that is read back is not taken for an acquisition
}

LeaseAction Lease::beginRead(base::TimePoint now)
{
    m_state.isCallPending = true;
    m_state.nextCall = now + m_settings.readInterval;
    return LeaseAction{LeaseActionKind::Read, {}, {}};
}

LeaseAction Lease::beginWrite(base::TimePoint now, LeasePhase phase, store::Version expected)
{
    m_state.isCallPending = true;
    m_state.phase = phase;
    m_state.sentAt = now;
    m_state.expected = expected;
    m_state.writeId = ++m_self.writeId;
    return LeaseAction{LeaseActionKind::Write, encodeLease(m_self), expected};
}

void Lease::onWritten(base::TimePoint now, const base::Result<store::Version> &result)
{
    m_state.isCallPending = false;
    if (result) {
        if (m_state.writeId == m_self.writeId) {
            confirm(now, result.value());
        } else {
            m_state.phase = LeasePhase::Observing; // sent before the store was restored
        }
        return;
    }
    if (result.error().kind == ErrorKind::Unavailable) {
        m_state.phase = m_state.phase == LeasePhase::Renewing ? LeasePhase::Holding : LeasePhase::Observing;
        m_state.nextCall = now + m_settings.readInterval;
        return;
    }
    m_state.phase = LeasePhase::Verifying;
    m_state.nextCall = now;
}

void Lease::onRead(base::TimePoint now, const base::Result<store::Object> &result)
{
    m_state.isCallPending = false;
    if (!result) {
        if (result.error().kind == ErrorKind::NotFound) {
            observe(now, {}, false);
        }
        return; // read failed: keep the phase and read again after readInterval
    }
    const store::Object &object = result.value();
    const auto holder = decodeLease(object.value);
    const bool isOurRouter = holder && holder.value().router == m_self.router;
    const bool isOurs = isOurRouter && holder.value().incarnation == m_self.incarnation;
    if (isOurs && holder.value().writeId == m_self.writeId && now >= m_state.notBefore) {
        confirm(now, object.version);
    } else if (isOurs && object.version == m_state.heldVersion) {
        m_state.phase = LeasePhase::Holding; // the renewal has had no effect so far; write again
    } else {
        m_state.hadOtherHolder = m_state.hadOtherHolder || !isOurRouter;
        const bool isReleased = object.value == encodeReleasedLease();
        observe(now, object.version, isOurs || isReleased || (isOurRouter && m_settings.isRouterIdUnique));
    }
}

void Lease::confirm(base::TimePoint now, store::Version version)
{
    const bool isUnbroken = m_state.heldVersion.value != 0 && (m_state.expected == m_state.heldVersion || version == m_state.heldVersion);
    if (!isUnbroken) {
        m_state.heldSince = now;
    }
    m_state.phase = LeasePhase::Holding;
    m_state.heldVersion = version;
    m_state.validUntil = m_state.sentAt + 2 * m_settings.duration / 3;
    m_state.nextCall = m_state.sentAt + m_settings.duration / 3;
    m_state.observedVersion.reset();
}

void Lease::observe(base::TimePoint now, store::Version version, bool hasNoHolder)
{
    m_state.phase = LeasePhase::Observing;
    m_state.heldVersion = {};
    m_state.hasNoHolder = hasNoHolder;
    if (m_state.observedVersion != version) {
        m_state.observedVersion = version;
        m_state.observedAt = now;
    }
    if (isFree(now)) {
        m_state.nextCall = now;
    }
}

} // namespace carawaylatch::fleet
