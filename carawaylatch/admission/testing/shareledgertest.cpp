// The rules of loans, one by one, between a lender and a borrower.
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
constexpr std::uint32_t OwnQuota = 8; // of each; a fourth is never lent
constexpr std::uint32_t Lendable = 6;

// Both routers at one moment; the test carries the messages.
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
    // Two exchanges end the recovery of the lender and lend all that may be lent.
    void lendAll()
    {
        borrower->setUsage(Key, OwnQuota, 100);
        exchange();
        exchange();
        exchange();
        CPPUNIT_ASSERT_EQUAL(Lendable, borrowed());
        CPPUNIT_ASSERT_EQUAL(OwnQuota - Lendable, lender->usable(Key, now));
    }
    // The borrower hears no report, so it recovers and uses its kept part only.
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
        pair.lender->setUsage(Key, 2, 100); // needs its part back
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
        (void)pair.answer(); // a report that does not confirm it changes nothing
        CPPUNIT_ASSERT_EQUAL(2U, pair.lender->usable(Key, pair.now));
        pair.borrower->apply(smaller, pair.now);
        CPPUNIT_ASSERT_EQUAL(2U, pair.borrower->usable(Key, pair.now));
        (void)pair.answer();
        CPPUNIT_ASSERT_EQUAL(OwnQuota, pair.lender->usable(Key, pair.now));
    }

    // A table that arrives late is good only for what is left of the term since
    // its report; the lender waits for the term and the longest request.
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
        pair.now += base::seconds{1}; // past the margin for clocks
        CPPUNIT_ASSERT_EQUAL(OwnQuota, pair.lender->usable(Key, pair.now));
    }

    void testStaleTables()
    {
        Pair pair;
        pair.lendAll();
        const ShareTable older = pair.answer();
        pair.lender->setUsage(Key, 2, 100);
        pair.exchange(); // lends nothing
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
        toFormerBorrower.reportSequence = third.report().sequence; // sequences start anew
        third.borrower->apply(toFormerBorrower, third.now);
        CPPUNIT_ASSERT_EQUAL(0U, third.borrowed());
    }

    // A lender that forgot its loans uses the kept part until the borrower told it
    // what it holds, after a table of the new life.
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
        CPPUNIT_ASSERT_EQUAL(3U, pair.lender->usable(Key, pair.now)); // five are still in flight there

        Pair alone;
        alone.now += Term + LongestRequest + base::seconds{1};
        CPPUNIT_ASSERT_EQUAL(OwnQuota, alone.lender->usable(Key, alone.now)); // nobody answers: by time
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShareLedgerTest);

} // namespace carawaylatch::admission::testing
