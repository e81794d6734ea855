// A whole fleet in one process: platform, engines, a service and routers of two
// failure domains over real sockets on 127.0.0.1, for faults at exact steps.
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

// A caller's view of one answer.
struct CallerResponse
{
    int status = 0; // zero if the transfer broke off
    std::string body;
    std::string orderOutcome;

    // Returns the text of all token events of a streamed answer.
    [[nodiscard]] std::string streamedText() const;
    [[nodiscard]] bool isCompleteStream() const;
};

class TestFleet
{
public:
    // Engines that a test brings itself are members of the pool too.
    explicit TestFleet(std::size_t engines, const std::vector<base::Endpoint> &extraEngines = {});
    ~TestFleet();

    void startRouter(std::size_t index);
    void stopRouter(std::size_t index);
    // Waits until a router is ready.
    void awaitReady(std::size_t index);
    // Waits until a router's status, as JSON without spaces, holds a text.
    void awaitStatus(std::size_t index, std::string_view part);
    // Accepts the tables: customer key "key", a route to the engines, one to the service.
    void applyTables(std::uint32_t weightsVersion);

    [[nodiscard]] CallerResponse complete(std::size_t router, std::string_view prompt, std::uint32_t maxTokens);
    [[nodiscard]] CallerResponse order(std::size_t router, std::string_view key);
    void drain(std::size_t router, std::string_view upstream);
    // How often the service ran an order.
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

// The text that a whole answer to a prompt has.
[[nodiscard]] std::string expectedText(std::string_view prompt, std::uint32_t tokens);

} // namespace carawaylatch::router::testing
