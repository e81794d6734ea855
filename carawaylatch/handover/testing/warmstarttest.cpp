// Tests of warm starts with faulty peers and platforms: the router must load the
// configuration of any working source, or report why it is not ready.
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
    snapshot.incarnations.push_back({base::UpstreamId("e1"), {7}});
    return snapshot;
}

// Returns an encoded snapshot that takes several parts.
const std::string &encodedSnapshot(std::uint64_t revision)
{
    static std::map<std::uint64_t, std::string> encoded;
    auto &bytes = encoded[revision];
    if (bytes.empty()) {
        bytes = peer::encodeSnapshot(hotSnapshot(revision, 30'000));
    }
    return bytes;
}

// Fault of a peer.
enum class PeerFault {
    None,
    NoResponse,
    NoSnapshot, // has just started itself
    CorruptBytes, // bytes that don't match the digest
    ChangesDigest, // parts of another snapshot after the first part
    ExcessivePartCount,
    DropsFirstResponse,
    DuplicatesParts,
    StopsAfterFirstPart,
};
constexpr PeerFault AllPeerFaults[] = {PeerFault::None,
                                       PeerFault::NoResponse,
                                       PeerFault::NoSnapshot,
                                       PeerFault::CorruptBytes,
                                       PeerFault::ChangesDigest,
                                       PeerFault::ExcessivePartCount,
                                       PeerFault::DropsFirstResponse,
                                       PeerFault::DuplicatesParts,
                                       PeerFault::StopsAfterFirstPart};

bool deliversSnapshot(PeerFault fault)
{
    return fault == PeerFault::None || fault == PeerFault::DropsFirstResponse || fault == PeerFault::DuplicatesParts;
}

struct FakePeer
{
    base::FailureDomain domain;
    PeerFault fault = PeerFault::None;
    std::uint64_t revision = 0;
    int requests = 0;
};

// Simulates a starting router with its peers and the platform in virtual time.
class WarmStartSimulation
{
public:
    explicit WarmStartSimulation(std::map<base::RouterId, FakePeer> peers, std::optional<std::uint64_t> platformRevision)
        : m_peers(std::move(peers))
        , m_platformRevision(platformRevision)
        , m_warmStart(options(), peer::decodeSnapshot, m_now)
    {
        std::vector<config::DistributionPeer> members;
        for (const auto &it : m_peers) {
            members.push_back({it.first, it.second.domain});
        }
        m_warmStart.onPeers(members, m_now);
    }

    void runFor(base::Duration duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += milliseconds{10}) {
            m_warmStart.onTick(m_now);
            for (int rounds = 0; rounds < 50 && executeActions(); ++rounds) {}
        }
    }
    WarmStart &warmStart()
    {
        return m_warmStart;
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
    bool executeActions()
    {
        const auto actions = m_warmStart.takeActions();
        for (const auto &it : actions) {
            if (const auto *send = std::get_if<SendSnapshotRequest>(&it)) {
                respond(*send);
            } else if (const auto *load = std::get_if<LoadSnapshot>(&it)) {
                ++loads;
                mergeSnapshot(loaded, load->snapshot);
            } else {
                ++platformReads;
                m_warmStart.onPlatform(platform(), m_now);
            }
        }
        if (m_warmStart.step() == WarmStartStep::Done && !doneAt) {
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
    void respond(const SendSnapshotRequest &send)
    {
        auto &peer = m_peers.at(send.peer);
        ++peer.requests;
        const bool isLost = peer.fault == PeerFault::NoResponse || (peer.fault == PeerFault::DropsFirstResponse && peer.requests == 1)
                            || (peer.fault == PeerFault::StopsAfterFirstPart && peer.requests > 1);
        if (isLost) {
            return;
        }
        SnapshotServer server(
            [&] {
                return peer.fault == PeerFault::NoSnapshot ? std::string{} : encodedSnapshot(peer.revision);
            },
            seconds{1});
        auto part = server.serve(send.request, m_now);
        if (peer.fault == PeerFault::CorruptBytes && !part.bytes.empty()) {
            part.bytes[part.bytes.size() / 2] ^= 1;
        } else if (peer.fault == PeerFault::ChangesDigest && part.part > 0) {
            ++part.digest;
        } else if (peer.fault == PeerFault::ExcessivePartCount) {
            part.parts = 4'000'000'000U;
        }
        m_warmStart.onPart(send.peer, part, m_now);
        if (peer.fault == PeerFault::DuplicatesParts) {
            m_warmStart.onPart(send.peer, part, m_now);
        }
    }

    std::map<base::RouterId, FakePeer> m_peers;
    std::optional<std::uint64_t> m_platformRevision; // empty if the platform is unreachable
    TimePoint m_now{base::hours{1}};
    WarmStart m_warmStart;
};

const base::FailureDomain Own("own");
const base::FailureDomain Other("other");

} // namespace

class WarmStartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WarmStartTest);
    CPPUNIT_TEST(testPeerAndPlatformFaultCombinations);
    CPPUNIT_TEST(testGreatestRevisionIsTaken);
    CPPUNIT_TEST(testNoPeerAndNoPlatform);
    CPPUNIT_TEST(testAllRoutersRestartAtOnce);
    CPPUNIT_TEST(testNotReadyWhileBehindPeers);
    CPPUNIT_TEST(testReadinessNeedsUpstream);
    CPPUNIT_TEST(testShrinkKeepsNewestBlocks);
    CPPUNIT_TEST(testMergeKeepsNewerEntries);
    CPPUNIT_TEST_SUITE_END();

public:
    // All combinations of faults of a peer in the own domain, a peer in another domain
    // and the platform.
    void testPeerAndPlatformFaultCombinations()
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
        WarmStartSimulation simulation({{base::RouterId("a"), {Own, PeerFault::None, 3}}, {base::RouterId("b"), {Own, PeerFault::None, 9}}}, 4);
        simulation.runFor(seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, simulation.loaded.rows.revision.value);
        CPPUNIT_ASSERT_EQUAL(0, simulation.platformReads);
    }

    void testNoPeerAndNoPlatform()
    {
        WarmStartSimulation simulation({}, {});
        simulation.runFor(seconds{30});
        CPPUNIT_ASSERT(simulation.warmStart().readiness() == NotReadyReason::NoConfiguration);
        CPPUNIT_ASSERT(simulation.warmStart().notReadyMessage().find("platform: connection refused") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE("the platform is read again at the retry interval only", simulation.platformReads > 10 && simulation.platformReads <= 31);
    }

    void testAllRoutersRestartAtOnce()
    {
        WarmStartSimulation simulation({{base::RouterId("a"), {Own, PeerFault::NoSnapshot, 0}}, {base::RouterId("b"), {Other, PeerFault::NoSnapshot, 0}}}, 6);
        simulation.runFor(seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, simulation.loaded.rows.revision.value);
        CPPUNIT_ASSERT(!simulation.loaded.placements.upstreams.empty());
        CPPUNIT_ASSERT(simulation.doneAt && *simulation.doneAt <= simulation.now());
    }

    void testNotReadyWhileBehindPeers()
    {
        WarmStartSimulation simulation({{base::RouterId("a"), {Own, PeerFault::None, 3}}}, {});
        simulation.warmStart().onFleetRevision(Revision{5});
        simulation.runFor(milliseconds{100});
        simulation.warmStart().onStateChanged(Revision{3}, 2);
        CPPUNIT_ASSERT(simulation.warmStart().readiness() == NotReadyReason::BehindPeers);
        simulation.warmStart().onStateChanged(Revision{5}, 2);
        CPPUNIT_ASSERT(simulation.warmStart().readiness() == NotReadyReason::None);
        simulation.warmStart().onFleetRevision(Revision{8});
        CPPUNIT_ASSERT_MESSAGE("a new revision after the start doesn't change readiness", simulation.warmStart().readiness() == NotReadyReason::None);

        WarmStartSimulation late({{base::RouterId("a"), {Own, PeerFault::None, 3}}}, {});
        late.warmStart().onFleetRevision(Revision{5});
        late.runFor(seconds{4});
        late.warmStart().onStateChanged(Revision{3}, 2);
        CPPUNIT_ASSERT_MESSAGE("the wait for a greater revision ends on timeout", late.warmStart().readiness() == NotReadyReason::None);
    }

    void testReadinessNeedsUpstream()
    {
        WarmStartSimulation simulation({{base::RouterId("a"), {Own, PeerFault::None, 3}}}, {});
        simulation.runFor(milliseconds{100});
        CPPUNIT_ASSERT(simulation.warmStart().readiness() == NotReadyReason::NoUpstream);
        simulation.warmStart().onStateChanged(Revision{3}, 1);
        CPPUNIT_ASSERT(simulation.warmStart().readiness() == NotReadyReason::None);
        CPPUNIT_ASSERT_EQUAL(std::string{}, simulation.warmStart().notReadyMessage());
        simulation.warmStart().onStopping();
        CPPUNIT_ASSERT(simulation.warmStart().readiness() == NotReadyReason::Stopping);
    }

    void testShrinkKeepsNewestBlocks()
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

    void testMergeKeepsNewerEntries()
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
        WarmStartSimulation simulation({{base::RouterId("a"), {Own, own, 7}}, {base::RouterId("b"), {Other, other, 8}}}, platform);
        simulation.runFor(seconds{8});
        const std::uint64_t expected = deliversSnapshot(own) ? 7 : deliversSnapshot(other) ? 8 : platform.value_or(0);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label.str(), expected, simulation.loaded.rows.revision.value);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label.str(), expected != 0, simulation.warmStart().readiness() != NotReadyReason::NoConfiguration);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label.str(), expected != 0, simulation.doneAt.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label.str(), expected != 0, !simulation.loaded.marks.empty() && !simulation.loaded.floors.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmStartTest);

} // namespace carawaylatch::handover::testing
