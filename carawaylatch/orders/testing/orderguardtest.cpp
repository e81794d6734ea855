// Fault table of the order guard: every fault at every step, over a claim store
// in memory, and what a duplicate at another router then gets.
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <string_view>

#include "carawaylatch/orders/orderguard.h"
#include "carawaylatch/store/faultystore.h"
#include "carawaylatch/store/memorystore.h"

namespace carawaylatch::orders::testing
{

using base::ErrorKind;
using store::StoreFault;

namespace
{

enum class GuardFault {
    None,
    PlatformDown, // from this step on
    AnswerLost, // one call to the platform
    RequestLost, // one call to the platform
    Slow, // the deadline passes before this step's result
    ServiceRefuses, // from this step on
    ServiceLosesAnswer,
    ServiceCrossesAnswer,
    NoService, // from this step on
};
constexpr std::size_t FaultCount = static_cast<std::size_t>(GuardFault::NoService) + 1;

// Expected answers, one letter a fault in the order above:
//   D done, N not run, R running, u unknown and this request ran nothing,
//   m unknown and this request may have run.
struct FaultRow
{
    OrderStep step;
    std::string_view answers;
    char duplicate; // answer elsewhere if the router vanishes at this step
};

constexpr FaultRow FaultRows[] = {
    {OrderStep::Idle, "DuDDuNmmN", 'D'}, //
    {OrderStep::Reading, "RuuuRRRRR", 'u'}, // another router holds the claim
    {OrderStep::Claiming, "DuDDNNmmN", 'D'}, //
    {OrderStep::SettlingClaim, "DuDDNNmmN", 'u'}, // a failed read is repeated
    {OrderStep::Sending, "DDDDDNmmN", 'u'}, //
    {OrderStep::Recording, "DDDDDDDDD", 'u'}, //
    {OrderStep::Waiting, "RuuuRRRRR", 'u'}, //
    {OrderStep::Answered, "DDDDDDDDD", 'D'}, //
};
static_assert(std::size(FaultRows) == OrderStepCount, "a step has no row");

const OrderId Order{base::CustomerId("acme"), "k"};

// Carries a guard's actions out until the answer.
class Bench
{
public:
    explicit Bench(OrderStep target)
        : m_target(target)
    {
        if (target == OrderStep::Reading || target == OrderStep::Waiting) {
            OrderRecord record;
            record.claimant = Claimant{base::RouterId("other"), base::Incarnation{1}, base::AttemptId{9}};
            CPPUNIT_ASSERT(m_store.write(Order, record, {}));
        }
    }

    // Runs until the answer; the fault starts when the step is reached. With
    // `stopThere` the router vanishes instead and nothing is returned.
    std::optional<OrderAnswer> run(GuardFault fault, bool stopThere)
    {
        OrderGuard guard(GuardRequest{Claimant{base::RouterId("r1"), base::Incarnation{1}, base::AttemptId{1}}, 0, 0, m_deadline}, settings());
        if (reached(guard, fault) && stopThere) {
            return std::nullopt;
        }
        OrderAction action = guard.onStart(m_now);
        while (action.kind != OrderActionKind::Answer) {
            if (reached(guard, fault) && stopThere) {
                return std::nullopt;
            }
            if (m_target == OrderStep::SettlingClaim && guard.state().step == OrderStep::Claiming && !m_wasUnclear) {
                m_faulty.inject(StoreFault::AnswerLost, 1);
                m_wasUnclear = true;
            }
            action = carryOut(guard, action);
        }
        CPPUNIT_ASSERT(guard.state().step == OrderStep::Answered);
        CPPUNIT_ASSERT_MESSAGE("a duty exactly if the platform lacks something", action.duty.has_value() || action.answer.kind != OrderAnswerKind::NotRun);
        return action.answer;
    }

    // What a duplicate at another router is told once ours is known to be gone.
    OrderAnswer duplicate()
    {
        m_faulty.inject(StoreFault::None);
        m_fault = GuardFault::None;
        OrderGuard guard(GuardRequest{Claimant{base::RouterId("r2"), base::Incarnation{1}, base::AttemptId{2}}, 0, 0, m_now + base::seconds{30}}, settings());
        m_life = ClaimantLife::Gone;
        OrderAction action = guard.onStart(m_now);
        while (action.kind != OrderActionKind::Answer) {
            action = carryOut(guard, action);
        }
        return action.answer;
    }

    int runs = 0;

private:
    static GuardSettings settings()
    {
        GuardSettings settings;
        settings.maxSends = 2;
        return settings;
    }

    bool reached(const OrderGuard &guard, GuardFault fault)
    {
        if (m_isReached || guard.state().step != m_target) {
            return m_isReached;
        }
        m_isReached = true;
        m_fault = fault;
        if (fault == GuardFault::PlatformDown) {
            m_faulty.inject(StoreFault::Down);
        } else if (fault == GuardFault::AnswerLost || fault == GuardFault::RequestLost) {
            m_faulty.inject(fault == GuardFault::AnswerLost ? StoreFault::AnswerLost : StoreFault::RequestLost, 1);
        } else if (fault == GuardFault::Slow) {
            m_now = m_deadline;
        }
        return true;
    }

    OrderAction carryOut(OrderGuard &guard, const OrderAction &action)
    {
        switch (action.kind) {
        case OrderActionKind::ReadRecord: {
            const auto result = m_store.read(Order);
            return guard.onRead(m_now, result, ReopenedSeen::NotBefore, m_life);
        }
        case OrderActionKind::WriteRecord: {
            const auto result = m_store.write(Order, action.record, action.expected);
            return guard.onWritten(m_now, result);
        }
        case OrderActionKind::Send:
            return send(guard, action);
        case OrderActionKind::Pause:
            m_now += action.pause;
            return guard.onPauseOver(m_now);
        case OrderActionKind::Answer:
            break;
        }
        return action;
    }

