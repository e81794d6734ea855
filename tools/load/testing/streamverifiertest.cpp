// Tests of the load tool's verifiers: each violation in a stream or an order is detected.
#include "tools/load/streamverifier.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "tools/load/orderverifier.h"
#include "tools/load/workload.h"

namespace carawaylatch::load::testing
{

namespace
{

const std::string Prompt = "template contract clause";

std::string tokenPayload(std::uint64_t index, const std::string &text)
{
    return R"({"choices":[{"index":0,"text":")" + text + R"(","finish_reason":null}],"token_index":)" + std::to_string(index) + "}";
}

std::string token(std::uint64_t index)
{
    return tokenPayload(index, expectedToken(Prompt, index));
}

std::string last(std::uint64_t count)
{
    return R"({"choices":[{"index":0,"text":"","finish_reason":"stop"}],"token_count":)" + std::to_string(count)
           + R"(,"usage":{"prompt_tokens":6,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}})";
}

const std::string ErrorPayload = R"({"error":{"type":"unavailable","code":503,"message":"m"}})";

struct Row
{
    std::string name;
    std::vector<std::string> payloads;
    TransferEnd end;
    StreamVerdict verdict;
};

std::vector<Row> rows()
{
    using V = StreamVerdict;
    const auto clean = TransferEnd::Clean;
    const auto broken = TransferEnd::Broken;
    return {
        {"complete", {token(0), token(1), last(2), "[DONE]"}, clean, V::Complete},
        {"no token", {last(0), "[DONE]"}, clean, V::Complete},
        {"clean end without last event", {token(0), token(1)}, clean, V::TruncatedSilently},
        {"clean end without [DONE]", {token(0), last(1)}, clean, V::TruncatedSilently},
        {"[DONE] without last event", {token(0), "[DONE]"}, clean, V::TruncatedSilently},
        {"nothing at all", {}, clean, V::TruncatedSilently},
        {"broken transfer", {token(0)}, broken, V::Aborted},
        {"explicit error", {token(0), ErrorPayload}, broken, V::ExplicitError},
        {"error, then a clean end", {ErrorPayload}, clean, V::ExplicitError},
        {"gap", {token(0), token(2), last(3), "[DONE]"}, clean, V::Gap},
        {"first token missing", {token(1), last(2), "[DONE]"}, clean, V::Gap},
        {"repeated token", {token(0), token(0), last(2), "[DONE]"}, clean, V::Repeated},
        {"token after the last event", {token(0), last(1), token(1), "[DONE]"}, clean, V::Repeated},
        {"token of another prompt", {token(0), tokenPayload(1, expectedToken("other", 1)), last(2), "[DONE]"}, clean, V::ForeignToken},
        {"token of another index", {tokenPayload(0, expectedToken(Prompt, 1)), last(1), "[DONE]"}, clean, V::ForeignToken},
        {"count too high", {token(0), last(2), "[DONE]"}, clean, V::WrongCount},
        {"two last events", {token(0), last(1), last(1), "[DONE]"}, clean, V::WrongCount},
        {"fault before an explicit error", {token(1), ErrorPayload}, broken, V::Gap},
        {"not JSON", {"{", token(0), last(1), "[DONE]"}, clean, V::Malformed},
        {"token without index", {R"({"choices":[{"text":"a"}]})"}, clean, V::Malformed},
    };
}

OrderResponse response(const std::string &key, const std::string &outcome, int sentAt, int receivedAt)
{
    OrderResponse result;
    result.key = key;
    result.outcome = outcome;
    result.sentAt = base::TimePoint{base::seconds{sentAt}};
    result.receivedAt = base::TimePoint{base::seconds{receivedAt}};
    return result;
}

struct OrderRow
{
    std::string name;
    std::vector<OrderResponse> responses;
    std::uint64_t runs;
    std::uint64_t twice;
    std::uint64_t notRunButRan;
    std::uint64_t doneWithoutRun;
    std::uint64_t ambiguous;
};

std::vector<OrderRow> orderRows()
{
    return {
        {"done once", {response("k", "done", 1, 2), response("k", "done", 3, 4)}, 1, 0, 0, 0, 0},
        {"ran twice", {response("k", "done", 1, 2)}, 2, 1, 0, 0, 0},
        {"ran twice, response unknown", {response("k", "unknown", 1, 2)}, 2, 1, 0, 0, 0},
        {"unknown and ran", {response("k", "unknown", 1, 2)}, 1, 0, 0, 0, 0},
        {"true not run", {response("k", "not_run", 1, 2)}, 0, 0, 0, 0, 0},
        {"false not run", {response("k", "not_run", 1, 2)}, 1, 0, 1, 0, 0},
        {"not run after done", {response("k", "done", 1, 2), response("k", "not_run", 3, 4)}, 1, 0, 1, 0, 0},
        {"sent again after not run", {response("k", "not_run", 1, 2), response("k", "done", 3, 4)}, 1, 0, 0, 0, 1},
        {"in flight at not run", {response("k", "not_run", 1, 2), response("k", "done", 1, 3)}, 1, 0, 0, 0, 1},
        {"done without run", {response("k", "done", 1, 2)}, 0, 0, 0, 1, 0},
    };
}

} // namespace

class StreamVerifierTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamVerifierTest);
    CPPUNIT_TEST(testVerdicts);
    CPPUNIT_TEST(testSplitterAcceptsAnyChunking);
    CPPUNIT_TEST(testUsage);
    CPPUNIT_TEST(testOrderVerdicts);
    CPPUNIT_TEST(testWorkloadIsDeterministic);
    CPPUNIT_TEST_SUITE_END();

