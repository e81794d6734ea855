// Tests KnownObjects: single cases, and random histories against a plain map of what the store held at each revision.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/gateway/knownobjects.h"
#include "carawaylatch/gateway/storeversion.h"
#include "carawaylatch/gateway/watchlog.h"
#include "testing/seed.h"

namespace carawaylatch::gateway::testing
{

namespace
{

constexpr auto Kind = ObjectKind::Upstreams;
constexpr ObjectKind WatchedKinds[] = {ObjectKind::Tables, ObjectKind::Weights, ObjectKind::Upstreams, ObjectKind::Coordination};

StoredObject change(const std::string &name, std::uint64_t revision)
{
    return {name, {}, revision, false};
}
StoredObject removal(const std::string &name, std::uint64_t revision)
{
    return {name, {}, revision, true};
}

using State = std::map<std::string, std::uint64_t>; // names to revisions

void applyTo(State &state, const std::vector<StoredObject> &news)
{
    for (const StoredObject &object : news) {
        if (object.isRemoved) {
            state.erase(object.name);
        } else {
            state[object.name] = object.revision;
        }
    }
}

std::string describe(const State &state)
{
    std::string text;
    for (const auto &[name, revision] : state) {
        text += name + "=" + std::to_string(revisionOf(revision)) + "/" + std::to_string(eraOf(revision)) + " ";
    }
    return text;
}

// A store that remembers all its states.
class HistoryStore
{
public:
    explicit HistoryStore(base::Random &random)
        : m_random(random)
    {
    }
    void makeChange()
    {
        const std::string name(1, static_cast<char>('a' + m_random.below(4)));
        State next = m_states.back();
        const auto known = next.find(name);
        StoredObject object = change(name, makeVersion(m_era, ++m_revision));
        if (known != next.end() && m_random.below(3) == 0) {
            // Its own revision, that of the change before it, or none.
            const std::uint64_t revisions[] = {object.revision, known->second, makeVersion(m_era, 0)};
            object = removal(name, revisions[m_random.below(3)]);
            next.erase(known);
        } else {
            next[name] = object.revision;
        }
        m_changes.push_back(object);
        m_states.push_back(std::move(next));
    }
    // Without the last changes, whose revisions are given out again.
    void comeBackFromCopy()
    {
        const std::size_t kept = m_states.size() - m_random.below(std::min<std::size_t>(m_states.size(), 5));
        m_states.resize(kept);
        m_changes.clear();
        m_base = m_revision = kept - 1;
        ++m_era;
        for (auto &[name, revision] : m_states.back()) {
            revision = makeVersion(m_era, revisionOf(revision));
        }
    }
    [[nodiscard]] std::uint64_t asOf() const
    {
        return makeVersion(m_era, m_revision);
    }
    [[nodiscard]] const State &state() const
    {
        return m_states.back();
    }
    [[nodiscard]] const State &stateAt(std::uint64_t version) const
    {
        return m_states[revisionOf(version)];
    }
    // Changes since a revision of this era; nothing can be told of those before `m_base`.
    [[nodiscard]] bool knowsSince(std::uint64_t since) const
    {
        return eraOf(since) == m_era && revisionOf(since) >= m_base;
    }
    [[nodiscard]] std::vector<StoredObject> changesSince(std::uint64_t since) const
    {
        return {m_changes.begin() + static_cast<std::ptrdiff_t>(revisionOf(since) - m_base), m_changes.end()};
    }

private:
    base::Random &m_random;
    std::uint64_t m_era = 1;
    std::uint64_t m_base = 0; // revision before the first of m_changes
    std::uint64_t m_revision = 0;
    std::vector<StoredObject> m_changes;
    std::vector<State> m_states{State{}}; // by revision
};

} // namespace

class KnownObjectsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KnownObjectsTest);
    CPPUNIT_TEST(testOlderEntriesOfAReader);
    CPPUNIT_TEST(testRemovals);
    CPPUNIT_TEST(testLists);
    CPPUNIT_TEST(testStoreFromACopy);
    CPPUNIT_TEST(testRandomHistories);
    CPPUNIT_TEST_SUITE_END();

