// Tests of the decision which responses are read on although their callers take nothing, by the load that each replays.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <string>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/unreadresponses.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

namespace
{

constexpr std::size_t Step = UnreadResponses::StepBytes;
constexpr std::size_t Limit = 16 * Step;
constexpr std::size_t Quarter = Limit / 4;
constexpr std::size_t Usable = Limit - Quarter; // the rest is kept for callers that keep up
constexpr std::size_t ReadBytes = 16'384;
constexpr base::Duration Unread = UnreadResponses::MaxUnreadTime;

} // namespace

class UnreadResponsesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnreadResponsesTest);
    CPPUNIT_TEST(testCallerThatTakesBytesIsNotReadOn);
    CPPUNIT_TEST(testLongestPausedIsReadOnFirst);
    CPPUNIT_TEST(testOthersWaitOnlyForTheRoomOfThoseBeforeThem);
    CPPUNIT_TEST(testMemoryLimit);
    CPPUNIT_TEST(testResponseWithoutEndHoldsAQuarter);
    CPPUNIT_TEST(testReadOnResponseFollowsItsCaller);
    CPPUNIT_TEST(testRoomOfACallerThatLeavesGoesToTheNext);
    CPPUNIT_TEST(testBoundsHoldInAnyOrderOfEvents);
    CPPUNIT_TEST_SUITE_END();

    UnreadResponses m_unread;
    std::map<UnreadResponses::Ticket, UnreadResponses::Response> m_responses;
    std::size_t m_others = 0; // bytes of responses that are not paused
    base::TimePoint m_now{base::hours{1}};

    [[nodiscard]] std::size_t sum() const
    {
        std::size_t bytes = m_others;
        for (const auto &[ticket, response] : m_responses) {
            bytes += response.held;
        }
        return bytes;
    }

    UnreadResponses::Ticket pause(std::size_t held = Step)
    {
        const UnreadResponses::Ticket ticket = m_unread.add(m_now);
        m_responses[ticket] = {m_now, held};
        ask(ticket);
        return ticket;
    }

    std::size_t ask(UnreadResponses::Ticket ticket)
    {
        return m_unread.ask(ticket, m_responses[ticket], {sum(), Limit}, m_now);
    }

    // Reads in pieces for as long as it is allowed, from an upstream that has enough; returns the bytes read.
    std::size_t readAll(UnreadResponses::Ticket ticket)
    {
        const std::size_t before = m_responses[ticket].held;
        while (m_responses[ticket].held < ask(ticket)) {
            m_responses[ticket].held += ReadBytes;
        }
        return m_responses[ticket].held - before;
    }

    void take(UnreadResponses::Ticket ticket, std::size_t bytes)
    {
        m_responses[ticket].held -= bytes;
        m_responses[ticket].takenAt = m_now;
    }

    void leave(UnreadResponses::Ticket ticket)
    {
        m_responses.erase(ticket);
        m_unread.remove(ticket);
    }