public:
    void testVerdicts()
    {
        for (const auto &row : rows()) {
            StreamVerifier verifier(Prompt);
            for (const auto &it : row.payloads) {
                verifier.add(parseStreamEvent(it));
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(streamVerdictName(row.verdict)), std::string(streamVerdictName(verifier.finish(row.end))));
        }
    }

    void testSplitterAcceptsAnyChunking()
    {
        const std::string bytes = ": comment\n\ndata: one\r\n\r\ndata:two\n\nevent: x\ndata: [DONE]\n\ndata: unfinished";
        const std::vector<std::string> expected{"one", "two", "[DONE]"};
        for (std::size_t chunkSize = 1; chunkSize <= bytes.size(); ++chunkSize) {
            EventSplitter splitter;
            std::vector<std::string> payloads;
            for (std::size_t at = 0; at < bytes.size(); at += chunkSize) {
                splitter.feed(std::string_view(bytes).substr(at, chunkSize), [&](std::string_view it) {
                    payloads.emplace_back(it);
                });
            }
            CPPUNIT_ASSERT_MESSAGE("chunks of " + std::to_string(chunkSize), payloads == expected);
        }
    }

    void testUsage()
    {
        StreamVerifier verifier(Prompt);
        verifier.add(parseStreamEvent(last(0)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, verifier.usage().promptTokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, verifier.usage().cachedTokens);
    }

    void testOrderVerdicts()
    {
        for (const auto &row : orderRows()) {
            std::vector<JournalEntry> journal{{"other-key", "1", "/"}};
            for (std::uint64_t i = 0; i < row.runs; ++i) {
                journal.push_back({i == 0 ? "customer/k" : "k", std::to_string(i), "/"});
            }
            const auto verification = verifyOrders(row.responses, journal);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.twice, std::uint64_t{verification.ranTwice.size()});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.notRunButRan, std::uint64_t{verification.notRunButRan.size()});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.doneWithoutRun, std::uint64_t{verification.doneWithoutRun.size()});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.ambiguous, verification.ambiguous);
        }
    }

    void testWorkloadIsDeterministic()
    {
        for (const auto kind : {WorkloadKind::Groupement, WorkloadKind::Brasa}) {
            Workload first(kind, 8, 40, 7, 7);
            Workload second(kind, 8, 40, 7, 7);
            Workload other(kind, 8, 40, 8, 8);
            int differing = 0;
            for (int i = 0; i < 40; ++i) {
                const auto request = first.next();
                CPPUNIT_ASSERT(request.prompt == second.next().prompt);
                CPPUNIT_ASSERT(request.customer < 8 && request.maxTokens > 0);
                differing += request.prompt == other.next().prompt ? 0 : 1;
            }
            CPPUNIT_ASSERT_EQUAL(40, differing);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamVerifierTest);

} // namespace carawaylatch::load::testing
