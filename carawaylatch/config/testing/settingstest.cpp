// Parsing of settings: valid values, a table of invalid inputs with their messages,
// the generated page, and random texts.
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/settings.h"
#include "carawaylatch/config/valuetext.h"
#include "testing/seed.h"

namespace carawaylatch::config::testing
{

namespace
{

constexpr std::string_view MinimalSettings = "[router]\nid = r1\nfailure_domain = dakar-a\n[peers]\nkey = 0123456789abcdef\n[platform]\nport = 9000\n";

struct InvalidInput
{
    std::string_view text; // appended to MinimalSettings, which has 7 lines
    std::string_view message;
};

constexpr InvalidInput InvalidInputs[] = {
    {"[nonsense]\n", "s.ini:8: unknown section [nonsense]; write one of router, callers"},
    {"[callers]\nprot = 1\n", "s.ini:9: unknown key 'prot' in [callers]; write one of address, port"},
    {"[callers]\nport = 1\nport = 2\n", "s.ini:10: key 'port' appears twice in [callers]; remove one"},
    {"[callers]\n[operators]\n[callers]\n", "s.ini:10: section [callers] appears twice"},
    {"[callers]\nport = x\n", "s.ini:9: key 'port': 'x' is not a whole number"},
    {"[callers]\nport = 65536\n", "s.ini:9: key 'port': '65536' is too large; write at most 65535"},
    {"[callers]\nmax_streams = 0\n", "s.ini:9: key 'max_streams': the value is out of range; write one from 1 to 10000"},
    {"[callers]\nport = -1\n", "'-1' is not a whole number"},
    {"[callers]\naddress = localhost\n", "'localhost' is not an IP address"},
    {"[timings]\nheartbeat = 5\n", "s.ini:9: key 'heartbeat': '5' is not a duration; write a whole number and a unit"},
    {"[timings]\nheartbeat = 5 s\n", "'5 s' is not a duration"},
    {"[timings]\nheartbeat = 1ms\n", "out of range; write one from 50ms to 1m"},
    {"[timings]\nheartbeat = 99999999999999999h\n", "write a duration below 100 years"},
    {"[timings]\nheartbeat = 3s\nsuspicion = 1s\n", "suspicion is shorter than heartbeat; write at least 3s"},
    {"[routing]\nstrategy = best\n", "'best' is unknown; write one of random|round-robin"},
    {"[logs]\nlevel = loud\n", "write info, warning or error"},
    {"[callers]\nport\n", "s.ini:9: neither a section nor a key"},
    {"[callers\n", "s.ini:8: the section header has no ']'"},
    {"[peers]\n", "section [peers] appears twice"},
};

std::string errorOf(std::string_view text)
{
    const auto parsed = parseSettings(text, "s.ini");
    return parsed ? std::string{} : parsed.error().message;
}

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(testValues);
    CPPUNIT_TEST(testInvalidInputs);
    CPPUNIT_TEST(testMissingKeys);
    CPPUNIT_TEST(testUnreadableFile);
    CPPUNIT_TEST(testPageMatchesTable);
    CPPUNIT_TEST(testDurationsRoundTrip);
    CPPUNIT_TEST(testRandomTextIsRejectedWithFileName);
    CPPUNIT_TEST_SUITE_END();

public:
    void testValues()
    {
        const auto parsed = parseSettings(std::string("# comment\n") + std::string(MinimalSettings)
                                              + "[callers]\nport = 0\n[timings]\nheartbeat = 250ms\n[logs]\nlevel = error\n"
                                                "[routing]\nstrategy = rendezvous ; inline\n",
                                          "s.ini");
        CPPUNIT_ASSERT_MESSAGE(parsed ? "" : parsed.error().message, parsed.has_value());
        const auto &settings = parsed.value();
        CPPUNIT_ASSERT_EQUAL(base::RouterId("r1"), settings.router.id);
        CPPUNIT_ASSERT(settings.timings.heartbeat == base::milliseconds{250});
        CPPUNIT_ASSERT(settings.logs.level == base::LogLevel::Error);
        CPPUNIT_ASSERT_EQUAL(std::string("rendezvous"), settings.routing.strategy);
        CPPUNIT_ASSERT(settings.timings.lease == Settings{}.timings.lease);

        const auto seeds = parseSettings(std::string("[peers]\nseeds = 10.0.0.1:7000,\n  [::1]:7001\n  , 10.0.0.2:7002\nkey = 0123456789abcdef\n")
                                             + "[router]\nid = r1\nfailure_domain = a\n[platform]\nport = 1\n",
                                         "s.ini");
        CPPUNIT_ASSERT_MESSAGE(seeds ? "" : seeds.error().message, seeds.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, seeds.value().peers.seeds.size());
        CPPUNIT_ASSERT_EQUAL(std::string("::1"), seeds.value().peers.seeds[1].address);
    }

