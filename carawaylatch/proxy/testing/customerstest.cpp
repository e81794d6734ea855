// Cache scopes against a model: state carries its maker and the configuration under which it was made, and each
// configuration in turn is in force at routers that have it, have the one before, or have just started.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/customers.h"
#include "carawaylatch/proxy/kvtransfer.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

namespace
{

enum class Listing {
    Absent,
    Sharing,
    Isolated,
};

using Configuration = std::vector<Listing>; // of customers "c0", "c1", ...

std::string nameOf(std::size_t customer)
{
    return "c" + std::to_string(customer);
}

std::string keyOf(std::size_t customer)
{
    return "key" + std::to_string(customer);
}

// As a router makes them that has read nothing but this configuration, whatever the order of its customers.
Customers customersOf(const Configuration &configuration, base::Random &random)
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < configuration.size(); ++i) {
        order.insert(order.begin() + static_cast<std::ptrdiff_t>(random.below(order.size() + 1)), i);
    }
    Customers out;
    for (const std::size_t i : order) {
        if (configuration[i] != Listing::Absent) {
            out.add({base::CustomerId(nameOf(i)), std::nullopt, configuration[i] == Listing::Isolated}, std::vector<std::string>{keyOf(i)});
        }
    }
    return out;
}

Configuration change(Configuration from, base::Random &random)
{
    const std::size_t count = random.below(3);
    for (std::size_t i = 0; i < count; ++i) {
        from[random.below(from.size())] = static_cast<Listing>(random.below(3));
    }
    return from;
}

constexpr std::size_t Nobody = ~std::size_t{0}; // makes and uses state of requests of no customer

struct Maker
{
    std::size_t customer;
    Configuration under;

    auto operator<=>(const Maker &) const = default;
};

// What the rule allows: a customer's own state, and that of another if both were listed as not isolated when it was
// made and are now.
bool mayUse(std::size_t user, const Configuration &now, const Maker &maker)
{
    if (user == Nobody || maker.customer == Nobody || user == maker.customer) {
        return user == maker.customer;
    }
    return now[user] == Listing::Sharing && now[maker.customer] == Listing::Sharing && maker.under[maker.customer] == Listing::Sharing;
}

} // namespace

class CustomersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CustomersTest);
    CPPUNIT_TEST(testStateIsSharedOnlyByCustomersThatShareThenAndNow);
    CPPUNIT_TEST(testScopeStaysWhileTheSameCustomersShare);
    CPPUNIT_TEST(testScopeOfARequestAdmittedBefore);
    CPPUNIT_TEST(testNamesOfScopes);
    CPPUNIT_TEST(testKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    void testStateIsSharedOnlyByCustomersThatShareThenAndNow()
    {
        constexpr std::size_t Count = 4;
        base::Random random(carawaylatch::testing::seed());
        int shared = 0;
        for (int run = 0; run < 200; ++run) {
            std::map<std::uint64_t, std::set<Maker>> state; // in engines and stores, which keep all
            std::vector<Configuration> history{Configuration(Count, Listing::Sharing)};
            for (int step = 0; step < 12; ++step) {
                const bool goesBack = random.below(3) == 0;
                history.push_back(goesBack ? history[random.below(history.size())] : change(history.back(), random));
                for (int request = 0; request < 24; ++request) {
                    const Configuration &inForce = history[history.size() - 1 - random.below(2)];
                    const Customers customers = customersOf(inForce, random);
                    const std::size_t who = random.below(Count + 1);
                    const std::size_t user = who == Count ? Nobody : who;
                    const Customer *customer = user == Nobody ? nullptr : customers.find(keyOf(user));
                    if (user != Nobody && customer == nullptr) {
                        continue; // its key is refused
                    }
                    auto &makers = state[customers.cacheScope(customer, keyOf(who))];
                    for (const Maker &maker : makers) {
                        CPPUNIT_ASSERT(mayUse(user, inForce, maker));
                        shared += user != maker.customer ? 1 : 0;
                    }
                    makers.insert({user, inForce});
                }
            }
        }
        CPPUNIT_ASSERT(shared > 1000);
    }

    // Changes of isolated customers and of keys are no reason to read shared prompts again.
    void testScopeStaysWhileTheSameCustomersShare()
    {
        base::Random random(carawaylatch::testing::seed());
        const Configuration before{Listing::Sharing, Listing::Sharing, Listing::Isolated, Listing::Absent};
        const Customers first = customersOf(before, random);
        const std::uint64_t scope = first.cacheScope(first.find("key0"), "key0");
        for (const Listing third : {Listing::Absent, Listing::Isolated}) {
            for (const Listing fourth : {Listing::Absent, Listing::Isolated}) {
                Customers next = customersOf({Listing::Sharing, Listing::Sharing, third, fourth}, random);
                CPPUNIT_ASSERT_EQUAL(scope, next.cacheScope(next.find("key0"), "key0"));
                CPPUNIT_ASSERT_EQUAL(scope, next.cacheScope(next.find("key1"), "key1"));
            }
        }
        Customers moreKeys;
        moreKeys.add({base::CustomerId("c0"), 1, false}, std::vector<std::string>{"new", "key0"});
        moreKeys.add({base::CustomerId("c1"), 2, false}, {});
        CPPUNIT_ASSERT_EQUAL(scope, moreKeys.cacheScope(moreKeys.find("new"), "new"));
    }

    void testScopeOfARequestAdmittedBefore()
    {
        base::Random random(carawaylatch::testing::seed());
        const Customers sharing = customersOf({Listing::Sharing, Listing::Sharing}, random);
        const Customers isolated = customersOf({Listing::Isolated, Listing::Sharing}, random);
        const Customers removed = customersOf({Listing::Absent, Listing::Sharing}, random);
        Customers moved;
        moved.add({base::CustomerId("c1"), std::nullopt, false}, std::vector<std::string>{"key0", "key1"});
        const std::uint64_t own = isolated.cacheScope(isolated.find("key0"), "key0");
        CPPUNIT_ASSERT(own != sharing.cacheScope(sharing.find("key0"), "key0"));
        CPPUNIT_ASSERT_EQUAL(own, isolated.cacheScope(sharing.find("key0"), "key0"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("its prompt was sent as an isolated customer's", own, sharing.cacheScope(isolated.find("key0"), "key0"));
        CPPUNIT_ASSERT_EQUAL(own, removed.cacheScope(sharing.find("key0"), "key0"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the key is another customer's now", own, moved.cacheScope(sharing.find("key0"), "key0"));
    }

    void testNamesOfScopes()
    {
        Customers customers;
        const std::vector<std::string> names{"", "1", "a", "a ", "ab", "b", "0", "s"};
        for (const std::string &name : names) {
            customers.add({base::CustomerId(name), std::nullopt, true}, std::vector<std::string>{"key" + name});
        }
        customers.add({base::CustomerId("x"), std::nullopt, false}, std::vector<std::string>{"x"});
        std::set<std::string> spaces;
        std::size_t count = 0;
        for (const std::string model : {"m", "m.1", "m.1.2"}) {
            for (const std::uint64_t version : {1, 2, 12}) {
                const auto add = [&](const Customer *customer, const std::string &key) {
                    const std::string space = cacheNamespace(base::ModelId(model), {version}, customers.cacheScope(customer, key));
                    CPPUNIT_ASSERT(space.find_first_of(" \r\n") == std::string::npos);
                    CPPUNIT_ASSERT_MESSAGE("the text that former versions use for all", !space.ends_with("."));
                    spaces.insert(space);
                    ++count;
                };
                for (const std::string &name : names) {
                    add(customers.find("key" + name), "key" + name);
                }
                add(customers.find("x"), "x");
                add(nullptr, "");
            }
        }
        CPPUNIT_ASSERT_EQUAL(count, spaces.size());
    }

    void testKeys()
    {
        Customers customers;
        customers.add({base::CustomerId("a"), 3, false}, std::vector<std::string>{"k1", "k2"});
        customers.add({base::CustomerId("b"), std::nullopt, true}, std::vector<std::string>{"k2", "k3"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, customers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), customers.find("k2")->id.value());
        CPPUNIT_ASSERT(customers.find("k3")->isIsolated);
        CPPUNIT_ASSERT(customers.find("") == nullptr && customers.find("k4") == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomersTest);

} // namespace carawaylatch::proxy::testing
