// Tests in virtual time for how long a router uses an upstream whose entry was removed around an
// outage of the store: each moment of the removal, in each way in which it can be read.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carawaylatch/gateway/changetimes.h"
#include "carawaylatch/gateway/fleetstate.h"
#include "carawaylatch/gateway/gatewaysettings.h"
#include "carawaylatch/gateway/testing/fakes.h"
#include "carawaylatch/gateway/watchrelay.h"

namespace carawaylatch::gateway::testing
{

namespace
{

using std::chrono::milliseconds;

enum class Read {
    AtOnce, // by a watch that is in flight at the removal, or by the first one that succeeds
    Late, // the answer of the watch is three seconds on its way
    AfterPause, // by the watch that follows the pause after other changes
    List, // by a list, as the history is gone
    Reader, // by a reader, from which this router polls
    LateReader, // the same, and the reader's answer is three seconds on its way
    Twice, // by a watch, and once more by a list after it
};
constexpr Read AllReads[] = {Read::AtOnce, Read::Late, Read::AfterPause, Read::List, Read::Reader, Read::LateReader, Read::Twice};
constexpr const char *ReadNames[] = {"at once", "late", "after a pause", "list", "reader", "late reader", "twice"};

constexpr auto Kind = ObjectKind::Upstreams;
constexpr base::Duration Beat = ChangeTimes::HeartbeatInterval;
constexpr base::Duration LateBy = base::seconds{3};
constexpr base::Duration OutageStart = base::hours{1};
constexpr base::Duration ReturnBound = base::seconds{2}; // after the store's return, in which expired entries are written again

base::TimePoint timePoint(base::Duration at)
{
    return base::TimePoint{at};
}

// A router that reads the store itself: its calls, and what it takes from their answers.
class VirtualRouter
{
public:
    explicit VirtualRouter(base::Duration start, const RemovalLimits &limits)
        : m_now(start)
        , m_state(m_decoder, m_log.log, limits)
    {
        static_cast<void>(m_times.onHeartbeat(m_now));
        m_times.onCallSent(Kind, m_now);
        m_times.onStoreAnswered(Kind, m_now);
        static_cast<void>(m_times.onAnswered(Kind));
        m_state.onList(Kind, {entry()}, 1, time({}));
        m_times.onCallSent(Kind, m_now);
    }
    static StoredObject entry()
    {
        return {"e", "p ready 10 1", 1, false};
    }
    static StoredObject removal()
    {
        return {"e", {}, 2, true};
    }
    static StoredObject returned()
    {
        return {"e", entry().text, 3, false};
    }
    void runUntil(base::Duration end)
    {
        while (m_now + Beat <= end) {
            m_now += Beat;
            static_cast<void>(m_times.onHeartbeat(m_now));
            m_state.onTick(timePoint(m_now));
            noteDrop();
        }
        m_now = std::max(m_now, end);
    }
    // The call in flight fails, and all later ones until the outage ends.
    void failCalls(base::Duration end)
    {
        while (m_now < end) {
            failCall(std::min<base::Duration>(milliseconds{200}, end - m_now));
        }
    }
    // The call in flight fails, and the next one is sent after a pause.
    void failCall(base::Duration pause)
    {
        m_times.onCallFailed(Kind);
        m_times.onStoreFailed(Kind, m_now);
        runUntil(m_now + pause);
        m_times.onCallSent(Kind, m_now);
    }
    void onWatched(const std::vector<StoredObject> &objects)
    {
        m_times.onStoreAnswered(Kind, m_now);
        const auto changedAfter = m_times.onAnswered(Kind);
        m_state.onChanges(Kind, objects, asOf(objects), time(changedAfter));
        noteDrop();
        lastChange = changedAfter;
    }
    void sendCall()
    {
        m_times.onCallSent(Kind, m_now);
    }
    void onListed(const std::vector<StoredObject> &objects)
    {
        m_times.onStoreAnswered(Kind, m_now);
        m_state.onList(Kind, objects, removal().revision, time(m_times.onAnswered(Kind)));
        noteDrop();
    }
    // Takes what a reader answered at `at`.
    void onRelayed(const VirtualRouter &reader, base::Duration confirmedAt, base::Duration at, const std::vector<StoredObject> &objects)
    {
        RelayAnswer answer;
        answer.isKnown = true;
        answer.objects = objects;
        if (const auto returnedAt = reader.m_times.storeReturnedAt(Kind)) {
            answer.returnAge = at - *returnedAt;
        }
        if (reader.lastChange) {
            answer.changeAge = at - *reader.lastChange;
        }
        answer = decodeRelayAnswer(encodeRelayAnswer(answer)).value();
        const auto changedAfter = m_times.onRelayed(Kind, confirmedAt, answer.changeAge ? std::optional(at - *answer.changeAge) : std::nullopt);
        m_times.onReaderAnswered(Kind, confirmedAt, answer.returnAge ? std::optional(at - *answer.returnAge) : std::nullopt);
        m_state.onChanges(Kind, answer.objects, asOf(answer.objects), time(changedAfter));
        noteDrop();
    }
    // A call for another kind of object succeeds.
    void onOtherKindAnswered()
    {
        m_times.onStoreAnswered(ObjectKind::Tables, m_now);
    }
    [[nodiscard]] base::Duration now() const
    {
        return m_now;
    }
    [[nodiscard]] bool isUsed() const
    {
        return m_state.upstreams().contains(base::UpstreamId("e"));
    }

