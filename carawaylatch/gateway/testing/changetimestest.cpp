// Tests ChangeTimes in virtual time: for each way in which news can be late, the bound is never
// later than the change, and it is close where heartbeats prove it.
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/gateway/changetimes.h"
#include "testing/seed.h"

namespace carawaylatch::gateway::testing
{

namespace
{

constexpr auto Kind = ObjectKind::Weights;
constexpr base::Duration Beat = ChangeTimes::HeartbeatInterval;
constexpr base::Duration Start = base::hours{1};

} // namespace

class ChangeTimesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChangeTimesTest);
    CPPUNIT_TEST(testFirstAnswerBoundsNothing);
    CPPUNIT_TEST(testChangeInAHeldCallIsYoung);
    CPPUNIT_TEST(testChangeDuringASuspension);
    CPPUNIT_TEST(testChangeBehindAFailedCall);
    CPPUNIT_TEST(testAnswerThatArrivesLongAfterASuspension);
    CPPUNIT_TEST(testAnswerLostBeforeASuspension);
    CPPUNIT_TEST(testSuspensionDuringTheFirstPollOfAReader);
    CPPUNIT_TEST(testRelayedChange);
    CPPUNIT_TEST(testReturnIsTheFirstAnswerAfterTheLastFailedCall);
    CPPUNIT_TEST(testChangeWhoseAnswerIsLongOnItsWay);
    CPPUNIT_TEST(testBoundIsNeverLaterThanTheChange);
    CPPUNIT_TEST_SUITE_END();

    ChangeTimes m_times;
    base::Duration m_now = Start;

    void beatUntil(base::Duration end)
    {
        while (m_now + Beat <= end) {
            m_now += Beat;
            static_cast<void>(m_times.onHeartbeat(m_now));
        }
        m_now = end;
    }
    // The state was read, and a call for changes is held open.
    void startWatch()
    {
        static_cast<void>(m_times.onHeartbeat(m_now));
        m_times.onCallSent(Kind, m_now);
        static_cast<void>(m_times.onAnswered(Kind));
        m_times.onCallSent(Kind, m_now);
    }

