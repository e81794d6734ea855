// Waits here are loops until a condition holds: a slow machine makes a test slow,
// never wrong.
#include "carawaylatch/router/testing/smallfleet.h"

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
constexpr base::Duration LookInterval = base::milliseconds{5};

std::string text(const base::Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

httplib::Client clientOf(const base::Endpoint &endpoint)
{
    httplib::Client client(endpoint.address, endpoint.port);
    client.set_read_timeout(CallTimeout);
    return client;
}

} // namespace

std::string CallerAnswer::streamedText() const
{
    constexpr std::string_view Field = "data: ";
    std::string whole;
    std::size_t at = 0;
    while ((at = body.find("data: {", at)) != std::string::npos) {
        const auto end = body.find("\n\n", at);
        const auto json = nlohmann::json::parse(body.substr(at + Field.size(), end - at - Field.size()), nullptr, false);
        if (json.contains("token_index")) {
            whole += json["choices"][0]["text"].get<std::string>();
        }
        at = end;
    }
    return whole;
}

bool CallerAnswer::isWholeStream() const
{
    return status == 200 && body.ends_with("data: [DONE]\n\n");
}

SmallFleet::SmallFleet(std::size_t engines, const std::vector<base::Endpoint> &ownEngines)
    : m_platform({})
    , m_service({})
    , m_ownEngines(ownEngines)
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

SmallFleet::~SmallFleet() = default;

void SmallFleet::startRouter(std::size_t index)
{
    m_routers[index] = std::make_unique<Router>(settingsOf(index));
    const auto started = m_routers[index]->start();
    CPPUNIT_ASSERT_MESSAGE(started ? "" : started.error().message, started.has_value());
}

void SmallFleet::stopRouter(std::size_t index)
{
    m_routers[index]->requestStop();
    CPPUNIT_ASSERT(m_routers[index]->waitUntilStopped() == StopKind::Graceful);
    m_routers[index].reset();
}

void SmallFleet::awaitReady(std::size_t index)
{
    auto client = clientOf(m_routers[index]->operatorsEndpoint());
    while (true) {
        const auto result = client.Get("/readyz");
        if (result && result->status == 200) {
            return;
        }
        std::this_thread::sleep_for(LookInterval);
    }
}

void SmallFleet::awaitStatus(std::size_t index, std::string_view part)
{
    auto client = clientOf(m_routers[index]->operatorsEndpoint());
    while (true) {
        const auto result = client.Get("/v1/status");
        const auto json = result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
        if (json.dump().find(part) != std::string::npos) {
            return;
        }
        std::this_thread::sleep_for(LookInterval);
    }
}

void SmallFleet::applyTables(std::uint32_t weightsVersion)
{
    std::string ini = "[customer desk]\nkey_digest = " + config::keyDigest("key") + "\n[pool readers]\nfencing = checked\nmodel = clause-1\nblock_bytes = 64\n";
    ini += "weights_version = " + std::to_string(weightsVersion) + "\n";
    for (std::size_t i = 0; i < m_ownEngines.size(); ++i) {
        ini += "member = own-" + std::to_string(i) + " " + text(m_ownEngines[i]) + " domain-0\n";
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

CallerAnswer SmallFleet::complete(std::size_t router, std::string_view prompt, std::uint32_t maxTokens)
{
    auto client = clientOf(m_routers[router]->callersEndpoint());
    CallerAnswer answer;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.set_header("Authorization", "Bearer key");
    request.body = nlohmann::json{{"model", "clause-1"}, {"prompt", prompt}, {"max_tokens", maxTokens}, {"stream", true}}.dump();
    request.content_receiver = [&answer](const char *data, std::size_t n, std::uint64_t, std::uint64_t) {
        answer.body.append(data, n);
        return true;
    };
    const auto result = client.send(request);
    answer.status = result ? result->status : 0;
    return answer;
}

CallerAnswer SmallFleet::order(std::size_t router, std::string_view key)
{
    auto client = clientOf(m_routers[router]->callersEndpoint());
    const httplib::Headers headers{{"Authorization", "Bearer key"}, {"Idempotency-Key", std::string(key)}};
    const auto result = client.Post("/v1/services/bookings/trucks", headers, "truck", "text/plain");
    if (!result) {
        return {};
    }
    return {result->status, result->body, result->get_header_value("X-Order-Outcome")};
}

void SmallFleet::drain(std::size_t router, std::string_view upstream)
{
    auto client = clientOf(m_routers[router]->operatorsEndpoint());
    const auto result = client.Post("/v1/drain", nlohmann::json{{"upstream", upstream}}.dump(), "application/json");
    CPPUNIT_ASSERT_EQUAL(200, result->status);
}

std::size_t SmallFleet::runsOf(std::string_view key)
{
    const auto journal = nlohmann::json::parse(clientOf(m_service.endpoint()).Get("/journal")->body);
    std::size_t runs = 0;
    for (const auto &it : journal.at("items")) {
        runs += it.at("key").get<std::string>().ends_with(key) ? 1 : 0;
    }
    return runs;
}

standin::Platform &SmallFleet::platform()
{
    return m_platform;
}

standin::Engine &SmallFleet::engine(std::size_t index)
{
    return *m_engines[index];
}

config::Settings SmallFleet::settingsOf(std::size_t index) const
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
    std::string whole;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        whole += standin::tokenText(prompt, i);
    }
    return whole;
}

} // namespace carawaylatch::router::testing
