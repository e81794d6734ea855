// Warm starts against peers and platforms that fail in every way at every step.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <sstream>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/handover/snapshotserver.h"
#include "carawaylatch/handover/warmstart.h"
#include "carawaylatch/peer/codec.h"
#include "testing/seed.h"

namespace carawaylatch::handover::testing
{

using base::milliseconds;
using base::Revision;
using base::seconds;
using base::TimePoint;

namespace
{

Snapshot hotSnapshot(std::uint64_t revision, std::uint32_t blocks = 10)
{
    Snapshot snapshot;
    snapshot.rows.revision = {revision};
    prefix::HotUpstream upstream{base::UpstreamId("e1"), {7}, 1'000, {}};
    for (std::uint32_t i = 0; i < blocks; ++i) {
        upstream.blocks.push_back({i + 1, i});
    }
    snapshot.placements.upstreams.push_back(upstream);
    snapshot.levels.levels.push_back({1, 2.0F, 1});
    snapshot.marks.push_back({base::UpstreamId("e2"), {8}, 1});
    snapshot.floors.push_back({"lease/dakar-a", {41}});
    snapshot.lives.push_back({base::UpstreamId("e1"), {7}});
    return snapshot;
}

// Returns a snapshot of several parts.
const std::string &encodedSnapshot(std::uint64_t revision)
{
    static std::map<std::uint64_t, std::string> encoded;
    auto &bytes = encoded[revision];
    if (bytes.empty()) {
        bytes = peer::encodeSnapshot(hotSnapshot(revision, 30'000));
    }
    return bytes;
}

// How a peer fails.
enum class PeerFault {
    None,
    Silent,
    Empty, // started itself a moment ago
    Damaged, // bytes that don't fit their digest
    Changes, // another snapshot after the first part
    AbsurdCount,
    LosesFirst, // the first answer
    Doubles,
    DiesAfterFirst,
};
constexpr PeerFault AllPeerFaults[] = {PeerFault::None,        PeerFault::Silent,     PeerFault::Empty,   PeerFault::Damaged,       PeerFault::Changes,
                                       PeerFault::AbsurdCount, PeerFault::LosesFirst, PeerFault::Doubles, PeerFault::DiesAfterFirst};

bool givesSnapshot(PeerFault fault)
{
    return fault == PeerFault::None || fault == PeerFault::LosesFirst || fault == PeerFault::Doubles;
}

struct FakePeer
{
    base::FailureDomain domain;
    PeerFault fault = PeerFault::None;
    std::uint64_t revision = 0;
    int answers = 0;
};

// A starting router with peers and a platform in virtual time.
class Start
{
public:
    explicit Start(std::map<base::RouterId, FakePeer> peers, std::optional<std::uint64_t> platformRevision)
        : m_peers(std::move(peers))
        , m_platformRevision(platformRevision)
        , m_start(options(), peer::decodeSnapshot, m_now)
    {
        std::vector<config::DistributionPeer> members;
        for (const auto &it : m_peers) {
            members.push_back({it.first, it.second.domain});
        }
        m_start.onPeers(members, m_now);
    }

    void runFor(base::Duration duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += milliseconds{10}) {
            m_start.onTick(m_now);
            for (int rounds = 0; rounds < 50 && act(); ++rounds) {}
        }
    }
    WarmStart &machine()
    {
        return m_start;
    }
    TimePoint now() const
    {
        return m_now;
    }
    Snapshot loaded; // all LoadSnapshot merged
    int loads = 0;
    int platformReads = 0;
    std::optional<TimePoint> doneAt;

private:
    static WarmStartOptions options()
    {
        WarmStartOptions options;
        options.domain = base::FailureDomain("own");
        options.seed = ::carawaylatch::testing::seed();
        return options;
    }
    bool act()
    {
        const auto actions = m_start.takeActions();
        for (const auto &it : actions) {
            if (const auto *ask = std::get_if<AskPeer>(&it)) {
                answer(*ask);
            } else if (const auto *load = std::get_if<LoadSnapshot>(&it)) {
                ++loads;
                mergeSnapshot(loaded, load->snapshot);
            } else {
                ++platformReads;
                m_start.onPlatform(platform(), m_now);
            }
        }
        if (m_start.step() == WarmStartStep::Done && !doneAt) {
            doneAt = m_now;
        }
        return !actions.empty();
    }
    base::Result<Snapshot> platform() const
    {
        if (!m_platformRevision) {
            return base::fail(base::ErrorKind::Unavailable, "connection refused");
        }
        return *m_platformRevision == 0 ? Snapshot{} : hotSnapshot(*m_platformRevision);
    }
    void answer(const AskPeer &ask)
    {
        auto &peer = m_peers.at(ask.peer);
        ++peer.answers;
        const bool isLost = peer.fault == PeerFault::Silent || (peer.fault == PeerFault::LosesFirst && peer.answers == 1)
                            || (peer.fault == PeerFault::DiesAfterFirst && peer.answers > 1);
        if (isLost) {
            return;
        }
        SnapshotServer server(
            [&] {
                return peer.fault == PeerFault::Empty ? std::string{} : encodedSnapshot(peer.revision);
            },
            seconds{1});
        auto part = server.answer(ask.request, m_now);
        if (peer.fault == PeerFault::Damaged && !part.bytes.empty()) {
            part.bytes[part.bytes.size() / 2] ^= 1;
        } else if (peer.fault == PeerFault::Changes && part.part > 0) {
            ++part.digest;
        } else if (peer.fault == PeerFault::AbsurdCount) {
            part.parts = 4'000'000'000U;
        }
        m_start.onPart(ask.peer, part, m_now);
        if (peer.fault == PeerFault::Doubles) {
            m_start.onPart(ask.peer, part, m_now);
        }
    }

    std::map<base::RouterId, FakePeer> m_peers;
    std::optional<std::uint64_t> m_platformRevision; // nothing: down
    TimePoint m_now{base::hours{1}};
    WarmStart m_start;
};

const base::FailureDomain Own("own");
const base::FailureDomain Other("other");

} // namespace

class WarmStartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WarmStartTest);
    CPPUNIT_TEST(testEveryFaultAtEveryStep);
    CPPUNIT_TEST(testGreatestRevisionIsTaken);
    CPPUNIT_TEST(testNoPeerAndNoPlatform);
    CPPUNIT_TEST(testAllRestartAtOnce);
    CPPUNIT_TEST(testNotReadyWhileBehindPeers);
    CPPUNIT_TEST(testReadinessNeedsUpstream);
    CPPUNIT_TEST(testShrinkKeepsTheHottest);
    CPPUNIT_TEST(testMergeKeepsTheNewer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Peers of the own domain, of another, and the platform fail in all combinations.
    void testEveryFaultAtEveryStep()
    {
        int cases = 0;
        for (const auto own : AllPeerFaults) {
            for (const auto other : AllPeerFaults) {
                for (const std::optional<std::uint64_t> platform :
                     {std::optional<std::uint64_t>{}, std::optional<std::uint64_t>{0}, std::optional<std::uint64_t>{5}}) {
                    checkCase(own, other, platform);
                    ++cases;
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(243, cases);
    }

    void testGreatestRevisionIsTaken()
    {
        Start start({{base::RouterId("a"), {Own, PeerFault::None, 3}}, {base::RouterId("b"), {Own, PeerFault::None, 9}}}, 4);
        start.runFor(seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, start.loaded.rows.revision.value);
        CPPUNIT_ASSERT_EQUAL(0, start.platformReads);
    }

    void testNoPeerAndNoPlatform()
    {
        Start start({}, {});
        start.runFor(seconds{30});
        CPPUNIT_ASSERT(start.machine().readiness() == NotReadyReason::NoConfiguration);
        CPPUNIT_ASSERT(start.machine().notReadyBecause().find("platform: connection refused") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE("the platform is asked again, but not hammered", start.platformReads > 10 && start.platformReads <= 31);
    }

    void testAllRestartAtOnce()
    {
        Start start({{base::RouterId("a"), {Own, PeerFault::Empty, 0}}, {base::RouterId("b"), {Other, PeerFault::Empty, 0}}}, 6);
        start.runFor(seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, start.loaded.rows.revision.value);
        CPPUNIT_ASSERT(!start.loaded.placements.upstreams.empty());
        CPPUNIT_ASSERT(start.doneAt && *start.doneAt <= start.now());
    }

    void testNotReadyWhileBehindPeers()
    {
        Start start({{base::RouterId("a"), {Own, PeerFault::None, 3}}}, {});
        start.machine().onSeenRevision(Revision{5});
        start.runFor(milliseconds{100});
        start.machine().onState(Revision{3}, 2);
        CPPUNIT_ASSERT(start.machine().readiness() == NotReadyReason::BehindPeers);
        start.machine().onState(Revision{5}, 2);
        CPPUNIT_ASSERT(start.machine().readiness() == NotReadyReason::None);
        start.machine().onSeenRevision(Revision{8});
        CPPUNIT_ASSERT_MESSAGE("readiness doesn't flap with every edit", start.machine().readiness() == NotReadyReason::None);

        Start late({{base::RouterId("a"), {Own, PeerFault::None, 3}}}, {});
        late.machine().onSeenRevision(Revision{5});
        late.runFor(seconds{4});
        late.machine().onState(Revision{3}, 2);
        CPPUNIT_ASSERT_MESSAGE("the wait ends", late.machine().readiness() == NotReadyReason::None);
    }

    void testReadinessNeedsUpstream()
    {
        Start start({{base::RouterId("a"), {Own, PeerFault::None, 3}}}, {});
        start.runFor(milliseconds{100});
        CPPUNIT_ASSERT(start.machine().readiness() == NotReadyReason::NoUpstream);
        start.machine().onState(Revision{3}, 1);
        CPPUNIT_ASSERT(start.machine().readiness() == NotReadyReason::None);
        CPPUNIT_ASSERT_EQUAL(std::string{}, start.machine().notReadyBecause());
        start.machine().onStopping();
        CPPUNIT_ASSERT(start.machine().readiness() == NotReadyReason::Stopping);
    }

    void testShrinkKeepsTheHottest()
    {
        base::Random random(::carawaylatch::testing::seed());
        for (int i = 0; i < 20; ++i) {
            auto snapshot = hotSnapshot(3, 20'000);
            for (std::uint32_t k = 0; k < 8'000; ++k) {
                snapshot.levels.levels.push_back({k, static_cast<float>(random.uniformReal()), 0});
            }
            const auto maxBytes = 2'000 + random.below(400'000);
            const auto before = snapshot;
            shrinkSnapshot(snapshot, maxBytes);
            CPPUNIT_ASSERT(estimateBytes(snapshot) <= maxBytes);
            CPPUNIT_ASSERT(peer::encodeSnapshot(snapshot).size() <= maxBytes);
            CPPUNIT_ASSERT(peer::encodeSnapshot(before).size() <= estimateBytes(before));
            const auto &blocks = snapshot.placements.upstreams[0].blocks;
            for (std::uint32_t k = 0; k < blocks.size(); ++k) {
                CPPUNIT_ASSERT_EQUAL(k, blocks[k].ageMilliseconds);
            }
            CPPUNIT_ASSERT(snapshot.marks == before.marks && snapshot.floors == before.floors);
        }
    }

    void testMergeKeepsTheNewer()
    {
        auto first = hotSnapshot(3);
        auto second = hotSnapshot(2);
        second.marks[0].generation = 2;
        second.floors[0].token = {40};
        second.placements.upstreams[0].blocks[0] = {1, 500};
        second.placements.upstreams.push_back({base::UpstreamId("e1"), {9}, 10, {{77, 1}}});
        for (int order = 0; order < 2; ++order) {
            auto merged = order == 0 ? first : second;
            mergeSnapshot(merged, order == 0 ? second : first);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, merged.rows.revision.value);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, merged.marks.at(0).generation);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{41}, merged.floors.at(0).token.value);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, merged.placements.upstreams.size());
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, merged.placements.upstreams[0].blocks.at(0).ageMilliseconds);
        }
    }

private:
    static void checkCase(PeerFault own, PeerFault other, std::optional<std::uint64_t> platform)
    {
        std::ostringstream label;
        label << "own " << static_cast<int>(own) << " other " << static_cast<int>(other) << " platform " << (platform ? static_cast<int>(*platform) : -1);
        Start start({{base::RouterId("a"), {Own, own, 7}}, {base::RouterId("b"), {Other, other, 8}}}, platform);
        start.runFor(seconds{8});
        const std::uint64_t expected = givesSnapshot(own) ? 7 : givesSnapshot(other) ? 8 : platform.value_or(0);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label.str(), expected, start.loaded.rows.revision.value);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label.str(), expected != 0, start.machine().readiness() != NotReadyReason::NoConfiguration);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label.str(), expected != 0, start.doneAt.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label.str(), expected != 0, !start.loaded.marks.empty() && !start.loaded.floors.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmStartTest);

} // namespace carawaylatch::handover::testing
