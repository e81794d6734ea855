// Fault table of OrderStateMachine: every fault at every step, over a record store in
// memory, and the answer to a later duplicate at another router.
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <string_view>

#include "carawaylatch/orders/orderstatemachine.h"
#include "carawaylatch/store/faultystore.h"
#include "carawaylatch/store/memorystore.h"

namespace carawaylatch::orders::testing
{

using base::ErrorKind;
using store::StoreFault;

namespace
{

enum class InjectedFault {
    None,
    PlatformDown, // object store unavailable from this step on
    AnswerLost, // of one call to the object store
    RequestLost, // of one call to the object store
    Slow, // the deadline passes before this step's result
    ServiceRefuses, // from this step on
    ServiceLosesAnswer,
    ServiceAnswersWrongAttempt,
    NoServiceAvailable, // from this step on
};
constexpr std::size_t FaultCount = static_cast<std::size_t>(InjectedFault::NoServiceAvailable) + 1;

// Expected answers, one letter per fault in the order above:
//   D done, N not run, R running, u unknown and this request did not run,
//   m unknown and this request may have run.
struct FaultRow
{
    OrderStep step;
    std::string_view answers;
    char duplicate; // answer at another router after this one crashed at this step
};

constexpr FaultRow FaultRows[] = {
    {OrderStep::Idle, "DuDDuNmmN", 'D'}, //
    {OrderStep::Reading, "RuuuRRRRR", 'u'}, // another router holds the claim
    {OrderStep::Claiming, "DuDDNNmmN", 'D'}, //
    {OrderStep::ResolvingClaim, "DuDDNNmmN", 'u'}, // a failed read is repeated
    {OrderStep::Sending, "DDDDDNmmN", 'u'}, //
    {OrderStep::Recording, "DDDDDDDDD", 'u'}, //
    {OrderStep::Waiting, "RuuuRRRRR", 'u'}, //
    {OrderStep::Answered, "DDDDDDDDD", 'D'}, //
};
static_assert(std::size(FaultRows) == OrderStepCount, "a step has no row");

const OrderId Order{base::CustomerId("acme"), "k"};

// Carries out the actions of a state machine until the answer.
class Harness
{
public:
    explicit Harness(OrderStep target)
        : m_target(target)
    {
        if (target == OrderStep::Reading || target == OrderStep::Waiting) {
            OrderRecord record;
            record.claimant = Claimant{base::RouterId("other"), base::Incarnation{1}, base::AttemptId{9}};
            CPPUNIT_ASSERT(m_store.write(Order, record, {}));
        }
    }

    // Runs until the answer; the fault starts when the step is reached. With
    // `stopThere` the router crashes there instead and nothing is returned.
    std::optional<OrderAnswer> run(InjectedFault fault, bool stopThere)
    {
        OrderStateMachine stateMachine(OrderStateMachineRequest{Claimant{base::RouterId("r1"), base::Incarnation{1}, base::AttemptId{1}}, 0, 0, m_deadline},
                                       settings());
        if (reached(stateMachine, fault) && stopThere) {
            return std::nullopt;
        }
        OrderAction action = stateMachine.onStart(m_now);
        while (action.kind != OrderActionKind::Answer) {
            if (reached(stateMachine, fault) && stopThere) {
                return std::nullopt;
            }
            if (m_target == OrderStep::ResolvingClaim && stateMachine.state().step == OrderStep::Claiming && !m_wasUnclear) {
                m_faulty.inject(StoreFault::ResponseLost, 1);
                m_wasUnclear = true;
            }
            action = execute(stateMachine, action);
        }
        CPPUNIT_ASSERT(stateMachine.state().step == OrderStep::Answered);
        CPPUNIT_ASSERT_MESSAGE("NotRun must leave a pending update", action.pendingUpdate.has_value() || action.answer.kind != OrderAnswerKind::NotRun);
        return action.answer;
    }

    // Returns the answer to a duplicate at another router that knows the first one as gone.
    OrderAnswer duplicate()
    {
        m_faulty.inject(StoreFault::None);
        m_fault = InjectedFault::None;
        OrderStateMachine stateMachine(
            OrderStateMachineRequest{Claimant{base::RouterId("r2"), base::Incarnation{1}, base::AttemptId{2}}, 0, 0, m_now + base::seconds{30}}, settings());
        m_liveness = ClaimantLiveness::Gone;
        OrderAction action = stateMachine.onStart(m_now);
        while (action.kind != OrderActionKind::Answer) {
            action = execute(stateMachine, action);
        }
        return action.answer;
    }

    int runs = 0;

private:
    static OrderStateMachineSettings settings()
    {
        OrderStateMachineSettings settings;
        settings.maxSends = 2;
        return settings;
    }

    bool reached(const OrderStateMachine &stateMachine, InjectedFault fault)
    {
        if (m_isReached || stateMachine.state().step != m_target) {
            return m_isReached;
        }
        m_isReached = true;
        m_fault = fault;
        if (fault == InjectedFault::PlatformDown) {
            m_faulty.inject(StoreFault::Down);
        } else if (fault == InjectedFault::AnswerLost || fault == InjectedFault::RequestLost) {
            m_faulty.inject(fault == InjectedFault::AnswerLost ? StoreFault::ResponseLost : StoreFault::RequestLost, 1);
        } else if (fault == InjectedFault::Slow) {
            m_now = m_deadline;
        }
        return true;
    }

