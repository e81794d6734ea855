// Tests StreamRecords, its object and OriginSearch in virtual time.
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

#include "carawaylatch/gateway/storeversion.h"
#include "carawaylatch/gateway/streamrecords.h"

namespace carawaylatch::gateway::testing
{

namespace
{

constexpr base::Duration StreamTime = base::seconds{30};
constexpr base::Duration Step = base::milliseconds{50};
constexpr std::uint64_t Revision = 7; // of a stored object

proxy::StreamOrigin origin(std::uint64_t stream, const std::string &software)
{
    return {stream, base::SoftwareVersion(software)};
}

// The streams of a text, sorted, as "STREAM:SOFTWARE ...".
std::string streamsOf(const std::string &text)
{
    std::map<std::uint64_t, std::string> streams;
    decodeStreams(text, [&streams](const proxy::StreamOrigin &it) {
        streams[it.stream] = it.software.value();
    });
    std::string out;
    for (const auto &[stream, software] : streams) {
        out += std::to_string(stream) + ":" + software + " ";
    }
    return out;
}

base::Result<StoredObject> noObject()
{
    return base::fail(base::ErrorKind::NotFound, "no object");
}

base::Result<StoredObject> storedObject(const std::string &text, std::uint64_t revision = Revision)
{
    return StoredObject{"r", text, revision, false};
}

base::Result<std::uint64_t> failed(base::ErrorKind kind)
{
    return base::fail(kind, "failed");
}

std::string verdicts(const OriginSearch &search)
{
    std::string out;
    for (const proxy::OriginAnswer &answer : search.answers()) {
        out += answer.verdict == proxy::OriginVerdict::Known ? answer.software.value() : "?";
        out += " ";
    }
    return out;
}

} // namespace

class StreamRecordsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamRecordsTest);
    CPPUNIT_TEST(testEncoding);
    CPPUNIT_TEST(testMalformedPartsAreLeftOut);
    CPPUNIT_TEST(testReadsBeforeItsFirstWrite);
    CPPUNIT_TEST(testEarlierProcessIsKeptForAStreamTime);
    CPPUNIT_TEST(testNothingIsWrittenUnlessNeeded);
    CPPUNIT_TEST(testStreamsFromBeforeTheNeedAreWritten);
    CPPUNIT_TEST(testWriteInterval);
    CPPUNIT_TEST(testWritesOfALargeFleetAreSpread);
    CPPUNIT_TEST(testOldStreamsAreDropped);
    CPPUNIT_TEST(testRecordsAreBounded);
    CPPUNIT_TEST(testFailedWrites);
    CPPUNIT_TEST(testStreamsDuringAWriteAreWrittenNext);
    CPPUNIT_TEST(testRestoredStoreIsReadAndWritten);
    CPPUNIT_TEST(testOnlySoftwareOfThePool);
    CPPUNIT_TEST(testIncompleteVersionsNeedRecords);
    CPPUNIT_TEST(testContradictingRecordsAreUnknown);
    CPPUNIT_TEST_SUITE_END();

    StreamRecords m_records{1};
    RecordsInput m_input{true, 4, 0, StreamTime};
    base::TimePoint m_now{base::hours{1}};

    // Polls until a call is due, for up to `limit`.
    RecordsAction next(base::Duration limit)
    {
        for (const base::TimePoint end = m_now + limit; m_now <= end; m_now += Step) {
            RecordsAction action = m_records.poll(m_now, m_input);
            if (action.call != RecordsCall::None) {
                return action;
            }
        }
        return {};
    }
    void start(const base::Result<StoredObject> &stored)
    {
        CPPUNIT_ASSERT(next(Step).call == RecordsCall::Read);
        m_records.onRead(m_now, stored);
    }
    // Sends a stream and expects the write that records it.
    RecordsAction write(std::uint64_t stream)
    {
        m_records.onStreamsSent(m_now, {origin(stream, "v1")});
        RecordsAction action = next(base::seconds{1});
        CPPUNIT_ASSERT(action.call == RecordsCall::Write);
        return action;
    }

