// Runner of one module's CppUnit tests.
//
//   test-MODULE [--known-red FILE] [--only SUBSTRING] [--seed N]
//
// Failures listed in the known-red file (first word of an entry line) are
// printed and passed over; any other failure fails the run. A listed test that
// passes is printed too, so that its entry can go. An entry whose second word is
// "apart" can end the process: it is left out here and printed as such.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TextOutputter.h>

#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <string_view>

#include "testing/seed.h"

namespace
{

struct KnownRed
{
    std::set<std::string> names;
    std::set<std::string> separate; // of these, the ones that can end the process; check.sh runs them in one of their own
};

KnownRed readKnownRed(const std::string &path)
{
    KnownRed known;
    std::ifstream in(path);
    std::string line;
    while (std::getline(in, line)) {
        if (line.empty() || line.front() == '#' || line.front() == ' ') {
            continue;
        }
        std::istringstream words(line);
        std::string name;
        std::string mark;
        words >> name >> mark;
        known.names.insert(name);
        if (mark == "apart") {
            known.separate.insert(name);
        }
    }
    return known;
}

// Runs the tests below `test` without those of `apart`; returns how many were left out.
int runExcluding(const std::set<std::string> &separate, CppUnit::Test &test, CppUnit::TestResult &result)
{
    if (separate.contains(test.getName())) {
        std::cout << "KNOWN-RED " << test.getName() << ", run apart\n";
        return 1;
    }
    if (test.getChildTestCount() == 0) {
        test.run(&result);
        return 0;
    }
    int skipped = 0;
    for (int i = 0; i < test.getChildTestCount(); ++i) {
        skipped += runExcluding(separate, *test.getChildTestAt(i), result);
    }
    return skipped;
}

int runTests(CppUnit::Test *test, const KnownRed &knownRed)
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    int skipped = runExcluding(knownRed.separate, *test, result);

    CppUnit::TextOutputter(&collector, std::cerr).write();
    int failed = 0;
    int failedKnown = 0;
    for (const auto *it : collector.failures()) {
        const bool isKnown = knownRed.names.contains(it->failedTestName());
        failedKnown += isKnown ? 1 : 0;
        failed += isKnown ? 0 : 1;
        std::cout << (isKnown ? "KNOWN-RED " : "FAILED ") << it->failedTestName() << '\n';
    }
    const int passed = collector.runTests() - failed - failedKnown;
    skipped += failedKnown;
    std::cout << passed << " passed, " << failed << " failed";
    if (skipped > 0) {
        std::cout << ", " << skipped << " skipped";
    }
    std::cout << std::endl;
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

CppUnit::Test *findTest(CppUnit::Test *test, std::string_view substring)
{
    if (test->getName().find(substring) != std::string::npos) {
        return test;
    }
    for (int i = 0; i < test->getChildTestCount(); ++i) {
        if (auto *found = findTest(test->getChildTestAt(i), substring)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace

int main(int argc, char **argv)
{
    // Log lines carry local time. With a zone set before any thread starts, the C
    // library never replaces its zone while threads log.
    setenv("TZ", "UTC", 1);
    tzset();
    KnownRed knownRed;
    const std::unique_ptr<CppUnit::Test> allTests(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    CppUnit::Test *test = allTests.get();
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string_view flag = argv[i];
        if (flag == "--known-red") {
            knownRed = readKnownRed(argv[i + 1]);
        } else if (flag == "--only") {
            test = findTest(test, argv[i + 1]);
        } else if (flag == "--seed") {
            carawaylatch::testing::setSeed(std::strtoull(argv[i + 1], nullptr, 10));
        }
    }
    if (test == nullptr) {
        std::cerr << "no test has that name; run without --only to see all names\n";
        return EXIT_FAILURE;
    }
    std::cout << "seed " << carawaylatch::testing::seed() << '\n';
    return runTests(test, knownRed);
}