public:
    void setUp() override
    {
        m_unread = {};
        m_responses.clear();
        m_others = 0;
    }

    // A caller that takes a little in each second is slow, but not absent.
    void testCallerThatTakesBytesIsNotReadOn()
    {
        const auto ticket = pause();
        for (int i = 0; i < 10; ++i) {
            m_now += Unread - base::milliseconds{1};
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ask(ticket));
            take(ticket, 1);
        }
        ask(ticket);
        m_now += Unread;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_unread.readOn());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_unread.paused());
        CPPUNIT_ASSERT(ask(ticket) > m_responses[ticket].held);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_unread.readOn());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_unread.paused());
    }

    void testLongestPausedIsReadOnFirst()
    {
        const auto first = pause();
        m_now += base::milliseconds{1};
        const auto second = pause();
        m_now += Unread;
        m_others = Usable - sum();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ask(second));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ask(first));
        m_others -= Step; // room for one step
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ask(second));
        CPPUNIT_ASSERT_EQUAL(Step, readAll(first));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ask(second));
    }

    // The response that waits longest asks once in an interval; there is no reason to keep others waiting for it meanwhile.
    void testOthersWaitOnlyForTheRoomOfThoseBeforeThem()
    {
        const auto first = pause();
        m_now += base::milliseconds{1};
        const auto second = pause();
        m_now += Unread;
        m_others = Usable - sum();
        ask(first);
        m_others -= 2 * Step;
        CPPUNIT_ASSERT_EQUAL(2 * Step, ask(second));
        CPPUNIT_ASSERT_EQUAL(2 * Step, ask(first));
    }

    void testMemoryLimit()
    {
        const auto first = pause();
        const auto second = pause();
        m_now += Unread;
        m_others = Usable - sum() - Step;
        // The step of the first is reserved before a byte of it has been read.
        CPPUNIT_ASSERT_EQUAL(2 * Step, ask(first));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ask(second));
        CPPUNIT_ASSERT_EQUAL(Step, readAll(first));
        CPPUNIT_ASSERT_EQUAL(Usable, sum());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_unread.paused());
        // Others, whose callers keep up, have taken the room of one that is read on.
        take(first, Step);
        m_others += Step + 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, readAll(first));
        m_others -= Step + 1;
        CPPUNIT_ASSERT_EQUAL(Step, readAll(first));
    }

    void testResponseWithoutEndHoldsAQuarter()
    {
        const auto endless = pause();
        const auto other = pause();
        m_now += Unread;
        readAll(endless);
        CPPUNIT_ASSERT_EQUAL(Quarter, m_responses[endless].held);
        m_now += base::seconds{30};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, readAll(endless));
        CPPUNIT_ASSERT_EQUAL(Quarter - Step, readAll(other));
    }

    // It stays read on, so that its upstream is not left unread while a long queue is taken.
    void testReadOnResponseFollowsItsCaller()
    {
        const auto ticket = pause();
        m_now += Unread;
        readAll(ticket);
        for (int i = 0; i < 10; ++i) {
            take(ticket, Step);
            m_now += UnreadResponses::CheckInterval;
            CPPUNIT_ASSERT_EQUAL(Step, readAll(ticket));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_unread.readOn());
    }

    void testRoomOfACallerThatLeavesGoesToTheNext()
    {
        const auto first = pause();
        const auto second = pause();
        const auto third = pause();
        m_now += Unread;
        m_others = Usable - sum() - Step;
        readAll(first);
        for (const auto ticket : {second, third}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ask(ticket));
        }
        leave(first); // which held two steps
        CPPUNIT_ASSERT_EQUAL(2 * Step, ask(second));
        leave(second); // with a step that is reserved, but not read
        CPPUNIT_ASSERT(readAll(third) >= 2 * Step);
        leave(third);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_unread.paused());
    }

    // Responses pause, are read, taken and given up in random order.
    void testBoundsHoldInAnyOrderOfEvents()
    {
        base::Random random(carawaylatch::testing::seed());
        std::size_t mostHeld = 0;
        for (int i = 0; i < 20'000; ++i) {
            m_now += base::milliseconds{static_cast<int>(random.below(100))};
            // A response that pauses brings bytes of its own, which the limit for read-on responses does not bound.
            if (m_responses.empty() || (random.below(10) == 0 && sum() + Step <= Limit && m_responses.size() < 6)) {
                pause();
                continue;
            }
            const auto it = std::next(m_responses.begin(), static_cast<std::ptrdiff_t>(random.below(m_responses.size())));
            const auto [ticket, response] = *it;
            const auto event = random.below(40);
            if (event == 0) {
                leave(ticket);
            } else if (event == 1 && response.held > 0) {
                take(ticket, random.below(response.held));
            } else if (m_responses[ticket].held < ask(ticket)) {
                m_responses[ticket].held += ReadBytes;
            }
            if (m_responses.count(ticket) > 0) {
                mostHeld = std::max(mostHeld, m_responses[ticket].held);
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i), sum() <= Limit + ReadBytes);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i), mostHeld <= Quarter + ReadBytes);
            CPPUNIT_ASSERT(m_unread.paused() <= m_responses.size());
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(mostHeld), mostHeld > Quarter - ReadBytes);
        while (!m_responses.empty()) {
            leave(m_responses.begin()->first);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_unread.paused());
        // Nothing is left reserved.
        const auto last = pause();
        m_now += Unread;
        m_others = Usable - sum() - Step;
        CPPUNIT_ASSERT_EQUAL(Step, readAll(last));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(UnreadResponsesTest);

} // namespace carawaylatch::proxy::testing
