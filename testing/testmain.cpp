// Runner of one module's CppUnit tests.
//
//   test-MODULE [--known-red FILE] [--only SUBSTRING] [--seed N]
//
// Failures listed in the known-red file (first word of an entry line) are
// printed and passed over; any other failure fails the run. A listed test that
// passes is printed too, so that its entry can go.
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
    int passedOver = 0;
    for (const auto *it : collector.failures()) {
        const bool isKnown = knownRed.contains(it->failedTestName());
        passedOver += isKnown ? 1 : 0;
        failed += isKnown ? 0 : 1;
        std::cout << (isKnown ? "KNOWN-RED " : "FAILED ") << it->failedTestName() << '\n';
    }
    const int passed = collector.runTests() - failed - passedOver;
    std::cout << passed << " passed, " << failed << " failed";
    if (passedOver > 0) {
        std::cout << ", " << passedOver << " skipped";
    }
    std::cout << std::endl;
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

CppUnit::Test *findTest(CppUnit::Test *test, std::string_view part)
{
    if (test->getName().find(part) != std::string::npos) {
        return test;
    }
    for (int i = 0; i < test->getChildTestCount(); ++i) {
        if (auto *found = findTest(test->getChildTestAt(i), part)) {
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
        std::cerr << "no test has that name; run without --only to see all names\n";
        return EXIT_FAILURE;
    }
    std::cout << "seed " << carawaylatch::testing::seed() << '\n';
    return runTests(test, knownRed);
}
