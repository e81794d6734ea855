// Stand-in for a model engine in tests and benchmarks: serves an EngineModel over
// the engine's HTTP interface.
#pragma once

#include "carawaylatch/http/httpserver.h"
#include "standin/enginemodel.h"

namespace carawaylatch::standin
{

class Engine
{
public:
    explicit Engine(const EngineOptions &options);

    // Returns false if the address can't be bound.
    [[nodiscard]] bool start();
    void stop();
    [[nodiscard]] const base::Endpoint &endpoint() const;
    [[nodiscard]] EngineModel &model();

private:
    void addStreamHandlers();
    void addStateHandlers();

    EngineModel m_model;
    http::HttpServer m_httpServer;
};

} // namespace carawaylatch::standin
