// Stand-in of a plain service: runs what it is asked and journals it.
//
// The journal is the judge of how often an order ran: every call that carries
// X-Order-Key and isn't refused is an entry, also when its answer is lost.
#pragma once

#include <memory>

#include "carawaylatch/base/time.h"
#include "carawaylatch/http/httpserver.h"

namespace carawaylatch::standin
{

struct ServiceOptions
{
    base::Endpoint endpoint{"127.0.0.1", 0};
    base::Duration runTime = base::milliseconds{5};
};

class Service
{
public:
    explicit Service(const ServiceOptions &options);
    ~Service();

    [[nodiscard]] bool start();
    void stop();
    [[nodiscard]] const base::Endpoint &endpoint() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::standin
