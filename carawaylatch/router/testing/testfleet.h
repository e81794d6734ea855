// A complete fleet in one process: platform, engines, a service and routers in two
// failure domains, connected over sockets on 127.0.0.1. Allows faults at exact steps.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/router/router.h"
#include "standin/engine.h"
#include "standin/platform.h"
#include "standin/service.h"

namespace carawaylatch::router::testing
{

// A response as the caller received it.
struct CallerResponse
{
    int status = 0; // HTTP status; zero if the transfer failed
    std::string body;
    std::string orderOutcome;

    // Returns the text of all token events of a streamed response.
    [[nodiscard]] std::string streamedText() const;
    [[nodiscard]] bool isCompleteStream() const;
};

class TestFleet
{
public:
    // `extraEngines` are engines of the test that join the pool of the `engines` stand-ins.
    explicit TestFleet(std::size_t engines, const std::vector<base::Endpoint> &extraEngines = {});
    ~TestFleet();

    void startRouter(std::size_t index);
    void stopRouter(std::size_t index);
    // Waits until a router is ready.
    void awaitReady(std::size_t index);
    // Waits until a router's status, as JSON without spaces, contains `part`.
    void awaitStatus(std::size_t index, std::string_view part);
    // Stores the configuration: a customer with the key "key", a route to the engines
    // and a route to the service.
    void applyTables(std::uint32_t weightsVersion);

    [[nodiscard]] CallerResponse complete(std::size_t router, std::string_view prompt, std::uint32_t maxTokens);
    [[nodiscard]] CallerResponse order(std::size_t router, std::string_view key);
    void drain(std::size_t router, std::string_view upstream);
    // Number of times that the service executed an order.
    [[nodiscard]] std::size_t executionCount(std::string_view key);

    [[nodiscard]] standin::Platform &platform();
    [[nodiscard]] standin::Engine &engine(std::size_t index);

private:
    [[nodiscard]] config::Settings createSettings(std::size_t index) const;

    standin::Platform m_platform;
    standin::Service m_service;
    std::vector<std::unique_ptr<standin::Engine>> m_engines;
    std::vector<base::Endpoint> m_extraEngines;
    std::vector<std::unique_ptr<Router>> m_routers;
};

// Returns the text of a complete response to a prompt.
[[nodiscard]] std::string expectedText(std::string_view prompt, std::uint32_t tokens);

} // namespace carawaylatch::router::testing
