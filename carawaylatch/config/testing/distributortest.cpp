// Distribution in virtual time with lost and duplicated messages, network
// partitions, platform outages and restarts.
//
// Invariants at every step: a router's revision never decreases, and its rows equal
// the committed configuration of that revision. Heartbeats to random routers, with
// a reply, replace those of the membership protocol.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "carawaylatch/config/configstore.h"
#include "carawaylatch/config/distributor.h"
#include "carawaylatch/config/testing/faultyplatform.h"
#include "testing/seed.h"
#include "testing/virtualnetwork.h"

namespace carawaylatch::config::testing
{

using base::milliseconds;
using base::seconds;

namespace
{

constexpr std::uint32_t Domains = 3;
constexpr std::size_t KeptEdits = 8;

base::RouterId idOf(std::uint32_t n)
{
    return base::RouterId("r" + std::to_string(n));
}

class Fleet
{
public:
    explicit Fleet(std::uint32_t size, ::carawaylatch::testing::VirtualNetwork::Faults faults = {})
        : m_network(::carawaylatch::testing::seed())
        , m_random(::carawaylatch::testing::seed())
        , m_size(size)
    {
        m_network.setFaults(faults);
        for (std::uint32_t i = 0; i < size; ++i) {
            m_members.push_back({idOf(i), base::FailureDomain("d" + std::to_string(i % Domains))});
            m_nodes.push_back(nullptr);
        }
        for (std::uint32_t i = 0; i < size; ++i) {
            restart(i);
            heartbeat(i);
        }
    }

    void restart(std::uint32_t n)
    {
        m_nodes[n] = std::make_unique<Distributor>(options(n));
        m_lastRevisions[n] = {};
        m_nodes[n]->onMembers(m_members);
        executeActions(n);
    }
    // Commits an operator's edit; all watchers that can reach the platform read it.
    void commitEdit(std::uint64_t id, const std::string &pool)
    {
        EditCommit commit(poolEdit(id, pool, id), {});
        m_platform.executeAll(commit);
        CPPUNIT_ASSERT(commit.outcome().has_value());
        m_history[commit.outcome().value().revision] = commit.outcome().value().rows;
        for (std::uint32_t n = 0; n < m_size; ++n) {
            if (m_nodes[n]->isWatcher() && !m_disconnectedDomains.contains(n % Domains)) {
                readStored(n);
            }
        }
    }
    void readStored(std::uint32_t n)
    {
        const auto stored = ConfigStore(m_platform.memory).load();
        m_nodes[n]->onStoredConfig(stored.value().head, stored.value().rows);
        executeActions(n);
    }
    void disconnectPlatform(std::uint32_t domain)
    {
        m_disconnectedDomains.insert(domain);
    }
    ::carawaylatch::testing::VirtualNetwork &network()
    {
        return m_network;
    }
    Distributor &node(std::uint32_t n)
    {
        return *m_nodes[n];
    }
    std::size_t countAt(std::uint64_t revision) const
    {
        return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto &it) {
            return it->revision().value == revision;
        }));
    }
    std::uint64_t updateCount() const
    {
        return m_updateCount;
    }

private:
    static DistributorOptions options(std::uint32_t n)
    {
        DistributorOptions options;
        options.self = idOf(n);
        options.domain = base::FailureDomain("d" + std::to_string(n % Domains));
        options.maxEdits = KeptEdits;
        options.fanOut = 2;
        return options;
    }
    static std::uint32_t numberOf(const base::RouterId &id)
    {
        return static_cast<std::uint32_t>(std::stoul(id.value().substr(1)));
    }
    void heartbeat(std::uint32_t n)
    {
        const auto to = static_cast<std::uint32_t>(m_random.below(m_size));
        const auto revision = m_nodes[n]->revision();
        m_network.send(n % Domains, to % Domains, [this, n, to, revision] {
            m_nodes[to]->onPeerRevision(idOf(n), revision, m_network.now());
            executeActions(to);
            m_network.send(to % Domains, n % Domains, [this, n, to, replyRevision = m_nodes[to]->revision()] {
                m_nodes[n]->onPeerRevision(idOf(to), replyRevision, m_network.now());
                executeActions(n);
            });
        });
        m_network.at(m_network.now() + milliseconds{500}, [this, n] {
            heartbeat(n);
        });
    }
    void executeActions(std::uint32_t n)
    {
        for (auto &it : m_nodes[n]->takeActions()) {
            if (const auto *update = std::get_if<SendUpdate>(&it)) {
                ++m_updateCount;
                m_network.send(n % Domains, numberOf(update->to) % Domains, [this, n, to = numberOf(update->to), sent = update->update] {
                    m_nodes[to]->onUpdate(idOf(n), sent, m_network.now());
                    executeActions(to);
                });
            } else if (const auto *request = std::get_if<SendRequest>(&it)) {
                m_network.send(n % Domains, numberOf(request->to) % Domains, [this, n, to = numberOf(request->to), sent = request->request] {
                    m_nodes[to]->onRequest(idOf(n), sent);
                    executeActions(to);
                });
            } else if (const auto *inForce = std::get_if<ConfigInForce>(&it)) {
                CPPUNIT_ASSERT_MESSAGE("a revision was repeated or decreased", inForce->revision > m_lastRevisions[n]);
                m_lastRevisions[n] = inForce->revision;
                CPPUNIT_ASSERT_MESSAGE("the rows differ from the committed ones", *inForce->rows == m_history.at(inForce->revision));
                CPPUNIT_ASSERT(inForce->tables != nullptr && inForce->tables->revision == inForce->revision);
            }
        }
    }

    ::carawaylatch::testing::VirtualNetwork m_network;
    base::Random m_random;
    FaultyPlatform m_platform;
    std::uint32_t m_size;
    std::vector<DistributionPeer> m_members;
    std::vector<std::unique_ptr<Distributor>> m_nodes;
    std::map<std::uint32_t, base::Revision> m_lastRevisions;
    std::map<base::Revision, RowSet> m_history;
    std::set<std::uint32_t> m_disconnectedDomains;
    std::uint64_t m_updateCount = 0;
};

} // namespace

class DistributorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DistributorTest);
    CPPUNIT_TEST(testEditReachesAllRoutersFromFewWatchers);
    CPPUNIT_TEST(testLostAndDuplicatedMessages);
    CPPUNIT_TEST(testDomainWithoutPlatform);
    CPPUNIT_TEST(testPartitionAndRecovery);
    CPPUNIT_TEST(testRestartedRouterGetsFullSnapshot);
    CPPUNIT_TEST(testStaleUpdatesAndGapsAreNotApplied);
    CPPUNIT_TEST(testUnreadableRevisionIsReportedWithoutTables);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEditReachesAllRoutersFromFewWatchers()
    {
        Fleet fleet(30);
        int watchers = 0;
        for (std::uint32_t n = 0; n < 30; ++n) {
            watchers += fleet.node(n).isWatcher() ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(6, watchers);
        fleet.commitEdit(1, "a");
        fleet.network().runFor(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, fleet.countAt(1));
        CPPUNIT_ASSERT_MESSAGE("too many updates were sent for one edit", fleet.updateCount() <= 40);
    }

    void testLostAndDuplicatedMessages()
    {
        Fleet fleet(30, {0.3, 0.2, milliseconds{1}, milliseconds{80}});
        for (std::uint64_t i = 1; i <= 40; ++i) {
            fleet.commitEdit(i, std::string(1, static_cast<char>('a' + i % 3)));
            fleet.network().runFor(milliseconds{100});
        }
        // Each heartbeat round of 500 ms repairs a router with a probability of about 1/3.
        fleet.network().runFor(seconds{15});
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, fleet.countAt(40));
    }

    void testDomainWithoutPlatform()
    {
        Fleet fleet(12);
        fleet.disconnectPlatform(1);
        fleet.commitEdit(1, "a");
        fleet.network().runFor(seconds{3});
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, fleet.countAt(1));
    }

    void testPartitionAndRecovery()
    {
        Fleet fleet(12);
        fleet.commitEdit(1, "a");
        fleet.network().runFor(seconds{1});
        fleet.disconnectPlatform(2);
        fleet.network().partition(2, 0);
        fleet.network().partition(2, 1);
        for (std::uint64_t i = 2; i <= 5 + KeptEdits; ++i) {
            fleet.commitEdit(i, "b");
            fleet.network().runFor(milliseconds{200});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.countAt(1));
        fleet.network().removePartitions();
        fleet.network().runFor(seconds{5});
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, fleet.countAt(5 + KeptEdits));
    }

    void testRestartedRouterGetsFullSnapshot()
    {
        Fleet fleet(12);
        for (std::uint64_t i = 1; i <= 3 * KeptEdits; ++i) {
            fleet.commitEdit(i, "a");
            fleet.network().runFor(milliseconds{50});
        }
        fleet.restart(4);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.node(4).revision().value);
        fleet.network().runFor(seconds{4});
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, fleet.countAt(3 * KeptEdits));
    }

    void testStaleUpdatesAndGapsAreNotApplied()
    {
        Distributor distributor({base::RouterId("r"), base::FailureDomain("d"), 2, 8, 8, milliseconds{300}});
        const base::TimePoint now{base::hours{1}};
        auto third = poolEdit(3, "a", 3);
        third.revision = {3};
        distributor.onUpdate(base::RouterId("p"), {{third}, nullptr}, now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, distributor.revision().value);
        const auto actions = distributor.takeActions();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, std::get<SendRequest>(actions[0]).request.after.value);
        auto rows = std::make_shared<RowSet>();
        rows->revision = {7};
        distributor.onUpdate(base::RouterId("p"), {{}, rows}, now);
        auto older = std::make_shared<RowSet>();
        older->revision = {6};
        distributor.onUpdate(base::RouterId("p"), {{}, older}, now);
        distributor.onUpdate(base::RouterId("p"), {{third}, nullptr}, now);
        distributor.onStoredConfig({{6}, {}, {6}, {}, {}}, *older);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, distributor.revision().value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, distributor.takeActions().size());
    }

    void testUnreadableRevisionIsReportedWithoutTables()
    {
        Distributor distributor({base::RouterId("r"), base::FailureDomain("d"), 2, 8, 8, milliseconds{300}});
        auto rows = std::make_shared<RowSet>();
        rows->put({{"pool", "p"}, {}, {{"kind", "of a newer version", 0}}, 0});
        rows->revision = {4};
        distributor.onUpdate(base::RouterId("p"), {{}, rows}, base::TimePoint{base::hours{1}});
        const auto actions = distributor.takeActions();
        const auto &inForce = std::get<ConfigInForce>(actions.at(0));
        CPPUNIT_ASSERT(inForce.tables == nullptr && inForce.problem.find("[pool p] key 'kind'") != std::string::npos);
        CPPUNIT_ASSERT(*distributor.rows() == *rows);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DistributorTest);

} // namespace carawaylatch::config::testing
