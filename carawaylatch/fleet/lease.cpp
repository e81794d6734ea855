// Lease by observation (after the usual scheme of lock services without a common
// clock: the holder's promise is shorter than the observer's patience).
//
// Why two never believe at once. Let A's last write be sent at s on A's clock and
// take effect later. A believes until s + 2/3 length. B sees the new version
// after it took effect, waits a whole length of its own clock and only then
// writes, on condition of that version. If A renews meanwhile, B's write fails.
// So B's belief starts more than a length after s, on clocks whose rates differ
// by less than a half.
//
// A write whose answer was lost is read back. Our own write id found there means
// that we hold, and belief counts from when that write was sent, not from the
// reading. An older write of this incarnation that arrived late is overwritten at
// once: nobody else believes in it.
#include "carawaylatch/fleet/lease.h"

#include <charconv>
#include <utility>

namespace carawaylatch::fleet
{

using base::ErrorKind;

namespace
{

base::Error malformed()
{
    return base::fail(ErrorKind::InvalidArgument, "lease object can't be decoded; remove it, and a router creates it anew");
}

// Parses the number after the last space and cuts it off the text.
std::optional<std::uint64_t> takeLastNumber(std::string_view &text)
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
    const auto writeId = takeLastNumber(value);
    const auto incarnation = writeId ? takeLastNumber(value) : std::nullopt;
    if (!incarnation || value.empty()) {
        return malformed();
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

bool Lease::mayAct(base::TimePoint now) const
{
    return m_state.held.value != 0 && now < m_state.believeUntil;
}

std::optional<base::FenceToken> Lease::fence(base::TimePoint now) const
{
    if (!mayAct(now)) {
        return std::nullopt;
    }
    return base::FenceToken{m_state.held.value};
}

bool Lease::isContinued() const
{
    return !m_state.wasOthers;
}

base::Duration Lease::heldFor(base::TimePoint now) const
{
    return mayAct(now) ? now - m_state.heldSince : base::Duration{};
}

LeaseAction Lease::poll(base::TimePoint now)
{
    if (m_state.isCallUnderWay) {
        return {};
    }
    if (now < m_state.nextCall) {
        return {};
    }
    if (m_state.step == LeaseStep::Holding) {
        return startWrite(now, LeaseStep::Renewing, m_state.held);
    }
    if (m_state.step == LeaseStep::Observing && isFree(now)) {
        return startWrite(now, LeaseStep::Acquiring, *m_state.seen);
    }
    return startRead(now);
}

// True if no other router can believe in the version last seen.
bool Lease::isFree(base::TimePoint now) const
{
    return m_state.seen && (m_state.seen->value == 0 || m_state.isSeenOurs || now - m_state.seenAt >= m_settings.length);
}

LeaseAction Lease::startRead(base::TimePoint now)
{
    m_state.isCallUnderWay = true;
    m_state.nextCall = now + m_settings.readInterval;
    return LeaseAction{LeaseActionKind::Read, {}, {}};
}

LeaseAction Lease::startWrite(base::TimePoint now, LeaseStep step, store::Version expected)
{
    m_state.isCallUnderWay = true;
    m_state.step = step;
    m_state.sentAt = now;
    m_state.expected = expected;
    m_state.writeId = ++m_self.writeId;
    return LeaseAction{LeaseActionKind::Write, encodeLease(m_self), expected};
}

void Lease::onWritten(base::TimePoint now, const base::Result<store::Version> &result)
{
    m_state.isCallUnderWay = false;
    if (result) {
        confirm(now, result.value());
        return;
    }
    if (result.error().kind == ErrorKind::Unavailable) {
        m_state.step = m_state.step == LeaseStep::Renewing ? LeaseStep::Holding : LeaseStep::Observing;
        m_state.nextCall = now + m_settings.readInterval;
        return;
    }
    m_state.step = LeaseStep::Settling;
    m_state.nextCall = now;
}

void Lease::onRead(base::TimePoint now, const base::Result<store::Object> &result)
{
    m_state.isCallUnderWay = false;
    if (!result) {
        if (result.error().kind == ErrorKind::NotFound) {
            observe(now, {}, false);
        }
        return; // not read: stay and read again after the interval
    }
    const store::Object &object = result.value();
    const auto holder = decodeLease(object.value);
    const bool isOurRouter = holder && holder.value().router == m_self.router;
    const bool isOurs = isOurRouter && holder.value().incarnation == m_self.incarnation;
    if (isOurs && holder.value().writeId == m_self.writeId) {
        confirm(now, object.version);
    } else if (isOurs && object.version == m_state.held) {
        m_state.step = LeaseStep::Holding; // the renewal has not taken effect; write again
    } else {
        m_state.wasOthers = m_state.wasOthers || !isOurRouter;
        const bool isReleased = object.value == encodeReleasedLease();
        observe(now, object.version, isOurs || isReleased || (isOurRouter && m_settings.isRouterSingle));
    }
}

void Lease::confirm(base::TimePoint now, store::Version version)
{
    const bool isUnbroken = m_state.held.value != 0 && (m_state.expected == m_state.held || version == m_state.held);
    if (!isUnbroken) {
        m_state.heldSince = now;
    }
    m_state.step = LeaseStep::Holding;
    m_state.held = version;
    m_state.believeUntil = m_state.sentAt + 2 * m_settings.length / 3;
    m_state.nextCall = m_state.sentAt + m_settings.length / 3;
    m_state.seen.reset();
}

void Lease::observe(base::TimePoint now, store::Version version, bool isOurs)
{
    m_state.step = LeaseStep::Observing;
    m_state.held = {};
    m_state.isSeenOurs = isOurs;
    if (m_state.seen != version) {
        m_state.seen = version;
        m_state.seenAt = now;
    }
    if (isFree(now)) {
        m_state.nextCall = now;
    }
}

} // namespace carawaylatch::fleet
