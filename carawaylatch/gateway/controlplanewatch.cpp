// Lists and watches of controlplane.h, from the store or from a reader, and the answers to
// routers that poll this one.
//
// A failed watch is restarted from the last revision that was read. A new list is needed
// only if the store no longer has the changes since that revision. The configuration
// counts as confirmed at the time when the confirming call was sent.
#include "carawaylatch/gateway/controlplane.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

#include "carawaylatch/config/valuetext.h"
#include "carawaylatch/gateway/storeversion.h"

namespace carawaylatch::gateway
{

namespace
{

constexpr base::Duration MaxPartialListAge = base::seconds{10}; // half of the time for which a store keeps its history
constexpr base::Duration RelayMargin = base::milliseconds{300}; // for a poll's way
// The same for a poll that waits for nothing, after another reader has failed: two silent readers cost hardly more than one.
constexpr base::Duration FallbackMargin = base::milliseconds{150};
// Of the first watch after a reader or the store failed: it confirms the state at once, as the last confirmation may
// be old, and tells when the store is available again.
constexpr base::Duration FallbackWait = base::milliseconds{5};
// In one step. Each of them may take RelayMargin to fail, and what this router knows ages meanwhile.
constexpr std::size_t MaxPollsInStep = 2;
constexpr base::Duration MaxHoldTime = base::seconds{30}; // of a poll
constexpr base::Duration RelistSpread = base::milliseconds{500}; // of the lists of all routers after the store was restored
// Of the longest pauses between calls that are not urgent, while the configuration can't be read either: its calls show when the
// store is back, and the others are repeated then.
constexpr int OutagePauses = 8;
constexpr base::Duration CoordinationPause = base::milliseconds{200}; // batches changes of ChangingEngines; draining takes three times as long

// The first revision in which these objects changed. A removal may have the revision of the change before it.
std::optional<std::uint64_t> firstRevision(const std::vector<StoredObject> &changes)
{
    std::optional<std::uint64_t> first;
    for (const StoredObject &change : changes) {
        if (!change.isRemoved) {
            first = std::min(first.value_or(change.revision), change.revision);
        }
    }
    return first;
}

} // namespace

Awaitable<base::Result<std::uint64_t>> ControlPlane::listAll(ObjectClient &client, ObjectKind kind, PartialList &partial)
{
    if (m_clock.now() - partial.startedAt > MaxPartialListAge) {
        partial = PartialList{{}, {}, 0, m_clock.now()};
    }
    const base::Duration sentAt = TableAge::bootTime();
    if (partial.asOf == 0) {
        m_changeTimes.onCallSent(kind, sentAt);
    }
    bool hasMore = true;
    while (hasMore) {
        auto page = co_await client.list(kind, partial.after);
        if (!page) {
            co_return page.error();
        }
        if (partial.asOf != 0 && eraOf(partial.asOf) != eraOf(page.value().asOf)) {
            partial = PartialList{{}, {}, 0, m_clock.now()};
            co_return base::fail(base::ErrorKind::Unavailable, "the store has come back from a copy; the list begins again");
        }
        partial.asOf = partial.asOf == 0 ? page.value().asOf : partial.asOf;
        hasMore = page.value().hasMore && !page.value().objects.empty();
        for (StoredObject &object : page.value().objects) {
            partial.after = object.name;
            partial.objects.push_back(std::move(object));
        }
    }
    m_contact.onListed(kind, TableAge::bootTime() - (m_clock.now() - partial.startedAt));
    const PartialList whole = std::exchange(partial, {});
    m_changeTimes.onStoreAnswered(kind, TableAge::bootTime());
    const auto changedAfter = m_changeTimes.onAnswered(kind);
    m_state.onList(kind, whole.objects, whole.asOf, changeTime(kind, changedAfter, {{}, 0, TableAge::bootTime() - sentAt}));
    co_return whole.asOf;
}

ChangeTime ControlPlane::changeTime(ObjectKind kind, std::optional<base::Duration> changedAfter, const ChangeSource &source) const
{
    const base::TimePoint now = m_clock.now();
    const auto onClock = [now, bootTime = TableAge::bootTime()](base::Duration at) {
        return now - (bootTime - at);
    };
    const auto storeReturnedAt = m_changeTimes.storeReturnedAt(kind);
    return {now, changedAfter ? onClock(*changedAfter) : base::TimePoint{}, storeReturnedAt ? std::optional(onClock(*storeReturnedAt)) : std::nullopt, source,
            m_changeTimes.outageDuration(kind).value_or(base::Duration::max())};
}

// Watches that were in flight while the store was not in reach may wait for responses that never come.
void ControlPlane::interruptWatches(const std::vector<ObjectKind> &kinds)
{
    for (const ObjectKind kind : kinds) {
        m_watches[kind]->interrupt();
    }
}

base::Duration ControlPlane::watchWait(ObjectKind kind) const
{
    return kind == ObjectKind::Tables ? m_settings.watchWait : m_settings.longWatchWait;
}

// Delay that lets one call return changes that come together.
base::Duration ControlPlane::pauseAfterChanges(ObjectKind kind) const
{
    switch (kind) {
    case ObjectKind::Upstreams:
        return m_settings.removal.pause;
    case ObjectKind::Coordination:
        return CoordinationPause;
    case ObjectKind::Tables:
    case ObjectKind::Weights:
    case ObjectKind::Leases:
    case ObjectKind::Streams:
        break;
    }
    return {};
}

Awaitable<void> ControlPlane::watchKind(ObjectKind kind)
{
    const std::shared_ptr<ObjectClient> client = m_clients.makeClient();
    m_watches[kind] = client;
    std::uint64_t since = 0; // last revision read; zero: list first
    PartialList partial;
    base::Duration nextPause = m_settings.retryPause;
    while (true) {
        base::Duration confirmedAt = TableAge::bootTime();
        const auto lostAt = m_changeTimes.storeLostAt(kind);
        bool isRelayed = false;
        base::Result<std::uint64_t> result = std::uint64_t{0};
        bool hasChanges = false;
        if (since == 0) {
            const std::size_t read = partial.objects.size();
            result = co_await listAll(*client, kind, partial);
            if (result) {
                m_watchLog.onListed(kind, result.value());
            } else if (partial.objects.size() > read) {
                nextPause = m_settings.retryPause; // the store is overloaded, not down: it served some pages
            }
        } else {
            KindChanges changes;
            co_await nextChanges(*client, kind, since, lostAt ? FallbackWait : watchWait(kind), changes);
            isRelayed = changes.reader.port != 0;
            if (!changes.error) {
                const ChangeSource source{changes.reader, since, TableAge::bootTime() - changes.confirmedAt};
                result = std::max(changes.revision, since);
                m_state.onChanges(kind, changes.objects, result.value(), changeTime(kind, changes.changedAfter, source));
                m_watchLog.onChanges(kind, since, result.value(), changes.objects, changes.changedAfter.value_or(base::Duration{}));
                hasChanges = !changes.objects.empty();
                confirmedAt = changes.confirmedAt;
            } else {
                result = *changes.error;
            }
        }
        const base::Duration now = TableAge::bootTime();
        if (result) {
            since = result.value();
            nextPause = m_settings.retryPause;
            if (lostAt) {
                m_log.write(base::LogEvent::StoreRegained,
                            {{"kind", std::string(objectKindName(kind))}, {"lost_ms", std::to_string(base::toMilliseconds(now - *lostAt))}});
                if (kind == ObjectKind::Tables) {
                    // Its wait is the shortest, so it detects an outage first.
                    interruptWatches(m_contact.watchesSentBefore(isRelayed ? now : confirmedAt));
                    m_readers.onStoreRegained();
                }
            }
            onConfirmed(kind, confirmedAt, isRelayed);
            publishIfChanged();
            if (hasChanges && !isRelayed) {
                co_await pause(pauseAfterChanges(kind));
            }
            continue;
        }
        if (result.error().kind == base::ErrorKind::StaleState && since != 0) {
            m_changeTimes.onCallFailed(kind);
            m_log.write(base::LogEvent::HistoryLost, {{"kind", std::string(objectKindName(kind))}});
            const bool isRestored = eraOf(since) != m_clients.storeEra();
            since = 0;
            if (isRestored) {
                m_changeTimes.onStoreReturned(kind, now); // entries of upstreams may be missing until they are written again
                co_await pause(base::fromSeconds(base::toSeconds(RelistSpread) * m_random.uniformReal()));
            }
            continue;
        }
        m_changeTimes.onCallFailed(kind);
        m_changeTimes.onStoreFailed(kind, now);
        if (!lostAt) {
            wakePolls(kind); // they are answered for a shorter time now
            m_log.write(base::LogEvent::StoreLost, {{"kind", std::string(objectKindName(kind))},
                                                    {"problem", result.error().message},
                                                    {"age_ms", std::to_string(base::toMilliseconds(m_tableAge.age()))}});
        }
        // Jitter, so that routers don't retry at the same moment.
        const double jitter = 0.5 + m_random.uniformReal();
        // A reader must know soon which upstreams have left meanwhile; its followers learn that from it.
        const bool isUrgent = kind == ObjectKind::Tables || since == 0 || (kind == ObjectKind::Upstreams && m_readers.isAmongFirst());
        const bool isOutage = m_changeTimes.storeLostAt(ObjectKind::Tables).has_value();
        const base::Duration longest = isOutage && !isUrgent ? m_settings.maxRetryPause * OutagePauses : nextPause;
        const base::Duration wait = base::fromSeconds(base::toSeconds(longest) * jitter);
        nextPause = std::min<base::Duration>(nextPause * 2, m_settings.maxRetryPause);
        if (isOutage) {
            co_await waitForConfirmation(ObjectKind::Tables, wait);
        } else {
            co_await pause(wait);
        }
    }
}

Awaitable<void> ControlPlane::nextChanges(ObjectClient &client, ObjectKind kind, std::uint64_t since, base::Duration wait, KindChanges &changes)
{
    // The reader answers polls for the configuration at each confirmation, and at least so often that this router
    // knows until when it was told of the other kinds as well, and that a silent reader is seen soon.
    base::Duration pollWait = kind == ObjectKind::Tables ? std::min<base::Duration>(wait, m_settings.watchWait / 3) : wait;
    for (std::size_t polls = 0; polls < MaxPollsInStep; ++polls) {
        const auto reader = m_readers.reader(m_clock.now());
        if (!reader) {
            break;
        }
        const RelayPoll poll{kind, since, pollWait, knownRevisions()};
        const PollResult result = co_await pollReader(*reader, poll, changes);
        if (result == PollResult::Answered) {
            co_return;
        }
        wait = FallbackWait;
        pollWait = FallbackWait;
        if (result == PollResult::Store) {
            break;
        }
    }
    if (!changes.readerProblem.empty()) {
        logReader(std::nullopt, changes.readerProblem);
    }
    changes.confirmedAt = TableAge::bootTime();
    m_changeTimes.onCallSent(kind, changes.confirmedAt);
    m_contact.onWatchSent(kind, changes.confirmedAt, wait);
    auto page = co_await client.watch(kind, since, wait);
    if (page) {
        m_contact.onWatchAnswered(kind, TableAge::bootTime());
        interruptWatches(m_contact.doubtfulWatches());
        m_changeTimes.onStoreAnswered(kind, TableAge::bootTime());
        changes.changedAfter = m_changeTimes.onAnswered(kind, firstRevision(page.value().objects));
        m_changeTimes.onRevisionSeen(page.value().asOf, changes.confirmedAt, TableAge::bootTime());
        changes.revision = page.value().asOf;
        changes.objects = std::move(page.value().objects);
    } else {
        m_contact.onWatchFailed(kind, TableAge::bootTime());
        changes.error = page.error();
    }
}

Awaitable<ControlPlane::PollResult> ControlPlane::pollReader(base::Endpoint reader, const RelayPoll &poll, KindChanges &changes)
{
    const ObjectKind kind = poll.kind;
    const base::Duration sentAt = TableAge::bootTime();
    const base::TimePoint startedAt = m_clock.now();
    const base::Duration timeout = poll.wait + (poll.wait == FallbackWait ? FallbackMargin : RelayMargin);
    m_polls[kind] = reader;
    auto answer = co_await m_relay.poll(reader, poll, timeout);
    m_polls.erase(kind);
    const bool isOverdue = m_overduePolls.erase(kind) > 0;
    if (!answer) {
        m_changeTimes.onCallFailed(kind);
        if (isOverdue) {
            changes.readerProblem = "it was not told of all changes for too long";
            co_return PollResult::Store;
        }
        changes.readerProblem = answer.error().message;
        co_return onPollFailed(reader, kind, m_clock.now() - startedAt, timeout);
    }
    RelayAnswer &value = answer.value();
    noteTold(reader, value, kind, sentAt + value.held);
    if (!value.isKnown) {
        m_changeTimes.onCallFailed(kind);
        co_return onPollRefused(reader, kind, value.refusal, changes.readerProblem);
    }
    // A reader of an earlier version may go on without the store. A watch confirms as of when it was sent, and the next one takes as long.
    if (kind == ObjectKind::Tables && value.age > m_settings.watchWait * 2 + RelayMargin) {
        m_changeTimes.onCallFailed(kind);
        m_readers.onFailed(reader, m_clock.now(), ReaderFailure::NotServing, kind);
        m_relay.interrupt(reader);
        changes.readerProblem = "its configuration is not confirmed";
        co_return PollResult::Store;
    }
    m_readers.onAnswered(reader, kind);
    logReader(reader, {});
    changes.revision = value.revision;
    changes.objects = std::move(value.objects);
    changes.confirmedAt = sentAt + value.held - value.age;
    const auto changedAfter = value.changeAge ? std::optional(sentAt + value.held - *value.changeAge) : std::nullopt;
    changes.changedAfter = m_changeTimes.onRelayed(kind, changes.confirmedAt, changedAfter);
    const auto returnedAt = value.returnAge ? std::optional(sentAt + value.held - *value.returnAge) : std::nullopt;
    m_changeTimes.onReaderAnswered(kind, changes.confirmedAt, returnedAt);
    changes.reader = reader;
    co_return PollResult::Answered;
}

void ControlPlane::noteTold(const base::Endpoint &reader, const RelayAnswer &answer, ObjectKind kind, base::Duration answeredAt)
{
    std::optional<base::Duration> contactAt;
    for (const auto &[told, age] : answer.toldAges) {
        contactAt = std::max(contactAt, std::optional(answeredAt - age));
        if (answer.isKnown) {
            m_contact.onReaderTold(told, answeredAt - age);
        } else if (told == kind && answer.refusal == RelayRefusal::NoStore) {
            m_contact.onReaderDoubted(told, answeredAt - age);
        }
    }
    if (answer.isKnown && answer.toldAges.empty()) { // a reader of an earlier version
        contactAt = answeredAt - answer.age;
        m_contact.onReaderTold(kind, answeredAt);
        for (const auto &[polled, other] : m_polls) {
            if (other == reader) {
                m_contact.onReaderTold(polled, answeredAt);
            }
        }
    }
    if (contactAt) {
        m_changeTimes.onContact(*contactAt);
    }
}

std::map<ObjectKind, std::uint64_t> ControlPlane::knownRevisions() const
{
    std::map<ObjectKind, std::uint64_t> out;
    for (const auto &[kind, client] : m_watches) {
        out[kind] = m_state.knownAsOf(kind);
    }
    return out;
}

void ControlPlane::checkStoreContact()
{
    const base::Duration now = TableAge::bootTime();
    for (const auto &[kind, reader] : m_polls) {
        const auto knownUntil = m_contact.knownUntil(kind, now);
        if (knownUntil && now - *knownUntil >= m_settings.maxUntoldTime && m_overduePolls.insert(kind).second) {
            m_relay.interrupt(kind);
        }
    }
    const bool isSilent = m_contact.isSilent(now);
    if (isSilent && !m_wasStoreSilent) {
        for (const auto &[kind, confirmation] : m_confirmations) {
            wakePolls(kind);
        }
    }
    m_wasStoreSilent = isSilent;
}

ControlPlane::PollResult ControlPlane::onPollFailed(const base::Endpoint &reader, ObjectKind kind, base::Duration elapsed, base::Duration timeout)
{
    m_readers.onFailed(reader, m_clock.now(), ReaderFailure::Unreachable, kind);
    if (elapsed < timeout) {
        return PollResult::AnotherReader; // the connection failed, or the poll was interrupted
    }
    // The polls for the configuration are the shortest, so they detect a silent reader first.
    if (kind == ObjectKind::Tables) {
        m_relay.interrupt(reader);
    }
    return PollResult::Store;
}

ControlPlane::PollResult ControlPlane::onPollRefused(const base::Endpoint &reader, ObjectKind kind, RelayRefusal refusal, std::string &problem)
{
    const base::TimePoint now = m_clock.now();
    switch (refusal) {
    case RelayRefusal::Behind:
        m_readers.onBehind(reader, now, kind);
        return PollResult::Store;
    case RelayRefusal::NotReader:
        m_readers.onNotReader(reader, now, kind);
        problem = "it is no reader";
        return PollResult::AnotherReader;
    case RelayRefusal::Stopping:
        m_readers.onFailed(reader, now, ReaderFailure::Unreachable, kind);
        problem = "it is stopping";
        return PollResult::AnotherReader;
    case RelayRefusal::NoStore:
        m_readers.onFailed(reader, now, ReaderFailure::NotServing, kind);
        problem = "the store does not answer it";
        return PollResult::AnotherReader;
    case RelayRefusal::None:
        break;
    }
    m_readers.onFailed(reader, now, ReaderFailure::Unreachable, kind);
    problem = "the changes are not known there";
    if (kind == ObjectKind::Tables) {
        m_relay.interrupt(reader);
    }
    return PollResult::Store;
}

void ControlPlane::logReader(const std::optional<base::Endpoint> &reader, const std::string &problem)
{
    if (std::exchange(m_loggedReader, reader) != reader) {
        m_log.write(base::LogEvent::ReaderChanged, {{"reader", reader ? config::formatEndpoint(*reader) : "store"}, {"problem", problem}});
    }
}

void ControlPlane::wakePolls(ObjectKind kind)
{
    for (boost::asio::steady_timer *timer : m_confirmations[kind].waiting) {
        timer->cancel();
    }
}

void ControlPlane::onConfirmed(ObjectKind kind, base::Duration confirmedAt, bool isRelayed)
{
    Confirmation &confirmation = m_confirmations[kind];
    confirmation.at = std::max(confirmation.at, confirmedAt);
    confirmation.isRelayed = isRelayed;
    ++confirmation.count;
    wakePolls(kind);
    if (kind == ObjectKind::Tables) {
        m_tableAge.confirm(confirmation.at);
    }
    if (kind == ObjectKind::Coordination) {
        m_readers.setRouters(m_state.relaysOf(m_settings.domain));
    }
}

Awaitable<void> ControlPlane::waitForConfirmation(ObjectKind kind, base::Duration limit)
{
    boost::asio::steady_timer timer(m_loop, limit);
    auto &waiting = m_confirmations[kind].waiting;
    const auto it = waiting.insert(waiting.end(), &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    waiting.erase(it);
}

RelayRefusal ControlPlane::refusalOf(ObjectKind kind)
{
    if (m_isStopping) {
        return RelayRefusal::Stopping;
    }
    // A router that polls a reader again after its back-off is no reader only once that reader has answered: until then
    // the others that learn from this router would find none.
    const Confirmation &confirmation = m_confirmations[kind];
    const bool isReader = !m_readers.reader(m_clock.now()) || !confirmation.isRelayed;
    if (!isReader || confirmation.count == 0) {
        return RelayRefusal::NotReader;
    }
    return TableAge::bootTime() < answersUntil(kind) ? RelayRefusal::None : RelayRefusal::NoStore;
}

// A reader that knows that it is not told of changes, as its calls fail or are overdue, says so once a failed call that is repeated
// at once would have been answered.
base::Duration ControlPlane::answersUntil(ObjectKind kind) const
{
    const base::Duration now = TableAge::bootTime();
    const auto toldUntil = m_contact.toldUntil(kind, now);
    if (!toldUntil || m_contact.isSilent(now)) {
        return {};
    }
    const base::Duration until = *toldUntil + m_settings.watchWait + StoreContact::MaxCallDelay;
    const auto lostAt = m_changeTimes.storeLostAt(kind);
    return lostAt ? std::min(until, *lostAt + StoreContact::MaxCallDelay) : until;
}

std::map<ObjectKind, base::Duration> ControlPlane::toldAges(const RelayPoll &poll) const
{
    const base::Duration now = TableAge::bootTime();
    std::map<ObjectKind, base::Duration> out;
    for (const auto &[kind, client] : m_watches) {
        const auto toldUntil = m_contact.toldUntil(kind, now);
        const auto revision = poll.revisions.find(kind);
        bool knowsAll = kind == poll.kind;
        if (!knowsAll && revision != poll.revisions.end()) {
            const auto changes = m_watchLog.changesSince(kind, revision->second);
            knowsAll = changes && changes->objects.empty();
        }
        if (toldUntil && knowsAll) {
            out[kind] = now - *toldUntil;
        }
    }
    return out;
}

std::unique_ptr<RelayAnswer> ControlPlane::refused(RelayRefusal refusal, const RelayPoll &poll, base::Duration arrivedAt) const
{
    auto answer = std::make_unique<RelayAnswer>();
    answer->refusal = refusal;
    answer->held = TableAge::bootTime() - arrivedAt;
    answer->toldAges = toldAges(poll);
    return answer;
}

Awaitable<std::unique_ptr<RelayAnswer>> ControlPlane::answer(RelayPoll poll)
{
    const base::Duration arrivedAt = TableAge::bootTime();
    const base::TimePoint until = m_clock.now() + std::min(poll.wait, MaxHoldTime);
    const std::uint64_t count = m_confirmations[poll.kind].count;
    while (true) {
        const base::TimePoint now = m_clock.now();
        const Confirmation &confirmation = m_confirmations[poll.kind];
        const RelayRefusal refusal = refusalOf(poll.kind);
        if (refusal != RelayRefusal::None) {
            co_return refused(refusal, poll, arrivedAt);
        }
        auto changes = m_watchLog.changesSince(poll.kind, poll.since);
        if (!changes) {
            co_return refused(RelayRefusal::Behind, poll, arrivedAt);
        }
        const bool isConfirmed = poll.kind == ObjectKind::Tables && confirmation.count != count;
        if (!changes->objects.empty() || isConfirmed || now >= until) {
            const base::Duration at = TableAge::bootTime();
            auto known = std::make_unique<RelayAnswer>();
            known->isKnown = true;
            known->revision = changes->revision;
            known->age = at - confirmation.at;
            known->held = at - arrivedAt;
            if (const auto returnedAt = m_changeTimes.storeReturnedAt(poll.kind)) {
                known->returnAge = at - *returnedAt;
            }
            if (!changes->objects.empty()) {
                known->changeAge = at - changes->changedAfter;
            }
            known->toldAges = toldAges(poll);
            known->objects = std::move(changes->objects);
            co_return known;
        }
        co_await waitForConfirmation(poll.kind, std::min(until - now, answersUntil(poll.kind) - TableAge::bootTime()));
    }
}

} // namespace carawaylatch::gateway
