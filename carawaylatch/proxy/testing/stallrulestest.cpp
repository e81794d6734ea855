// Tests of the rules by which an attempt is stalled: every state against the invariants, then each row of the table in
// docs/design/time-limits.md.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawaylatch/proxy/bodyprogress.h"
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
    CPPUNIT_TEST(testBodyInTimeIsNotLate);
    CPPUNIT_TEST(testPaceOfABody);
    CPPUNIT_TEST(testNothingIsStalledWhileItIsNotRead);
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
        gap.prefillTime = base::milliseconds{500};
        rows.push_back({"stream, the prompt of a later attempt is read", gap, {}});
        gap.eventGap = base::milliseconds{1701};
        rows.push_back({"stream, long gap after that", gap, "the stream has stalled"});
        for (const Row &row : rows) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.reason, std::string(stallReason(row.state)));
        }
    }

    void testBodyInTimeIsNotLate()
    {
        for (const ResponsePhase phase : {ResponsePhase::Waiting, ResponsePhase::Buffered}) {
            for (const bool isInTime : {true, false}) {
                AttemptState state = stateOf(CallKind::Idempotent, phase, base::seconds{1});
                state.isBodyInTime = isInTime;
                CPPUNIT_ASSERT_EQUAL(phase == ResponsePhase::Buffered && isInTime, stallReason(state).empty());
            }
        }
    }

    // The whole time is 1.5 s; bytes come every 50 ms from 100 ms on, and the verdict is of 1 s.
    void testPaceOfABody()
    {
        struct Row
        {
            const char *name;
            std::optional<std::uint64_t> length;
            std::uint64_t first; // bytes at once
            std::uint64_t piece; // bytes of each later read; zero: none
            bool isInTime;
        };
        const base::TimePoint start{base::hours{1}};
        const base::TimePoint end = start + base::milliseconds{1500};
        const base::TimePoint now = start + base::seconds{1};
        for (const Row &row :
             {Row{"nothing", 1000, 0, 0, false}, Row{"nothing, no length", std::nullopt, 0, 0, false}, Row{"half and silence", 1000, 500, 0, false},
              Row{"nearly all and silence", 1000, 700, 0, true}, Row{"a quick beginning, then single bytes", 200'000, 100'000, 1, false},
              Row{"single bytes", 1000, 1, 1, false}, Row{"single bytes, no length", std::nullopt, 1, 1, false}, Row{"steady", 200'000, 8000, 8000, true},
              Row{"steady, too slow", 400'000, 8000, 8000, false}, Row{"steady, no length", std::nullopt, 8000, 8000, true},
              Row{"slow, no length", std::nullopt, 500, 500, true}, Row{"slower, no length", std::nullopt, 300, 300, false}}) {
            BodyProgress progress;
            if (row.first > 0) {
                progress.onBytes(row.first, start + base::milliseconds{100});
            }
            for (base::TimePoint at = start + base::milliseconds{150}; row.piece > 0 && at <= now; at += base::milliseconds{50}) {
                progress.onBytes(row.piece, at);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isInTime, progress.isInTime(row.length, end - now, now));
        }
        // Later, the quick beginning counts for nothing even where a long time is left.
        BodyProgress progress;
        progress.onBytes(100'000, start);
        for (base::TimePoint at = start; at < start + base::seconds{2}; at += base::milliseconds{50}) {
            progress.onBytes(1, at);
        }
        CPPUNIT_ASSERT(!progress.isInTime(200'000, base::seconds{60}, start + base::seconds{2}));
        CPPUNIT_ASSERT(!progress.isInTime(std::nullopt, base::seconds{60}, start + base::seconds{2}));
    }

    void testNothingIsStalledWhileItIsNotRead()
    {
        AttemptState state = stateOf(CallKind::Stream, ResponsePhase::PassedOn, base::seconds{30});
        state.eventGap = base::seconds{30};
        state.isUpstreamSilent = true;
        CPPUNIT_ASSERT(!stallReason(state).empty());
        state.isReadingPaused = true;
        CPPUNIT_ASSERT(stallReason(state).empty());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StallRulesTest);

} // namespace carawaylatch::proxy::testing
