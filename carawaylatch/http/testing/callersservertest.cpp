// Tests the callers' and the operators' server over real sockets, with fake handlers
// that each case configures.
#include <cppunit/extensions/HelperMacros.h>

#include <httplib.h>

#include <atomic>
#include <functional>
#include <string>

#include "carawaylatch/http/callersserver.h"
#include "carawaylatch/http/operatorsserver.h"
#include "carawaylatch/http/streambridge.h"

namespace carawaylatch::http::testing
{

constexpr std::uint64_t BodyLimit = 10'000;

class FakeHandler : public CallerHandler
{
public:
    void complete(const CompletionCall &call, relay::CallerSink &sink) override
    {
        lastCall = call;
        onComplete(sink);
        ++completed;
    }
    ServiceResult callService(const ServiceCall &call) override
    {
        lastService = call;
        return serviceResult;
    }
    base::Result<std::vector<base::ModelId>> models(const RequestMetadata &) override
    {
        return std::vector<base::ModelId>{base::ModelId("clause-1")};
    }

    std::function<void(relay::CallerSink &sink)> onComplete;
    CompletionCall lastCall;
    ServiceCall lastService;
    ServiceResult serviceResult;
    std::atomic<int> completed = 0;
};

void deliver(relay::CallerSink &sink, std::uint64_t tokens)
{
    static_cast<void>(sink.begin({}));
    for (std::uint64_t i = 0; i < tokens; ++i) {
        static_cast<void>(sink.token(i, "t" + std::to_string(i)));
    }
}

relay::DoneEvent doneAfter(std::uint64_t count)
{
    return {count, "length", {10, 4, count}};
}

class CallersServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallersServerTest);
    CPPUNIT_TEST(testCompleteStream);
    CPPUNIT_TEST(testNonStreamingCompletion);
    CPPUNIT_TEST(testRefusalSetsHttpStatus);
    CPPUNIT_TEST(testAbortedStreamEndsWithError);
    CPPUNIT_TEST(testCallerDisconnect);
    CPPUNIT_TEST(testSlowCallerAppliesBackPressure);
    CPPUNIT_TEST(testInvalidRequests);
    CPPUNIT_TEST(testServices);
    CPPUNIT_TEST_SUITE_END();

