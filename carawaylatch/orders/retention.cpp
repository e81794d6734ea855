// Epochs, closed keys and the pruner.
//
// No wall clock is used. An epoch ends when some router has seen it unchanged for
// its whole length by its own monotonic clock, so it is never shorter than that;
// restarts and outages only make it longer. Age decides when an answer can no longer
// be replayed. It never decides whether an order may run: that is decided by the set
// of closed keys, which only grows.
//
// Order of steps for one range: list its records, add the keys of old ones to the
// closed keys (conditional write), then remove each record at the version that was
// listed. A crash between the steps leaves closed keys whose records still exist,
// which is harmless; the next round removes the records.
#include "carawaylatch/orders/retention.h"

#include <algorithm>
#include <charconv>

#include "carawaylatch/base/logevents.h"

namespace carawaylatch::orders
{

using base::ErrorKind;

namespace
{

constexpr std::string_view EpochObject = "orders/epoch";
constexpr std::string_view RecordPrefix = "order/";
constexpr std::string_view ClosedPrefix = "orderclosed/";

std::uint32_t rangeOf(std::uint64_t hash)
{
    return static_cast<std::uint32_t>(hash % ClosedRanges);
}

std::string rangeName(std::string_view prefix, std::uint32_t range)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string name(prefix);
    for (const unsigned shift : {8U, 4U, 0U}) {
        name += Digits[(range >> shift) & 0xFU];
    }
    return name;
}

base::Result<std::uint64_t> parseEpoch(std::string_view text)
{
    std::uint64_t epoch = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), epoch);
    if (ec != std::errc{} || end != text.data() + text.size()) {
        return base::fail(ErrorKind::InvalidArgument, "orders/epoch is not a number; remove the object and let a router create it");
    }
    return epoch;
}

} // namespace

base::Result<ClosedKeySet> ClosedKeySet::decode(std::string_view bytes)
{
    if (bytes.size() % DigestBytes != 0 || bytes.size() / DigestBytes > MaxClosedPerRange) {
        return base::fail(ErrorKind::InvalidArgument, "set of closed keys has a wrong length; restore the object from the platform's backup");
    }
    ClosedKeySet set;
    set.m_digests.reserve(bytes.size() / DigestBytes);
    for (std::size_t i = 0; i < bytes.size(); i += DigestBytes) {
        std::uint64_t digest = 0;
        for (std::size_t j = 0; j < DigestBytes; ++j) {
            digest = digest << 8U | static_cast<unsigned char>(bytes[i + j]);
        }
        set.m_digests.push_back(digest);
    }
    if (!std::is_sorted(set.m_digests.begin(), set.m_digests.end())) {
        return base::fail(ErrorKind::InvalidArgument, "set of closed keys is not sorted; restore the object from the platform's backup");
    }
    return set;
}

std::string ClosedKeySet::encode() const
{
    std::string bytes;
    bytes.reserve(m_digests.size() * DigestBytes);
    for (const std::uint64_t digest : m_digests) {
        for (std::size_t j = DigestBytes; j-- > 0;) {
            bytes += static_cast<char>(digest >> (8U * j) & 0xFFU);
        }
    }
    return bytes;
}

bool ClosedKeySet::contains(std::uint64_t digest) const
{
    return std::binary_search(m_digests.begin(), m_digests.end(), digest);
}

bool ClosedKeySet::add(std::span<const std::uint64_t> digests)
{
    std::vector<std::uint64_t> merged = m_digests;
    merged.insert(merged.end(), digests.begin(), digests.end());
    std::sort(merged.begin(), merged.end());
    merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
    if (merged.size() > MaxClosedPerRange) {
        return false;
    }
    m_digests = std::move(merged);
    return true;
}

std::size_t ClosedKeySet::size() const
{
    return m_digests.size();
}

std::string recordObjectName(const OrderId &order)
{
    return rangeName(RecordPrefix, rangeOf(order.hash())) + '/' + order.path();
}

std::string closedObjectName(const OrderId &order)
{
    return rangeName(ClosedPrefix, rangeOf(order.hash()));
}

base::Error closedError()
{
    return base::fail(ErrorKind::StaleState, "the key is older than the retention of order records; ask the service whether the order exists, "
                                             "and use a new key for a new order");
}

