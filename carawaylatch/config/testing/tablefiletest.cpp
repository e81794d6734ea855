// Parsing of tables: a table of invalid inputs with one for each rule, unknown
// fields, the generated page, and random rows.
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/tablefile.h"
#include "testing/seed.h"

namespace carawaylatch::config::testing
{

namespace
{

// Has 18 lines; the invalid inputs are appended to it.
const std::string ValidTables = "[customer acme]\nkey_digest = 0123456789abcdef0123456789abcdef\n"
                                "[pool readers]\nmodel = clause-7b\nweights_version = 3\nmember = e1 10.0.0.1:8000 dakar-a\nmember = e2 10.0.0.2:8000 dakar-b\n"
                                "[pool desk]\nkind = service\nmember = s1 10.0.0.3:8000 dakar-a\n"
                                "[route contracts]\npath = /v1/completions\nmodel = clause-7b\npool = readers\n"
                                "[route booking]\npath = /v1/services/booking\npool = desk\nidempotency = at-most-once\n";

struct InvalidInput
{
    std::string_view text;
    std::string_view message;
};

constexpr InvalidInput InvalidInputs[] = {
    {"[shelf a]\n", "t.ini:19: unknown kind 'shelf'; write customer, pool or route"},
    {"[pool]\n", "t.ini:19: [pool] is not a row"},
    {"[pool a/b]\n", "'a/b' is not a name"},
    {"[pool readers]\n", "t.ini:19: [pool readers] is already defined in line 3"},
    {"[pool a]\nmodle = x\n", "t.ini:20: unknown key 'modle' in [pool a]; write one of kind"},
    {"[pool a]\nmodel = x\nmodel = y\n", "t.ini:21: key 'model' appears twice"},
    {"[pool a]\n", "t.ini:19: pool a of engines has no model"},
    {"[pool a]\nkind = service\nmodel = x\n", "pool a of services has a model"},
    {"[pool a]\nmodel = m\nmember = e1 10.0.0.9:8000 dakar-a\n", "member e1 has another endpoint"},
    {"[pool a]\nmodel = m\nmember = e1 10.0.0.1:8000 dakar-a\n", "an upstream has one model"},
    {"[pool a]\nmodel = clause-7b\nmember = e9 10.0.0.1:8000 dakar-a\n", "have the endpoint 10.0.0.1:8000"},
    {"[pool a]\nmodel = m\nmember = e7 10.0.0.7:1 x\nmember = e7 10.0.0.7:1 x\n", "has member e7 twice"},
    {"[pool a]\nmodel = m\nmember = e7 10.0.0.7:1\n", "t.ini:21: [pool a] key 'member': 'e7 10.0.0.7:1' is not a member"},
    {"[pool a]\nmodel = m\nmember = e7 10.0.0.7:0 x\n", "is not an endpoint"},
    {"[pool a]\nmodel = m\nmax_loads = 0\n", "write a number from 1 to 1000"},
    {"[customer b]\n", "t.ini:19: [customer b] has no key 'key_digest'"},
    {"[customer b]\nkey_digest = XYZ\n", "32 lower-case hex digits"},
    {"[customer b]\nkey_digest = 0123456789abcdef0123456789abcdef\n", "has the key of customer acme"},
    {"[customer b]\nkey_digest = 0123456789abcdef0123456789abcde0\nweight = 0\n", "a weight is above 0"},
    {"[customer b]\nkey_digest = 0123456789abcdef0123456789abcde0\nweight = nan\n", "'nan' is not a number"},
    {"[route r]\npath = /v1/completions\nmodel = clause-7b\npool = nowhere\n", "t.ini:19: route r goes to pool 'nowhere', which doesn't exist"},
    {"[route r]\npath = /v1/completions\nmodel = other\npool = readers\n", "names model 'other' but pool readers serves 'clause-7b'"},
    {"[route r]\npath = /v1/completions\npool = desk\n", "is of another kind"},
    {"[route r]\npath = /v1/x\npool = desk\n", "is not a path"},
    {"[route r]\npool = desk\n", "has no key 'path'"},
    {"[route r]\npath = /v1/services/b\npool = desk\ncustomers = acme, zoe\n", "names customer 'zoe', which doesn't exist"},
    {"[route r]\npath = /v1/services/booking\npool = desk\n", "routes booking and r match the same requests"},
    {"[route r]\npath = /v1/services/b\npool = desk\nidempotency = at-most-once\nhedging = on\n", "write hedging = off"},
    {"[route r]\npath = /v1/services/b\npool = desk\ndeadline = 2h\n", "from 10ms to 1h"},
    {"[route r]\npath = /v1/services/b\npool = desk\nclass = fast\n", "write interactive or batch"},
};

std::string errorOf(const std::string &text)
{
    const auto rows = parseRows(text, "t.ini");
    if (!rows) {
        return rows.error().message;
    }
    const auto tables = toTables(rows.value(), "t.ini");
    return tables ? std::string{} : tables.error().message;
}

} // namespace

class TableFileTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TableFileTest);
    CPPUNIT_TEST(testValues);
    CPPUNIT_TEST(testInvalidInputs);
    CPPUNIT_TEST(testSpecificRouteMayOverlapGeneralRoute);
    CPPUNIT_TEST(testUnknownFieldsArePreserved);
    CPPUNIT_TEST(testRandomRowsRoundTrip);
    CPPUNIT_TEST(testPageMatchesTable);
    CPPUNIT_TEST_SUITE_END();

