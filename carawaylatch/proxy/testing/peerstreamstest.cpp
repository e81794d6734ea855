// Tests of what routers tell each other of streams, in virtual time, and of its encoding.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/faultreport.h"
#include "carawaylatch/proxy/loadreport.h"
#include "carawaylatch/proxy/peerstreams.h"
#include "carawaylatch/proxy/reachreport.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

namespace
{

const base::TimePoint Start{base::hours{1}};
const base::SoftwareVersion V1("v1");
const base::SoftwareVersion V2("v2");
const base::SoftwareVersion Unnamed;

} // namespace

class PeerStreamsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerStreamsTest);
    CPPUNIT_TEST(testStreamsAreToldOnceAndHeard);
    CPPUNIT_TEST(testFullReportHasStreamsOfAllRouters);
    CPPUNIT_TEST(testTwoVersionsAreDoubtful);
    CPPUNIT_TEST(testStreamsEnd);
    CPPUNIT_TEST(testOldestStreamsAreDropped);
    CPPUNIT_TEST(testReportsAreBounded);
    CPPUNIT_TEST(testEncoding);
    CPPUNIT_TEST(testOtherReportsAreTold);
    CPPUNIT_TEST(testMalformedReports);
    CPPUNIT_TEST_SUITE_END();

    base::TimePoint m_now = Start;

    // The version, "?" if the stream is doubtful, "-" if it is not known.
    std::string known(const PeerStreams &streams, std::uint64_t stream) const
    {
        const auto answer = streams.find(stream, m_now);
        if (!answer) {
            return "-";
        }
        return answer->verdict == OriginVerdict::Known ? answer->software.value() : "?";
    }
    static StreamReport passOn(const StreamReport &report)
    {
        const std::string bytes = encodeStreamReport(report);
        CPPUNIT_ASSERT(bytes.size() <= MaxReportBytes);
        auto decoded = decodeStreamReport(bytes);
        CPPUNIT_ASSERT(decoded.has_value());
        return decoded.value();
    }

