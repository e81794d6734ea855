// Streams from engines over HTTP: relay::EngineConnection on cpp-httplib.
#pragma once

#include <functional>
#include <memory>

#include "carawaylatch/base/time.h"
#include "carawaylatch/relay/engineconnection.h"

namespace carawaylatch::http
{

class EngineClient : public relay::EngineConnection
{
public:
    // Told when an engine refused because it leaves. Called from traffic threads.
    using LeavingCallback = std::function<void(const base::UpstreamId &upstream)>;

    explicit EngineClient(base::Duration connectTimeout, LeavingCallback onLeaving = {});
    ~EngineClient() override;

    void run(const relay::EngineRequest &request, relay::EngineListener &listener) override;
    void cancel(base::AttemptId attempt) override;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::http