    std::optional<base::Duration> droppedAt;
    std::optional<base::Duration> lastChange; // earliest time of the last changes

private:
    // The revision to which these changes lead.
    static std::uint64_t asOf(const std::vector<StoredObject> &objects)
    {
        return objects.empty() ? 1 : objects.back().revision;
    }
    [[nodiscard]] ChangeTime time(std::optional<base::Duration> changedAfter) const
    {
        const auto returnedAt = m_times.storeReturnedAt(Kind);
        return {timePoint(m_now),
                changedAfter ? timePoint(*changedAfter) : base::TimePoint{},
                returnedAt ? std::optional(timePoint(*returnedAt)) : std::nullopt,
                {},
                m_times.outageDuration(Kind).value_or(base::Duration::max())};
    }
    void noteDrop()
    {
        if (!droppedAt && !isUsed()) {
            droppedAt = m_now;
        }
    }

    base::Duration m_now;
    PlainTextDecoder m_decoder;
    NullLog m_log;
    ChangeTimes m_times;
    FleetState m_state;
};

} // namespace

class RemovedUpstreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RemovedUpstreamTest);
    CPPUNIT_TEST(testUpstreamRemovedAroundAnOutageIsUsedNoLongerThanItsBound);
    CPPUNIT_TEST(testUpstreamWhoseEntryReturnsInTimeIsNeverDropped);
    CPPUNIT_TEST(testUpstreamMissingAfterASecondOutage);
    CPPUNIT_TEST(testOutageOfAReaderIsNotThatOfItsFollower);
    CPPUNIT_TEST(testRemovalBeforeAShortOutageIsNotKept);
    CPPUNIT_TEST(testUpstreamIsNotKeptFromALateRetry);
    CPPUNIT_TEST(testLimitsLeaveAMarginInTheTimeToLeave);
    CPPUNIT_TEST_SUITE_END();

    static RemovalLimits limits(double leaveWithinMs)
    {
        GatewaySettings settings;
        settings.leaveWithinMs = leaveWithinMs;
        return settings.control().removal;
    }
    static std::string row(base::Duration outage, base::Duration removal, Read read)
    {
        return "outage of " + base::formatMilliseconds(outage) + " ms, removal " + base::formatMilliseconds(removal) + " ms after its end, read "
               + ReadNames[static_cast<int>(read)];
    }
    // Makes the router read the removal, and returns when it did.
    static base::Duration readRemoval(VirtualRouter &router, VirtualRouter &reader, base::Duration returnedAt, base::Duration removedAt, Read read,
                                      const RemovalLimits &limits)
    {
        const base::Duration readable = std::max(returnedAt, removedAt);
        const std::vector<StoredObject> removal{VirtualRouter::removal()};
        router.failCalls(returnedAt);
        if (removedAt > returnedAt && read != Read::Reader && read != Read::LateReader) {
            router.onWatched({}); // the first call that succeeds
            router.sendCall();
        }
        switch (read) {
        case Read::AtOnce:
            router.runUntil(readable);
            router.onWatched(removal);
            break;
        case Read::Late:
            router.onOtherKindAnswered();
            router.runUntil(readable + LateBy);
            router.onWatched(removal);
            break;
        case Read::AfterPause:
            router.runUntil(std::max(router.now(), readable - milliseconds{1}));
            router.onWatched({});
            router.runUntil(router.now() + limits.pause);
            router.sendCall();
            router.onWatched(removal);
            break;
        case Read::List:
            router.runUntil(readable);
            router.onListed({});
            break;
        case Read::Reader:
        case Read::LateReader: {
            reader.failCalls(returnedAt);
            if (removedAt > returnedAt) {
                reader.onWatched({});
                reader.sendCall();
            }
            reader.runUntil(readable);
            reader.onWatched(removal);
            router.runUntil(readable + (read == Read::Reader ? milliseconds{1} : LateBy));
            router.onRelayed(reader, readable, readable, removal);
            break;
        }
        case Read::Twice:
            router.runUntil(readable);
            router.onWatched(removal);
            router.runUntil(router.now() + milliseconds{700});
            router.onListed({});
            break;
        }
        return read == Read::Twice ? readable : router.now();
    }

