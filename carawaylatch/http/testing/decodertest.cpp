// Tests the decoders of untrusted bytes: server-sent events split at every byte,
// callers' request bodies, and randomly mutated input.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/http/callerjson.h"
#include "carawaylatch/http/sseparser.h"
#include "carawaylatch/http/wirejson.h"
#include "testing/seed.h"

namespace carawaylatch::http::testing
{

class DecoderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DecoderTest);
    CPPUNIT_TEST(testEventsSplitAtEveryByte);
    CPPUNIT_TEST(testEventSizeLimit);
    CPPUNIT_TEST(testCompletionBodies);
    CPPUNIT_TEST(testMutatedInput);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEventsSplitAtEveryByte()
    {
        const std::string text = ": comment\ndata: one\n\ndata:two\r\n\r\nevent: x\nid: 3\n\ndata: a\ndata: b\n\ndata: left over\n";
        const std::vector<std::string> expected{"one", "two", "a\nb"};
        for (std::size_t splitAt = 0; splitAt <= text.size(); ++splitAt) {
            std::vector<std::string> events;
            const auto collect = [&events](std::string_view data) {
                events.emplace_back(data);
            };
            SseParser parser;
            static_cast<void>(parser.feed(std::string_view(text).substr(0, splitAt), collect));
            CPPUNIT_ASSERT(parser.feed(std::string_view(text).substr(splitAt), collect) == SseParser::State::Open);
            CPPUNIT_ASSERT(events == expected);
        }
    }

    void testEventSizeLimit()
    {
        SseParser parser(100);
        CPPUNIT_ASSERT(parser.feed(std::string(90, 'x'), {}) == SseParser::State::Open);
        CPPUNIT_ASSERT(parser.feed(std::string(20, 'x'), {}) == SseParser::State::Failed);
        CPPUNIT_ASSERT(parser.feed("\n\n", {}) == SseParser::State::Failed);
    }

    void testCompletionBodies()
    {
        struct Case
        {
            const char *body;
            CompletionForm form;
            const char *messagePart; // expected part of the error message; nullptr if the body is valid
        };
        const Case cases[] = {
            {R"({"model":"m","prompt":"p"})", CompletionForm::Text, nullptr},
            {R"({"model":"m","prompt":"p","max_tokens":3,"stream":true})", CompletionForm::Text, nullptr},
            {R"({"model":"m","messages":[{"role":"user","content":"p"}]})", CompletionForm::Chat, nullptr},
            {"", CompletionForm::Text, "not a JSON object"},
            {"[1]", CompletionForm::Text, "not a JSON object"},
            {R"({"prompt":"p"})", CompletionForm::Text, "\"model\""},
            {R"({"model":1,"prompt":"p"})", CompletionForm::Text, "\"model\""},
            {R"({"model":"m"})", CompletionForm::Text, "\"prompt\""},
            {R"({"model":"m","prompt":["p"]})", CompletionForm::Text, "\"prompt\""},
            {R"({"model":"m","prompt":"p","max_tokens":0})", CompletionForm::Text, "\"max_tokens\""},
            {R"({"model":"m","prompt":"p","max_tokens":1.5})", CompletionForm::Text, "\"max_tokens\""},
            {R"({"model":"m","prompt":"p","max_tokens":99999999999})", CompletionForm::Text, "\"max_tokens\""},
            {R"({"model":"m","prompt":"p","stream":"yes"})", CompletionForm::Text, "\"stream\""},
            {R"({"model":"m"})", CompletionForm::Chat, "\"messages\""},
            {R"({"model":"m","messages":[]})", CompletionForm::Chat, "\"messages\""},
            {R"({"model":"m","messages":[{"role":"user"}]})", CompletionForm::Chat, "\"content\""},
        };
        for (const auto &it : cases) {
            const auto result = decodeCompletion(it.body, it.form);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.body, it.messagePart == nullptr, result.has_value());
            if (it.messagePart != nullptr) {
                CPPUNIT_ASSERT_MESSAGE(it.body, result.error().message.find(it.messagePart) != std::string::npos);
                CPPUNIT_ASSERT_EQUAL(400, httpStatus(result.error().kind));
            }
        }
    }

    // Mutates valid texts. No decoder may crash, and accepted values must be in range.
    void testMutatedInput()
    {
        const std::string corpus[] = {R"({"index":3,"text":"x"})", R"({"done":true,"count":1,"usage":{"prompt_tokens":1}})",
                                      R"({"incarnation":"0a","next":2,"events":[{"seq":1,"op":"stored","block":"ff"}]})",
                                      R"({"incarnation":"0a","model":"m","weights_version":1,"state":"live","age_ms":5})",
                                      R"({"model":"m","messages":[{"role":"user","content":"p"}],"max_tokens":9})"};
        base::Random random(carawaylatch::testing::seed());
        for (int i = 0; i < 20'000; ++i) {
            std::string text = corpus[random.below(std::size(corpus))];
            for (std::uint64_t n = random.below(4) + 1; n > 0; --n) {
                text[random.below(text.size())] = static_cast<char>(random.below(256));
            }
            static_cast<void>(decodeEngineEvent(text));
            static_cast<void>(decodeLoadReport(text));
            static_cast<void>(decodeCacheEvents(text));
            static_cast<void>(decodeRefusal(text));
            const auto body = decodeCompletion(text, CompletionForm::Chat);
            CPPUNIT_ASSERT(!body || (body.value().maxTokens >= 1 && body.value().maxTokens <= MaxMaxTokens));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecoderTest);

} // namespace carawaylatch::http::testing
