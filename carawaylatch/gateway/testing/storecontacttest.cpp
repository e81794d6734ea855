// Tests until when a router was certainly told of all changes, by its own calls and by readers.
#include <cppunit/extensions/HelperMacros.h>

#include "carawaylatch/gateway/storecontact.h"

namespace carawaylatch::gateway::testing
{

namespace
{

constexpr auto Kind = ObjectKind::Upstreams;
constexpr auto Other = ObjectKind::Tables;
constexpr base::Duration Wait = base::milliseconds{1200};

base::Duration at(int milliseconds)
{
    return base::seconds{1000} + base::milliseconds{milliseconds};
}

} // namespace

class StoreContactTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreContactTest);
    CPPUNIT_TEST(testCallsOfOtherKinds);
    CPPUNIT_TEST(testOverdueWatch);
    CPPUNIT_TEST(testWatchesBesideAFailedOne);
    CPPUNIT_TEST(testReaders);
    CPPUNIT_TEST_SUITE_END();

    StoreContact m_contact;

    void expectTold(int milliseconds, int now)
    {
        const auto told = m_contact.toldUntil(Kind, at(now));
        CPPUNIT_ASSERT(told.has_value());
        CPPUNIT_ASSERT_EQUAL(base::toMilliseconds(at(milliseconds)), base::toMilliseconds(*told));
    }

public:
    void setUp() override
    {
        CPPUNIT_ASSERT(!m_contact.toldUntil(Kind, at(0)));
        m_contact.onListed(Kind, at(0));
        m_contact.onListed(Other, at(0));
        m_contact.onWatchSent(Kind, at(10), 3 * Wait);
        m_contact.onWatchSent(Other, at(10), Wait);
    }

    // Any answer counts for the watches in flight, and for no others.
    void testCallsOfOtherKinds()
    {
        expectTold(0, 20);
        m_contact.onAnswered(at(300));
        expectTold(300, 310);
        m_contact.onWatchAnswered(Other, at(400));
        expectTold(400, 410);
        m_contact.onWatchFailed(Kind, at(500));
        m_contact.onAnswered(at(600));
        expectTold(400, 610);
        m_contact.onWatchSent(Kind, at(700), 3 * Wait);
        expectTold(400, 710);
        m_contact.onAnswered(at(800));
        expectTold(800, 810);
    }

    // The watch with the shortest wait shows a silence in which the others may have been lost as well. Calls on other connections that
    // were answered after the silence counted for these, and a reader passed on what it knew as new.
    void testOverdueWatch()
    {
        m_contact.onAnswered(at(1400));
        CPPUNIT_ASSERT(!m_contact.isSilent(at(1500)));
        expectTold(1400, 1500);
        CPPUNIT_ASSERT(m_contact.isSilent(at(1520)));
        expectTold(10, 1520);
        CPPUNIT_ASSERT(m_contact.doubtfulWatches().empty());
        m_contact.onWatchAnswered(Other, at(1600));
        CPPUNIT_ASSERT(!m_contact.isSilent(at(1610)));
        expectTold(1600, 1610); // it was late, not lost
    }

    void testWatchesBesideAFailedOne()
    {
        m_contact.onAnswered(at(1400));
        m_contact.onWatchFailed(Other, at(2210));
        m_contact.onAnswered(at(2300));
        expectTold(10, 2310);
        CPPUNIT_ASSERT(m_contact.doubtfulWatches() == std::vector<ObjectKind>{Kind});
        m_contact.onWatchFailed(Kind, at(2320)); // interrupted
        m_contact.onWatchSent(Kind, at(2330), Wait);
        CPPUNIT_ASSERT(m_contact.doubtfulWatches().empty());
        m_contact.onAnswered(at(2400));
        expectTold(2400, 2410);
        m_contact.onWatchSent(Other, at(2420), Wait);
        m_contact.onWatchFailed(Other, at(2430)); // refused at once, which says nothing about the others
        CPPUNIT_ASSERT(m_contact.doubtfulWatches().empty());
    }

    // What readers tell counts for this router alone, and is taken back by a reader that doubts it.
    void testReaders()
    {
        m_contact.onWatchFailed(Kind, at(100));
        m_contact.onReaderTold(Kind, at(500));
        m_contact.onReaderTold(Kind, at(450));
        expectTold(0, 600);
        CPPUNIT_ASSERT(m_contact.knownUntil(Kind, at(600)) == at(500));
        m_contact.onReaderDoubted(Kind, at(470));
        CPPUNIT_ASSERT(m_contact.knownUntil(Kind, at(600)) == at(470));
        m_contact.onWatchSent(Kind, at(600), Wait);
        m_contact.onWatchAnswered(Kind, at(700));
        CPPUNIT_ASSERT(m_contact.knownUntil(Kind, at(710)) == at(700));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StoreContactTest);

} // namespace carawaylatch::gateway::testing
