// Explores all interleavings of requests, pending updates, faults, restarts and
// pruning.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "carawaylatch/orders/testing/ordermodel.h"

namespace carawaylatch::orders::testing
{

namespace
{

constexpr std::size_t MaxDepth = 40; // longer than any path of the models below

struct ModelCase
{
    const char *name;
    std::vector<int> routers;
    ModelLimits limits;
};

const ModelCase ModelCases[] = {
    {"two routers, three faults, a restart", {0, 1}, {3, 1, 0, 0, false}},
    {"one router, duplicates, three faults, a restart", {0, 0}, {3, 1, 0, 0, false}},
    {"third request at the first router, two faults", {0, 1, 0}, {2, 0, 0, 0, false}},
    {"third request at the first router, a fault and a restart", {0, 1, 0}, {1, 1, 0, 0, false}},
    {"third request at the second router, two faults", {0, 1, 1}, {2, 0, 0, 0, false}},
    {"four requests, a fault", {0, 1, 0, 1}, {1, 0, 0, 0, false}},
    {"pruning, two faults, a restart", {0, 1}, {2, 1, 1, 0, false}},
    {"epoch write, two faults, a restart", {0, 1}, {2, 1, 0, 1, false}},
    {"third request, epoch write, a fault", {0, 1, 1}, {1, 0, 0, 1, false}},
    {"wrong liveness, two faults, a restart", {0, 1}, {2, 1, 0, 0, true}},
};

} // namespace

class OrderExplorerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderExplorerTest);
    CPPUNIT_TEST(testAllInterleavings);
    CPPUNIT_TEST_SUITE_END();

public:
    void testAllInterleavings()
    {
        for (const ModelCase &it : ModelCases) {
            const auto result = carawaylatch::testing::explore(OrderModel(it.routers, it.limits), MaxDepth);
            std::cout << it.name << ": " << result.states << " states, depth " << result.depth << (result.isComplete ? ", complete" : ", cut off") << '\n';
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string(), result.violation);
            CPPUNIT_ASSERT_MESSAGE(it.name, result.isComplete);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderExplorerTest);

} // namespace carawaylatch::orders::testing
