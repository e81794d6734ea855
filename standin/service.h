// Stand-in for a plain service in tests: executes every call and records it.
//
// The journal is the reference for how often an order was executed: each call
// with X-Order-Key that isn't refused is recorded, even if its response is lost.
#pragma once

#include <memory>

#include "carawaylatch/base/time.h"
#include "carawaylatch/http/httpserver.h"

namespace carawaylatch::standin
{

struct ServiceOptions
{
    base::Endpoint endpoint{"127.0.0.1", 0};
    base::Duration runTime = base::milliseconds{5}; // duration of each call
};

class Service
{
public:
    explicit Service(const ServiceOptions &options);
    ~Service();

    // Returns false if the address can't be bound.
    [[nodiscard]] bool start();
    void stop();
    [[nodiscard]] const base::Endpoint &endpoint() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace carawaylatch::standin
