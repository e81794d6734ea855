// In-memory object store behind ObjectClient that injects one fault at a chosen call.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "carawaylatch/gateway/objectclient.h"
#include "carawaylatch/gateway/storeversion.h"

namespace carawaylatch::gateway::testing
{

enum class CallFault {
    None,
    Refused, // the call has no effect
    AnswerLost, // the call takes effect, the response is lost
    AppliedLate, // no response; a write takes effect LateDelay later if its condition still holds
    HistoryGone, // a watch fails as its history is gone; other calls are refused
    Slow, // the call takes effect and is answered after LateDelay
};
constexpr CallFault AllCallFaults[] = {CallFault::Refused, CallFault::AnswerLost, CallFault::AppliedLate, CallFault::HistoryGone, CallFault::Slow};

// The objects and their history, shared by the clients of one cluster.
class FakeStore
{
public:
    explicit FakeStore(boost::asio::io_context &loop)
        : m_loop(loop)
    {
    }

    void put(ObjectKind kind, const std::string &name, const std::string &text)
    {
        StoredObject object{name, text, ++m_revision, false};
        m_objects[kind][name] = object;
        m_changes.emplace_back(kind, object);
    }
    void erase(ObjectKind kind, const std::string &name)
    {
        m_objects[kind].erase(name);
        m_changes.emplace_back(kind, StoredObject{name, {}, ++m_revision, true});
    }
    [[nodiscard]] const std::map<std::string, StoredObject> &objects(ObjectKind kind)
    {
        return m_objects[kind];
    }

    // Calls that list a kind, from when they are sent.
    [[nodiscard]] int lists(ObjectKind kind)
    {
        return m_lists[kind];
    }
    [[nodiscard]] int calls() const
    {
        return m_calls;
    }

    // Keeps the present state as the copy from which the store may come back.
    void keepCopy()
    {
        m_copy = {m_revision, m_objects, m_changes};
    }
    // What was written since the copy is gone, and its revisions are given out again.
    void comeBackFromCopy()
    {
        m_revision = m_copy.revision;
        m_objects = m_copy.objects;
        m_changes = m_copy.changes;
        ++m_era;
    }

    // Number of the call with the fault, counted from 1 over all clients; zero: none.
    int faultyCall = 0;
    CallFault fault = CallFault::None;
    bool isDown = false; // every call is refused
    std::size_t pageSize = 0; // objects in a page of a list; zero: unlimited
    int refusedListEvery = 0; // every n-th list call is refused; zero: none
    base::Duration answerDelay{}; // of the answers of watches that have changes
    base::Duration leaseCallTime{}; // of reads and writes of leases
    bool areWatchesHung = false; // watches are never answered, so that they fail after their wait
    bool areCoordinationReadsRefused = false; // single reads of coordination objects are refused
    std::optional<ObjectKind> refusedList; // lists of this kind are refused
    bool areWatchesSilent = false; // watches return no changes
    bool areStaleReadsOld = false; // reads that allow stale objects return those of the copy

private:
    friend class FakeClient;
    boost::asio::io_context &m_loop;
    struct Copy
    {
        std::uint64_t revision = 0;
        std::map<ObjectKind, std::map<std::string, StoredObject>> objects;
        std::vector<std::pair<ObjectKind, StoredObject>> changes;
    };
    Copy m_copy;
    std::uint64_t m_era = 0;
    std::uint64_t m_revision = 0;
    int m_calls = 0;
    int m_listCalls = 0;
    std::map<ObjectKind, int> m_lists;
    std::map<ObjectKind, std::map<std::string, StoredObject>> m_objects;
    std::vector<std::pair<ObjectKind, StoredObject>> m_changes;
};

// A router's way to the store.
struct StoreLink
{
    bool isDisconnected = false; // calls fail at once
    bool isSilent = false; // calls are taken and not answered, and fail after their time
    bool closesIdleConnections = false; // the first call of a client after IdleTime fails at once
    static constexpr base::Duration IdleTime = base::seconds{1};
};

class FakeClient : public ObjectClient
{
public:
    // `link` and `era` are shared by the clients of one router.
    FakeClient(FakeStore &store, const StoreLink &link, StoreEra &era)
        : m_store(store)
        , m_link(link)
        , m_era(era)
    {
    }