    OrderAction send(OrderGuard &guard, const OrderAction & /*action*/)
    {
        if (m_fault == GuardFault::NoService) {
            return guard.onNoUpstream(m_now, base::fail(ErrorKind::Overloaded, "no service"));
        }
        if (m_fault == GuardFault::ServiceRefuses) {
            return guard.onSent(m_now, base::fail(ErrorKind::Overloaded, "busy"));
        }
        ++runs;
        if (m_fault == GuardFault::ServiceLosesAnswer) {
            return guard.onSent(m_now, base::fail(ErrorKind::Truncated, "broke"));
        }
        const base::AttemptId echo{m_fault == GuardFault::ServiceCrossesAnswer ? 77U : (m_life == ClaimantLife::Gone ? 2U : 1U)};
        return guard.onSent(m_now, ServiceAnswer{200, {}, "ok", echo, {}});
    }

    store::MemoryStore m_platform;
    store::FaultyStore m_faulty{m_platform};
    SingleClaimStore m_store{m_faulty};
    OrderStep m_target;
    GuardFault m_fault = GuardFault::None;
    bool m_isReached = false;
    bool m_wasUnclear = false;
    ClaimantLife m_life = ClaimantLife::Live;
    base::TimePoint m_now{base::hours{1}};
    const base::TimePoint m_deadline = m_now + base::seconds{30};
};

char letter(const OrderAnswer &answer)
{
    switch (answer.kind) {
    case OrderAnswerKind::Done:
        return 'D';
    case OrderAnswerKind::NotRun:
        return 'N';
    case OrderAnswerKind::Running:
        return 'R';
    case OrderAnswerKind::Unknown:
        return answer.attempt == AttemptFate::MayHaveRun ? 'm' : 'u';
    case OrderAnswerKind::Refused:
        break;
    }
    return '?';
}

} // namespace

class OrderGuardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderGuardTest);
    CPPUNIT_TEST(testEveryFaultAtEveryStep);
    CPPUNIT_TEST(testDuplicateAfterRouterVanishedAtEveryStep);
    CPPUNIT_TEST(testEventThatDoesNotFit);
    CPPUNIT_TEST(testOtherBodyUnderSameKey);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEveryFaultAtEveryStep()
    {
        for (std::size_t i = 0; i < OrderStepCount; ++i) {
            const FaultRow &row = FaultRows[i];
            CPPUNIT_ASSERT_EQUAL(i, static_cast<std::size_t>(row.step));
            CPPUNIT_ASSERT_EQUAL(FaultCount, row.answers.size());
            std::string answers;
            for (std::size_t fault = 0; fault < FaultCount; ++fault) {
                Bench bench(row.step);
                const auto answer = bench.run(static_cast<GuardFault>(fault), false);
                answers += letter(*answer);
                const bool mustNotHaveRun = answer->kind == OrderAnswerKind::NotRun || answer->attempt == AttemptFate::NotRun;
                CPPUNIT_ASSERT_MESSAGE(answers, bench.runs == (mustNotHaveRun ? 0 : 1));
                CPPUNIT_ASSERT_MESSAGE(answers, answer->kind == OrderAnswerKind::Done || !answer->error.message.empty());
                (void)bench.duplicate();
                CPPUNIT_ASSERT_MESSAGE(answers, bench.runs <= 1);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE("step " + std::to_string(i), std::string(row.answers), answers);
        }
    }

    void testDuplicateAfterRouterVanishedAtEveryStep()
    {
        for (const FaultRow &row : FaultRows) {
            Bench bench(row.step);
            (void)bench.run(GuardFault::None, true);
            const auto answer = bench.duplicate();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("step " + std::to_string(static_cast<int>(row.step)), row.duplicate, letter(answer));
            CPPUNIT_ASSERT(bench.runs <= 1);
        }
    }

    void testEventThatDoesNotFit()
    {
        const base::TimePoint now{base::hours{1}};
        OrderGuard guard(GuardRequest{{}, 0, 0, now + base::seconds{1}}, {});
        const auto action = guard.onSent(now, ServiceAnswer{});
        CPPUNIT_ASSERT(action.kind == OrderActionKind::Answer && action.answer.error.kind == ErrorKind::Internal);
        CPPUNIT_ASSERT(guard.onStart(now).kind == OrderActionKind::Answer);
    }

    void testOtherBodyUnderSameKey()
    {
        const base::TimePoint now{base::hours{1}};
        for (const RecordState state : {RecordState::Claimed, RecordState::Done, RecordState::Lost, RecordState::Reopened}) {
            OrderGuard guard(GuardRequest{{}, 5, 0, now + base::seconds{1}}, {});
            (void)guard.onStart(now);
            (void)guard.onWritten(now, base::fail(ErrorKind::Conflict, ""));
            OrderRecord other;
            other.state = state;
            other.requestDigest = 6;
            other.claimant.attempt.value = 9;
            const auto action = guard.onRead(now, VersionedRecord{other, {1}}, ReopenedSeen::Before, ClaimantLife::Live);
            CPPUNIT_ASSERT(action.answer.kind == OrderAnswerKind::Refused && action.answer.error.kind == ErrorKind::InvalidArgument);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderGuardTest);

} // namespace carawaylatch::orders::testing
