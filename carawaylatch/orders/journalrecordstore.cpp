// Group commit over conditional writes.
//
// The thread that finds no write in progress becomes the leader of its range: it
// takes all queued calls, applies them to the last known image and writes the
// result, on condition that the object still has the version of that image. The
// other threads wait until the leader has set their results.
//
// If the condition fails, the image was outdated: it is read again and the batch is
// applied again, each call under its own condition. After a write with unknown
// outcome the image is read back. A call whose record is found as it was to be
// written has succeeded; the others are applied again. The earlier write may still
// take effect, but it is conditional on a version that the next write replaces, so
// at most one of the two does. Only if reading back fails too do the calls fail as
// Unclear.
//
// A call whose condition fails on a cached image may have failed only because the
// image was outdated. It is checked again on an image just read, unless the write
// of the rest of the batch succeeds.
#include "carawaylatch/orders/journalrecordstore.h"

#include <condition_variable>
#include <deque>
#include <utility>

#include "carawaylatch/orders/recordcodec.h"

namespace carawaylatch::orders
{

using base::ErrorKind;

namespace
{

constexpr std::size_t EntryOverheadBytes = 96; // field tags, numbers and lengths of an encoded entry

std::size_t entryBytes(const OrderId &order, const OrderRecord &record)
{
    return EntryOverheadBytes + order.customer.value().size() + order.key.size() + record.claimant.router.value().size() + record.answer.contentType.size()
           + record.answer.body.size();
}

OrderRecord dropAnswerTooLongForJournal(OrderRecord record)
{
    if (record.answer.body.size() > MaxJournalAnswerBytes) {
        record.answer.body.clear();
        record.isAnswerDropped = true;
    }
    return record;
}

} // namespace

base::Result<JournalImage> JournalImage::decode(std::string_view bytes)
{
    wire::Journal journal;
    if (!journal.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return base::fail(ErrorKind::InvalidArgument, "order journal can't be decoded; restore the object from the platform's backup");
    }
    JournalImage image;
    BOOST_OUTCOME_TRY(closed, ClosedKeySet::decode(journal.closed()));
    image.m_closed = std::move(closed);
    image.m_lastVersion = journal.last_version();
    image.m_bytes = image.m_closed.size() * DigestBytes;
    for (const wire::JournalEntry &it : journal.entries()) {
        BOOST_OUTCOME_TRY(record, fromWire(it.record()));
        const OrderId order{base::CustomerId(it.customer()), it.key()};
        image.m_bytes += entryBytes(order, record);
        image.m_records[order] = VersionedRecord{std::move(record), store::Version{it.version()}};
    }
    return image;
}

std::string JournalImage::encode() const
{
    wire::Journal journal;
    journal.set_last_version(m_lastVersion);
    journal.set_closed(m_closed.encode());
    for (const auto &[order, found] : m_records) {
        wire::JournalEntry &entry = *journal.add_entries();
        entry.set_customer(order.customer.value());
        entry.set_key(order.key);
        entry.set_version(found.version.value);
        *entry.mutable_record() = toWire(found.record);
    }
    return journal.SerializeAsString();
}

base::Result<VersionedRecord> JournalImage::find(const OrderId &order) const
{
    if (const auto it = m_records.find(order); it != m_records.end()) {
        return it->second;
    }
    if (m_closed.contains(order.hash())) {
        return closedError();
    }
    return base::fail(ErrorKind::NotFound, "no record of the order; claim it first");
}

base::Result<store::Version> JournalImage::apply(const OrderId &order, const OrderRecord &record, store::Version expected)
{
    const auto found = m_records.find(order);
    const store::Version present = found == m_records.end() ? store::Version{} : found->second.version;
    if (present != expected) {
        return base::fail(ErrorKind::Conflict, "the order's record was changed by another; read it again");
    }
    if (found == m_records.end() && m_closed.contains(order.hash())) {
        return closedError();
    }
    const std::size_t before = found == m_records.end() ? 0 : entryBytes(order, found->second.record);
    const std::size_t after = entryBytes(order, record);
    if (found == m_records.end() && m_bytes + after > MaxJournalBytes) {
        return base::fail(ErrorKind::Overloaded, "the order journal is full; wait for pruning or shorten the retention", base::seconds{10});
    }
    m_bytes += after - before;
    const store::Version version{++m_lastVersion};
    m_records[order] = VersionedRecord{record, version};
    return version;
}

std::size_t JournalImage::prune(std::uint64_t beforeEpoch)
{
    std::vector<std::uint64_t> digests;
    for (const auto &[order, found] : m_records) {
        if (found.record.epoch < beforeEpoch) {
            digests.push_back(order.hash());
        }
    }
    if (!m_closed.add(digests)) {
        return 0;
    }
    m_bytes += digests.size() * DigestBytes;
    std::erase_if(m_records, [this, beforeEpoch](const auto &it) {
        const bool isOld = it.second.record.epoch < beforeEpoch;
        m_bytes -= isOld ? entryBytes(it.first, it.second.record) : 0;
        return isOld;
    });
    return digests.size();
}

std::size_t JournalImage::size() const
{
    return m_records.size();
}

// A compare-and-set of one caller; stays on the caller's stack until the result is set.
struct JournalRecordStore::Call
{
    const OrderId &order;
    OrderRecord record;
    store::Version expected;
    std::optional<base::Result<store::Version>> result;
    bool isDone = false; // guarded by the range's mutex
};

struct JournalRecordStore::Range
{
    std::mutex mutex; // guards waiting, isWriting and Call::isDone
    std::condition_variable changed;
    std::deque<Call *> waiting;
    bool isWriting = false;
    std::optional<Loaded> cached; // accessed only by the leader while isWriting
};

JournalRecordStore::JournalRecordStore(store::ObjectStore &store, JournalSettings settings)
    : m_store(store)
    , m_settings(settings)
{
    for (std::uint32_t i = 0; i < m_settings.ranges; ++i) {
        m_ranges.push_back(std::make_unique<Range>());
    }
}

JournalRecordStore::~JournalRecordStore() = default;

std::uint32_t JournalRecordStore::rangeIndex(const OrderId &order) const
{
    return static_cast<std::uint32_t>(order.hash() % m_settings.ranges);
}

base::Result<JournalRecordStore::Loaded> JournalRecordStore::load(std::uint32_t range)
{
    const auto object = m_store.read("orderjournal/" + std::to_string(range));
    if (!object) {
        if (object.error().kind == ErrorKind::NotFound) {
            return Loaded{};
        }
        return object.error();
    }
    BOOST_OUTCOME_TRY(image, JournalImage::decode(object.value().value));
    return Loaded{std::move(image), object.value().version};
}

base::Result<VersionedRecord> JournalRecordStore::read(const OrderId &order)
{
    BOOST_OUTCOME_TRY(loaded, load(rangeIndex(order)));
    return loaded.image.find(order);
}

base::Result<store::Version> JournalRecordStore::write(const OrderId &order, const OrderRecord &record, store::Version expected)
{
    const std::uint32_t index = rangeIndex(order);
    Range &range = *m_ranges[index];
    Call call{order, dropAnswerTooLongForJournal(record), expected, std::nullopt};
    std::unique_lock lock(range.mutex);
    range.waiting.push_back(&call);
    while (!call.isDone) {
        if (range.isWriting) {
            range.changed.wait(lock);
            continue;
        }
        range.isWriting = true;
        std::vector<Call *> batch;
        while (!range.waiting.empty() && batch.size() < m_settings.maxBatch) {
            batch.push_back(range.waiting.front());
            range.waiting.pop_front();
        }
        lock.unlock();
        commit(index, batch);
        lock.lock();
        for (Call *it : batch) {
            it->isDone = true;
        }
        range.isWriting = false;
        range.changed.notify_all();
    }
    return *call.result;
}

void JournalRecordStore::commit(std::uint32_t index, std::span<Call *const> batch)
{
    bool isUnclear = false;
    for (std::uint32_t i = 0; i < m_settings.maxTries; ++i) {
        if (tryCommit(index, batch, isUnclear)) {
            return;
        }
    }
    const auto error =
        isUnclear ? base::fail(ErrorKind::Unclear, "the outcome of the journal write is unknown; read the record back")
                  : base::fail(ErrorKind::Overloaded, "too many concurrent writers of the order journal; increase its number of ranges", base::seconds{1});
    for (Call *it : batch) {
        it->result = error;
    }
}

// Tries one write of the batch. Returns true if all results are final.
bool JournalRecordStore::tryCommit(std::uint32_t index, std::span<Call *const> batch, bool &isUnclear)
{
    std::optional<Loaded> &cached = m_ranges[index]->cached;
    const auto failAll = [&batch, &isUnclear](const base::Error &error) {
        for (Call *it : batch) {
            it->result = isUnclear ? base::Error{ErrorKind::Unclear, error.message, {}} : error;
        }
        return true;
    };
    const bool isFresh = !cached;
    if (isFresh) {
        auto loaded = load(index);
        if (!loaded) {
            return failAll(base::Error{ErrorKind::Unavailable, loaded.error().message, loaded.error().retryAfter});
        }
        cached = std::move(loaded).value();
    }
    JournalImage image = cached->image;
    std::size_t applied = 0;
    std::size_t refused = 0;
    for (Call *it : batch) {
        const auto found = image.find(it->order);
        if (isUnclear && found && found.value().record == it->record) {
            it->result = found.value().version;
            continue;
        }
        it->result = image.apply(it->order, it->record, it->expected);
        (*it->result ? applied : refused) += 1;
    }
    if (applied == 0) {
        if (refused > 0 && !isFresh) {
            cached.reset();
        }
        return refused == 0 || isFresh;
    }
    const auto written = m_store.write("orderjournal/" + std::to_string(index), image.encode(), cached->version);
    {
        const std::lock_guard lock(m_counterMutex);
        ++m_counters.writes;
        m_counters.records += applied;
        m_counters.conflicts += !written && written.error().kind == ErrorKind::Conflict ? 1 : 0;
    }
    if (written) {
        cached = Loaded{std::move(image), written.value()};
        return true;
    }
    cached.reset();
    if (written.error().kind == ErrorKind::Conflict) {
        return false;
    }
    if (written.error().kind == ErrorKind::Unavailable) {
        return failAll(written.error());
    }
    isUnclear = true;
    return false;
}

base::Result<std::size_t> JournalRecordStore::prune(std::uint32_t range, std::uint64_t beforeEpoch)
{
    BOOST_OUTCOME_TRY(loaded, load(range));
    const std::size_t dropped = loaded.image.prune(beforeEpoch);
    if (dropped > 0) {
        BOOST_OUTCOME_TRYV(m_store.write("orderjournal/" + std::to_string(range), loaded.image.encode(), loaded.version));
    }
    return dropped;
}

JournalCounters JournalRecordStore::counters() const
{
    const std::lock_guard lock(m_counterMutex);
    return m_counters;
}

} // namespace carawaylatch::orders