public:
    CallersServerTest()
        : m_server({{"127.0.0.1", 0}, 8, BodyLimit}, m_handler)
    {
    }
    void setUp() override
    {
        CPPUNIT_ASSERT(m_server.start());
    }

    void testCompleteStream()
    {
        m_handler.onComplete = [](relay::CallerSink &sink) {
            deliver(sink, 3);
            sink.finish(doneAfter(3));
        };
        auto client = createClient();
        const auto result = client.Post("/v1/completions", {{"Authorization", "Bearer k"}, {"X-Deadline-Ms", "900"}}, Stream, "application/json");
        CPPUNIT_ASSERT_EQUAL(200, result->status);
        CPPUNIT_ASSERT(result->body.ends_with("data: [DONE]\n\n"));
        CPPUNIT_ASSERT(result->body.find("\"token_index\":2") != std::string::npos);
        CPPUNIT_ASSERT(result->body.find("\"cached_tokens\":4") != std::string::npos);
        CPPUNIT_ASSERT(!result->get_header_value("X-Request-Id").empty());
        CPPUNIT_ASSERT_EQUAL(std::string("k"), m_handler.lastCall.metadata.bearerKey);
        CPPUNIT_ASSERT(m_handler.lastCall.metadata.deadline == base::Duration(base::milliseconds{900}));
    }

    void testNonStreamingCompletion()
    {
        m_handler.onComplete = [](relay::CallerSink &sink) {
            deliver(sink, 2);
            sink.finish(doneAfter(2));
        };
        auto client = createClient();
        const auto result = client.Post("/v1/chat/completions", R"({"model":"m","messages":[{"role":"user","content":"p"}]})", "application/json");
        CPPUNIT_ASSERT_EQUAL(200, result->status);
        CPPUNIT_ASSERT(result->body.find("\"content\":\"t0t1\"") != std::string::npos);
        CPPUNIT_ASSERT(m_handler.lastCall.prompt.find('p') != std::string::npos);
    }

    void testRefusalSetsHttpStatus()
    {
        m_handler.onComplete = [](relay::CallerSink &sink) {
            sink.abort(base::fail(base::ErrorKind::Overloaded, "overloaded; retry later", base::milliseconds{1200}));
        };
        auto client = createClient();
        for (const char *body : {Stream, R"({"model":"m","prompt":"p"})"}) {
            const auto result = client.Post("/v1/completions", body, "application/json");
            CPPUNIT_ASSERT_EQUAL(503, result->status);
            CPPUNIT_ASSERT_EQUAL(std::string("2"), result->get_header_value("Retry-After"));
            CPPUNIT_ASSERT(result->body.find("\"retry_after_ms\":1200") != std::string::npos);
        }
    }

    void testAbortedStreamEndsWithError()
    {
        m_handler.onComplete = [](relay::CallerSink &sink) {
            deliver(sink, 2);
            sink.abort(base::fail(base::ErrorKind::Truncated, "the engine failed"));
        };
        auto client = createClient();
        std::string body;
        httplib::Request request;
        request.method = "POST";
        request.path = "/v1/completions";
        request.body = Stream;
        request.content_receiver = [&body](const char *data, std::size_t n, std::uint64_t, std::uint64_t) {
            body.append(data, n);
            return true;
        };
        const auto result = client.send(request);
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT(body.find("\"error\"") != std::string::npos);
        CPPUNIT_ASSERT(body.find("[DONE]") == std::string::npos);
    }

    void testCallerDisconnect()
    {
        std::atomic<bool> hasSeenDisconnect = false;
        m_handler.onComplete = [&hasSeenDisconnect](relay::CallerSink &sink) {
            deliver(sink, 1);
            while (sink.state() == relay::CallerState::Present) {
                std::this_thread::yield();
            }
            hasSeenDisconnect = true;
            sink.abort(base::fail(base::ErrorKind::Cancelled, "left"));
        };
        auto client = createClient();
        httplib::Request request;
        request.method = "POST";
        request.path = "/v1/completions";
        request.body = Stream;
        request.content_receiver = [](const char *, std::size_t, std::uint64_t, std::uint64_t) {
            return false;
        };
        CPPUNIT_ASSERT(!client.send(request));
        while (m_handler.completed == 0) {
            std::this_thread::yield();
        }
        CPPUNIT_ASSERT(hasSeenDisconnect);
    }

    void testSlowCallerAppliesBackPressure()
    {
        StreamBridge bridge({"r", base::ModelId("m"), CompletionForm::Text});
        std::atomic<std::uint64_t> written = 0;
        std::jthread relay([&] {
            static_cast<void>(bridge.begin({}));
            const std::string text(1000, 'x');
            while (bridge.token(written, text) == relay::CallerState::Present) {
                ++written;
            }
        });
        auto phase = StreamBridge::Phase::Waiting;
        std::size_t longest = 0;
        for (int i = 0; i < 50; ++i) {
            longest = std::max(longest, bridge.takeBuffered(base::seconds{20}, phase).size());
        }
        bridge.onCallerDisconnected();
        constexpr std::size_t OneEvent = 2000;
        CPPUNIT_ASSERT(longest <= StreamBridge::MaxBufferedBytes + OneEvent);
    }

    void testInvalidRequests()
    {
        struct Case
        {
            const char *name;
            const char *path;
            httplib::Headers headers;
            std::string body;
            int status;
        };
        const Case cases[] = {
            {"not JSON", "/v1/completions", {}, "hello", 400},
            {"unknown path", "/v2/completions", {}, "{}", 404},
            {"unknown class", "/v1/completions", {{"X-Traffic-Class", "fast"}}, Stream, 400},
            {"deadline without unit or sense", "/v1/completions", {{"X-Deadline-Ms", "2s"}}, Stream, 400},
            {"deadline of zero", "/v1/completions", {{"X-Deadline-Ms", "0"}}, Stream, 400},
            {"body over the limit", "/v1/completions", {}, std::string(BodyLimit + 1, 'x'), 413},
        };
        for (const auto &it : cases) {
            auto client = createClient();
            const auto result = client.Post(it.path, it.headers, it.body, "application/json");
            CPPUNIT_ASSERT_MESSAGE(it.name, static_cast<bool>(result));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.status, result->status);
            CPPUNIT_ASSERT_MESSAGE(it.name + result->body, result->body.starts_with("{\"error\":{"));
        }
        CPPUNIT_ASSERT_EQUAL(0, m_handler.completed.load());
    }

    void testServices()
    {
        auto client = createClient();
        m_handler.serviceResult.outcome = OrderOutcome::Done;
        m_handler.serviceResult.isReplayed = true;
        m_handler.serviceResult.response = {201, "text/plain", "booked", {}, {}};
        auto result = client.Put("/v1/services/bookings/trucks?day=2", {{"Idempotency-Key", "k1"}}, "truck", "text/plain");
        CPPUNIT_ASSERT_EQUAL(201, result->status);
        CPPUNIT_ASSERT_EQUAL(std::string("booked"), result->body);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), result->get_header_value("X-Order-Outcome"));
        CPPUNIT_ASSERT_EQUAL(std::string("true"), result->get_header_value("X-Order-Replayed"));
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), m_handler.lastService.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/services/bookings/trucks?day=2"), m_handler.lastService.metadata.path);
        CPPUNIT_ASSERT_EQUAL(std::string("k1"), m_handler.lastService.idempotencyKey);
        m_handler.serviceResult = {OrderOutcome::NotRun, false, {}, base::fail(base::ErrorKind::NotRun, "not run", base::seconds{1})};
        result = client.Get("/v1/services/bookings");
        CPPUNIT_ASSERT_EQUAL(503, result->status);
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), result->get_header_value("X-Order-Outcome"));
    }

