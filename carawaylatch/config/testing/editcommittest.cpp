// Commits of edits with faults at every step, concurrent edits and lost responses.
//
// The tests compare the reported outcomes with the stored history, read without
// faults: an accepted edit is in it exactly once, a refused edit is not in it, and
// replaying the history from an empty configuration gives the stored one.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/configstore.h"
#include "carawaylatch/config/testing/faultyplatform.h"
#include "testing/seed.h"

namespace carawaylatch::config::testing
{

using base::ErrorKind;
using store::StoreFault;

namespace
{

constexpr CommitOptions SmallLimits{DryRun::Off, 64, 8, 6, 2};
constexpr std::size_t AllEdits = 100'000;

// Checks the stored history against the outcomes reported to operators.
void checkHistory(FaultyPlatform &platform, const std::map<std::uint64_t, ErrorKind> &refused, const std::set<std::uint64_t> &accepted,
                  const std::string &label)
{
    ConfigStore store(platform.memory);
    const auto stored = store.load();
    const auto history = store.history(AllEdits);
    CPPUNIT_ASSERT_MESSAGE(label, stored && history);
    std::map<std::uint64_t, int> counts;
    RowSet replayed;
    for (auto it = history.value().rbegin(); it != history.value().rend(); ++it) {
        ++counts[it->id.value];
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label, replayed.revision.value + 1, it->revision.value);
        for (const auto &change : it->changes) {
            const auto *row = replayed.find(change.row.key);
            CPPUNIT_ASSERT_MESSAGE(label + ": an edit overwrote a revision that it was not based on",
                                   change.expected == (row != nullptr ? row->revision : base::Revision{}));
        }
        applyEdit(replayed, *it);
        CPPUNIT_ASSERT_MESSAGE(label, toTables(replayed).has_value());
    }
    CPPUNIT_ASSERT_MESSAGE(label + ": the replayed history differs from the stored configuration", replayed == stored.value().rows);
    for (const auto it : accepted) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label + ": an accepted edit is not in the history exactly once", 1, counts[it]);
    }
    for (const auto &[id, kind] : refused) {
        const bool isConsistent = kind == ErrorKind::Unclear ? counts[id] <= 1 : counts[id] == 0;
        CPPUNIT_ASSERT_MESSAGE(label + ": a refused edit is in force, " + std::string(base::errorKindName(kind)), isConsistent);
    }
}

struct Outcomes
{
    std::map<std::uint64_t, ErrorKind> refused;
    std::set<std::uint64_t> accepted;

    void add(std::uint64_t id, const EditCommit &commit)
    {
        if (commit.outcome()) {
            accepted.insert(id);
        } else {
            refused[id] = commit.outcome().error().kind;
        }
    }
};

void applyEdits(FaultyPlatform &platform, Outcomes &outcomes, std::uint64_t firstId, int count, const std::string &pool)
{
    for (int i = 0; i < count; ++i) {
        EditCommit commit(poolEdit(firstId + i, pool, firstId + i), SmallLimits);
        platform.executeAll(commit);
        outcomes.add(firstId + i, commit);
    }
}

// A fault, its duration, and concurrent edits while it lasts.
struct FaultCase
{
    StoreFault fault;
    int calls; // number of consecutive calls that fail
    int otherEdits; // committed by others right after the first failed call
};

constexpr FaultCase FaultCases[] = {
    {StoreFault::Down, 1, 0},         {StoreFault::Down, 1'000, 0},      {StoreFault::ResponseLost, 1, 0},    {StoreFault::ResponseLost, 2, 0},
    {StoreFault::ResponseLost, 1, 1}, {StoreFault::ResponseLost, 1, 12}, {StoreFault::RequestLost, 1, 0},     {StoreFault::RequestLost, 3, 0},
    {StoreFault::RequestLost, 1, 1},  {StoreFault::RequestLost, 1, 12},  {StoreFault::RequestLost, 1'000, 0}, {StoreFault::ResponseLost, 1'000, 0},
};

} // namespace

class EditCommitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EditCommitTest);
    CPPUNIT_TEST(testEveryFaultAtEveryStep);
    CPPUNIT_TEST(testDelayedHeadWrite);
    CPPUNIT_TEST(testConflictOnSameRowNamesBothRevisions);
    CPPUNIT_TEST(testConcurrentPoolRemovalAndRouteAreExclusive);
    CPPUNIT_TEST(testRepeatedEditIsAcceptedOnce);
    CPPUNIT_TEST(testNoOpEditCreatesNoRevision);
    CPPUNIT_TEST(testInterleavingsOfTwoEdits);
    CPPUNIT_TEST(testConcurrentEditsWithRandomFaults);
    CPPUNIT_TEST(testUnknownFieldsSurviveEditsAndCompaction);
    CPPUNIT_TEST(testOversizedAndMultilineEditsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEveryFaultAtEveryStep()
    {
        std::set<CommitStep> reached;
        int cases = 0;
        for (const auto step : AllCommitSteps) {
            for (const auto &it : FaultCases) {
                cases += runFaultCase(step, it, reached) ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a step was never reached", std::size(AllCommitSteps), reached.size());
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(std::size(AllCommitSteps) * std::size(FaultCases)), cases);
    }

    // A head write without a response takes effect 0 to 5 steps later, when the commit may
    // already have repeated it. The edit must be applied exactly once.
    void testDelayedHeadWrite()
    {
        for (int delaySteps = 0; delaySteps < 6; ++delaySteps) {
            FaultyPlatform platform;
            Outcomes outcomes;
            applyEdits(platform, outcomes, 1, 2, "a");
            EditCommit commit(poolEdit(50, "b", 7), SmallLimits);
            std::optional<StoreRequest> delayed;
            for (int calls = 0; commit.request() != nullptr; ++calls) {
                if (commit.step() == CommitStep::WriteHead && !delayed) {
                    delayed = *commit.request();
                    calls = 0;
                    commit.onWritten(base::fail(ErrorKind::Unclear, "no response"));
                }
                if (delayed && calls == delaySteps) {
                    (void)platform.memory.write(delayed->name, delayed->value, delayed->expected);
                }
                platform.executeStep(commit, StoreFault::None);
            }
            (void)platform.memory.write(delayed->name, delayed->value, delayed->expected);
            outcomes.add(50, commit);
            CPPUNIT_ASSERT(outcomes.accepted.contains(50));
            checkHistory(platform, outcomes.refused, outcomes.accepted, "delay " + std::to_string(delaySteps));
        }
    }

    void testConflictOnSameRowNamesBothRevisions()
    {
        FaultyPlatform platform;
        ConfigStore store(platform.memory);
        CPPUNIT_ASSERT(store.apply(poolEdit(1, "a", 1)) && store.apply(poolEdit(2, "b", 1)) && store.apply(poolEdit(3, "a", 2)));
        const auto refused = store.apply(poolEdit(4, "a", 3, base::Revision{1}));
        CPPUNIT_ASSERT(!refused && refused.error().kind == ErrorKind::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("[pool a] was edited from revision 1 but is now at revision 3; get the row again and repeat the edit on it"),
                             refused.error().message);
        CPPUNIT_ASSERT(!store.apply(poolEdit(5, "c", 3, base::Revision{1})));
        CPPUNIT_ASSERT(store.apply(poolEdit(6, "b", 3, base::Revision{2})));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, store.load().value().rows.revision.value);
    }

    // One operator removes a pool while another adds a route to it: only one edit may succeed.
    void testConcurrentPoolRemovalAndRouteAreExclusive()
    {
        FaultyPlatform platform;
        ConfigStore store(platform.memory);
        CPPUNIT_ASSERT(store.apply(poolEdit(1, "a", 1)));
        const Row route{{"route", "r"}, {}, {{"path", "/v1/completions", 0}, {"model", "m", 0}, {"pool", "a", 0}}, 0};
        EditCommit addRoute({{2}, "alice", 1, {}, {{RowChange::Kind::Put, route, {}}}}, SmallLimits);
        EditCommit removePool({{3}, "bob", 1, {}, {{RowChange::Kind::Remove, Row{{"pool", "a"}, {}, {}, 0}, {}}}}, SmallLimits);
        platform.executeStep(addRoute, StoreFault::None);
        platform.executeStep(removePool, StoreFault::None);
        platform.executeAll(addRoute);
        platform.executeAll(removePool);
        CPPUNIT_ASSERT(addRoute.outcome());
        CPPUNIT_ASSERT(!removePool.outcome() && removePool.outcome().error().message.find("goes to pool 'a', which doesn't exist") != std::string::npos);
    }

    void testRepeatedEditIsAcceptedOnce()
    {
        FaultyPlatform platform;
        ConfigStore store(platform.memory);
        CPPUNIT_ASSERT(store.apply(poolEdit(1, "a", 1)) && store.apply(poolEdit(2, "a", 2)));
        const auto again = store.apply(poolEdit(1, "a", 1));
        CPPUNIT_ASSERT(again && again.value().revision.value == 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store.load().value().rows.revision.value);
    }

    void testNoOpEditCreatesNoRevision()
    {
        FaultyPlatform platform;
        ConfigStore store(platform.memory);
        CPPUNIT_ASSERT(store.apply(poolEdit(1, "a", 1)));
        const auto same = store.apply(poolEdit(2, "a", 1));
        CPPUNIT_ASSERT(same && same.value().changedRows == 0 && same.value().revision.value == 1);
        const auto dry = store.dryRun(poolEdit(3, "a", 9));
        CPPUNIT_ASSERT(dry && dry.value().changedRows == 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.history(AllEdits).value().size());
    }

    // All interleavings of the first 8 steps of two commits, each with every fault at each
    // of the first 5 steps of the first commit; then both run to completion.
    void testInterleavingsOfTwoEdits()
    {
        constexpr unsigned Depth = 8;
        constexpr unsigned FaultSteps = 5;
        for (unsigned order = 0; order < (1U << Depth); ++order) {
            for (unsigned faultStep = 0; faultStep < FaultSteps; ++faultStep) {
                for (const auto fault : {StoreFault::Down, StoreFault::ResponseLost, StoreFault::RequestLost}) {
                    for (const char *secondPool : {"a", "b"}) {
                        runInterleaving(order, Depth, faultStep, fault, secondPool);
                    }
                }
            }
        }
    }

    void testConcurrentEditsWithRandomFaults()
    {
        base::Random random(::carawaylatch::testing::seed());
        for (int round = 0; round < 40; ++round) {
            FaultyPlatform platform;
            Outcomes outcomes;
            std::uint64_t nextId = 1;
            std::vector<std::pair<std::uint64_t, EditCommit>> running;
            std::uint64_t lastRevision = 0;
            for (int i = 0; i < 400; ++i) {
                if (running.size() < 4) {
                    const auto id = nextId++;
                    running.emplace_back(id, EditCommit(poolEdit(id, std::string(1, static_cast<char>('a' + random.below(3))), id), SmallLimits));
                }
                const auto n = random.below(running.size());
                auto &[id, commit] = running[n];
                const auto fault = random.below(5) == 0 ? store::AllStoreFaults[random.below(4)] : StoreFault::None;
                platform.executeStep(commit, fault);
                if (commit.request() == nullptr) {
                    outcomes.add(id, commit);
                    running.erase(running.begin() + static_cast<std::ptrdiff_t>(n));
                }
                const auto head = platform.memory.read(HeadName);
                const auto revision = head ? parseHead(head.value().value).value().revision.value : 0;
                CPPUNIT_ASSERT_MESSAGE("the revision decreased", revision >= lastRevision);
                lastRevision = revision;
            }
            for (auto &[id, commit] : running) {
                platform.executeAll(commit);
                outcomes.add(id, commit);
            }
            CPPUNIT_ASSERT(outcomes.accepted.size() > 20);
            checkHistory(platform, outcomes.refused, outcomes.accepted, "round " + std::to_string(round));
        }
    }

    void testUnknownFieldsSurviveEditsAndCompaction()
    {
        FaultyPlatform platform;
        auto newer = poolEdit(1, "new", 1);
        newer.changes[0].row.fields.push_back({"colour", "green and blue", 0});
        newer.changes.push_back({RowChange::Kind::Put, Row{{"quota", "q"}, {}, {{"share", "3", 0}}, 0}, {}});
        EditCommit first(newer, SmallLimits);
        platform.executeAll(first);
        Outcomes outcomes;
        applyEdits(platform, outcomes, 10, 20, "a");
        ConfigStore store(platform.memory);
        const auto stored = store.load().value();
        CPPUNIT_ASSERT(stored.head.snapshotRevision.value > 1);
        const auto *row = stored.rows.find({"pool", "new"});
        CPPUNIT_ASSERT(row != nullptr && row->fields == newer.changes[0].row.fields);
        CPPUNIT_ASSERT(stored.rows.find({"quota", "q"}) != nullptr);
    }

    void testOversizedAndMultilineEditsAreRejected()
    {
        FaultyPlatform platform;
        auto oversized = poolEdit(1, "a", 1);
        for (int i = 0; i < 30'000; ++i) {
            oversized.changes[0].row.fields.push_back({"member", "engine-" + std::to_string(i) + " 10.0.0.1:8000 dakar-a", 0});
        }
        ConfigStore store(platform.memory);
        CPPUNIT_ASSERT(!store.apply(oversized));
        auto multiline = poolEdit(2, "a", 1);
        multiline.author = "two\nlines";
        CPPUNIT_ASSERT(!store.apply(multiline));
        CPPUNIT_ASSERT(!platform.memory.read(HeadName));
    }

private:
    // Runs a commit with the fault from `step` on and checks the history. Returns whether
    // the commit reached the step.
    bool runFaultCase(CommitStep step, const FaultCase &fault, std::set<CommitStep> &reached)
    {
        std::ostringstream label;
        label << "step " << static_cast<int>(step) << " fault " << static_cast<int>(fault.fault) << " calls " << fault.calls << " others " << fault.otherEdits;
        FaultyPlatform platform;
        Outcomes outcomes;
        // With SmallLimits, 9 edits leave a snapshot, and the commit after 10 edits compacts the head.
        const bool isCompacting = step >= CommitStep::WriteSnapshot && step != CommitStep::WriteHead;
        applyEdits(platform, outcomes, 1, isCompacting ? 10 : 9, "a");
        EditCommit commit(poolEdit(50, "b", 7), SmallLimits);
        int faultsLeft = fault.calls;
        bool isReached = false;
        while (commit.request() != nullptr) {
            loseHeadResponse(platform, commit, step, outcomes);
            isReached = isReached || commit.step() == step;
            const bool fails = isReached && faultsLeft > 0;
            platform.executeStep(commit, fails ? fault.fault : StoreFault::None);
            if (fails && faultsLeft-- == fault.calls) {
                applyEdits(platform, outcomes, 100, fault.otherEdits, "c");
            }
        }
        if (isReached) {
            reached.insert(step);
        }
        outcomes.add(50, commit);
        checkHistory(platform, outcomes.refused, outcomes.accepted, label.str());
        return isReached;
    }

    // Loses the response of the head write if `step` is reached only after that.
    static void loseHeadResponse(FaultyPlatform &platform, EditCommit &commit, CommitStep step, Outcomes &outcomes)
    {
        const bool needsLostResponse = step == CommitStep::ReadBack || step == CommitStep::ReadHistory;
        if (needsLostResponse && commit.step() == CommitStep::WriteHead) {
            platform.executeStep(commit, StoreFault::ResponseLost);
            applyEdits(platform, outcomes, 200, step == CommitStep::ReadHistory ? 14 : 0, "d");
        }
        while (step == CommitStep::ReadHistory && commit.step() == CommitStep::ReadBack) {
            platform.executeStep(commit, StoreFault::None);
        }
    }

    static void runInterleaving(unsigned order, unsigned depth, unsigned faultStep, StoreFault fault, const std::string &secondPool)
    {
        FaultyPlatform platform;
        Outcomes outcomes;
        applyEdits(platform, outcomes, 1, 1, "a");
        EditCommit commits[] = {EditCommit(poolEdit(50, "a", 50), SmallLimits), EditCommit(poolEdit(51, secondPool, 51), SmallLimits)};
        unsigned firstSteps = 0;
        for (unsigned i = 0; i < depth; ++i) {
            const unsigned n = (order >> i) & 1U;
            if (commits[n].request() != nullptr) {
                const bool fails = n == 0 && firstSteps++ == faultStep;
                platform.executeStep(commits[n], fails ? fault : StoreFault::None);
            }
        }
        for (unsigned n = 0; n < 2; ++n) {
            platform.executeAll(commits[n]);
            outcomes.add(50 + n, commits[n]);
        }
        std::ostringstream label;
        label << "order " << order << " fault " << static_cast<int>(fault) << " at " << faultStep << " pool " << secondPool;
        checkHistory(platform, outcomes.refused, outcomes.accepted, label.str());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EditCommitTest);

} // namespace carawaylatch::config::testing
