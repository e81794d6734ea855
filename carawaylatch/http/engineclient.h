// Streams completions from engines over HTTP: implements relay::EngineConnection with
// cpp-httplib.
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
    // Called when an engine rejects an attempt because it is draining. Called on the
    // thread of run().
    using LeavingCallback = std::function<void(const base::UpstreamId &upstream)>;

    // `connectTimeout` bounds the connection setup; the request's timeout bounds each read.
    explicit EngineClient(base::Duration connectTimeout, LeavingCallback onLeaving = {});
    ~EngineClient() override;

    void run(const relay::EngineRequest &request, relay::EngineListener &listener) override;
    void cancel(base::AttemptId attempt) override;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::http
