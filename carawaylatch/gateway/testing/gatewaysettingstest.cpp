// Tests the gateway's settings: all keys, each kind of error, derived values, the
// deployment template and the documentation page.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

#include "carawaylatch/gateway/gatewaysettings.h"

namespace carawaylatch::gateway::testing
{

class GatewaySettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewaySettingsTest);
    CPPUNIT_TEST(testAllKeys);
    CPPUNIT_TEST(testErrorsNameTheKey);
    CPPUNIT_TEST(testShareByCustomer);
    CPPUNIT_TEST(testMissingKeys);
    CPPUNIT_TEST(testDerivedLimitsStayBelowSettings);
    CPPUNIT_TEST(testTemplateHasKnownKeys);
    CPPUNIT_TEST(testPageIsUpToDate);
    CPPUNIT_TEST_SUITE_END();

    static std::string text(const std::string &more = {})
    {
        return "[gateway]\nid = vm-1\nfailure_domain = a\ncallers = 127.0.0.1:1\noperators = 127.0.0.1:2\ngrace_seconds = 8.0\n"
               "[store]\naddress = 127.0.0.1:3\n[configuration]\nmax_age_ms = 5000\n"
               + more;
    }

public:
    void testAllKeys()
    {
        const auto settings = parseGatewaySettings(text("[retries]\nshare = 0.25\nreserve = 54\n[weights]\nlease_ms = 2000\n"), "f");
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("vm-1"), settings.value().id);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{3}, settings.value().store.port);
        CPPUNIT_ASSERT_EQUAL(0.25, settings.value().retryShare);
        CPPUNIT_ASSERT_EQUAL(2000.0, settings.value().leaseMs);
        const auto limits = parseGatewaySettings(text("[limits]\nwindow_seconds = 4\novershoot = 0\nslack = 110000\n"), "f");
        const admission::LimitTolerance expected{base::seconds{4}, 0, 110'000, {}};
        CPPUNIT_ASSERT(limits.value().traffic().limits == expected);
        CPPUNIT_ASSERT(settings.value().traffic().limits == admission::LimitTolerance{}); // the defaults of both are the same
    }

    void testErrorsNameTheKey()
    {
        const std::pair<std::string, std::string> invalidTexts[] = {
            {"[retries]\nshare = much\n", "share"},
            {"[retries]\nshares = 1\n", "shares"},
            {"[retry]\nshare = 1\n", "share"},
            {"[store]\ntimeout_ms = 1\n", "timeout_ms"},
            {"[gateway]\nid = x\n", "id"},
            {"[weights]\nlease_ms = 5\n", "lease_ms"},
            {"[gateway]\nmemory_mb = 1\n", "memory_mb"},
            {"[store]\nwatch_ms = -3\n", "watch_ms"},
            {"[limits]\nwindow_seconds = 0\n", "f:12: window_seconds"},
            {"[limits]\nwindow_seconds = 1000000\n", "f:12: window_seconds"},
            {"[limits]\novershoot = 1.1\n", "f:12: overshoot"},
            {"[limits]\novershoot = -0.1\n", "f:12: overshoot"},
            {"[limits]\nslack = nan\n", "f:12: slack"},
            {"[queue]\nshare_by_customer = 2\n", "share_by_customer"},
        };
        for (const auto &[more, key] : invalidTexts) {
            const auto settings = parseGatewaySettings(text(more), "f");
            CPPUNIT_ASSERT_MESSAGE(more, !settings.has_value());
            CPPUNIT_ASSERT_MESSAGE(settings.error().message, settings.error().message.find(key) != std::string::npos);
        }
    }

    void testShareByCustomer()
    {
        const std::string key = "[queue]\nshare_by_customer = ";
        const auto order = [this](const std::string &more) {
            return parseGatewaySettings(text(more), "f").value().traffic().queueOrder;
        };
        CPPUNIT_ASSERT(order("") == proxy::QueueOrder::ByArrival);
        CPPUNIT_ASSERT(order(key + "0\n") == proxy::QueueOrder::ByArrival);
        CPPUNIT_ASSERT(order(key + "1\n") == proxy::QueueOrder::ByCustomer);
        const std::string before = text();
        const auto lines = std::count(before.begin(), before.end(), '\n') + 2;
        for (const char *value : {"2", "-1", "0.5", "1.0", "yes", "01", "1 1"}) {
            const auto settings = parseGatewaySettings(text(key + value + "\n"), "f.ini");
            CPPUNIT_ASSERT_MESSAGE(value, !settings.has_value());
            const std::string &message = settings.error().message;
            CPPUNIT_ASSERT_MESSAGE(message, message.find("f.ini:" + std::to_string(lines)) != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(message, message.find("share_by_customer") != std::string::npos);
        }
    }

    void testMissingKeys()
    {
        for (const GatewaySettingsKey &key : gatewaySettingsKeys()) {
            if (!key.isRequired) {
                continue;
            }
            std::string without = text();
            const std::size_t section = without.find("[" + std::string(key.section) + "]");
            const std::size_t begin = without.find("\n" + std::string(key.name) + " =", section) + 1;
            without.erase(begin, without.find('\n', begin) - begin + 1);
            const auto settings = parseGatewaySettings(without, "f");
            CPPUNIT_ASSERT(!settings.has_value());
            CPPUNIT_ASSERT(settings.error().message.find(key.name) != std::string::npos);
        }
    }

    // The age limit for requests with a key is below the configured one, the limit for
    // readiness below that, and the duration of two watches below both.
    void testDerivedLimitsStayBelowSettings()
    {
        const GatewaySettings settings = parseGatewaySettings(text(), "f").value();
        const proxy::TrafficSettings traffic = settings.traffic();
        const ControlSettings control = settings.control();
        CPPUNIT_ASSERT(traffic.maxTableAge < base::seconds{5});
        CPPUNIT_ASSERT(traffic.readyTableAge < traffic.maxTableAge);
        CPPUNIT_ASSERT(control.watchWait * 2 < traffic.readyTableAge);
        CPPUNIT_ASSERT(control.rollout.takeoverDelay >= base::fromSeconds(settings.leaseMs / 1000));
    }

    // An unknown key in the template would keep every process from starting.
    void testTemplateHasKnownKeys()
    {
        std::ifstream in(std::string(CARAWAYLATCH_SOURCE_DIR) + "/deploy/gateway.ini");
        std::string section;
        std::string line;
        int keys = 0;
        while (std::getline(in, line)) {
            // Template tags in double braces precede a key.
            while (line.starts_with("{{")) {
                line.erase(0, line.find("}}") + 2);
            }
            if (line.starts_with("[")) {
                section = line.substr(1, line.size() - 2);
            } else if (!line.empty() && line.front() != '#') {
                const std::string name = line.substr(0, line.find(" ="));
                const auto known = gatewaySettingsKeys();
                CPPUNIT_ASSERT_MESSAGE(name, std::any_of(known.begin(), known.end(), [&](const GatewaySettingsKey &key) {
                                           return key.section == section && key.name == name;
                                       }));
                ++keys;
            }
        }
        CPPUNIT_ASSERT(keys >= 10);
    }

    void testPageIsUpToDate()
    {
        std::ifstream in(std::string(CARAWAYLATCH_SOURCE_DIR) + "/docs/SETTINGS-gateway.md");
        std::ostringstream page;
        page << in.rdbuf();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("run carawaylatch-gateway --settings_page >docs/SETTINGS-gateway.md", renderGatewaySettingsPage(), page.str());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySettingsTest);

} // namespace carawaylatch::gateway::testing