public:
    // A reader that was cut off passes on what its follower has read elsewhere: an object that is gone, and one that has
    // changed again.
    void testOlderEntriesOfAReader()
    {
        for (const ObjectKind kind : WatchedKinds) {
            KnownObjects known;
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, known.onList(kind, {change("a", 3), change("b", 9)}, 10).size());
            const auto news = known.onChanges(kind, {change("gone", 5), removal("gone", 8), change("b", 7), change("a", 12)}, 13);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(objectKindName(kind)), std::size_t{1}, news.size());
            CPPUNIT_ASSERT(news.front().name == "a" && news.front().revision == 12);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{13}, known.knownAsOf(kind));
            CPPUNIT_ASSERT_MESSAGE("a late answer", known.onChanges(kind, {change("c", 4), removal("a", 5)}, 11).empty());
        }
    }

    void testRemovals()
    {
        KnownObjects known;
        static_cast<void>(known.onList(Kind, {change("a", 3), change("b", 4), change("c", 5)}, 10));
        // The revision of the change before it, none, or its own.
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, known.onChanges(Kind, {removal("a", 3), removal("b", 0), removal("c", 13)}, 13).size());
        CPPUNIT_ASSERT_MESSAGE("once", known.onChanges(Kind, {removal("a", 3)}, 14).empty());
        CPPUNIT_ASSERT_MESSAGE("came and went", known.onChanges(Kind, {change("d", 15), removal("d", 16)}, 16).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, known.onChanges(Kind, {change("a", 17)}, 17).size());
        // An object that is removed and created again is never told as removed; what it said before its removal counts.
        const auto news = known.onChanges(Kind, {change("a", 18), removal("a", 19), change("a", 20)}, 20);
        CPPUNIT_ASSERT(news.size() == 2 && news[0].revision == 18 && news[1].revision == 20);
    }

    // The pages of a list are read one after the other, and single objects meanwhile.
    void testLists()
    {
        KnownObjects known;
        CPPUNIT_ASSERT(known.onObject(Kind, change("written", 15)));
        CPPUNIT_ASSERT(!known.onObject(Kind, change("written", 14)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, known.onList(Kind, {change("a", 3), change("late page", 14)}, 10).size());
        CPPUNIT_ASSERT_MESSAGE("the watch tells the last page again", known.onChanges(Kind, {change("late page", 14), change("written", 15)}, 16).empty());
        const auto news = known.onList(Kind, {change("late page", 14), change("written", 13)}, 20);
        CPPUNIT_ASSERT(news.size() == 1 && news[0].isRemoved && news[0].name == "a");
    }

    void testStoreFromACopy()
    {
        KnownObjects known;
        static_cast<void>(known.onList(Kind, {change("a", makeVersion(1, 30)), change("b", makeVersion(1, 31))}, makeVersion(1, 40)));
        const auto later = known.onList(Kind, {change("a", makeVersion(2, 30))}, makeVersion(2, 35));
        CPPUNIT_ASSERT(later.size() == 2 && later[0].name == "a" && later[1].name == "b" && later[1].isRemoved);
        CPPUNIT_ASSERT(known.onChanges(Kind, {change("b", makeVersion(1, 39))}, makeVersion(1, 41)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, known.onChanges(Kind, {change("b", makeVersion(2, 36))}, makeVersion(2, 36)).size());
        // A store that tells no era has lost changes if it lists an earlier revision.
        KnownObjects withoutEra;
        static_cast<void>(withoutEra.onList(Kind, {change("a", 30), change("b", 31)}, 40));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, withoutEra.onList(Kind, {change("a", 20)}, 25).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, withoutEra.onChanges(Kind, {change("a", 26)}, 26).size());
    }

    // A router that reads from the store and from a reader by turns holds at each revision what the store held. The reader's
    // batches lead from any earlier revision; the reader is late, and the store comes back from a copy.
    void testRandomHistories()
    {
        base::Random random(carawaylatch::testing::seed());
        for (int round = 0; round < 2000; ++round) {
            HistoryStore store(random);
            KnownObjects known;
            WatchLog reader;
            std::uint64_t readerAt = 0; // zero: the reader has to list
            State state;
            std::string steps;
            for (int step = 0; step < 40; ++step) {
                for (std::uint64_t n = random.below(4); n > 0; --n) {
                    store.makeChange();
                }
                const std::uint64_t before = known.knownAsOf(Kind);
                switch (random.below(before == 0 ? 1 : 8)) {
                case 0: {
                    std::vector<StoredObject> objects;
                    for (const auto &[name, revision] : store.state()) {
                        objects.push_back(change(name, revision));
                    }
                    applyTo(state, known.onList(Kind, objects, store.asOf()));
                    steps += " list";
                    break;
                }
                case 1:
                case 2:
                    if (store.knowsSince(before)) {
                        applyTo(state, known.onChanges(Kind, store.changesSince(before), store.asOf()));
                        steps += " watch";
                    }
                    break;
                case 3:
                case 4:
                    if (store.knowsSince(readerAt)) {
                        reader.onChanges(Kind, readerAt, store.asOf(), store.changesSince(readerAt), {});
                    } else {
                        reader.onListed(Kind, store.asOf());
                    }
                    readerAt = store.asOf();
                    break;
                case 5:
                case 6:
                    if (const auto changes = reader.changesSince(Kind, before)) {
                        applyTo(state, known.onChanges(Kind, changes->objects, changes->revision));
                        steps += " reader";
                    }
                    break;
                default:
                    if (random.below(4) == 0) {
                        store.comeBackFromCopy();
                        steps += " copy";
                    }
                    break;
                }
                const std::uint64_t asOf = known.knownAsOf(Kind);
                CPPUNIT_ASSERT_MESSAGE(steps, asOf >= before);
                if (eraOf(asOf) == eraOf(store.asOf())) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE("round " + std::to_string(round) + steps, describe(store.stateAt(asOf)), describe(state));
                }
            }
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KnownObjectsTest);

} // namespace carawaylatch::gateway::testing
