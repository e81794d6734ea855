// Runs the CppUnit tests of one module.
//
//   test-MODULE [--known-red FILE] [--only SUBSTRING] [--seed N]
//
// A failure of a test that is listed in the known-red file (first word of a line that
// starts an entry) is printed as KNOWN-RED and counted as skipped; any other failure
// fails the run. A test whose entry has "apart" as its second word may terminate the
// process, so it is not run but printed and counted as skipped.
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
    std::set<std::string> separate; // subset that may terminate the process; check.sh runs each in a separate process
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
        std::string modifier;
        words >> name >> modifier;
        known.names.insert(name);
        if (modifier == "apart") {
            known.separate.insert(name);
        }
    }
    return known;
}

// Runs the tests below `test` except those in `separate`; returns how many were skipped.
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
    // glog prints local time. Setting the time zone before any thread starts keeps the
    // C library from modifying its time zone data while threads log.
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
        std::cerr << "no test name contains the text given with --only; run without --only to list all tests\n";
        return EXIT_FAILURE;
    }
    std::cout << "seed " << carawaylatch::testing::seed() << '\n';
    return runTests(test, knownRed);
}
