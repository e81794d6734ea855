// The calls to the store that SoftwareVersions, StreamRecords and OriginSearch ask for.
#include "carawaylatch/gateway/streamsoftware.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::gateway
{

namespace
{

constexpr base::Duration StepInterval = base::milliseconds{50};
// Between reads of an object that the watch does not show: it may show the removal together with the write before it.
constexpr base::Duration AbsenceInterval = base::seconds{5};
constexpr std::size_t MaxRemovedRouters = 256; // beyond it the records of a removed router stay

} // namespace

StreamSoftware::StreamSoftware(boost::asio::io_context &loop, const base::Clock &clock, const base::RouterId &router, ObjectClientFactory &clients,
                               telemetry::EventLog &log, std::function<StreamSoftwareInput()> input, std::function<void(const SoftwareByPool &)> publish)
    : m_loop(loop)
    , m_clock(clock)
    , m_router(router.value())
    , m_clients(clients)
    , m_log(log)
    , m_input(std::move(input))
    , m_publish(std::move(publish))
    , m_versions(base::hash64(router.value(), 1))
    , m_records(base::hash64(router.value(), 2))
{
}

Awaitable<void> StreamSoftware::pause(base::Duration duration)
{
    boost::asio::steady_timer timer(m_loop, duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

Awaitable<void> StreamSoftware::runVersions()
{
    const auto client = m_clients.makeClient();
    while (true) {
        co_await pause(StepInterval);
        const StreamSoftwareInput input = m_input();
        if (input.isListed && m_clients.storeEra()) {
            co_await stepVersions(*client, input);
        }
    }
}

Awaitable<void> StreamSoftware::stepVersions(ObjectClient &client, const StreamSoftwareInput &input)
{
    SoftwareInput versions = input.versions;
    versions.era = *m_clients.storeEra();
    const SoftwareAction action = m_versions.poll(m_clock.now(), versions);
    publishAdmitted();
    if (action.call == SoftwareCall::Read) {
        const auto stored = co_await client.read(ObjectKind::Coordination, std::string(SoftwareName), ReadConsistency::Latest);
        m_versions.onRead(m_clock.now(), stored);
    } else if (action.call == SoftwareCall::Write) {
        const auto written = co_await client.write(ObjectKind::Coordination, std::string(SoftwareName), action.text, action.expected);
        m_versions.onWritten(m_clock.now(), written);
    }
    publishAdmitted();
}

void StreamSoftware::onObject(const StoredObject *object)
{
    if (object != nullptr) {
        m_versions.onObject(*object);
    }
    const base::TimePoint now = m_clock.now();
    const bool hasGone = std::exchange(m_wasObjectSeen, object != nullptr) && object == nullptr;
    if (hasGone || now - m_checkedAt >= AbsenceInterval) {
        m_checkedAt = now;
        if (object == nullptr) {
            m_versions.onObjectGone();
        }
    }
    publishAdmitted();
}

void StreamSoftware::publishAdmitted()
{
    const SoftwareByPool &admitted = m_versions.admitted();
    if (admitted == m_published) {
        return;
    }
    m_published = admitted;
    m_log.write(base::LogEvent::SoftwareAdmitted, {{"software", encodePools(admitted)}});
    m_publish(admitted);
}

Awaitable<void> StreamSoftware::runRecords()
{
    const auto client = m_clients.makeClient();
    while (true) {
        co_await pause(StepInterval);
        const StreamSoftwareInput input = m_input();
        if (input.isListed && m_clients.storeEra() && (!input.versions.listed.empty() || m_versions.needsRecords())) {
            co_await stepRecords(*client, input);
        }
        co_await removeRecords(*client);
    }
}

Awaitable<void> StreamSoftware::stepRecords(ObjectClient &client, const StreamSoftwareInput &input)
{
    const RecordsInput records{m_versions.needsRecords(), input.versions.routers, *m_clients.storeEra(), input.versions.maxStreamTime};
    const RecordsAction action = m_records.poll(m_clock.now(), records);
    if (action.call == RecordsCall::Read) {
        const auto stored = co_await client.read(ObjectKind::Streams, m_router, ReadConsistency::Latest);
        m_records.onRead(m_clock.now(), stored);
    } else if (action.call == RecordsCall::Write) {
        const auto written = co_await client.write(ObjectKind::Streams, m_router, action.text, action.expected);
        m_records.onWritten(m_clock.now(), written);
    }
}

// Tries once; what remains is read by searches without effect.
Awaitable<void> StreamSoftware::removeRecords(ObjectClient &client)
{
    for (const std::string &router : std::exchange(m_removedRouters, {})) {
        const auto stored = co_await client.read(ObjectKind::Streams, router, ReadConsistency::Latest);
        if (stored) {
            co_await client.remove(ObjectKind::Streams, router, stored.value().revision);
        }
    }
}

void StreamSoftware::onRouterRemoved(const std::string &router)
{
    if (m_removedRouters.size() < MaxRemovedRouters) {
        m_removedRouters.insert(router);
    }
}

void StreamSoftware::onStreamsSent(const std::vector<proxy::StreamOrigin> &streams)
{
    m_records.onStreamsSent(m_clock.now(), streams);
}

void StreamSoftware::findOrigin(const base::PoolName &pool, std::uint64_t stream, std::function<void(proxy::OriginAnswer)> done)
{
    if (const auto software = m_records.find(stream)) {
        done({proxy::OriginVerdict::Known, *software});
        return;
    }
    if (m_questions.size() >= MaxQuestions || m_nextSearch - m_clock.now() > MaxQuestionWait) {
        done({proxy::OriginVerdict::Unavailable, {}});
        return;
    }
    m_questions.push_back({{pool, stream}, std::move(done)});
    if (m_searchTimer != nullptr) {
        m_searchTimer->cancel();
    }
}

Awaitable<void> StreamSoftware::waitForQuestion()
{
    boost::asio::steady_timer timer(m_loop, boost::asio::steady_timer::time_point::max());
    m_searchTimer = &timer;
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    m_searchTimer = nullptr;
}

Awaitable<void> StreamSoftware::runSearches()
{
    const auto client = m_clients.makeClient();
    while (true) {
        if (m_questions.empty()) {
            co_await waitForQuestion();
            continue;
        }
        // Questions that come from now on need a later read.
        const std::vector<Waiting> waiting = std::exchange(m_questions, {});
        std::vector<OriginSearch::Question> questions;
        questions.reserve(waiting.size());
        for (const Waiting &it : waiting) {
            questions.push_back(it.question);
        }
        OriginSearch origins(std::move(questions));
        std::uint32_t calls = 0;
        const bool isRead = co_await search(*client, origins, calls);
        const double seconds = static_cast<double>(calls) * m_input().versions.routers / ReadsPerSecond;
        const base::Duration interval = std::max<base::Duration>(MinSearchInterval, base::fromSeconds(seconds));
        m_nextSearch = m_clock.now() + interval;
        const std::vector<proxy::OriginAnswer> answers = origins.answers();
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            waiting[i].done(isRead ? answers[i] : proxy::OriginAnswer{proxy::OriginVerdict::Unavailable, {}});
        }
        co_await pause(interval);
    }
}

Awaitable<bool> StreamSoftware::search(ObjectClient &client, OriginSearch &search, std::uint32_t &calls)
{
    ++calls;
    const auto object = co_await client.read(ObjectKind::Coordination, std::string(SoftwareName), ReadConsistency::Latest);
    if (!object && object.error().kind != base::ErrorKind::NotFound) {
        co_return false;
    }
    const std::uint64_t era = m_clients.storeEra().value_or(0);
    search.onSoftware(object ? std::optional(SoftwareRecord::decode(object.value().text)) : std::nullopt, era);
    std::string after;
    bool hasMore = search.needsRecords();
    while (hasMore) {
        ++calls;
        const auto page = co_await client.list(ObjectKind::Streams, after);
        if (!page) {
            co_return false;
        }
        for (const StoredObject &stored : page.value().objects) {
            search.onRecords(stored.text);
            after = stored.name;
        }
        hasMore = page.value().hasMore && !page.value().objects.empty();
    }
    co_return true;
}

} // namespace carawaylatch::gateway