    Awaitable<base::Result<ObjectPage>> list(ObjectKind kind, std::string after) override
    {
        ++m_store.m_lists[kind];
        const CallFault fault = co_await begin();
        if (const auto error = errorOf(fault)) {
            co_return *error;
        }
        if (m_store.refusedList == kind) {
            co_return base::fail(base::ErrorKind::Unavailable, "refused");
        }
        if (m_store.refusedListEvery != 0 && ++m_store.m_listCalls % m_store.refusedListEvery == 0) {
            co_return base::fail(base::ErrorKind::Unavailable, "too many calls");
        }
        ObjectPage page;
        page.asOf = versionOf(m_store.m_revision);
        for (const auto &[name, object] : m_store.m_objects[kind]) {
            page.hasMore = m_store.pageSize != 0 && page.objects.size() == m_store.pageSize;
            if (page.hasMore) {
                break;
            }
            if (name > after) {
                page.objects.push_back(versioned(object));
            }
        }
        co_return page;
    }

    Awaitable<base::Result<ObjectPage>> watch(ObjectKind kind, std::uint64_t since, base::Duration wait) override
    {
        if (eraOf(since) != m_era.current) {
            co_return base::fail(base::ErrorKind::StaleState, "the store was restored");
        }
        m_isInterrupted = false; // while no call was in flight, which changes nothing
        const CallFault fault = co_await begin();
        if (fault == CallFault::HistoryGone) {
            co_return base::fail(base::ErrorKind::StaleState, "history is gone");
        }
        if (const auto error = errorOf(fault)) {
            co_return *error;
        }
        bool isHung = false;
        bool isOver = false;
        const auto until = std::chrono::steady_clock::now() + wait; // steps are late on a busy machine
        while (!isOver && !m_isInterrupted && !m_link.isDisconnected) {
            m_usedAt = std::chrono::steady_clock::now();
            isOver = m_usedAt >= until;
            noteEra();
            if (eraOf(since) != m_era.current) {
                co_return base::fail(base::ErrorKind::StaleState, "the store was restored");
            }
            ObjectPage page;
            page.asOf = versionOf(m_store.m_revision);
            for (const auto &[changed, object] : m_store.m_changes) {
                if (changed == kind && object.revision > revisionOf(since) && !m_store.areWatchesSilent) {
                    page.objects.push_back(versioned(object));
                }
            }
            isHung = isHung || m_store.areWatchesHung || m_link.isSilent;
            if (!isHung && (!page.objects.empty() || isOver)) {
                if (!page.objects.empty() && m_store.answerDelay > base::Duration{}) {
                    co_await pause(m_store.answerDelay);
                }
                co_return page;
            }
            if (!isOver) {
                co_await pause(std::min<base::Duration>(Step, until - std::chrono::steady_clock::now()));
            }
        }
        if (isOver && m_link.isSilent) {
            co_await pause(CallTime);
        }
        const bool wasInterrupted = std::exchange(m_isInterrupted, false);
        co_return base::fail(base::ErrorKind::Unclear, wasInterrupted ? "interrupted" : "no response");
    }

    Awaitable<base::Result<StoredObject>> read(ObjectKind kind, std::string name, ReadConsistency consistency) override
    {
        CallFault fault = co_await begin();
        if (kind == ObjectKind::Leases) {
            co_await pause(m_store.leaseCallTime);
        }
        if (m_store.areCoordinationReadsRefused && kind == ObjectKind::Coordination) {
            fault = CallFault::Refused;
        }
        if (const auto error = errorOf(fault)) {
            co_return *error;
        }
        const bool isOld = m_store.areStaleReadsOld && consistency == ReadConsistency::AllowStale;
        const auto &objects = isOld ? m_store.m_copy.objects[kind] : m_store.m_objects[kind];
        const auto it = objects.find(name);
        if (it == objects.end()) {
            co_return base::fail(base::ErrorKind::NotFound, "no object");
        }
        co_return versioned(it->second);
    }

