// Tests of the bytes of limit messages: a message that is read wrongly would lend a share or grant tokens twice.
#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/limitcodec.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

using admission::AllLimitGroups;
using admission::GrantVerdict;
using admission::GroupMask;
using admission::MaxTokenEntries;
using admission::ShareAnswer;
using admission::SharePoll;
using admission::TokenGrant;
using admission::TokenRequest;

class LimitCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitCodecTest);
    CPPUNIT_TEST(testRoundTrips);
    CPPUNIT_TEST(testEachTruncation);
    CPPUNIT_TEST(testWrongCounts);
    CPPUNIT_TEST(testUnknownValues);
    CPPUNIT_TEST(testValuesAreClamped);
    CPPUNIT_TEST(testRandomBytes);
    CPPUNIT_TEST_SUITE_END();

    base::Random m_random{carawaylatch::testing::seed()};

    std::uint32_t figure()
    {
        return static_cast<std::uint32_t>(m_random.next());
    }
    base::Duration duration()
    {
        return base::milliseconds{figure()};
    }
    SharePoll poll()
    {
        return {m_random.next(), m_random.next(), m_random.next(), figure() & AllLimitGroups, duration(), duration(), m_random.next(), m_random.next()};
    }
    ShareAnswer answer()
    {
        return {m_random.next(), m_random.next(), m_random.next(), m_random.next(), m_random.next(), figure() & AllLimitGroups, figure() | 1};
    }
    TokenRequest request(std::size_t entries)
    {
        TokenRequest out{m_random.next(), {}};
        for (std::size_t i = 0; i < entries; ++i) {
            out.entries.push_back({m_random.next(), figure(), figure(), figure()});
        }
        return out;
    }
    TokenGrant grant(std::size_t entries)
    {
        TokenGrant out;
        for (std::size_t i = 0; i < entries; ++i) {
            out.entries.push_back({m_random.next(), static_cast<GrantVerdict>(m_random.below(4)), figure(), duration()});
        }
        return out;
    }

    // The message that names the problem, empty if the bytes are decoded.
    template <typename Message>
    static std::string problemOf(const base::Result<Message> &decoded)
    {
        return decoded ? std::string() : decoded.error().message;
    }
    static void assertProblem(std::string_view part, const std::string &message)
    {
        CPPUNIT_ASSERT_MESSAGE(std::string(part) + " expected in: " + message, message.find(part) != std::string::npos);
    }