public:
    void testStreamsAreToldOnceAndHeard()
    {
        PeerStreams a;
        PeerStreams b;
        a.onSent({{1, V1}, {2, V2}, {3, Unnamed}}, m_now);
        b.apply(passOn(a.takeChanges(m_now)), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), known(b, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), known(b, 2));
        CPPUNIT_ASSERT_EQUAL(std::string(), known(b, 3));
        CPPUNIT_ASSERT_EQUAL(std::string("-"), known(b, 4));
        CPPUNIT_ASSERT(a.takeChanges(m_now).streams.empty());
        CPPUNIT_ASSERT_MESSAGE("each tells its own", b.takeChanges(m_now).streams.empty());
    }

    // A router that starts hears of what its earlier process sent.
    void testFullReportHasStreamsOfAllRouters()
    {
        PeerStreams a;
        PeerStreams b;
        a.onSent({{1, V1}}, m_now);
        b.apply(passOn(a.takeChanges(m_now)), m_now);
        b.onSent({{2, V2}}, m_now);
        PeerStreams again;
        again.apply(passOn(b.fullReport(m_now)), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), known(again, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), known(again, 2));
    }

    void testTwoVersionsAreDoubtful()
    {
        PeerStreams a;
        PeerStreams b;
        a.onSent({{1, V1}}, m_now);
        b.onSent({{1, V2}}, m_now);
        const StreamReport told = passOn(a.takeChanges(m_now));
        b.apply(told, m_now);
        b.apply(told, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("?"), known(b, 1));
        a.apply(passOn(b.takeChanges(m_now)), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("?"), known(a, 1));
        PeerStreams again;
        again.apply(passOn(a.fullReport(m_now)), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("?"), known(again, 1));
    }

    void testStreamsEnd()
    {
        PeerStreams a;
        a.onSent({{1, V1}}, m_now);
        m_now += MaxStreamTime / 2;
        PeerStreams b;
        b.apply(passOn(a.fullReport(m_now)), m_now);
        m_now += MaxStreamTime / 2 - base::milliseconds{1};
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), known(b, 1));
        m_now += base::milliseconds{1};
        CPPUNIT_ASSERT_EQUAL_MESSAGE("its time counts from when it was sent", std::string("-"), known(b, 1));
        b.onSent({{2, V1}}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, b.size());
        b.apply(passOn({{{3, V1, MaxStreamTime}}}), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("-"), known(b, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, b.size());
    }

    void testOldestStreamsAreDropped()
    {
        PeerStreams streams;
        for (std::uint64_t stream = 1; stream <= PeerStreams::MaxStreams + 10; ++stream) {
            streams.onSent({{stream, V1}}, m_now);
        }
        CPPUNIT_ASSERT_EQUAL(PeerStreams::MaxStreams, streams.size());
        CPPUNIT_ASSERT_EQUAL(std::string("-"), known(streams, 10));
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), known(streams, 11));
    }

    // Changes that do not fit come with the next report; a full report has the latest streams.
    void testReportsAreBounded()
    {
        constexpr std::uint64_t Count = MaxReportedStreams * 3 / 2;
        PeerStreams a;
        PeerStreams b;
        for (std::uint64_t stream = 1; stream <= Count; ++stream) {
            a.onSent({{stream, V1}}, m_now);
        }
        for (int i = 0; i < 2; ++i) {
            b.apply(passOn(a.takeChanges(m_now)), m_now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{Count}, b.size());
        PeerStreams again;
        again.apply(passOn(b.fullReport(m_now)), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), known(again, Count));
        CPPUNIT_ASSERT(again.size() + 1 >= MaxReportedStreams);
        StreamReport names;
        for (std::uint64_t stream = 1; stream <= 2 * MaxReportedStreams; ++stream) {
            std::string name = std::to_string(stream % (2 * MaxReportedVersions));
            name.resize(MaxReportedNameBytes + stream % 2, 'x');
            names.streams.push_back({stream, base::SoftwareVersion(name), {}});
        }
        CPPUNIT_ASSERT(!passOn(names).streams.empty());
    }

    void testEncoding()
    {
        const StreamReport report{{{0, V1, base::milliseconds{7}}, {~std::uint64_t{0}, V2, {}}, {5, V1, MaxStreamTime}, {6, Unnamed, {}}}};
        const StreamReport sorted{{report.streams[3], report.streams[0], report.streams[2], report.streams[1]}};
        CPPUNIT_ASSERT(passOn(report).streams == sorted.streams);
    }

    // A report of each kind begins with another byte, so that former versions refuse this one alone.
    void testOtherReportsAreTold()
    {
        const std::string bytes = encodeStreamReport({{{1, V1, {}}}});
        CPPUNIT_ASSERT(isStreamReport(bytes) && !isFaultReport(bytes) && !isReachReport(bytes) && !decodeLoadReport(bytes).has_value());
        CPPUNIT_ASSERT(!isStreamReport(encodeLoadReport({})) && !isStreamReport(encodeFaultReport({})) && !isStreamReport(encodeReachReport({})));
        CPPUNIT_ASSERT(!isStreamReport(""));
    }

    void testMalformedReports()
    {
        const std::string whole = encodeStreamReport({{{1, V1, {}}, {2, V2, {}}}});
        for (std::size_t size = 0; size < whole.size(); ++size) {
            CPPUNIT_ASSERT(!decodeStreamReport(whole.substr(0, size)).has_value());
        }
        CPPUNIT_ASSERT(!decodeStreamReport(whole + '\0').has_value());
        base::Random random(carawaylatch::testing::seed());
        for (int i = 0; i < 20'000; ++i) {
            std::string bytes = whole;
            for (std::uint64_t changes = 1 + random.below(3); changes > 0; --changes) {
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
            }
            const auto decoded = decodeStreamReport(bytes);
            CPPUNIT_ASSERT(!decoded || decoded.value().streams.size() <= MaxReportedStreams);
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerStreamsTest);

} // namespace carawaylatch::proxy::testing