base::Result<void> checkOpen(store::ObjectStore &store, const OrderId &order)
{
    const auto object = store.read(closedObjectName(order));
    if (!object) {
        if (object.error().kind == ErrorKind::NotFound) {
            return base::ok();
        }
        return object.error();
    }
    BOOST_OUTCOME_TRY(closed, ClosedKeySet::decode(object.value().value));
    if (closed.contains(order.hash())) {
        return closedError();
    }
    return base::ok();
}

RecordPruner::RecordPruner(store::ObjectStore &store, RetentionSettings settings)
    : m_store(store)
    , m_settings(settings)
{
}

std::uint64_t RecordPruner::epoch() const
{
    return m_counters.epoch;
}

const RetentionCounters &RecordPruner::counters() const
{
    return m_counters;
}

void RecordPruner::step(base::TimePoint now, PrunerRole role)
{
    if (role == PrunerRole::Observer) {
        observeEpoch(now);
        return;
    }
    readEpoch(now);
    if (m_counters.epoch > m_settings.keepEpochs) {
        pruneRange(m_nextRange);
        m_nextRange = (m_nextRange + 1) % ClosedRanges;
    }
}

void RecordPruner::observeEpoch(base::TimePoint now)
{
    constexpr int ObservationsOfEpoch = 6;
    if (m_counters.epoch != 0 && now < m_nextObservation) {
        return;
    }
    m_nextObservation = now + m_settings.epoch / ObservationsOfEpoch;
    const auto object = m_store.read(EpochObject);
    if (!object) {
        return;
    }
    if (const auto epoch = parseEpoch(object.value().value)) {
        m_counters.epoch = epoch.value();
    }
}

void RecordPruner::readEpoch(base::TimePoint now)
{
    const auto object = m_store.read(EpochObject);
    if (!object) {
        if (object.error().kind == ErrorKind::NotFound) {
            (void)m_store.write(EpochObject, "1", {});
        }
        return;
    }
    const auto epoch = parseEpoch(object.value().value);
    if (!epoch) {
        return;
    }
    m_counters.epoch = epoch.value();
    if (m_seen != object.value().version) {
        m_seen = object.value().version;
        m_seenAt = now;
    } else if (now - m_seenAt >= m_settings.epoch) {
        (void)m_store.write(EpochObject, std::to_string(epoch.value() + 1), *m_seen);
    }
}

void RecordPruner::pruneRange(std::uint32_t range)
{
    const std::string prefix = rangeName(RecordPrefix, range) + '/';
    const auto listed = m_store.list(prefix);
    if (!listed) {
        return;
    }
    std::vector<const store::Object *> old;
    std::vector<std::uint64_t> digests;
    for (const store::Object &it : listed.value().written) {
        const auto record = decodeRecord(it.value);
        const auto order = OrderId::fromPath(std::string_view(it.name).substr(prefix.size()));
        if (record && record.value().epoch == 0) {
            assignEpoch(it, record.value());
        } else if (record && order && record.value().epoch + m_settings.keepEpochs < m_counters.epoch && old.size() < m_settings.maxPrunedPerStep) {
            old.push_back(&it);
            digests.push_back(order.value().hash());
        }
    }
    if (old.empty() || !closeKeys(range, digests)) {
        return;
    }
    for (const store::Object *it : old) {
        const auto removed = m_store.remove(it->name, it->version);
        m_counters.pruned += removed ? 1 : 0;
    }
}

// Sets the epoch of a record and keeps its state. A claimant whose conditional write
// fails because of this reads the record back and finds its claim.
void RecordPruner::assignEpoch(const store::Object &object, OrderRecord record)
{
    record.epoch = m_counters.epoch;
    (void)m_store.write(object.name, encodeRecord(record), object.version);
}

// Returns true only if all digests are certainly stored.
bool RecordPruner::closeKeys(std::uint32_t range, std::span<const std::uint64_t> digests)
{
    const std::string name = rangeName(ClosedPrefix, range);
    ClosedKeySet closed;
    store::Version version;
    if (const auto object = m_store.read(name)) {
        auto decoded = ClosedKeySet::decode(object.value().value);
        if (!decoded) {
            return false;
        }
        closed = std::move(decoded).value();
        version = object.value().version;
    } else if (object.error().kind != ErrorKind::NotFound) {
        return false;
    }
    if (!closed.add(digests)) {
        m_counters.full += digests.size();
        base::logEvent(base::LogEvent::ClosedRangeFull, {{"range", std::to_string(range)}});
        return false;
    }
    return m_store.write(name, closed.encode(), version).has_value();
}

} // namespace carawaylatch::orders