public:
    void testValues()
    {
        const auto rows = parseRows(ValidTables, "t.ini");
        CPPUNIT_ASSERT(rows.has_value());
        const auto tables = toTables(rows.value());
        CPPUNIT_ASSERT_MESSAGE(errorOf(ValidTables), tables.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tables.value().pools.size());
        const auto &pool = tables.value().pools[1];
        CPPUNIT_ASSERT_EQUAL(base::PoolName("readers"), pool.name);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, pool.weightsVersion.value);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{8000}, pool.members.at(1).endpoint.port);
        CPPUNIT_ASSERT(tables.value().routes[0].idempotency == Idempotency::AtMostOnce);
    }

    void testInvalidInputs()
    {
        for (const auto &it : InvalidInputs) {
            const auto message = errorOf(ValidTables + std::string(it.text));
            CPPUNIT_ASSERT_MESSAGE(std::string(it.text) + " gave: " + message, message.find(it.message) != std::string::npos);
        }
    }

    void testSpecificRouteMayOverlapGeneralRoute()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{}, errorOf(ValidTables + "[route r]\npath = /v1/services/booking\npool = desk\ncustomers = acme\n"));
        CPPUNIT_ASSERT_EQUAL(std::string{}, errorOf(ValidTables + "[route r]\npath = /v1/completions\nmodel = clause-7b\npool = readers\nclass = batch\n"));
    }

    void testUnknownFieldsArePreserved()
    {
        const std::string newer = ValidTables + "\n[pool newer]\nrevision = 7\nmodel = m\ncolour = green\ncolour = blue\n\n[quota q]\nshare = 3\n";
        CPPUNIT_ASSERT(!parseRows(newer, "t.ini"));
        const auto rows = parseRows(newer, "t.ini", TableParsing::Lenient);
        CPPUNIT_ASSERT(rows.has_value() && toTables(rows.value()).has_value());
        const auto again = parseRows(formatRows(rows.value()), "t.ini", TableParsing::Lenient);
        CPPUNIT_ASSERT(again.value() == rows.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, again.value().find({"pool", "newer"})->revision.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, again.value().find({"pool", "newer"})->fields.size());
    }

    void testRandomRowsRoundTrip()
    {
        base::Random random(::carawaylatch::testing::seed());
        constexpr std::string_view Letters = "ab.;#[]=:,/ ";
        int accepted = 0;
        for (int i = 0; i < 5'000; ++i) {
            std::string value;
            for (auto n = random.below(random.below(10) == 0 ? 400 : 12); n > 0; --n) {
                value += Letters[random.below(Letters.size())];
            }
            const auto rows = parseRows("[pool a]\nlist =" + value.substr(0, 180) + "\n", "t.ini", TableParsing::Lenient);
            if (rows) {
                ++accepted;
                const auto again = parseRows(formatRows(rows.value()), "t.ini", TableParsing::Lenient);
                CPPUNIT_ASSERT_MESSAGE(value + (again ? "" : " gave: " + again.error().message), again && again.value() == rows.value());
            }
        }
        CPPUNIT_ASSERT(accepted > 500);
        RowSet longList;
        std::string names = "name-0";
        for (int i = 1; i < 200; ++i) {
            names += ", name-" + std::to_string(i);
        }
        longList.put({{"route", "a"}, {}, {{"customers", names}}});
        CPPUNIT_ASSERT(parseRows(formatRows(longList), "t.ini").value() == longList);
    }

    // After a change of the table, run: carawaylatchctl tables > docs/TABLES.md
    void testPageMatchesTable()
    {
        std::ifstream in(CARAWAYLATCH_SOURCE_DIR "/docs/TABLES.md");
        CPPUNIT_ASSERT_EQUAL(renderTablesPage(), (std::string{std::istreambuf_iterator<char>(in), {}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableFileTest);

} // namespace carawaylatch::config::testing