    void testInvalidInputs()
    {
        for (const auto &it : InvalidInputs) {
            const auto message = errorOf(std::string(MinimalSettings) + std::string(it.text));
            CPPUNIT_ASSERT_MESSAGE(std::string(it.text) + " gave: " + message, message.find(it.message) != std::string::npos);
        }
        CPPUNIT_ASSERT(errorOf("port = 1\n").find("s.ini:1: the key 'port' appears before any section") == 0);
        CPPUNIT_ASSERT(errorOf("[router]\nid = " + std::string(300, 'x')).find("s.ini:2: the line is longer than 190 bytes") == 0);
        CPPUNIT_ASSERT(errorOf("[" + std::string(60, 'x') + "]").find("s.ini:1: a section name has 1 to 49 bytes") == 0);
    }

    void testMissingKeys()
    {
        CPPUNIT_ASSERT(errorOf("").find("s.ini: key 'id' is missing; write it in [router]") == 0);
        CPPUNIT_ASSERT(errorOf("[router]\nid = a\nfailure_domain = b\n[peers]\nkey = short\n").find("from 16 to 200 bytes long") != std::string::npos);
    }

    void testUnreadableFile()
    {
        const auto loaded = loadSettings("/nonexistent/s.ini");
        CPPUNIT_ASSERT(!loaded && loaded.error().kind == base::ErrorKind::NotFound);
        CPPUNIT_ASSERT(!loadSettings("/"));
    }

    // After a change of the table, run: carawaylatchctl settings > docs/SETTINGS.md
    void testPageMatchesTable()
    {
        std::ifstream in(CARAWAYLATCH_SOURCE_DIR "/docs/SETTINGS.md");
        CPPUNIT_ASSERT_EQUAL(renderSettingsPage(), (std::string{std::istreambuf_iterator<char>(in), {}}));
    }

    void testDurationsRoundTrip()
    {
        base::Random random(::carawaylatch::testing::seed());
        for (int i = 0; i < 1'000; ++i) {
            const base::Duration duration = base::microseconds{static_cast<std::int64_t>(random.next() >> (14 + random.below(50)))};
            CPPUNIT_ASSERT(parseDuration(formatDuration(duration)).value() == duration);
        }
    }

    void testRandomTextIsRejectedWithFileName()
    {
        constexpr std::string_view Fragments[] = {"[",    "]",       "\n",        "=",  ";", "#",  " ",  "router", "id",
                                                  "port", "timings", "heartbeat", "5s", ",", "\t", "\r", "\xff"};
        base::Random random(::carawaylatch::testing::seed());
        for (int i = 0; i < 20'000; ++i) {
            std::string text;
            for (auto n = random.below(40); n > 0; --n) {
                text += Fragments[random.below(std::size(Fragments))];
            }
            if (random.below(8) == 0) {
                text += '\0';
            }
            const auto parsed = parseSettings(text, "s.ini");
            CPPUNIT_ASSERT_MESSAGE(text, !parsed && parsed.error().message.starts_with("s.ini:"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace carawaylatch::config::testing