    OrderAction execute(OrderStateMachine &stateMachine, const OrderAction &action)
    {
        switch (action.kind) {
        case OrderActionKind::ReadRecord: {
            const auto result = m_store.read(Order);
            return stateMachine.onRead(m_now, result, ReopenedSeen::NotBefore, m_liveness);
        }
        case OrderActionKind::WriteRecord: {
            const auto result = m_store.write(Order, action.record, action.expected);
            return stateMachine.onWritten(m_now, result);
        }
        case OrderActionKind::Send:
            return send(stateMachine, action);
        case OrderActionKind::Pause:
            m_now += action.pause;
            return stateMachine.onPauseOver(m_now);
        case OrderActionKind::Answer:
            break;
        }
        return action;
    }

    OrderAction send(OrderStateMachine &stateMachine, const OrderAction & /*action*/)
    {
        if (m_fault == InjectedFault::NoServiceAvailable) {
            return stateMachine.onNoUpstream(m_now, base::fail(ErrorKind::Overloaded, "no service"));
        }
        if (m_fault == InjectedFault::ServiceRefuses) {
            return stateMachine.onSent(m_now, base::fail(ErrorKind::Overloaded, "busy"));
        }
        ++runs;
        if (m_fault == InjectedFault::ServiceLosesAnswer) {
            return stateMachine.onSent(m_now, base::fail(ErrorKind::Truncated, "broke"));
        }
        const base::AttemptId echo{m_fault == InjectedFault::ServiceAnswersWrongAttempt ? 77U : (m_liveness == ClaimantLiveness::Gone ? 2U : 1U)};
        return stateMachine.onSent(m_now, ServiceAnswer{200, {}, "ok", echo, {}});
    }

    store::MemoryStore m_platform;
    store::FaultyStore m_faulty{m_platform};
    ObjectRecordStore m_store{m_faulty};
    OrderStep m_target;
    InjectedFault m_fault = InjectedFault::None;
    bool m_isReached = false;
    bool m_wasUnclear = false;
    ClaimantLiveness m_liveness = ClaimantLiveness::Live;
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
        return answer.execution == ExecutionStatus::MayHaveRun ? 'm' : 'u';
    case OrderAnswerKind::Refused:
        break;
    }
    return '?';
}

} // namespace

class OrderStateMachineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderStateMachineTest);
    CPPUNIT_TEST(testEveryFaultAtEveryStep);
    CPPUNIT_TEST(testDuplicateAfterRouterCrashAtEveryStep);
    CPPUNIT_TEST(testUnexpectedEvent);
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
                Harness harness(row.step);
                const auto answer = harness.run(static_cast<InjectedFault>(fault), false);
                answers += letter(*answer);
                const bool mustNotHaveRun = answer->kind == OrderAnswerKind::NotRun || answer->execution == ExecutionStatus::NotRun;
                CPPUNIT_ASSERT_MESSAGE(answers, harness.runs == (mustNotHaveRun ? 0 : 1));
                CPPUNIT_ASSERT_MESSAGE(answers, answer->kind == OrderAnswerKind::Done || !answer->error.message.empty());
                (void)harness.duplicate();
                CPPUNIT_ASSERT_MESSAGE(answers, harness.runs <= 1);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE("step " + std::to_string(i), std::string(row.answers), answers);
        }
    }

    void testDuplicateAfterRouterCrashAtEveryStep()
    {
        for (const FaultRow &row : FaultRows) {
            Harness harness(row.step);
            (void)harness.run(InjectedFault::None, true);
            const auto answer = harness.duplicate();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("step " + std::to_string(static_cast<int>(row.step)), row.duplicate, letter(answer));
            CPPUNIT_ASSERT(harness.runs <= 1);
        }
    }

    void testUnexpectedEvent()
    {
        const base::TimePoint now{base::hours{1}};
        OrderStateMachine stateMachine(OrderStateMachineRequest{{}, 0, 0, now + base::seconds{1}}, {});
        const auto action = stateMachine.onSent(now, ServiceAnswer{});
        CPPUNIT_ASSERT(action.kind == OrderActionKind::Answer && action.answer.error.kind == ErrorKind::Internal);
        CPPUNIT_ASSERT(stateMachine.onStart(now).kind == OrderActionKind::Answer);
    }

    void testOtherBodyUnderSameKey()
    {
        const base::TimePoint now{base::hours{1}};
        for (const RecordState state : {RecordState::Claimed, RecordState::Done, RecordState::Lost, RecordState::Reopened}) {
            OrderStateMachine stateMachine(OrderStateMachineRequest{{}, 5, 0, now + base::seconds{1}}, {});
            (void)stateMachine.onStart(now);
            (void)stateMachine.onWritten(now, base::fail(ErrorKind::Conflict, ""));
            OrderRecord other;
            other.state = state;
            other.requestDigest = 6;
            other.claimant.attempt.value = 9;
            const auto action = stateMachine.onRead(now, VersionedRecord{other, {1}}, ReopenedSeen::Before, ClaimantLiveness::Live);
            CPPUNIT_ASSERT(action.answer.kind == OrderAnswerKind::Refused && action.answer.error.kind == ErrorKind::InvalidArgument);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderStateMachineTest);

} // namespace carawaylatch::orders::testing
