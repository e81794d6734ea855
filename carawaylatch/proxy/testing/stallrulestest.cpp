// Tests of the rules by which an attempt is stalled: every state against the invariants, then each row of the table in
// docs/design/time-limits.md.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "carawaylatch/proxy/stallrules.h"

namespace carawaylatch::proxy::testing
{

namespace
{

constexpr base::Duration Target = base::milliseconds{300};

AttemptState stateOf(CallKind kind, ResponsePhase phase, base::Duration age)
{
    AttemptState state;
    state.kind = kind;
    state.phase = phase;
    state.canResume = kind == CallKind::Stream;
    state.age = age;
    state.targetLatency = Target;
    return state;
}

} // namespace

class StallRulesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StallRulesTest);
    CPPUNIT_TEST(testNothingEndsWhatAnotherAttemptCannotContinue);
    CPPUNIT_TEST(testLimitsByPhase);
    CPPUNIT_TEST_SUITE_END();

public:
    void testNothingEndsWhatAnotherAttemptCannotContinue()
    {
        for (const CallKind kind : {CallKind::Idempotent, CallKind::AtMostOnce, CallKind::Stream}) {
            for (unsigned bits = 0; bits < 16; ++bits) {
                AttemptState state = stateOf(kind, ResponsePhase::PassedOn, (bits & 1U) != 0 ? base::seconds{30} : base::Duration{});
                state.canResume = false;
                state.isPoolCut = (bits & 2U) != 0;
                state.isUpstreamSilent = (bits & 4U) != 0;
                if ((bits & 8U) != 0) {
                    state.eventGap = base::seconds{30};
                }
                CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(bits), std::string(), std::string(stallReason(state)));
            }
        }
    }

    void testLimitsByPhase()
    {
        struct Row
        {
            const char *name;
            AttemptState state;
            std::string reason;
        };
        const auto soon = base::milliseconds{599};
        const auto late = base::milliseconds{601};
        const std::string lateReason = "no response within twice the target latency";
        std::vector<Row> rows{
            {"safe, waiting", stateOf(CallKind::Idempotent, ResponsePhase::Waiting, soon), {}},
            {"safe, waiting for long", stateOf(CallKind::Idempotent, ResponsePhase::Waiting, late), lateReason},
            {"safe, buffered", stateOf(CallKind::Idempotent, ResponsePhase::Buffered, soon), {}},
            {"stream, waiting for long", stateOf(CallKind::Stream, ResponsePhase::Waiting, late), {}},
            {"stream, passed on for long", stateOf(CallKind::Stream, ResponsePhase::PassedOn, late), {}},
        };
        for (const ResponsePhase phase : {ResponsePhase::Waiting, ResponsePhase::Buffered}) {
            AttemptState silent = stateOf(CallKind::Idempotent, phase, soon);
            silent.isUpstreamSilent = true;
            rows.push_back({"safe, silent", silent, "the upstream is silent"});
            AttemptState cut = stateOf(CallKind::Idempotent, phase, soon);
            cut.isPoolCut = true;
            rows.push_back({"safe, cut", cut, "the pool is not reached"});
        }
        for (const ResponsePhase phase : {ResponsePhase::Waiting, ResponsePhase::PassedOn}) {
            AttemptState silent = stateOf(CallKind::Stream, phase, soon);
            silent.isUpstreamSilent = true;
            rows.push_back({"stream, silent", silent, "the upstream is silent"});
            AttemptState cut = stateOf(CallKind::Stream, phase, soon);
            cut.isPoolCut = true;
            rows.push_back({"stream, cut", cut, "the pool is not reached"});
        }
        AttemptState gap = stateOf(CallKind::Stream, ResponsePhase::PassedOn, base::seconds{5});
        gap.eventGap = base::milliseconds{1200};
        rows.push_back({"stream, gap", gap, {}});
        gap.eventGap = base::milliseconds{1201};
        rows.push_back({"stream, long gap", gap, "the stream has stalled"});
        for (const Row &row : rows) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.reason, std::string(stallReason(row.state)));
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StallRulesTest);

} // namespace carawaylatch::proxy::testing
