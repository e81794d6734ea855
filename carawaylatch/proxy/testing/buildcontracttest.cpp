// Tests that reports which earlier builds have sent are decoded to what their senders meant, and that this
// build sends what it has sent before; docs/design/build-contract.md has the rules.
#include <cppunit/extensions/HelperMacros.h>

#include <charconv>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/proxy/customers.h"
#include "carawaylatch/proxy/faultreport.h"
#include "carawaylatch/proxy/kvtransfer.h"
#include "carawaylatch/proxy/limitcodec.h"
#include "carawaylatch/proxy/loadreport.h"
#include "carawaylatch/proxy/reachreport.h"

namespace carawaylatch::proxy::testing
{

namespace
{

// A message as a build sent it, in hexadecimal. A build is named by the last commit of the landing in which it ran.
struct Recorded
{
    const char *build;
    std::string_view hex;
};

std::string bytesOf(const Recorded &recorded)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < recorded.hex.size(); i += 2) {
        unsigned value = 0;
        std::from_chars(recorded.hex.data() + i, recorded.hex.data() + i + 2, value, 16);
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

constexpr std::uint64_t Sender = 0x0102030405060708;

LoadReport loadReport()
{
    return {Sender, 70, true, {{0xaabb, 3, 4000, 70'000}}, {{0x77, 0xaabb}}};
}

FaultReport faultReport()
{
    PartState part;
    part.key = 0x1122334455667788;
    part.id = 9;
    part.generation = 2;
    part.blocks = 1;
    part.blockedFor = base::seconds{4};
    part.depth = 3;
    part.crashes = {{0x55, base::milliseconds{250}}};
    FaultReport report;
    report.parts = {part};
    report.leaving = {{0xaabb, 1'700'000'000'123}};
    return report;
}

} // namespace

class ReportContractTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReportContractTest);
    CPPUNIT_TEST(testLoadReports);
    CPPUNIT_TEST(testFaultReports);
    CPPUNIT_TEST(testFaultReportsWithLimits);
    CPPUNIT_TEST(testFaultReportsWithBrittleUpstreams);
    CPPUNIT_TEST(testReachReports);
    CPPUNIT_TEST(testLimitMessages);
    CPPUNIT_TEST(testReportsAreToldApartByTheirFirstByte);
    CPPUNIT_TEST(testCacheNamespaces);
    CPPUNIT_TEST_SUITE_END();

public:
    void testLoadReports()
    {
        const std::vector<Recorded> recorded{
            {"9c5a2bb", "01010100010008070605040302014600000000000000bbaa0000000000000300a00f0000701101007700000000000000bbaa000000000000"},
            {"0268692", "01010100010008070605040302014600000000000000bbaa0000000000000300a00f0000701101007700000000000000bbaa000000000000"},
            {"d1f7250", "01010100010008070605040302014600000000000000bbaa0000000000000300a00f0000701101007700000000000000bbaa000000000000"},
            {"af84c7d", "01010100010008070605040302014600000000000000bbaa0000000000000300a00f0000701101007700000000000000bbaa000000000000"},
            {"5c96e71", "01010100010008070605040302014600000000000000bbaa0000000000000300a00f0000701101007700000000000000bbaa000000000000"},
            {"372c752", "01010100010008070605040302014600000000000000bbaa0000000000000300a00f0000701101007700000000000000bbaa000000000000"},
        };
        for (const Recorded &it : recorded) {
            const auto decoded = decodeLoadReport(bytesOf(it));
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.has_value());
            const LoadReport &report = decoded.value();
            CPPUNIT_ASSERT_MESSAGE(it.build, report.sender == Sender && report.incarnation == 70 && report.isFullReport);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.build, std::size_t{1}, report.loads.size());
            const PeerUpstreamLoad &load = report.loads[0];
            CPPUNIT_ASSERT_MESSAGE(it.build, load.upstream == 0xaabb && load.requests == 3 && load.prefillTokens == 4000 && load.memoryTokens == 70'000);
            CPPUNIT_ASSERT_MESSAGE(it.build, report.placements == loadReport().placements);
        }
        CPPUNIT_ASSERT(bytesOf(recorded.back()) == encodeLoadReport(loadReport()));
    }

    void testFaultReports()
    {
        const std::vector<Recorded> recorded{
            {"d1f7250", "0201000100887766554433221109000000000000000200000001a00f000003015500000000000000fa000000bbaa0000000000007b68e5cf8b010000"},
            {"af84c7d", "0201000100887766554433221109000000000000000200000001a00f000003015500000000000000fa000000bbaa0000000000007b68e5cf8b010000"},
            {"5c96e71", "0201000100887766554433221109000000000000000200000001a00f000003015500000000000000fa000000bbaa0000000000007b68e5cf8b010000"},
            {"372c752", "0201000100887766554433221109000000000000000200000001a00f000003015500000000000000fa000000bbaa0000000000007b68e5cf8b010000"},
        };
        for (const Recorded &it : recorded) {
            const auto decoded = decodeFaultReport(bytesOf(it));
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.build, std::size_t{1}, decoded.value().parts.size());
            const PartState &part = decoded.value().parts[0];
            CPPUNIT_ASSERT_MESSAGE(it.build, part.key == 0x1122334455667788 && part.id == 9 && part.generation == 2);
            CPPUNIT_ASSERT_MESSAGE(it.build, part.blocks == 1 && part.blockedFor == base::seconds{4} && part.depth == 3);
            CPPUNIT_ASSERT_MESSAGE(it.build, part.crashes.size() == 1 && part.crashes[0].crash == 0x55 && part.crashes[0].age == base::milliseconds{250});
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.value().leaving == faultReport().leaving);
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.value().limits.empty() && decoded.value().brittle.empty());
        }
        CPPUNIT_ASSERT(bytesOf(recorded.back()) == encodeFaultReport(faultReport()));
    }

    void testFaultReportsWithLimits()
    {
        FaultReport report;
        report.limits = {{0xccdd, 1'700'000'000'456, 5, 12'500}};
        const std::vector<Recorded> recorded{
            {"af84c7d", "03000000000100ddcc000000000000c869e5cf8b01000005000000d4300000"},
            {"5c96e71", "03000000000100ddcc000000000000c869e5cf8b01000005000000d4300000"},
            {"372c752", "03000000000100ddcc000000000000c869e5cf8b01000005000000d4300000"},
        };
        for (const Recorded &it : recorded) {
            const auto decoded = decodeFaultReport(bytesOf(it));
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.has_value() && decoded.value().limits == report.limits && decoded.value().brittle.empty());
        }
        CPPUNIT_ASSERT(bytesOf(recorded.back()) == encodeFaultReport(report));
    }

    void testFaultReportsWithBrittleUpstreams()
    {
        FaultReport report;
        report.brittle = {{0xeeff, 1'700'000'000'789, 6, 4}};
        const std::vector<Recorded> recorded{
            {"372c752", "040000000000000100ffee000000000000156be5cf8b0100000600000004000000"},
        };
        for (const Recorded &it : recorded) {
            const auto decoded = decodeFaultReport(bytesOf(it));
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.has_value() && decoded.value().brittle == report.brittle && decoded.value().limits.empty());
        }
        CPPUNIT_ASSERT(bytesOf(recorded.back()) == encodeFaultReport(report));
    }

    void testReachReports()
    {
        const ReachReport report{Sender, true, 17, base::FailureDomain("z1"), base::Endpoint{"10.0.0.1", 7001}, {0x99}};
        const std::vector<Recorded> recorded{
            {"372c752", "05010807060504030201110000000100027a310d31302e302e302e313a373030319900000000000000"},
        };
        for (const Recorded &it : recorded) {
            const auto decoded = decodeReachReport(bytesOf(it));
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.has_value());
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.value().sender == Sender && decoded.value().takesRequests && decoded.value().inflight == 17);
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.value().domain == report.domain && decoded.value().callers == report.callers);
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.value().unreachedPools == report.unreachedPools);
        }
        CPPUNIT_ASSERT(bytesOf(recorded.back()) == encodeReachReport(report));
    }

    // Former builds have none of these messages, and answer 204.
    void testLimitMessages()
    {
        const char *const build = "landing of customers' limits";
        const admission::SharePoll poll{Sender, 70, 9, 5, base::milliseconds{600}, base::milliseconds{150}, 71, 4};
        const Recorded pollText{build, "0608070605040302014600000000000000090000000000000005000000580200009600000047000000000000000400000000000000"};
        CPPUNIT_ASSERT(decodeSharePoll(bytesOf(pollText)).value() == poll && encodeSharePoll(poll) == bytesOf(pollText));

        const admission::ShareAnswer answer{Sender, 71, 4, 70, 9, 5, 35};
        const Recorded answerText{build, "06080706050403020147000000000000000400000000000000460000000000000009000000000000000500000023000000"};
        CPPUNIT_ASSERT(decodeShareAnswer(bytesOf(answerText)).value() == answer && encodeShareAnswer(answer) == bytesOf(answerText));

        const admission::TokenRequest request{Sender, {{0xaabb, 9200, 860, 2580}, {0xccdd, 1, 1, 0}}};
        const Recorded requestText{build, "0708070605040302010200bbaa000000000000f02300005c030000140a0000ddcc000000000000010000000100000000000000"};
        CPPUNIT_ASSERT(decodeTokenRequest(bytesOf(requestText)).value() == request && encodeTokenRequest(request) == bytesOf(requestText));

        const admission::TokenGrant grant{
            {{0xaabb, admission::GrantVerdict::Granted, 11'780, {}}, {0xccdd, admission::GrantVerdict::Denied, 0, base::milliseconds{1250}}}};
        const Recorded grantText{build, "070200bbaa00000000000000042e000000000000ddcc0000000000000100000000e2040000"};
        CPPUNIT_ASSERT(decodeTokenGrant(bytesOf(grantText)).value() == grant && encodeTokenGrant(grant) == bytesOf(grantText));
    }

    // A decoder takes no report of another form, nor one of a later build, for its own.
    void testReportsAreToldApartByTheirFirstByte()
    {
        for (int first = 0; first < 256; ++first) {
            std::string load = encodeLoadReport(loadReport());
            std::string fault = encodeFaultReport(faultReport());
            std::string reach = encodeReachReport(ReachReport{Sender, true, 0, {}, base::Endpoint{"10.0.0.1", 7001}, {}});
            std::string poll = encodeSharePoll({});
            std::string request = encodeTokenRequest({});
            for (std::string *bytes : {&load, &fault, &reach, &poll, &request}) {
                bytes->front() = static_cast<char>(first);
            }
            const std::string message = "first byte " + std::to_string(first);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, first == 1, decodeLoadReport(load).has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, first >= 2 && first <= 4, isFaultReport(fault));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, first == 2, decodeFaultReport(fault).has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, first == 5, decodeReachReport(reach).has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, first == 6, isSharePoll(poll) && decodeSharePoll(poll).has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, first == 7, isTokenRequest(request) && decodeTokenRequest(request).has_value());
        }
    }

    // State that one build has made is found by another one under the same text only, so a text that builds have written for
    // some customers is never written for others.
    void testCacheNamespaces()
    {
        const base::ModelId model("m");
        Customers customers;
        customers.add({base::CustomerId("t"), std::nullopt, false}, std::vector<std::string>{"key-t"});
        customers.add({base::CustomerId("u"), std::nullopt, false}, std::vector<std::string>{"key-u"});
        customers.add({base::CustomerId("v"), std::nullopt, true}, std::vector<std::string>{"key-v"});
        const auto textOf = [&](const std::string &key) {
            return cacheNamespace(model, base::WeightsVersion{3}, customers.cacheScope(customers.find(key), key));
        };
        // From de6f193 on. Former builds wrote "m.3." for customers that share, and "m.3.v" for one that does not.
        CPPUNIT_ASSERT_EQUAL(std::string("m.3.7fc0b2366f6db28f"), textOf("key-t"));
        CPPUNIT_ASSERT_EQUAL(std::string("m.3.7fc0b2366f6db28f"), textOf("key-u"));
        CPPUNIT_ASSERT_EQUAL(std::string("m.3.b474ae0c099049de"), textOf("key-v"));
        CPPUNIT_ASSERT_EQUAL(std::string("m.3.0"), textOf(""));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReportContractTest);

} // namespace carawaylatch::proxy::testing