public:
    void testEncoding()
    {
        const std::vector<proxy::StreamOrigin> streams{origin(0, "v1"), origin(~std::uint64_t{0}, "v2"), origin(255, "v1"), origin(1, ""), origin(2, "a b\nc")};
        const std::string text = encodeStreams(streams);
        CPPUNIT_ASSERT_EQUAL(std::string(" 1\na%20b%0Ac 2\nv1 0 ff\nv2 ffffffffffffffff\n"), text);
        CPPUNIT_ASSERT_EQUAL(std::string("0:v1 1: 2:a b\nc 255:v1 18446744073709551615:v2 "), streamsOf(text));
        CPPUNIT_ASSERT_EQUAL(std::string(), encodeStreams({}));
    }

    void testMalformedPartsAreLeftOut()
    {
        for (const auto &[text, streams] : std::vector<std::pair<std::string, std::string>>{
                 {"", ""},
                 {"v1", ""},
                 {"v1 ", ""},
                 {"v1 g 2", "2:v1 "},
                 {"v1 2x 3", "3:v1 "},
                 {"v1 -1 +1 3", "3:v1 "},
                 {"v1  2", "2:v1 "},
                 {"v1 10000000000000000 2", "2:v1 "},
                 {"% 1\nv1 2\n%z9 3", "2:v1 "},
                 {"\xff\xfe 1\n\n\nv2 2", "2:v2 "},
                 {"{\"a\": 1}", ""},
                 {std::string(SoftwareRecord::MaxNameBytes + 1, 'v') + " 1", ""},
             }) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, streams, streamsOf(text));
        }
    }

    void testReadsBeforeItsFirstWrite()
    {
        m_records.onStreamsSent(m_now, {origin(1, "v1")});
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(next(base::seconds{1}).call == RecordsCall::Read);
            m_records.onRead(m_now, base::fail(base::ErrorKind::Unavailable, "refused"));
        }
        CPPUNIT_ASSERT(next(base::seconds{1}).call == RecordsCall::Read);
        m_records.onRead(m_now, storedObject("v2 2\n"));
        const RecordsAction action = next(base::seconds{1});
        CPPUNIT_ASSERT(action.call == RecordsCall::Write);
        CPPUNIT_ASSERT_EQUAL(Revision, action.expected);
        CPPUNIT_ASSERT_EQUAL(std::string("1:v1 2:v2 "), streamsOf(action.text));
    }

    void testEarlierProcessIsKeptForAStreamTime()
    {
        start(storedObject("v2 2\n"));
        const base::TimePoint startedAt = m_now;
        std::uint64_t revision = Revision;
        std::uint64_t stream = 100;
        while (m_now < startedAt + StreamTime - base::seconds{2}) {
            CPPUNIT_ASSERT(streamsOf(write(++stream).text).starts_with("2:v2 "));
            CPPUNIT_ASSERT(m_records.find(2) == base::SoftwareVersion("v2"));
            m_records.onWritten(m_now, ++revision);
        }
        m_now = startedAt + StreamTime;
        CPPUNIT_ASSERT(!streamsOf(write(++stream).text).starts_with("2:v2 "));
        CPPUNIT_ASSERT(!m_records.find(2));
    }

    void testNothingIsWrittenUnlessNeeded()
    {
        start(noObject());
        CPPUNIT_ASSERT(next(base::seconds{5}).call == RecordsCall::None);
        m_input.isNeeded = false;
        m_records.onStreamsSent(m_now, {origin(1, "v1")});
        CPPUNIT_ASSERT(next(base::seconds{5}).call == RecordsCall::None);
    }

    void testStreamsFromBeforeTheNeedAreWritten()
    {
        start(noObject());
        m_input.isNeeded = false;
        m_records.onStreamsSent(m_now, {origin(1, "v1")});
        static_cast<void>(next(base::seconds{5}));
        m_input.isNeeded = true;
        const RecordsAction action = next(base::seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::string("1:v1 "), streamsOf(action.text));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, action.expected);
    }

    void testWriteInterval()
    {
        for (const auto &[routers, interval] : std::vector<std::pair<std::uint32_t, base::Duration>>{{1, base::milliseconds{250}},
                                                                                                     {4, base::milliseconds{250}},
                                                                                                     {23, base::milliseconds{460}},
                                                                                                     {77, base::milliseconds{1540}},
                                                                                                     {3'400, base::seconds{68}}}) {
            m_records = StreamRecords(1);
            m_input.routers = routers;
            m_input.maxStreamTime = base::minutes{5};
            start(noObject());
            m_records.onStreamsSent(m_now, {origin(1, "v1")});
            CPPUNIT_ASSERT(next(interval).call == RecordsCall::Write);
            const base::TimePoint first = m_now;
            m_records.onWritten(m_now, Revision);
            m_records.onStreamsSent(m_now, {origin(2, "v1")});
            CPPUNIT_ASSERT(next(interval + Step).call == RecordsCall::Write);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(routers), m_now - first >= interval);
        }
    }

    // All routers begin to record at the same moment.
    void testWritesOfALargeFleetAreSpread()
    {
        constexpr int Routers = 1'000;
        int writes = 0;
        for (int i = 0; i < Routers; ++i) {
            m_records = StreamRecords(static_cast<std::uint64_t>(i));
            m_input.routers = Routers;
            start(noObject());
            m_records.onStreamsSent(m_now, {origin(1, "v1")});
            writes += next(base::seconds{1}).call == RecordsCall::Write ? 1 : 0;
        }
        CPPUNIT_ASSERT(writes > 0);
        CPPUNIT_ASSERT(writes <= 2 * static_cast<int>(StreamRecords::WritesPerSecond));
    }

    // The object is emptied too, as others would read it for nothing.
    void testOldStreamsAreDropped()
    {
        start(noObject());
        static_cast<void>(write(1));
        m_records.onWritten(m_now, Revision);
        m_now += StreamTime / 2;
        CPPUNIT_ASSERT_EQUAL(std::string("1:v1 2:v1 "), streamsOf(write(2).text));
        m_records.onWritten(m_now, Revision + 1);
        m_now += StreamTime / 2;
        CPPUNIT_ASSERT_EQUAL(std::string("2:v1 3:v1 "), streamsOf(write(3).text));
        m_records.onWritten(m_now, Revision + 2);
        m_input.isNeeded = false;
        CPPUNIT_ASSERT(next(StreamTime - base::seconds{1}).call == RecordsCall::None);
        const RecordsAction last = next(base::seconds{2});
        CPPUNIT_ASSERT(last.call == RecordsCall::Write);
        CPPUNIT_ASSERT_EQUAL(std::string(), last.text);
        CPPUNIT_ASSERT_EQUAL(Revision + 2, last.expected);
        m_records.onWritten(m_now, Revision + 3);
        CPPUNIT_ASSERT(next(StreamTime).call == RecordsCall::None);
    }

    void testRecordsAreBounded()
    {
        start(noObject());
        for (std::uint64_t i = 1; i <= StreamRecords::MaxStreams + 10; ++i) {
            m_records.onStreamsSent(m_now, {origin(~i, "v1")});
        }
        m_records.onStreamsSent(m_now, {origin(1, std::string(SoftwareRecord::MaxNameBytes + 1, 'v'))});
        CPPUNIT_ASSERT(!m_records.find(1));
        CPPUNIT_ASSERT(!m_records.find(~std::uint64_t{10}));
        CPPUNIT_ASSERT(m_records.find(~std::uint64_t{11}));
        const RecordsAction action = next(base::seconds{1});
        CPPUNIT_ASSERT(action.text.size() < 300'000);
    }

    void testFailedWrites()
    {
        start(noObject());
        static_cast<void>(write(1));
        m_records.onWritten(m_now, failed(base::ErrorKind::Unavailable));
        RecordsAction action = next(base::seconds{1});
        CPPUNIT_ASSERT_MESSAGE("nothing was written", action.call == RecordsCall::Write);
        CPPUNIT_ASSERT_EQUAL(std::string("1:v1 "), streamsOf(action.text));
        m_records.onWritten(m_now, failed(base::ErrorKind::Unclear));
        CPPUNIT_ASSERT_MESSAGE("it may have been written", next(base::seconds{1}).call == RecordsCall::Read);
        m_records.onRead(m_now, storedObject("v1 1\n"));
        action = next(base::seconds{1});
        CPPUNIT_ASSERT_EQUAL(Revision, action.expected);
        // Another process of this router wrote meanwhile.
        m_records.onWritten(m_now, failed(base::ErrorKind::Conflict));
        CPPUNIT_ASSERT(next(base::seconds{1}).call == RecordsCall::Read);
        m_records.onRead(m_now, storedObject("v2 2\n", Revision + 1));
        action = next(base::seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::string("1:v1 2:v2 "), streamsOf(action.text));
        CPPUNIT_ASSERT_EQUAL(Revision + 1, action.expected);
        m_records.onWritten(m_now, Revision + 2);
        CPPUNIT_ASSERT(next(base::seconds{5}).call == RecordsCall::None);
    }

    void testStreamsDuringAWriteAreWrittenNext()
    {
        start(noObject());
        static_cast<void>(write(1));
        m_records.onStreamsSent(m_now, {origin(2, "v1")});
        CPPUNIT_ASSERT_MESSAGE("one call at a time", next(base::seconds{2}).call == RecordsCall::None);
        m_records.onWritten(m_now, Revision);
        CPPUNIT_ASSERT_EQUAL(std::string("1:v1 2:v1 "), streamsOf(next(base::seconds{1}).text));
    }

    void testRestoredStoreIsReadAndWritten()
    {
        start(noObject());
        static_cast<void>(write(1));
        m_records.onWritten(m_now, Revision);
        static_cast<void>(write(2));
        m_records.onWritten(m_now, Revision + 1);
        m_input.era = 1;
        CPPUNIT_ASSERT(next(base::seconds{1}).call == RecordsCall::Read);
        m_records.onRead(m_now, storedObject("v1 1\n", makeVersion(1, Revision)));
        const RecordsAction action = next(base::seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::string("1:v1 2:v1 "), streamsOf(action.text));
        CPPUNIT_ASSERT_EQUAL(makeVersion(1, Revision), action.expected);
    }

    void testOnlySoftwareOfThePool()
    {
        OriginSearch search({{base::PoolName("p"), 1}, {base::PoolName("q"), 2}, {base::PoolName("q"), 3}, {base::PoolName("none"), 4}});
        search.onSoftware(SoftwareRecord::decode("complete 0 p=v1 q=v1,v2"), 0);
        CPPUNIT_ASSERT(search.needsRecords());
        search.onRecords("v2 1 2\n");
        CPPUNIT_ASSERT_EQUAL(std::string("v1 v2 ? ? "), verdicts(search));
        OriginSearch alone({{base::PoolName("p"), 1}});
        alone.onSoftware(SoftwareRecord::decode("complete 0 p=v1 q=v1,v2"), 0);
        CPPUNIT_ASSERT(!alone.needsRecords());
    }

    void testIncompleteVersionsNeedRecords()
    {
        for (const char *text : {"incomplete p=v1", "complete 1 p=v1", "p=v1", ""}) {
            OriginSearch search({{base::PoolName("p"), 1}, {base::PoolName("p"), 2}});
            search.onSoftware(SoftwareRecord::decode(text), 2);
            CPPUNIT_ASSERT_MESSAGE(text, search.needsRecords());
            search.onRecords("v3 2\n");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("? v3 "), verdicts(search));
        }
        OriginSearch search({{base::PoolName("p"), 1}});
        search.onSoftware(std::nullopt, 0);
        CPPUNIT_ASSERT_EQUAL(std::string("? "), verdicts(search));
    }

    void testContradictingRecordsAreUnknown()
    {
        OriginSearch search({{base::PoolName("p"), 1}, {base::PoolName("p"), 2}});
        search.onSoftware(SoftwareRecord::decode("complete 0 p=v1,v2"), 0);
        search.onRecords("v1 1 2\n");
        search.onRecords("v2 1\nv1 2\n");
        CPPUNIT_ASSERT_EQUAL(std::string("? v1 "), verdicts(search));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamRecordsTest);

} // namespace carawaylatch::gateway::testing