public:
    // A removal that was made up to 2.5 s after an outage kept the upstream in use for 1.7 s from when
    // it was read.
    void testUpstreamRemovedAroundAnOutageIsUsedNoLongerThanItsBound()
    {
        std::string late;
        base::Duration latest{};
        for (const double leaveWithinMs : {500.0, 1000.0, 2000.0, 5000.0}) {
            const RemovalLimits limit = limits(leaveWithinMs);
            const base::Duration leaveWithin = base::fromMilliseconds(leaveWithinMs);
            for (const base::Duration outage : {milliseconds{300}, milliseconds{2000}, milliseconds{9000}}) {
                const base::Duration returnedAt = OutageStart + outage;
                for (const int ms : {-200, 0, 10, 100, 300, 500, 1000, 1500, 1990, 2010, 2300, 2490, 2510, 3000, 6000}) {
                    for (const Read read : AllReads) {
                        VirtualRouter router(OutageStart - base::seconds{1}, limit);
                        VirtualRouter reader(OutageStart - base::seconds{1}, limit);
                        router.runUntil(OutageStart);
                        reader.runUntil(OutageStart);
                        const base::Duration removedAt = returnedAt + milliseconds{ms};
                        const base::Duration readAt = readRemoval(router, reader, returnedAt, removedAt, read, limit);
                        router.runUntil(readAt + base::seconds{10});
                        CPPUNIT_ASSERT_MESSAGE(row(outage, milliseconds{ms}, read), router.droppedAt.has_value());
                        // What is made during the outage is accepted by the store for routers only when it returns.
                        const base::Duration leaveBy = std::max(removedAt, returnedAt) + leaveWithin * 85 / 100;
                        const base::Duration bound = std::max(readAt, std::min(returnedAt + ReturnBound, leaveBy));
                        const base::Duration lateBy = *router.droppedAt - bound;
                        if (lateBy > Beat) {
                            latest = std::max(latest, lateBy);
                            late += row(outage, milliseconds{ms}, read) + ", time to leave " + base::formatMilliseconds(leaveWithin)
                                    + " ms: " + base::formatMilliseconds(lateBy) + " ms too long\n";
                        }
                    }
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("by up to " + base::formatMilliseconds(latest) + " ms", std::string(), late);
    }

    // An entry that expired in the outage is written again while its upstream may still be used.
    void testUpstreamWhoseEntryReturnsInTimeIsNeverDropped()
    {
        const RemovalLimits limit = limits(2000);
        for (const Read read : {Read::AtOnce, Read::AfterPause, Read::List, Read::Reader, Read::Twice}) {
            for (const int ms : {-1000, 0, 300}) {
                for (const int back : {800, 1200, 1650}) {
                    const base::Duration returnedAt = OutageStart + base::seconds{9};
                    VirtualRouter router(OutageStart - base::seconds{1}, limit);
                    VirtualRouter reader(OutageStart - base::seconds{1}, limit);
                    router.runUntil(OutageStart);
                    reader.runUntil(OutageStart);
                    readRemoval(router, reader, returnedAt, returnedAt + milliseconds{ms}, read, limit);
                    router.runUntil(returnedAt + milliseconds{back});
                    router.onWatched({VirtualRouter::returned()});
                    router.runUntil(returnedAt + base::seconds{10});
                    CPPUNIT_ASSERT_MESSAGE(row(base::seconds{9}, milliseconds{ms}, read) + ", back after " + std::to_string(back) + " ms",
                                           !router.droppedAt && router.isUsed());
                }
            }
        }
    }

    // The bound counts from the return after which the entry was found missing, and reading it
    // again after a second outage does not extend it.
    void testUpstreamMissingAfterASecondOutage()
    {
        const RemovalLimits limit = limits(2000);
        VirtualRouter router(OutageStart - base::seconds{1}, limit);
        router.runUntil(OutageStart);
        const base::Duration returnedAt = OutageStart + base::seconds{5};
        router.failCalls(returnedAt);
        router.onWatched({VirtualRouter::removal()});
        router.runUntil(returnedAt + milliseconds{500});
        router.sendCall();
        router.failCalls(returnedAt + milliseconds{1500});
        router.onListed({});
        router.runUntil(returnedAt + base::seconds{10});
        CPPUNIT_ASSERT(router.droppedAt.has_value());
        CPPUNIT_ASSERT_MESSAGE(base::formatMilliseconds(*router.droppedAt - returnedAt), *router.droppedAt - returnedAt <= limit.maxUse + Beat);
    }

    // A reader that comes back from an outage of its own tells of a removal. Its follower, which has missed no answer of the
    // store, kept the upstream in use for the time in which entries come back after an outage.
    void testOutageOfAReaderIsNotThatOfItsFollower()
    {
        const RemovalLimits limit = limits(2000);
        VirtualRouter router(OutageStart - base::seconds{1}, limit);
        VirtualRouter reader(OutageStart - base::seconds{1}, limit);
        reader.runUntil(OutageStart);
        const base::Duration returnedAt = OutageStart + milliseconds{3500};
        reader.failCalls(returnedAt);
        reader.onWatched({VirtualRouter::removal()});
        CPPUNIT_ASSERT_MESSAGE("its own outage counts for the reader", reader.isUsed());
        router.runUntil(returnedAt);
        router.onRelayed(reader, returnedAt, returnedAt, {VirtualRouter::removal()});
        CPPUNIT_ASSERT(!router.isUsed());
    }

    // One call failed, and the next one told of a removal that could be 1.5 s old. The upstream was used for 1.7 s more, as entries
    // that expire in an outage of the store come back; in one so short none expires.
    void testRemovalBeforeAShortOutageIsNotKept()
    {
        const RemovalLimits limit = limits(2000);
        for (const int removedAfter : {0, 300, 700, 1200, 1500}) {
            for (const int pause : {5, 75, 225, 400}) {
                VirtualRouter router(OutageStart, limit);
                router.runUntil(OutageStart + milliseconds{1500});
                router.failCall(milliseconds{pause});
                router.onWatched({VirtualRouter::removal()});
                const base::Duration readAt = router.now();
                router.runUntil(readAt + base::seconds{4});
                CPPUNIT_ASSERT(router.droppedAt.has_value());
                const base::Duration removedAt = OutageStart + milliseconds{removedAfter};
                CPPUNIT_ASSERT_MESSAGE("removed after " + std::to_string(removedAfter) + " ms, pause " + std::to_string(pause) + " ms: used for "
                                           + base::formatMilliseconds(*router.droppedAt - removedAt) + " ms",
                                       *router.droppedAt <= std::max(readAt, removedAt + limit.maxUse) + Beat);
            }
        }
    }

    // A router whose last pause between retries was long noticed the return late, and kept an upstream that was removed during the
    // outage from then on. A router counts as undisturbed three seconds after the return.
    void testUpstreamIsNotKeptFromALateRetry()
    {
        constexpr base::Duration Undisturbed = base::seconds{3};
        const RemovalLimits limit = limits(2000);
        for (const int pause : {300, 900, 1500, 2500}) {
            VirtualRouter router(OutageStart - base::seconds{1}, limit);
            router.runUntil(OutageStart);
            router.failCalls(OutageStart + milliseconds{3500});
            const base::Duration returnedAt = router.now(); // right after the last call that fails was sent
            router.failCall(milliseconds{pause});
            router.onWatched({VirtualRouter::removal()});
            const base::Duration readAt = router.now();
            router.runUntil(returnedAt + base::seconds{10});
            CPPUNIT_ASSERT(router.droppedAt.has_value());
            const base::Duration onTheWay = base::fromMilliseconds(2000) * 15 / 100; // of requests
            const base::Duration bound = std::max(readAt, returnedAt + Undisturbed - onTheWay + Beat);
            CPPUNIT_ASSERT_MESSAGE("pause of " + std::to_string(pause) + " ms: dropped " + base::formatMilliseconds(*router.droppedAt - returnedAt)
                                       + " ms after the return",
                                   *router.droppedAt <= bound);
        }
    }

    // The pause delays the reading of a removal, so it must end before the last use; what remains of the
    // time covers requests on their way.
    void testLimitsLeaveAMarginInTheTimeToLeave()
    {
        for (const double leaveWithinMs : {100.0, 500.0, 2000.0, 10'000.0}) {
            const RemovalLimits limit = limits(leaveWithinMs);
            const base::Duration leaveWithin = base::fromMilliseconds(leaveWithinMs);
            CPPUNIT_ASSERT(limit.pause * 4 <= limit.maxUse);
            CPPUNIT_ASSERT(limit.maxUse + leaveWithin * 15 / 100 <= leaveWithin + milliseconds{1});
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RemovedUpstreamTest);

} // namespace carawaylatch::gateway::testing
