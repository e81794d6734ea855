// Tests EngineClient and the other clients against the stand-ins: which error each
// fault of an upstream is reported as.
#include <cppunit/extensions/HelperMacros.h>

#include <httplib.h>

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

#include "carawaylatch/http/engineclient.h"
#include "carawaylatch/http/httpserver.h"
#include "carawaylatch/http/serviceclient.h"
#include "carawaylatch/http/upstreamclient.h"
#include "carawaylatch/http/wirejson.h"
#include "standin/engine.h"
#include "standin/service.h"

namespace carawaylatch::http::testing
{

using relay::BreakKind;

constexpr base::Duration ConnectTimeout = base::seconds{5};
constexpr base::Duration ResponseTimeout = base::seconds{20};

// Records the calls of a listener.
class RecordingListener : public relay::EngineListener
{
public:
    void onHead(const relay::EngineHead &echo) override
    {
        head = echo;
    }
    void onToken(const relay::TokenEvent &token) override
    {
        tokens.push_back(token);
        if (afterToken) {
            afterToken();
        }
    }
    void onDone(const relay::DoneEvent &event) override
    {
        done = event;
        ++terminalEvents;
    }
    void onBroken(BreakKind kind, const base::Error &) override
    {
        failure = kind;
        ++terminalEvents;
    }

    std::optional<relay::EngineHead> head;
    std::vector<relay::TokenEvent> tokens;
    std::optional<relay::DoneEvent> done;
    std::optional<BreakKind> failure;
    int terminalEvents = 0;
    std::function<void()> afterToken;
};

relay::EngineRequest requestTo(const base::Endpoint &endpoint, std::uint32_t maxTokens)
{
    relay::EngineRequest request;
    request.attempt = {0xA1};
    request.requestId = "r1";
    request.upstream = base::UpstreamId("engine-1");
    request.endpoint = endpoint;
    request.model = base::ModelId("clause-1");
    request.salt = {7};
    request.prompt = "which penalty";
    request.maxTokens = maxTokens;
    request.timeout = ResponseTimeout;
    return request;
}

class EngineClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineClientTest);
    CPPUNIT_TEST(testCompleteStream);
    CPPUNIT_TEST(testResumeAndContinuation);
    CPPUNIT_TEST(testCancelStopsTheEngine);
    CPPUNIT_TEST(testRefusals);
    CPPUNIT_TEST(testBrokenResponses);
    CPPUNIT_TEST(testReportsAndOrders);
    CPPUNIT_TEST_SUITE_END();

