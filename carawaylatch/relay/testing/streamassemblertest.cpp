// Fault table and exhaustive event interleavings of the stream assembler.
//
// The table has a row for each fault and a column for each state of an attempt; an
// entry lists the actions that the fault causes. A missing entry fails the test.
// After each fault all engines work, and the caller must get the whole answer or an
// explicit error.
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

// Marks an entry whose event is no fault in that state, such as a final count of zero
// before any token.
constexpr const char *NotApplicable = "not applicable";
constexpr std::size_t StateCount = AllAttemptStates.size();

using M = StreamModel;
using Step = std::function<void(M &)>;
using Steps = std::vector<Step>;

// Makes a step from an event of the model: `step(&M::broken, 1, BreakKind::Lost)`.
template <typename... Params, typename... Args>
Step step(void (M::*event)(Params...), Args... args)
{
    return [=](M &model) {
        (model.*event)(args...);
    };
}

void applyAll(M &model, const Steps &steps)
{
    for (const Step &it : steps) {
        it(model);
    }
}

// Returns the steps that bring attempt 1 into a state. In Streaming, token 0 was
// delivered; in Failed, the hedge 2 won and is streaming.
Steps stepsTo(AttemptState state)
{
    const std::array<Step, 4> first = {step(&M::start), step(&M::placed, 1, AttemptPurpose::Fresh, 7), step(&M::sent, 1), step(&M::head, 1)};
    const std::size_t n = std::min(first.size(), static_cast<std::size_t>(state) + 1);
    Steps steps(first.begin(), first.begin() + static_cast<std::ptrdiff_t>(n));
    if (state == AttemptState::Streaming || state == AttemptState::Done) {
        steps.push_back(step(&M::token, 1, 0));
    }
    if (state == AttemptState::Done) {
        steps.insert(steps.end(), {step(&M::token, 1, 1), step(&M::done, 1, 2)});
    }
    if (state == AttemptState::Failed) {
        steps.insert(steps.end(), {step(&M::hedgeDue), step(&M::placed, 2, AttemptPurpose::Hedge, 7), step(&M::head, 2), step(&M::token, 2, 0)});
    }
    return steps;
}

// Returns an echo of attempt 1 that differs from its plan by the given offsets.
EngineHead echoWith(std::uint64_t attempt, std::uint64_t incarnation, std::uint64_t version, std::uint64_t salt)
{
    const EngineHead right = echoOf({1}, planOn(1));
    return {{right.attempt.value + attempt}, {right.incarnation.value + incarnation}, {right.weightsVersion.value + version}, {right.salt.value + salt}};
}
const Step OtherAttempt = step(&M::echo, 1, echoWith(1, 0, 0, 0));
const Step OtherIncarnation = step(&M::echo, 1, echoWith(0, 1, 0, 0));
const Step OtherVersion = step(&M::echo, 1, echoWith(0, 0, 1, 0));
const Step OtherSalt = step(&M::echo, 1, echoWith(0, 0, 0, 1));

struct FaultRow
{
    const char *name;
    Steps inject;
    // Actions caused in each state, in the order of AllAttemptStates; "" means no action.
    std::array<const char *, StateCount> expected;
};

using Columns = std::array<const char *, StateCount>;
const Columns Nothing = {"", "", "", "", "", "", ""};
const Columns Resumed = {"", "resume:1", "resume:1", "resume:1", "resume:1", "", ""};
const Columns Replaced = {"", "place:fresh", "place:fresh", "place:fresh", "place:continue", "", ""};
const Columns CancelledAndReplaced = {"", "cancel:1 place:fresh", "cancel:1 place:fresh", "cancel:1 place:fresh", "cancel:1 place:continue", "", ""};

