// Stand-in of a model engine: the HTTP interface over an EngineModel.
#pragma once

#include "carawaylatch/http/httpserver.h"
#include "standin/enginemodel.h"

namespace carawaylatch::standin
{

class Engine
{
public:
    explicit Engine(const EngineOptions &options);

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