public:
    void testFirstAnswerBoundsNothing()
    {
        m_times.onCallSent(Kind, m_now);
        beatUntil(Start + base::seconds{1});
        CPPUNIT_ASSERT(!m_times.onAnswered(Kind).has_value());
    }

    void testChangeInAHeldCallIsYoung()
    {
        startWatch();
        beatUntil(Start + base::seconds{2} + base::milliseconds{20});
        CPPUNIT_ASSERT(m_times.onAnswered(Kind) == Start + base::seconds{2} - Beat);
    }

    // The answer is read before or after the first heartbeat that follows the suspension.
    void testChangeDuringASuspension()
    {
        for (const bool isBeatFirst : {false, true}) {
            m_times = ChangeTimes();
            m_now = Start;
            startWatch();
            beatUntil(Start + base::seconds{1});
            m_now += base::seconds{4};
            if (isBeatFirst) {
                CPPUNIT_ASSERT(m_times.onHeartbeat(m_now) == base::seconds{4});
            }
            CPPUNIT_ASSERT(m_times.onAnswered(Kind) == Start + base::seconds{1} - Beat);
        }
    }

    void testChangeBehindAFailedCall()
    {
        startWatch();
        beatUntil(Start + base::seconds{4});
        m_times.onCallFailed(Kind);
        m_times.onCallSent(Kind, m_now);
        beatUntil(m_now + base::seconds{1});
        CPPUNIT_ASSERT(m_times.onAnswered(Kind) == Start);
    }

    // What was sent to a suspended VM may have been lost, and is sent again later and later.
    void testAnswerThatArrivesLongAfterASuspension()
    {
        startWatch();
        beatUntil(Start + base::seconds{1});
        m_now += base::seconds{4};
        static_cast<void>(m_times.onHeartbeat(m_now));
        beatUntil(m_now + base::seconds{2});
        CPPUNIT_ASSERT(m_times.onAnswered(Kind) == Start + base::seconds{1} - Beat);
        m_times.onCallSent(Kind, m_now);
        beatUntil(m_now + base::seconds{1});
        CPPUNIT_ASSERT(m_times.onAnswered(Kind) == m_now - Beat); // heartbeats count again
    }

    // Heartbeats before a suspension prove nothing about a call that fails after it.
    void testAnswerLostBeforeASuspension()
    {
        startWatch();
        beatUntil(Start + base::seconds{2}); // the change is made after Start, its answer is lost
        m_now += base::seconds{1};
        static_cast<void>(m_times.onHeartbeat(m_now));
        m_times.onCallFailed(Kind);
        m_times.onCallSent(Kind, m_now);
        CPPUNIT_ASSERT(m_times.onAnswered(Kind) == Start);
    }

    // Nor about a state that is watched by a reader, from when the reader is polled.
    void testSuspensionDuringTheFirstPollOfAReader()
    {
        static_cast<void>(m_times.onHeartbeat(m_now));
        m_times.onCallSent(Kind, m_now);
        static_cast<void>(m_times.onAnswered(Kind));
        beatUntil(Start + base::seconds{2});
        m_now += base::seconds{1};
        static_cast<void>(m_times.onHeartbeat(m_now));
        CPPUNIT_ASSERT(m_times.onRelayed(Kind, m_now, std::nullopt) == Start);
    }

    void testRelayedChange()
    {
        startWatch();
        const base::Duration confirmed = Start + base::milliseconds{300};
        CPPUNIT_ASSERT(m_times.onRelayed(Kind, confirmed, std::nullopt) == Start);
        CPPUNIT_ASSERT(m_times.onRelayed(Kind, confirmed, Start + base::seconds{2}) == Start + base::seconds{2});
        // The reader knows less than this router.
        CPPUNIT_ASSERT(m_times.onRelayed(Kind, confirmed, Start - base::seconds{1}) == confirmed);
        // Heartbeats prove nothing about a state that a reader watches.
        beatUntil(Start + base::seconds{5});
        static_cast<void>(m_times.onHeartbeat(m_now + base::seconds{1}));
        CPPUNIT_ASSERT(m_times.onRelayed(Kind, m_now, std::nullopt) == confirmed);
    }

    // Answers to other calls tell of the revision while the answer with the change is on its way.
    void testChangeWhoseAnswerIsLongOnItsWay()
    {
        constexpr std::uint64_t Revision = 7; // of the change
        constexpr base::Duration Step = base::milliseconds{100};
        for (int changedIn = 3; changedIn < 30; ++changedIn) {
            for (const int onItsWay : {0, 1, 4, 9, 30}) {
                m_times = ChangeTimes();
                m_now = Start;
                startWatch();
                // The watch of another kind is answered every second, and its next one is sent at once.
                constexpr int CallSteps = 10;
                const base::Duration changedAt = Start + Step * changedIn + Step / 2;
                base::Duration otherSentAt = Start;
                for (int step = 1; step <= changedIn + onItsWay; ++step) {
                    beatUntil(Start + Step * step);
                    if (step % CallSteps == 0) {
                        m_times.onRevisionSeen(m_now < changedAt ? Revision - 1 : Revision + 1, otherSentAt, m_now);
                        otherSentAt = m_now;
                    }
                }
                beatUntil(std::max(m_now, changedAt) + base::milliseconds{1});
                const auto bound = m_times.onAnswered(Kind, Revision);
                const std::string text = "changed in step " + std::to_string(changedIn) + ", " + std::to_string(onItsWay) + " steps on its way: ";
                // An answer that no other call has overtaken by two heartbeats looks as if it had just been sent.
                const int overtakenAt = (changedIn / CallSteps + 1) * CallSteps;
                const base::Duration lastBeat = m_now - Beat * 2;
                const bool isOvertaken = overtakenAt <= changedIn + onItsWay && Start + Step * overtakenAt < lastBeat;
                CPPUNIT_ASSERT_MESSAGE(text, bound.has_value());
                CPPUNIT_ASSERT_MESSAGE(text + base::formatMilliseconds(*bound - changedAt), !isOvertaken || *bound <= changedAt);
                CPPUNIT_ASSERT_MESSAGE(text, *bound - changedAt <= Step * CallSteps);
                CPPUNIT_ASSERT_MESSAGE(text, changedAt - *bound <= Step * CallSteps * 2);
                CPPUNIT_ASSERT_MESSAGE(text, onItsWay > 0 || changedAt - *bound <= Beat * 2);
            }
        }
    }

    // Calls for the kind are sent again only after a pause; those for other kinds tell sooner.
    void testReturnIsTheFirstAnswerAfterTheLastFailedCall()
    {
        constexpr auto Other = ObjectKind::Tables;
        const auto at = [](int ms) {
            return Start + base::milliseconds{ms};
        };
        const auto failCall = [&](int sentMs, int failedMs) {
            m_times.onCallSent(Kind, at(sentMs));
            m_times.onStoreFailed(Kind, at(failedMs));
        };
        m_times.onStoreAnswered(Kind, at(0));
        CPPUNIT_ASSERT(!m_times.storeReturnedAt(Kind).has_value());
        m_times.onStoreAnswered(Other, at(50));
        failCall(0, 100);
        failCall(300, 400);
        CPPUNIT_ASSERT(m_times.storeLostAt(Kind) == at(100));
        m_times.onStoreAnswered(Kind, at(1000));
        CPPUNIT_ASSERT(m_times.storeReturnedAt(Kind) == at(1000));
        failCall(1100, 1200);
        m_times.onStoreAnswered(Other, at(1500));
        m_times.onStoreAnswered(Other, at(1600));
        m_times.onStoreAnswered(Kind, at(2500));
        CPPUNIT_ASSERT(m_times.storeReturnedAt(Kind) == at(1500));
        failCall(2600, 2700);
        m_times.onStoreAnswered(Other, at(2800));
        failCall(2900, 3000); // the store is away again
        m_times.onStoreAnswered(Other, at(3500));
        failCall(3400, 3600); // sent before the return
        m_times.onStoreAnswered(Kind, at(4000));
        CPPUNIT_ASSERT(m_times.storeReturnedAt(Kind) == at(3500));
        // A reader whose state is older than the failure tells nothing of the return, its own return does.
        failCall(4100, 4200);
        m_times.onReaderAnswered(Kind, at(4150), std::nullopt);
        CPPUNIT_ASSERT(m_times.storeReturnedAt(Kind) == at(4200));
        failCall(4300, 4400);
        m_times.onReaderAnswered(Kind, at(6000), at(5000));
        CPPUNIT_ASSERT(m_times.storeReturnedAt(Kind) == at(5000));
        CPPUNIT_ASSERT(!m_times.storeLostAt(Kind).has_value());
    }

    // Random histories of calls that are answered at once, late, or never, of suspensions and of
    // changes, against the true times of the changes.
    void testBoundIsNeverLaterThanTheChange()
    {
        constexpr int Histories = 300;
        constexpr int Calls = 40;
        base::Random random(carawaylatch::testing::seed());
        for (int history = 0; history < Histories; ++history) {
            m_times = ChangeTimes();
            m_now = Start;
            startWatch();
            std::optional<base::Duration> changedAt;
            for (int call = 0; call < Calls; ++call) {
                const auto wait = base::fromSeconds(random.uniformReal() * 4);
                const bool isChanged = !changedAt && random.uniformReal() < 0.5;
                if (isChanged) {
                    changedAt = m_now + base::fromSeconds(random.uniformReal() * base::toSeconds(wait));
                    beatUntil(*changedAt);
                }
                const double way = random.uniformReal();
                if (way < 0.3) { // suspended until the answer has long arrived
                    m_now += wait;
                    if (random.uniformReal() < 0.5) {
                        static_cast<void>(m_times.onHeartbeat(m_now));
                    }
                } else if (way < 0.6) { // the answer is lost
                    beatUntil(m_now + wait);
                    if (random.uniformReal() < 0.3) {
                        m_now += base::seconds{1};
                        static_cast<void>(m_times.onHeartbeat(m_now));
                    }
                    m_times.onCallFailed(Kind);
                    m_times.onCallSent(Kind, m_now);
                    continue;
                } else if (!changedAt) {
                    beatUntil(m_now + wait);
                }
                const auto bound = m_times.onAnswered(Kind);
                CPPUNIT_ASSERT(bound.has_value());
                CPPUNIT_ASSERT_MESSAGE("history " + std::to_string(history) + ", call " + std::to_string(call), !changedAt || *bound <= *changedAt);
                changedAt.reset();
                m_times.onCallSent(Kind, m_now);
            }
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChangeTimesTest);

} // namespace carawaylatch::gateway::testing
