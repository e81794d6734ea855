// Tests of the HTTP/1.1 parsers with complete, split and malformed messages, and with trailing bytes.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/httpparser.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

class HttpParserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpParserTest);
    CPPUNIT_TEST(testRequestSplitAtEveryByte);
    CPPUNIT_TEST(testResponseSplitAtEveryByte);
    CPPUNIT_TEST(testResponseWithLength);
    CPPUNIT_TEST(testBytesAfterMessageAreNotConsumed);
    CPPUNIT_TEST(testAmbiguousFramingIsRefused);
    CPPUNIT_TEST(testLimits);
    CPPUNIT_TEST(testEndOfConnection);
    CPPUNIT_TEST(testRandomBytesNeverCrash);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRequestSplitAtEveryByte()
    {
        const std::string text = "POST /a/b?c HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        for (std::size_t cut = 1; cut < text.size(); ++cut) {
            HttpRequestParser parser{ParserLimits{}};
            std::string input = text.substr(0, cut);
            input.erase(0, parser.feed(input).value());
            CPPUNIT_ASSERT(!parser.isComplete());
            input += text.substr(cut);
            input.erase(0, parser.feed(input).value());
            CPPUNIT_ASSERT(parser.isComplete());
            CPPUNIT_ASSERT_EQUAL(std::string("abcde"), parser.body());
            CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c"), parser.head().target);
            CPPUNIT_ASSERT_EQUAL(std::string("1"), *findField(parser.head().fields, "x-one"));
            CPPUNIT_ASSERT(input.empty());
        }
    }

    void testResponseSplitAtEveryByte()
    {
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: b\r\n\r\nbody";
        for (std::size_t cut = 1; cut < text.size(); ++cut) {
            HttpResponseParser parser;
            std::string input = text.substr(0, cut);
            input.erase(0, parser.feed(input).value());
            std::string body = parser.takeBody();
            input += text.substr(cut);
            input.erase(0, parser.feed(input).value());
            body += parser.takeBody();
            CPPUNIT_ASSERT(parser.isComplete());
            CPPUNIT_ASSERT_EQUAL(std::string("body"), body);
        }
    }

    // Guards against a response with Content-Length being rejected, as Beast does if the body limit is boost::none.
    void testResponseWithLength()
    {
        HttpResponseParser parser;
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 700000\r\n\r\n";
        CPPUNIT_ASSERT(parser.feed(text).has_value());
        CPPUNIT_ASSERT(parser.isHeadComplete());
        CPPUNIT_ASSERT(parser.feed(std::string(700'000, 'x')).has_value());
        CPPUNIT_ASSERT(parser.isComplete());
    }

    void testBytesAfterMessageAreNotConsumed()
    {
        HttpResponseParser parser;
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n";
        const std::size_t used = parser.feed(text).value();
        CPPUNIT_ASSERT(parser.isComplete());
        CPPUNIT_ASSERT_EQUAL(text.find("xHTTP") + 1, used);
    }

    void testAmbiguousFramingIsRefused()
    {
        const std::vector<std::string> heads{
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
            "Content-Length: 3\r\nContent-Length: 4\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding: gzip\r\n",
            "Content-Length: -1\r\n",
            "Content-Length: 1x\r\n",
            "Bad Name: 1\r\n",
            "Host: a\r\nHost: b\r\n",
        };
        for (const std::string &head : heads) {
            HttpRequestParser parser{ParserLimits{}};
            CPPUNIT_ASSERT_MESSAGE(head, !parser.feed("POST / HTTP/1.1\r\n" + head + "\r\nabcd").has_value());
        }
    }

    void testLimits()
    {
        HttpRequestParser longHead{ParserLimits{100, 1000}};
        const auto head = longHead.feed("GET / HTTP/1.1\r\nA: " + std::string(200, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT(head.error().kind == base::ErrorKind::LimitExceeded);
        HttpRequestParser longBody{ParserLimits{1000, 10}};
        const auto body = longBody.feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
        CPPUNIT_ASSERT(body.error().kind == base::ErrorKind::LimitExceeded);
        HttpRequestParser chunks{ParserLimits{1000, 4}};
        const auto chunked = chunks.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(chunked.error().kind == base::ErrorKind::LimitExceeded);
    }

    void testEndOfConnection()
    {
        HttpResponseParser open;
        CPPUNIT_ASSERT(open.feed("HTTP/1.1 200 OK\r\n\r\nabc").has_value());
        CPPUNIT_ASSERT(open.feedEof().has_value());
        HttpResponseParser cut;
        CPPUNIT_ASSERT(cut.feed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc").has_value());
        CPPUNIT_ASSERT(cut.feedEof().error().kind == base::ErrorKind::Truncated);
        HttpResponseParser chunk;
        CPPUNIT_ASSERT(chunk.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n").has_value());
        CPPUNIT_ASSERT(!chunk.feedEof().has_value());
    }

    void testRandomBytesNeverCrash()
    {
        base::Random random(carawaylatch::testing::seed());
        const std::string sample = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nPOST / HTTP/1.1\r\n";
        for (int round = 0; round < 20'000; ++round) {
            std::string text = sample.substr(random.below(sample.size()));
            for (std::uint64_t i = random.below(8); i > 0 && !text.empty(); --i) {
                text[random.below(text.size())] = static_cast<char>(random.below(256));
            }
            HttpResponseParser response;
            static_cast<void>(response.feed(text));
            HttpRequestParser request{ParserLimits{}};
            static_cast<void>(request.feed(text));
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpParserTest);

} // namespace carawaylatch::proxy::testing