public:
    void testRoundTrips()
    {
        for (int i = 0; i < 300; ++i) {
            const std::size_t entries = i < 2 ? static_cast<std::size_t>(i) * MaxTokenEntries : m_random.below(20);
            const SharePoll sentPoll = poll();
            const ShareAnswer sentAnswer = answer();
            const TokenRequest sentRequest = request(entries);
            const TokenGrant sentGrant = grant(entries);
            CPPUNIT_ASSERT(decodeSharePoll(encodeSharePoll(sentPoll)).value() == sentPoll);
            CPPUNIT_ASSERT(decodeShareAnswer(encodeShareAnswer(sentAnswer)).value() == sentAnswer);
            CPPUNIT_ASSERT(decodeTokenRequest(encodeTokenRequest(sentRequest)).value() == sentRequest);
            CPPUNIT_ASSERT(decodeTokenGrant(encodeTokenGrant(sentGrant)).value() == sentGrant);
            CPPUNIT_ASSERT(isSharePoll(encodeSharePoll(sentPoll)) && !isTokenRequest(encodeSharePoll(sentPoll)));
            CPPUNIT_ASSERT(isTokenRequest(encodeTokenRequest(sentRequest)) && !isSharePoll(encodeTokenRequest(sentRequest)));
        }
        CPPUNIT_ASSERT_EQUAL(MaxLimitMessageBytes, encodeTokenRequest(request(MaxTokenEntries)).size());
        CPPUNIT_ASSERT(!isSharePoll("") && !isTokenRequest(""));
    }

    void testEachTruncation()
    {
        const auto check = [](const std::string &bytes, const auto &decode) {
            for (std::size_t n = 0; n < bytes.size(); ++n) {
                const std::string copy = bytes.substr(0, n); // memory of its own, so that a sanitizer sees reads beyond it
                CPPUNIT_ASSERT_MESSAGE("truncated at " + std::to_string(n), !decode(std::string_view(copy)).has_value());
            }
            CPPUNIT_ASSERT_MESSAGE("a byte too many", !decode(std::string_view(bytes + 'x')).has_value());
        };
        check(encodeSharePoll(poll()), decodeSharePoll);
        check(encodeShareAnswer(answer()), decodeShareAnswer);
        check(encodeTokenRequest(request(3)), decodeTokenRequest);
        check(encodeTokenGrant(grant(3)), decodeTokenGrant);
        assertProblem("empty", problemOf(decodeSharePoll({})));
        assertProblem("52 bytes, of at least 53", problemOf(decodeSharePoll(encodeSharePoll(poll()).substr(0, 52))));
        assertProblem("version 1 instead of 6", problemOf(decodeShareAnswer(std::string(49, '\1'))));
    }

    void testWrongCounts()
    {
        for (const int count : {0, 2, 4, 512, 513, 65'535}) {
            std::string requestBytes = encodeTokenRequest(request(3));
            std::string grantBytes = encodeTokenGrant(grant(3));
            const std::string text{static_cast<char>(count & 0xFF), static_cast<char>(count >> 8)};
            requestBytes.replace(9, 2, text);
            grantBytes.replace(1, 2, text);
            const std::string problem = count > 512 ? std::to_string(count) + " entries, of at most 512" : "length does not match";
            assertProblem(problem, problemOf(decodeTokenRequest(requestBytes)));
            assertProblem(problem, problemOf(decodeTokenGrant(grantBytes)));
        }
        // A count over the limit is refused also if the bytes are there.
        std::string bytes = encodeTokenGrant(grant(MaxTokenEntries)) + std::string(17, '\0');
        bytes.replace(1, 2, std::string("\x01\x02", 2));
        assertProblem("513 entries", problemOf(decodeTokenGrant(bytes)));
    }

    void testUnknownValues()
    {
        std::string pollBytes = encodeSharePoll(poll());
        pollBytes[25] = 16; // groups
        assertProblem("unknown groups", problemOf(decodeSharePoll(pollBytes)));
        std::string answerBytes = encodeShareAnswer(answer());
        answerBytes[44] = 1; // highest byte of the groups lent
        assertProblem("unknown groups", problemOf(decodeShareAnswer(answerBytes)));
        answerBytes = encodeShareAnswer(answer());
        answerBytes.replace(45, 4, std::string(4, '\0'));
        assertProblem("zero routers", problemOf(decodeShareAnswer(answerBytes)));
        std::string grantBytes = encodeTokenGrant(grant(2));
        grantBytes[3 + 17 + 8] = 4;
        assertProblem("unknown verdict 4", problemOf(decodeTokenGrant(grantBytes)));
    }

    void testValuesAreClamped()
    {
        SharePoll sentPoll = poll();
        sentPoll.groups = ~GroupMask{0};
        sentPoll.term = base::hours{24 * 365};
        sentPoll.nextPoll = -base::seconds{1};
        const SharePoll received = decodeSharePoll(encodeSharePoll(sentPoll)).value();
        CPPUNIT_ASSERT_EQUAL(AllLimitGroups, received.groups);
        CPPUNIT_ASSERT(received.term == base::milliseconds{std::numeric_limits<std::uint32_t>::max()});
        CPPUNIT_ASSERT(received.nextPoll == base::Duration{});
        CPPUNIT_ASSERT_EQUAL(MaxTokenEntries, decodeTokenRequest(encodeTokenRequest(request(MaxTokenEntries + 1))).value().entries.size());
        CPPUNIT_ASSERT_EQUAL(MaxTokenEntries, decodeTokenGrant(encodeTokenGrant(grant(MaxTokenEntries + 1))).value().entries.size());
        // A router that knows of no fleet lends nothing, and the borrower gets to know it.
        ShareAnswer sentAnswer = answer();
        sentAnswer.routers = 0;
        sentAnswer.lent = AllLimitGroups;
        CPPUNIT_ASSERT_EQUAL(GroupMask{0}, decodeShareAnswer(encodeShareAnswer(sentAnswer)).value().lent);
    }

    // Whatever is decoded is encoded to the same bytes, so no byte is ignored and none is read beyond the end.
    void testRandomBytes()
    {
        std::size_t decodedCount = 0;
        const auto check = [&decodedCount](const std::string &bytes, const auto &decode, const auto &encode) {
            if (const auto decoded = decode(std::string_view(bytes))) {
                ++decodedCount;
                CPPUNIT_ASSERT(encode(decoded.value()) == bytes);
            }
        };
        for (int i = 0; i < 20'000; ++i) {
            const std::size_t entries = m_random.below(4);
            std::string bytes;
            switch (m_random.below(6)) {
            case 0:
                bytes = encodeSharePoll(poll());
                break;
            case 1:
                bytes = encodeShareAnswer(answer());
                break;
            case 2:
                bytes = encodeTokenRequest(request(entries));
                break;
            case 3:
                bytes = encodeTokenGrant(grant(entries));
                break;
            default:
                bytes.resize(m_random.below(5) == 0 ? m_random.below(100'000) : m_random.below(120));
                for (char &it : bytes) {
                    it = static_cast<char>(m_random.below(256));
                }
            }
            for (std::uint64_t changes = m_random.below(3); changes > 0 && !bytes.empty(); --changes) {
                bytes[m_random.below(bytes.size())] = static_cast<char>(m_random.below(256));
            }
            if (!bytes.empty() && m_random.below(2) == 0) {
                bytes[0] = static_cast<char>(6 + m_random.below(2));
            }
            check(bytes, decodeSharePoll, encodeSharePoll);
            check(bytes, decodeShareAnswer, encodeShareAnswer);
            check(bytes, decodeTokenRequest, encodeTokenRequest);
            check(bytes, decodeTokenGrant, encodeTokenGrant);
        }
        CPPUNIT_ASSERT_MESSAGE("cases beyond the first checks", decodedCount > 1000);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LimitCodecTest);

} // namespace carawaylatch::proxy::testing