// Columns: queued, connecting, sent, first byte, streaming, done, failed.
const std::vector<FaultRow> FaultTable = {
    {"connection broke before the request was sent", {step(&M::broken, 1, BreakKind::NotSent)}, Replaced},
    {"refused", {step(&M::broken, 1, BreakKind::Refused)}, Replaced},
    {"connection broke after the request was sent", {step(&M::broken, 1, BreakKind::Lost)}, Resumed},
    {"malformed answer", {step(&M::broken, 1, BreakKind::Malformed)}, Resumed},
    {"cancelled by the connection", {step(&M::broken, 1, BreakKind::Cancelled)}, Replaced},
    {"connection broke, then the engine refused the resume", {step(&M::broken, 1, BreakKind::Lost), step(&M::broken, 1, BreakKind::Refused)}, Replaced},
    {"engine restarted: connection broke, then another incarnation", {step(&M::broken, 1, BreakKind::Lost), OtherIncarnation}, CancelledAndReplaced},
    {"echo of another attempt", {OtherAttempt}, CancelledAndReplaced},
    {"echo of another incarnation", {OtherIncarnation}, CancelledAndReplaced},
    {"echo of other weights", {OtherVersion}, CancelledAndReplaced},
    {"echo of another salt", {OtherSalt}, CancelledAndReplaced},
    {"head twice", {step(&M::head, 1), step(&M::head, 1)}, Nothing},
    // Before the head the first token fails the attempt, and the second causes no action.
    {"token twice", {step(&M::token, 1, 0), step(&M::token, 1, 0)}, Nothing},
    {"token before the head, or the next token",
     {step(&M::tokenAhead, 1, 0, 0)},
     {"", "cancel:1 place:fresh", "cancel:1 place:fresh", "deliver:0", "deliver:1", "", ""}},
    {"gap in the indexes", {step(&M::tokenAhead, 1, 1, 0)}, CancelledAndReplaced},
    {"token over the size limit", {step(&M::tokenAhead, 1, 0, 100)}, CancelledAndReplaced},
    {"token count above the tokens received", {step(&M::done, 1, 5)}, CancelledAndReplaced},
    {"token count below the tokens received",
     {step(&M::done, 1, 0)},
     {"", "cancel:1 place:fresh", "cancel:1 place:fresh", NotApplicable, "cancel:1 place:continue", "", ""}},
    {"answer of an unknown attempt", {step(&M::head, 77), step(&M::tokenAhead, 77, 0, 0), step(&M::done, 77, 1)}, Nothing},
    {"caller disconnected",
     {step(&M::callerGone)},
     {"abort:cancelled", "cancel:1 abort:cancelled", "cancel:1 abort:cancelled", "cancel:1 abort:cancelled", "cancel:1 abort:cancelled", "",
      "cancel:2 abort:cancelled"}},
    {"deadline of the first token",
     {step(&M::tickAt, FirstTokenDeadline)},
     {"abort:overloaded", "cancel:1 abort:overloaded", "cancel:1 abort:overloaded", "cancel:1 abort:overloaded", "", "", ""}},
    {"deadline of the answer",
     {step(&M::tickAt, Deadline)},
     {"abort:overloaded", "cancel:1 abort:overloaded", "cancel:1 abort:overloaded", "cancel:1 abort:overloaded", "cancel:1 abort:truncated", "",
      "cancel:2 abort:truncated"}},
    {"idle timeout of the engine", {step(&M::idle)}, {"", "", "", "", "cancel:1 place:continue", "", "cancel:2 place:continue"}},
    {"hedge delay passed", {step(&M::hedgeDue)}, {"", "place:hedge", "place:hedge", "place:hedge", "", "", ""}},
    {"all upstreams unreachable",
     {step(&M::broken, 1, BreakKind::NotSent), step(&M::broken, 2, BreakKind::NotSent), step(&M::nothingOffered)},
     {"abort:overloaded", "abort:overloaded", "abort:overloaded", "abort:overloaded", "abort:truncated", "", "abort:truncated"}},
    {"placement returns an excluded upstream",
     {step(&M::broken, 1, BreakKind::NotSent), step(&M::offerExcludedUpstream)},
     {"start:50", "abort:unavailable", "abort:truncated", "abort:truncated", "abort:truncated", "", ""}},
    {"placement returns another weights version",
     {step(&M::broken, 1, BreakKind::NotSent), step(&M::offerOtherWeights)},
     {"start:50", "start:50", "start:50", "start:50", "abort:truncated", "", ""}},
};

// States from which all sequences of events are tried: each state of an attempt, a
// resume, a continuation, a hedge after the heads of both attempts, and two pending
// placements.
std::vector<Steps> prefixes()
{
    const auto after = [](AttemptState state, const Steps &more) {
        Steps steps = stepsTo(state);
        steps.insert(steps.end(), more.begin(), more.end());
        return steps;
    };
    std::vector<Steps> all = {
        after(AttemptState::Streaming, {step(&M::broken, 1, BreakKind::Lost)}),
        after(AttemptState::Streaming, {step(&M::broken, 1, BreakKind::Refused), step(&M::placed, 2, AttemptPurpose::Continue, 7)}),
        after(AttemptState::FirstByte, {step(&M::hedgeDue), step(&M::placed, 2, AttemptPurpose::Hedge, 7), step(&M::head, 2)}),
        after(AttemptState::Sent, {step(&M::hedgeDue), step(&M::broken, 1, BreakKind::Refused)}),
    };
    std::transform(AllAttemptStates.begin(), AllAttemptStates.end(), std::back_inserter(all), stepsTo);
    return all;
}

struct NamedStep
{
    std::string name;
    Step apply;
};

