// Responses of a peer that are cut or invalid: none may be taken for an answer.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/peer/http2session.h"

namespace carawaylatch::peer::testing
{

namespace
{

constexpr std::size_t MaxBodyBytes = 1000;
constexpr int StatusOk = 200;

enum class FrameType : char {
    Data = 0,
    Headers = 1,
    ResetStream = 3,
    Settings = 4,
    GoAway = 7,
};
constexpr char NoFlags = 0;
constexpr char EndStream = 1;
constexpr char EndHeaders = 4;

std::string bytes32(std::uint32_t value)
{
    return {static_cast<char>(value >> 24U), static_cast<char>(value >> 16U), static_cast<char>(value >> 8U), static_cast<char>(value)};
}

// RFC 9113, section 4.1.
std::string frame(FrameType type, char flags, std::int32_t stream, const std::string &payload)
{
    return bytes32(static_cast<std::uint32_t>(payload.size())).substr(1) + static_cast<char>(type) + flags + bytes32(static_cast<std::uint32_t>(stream))
           + payload;
}

std::string literal(const std::string &text)
{
    return static_cast<char>(text.size()) + text;
}

// RFC 7541: literal fields without indexing.
std::string status(const std::string &code)
{
    constexpr char StatusIndex = 8;
    return StatusIndex + literal(code);
}

std::string field(const std::string &name, const std::string &value)
{
    return '\0' + literal(name) + literal(value);
}

} // namespace

class Http2SessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(Http2SessionTest);
    CPPUNIT_TEST(testResponses);
    CPPUNIT_TEST_SUITE_END();

public:
    void testResponses()
    {
        struct Case
        {
            std::string name;
            std::vector<std::string> frames; // from the peer, on the stream of the request
            bool isWhole = false;
        };
        constexpr std::int32_t Id = 1;
        const std::string body = "an answer";
        const auto head = [](const std::string &fields, char flags = NoFlags) {
            return frame(FrameType::Headers, static_cast<char>(EndHeaders | flags), Id, fields);
        };
        const auto data = [](const std::string &text, char flags) {
            return frame(FrameType::Data, flags, Id, text);
        };
        const auto reset = [](std::uint32_t code) {
            return frame(FrameType::ResetStream, NoFlags, Id, bytes32(code));
        };
        constexpr std::uint32_t NoError = 0;
        constexpr std::uint32_t InternalError = 2;
        constexpr std::uint32_t Cancel = 8;
        const std::vector<Case> cases{
            {"whole", {head(status("200")), data(body, EndStream)}, true},
            {"in two parts", {head(status("200")), data("an ", NoFlags), data("answer", EndStream)}, true},
            {"after an interim response", {head(status("103")), head(status("200")), data(body, EndStream)}, true},
            {"with trailers", {head(status("200")), data(body, NoFlags), head(field("t", "1"), EndStream)}, true},
            {"whole, then reset", {head(status("200")), data(body, EndStream), reset(NoError)}, true},
            {"reset inside the body", {head(status("200")), data(body, NoFlags), reset(InternalError)}},
            {"reset without an error inside the body", {head(status("200")), data(body, NoFlags), reset(NoError)}},
            {"cancelled inside the body", {head(status("200")), data(body, NoFlags), reset(Cancel)}},
            {"reset after the head", {head(status("200")), reset(Cancel)}},
            {"the connection given up inside the body",
             {head(status("200")), data(body, NoFlags), frame(FrameType::GoAway, NoFlags, 0, bytes32(0) + bytes32(InternalError))}},
            {"shorter than its length", {head(status("200") + field("content-length", "10")), data(body, EndStream)}},
            {"longer than its length", {head(status("200") + field("content-length", "8")), data(body, EndStream)}},
            {"status 000", {head(status("000")), data(body, EndStream)}},
            {"status 000, then another head", {head(status("000")), head(status("200")), data(body, EndStream)}},
            {"status 999", {head(status("999")), data(body, EndStream)}},
            {"two digits", {head(status("20")), data(body, EndStream)}},
            {"a letter in the status", {head(status("2x0")), data(body, EndStream)}},
            {"no status", {head(field("a", "b")), data(body, EndStream)}},
            {"an interim response alone", {head(status("103"), EndStream)}},
            {"a blank in a name", {head(status("200") + field("a b", "c")), data(body, EndStream)}},
            {"a control byte in a name", {head(status("200") + field("a\x01", "c")), data(body, EndStream)}},
            {"an empty name", {head(status("200") + field("", "c")), data(body, EndStream)}},
            {"a status after the fields", {head(field("a", "c") + status("200")), data(body, EndStream)}},
        };
        for (const Case &it : cases) {
            Http2Session session(Http2Session::Role::Client, MaxBodyBytes);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, Id, session.submit("a request"));
            static_cast<void>(session.takeOutput());
            std::string bytes = frame(FrameType::Settings, NoFlags, 0, {});
            for (const std::string &part : it.frames) {
                bytes += part;
            }
            static_cast<void>(session.receive(bytes)); // false if the connection is to be closed
            static_cast<void>(session.takeOutput()); // resets of the session's own
            bool isAnswered = false;
            for (const auto &response : session.takeResponses()) {
                isAnswered = isAnswered || response.status == StatusOk;
                CPPUNIT_ASSERT_MESSAGE(it.name, response.status != StatusOk || response.body == body);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.isWhole, isAnswered);
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(Http2SessionTest);

} // namespace carawaylatch::peer::testing