    Awaitable<base::Result<std::uint64_t>> write(ObjectKind kind, std::string name, std::string text, std::uint64_t expected) override
    {
        const bool wasEraKnown = m_era.isKnown;
        const std::uint64_t era = m_era.current;
        if (expected != 0 && eraOf(expected) != era) {
            co_return base::fail(base::ErrorKind::Conflict, "the store was restored");
        }
        expected = revisionOf(expected); // a store that was restored meanwhile can't tell
        const CallFault fault = co_await begin();
        if (kind == ObjectKind::Leases) {
            co_await pause(m_store.leaseCallTime);
        }
        if (fault == CallFault::AnswerLost) {
            static_cast<void>(apply(kind, name, text, expected));
        }
        if (fault == CallFault::AppliedLate) {
            auto timer = std::make_shared<boost::asio::steady_timer>(m_store.m_loop, LateDelay);
            timer->async_wait([this, timer, kind, name, text, expected](const boost::system::error_code &) {
                static_cast<void>(apply(kind, name, text, expected));
            });
        }
        if (const auto error = errorOf(fault)) {
            co_return *error;
        }
        const auto result = apply(kind, name, text, expected);
        if (wasEraKnown && era != m_era.current) {
            co_return base::fail(base::ErrorKind::Unclear, "the store was restored");
        }
        co_return result;
    }

    Awaitable<base::Result<void>> remove(ObjectKind kind, std::string name, std::uint64_t expected) override
    {
        const CallFault fault = co_await begin();
        const auto error = errorOf(fault);
        if (error && fault != CallFault::AnswerLost) {
            co_return *error;
        }
        auto &objects = m_store.m_objects[kind];
        const auto it = objects.find(name);
        if (it == objects.end() || versionOf(it->second.revision) != expected) {
            co_return base::fail(base::ErrorKind::Conflict, "revision differs");
        }
        m_store.m_changes.emplace_back(kind, StoredObject{name, {}, ++m_store.m_revision, true});
        objects.erase(it);
        if (error) {
            co_return *error;
        }
        co_return base::ok();
    }

    void interrupt() override
    {
        m_isInterrupted = true;
    }

private:
    static constexpr base::Duration Step = base::milliseconds{5};
    static constexpr base::Duration LateDelay = base::milliseconds{150};
    static constexpr base::Duration CallTime = base::seconds{1}; // of a call that is not answered

    Awaitable<void> pause(base::Duration duration)
    {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    void noteEra()
    {
        m_era = {m_store.m_era, true};
    }
    [[nodiscard]] std::uint64_t versionOf(std::uint64_t revision) const
    {
        return makeVersion(m_store.m_era, revision);
    }
    [[nodiscard]] StoredObject versioned(StoredObject object) const
    {
        object.revision = versionOf(object.revision);
        return object;
    }
    // Notes the era of the answer, unless there is none.
    Awaitable<CallFault> begin()
    {
        const bool isHit = ++m_store.m_calls == m_store.faultyCall;
        const bool isClosed = m_link.closesIdleConnections && std::chrono::steady_clock::now() - m_usedAt > StoreLink::IdleTime;
        m_usedAt = std::chrono::steady_clock::now();
        const CallFault fault = m_store.isDown || m_link.isDisconnected || isClosed ? CallFault::Refused : (isHit ? m_store.fault : CallFault::None);
        if (m_link.isSilent) {
            co_await pause(CallTime);
            co_return CallFault::AnswerLost;
        }
        co_await pause(fault == CallFault::Slow ? LateDelay : base::milliseconds{1});
        if (fault == CallFault::None || fault == CallFault::Slow) {
            noteEra();
        }
        co_return fault;
    }
    static std::optional<base::Error> errorOf(CallFault fault)
    {
        switch (fault) {
        case CallFault::None:
        case CallFault::Slow:
            return std::nullopt;
        case CallFault::Refused:
        case CallFault::HistoryGone:
            return base::fail(base::ErrorKind::Unavailable, "refused");
        case CallFault::AnswerLost:
        case CallFault::AppliedLate:
            return base::fail(base::ErrorKind::Unclear, "no response");
        }
        return std::nullopt;
    }
    base::Result<std::uint64_t> apply(ObjectKind kind, const std::string &name, const std::string &text, std::uint64_t expected)
    {
        const auto it = m_store.m_objects[kind].find(name);
        const std::uint64_t present = it == m_store.m_objects[kind].end() ? 0 : it->second.revision;
        if (present != expected) {
            return base::fail(base::ErrorKind::Conflict, "revision differs");
        }
        m_store.put(kind, name, text);
        return versionOf(m_store.m_revision);
    }

    FakeStore &m_store;
    const StoreLink &m_link;
    StoreEra &m_era;
    bool m_isInterrupted = false;
    base::TimePoint m_usedAt = std::chrono::steady_clock::now(); // last time at which a call was in flight
};

} // namespace carawaylatch::gateway::testing