std::vector<NamedStep> allEvents()
{
    std::vector<NamedStep> all = {
        {"start", step(&M::start)},
        {"placed fresh", step(&M::placed, 2, AttemptPurpose::Fresh, 7)},
        {"placed continue", step(&M::placed, 3, AttemptPurpose::Continue, 7)},
        {"placed continue of other weights", step(&M::placed, 4, AttemptPurpose::Continue, 8)},
        {"placed hedge", step(&M::placed, 2, AttemptPurpose::Hedge, 7)},
        {"placed used", step(&M::offerExcludedUpstream)},
        {"not placed", step(&M::notPlaced, AttemptPurpose::Fresh)},
        {"no hedge", step(&M::notPlaced, AttemptPurpose::Hedge)},
        {"caller gone", step(&M::callerGone)},
        {"first token late", step(&M::tickAt, FirstTokenDeadline)},
        {"deadline", step(&M::tickAt, Deadline)},
        {"idle", step(&M::idle)},
        {"hedge due", step(&M::hedgeDue)},
    };
    for (const std::uint64_t id : {1, 2}) {
        const std::string of = " of " + std::to_string(id);
        const std::vector<NamedStep> ofAttempt = {
            {"sent" + of, step(&M::sent, id)},
            {"head" + of, step(&M::head, id)},
            {"crossed head" + of, step(&M::echo, id, echoOf({3 - id}, planOn(id)))},
            {"stale head" + of, step(&M::echo, id, echoOf({id}, planOn(id, 6)))},
            {"token 0" + of, step(&M::token, id, 0)},
            {"token 1" + of, step(&M::token, id, 1)},
            {"done" + of, step(&M::done, id, AnswerTokens)},
            {"wrong count" + of, step(&M::done, id, 5)},
            {"not sent" + of, step(&M::broken, id, BreakKind::NotSent)},
            {"refused" + of, step(&M::broken, id, BreakKind::Refused)},
            {"lost" + of, step(&M::broken, id, BreakKind::Lost)},
        };
        all.insert(all.end(), ofAttempt.begin(), ofAttempt.end());
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
                applyAll(model, stepsTo(AllAttemptStates[i]));
                const bool isStateReached = i == 0 || model.assembler().state({1}) == AllAttemptStates[i];
                CPPUNIT_ASSERT_MESSAGE(where + ": state not reached", isStateReached);
                CPPUNIT_ASSERT_MESSAGE(where + ": no entry", row.expected[i] != nullptr);
                if (row.expected[i] == NotApplicable) {
                    continue;
                }
                applyAll(model, row.inject);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::string(row.expected[i]), model.lastActions());
                model.finishWithHealthyEngine();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::string(), model.violation());
                CPPUNIT_ASSERT_MESSAGE(where + ": expected either the whole answer or an error", model.isWhole() != model.error().has_value());
            }
        }
    }

    // Tries all sequences of Depth events from the state after each prefix. The model
    // checks the actions of each event; after the last one all engines work and the
    // request must end.
    void testInterleavings()
    {
        static constexpr int Depth = 3;
        std::size_t visited = 0;
        for (const Steps &prefix : prefixes()) {
            StreamModel model;
            applyAll(model, prefix);
            CPPUNIT_ASSERT_EQUAL(std::string(), model.violation());
            explore(model, Depth, "", visited);
        }
        std::cout << visited << " event sequences " << std::flush;
        CPPUNIT_ASSERT(visited > 100'000);
    }

    // A call that is not idempotent is retried only if the engine can't have run it,
    // and resumed if it may have. It is never hedged.
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
            applyAll(model, stepsTo(row.state));
            model.hedgeDue();
            CPPUNIT_ASSERT_EQUAL(std::string(), model.lastActions());
            model.broken(1, row.kind);
            CPPUNIT_ASSERT_EQUAL(std::string(row.expected), model.lastActions());
        }
        StreamModel model(options(config::Idempotency::AtMostOnce));
        applyAll(model, stepsTo(AttemptState::Connecting));
        model.broken(1, BreakKind::Lost);
        model.broken(1, BreakKind::NotSent); // the resume didn't reach the engine
        CPPUNIT_ASSERT_EQUAL(std::string("abort:unclear"), model.lastActions());
    }

    // If every run fails, the number of runs is still bounded, and an attempt without
    // a new token is resumed at most twice.
    void testBounds()
    {
        StreamModel silent;
        applyAll(silent, stepsTo(AttemptState::Streaming));
        for (const char *expected : {"resume:1", "resume:1", "place:continue"}) {
            silent.broken(1, BreakKind::Lost);
            CPPUNIT_ASSERT_EQUAL(std::string(expected), silent.lastActions());
        }
        for (const BreakKind kind : {BreakKind::NotSent, BreakKind::Refused, BreakKind::Lost, BreakKind::Malformed, BreakKind::Cancelled}) {
            StreamModel model;
            model.start();
            for (std::uint64_t id = 1; id < 100 && !model.isOver(); ++id) {
                model.placed(id, AttemptPurpose::Fresh, 7);
                for (int i = 0; i < 10; ++i) {
                    model.broken(id, kind);
                }
            }
            CPPUNIT_ASSERT_EQUAL(std::string(), model.violation());
            CPPUNIT_ASSERT(model.error().has_value());
            CPPUNIT_ASSERT_EQUAL(options().maxRuns, model.assembler().runCount());
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
                model.finishWithHealthyEngine();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(here, std::string(), model.violation());
                CPPUNIT_ASSERT_MESSAGE(here, model.isWhole() != model.error().has_value());
            }
        }
    }

    const std::vector<NamedStep> m_events = allEvents();
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamAssemblerTest);

} // namespace carawaylatch::relay::testing
