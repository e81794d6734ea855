// The rules of loans between one lender and one borrower.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "carawaylatch/admission/shareledger.h"

namespace carawaylatch::admission::testing
{

namespace
{

constexpr base::TimePoint Start = base::TimePoint{base::hours{1}};
constexpr base::Duration Term = base::seconds{3};
constexpr base::Duration LongestRequest = base::seconds{30};
const ShareKey Key{base::CustomerId("acme"), Resource::Concurrency};
const base::RouterId LenderName("lender");
const base::RouterId BorrowerName("borrower");
constexpr std::uint32_t OwnQuota = 8; // each router's own quota; a quarter of it is never lent
constexpr std::uint32_t Lendable = 6;

// A lender and a borrower with the same clock; the test delivers the messages.
struct Pair
{
    base::TimePoint now = Start;
    std::unique_ptr<ShareLedger> lender = make(LenderName, 1);
    std::unique_ptr<ShareLedger> borrower = make(BorrowerName, 2);

    [[nodiscard]] std::unique_ptr<ShareLedger> make(const base::RouterId &name, std::uint64_t incarnation) const
    {
        auto ledger = std::make_unique<ShareLedger>(
            ShareLedgerOptions{.router = name, .incarnation = {incarnation}, .fleetSize = 2, .loanTerm = Term, .longestRequest = LongestRequest}, now);
        ledger->setOwnQuota(Key, OwnQuota);
        return ledger;
    }
    DemandReport report()
    {
        return borrower->report(LenderName, now);
    }
    ShareTable answer()
    {
        return lender->answer(report(), now);
    }
    void exchange()
    {
        borrower->apply(answer(), now);
    }
    // Ends the lender's recovery and lends all units that may be lent.
    void lendAll()
    {
        borrower->setUsage(Key, OwnQuota, 100);
        exchange();
        exchange();
        exchange();
        CPPUNIT_ASSERT_EQUAL(Lendable, borrowed());
        CPPUNIT_ASSERT_EQUAL(OwnQuota - Lendable, lender->usable(Key, now));
    }
    // The borrower receives no report, so it stays in recovery and uses only its reserved quota.
    [[nodiscard]] std::uint32_t borrowed() const
    {
        return borrower->usable(Key, now) - (OwnQuota - Lendable);
    }
};

} // namespace

class ShareLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShareLedgerTest);
    CPPUNIT_TEST(testUnitsInFlightStayHeld);
    CPPUNIT_TEST(testSmallerTableNeedsConfirmation);
    CPPUNIT_TEST(testBorrowerStopsBeforeLenderReclaims);
    CPPUNIT_TEST(testStaleTables);
    CPPUNIT_TEST(testRestartedLender);
    CPPUNIT_TEST_SUITE_END();

public:
    void testUnitsInFlightStayHeld()
    {
        Pair pair;
        pair.lendAll();
        pair.borrower->setUsage(Key, 2 + Lendable, 100);
        pair.lender->setUsage(Key, 2, 100); // the lender needs its quota back
        for (std::uint32_t ended = 0; ended <= Lendable; ++ended) {
            pair.borrower->setUsage(Key, 2 + Lendable - ended, 100);
            pair.exchange();
            pair.exchange();
            CPPUNIT_ASSERT_EQUAL(2 + ended, pair.lender->usable(Key, pair.now));
            CPPUNIT_ASSERT_EQUAL(2U, pair.borrower->usable(Key, pair.now));
        }
    }

    void testSmallerTableNeedsConfirmation()
    {
        Pair pair;
        pair.lendAll();
        pair.borrower->setUsage(Key, 0, 100);
        pair.lender->setUsage(Key, 2, 100);
        const ShareTable smaller = pair.answer();
        CPPUNIT_ASSERT(smaller.entries.empty());
        CPPUNIT_ASSERT_EQUAL(2U, pair.lender->usable(Key, pair.now));
        (void)pair.answer(); // a report that does not confirm the table changes nothing
        CPPUNIT_ASSERT_EQUAL(2U, pair.lender->usable(Key, pair.now));
        pair.borrower->apply(smaller, pair.now);
        CPPUNIT_ASSERT_EQUAL(2U, pair.borrower->usable(Key, pair.now));
        (void)pair.answer();
        CPPUNIT_ASSERT_EQUAL(OwnQuota, pair.lender->usable(Key, pair.now));
    }

    // A table that arrives late is valid only for the rest of the loan term, which
    // starts when the report is sent; the lender waits for the term and the longest
    // request.
    void testBorrowerStopsBeforeLenderReclaims()
    {
        Pair pair;
        pair.lendAll();
        const DemandReport asked = pair.report();
        pair.now += Term - base::milliseconds{1};
        const ShareTable late = pair.lender->answer(asked, pair.now);
        const auto lentAt = pair.now;
        pair.borrower->apply(late, pair.now);
        CPPUNIT_ASSERT_EQUAL(Lendable, pair.borrowed());
        pair.now += base::milliseconds{1};
        CPPUNIT_ASSERT_EQUAL(0U, pair.borrowed());
        pair.now = lentAt + Term + LongestRequest;
        CPPUNIT_ASSERT_EQUAL(2U, pair.lender->usable(Key, pair.now));
        pair.now += base::seconds{1}; // exceeds the margin for clock drift
        CPPUNIT_ASSERT_EQUAL(OwnQuota, pair.lender->usable(Key, pair.now));
    }

    void testStaleTables()
    {
        Pair pair;
        pair.lendAll();
        const ShareTable older = pair.answer();
        pair.lender->setUsage(Key, 2, 100);
        pair.exchange(); // the new table lends nothing
        pair.borrower->apply(older, pair.now);
        CPPUNIT_ASSERT_EQUAL(0U, pair.borrowed());

        Pair second;
        second.lendAll();
        const ShareTable ofFormerLender = second.answer();
        second.lender = second.make(LenderName, 3);
        second.exchange();
        second.borrower->apply(ofFormerLender, second.now);
        CPPUNIT_ASSERT_EQUAL(0U, second.borrowed());

        Pair third;
        third.lendAll();
        ShareTable toFormerBorrower = third.answer();
        third.borrower = third.make(BorrowerName, 3);
        toFormerBorrower.reportSequence = third.report().sequence; // sequence numbers restart
        third.borrower->apply(toFormerBorrower, third.now);
        CPPUNIT_ASSERT_EQUAL(0U, third.borrowed());
    }

    // A restarted lender has no record of its loans. It uses only the reserved quota
    // until the borrower, after a table of the new incarnation, reports what it holds.
    void testRestartedLender()
    {
        Pair pair;
        pair.lendAll();
        pair.borrower->setUsage(Key, 2 + Lendable, 100);
        pair.lender = pair.make(LenderName, 3);
        pair.lender->setUsage(Key, 2, 100);
        CPPUNIT_ASSERT_EQUAL(2U, pair.lender->usable(Key, pair.now));
        pair.exchange();
        CPPUNIT_ASSERT_EQUAL(2U, pair.lender->usable(Key, pair.now));
        pair.borrower->setUsage(Key, 2 + Lendable - 1, 100);
        (void)pair.answer();
        CPPUNIT_ASSERT_EQUAL(3U, pair.lender->usable(Key, pair.now)); // the borrower still has five in flight

        Pair alone;
        alone.now += Term + LongestRequest + base::seconds{1};
        CPPUNIT_ASSERT_EQUAL(OwnQuota, alone.lender->usable(Key, alone.now)); // no peer reports: recovery ends by time
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShareLedgerTest);

} // namespace carawaylatch::admission::testing