private:
    static constexpr const char *Stream = R"({"model":"clause-1","prompt":"p","stream":true})";

    httplib::Client createClient()
    {
        httplib::Client client(m_server.endpoint().address, m_server.endpoint().port);
        client.set_read_timeout(std::chrono::seconds{20});
        return client;
    }

    FakeHandler m_handler;
    CallersServer m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallersServerTest);

class FakeOperator : public OperatorHandler
{
public:
    std::string notReadyBecause() override
    {
        return reason;
    }
    std::string metricsText() override
    {
        return "m 1\n";
    }
    std::string statusJson() override
    {
        return "{}";
    }
    std::string dashboard() override
    {
        return "<html>";
    }
    base::Result<std::string> explainJson(const CompletionCall &call) override
    {
        return call.model.value();
    }
    base::Result<void> drain(const base::UpstreamId &upstream) override
    {
        drained = upstream.value();
        return base::ok();
    }
    base::Result<void> undrain(const base::UpstreamId &) override
    {
        return base::fail(base::ErrorKind::NotFound, "no such upstream; see status");
    }

    std::string reason = "no configuration";
    std::string drained;
};

class OperatorsServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorsServerTest);
    CPPUNIT_TEST(testEndpoints);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEndpoints()
    {
        FakeOperator handler;
        OperatorsServer server({"127.0.0.1", 0}, handler);
        CPPUNIT_ASSERT(server.start());
        httplib::Client client(server.endpoint().address, server.endpoint().port);
        CPPUNIT_ASSERT_EQUAL(200, client.Get("/healthz")->status);
        CPPUNIT_ASSERT_EQUAL(503, client.Get("/readyz")->status);
        CPPUNIT_ASSERT_EQUAL(std::string("no configuration\n"), client.Get("/readyz")->body);
        handler.reason.clear();
        CPPUNIT_ASSERT_EQUAL(200, client.Get("/readyz")->status);
        CPPUNIT_ASSERT_EQUAL(std::string("m 1\n"), client.Get("/metrics")->body);
        CPPUNIT_ASSERT_EQUAL(200, client.Post("/v1/drain", R"({"upstream":"engine-1"})", "application/json")->status);
        CPPUNIT_ASSERT_EQUAL(std::string("engine-1"), handler.drained);
        CPPUNIT_ASSERT_EQUAL(400, client.Post("/v1/drain", R"({"engine":"x"})", "application/json")->status);
        CPPUNIT_ASSERT_EQUAL(404, client.Post("/v1/undrain", R"({"upstream":"x"})", "application/json")->status);
        CPPUNIT_ASSERT_EQUAL(std::string("m"), client.Post("/v1/explain", R"({"model":"m","prompt":"p"})", "application/json")->body);
        CPPUNIT_ASSERT_EQUAL(400, client.Post("/v1/explain", "x", "application/json")->status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorsServerTest);

} // namespace carawaylatch::http::testing
