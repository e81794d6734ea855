// Fault table and exhaustive interleavings of the stream assembler.
//
// The table has a row for each fault and a column for each state of an attempt;
// it states the actions that the fault causes. A state or fault without an entry
// fails the test. After each fault a healthy engine takes over, and the caller
// must end with the whole answer or an explicit error.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "carawaylatch/relay/testing/streammodel.h"

namespace carawaylatch::relay::testing
{

namespace
{

// A count of zero is right when nothing came.
constexpr const char *NotApplicable = "not applicable";
constexpr std::size_t StateCount = AllAttemptStates.size();

// Brings attempt 1 into a state. Streaming has delivered token 0.
void bringTo(StreamModel &model, AttemptState state)
{
    const std::vector<std::function<void()>> steps = {
        [&] {
            model.start();
        },
        [&] {
            model.placed(1, AttemptPurpose::Fresh);
        },
        [&] {
            model.sent(1);
        },
        [&] {
            model.head(1);
        },
        [&] {
            model.token(1, 0);
        },
        [&] {
            model.token(1, 1);
            model.done(1, 2);
        },
    };
    if (state == AttemptState::Failed) {
        // Attempt 1 lost against attempt 2, which streams.
        bringTo(model, AttemptState::FirstByte);
        model.hedgeDue();
        model.placed(2, AttemptPurpose::Hedge);
        model.head(2);
        model.token(2, 0);
        return;
    }
    for (std::size_t i = 0; i <= static_cast<std::size_t>(state); ++i) {
        steps[i]();
    }
}

EngineHead wrongHead(void (*spoil)(EngineHead &))
{
    EngineHead echo = echoOf({1}, planOn(1));
    spoil(echo);
    return echo;
}

struct FaultRow
{
    const char *name;
    std::function<void(StreamModel &)> inject;
    // Actions caused in each state, in the order of AllAttemptStates; "" is none.
    std::array<const char *, StateCount> expected;
};

using Columns = std::array<const char *, StateCount>;
const Columns Nothing = {"", "", "", "", "", "", ""};
const Columns Resumed = {"", "resume:1", "resume:1", "resume:1", "resume:1", "", ""};
const Columns Replaced = {"", "place:fresh", "place:fresh", "place:fresh", "place:continue", "", ""};
const Columns CancelledAndReplaced = {"", "cancel:1 place:fresh", "cancel:1 place:fresh", "cancel:1 place:fresh", "cancel:1 place:continue", "", ""};

// Columns: queued, connecting, sent, first byte, streaming, done, failed.
const std::vector<FaultRow> FaultTable = {
    {"break before the request left",
     [](StreamModel &m) {
         m.broken(1, BreakKind::NotSent);
     },
     Replaced},
    {"refused",
     [](StreamModel &m) {
         m.broken(1, BreakKind::Refused);
     },
     Replaced},
    {"break after the request left",
     [](StreamModel &m) {
         m.broken(1, BreakKind::Lost);
     },
     Resumed},
    {"malformed answer",
     [](StreamModel &m) {
         m.broken(1, BreakKind::Malformed);
     },
     Resumed},
    {"cancelled by the connection",
     [](StreamModel &m) {
         m.broken(1, BreakKind::Cancelled);
     },
     Replaced},
    {"engine gone: break, then refused resume",
     [](StreamModel &m) {
         m.broken(1, BreakKind::Lost);
         m.broken(1, BreakKind::Refused);
     },
     Replaced},
    {"engine restarted empty: break, then another incarnation",
     [](StreamModel &m) {
         m.broken(1, BreakKind::Lost);
         m.head(1, wrongHead([](EngineHead &echo) {
                    echo.incarnation.value = 9;
                }));
     },
     CancelledAndReplaced},
    {"echo of another attempt",
     [](StreamModel &m) {
         m.head(1, wrongHead([](EngineHead &echo) {
                    echo.attempt.value = 9;
                }));
     },
     CancelledAndReplaced},
    {"echo of another incarnation",
     [](StreamModel &m) {
         m.head(1, wrongHead([](EngineHead &echo) {
                    echo.incarnation.value = 9;
                }));
     },
     CancelledAndReplaced},
    {"echo of other weights",
     [](StreamModel &m) {
         m.head(1, wrongHead([](EngineHead &echo) {
                    echo.weightsVersion.value = 6;
                }));
     },
     CancelledAndReplaced},
    {"echo of another salt",
     [](StreamModel &m) {
         m.head(1, wrongHead([](EngineHead &echo) {
                    echo.salt.value = 9;
                }));
     },
     CancelledAndReplaced},
    {"head twice",
     [](StreamModel &m) {
         m.head(1);
         m.head(1);
     },
     Nothing},
    {"token twice",
     [](StreamModel &m) {
         m.token(1, 0);
         m.token(1, 0);
     },
     // Without a head the first of them breaks the attempt.
     Nothing},
    {"token before the head, or the next token",
     [](StreamModel &m) {
         m.token(1, m.assembler().delivered());
     },
     {"", "cancel:1 place:fresh", "cancel:1 place:fresh", "deliver:0", "deliver:1", "", ""}},
    {"gap in the indexes",
     [](StreamModel &m) {
         m.token(1, m.assembler().delivered() + 1);
     },
     CancelledAndReplaced},
    {"token past its bound",
     [](StreamModel &m) {
         m.token(1, m.assembler().delivered(), 100);
     },
     CancelledAndReplaced},
    {"last event counts more than came",
     [](StreamModel &m) {
         m.done(1, 5);
     },
     CancelledAndReplaced},
    {"last event counts less than came",
     [](StreamModel &m) {
         m.done(1, 0);
     },
     {"", "cancel:1 place:fresh", "cancel:1 place:fresh", NotApplicable, "cancel:1 place:continue", "", ""}},
    {"answer of an unknown attempt",
     [](StreamModel &m) {
         m.head(77, echoOf({77}, planOn(77)));
         m.token(77, m.assembler().delivered());
         m.done(77, m.assembler().delivered());
     },
     Nothing},
    {"caller gone",
     [](StreamModel &m) {
         m.callerGone();
     },
     {"abort:cancelled", "cancel:1 abort:cancelled", "cancel:1 abort:cancelled", "cancel:1 abort:cancelled", "cancel:1 abort:cancelled", "",
      "cancel:2 abort:cancelled"}},
    {"deadline of the first token",
     [](StreamModel &m) {
         m.tickAt(FirstTokenDeadline);
     },
     {"abort:overloaded", "cancel:1 abort:overloaded", "cancel:1 abort:overloaded", "cancel:1 abort:overloaded", "", "", ""}},
    {"deadline of the answer",
     [](StreamModel &m) {
         m.tickAt(Deadline);
     },
     {"abort:overloaded", "cancel:1 abort:overloaded", "cancel:1 abort:overloaded", "cancel:1 abort:overloaded", "cancel:1 abort:truncated", "",
      "cancel:2 abort:truncated"}},
    {"engine silent",
     [](StreamModel &m) {
         m.idle();
     },
     {"", "", "", "", "cancel:1 place:continue", "", "cancel:2 place:continue"}},
    {"hedge delay over",
     [](StreamModel &m) {
         m.hedgeDue();
     },
     {"", "place:hedge", "place:hedge", "place:hedge", "", "", ""}},
    {"all upstreams gone",
     [](StreamModel &m) {
         m.broken(1, BreakKind::NotSent);
         m.broken(2, BreakKind::NotSent);
         m.notPlaced(m.assembler().delivered() > 0 ? AttemptPurpose::Continue : AttemptPurpose::Fresh);
     },
     {"abort:overloaded", "abort:overloaded", "abort:overloaded", "abort:overloaded", "abort:truncated", "", "abort:truncated"}},
    {"placement offers a used upstream",
     [](StreamModel &m) {
         m.broken(1, BreakKind::NotSent);
         m.offerUsed();
     },
     {"start:50", "abort:unavailable", "abort:truncated", "abort:truncated", "abort:truncated", "", ""}},
    {"placement offers other weights",
     [](StreamModel &m) {
         m.broken(1, BreakKind::NotSent);
         m.placed(50, m.assembler().delivered() > 0 ? AttemptPurpose::Continue : AttemptPurpose::Fresh, 8);
     },
     {"start:50", "start:50", "start:50", "start:50", "abort:truncated", "", ""}},
};

using Step = std::function<void(StreamModel &)>;
struct NamedStep
{
    std::string name;
    Step apply;
};

// States from which all orders of events are tried.
std::vector<Step> prefixes()
{
    std::vector<Step> all = {
        [](StreamModel &m) { // resuming with one token delivered
            bringTo(m, AttemptState::Streaming);
            m.broken(1, BreakKind::Lost);
        },
        [](StreamModel &m) { // continued elsewhere
            bringTo(m, AttemptState::Streaming);
            m.broken(1, BreakKind::Refused);
            m.placed(2, AttemptPurpose::Continue);
        },
        [](StreamModel &m) { // two attempts, both with a head
            bringTo(m, AttemptState::FirstByte);
            m.hedgeDue();
            m.placed(2, AttemptPurpose::Hedge);
            m.head(2);
        },
        [](StreamModel &m) { // both placements under way
            bringTo(m, AttemptState::Sent);
            m.hedgeDue();
            m.broken(1, BreakKind::Refused);
        },
    };
    std::transform(AllAttemptStates.begin(), AllAttemptStates.end(), std::back_inserter(all), [](AttemptState state) -> Step {
        return [state](StreamModel &m) {
            bringTo(m, state);
        };
    });
    return all;
}

std::vector<NamedStep> requestEvents()
{
    return {
        {"start",
         [](StreamModel &m) {
             m.start();
         }},
        {"placed fresh",
         [](StreamModel &m) {
             m.placed(2, AttemptPurpose::Fresh);
         }},
        {"placed continue",
         [](StreamModel &m) {
             m.placed(3, AttemptPurpose::Continue);
         }},
        {"placed continue of other weights",
         [](StreamModel &m) {
             m.placed(4, AttemptPurpose::Continue, 8);
         }},
        {"placed hedge",
         [](StreamModel &m) {
             m.placed(2, AttemptPurpose::Hedge);
         }},
        {"placed used",
         [](StreamModel &m) {
             m.offerUsed();
         }},
        {"not placed",
         [](StreamModel &m) {
             m.notPlaced(AttemptPurpose::Fresh);
         }},
        {"no hedge",
         [](StreamModel &m) {
             m.notPlaced(AttemptPurpose::Hedge);
         }},
        {"caller gone",
         [](StreamModel &m) {
             m.callerGone();
         }},
        {"first token late",
         [](StreamModel &m) {
             m.tickAt(FirstTokenDeadline);
         }},
        {"deadline",
         [](StreamModel &m) {
             m.tickAt(Deadline);
         }},
        {"idle",
         [](StreamModel &m) {
             m.idle();
         }},
        {"hedge due",
         [](StreamModel &m) {
             m.hedgeDue();
         }},
    };
}

std::vector<NamedStep> attemptEvents(std::uint64_t id)
{
    return {
        {"sent",
         [id](StreamModel &m) {
             m.sent(id);
         }},
        {"head",
         [id](StreamModel &m) {
             m.head(id);
         }},
        {"crossed head",
         [id](StreamModel &m) {
             m.head(id, echoOf({3 - id}, planOn(id)));
         }},
        {"stale head",
         [id](StreamModel &m) {
             m.head(id, echoOf({id}, planOn(id, 6)));
         }},
        {"token 0",
         [id](StreamModel &m) {
             m.token(id, 0);
         }},
        {"token 1",
         [id](StreamModel &m) {
             m.token(id, 1);
         }},
        {"done",
         [id](StreamModel &m) {
             m.done(id, AnswerTokens);
         }},
        {"wrong count",
         [id](StreamModel &m) {
             m.done(id, 5);
         }},
        {"not sent",
         [id](StreamModel &m) {
             m.broken(id, BreakKind::NotSent);
         }},
        {"refused",
         [id](StreamModel &m) {
             m.broken(id, BreakKind::Refused);
         }},
        {"lost",
         [id](StreamModel &m) {
             m.broken(id, BreakKind::Lost);
         }},
    };
}

std::vector<NamedStep> allEvents()
{
    std::vector<NamedStep> all = requestEvents();
    for (const std::uint64_t id : {1, 2}) {
        for (NamedStep &it : attemptEvents(id)) {
            it.name += " of " + std::to_string(id);
            all.push_back(std::move(it));
        }
    }
    return all;
}

} // namespace

class StreamAssemblerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamAssemblerTest);
    CPPUNIT_TEST(testFaultTable);
    CPPUNIT_TEST(testInterleavings);
    CPPUNIT_TEST(testAtMostOnce);
    CPPUNIT_TEST(testBounds);
    CPPUNIT_TEST_SUITE_END();

