// Runs the CppUnit tests of one module.
//
//   test-MODULE [--known-red FILE] [--only SUBSTRING] [--seed N]
//
// A failure of a test that is listed in the known-red file (first word of a line that
// starts an entry) is printed as KNOWN-RED and counted as skipped; any other failure
// fails the run.
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
#include <string>
#include <string_view>

#include "testing/seed.h"

namespace
{

std::set<std::string> readKnownRed(const std::string &path)
{
    std::set<std::string> names;
    std::ifstream in(path);
    std::string line;
    while (std::getline(in, line)) {
        if (!line.empty() && line.front() != '#' && line.front() != ' ') {
            names.insert(line.substr(0, line.find(' ')));
        }
    }
    return names;
}

int runTests(CppUnit::Test *test, const std::set<std::string> &knownRed)
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    test->run(&result);

    CppUnit::TextOutputter(&collector, std::cerr).write();
    int failed = 0;
    int skipped = 0;
    for (const auto *it : collector.failures()) {
        const bool isKnown = knownRed.contains(it->failedTestName());
        skipped += isKnown ? 1 : 0;
        failed += isKnown ? 0 : 1;
        std::cout << (isKnown ? "KNOWN-RED " : "FAILED ") << it->failedTestName() << '\n';
    }
    const int passed = collector.runTests() - failed - skipped;
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
    std::set<std::string> knownRed;
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
