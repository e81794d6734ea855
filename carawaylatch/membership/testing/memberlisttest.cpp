// The member list in virtual time: joins, crashes, network partitions, packet loss,
// paused processes and planned stops.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <sstream>

#include "carawaylatch/membership/memberlist.h"
#include "testing/seed.h"
#include "testing/virtualnetwork.h"

namespace carawaylatch::membership::testing
{

using base::seconds;

namespace
{

constexpr std::uint32_t Domains = 3;

struct Node
{
    std::uint32_t domain = 0;
    std::unique_ptr<MemberList> list;
    bool isUp = true;
    bool isPaused = false;
    std::vector<std::function<void()>> waiting; // messages to a paused node
};

// Routers in three failure domains over a virtual network.
class Fleet
{
public:
    explicit Fleet(std::uint32_t size, ::carawaylatch::testing::VirtualNetwork::Faults faults = {})
        : m_network(::carawaylatch::testing::seed())
    {
        m_network.setFaults(faults);
        for (std::uint32_t i = 0; i < size; ++i) {
            m_nodes.emplace_back();
            start(i, 1'000 + i);
        }
        for (std::uint32_t i = 0; i < size; ++i) {
            tick(i);
        }
    }

    static base::RouterId idOf(std::uint32_t n)
    {
        return base::RouterId("r" + std::to_string(n));
    }
    static base::Endpoint endpointOf(std::uint32_t n)
    {
        return {"10.0." + std::to_string(n / 200) + '.' + std::to_string(n % 200 + 1), 7000};
    }

    // Starts or restarts a router; its seeds are the first two routers.
    void start(std::uint32_t n, std::uint64_t selfVersion)
    {
        auto &node = m_nodes[n];
        node.domain = n % Domains;
        node.isUp = true;
        MemberRecord self{idOf(n),           base::FailureDomain("d" + std::to_string(node.domain)), endpointOf(n), {++m_incarnations}, selfVersion, 0,
                          MemberState::Alive};
        MemberListOptions options;
        options.seed = ::carawaylatch::testing::seed();
        node.list = std::make_unique<MemberList>(options, self, m_network.now());
        const base::Endpoint seeds[] = {endpointOf(0), endpointOf(1)};
        node.list->onSeeds(seeds);
        m_byEndpoint[self.endpoint] = n;
    }

    MemberList &list(std::uint32_t n)
    {
        return *m_nodes[n].list;
    }
    ::carawaylatch::testing::VirtualNetwork &network()
    {
        return m_network;
    }
    void kill(std::uint32_t n)
    {
        m_nodes[n].isUp = false;
    }
    void pause(std::uint32_t n)
    {
        m_nodes[n].isPaused = true;
    }
    void resume(std::uint32_t n)
    {
        m_nodes[n].isPaused = false;
        for (const auto &it : std::exchange(m_nodes[n].waiting, {})) {
            it();
        }
    }
    void performActions(std::uint32_t n)
    {
        for (auto &it : m_nodes[n].list->takeActions()) {
            if (auto *message = std::get_if<SendMember>(&it)) {
                deliver(n, *message);
            }
        }
    }

    // Returns the state of `other` in the list of router `n`; Dead if it is unknown there.
    MemberState state(std::uint32_t n, std::uint32_t other)
    {
        const auto records = list(n).records();
        const auto it = std::find_if(records.begin(), records.end(), [&](const MemberRecord &record) {
            return record.id == idOf(other);
        });
        return it == records.end() ? MemberState::Dead : it->state;
    }

    // Asserts that every running router holds `others` in the expected state.
    void assertAll(MemberState expected, const std::vector<std::uint32_t> &others, const std::string &label)
    {
        for (std::uint32_t n = 0; n < m_nodes.size(); ++n) {
            for (const auto other : others) {
                if (m_nodes[n].isUp && n != other) {
                    std::ostringstream text;
                    text << label << ": r" << n << " sees r" << other << " as " << memberStateName(state(n, other));
                    CPPUNIT_ASSERT_MESSAGE(text.str(), state(n, other) == expected);
                }
            }
        }
    }
    std::vector<std::uint32_t> all() const
    {
        std::vector<std::uint32_t> numbers(m_nodes.size());
        for (std::uint32_t i = 0; i < numbers.size(); ++i) {
            numbers[i] = i;
        }
        return numbers;
    }

private:
    void tick(std::uint32_t n)
    {
        auto &node = m_nodes[n];
        if (node.isUp && !node.isPaused) {
            node.list->onTick(m_network.now());
            performActions(n);
        }
        m_network.at(m_network.now() + base::milliseconds{50}, [this, n] {
            tick(n);
        });
    }
    void deliver(std::uint32_t from, const SendMember &send)
    {
        const auto to = m_byEndpoint.find(send.to.endpoint);
        if (to == m_byEndpoint.end()) {
            return;
        }
        m_network.send(m_nodes[from].domain, m_nodes[to->second].domain, [this, n = to->second, message = send.message] {
            receive(n, message);
        });
    }
    void receive(std::uint32_t n, const MemberMessage &message)
    {
        auto &node = m_nodes[n];
        if (!node.isUp) {
            return;
        }
        const auto handle = [this, n, message] {
            m_nodes[n].list->onMessage(message, m_network.now());
            performActions(n);
        };
        if (node.isPaused) {
            node.waiting.emplace_back(handle);
        } else {
            handle();
        }
    }

    ::carawaylatch::testing::VirtualNetwork m_network;
    std::vector<Node> m_nodes;
    std::map<base::Endpoint, std::uint32_t> m_byEndpoint;
    std::uint64_t m_incarnations = 0;
};

} // namespace

class MemberListTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberListTest);
    CPPUNIT_TEST(testAllJoinThroughOneSeed);
    CPPUNIT_TEST(testCrashIsDetectedAndReplacementJoins);
    CPPUNIT_TEST(testPartitionHeals);
    CPPUNIT_TEST(testPacketLossCausesNoDeaths);
    CPPUNIT_TEST(testPausedRouterRejoinsWithoutFalseDeaths);
    CPPUNIT_TEST(testPauseRestartsSuspicionTimeout);
    CPPUNIT_TEST(testMessageFromDeadMemberRevivesIt);
    CPPUNIT_TEST(testPlannedStop);
    CPPUNIT_TEST(testRestartWithClockSetBack);
    CPPUNIT_TEST(testMessagesAndConnectionsAreBounded);
    CPPUNIT_TEST(testRoutersAgreeOnRanking);
    CPPUNIT_TEST(testRecordOrder);
    CPPUNIT_TEST(testTableIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void testAllJoinThroughOneSeed()
    {
        for (const std::uint32_t size : {2U, 4U, 40U}) {
            Fleet fleet(size);
            fleet.network().runFor(seconds{15});
            fleet.assertAll(MemberState::Alive, fleet.all(), "size " + std::to_string(size));
            CPPUNIT_ASSERT(fleet.list(0).digest() == fleet.list(size - 1).digest());
            CPPUNIT_ASSERT_EQUAL(std::size_t{size}, fleet.list(0).view()->members.size());
        }
    }

    void testCrashIsDetectedAndReplacementJoins()
    {
        Fleet fleet(12);
        fleet.network().runFor(seconds{10});
        fleet.kill(5);
        fleet.network().runFor(seconds{10});
        fleet.assertAll(MemberState::Dead, {5}, "after the crash");
        fleet.start(5, 900'000);
        fleet.network().runFor(seconds{10});
        fleet.assertAll(MemberState::Alive, fleet.all(), "after the replacement");
    }

    void testPartitionHeals()
    {
        Fleet fleet(12);
        fleet.network().runFor(seconds{10});
        fleet.network().partition(0, 1);
        fleet.network().partition(0, 2);
        fleet.network().runFor(seconds{30});
        CPPUNIT_ASSERT(fleet.state(0, 1) == MemberState::Dead && fleet.state(1, 0) == MemberState::Dead);
        CPPUNIT_ASSERT(fleet.state(0, 3) == MemberState::Alive && fleet.state(1, 2) == MemberState::Alive);
        fleet.network().removePartitions();
        fleet.network().runFor(seconds{30});
        fleet.assertAll(MemberState::Alive, fleet.all(), "after the partition");
    }

    void testPacketLossCausesNoDeaths()
    {
        Fleet fleet(12, {0.05, 0.05, base::milliseconds{1}, base::milliseconds{30}});
        fleet.network().runFor(seconds{15});
        for (int i = 0; i < 60; ++i) {
            fleet.network().runFor(seconds{1});
            for (const auto n : fleet.all()) {
                CPPUNIT_ASSERT(fleet.state(0, n) != MemberState::Dead);
            }
        }
    }

    void testPausedRouterRejoinsWithoutFalseDeaths()
    {
        Fleet fleet(8);
        fleet.network().runFor(seconds{10});
        fleet.pause(3);
        fleet.network().runFor(seconds{20});
        CPPUNIT_ASSERT(fleet.state(0, 3) == MemberState::Dead);
        fleet.resume(3);
        fleet.network().runFor(base::milliseconds{300});
        for (const auto n : fleet.all()) {
            CPPUNIT_ASSERT_MESSAGE("after its pause the router declared r" + std::to_string(n) + " dead", fleet.state(3, n) != MemberState::Dead);
        }
        fleet.network().runFor(seconds{10});
        fleet.assertAll(MemberState::Alive, fleet.all(), "after the pause");
    }

    // After a partition a message from a member that was declared dead revives it;
    // it need not refute its death first.
    void testMessageFromDeadMemberRevivesIt()
    {
        const base::TimePoint now{base::hours{1}};
        MemberList list({}, {Fleet::idOf(0), base::FailureDomain("d"), Fleet::endpointOf(0), {1}, 1, 0, MemberState::Alive}, now);
        MemberRecord record{Fleet::idOf(1), base::FailureDomain("d"), Fleet::endpointOf(1), {1}, 5, 0, MemberState::Alive};
        const auto alive = record;
        list.onRecords({&record, 1}, now);
        record.state = MemberState::Dead;
        list.onRecords({&record, 1}, now);
        CPPUNIT_ASSERT(list.stateOf(alive.id) == MemberState::Dead);
        list.onMessage(Probe{1, {alive, {}, {}, {}}}, now);
        CPPUNIT_ASSERT(list.stateOf(alive.id) == MemberState::Alive);
        auto older = alive;
        older.selfVersion = 4;
        list.onRecords({&record, 1}, now);
        CPPUNIT_ASSERT_MESSAGE("a death from before the revival is ignored", list.stateOf(alive.id) == MemberState::Alive);
        list.onMessage(Probe{2, {older, {}, {}, {}}}, now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, list.records().at(1).selfVersion);
    }

    // A suspicion that expired during a pause of this process starts again, since the
    // suspect's refutation may still be unread.
    void testPauseRestartsSuspicionTimeout()
    {
        base::TimePoint now{base::hours{1}};
        MemberList list({}, {Fleet::idOf(0), base::FailureDomain("d"), Fleet::endpointOf(0), {1}, 1, 0, MemberState::Alive}, now);
        MemberRecord record{Fleet::idOf(1), base::FailureDomain("d"), Fleet::endpointOf(1), {1}, 1, 0, MemberState::Suspect};
        list.onRecords({&record, 1}, now);
        list.onTick(now);
        now += seconds{30};
        list.onTick(now);
        CPPUNIT_ASSERT(list.stateOf(Fleet::idOf(1)) == MemberState::Suspect);
        for (int i = 0; i < 60; ++i) {
            now += base::milliseconds{50};
            list.onTick(now);
        }
        CPPUNIT_ASSERT_MESSAGE("the restarted suspicion expires after its usual time", list.stateOf(Fleet::idOf(1)) == MemberState::Dead);
    }

    void testPlannedStop()
    {
        Fleet fleet(8);
        fleet.network().runFor(seconds{10});
        fleet.list(2).leave(fleet.network().now());
        fleet.network().runFor(seconds{5});
        fleet.assertAll(MemberState::Leaving, {2}, "while leaving");
        fleet.list(2).depart(fleet.network().now());
        fleet.performActions(2);
        fleet.network().runFor(seconds{2});
        fleet.assertAll(MemberState::Dead, {2}, "after departing");
    }

    void testRestartWithClockSetBack()
    {
        Fleet fleet(4);
        fleet.network().runFor(seconds{10});
        fleet.kill(1);
        fleet.network().runFor(seconds{10});
        fleet.start(1, 1); // far below its earlier selfVersion
        fleet.network().runFor(seconds{10});
        fleet.assertAll(MemberState::Alive, {1}, "after a restart with a smaller selfVersion");
        CPPUNIT_ASSERT(fleet.list(1).self().selfVersion > 1'001);
    }

    void testMessagesAndConnectionsAreBounded()
    {
        Fleet fleet(60);
        fleet.network().runFor(seconds{30});
        const MemberListOptions options;
        for (const auto n : fleet.all()) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{options.ringProbes + options.randomProbes}, fleet.list(n).probeTargets().size());
        }
        const auto before = fleet.network().messages();
        fleet.network().runFor(seconds{10});
        const auto perNode = static_cast<double>(fleet.network().messages() - before) / 60 / 10;
        CPPUNIT_ASSERT_MESSAGE("messages a second: " + std::to_string(perNode), perNode < 5);
        for (const auto n : fleet.all()) {
            fleet.list(n).setRevision({n + 1});
            fleet.list(n).onMessage(Probe{1, {fleet.list(0).self(), {}, {}, {}}}, fleet.network().now());
            for (const auto &it : fleet.list(n).takeActions()) {
                const auto *message = std::get_if<SendMember>(&it);
                const auto *ack = message != nullptr ? std::get_if<ProbeAck>(&message->message) : nullptr;
                if (ack != nullptr) {
                    CPPUNIT_ASSERT(ack->gossip.updates.size() <= options.maxUpdates + 2);
                    CPPUNIT_ASSERT_EQUAL(std::uint64_t{n + 1}, ack->gossip.revision.value);
                }
            }
        }
    }

    void testRoutersAgreeOnRanking()
    {
        Fleet fleet(12);
        fleet.network().runFor(seconds{10});
        const auto first = fleet.list(0).view()->ranked("duty", base::FailureDomain("d1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, first.size());
        CPPUNIT_ASSERT(first == fleet.list(7).view()->ranked("duty", base::FailureDomain("d1")));
    }

    void testRecordOrder()
    {
        const MemberState states[] = {MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Dead};
        for (std::size_t i = 0; i < std::size(states); ++i) {
            for (std::size_t j = 0; j < std::size(states); ++j) {
                MemberRecord first;
                MemberRecord second;
                first.state = states[i];
                second.state = states[j];
                CPPUNIT_ASSERT_EQUAL(i > j, supersedes(first, second));
                first.revivalCount = 1;
                CPPUNIT_ASSERT(supersedes(first, second) && !supersedes(second, first));
                second.selfVersion = 1;
                CPPUNIT_ASSERT(supersedes(second, first) && !supersedes(first, second));
            }
        }
    }

    void testTableIsBounded()
    {
        MemberListOptions options;
        options.maxMembers = 10;
        const base::TimePoint now{base::hours{1}};
        MemberList list(options, {Fleet::idOf(0), base::FailureDomain("d"), Fleet::endpointOf(0), {1}, 1, 0, MemberState::Alive}, now);
        for (std::uint32_t i = 1; i < 50; ++i) {
            const auto state = i == 3 ? MemberState::Dead : MemberState::Alive;
            MemberRecord record{Fleet::idOf(i), base::FailureDomain("d"), Fleet::endpointOf(i), {1}, 1, 0, MemberState::Alive};
            list.onRecords({&record, 1}, now);
            record.state = state;
            list.onRecords({&record, 1}, now);
            CPPUNIT_ASSERT(list.records().size() <= options.maxMembers + 1);
        }
        const auto records = list.records();
        CPPUNIT_ASSERT_MESSAGE("a dead member is forgotten when the table is full", std::none_of(records.begin(), records.end(), [](const MemberRecord &it) {
                                   return it.id == Fleet::idOf(3);
                               }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberListTest);

} // namespace carawaylatch::membership::testing
