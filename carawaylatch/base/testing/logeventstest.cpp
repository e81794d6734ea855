// Checks that event numbers increase and that docs/EVENTS.md matches the catalogue.
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>

#include "carawaylatch/base/logevents.h"

namespace carawaylatch::base::testing
{

class LogEventsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogEventsTest);
    CPPUNIT_TEST(testNumbersIncrease);
    CPPUNIT_TEST(testPageMatchesCatalogue);
    CPPUNIT_TEST_SUITE_END();

public:
    void testNumbersIncrease()
    {
        int last = 0;
        for (const auto &it : logEventCatalogue()) {
            CPPUNIT_ASSERT_MESSAGE(std::string(it.name), static_cast<int>(it.event) > last);
            CPPUNIT_ASSERT_MESSAGE(std::string(it.name), !it.meaning.empty() && !it.remedy.empty());
            last = static_cast<int>(it.event);
        }
    }

    // To update the page after a change of the catalogue: carawaylatchctl events > docs/EVENTS.md
    void testPageMatchesCatalogue()
    {
        std::ifstream in(CARAWAYLATCH_SOURCE_DIR "/docs/EVENTS.md");
        const std::string page{std::istreambuf_iterator<char>(in), {}};
        CPPUNIT_ASSERT_EQUAL(renderLogEventCatalogue(), page);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogEventsTest);

} // namespace carawaylatch::base::testing