public:
    EngineClientTest()
        : m_engine(options())
    {
    }
    void setUp() override
    {
        CPPUNIT_ASSERT(m_engine.start());
    }

    void testCompleteStream()
    {
        RecordingListener recorder;
        m_client.run(requestTo(m_engine.endpoint(), 5), recorder);
        CPPUNIT_ASSERT(recorder.head && recorder.head->attempt.value == 0xA1 && recorder.head->salt.value == 7);
        CPPUNIT_ASSERT(recorder.head->incarnation == m_engine.model().incarnation());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, recorder.tokens.size());
        for (std::size_t i = 0; i < recorder.tokens.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{i}, recorder.tokens[i].index);
            CPPUNIT_ASSERT_EQUAL(standin::tokenText("which penalty", i), recorder.tokens[i].text);
        }
        CPPUNIT_ASSERT(recorder.done && recorder.done->count == 5);
        CPPUNIT_ASSERT_EQUAL(1, recorder.terminalEvents);
    }

    void testResumeAndContinuation()
    {
        RecordingListener first;
        m_client.run(requestTo(m_engine.endpoint(), 4), first);
        auto request = requestTo(m_engine.endpoint(), 4);
        request.resumeFrom = 2;
        RecordingListener resumed;
        m_client.run(request, resumed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, resumed.tokens.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, resumed.tokens.front().index);
        CPPUNIT_ASSERT_EQUAL(first.tokens[2].text, resumed.tokens.front().text);
        request.resumeFrom.reset();
        request.attempt = {0xA2};
        request.continuation = relay::Continuation{3, "..."};
        RecordingListener continued;
        m_client.run(request, continued);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, continued.tokens.size());
        CPPUNIT_ASSERT_EQUAL(first.tokens[3].text, continued.tokens.front().text);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, continued.done->count);
    }

    void testCancelStopsTheEngine()
    {
        RecordingListener recorder;
        recorder.afterToken = [this] {
            m_client.cancel({0xA1});
        };
        m_client.run(requestTo(m_engine.endpoint(), 1'000'000), recorder);
        CPPUNIT_ASSERT(recorder.failure == BreakKind::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_engine.model().counters().cancelled);
    }

    void testRefusals()
    {
        std::atomic<int> leaving = 0;
        EngineClient client(ConnectTimeout, [&leaving](const base::UpstreamId &) {
            ++leaving;
        });
        m_engine.model().leave();
        RecordingListener refused;
        client.run(requestTo(m_engine.endpoint(), 5), refused);
        CPPUNIT_ASSERT(refused.failure == BreakKind::Refused);
        CPPUNIT_ASSERT_EQUAL(1, leaving.load());
        const auto endpoint = m_engine.endpoint();
        m_engine.stop();
        RecordingListener unreachable;
        client.run(requestTo(endpoint, 5), unreachable);
        CPPUNIT_ASSERT(unreachable.failure == BreakKind::NotSent);
        CPPUNIT_ASSERT(!unreachable.head);
    }

    void testBrokenResponses()
    {
        struct Case
        {
            const char *body;
            BreakKind kind;
            std::size_t tokens;
        };
        const Case cases[] = {
            {"data: {\"index\":0,\"text\":\"a\"}\n\n", BreakKind::Lost, 1},
            {"data: {\"index\":0,\"text\":\"a\"}\n", BreakKind::Lost, 0},
            {"", BreakKind::Lost, 0},
            {"data: {\"index\":0}\n\n", BreakKind::Malformed, 0},
            {"data: nonsense\n\n", BreakKind::Malformed, 0},
            {"data: {\"index\":-1,\"text\":3}\n\n", BreakKind::Malformed, 0},
            {"data: {\"done\":true,\"count\":0,\"usage\":{}}\n\ndata: {\"index\":0,\"text\":\"a\"}\n\n", BreakKind::Malformed, 0},
        };
        for (const auto &it : cases) {
            HttpServer server({"127.0.0.1", 0});
            server.server().Post("/v1/completions", [&it](const httplib::Request &, httplib::Response &response) {
                response.set_content(it.body, "text/event-stream");
            });
            CPPUNIT_ASSERT(server.start());
            RecordingListener recorder;
            m_client.run(requestTo(server.endpoint(), 5), recorder);
            CPPUNIT_ASSERT_MESSAGE(it.body, recorder.failure == it.kind);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.body, it.tokens, recorder.tokens.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.body, 1, recorder.terminalEvents);
        }
    }

    void testReportsAndOrders()
    {
        UpstreamClient client(ResponseTimeout);
        const base::UpstreamId id("engine-1");
        const auto load = client.loadReport(m_engine.endpoint()).value();
        CPPUNIT_ASSERT(load.incarnation == m_engine.model().incarnation());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, load.weightsVersion.value);
        fleet::EngineOrder order;
        order.weightsVersion = {1};
        order.fence = {5};
        CPPUNIT_ASSERT(client.order(id, m_engine.endpoint(), order).has_value());
        order.fence = {4};
        CPPUNIT_ASSERT(client.order(id, m_engine.endpoint(), order).error().kind == base::ErrorKind::StaleState);
        const auto endpoint = m_engine.endpoint();
        m_engine.stop();
        CPPUNIT_ASSERT(client.loadReport(endpoint).error().kind == base::ErrorKind::Unavailable);
    }

private:
    static standin::EngineOptions options()
    {
        standin::EngineOptions options;
        options.decodeInterval = base::milliseconds{1};
        return options;
    }

    standin::Engine m_engine;
    EngineClient m_client{ConnectTimeout};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineClientTest);

class ServiceClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServiceClientTest);
    CPPUNIT_TEST(testUpstreamFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void testUpstreamFaults()
    {
        struct Case
        {
            const char *fault;
            std::optional<base::ErrorKind> error;
            std::size_t runs;
        };
        const Case cases[] = {{"up", std::nullopt, 1}, {"refuse", base::ErrorKind::Overloaded, 0}, {"lose_answers", base::ErrorKind::Unclear, 1}};
        for (const auto &it : cases) {
            standin::Service service({});
            CPPUNIT_ASSERT(service.start());
            httplib::Client admin(service.endpoint().address, service.endpoint().port);
            admin.Post("/admin/faults", std::string("{\"mode\":\"") + it.fault + "\"}", "application/json");
            const auto response = ServiceClient(ConnectTimeout).call(requestTo(service.endpoint()));
            CPPUNIT_ASSERT_MESSAGE(it.fault, it.error ? !response && response.error().kind == *it.error : response.has_value());
            const std::string journal = admin.Get("/journal")->body;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.fault, it.runs == 1, journal.find("\"acme/k1\"") != std::string::npos);
        }
        CPPUNIT_ASSERT(ServiceClient(ConnectTimeout).call(requestTo({"127.0.0.1", 1})).error().kind == base::ErrorKind::Unavailable);
    }

private:
    static orders::ServiceRequest requestTo(const base::Endpoint &endpoint)
    {
        orders::ServiceRequest request;
        request.attempt = {3};
        request.endpoint = endpoint;
        request.method = "POST";
        request.path = "/book";
        request.body = "{}";
        request.orderKey = "acme/k1";
        request.timeout = ResponseTimeout;
        return request;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceClientTest);

} // namespace carawaylatch::http::testing