public:
    void testFaultTable()
    {
        for (const FaultRow &row : FaultTable) {
            for (std::size_t i = 0; i < StateCount; ++i) {
                const std::string where = std::string(row.name) + " at " + std::string(attemptStateName(AllAttemptStates[i]));
                StreamModel model;
                bringTo(model, AllAttemptStates[i]);
                const bool isStateReached = i == 0 || model.assembler().state({1}) == AllAttemptStates[i];
                CPPUNIT_ASSERT_MESSAGE(where + ": state not reached", isStateReached);
                CPPUNIT_ASSERT_MESSAGE(where + ": no entry", row.expected[i] != nullptr);
                if (row.expected[i] == NotApplicable) {
                    continue;
                }
                row.inject(model);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::string(row.expected[i]), model.lastActions());
                model.finishHealthy();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::string(), model.violation());
                CPPUNIT_ASSERT_MESSAGE(where + ": neither whole nor an error", model.isWhole() != model.error().has_value());
            }
        }
    }

    // All orders of events up to Depth, from each of the states that a prefix
    // reaches; after each event the model's rules, and at each end a healthy engine.
    void testInterleavings()
    {
        static constexpr int Depth = 3;
        std::size_t visited = 0;
        for (const auto &prefix : prefixes()) {
            StreamModel model;
            prefix(model);
            CPPUNIT_ASSERT_EQUAL(std::string(), model.violation());
            explore(model, Depth, "", visited);
        }
        std::cout << visited << " orders of events " << std::flush;
        CPPUNIT_ASSERT(visited > 100'000);
    }

    // Not idempotent: tried again only if provably not sent, resumed if it was.
    void testAtMostOnce()
    {
        struct Row
        {
            BreakKind kind;
            AttemptState state;
            const char *expected;
        };
        const std::vector<Row> rows = {
            {BreakKind::NotSent, AttemptState::Connecting, "place:fresh"},  {BreakKind::Refused, AttemptState::Connecting, "place:fresh"},
            {BreakKind::Lost, AttemptState::Connecting, "resume:1"},        {BreakKind::Cancelled, AttemptState::Connecting, "abort:unclear"},
            {BreakKind::NotSent, AttemptState::Sent, "abort:unclear"},      {BreakKind::Refused, AttemptState::FirstByte, "abort:unclear"},
            {BreakKind::Refused, AttemptState::Streaming, "abort:unclear"},
        };
        for (const Row &row : rows) {
            StreamModel model(options(config::Idempotency::AtMostOnce));
            bringTo(model, row.state);
            model.hedgeDue();
            CPPUNIT_ASSERT_EQUAL(std::string(), model.lastActions());
            model.broken(1, row.kind);
            CPPUNIT_ASSERT_EQUAL(std::string(row.expected), model.lastActions());
        }
        StreamModel model(options(config::Idempotency::AtMostOnce));
        bringTo(model, AttemptState::Connecting);
        model.broken(1, BreakKind::Lost);
        model.broken(1, BreakKind::NotSent); // the resume did not reach the engine
        CPPUNIT_ASSERT_EQUAL(std::string("abort:unclear"), model.lastActions());
    }

    // Every run may break for ever: the number of runs is bounded all the same,
    // and an engine that never brings a token gets two resumes.
    void testBounds()
    {
        StreamModel silent;
        bringTo(silent, AttemptState::Streaming);
        for (const char *expected : {"resume:1", "resume:1", "place:continue"}) {
            silent.broken(1, BreakKind::Lost);
            CPPUNIT_ASSERT_EQUAL(std::string(expected), silent.lastActions());
        }
        for (const BreakKind kind : {BreakKind::NotSent, BreakKind::Refused, BreakKind::Lost, BreakKind::Malformed, BreakKind::Cancelled}) {
            StreamModel model;
            model.start();
            for (std::uint64_t id = 1; id < 100 && !model.isOver(); ++id) {
                model.placed(id, AttemptPurpose::Fresh);
                for (int i = 0; i < 10; ++i) {
                    model.broken(id, kind);
                }
            }
            CPPUNIT_ASSERT_EQUAL(std::string(), model.violation());
            CPPUNIT_ASSERT(model.error().has_value());
            CPPUNIT_ASSERT_EQUAL(options().maxStarts, model.assembler().starts());
        }
    }

private:
    void explore(const StreamModel &from, int depth, const std::string &path, std::size_t &visited)
    {
        for (const NamedStep &it : m_events) {
            StreamModel model = from;
            it.apply(model);
            ++visited;
            const std::string here = path + ", " + it.name;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(here, std::string(), model.violation());
            if (depth > 1) {
                explore(model, depth - 1, here, visited);
            } else {
                model.finishHealthy();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(here, std::string(), model.violation());
                CPPUNIT_ASSERT_MESSAGE(here, model.isWhole() != model.error().has_value());
            }
        }
    }

    const std::vector<NamedStep> m_events = allEvents();
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamAssemblerTest);

} // namespace carawaylatch::relay::testing
