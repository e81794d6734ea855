// Waits poll until a condition holds, without a timeout, so that a slow machine makes
// a test slow but never fail.
#include "carawaylatch/router/testing/testfleet.h"

#include <cppunit/TestAssert.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <thread>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/config/configstore.h"
#include "carawaylatch/config/keydigest.h"
#include "carawaylatch/config/tablefile.h"

namespace carawaylatch::router::testing
{

namespace
{

constexpr std::chrono::seconds CallTimeout{60};
constexpr base::Duration PollInterval = base::milliseconds{5};

std::string text(const base::Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

httplib::Client createClient(const base::Endpoint &endpoint)
{
    httplib::Client client(endpoint.address, endpoint.port);
    client.set_read_timeout(CallTimeout);
    return client;
}

} // namespace

std::string CallerResponse::streamedText() const
{
    constexpr std::string_view Field = "data: ";
    std::string content;
    std::size_t at = 0;
    while ((at = body.find("data: {", at)) != std::string::npos) {
        const auto end = body.find("\n\n", at);
        const auto json = nlohmann::json::parse(body.substr(at + Field.size(), end - at - Field.size()), nullptr, false);
        if (json.contains("token_index")) {
            content += json["choices"][0]["text"].get<std::string>();
        }
        at = end;
    }
    return content;
}

bool CallerResponse::isCompleteStream() const
{
    return status == 200 && body.ends_with("data: [DONE]\n\n");
}

TestFleet::TestFleet(std::size_t engines, const std::vector<base::Endpoint> &extraEngines)
    : m_platform({})
    , m_service({})
    , m_extraEngines(extraEngines)
    , m_routers(2)
{
    CPPUNIT_ASSERT(m_platform.start() && m_service.start());
    for (std::size_t i = 0; i < engines; ++i) {
        standin::EngineOptions options;
        options.decodeInterval = base::milliseconds{1};
        options.reportLag = base::milliseconds{50};
        options.loadTime = base::milliseconds{50};
        options.blockBytes = 64;
        m_engines.push_back(std::make_unique<standin::Engine>(options));
        CPPUNIT_ASSERT(m_engines.back()->start());
    }
    applyTables(1);
    startRouter(0);
    startRouter(1);
    awaitReady(0);
    awaitReady(1);
}

TestFleet::~TestFleet() = default;

void TestFleet::startRouter(std::size_t index)
{
    m_routers[index] = std::make_unique<Router>(createSettings(index));
    const auto started = m_routers[index]->start();
    CPPUNIT_ASSERT_MESSAGE(started ? "" : started.error().message, started.has_value());
}

void TestFleet::stopRouter(std::size_t index)
{
    m_routers[index]->requestStop();
    CPPUNIT_ASSERT(m_routers[index]->waitUntilStopped() == StopKind::Graceful);
    m_routers[index].reset();
}

void TestFleet::awaitReady(std::size_t index)
{
    auto client = createClient(m_routers[index]->operatorsEndpoint());
    while (true) {
        const auto result = client.Get("/readyz");
        if (result && result->status == 200) {
            return;
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

void TestFleet::awaitStatus(std::size_t index, std::string_view part)
{
    auto client = createClient(m_routers[index]->operatorsEndpoint());
    while (true) {
        const auto result = client.Get("/v1/status");
        const auto json = result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
        if (json.dump().find(part) != std::string::npos) {
            return;
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

void TestFleet::applyTables(std::uint32_t weightsVersion)
{
    std::string ini = "[customer desk]\nkey_digest = " + config::keyDigest("key") + "\n[pool readers]\nfencing = checked\nmodel = clause-1\nblock_bytes = 64\n";
    ini += "weights_version = " + std::to_string(weightsVersion) + "\n";
    for (std::size_t i = 0; i < m_extraEngines.size(); ++i) {
        ini += "member = own-" + std::to_string(i) + " " + text(m_extraEngines[i]) + " domain-0\n";
    }
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        ini += "member = engine-" + std::to_string(i) + " " + text(m_engines[i]->endpoint()) + " domain-" + std::to_string(i % 2) + "\n";
    }
    ini += "[pool desk]\nkind = service\nmember = desk-0 " + text(m_service.endpoint()) + " domain-0\n";
    ini += "[route contracts]\npath = /v1/completions\nmodel = clause-1\npool = readers\n";
    ini += "[route bookings]\npath = /v1/services/bookings\npool = desk\nidempotency = at-most-once\ndeadline = 10s\n";
    const auto rows = config::parseRows(ini, "tables");
    CPPUNIT_ASSERT_MESSAGE(rows ? "" : rows.error().message, rows.has_value());
    config::ConfigStore store(m_platform.store());
    config::Edit edit;
    base::Random random(weightsVersion);
    edit.id = config::randomEditId(random);
    edit.author = "test";
    edit.changes = config::changesBetween(store.load().value().rows, rows.value(), config::FileScope::NamedRows);
    const auto accepted = store.apply(edit);
    CPPUNIT_ASSERT_MESSAGE(accepted ? "" : accepted.error().message, accepted.has_value());
}

CallerResponse TestFleet::complete(std::size_t router, std::string_view prompt, std::uint32_t maxTokens)
{
    auto client = createClient(m_routers[router]->callersEndpoint());
    CallerResponse response;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.set_header("Authorization", "Bearer key");
    request.body = nlohmann::json{{"model", "clause-1"}, {"prompt", prompt}, {"max_tokens", maxTokens}, {"stream", true}}.dump();
    request.content_receiver = [&response](const char *data, std::size_t n, std::uint64_t, std::uint64_t) {
        response.body.append(data, n);
        return true;
    };
    const auto result = client.send(request);
    response.status = result ? result->status : 0;
    return response;
}

CallerResponse TestFleet::order(std::size_t router, std::string_view key)
{
    auto client = createClient(m_routers[router]->callersEndpoint());
    const httplib::Headers headers{{"Authorization", "Bearer key"}, {"Idempotency-Key", std::string(key)}};
    const auto result = client.Post("/v1/services/bookings/trucks", headers, "truck", "text/plain");
    if (!result) {
        return {};
    }
    return {result->status, result->body, result->get_header_value("X-Order-Outcome")};
}

void TestFleet::drain(std::size_t router, std::string_view upstream)
{
    auto client = createClient(m_routers[router]->operatorsEndpoint());
    const auto result = client.Post("/v1/drain", nlohmann::json{{"upstream", upstream}}.dump(), "application/json");
    CPPUNIT_ASSERT_EQUAL(200, result->status);
}

std::size_t TestFleet::executionCount(std::string_view key)
{
    const auto journal = nlohmann::json::parse(createClient(m_service.endpoint()).Get("/journal")->body);
    std::size_t executions = 0;
    for (const auto &it : journal.at("items")) {
        executions += it.at("key").get<std::string>().ends_with(key) ? 1 : 0;
    }
    return executions;
}

standin::Platform &TestFleet::platform()
{
    return m_platform;
}

standin::Engine &TestFleet::engine(std::size_t index)
{
    return *m_engines[index];
}

config::Settings TestFleet::createSettings(std::size_t index) const
{
    config::Settings settings;
    settings.router.id = base::RouterId("router-" + std::to_string(index));
    settings.router.failureDomain = base::FailureDomain("domain-" + std::to_string(index));
    settings.peers.key = "a-key-that-only-tests-use";
    settings.platform.address = m_platform.endpoint().address;
    settings.platform.port = m_platform.endpoint().port;
    settings.platform.timeout = base::seconds{1};
    settings.platform.watchWait = base::seconds{1};
    settings.callers.maxStreams = 16;
    settings.admission.configuredRouters = 2;
    settings.timings.drainLag = base::milliseconds{50};
    settings.timings.loadPoll = base::milliseconds{50};
    settings.timings.lease = base::seconds{2};
    for (const auto &it : m_routers) {
        if (it) {
            settings.peers.seeds.push_back(it->peersEndpoint());
        }
    }
    return settings;
}

std::string expectedText(std::string_view prompt, std::uint32_t tokens)
{
    std::string content;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        content += standin::tokenText(prompt, i);
    }
    return content;
}

} // namespace carawaylatch::router::testing
