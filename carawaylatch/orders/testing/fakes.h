// Fakes for the tests of orders: a service that counts its runs, a chooser, router
// liveness, and an object store that runs a hook before a chosen call.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "carawaylatch/orders/orderexecutor.h"
#include "carawaylatch/store/faultystore.h"

namespace carawaylatch::orders::testing
{

enum class ServiceFault {
    None,
    Refused, // nothing ran
    NotSent, // nothing ran
    AnswerLost, // ran
    RequestLost, // did not run, unknown to the caller
    WrongAttempt, // ran; the answer is that of another attempt
};

constexpr ServiceFault AllServiceFaults[] = {ServiceFault::None,       ServiceFault::Refused,     ServiceFault::NotSent,
                                             ServiceFault::AnswerLost, ServiceFault::RequestLost, ServiceFault::WrongAttempt};

// Runs orders in memory; thread-safe.
class FakeService : public ServiceConnection
{
public:
    // Chooses the fault of each call; called without a lock.
    std::function<ServiceFault(const ServiceRequest &)> chooseFault;
    // Runs before the fault is chosen, to interleave other work.
    std::function<void()> before;

    [[nodiscard]] base::Result<ServiceAnswer> call(const ServiceRequest &request) override
    {
        if (before) {
            before();
        }
        const ServiceFault fault = chooseFault ? chooseFault(request) : ServiceFault::None;
        if (fault == ServiceFault::Refused) {
            return base::fail(base::ErrorKind::Overloaded, "service is busy");
        }
        if (fault == ServiceFault::NotSent) {
            return base::fail(base::ErrorKind::Unavailable, "service was not reached");
        }
        if (fault != ServiceFault::RequestLost) {
            const std::lock_guard lock(m_mutex);
            ++m_runs[request.orderKey];
            m_ran.insert(request.attempt);
        }
        if (fault == ServiceFault::AnswerLost || fault == ServiceFault::RequestLost) {
            return base::fail(base::ErrorKind::Truncated, "connection broke");
        }
        ServiceAnswer answer{201, "text/plain", "booked " + request.orderKey + " " + std::to_string(request.attempt.value), request.attempt, {}};
        answer.attempt.value += fault == ServiceFault::WrongAttempt ? 1 : 0;
        return answer;
    }

    [[nodiscard]] int runs(const std::string &orderKey) const
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_runs.find(orderKey);
        return it == m_runs.end() ? 0 : it->second;
    }
    [[nodiscard]] int mostRuns() const
    {
        const std::lock_guard lock(m_mutex);
        int most = 0;
        for (const auto &it : m_runs) {
            most = std::max(most, it.second);
        }
        return most;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs; // by order key
    std::set<base::AttemptId> m_ran;
};

class FakeChooser : public UpstreamChooser
{
public:
    std::size_t services = 1;

    [[nodiscard]] base::Result<ChosenUpstream> choose(const std::vector<base::UpstreamId> &refused) override
    {
        if (refused.size() >= services) {
            return base::fail(base::ErrorKind::Overloaded, "no service can take the order", base::seconds{2});
        }
        return ChosenUpstream{base::UpstreamId("service-" + std::to_string(refused.size())), base::Endpoint{"127.0.0.1", 1}};
    }
};

class FakeLiveness : public RouterLiveness
{
public:
    ClaimantLiveness all = ClaimantLiveness::Live;

    [[nodiscard]] ClaimantLiveness livenessOf(const base::RouterId & /*router*/, base::Incarnation /*incarnation*/) const override
    {
        return all;
    }
};

// Runs a hook before the n-th call.
class HookedStore : public store::FaultyStore
{
public:
    using FaultyStore::FaultyStore;
    std::function<void()> hook;
    int callsUntilHook = -1;

    base::Result<store::Object> read(std::string_view name) override
    {
        tick();
        return FaultyStore::read(name);
    }
    base::Result<store::Version> write(std::string_view name, std::string_view value, store::Version expected) override
    {
        tick();
        return FaultyStore::write(name, value, expected);
    }

private:
    void tick()
    {
        if (callsUntilHook >= 0 && callsUntilHook-- == 0) {
            hook();
        }
    }
};

inline OrderRequest makeRequest(const base::Clock &clock, const std::string &key, std::string_view body = "ten tonnes")
{
    OrderRequest request;
    request.customer = base::CustomerId("acme");
    request.key = key;
    request.service.method = "POST";
    request.service.path = "/book";
    request.service.contentType = "text/plain";
    request.service.body = body;
    request.deadline = clock.now() + base::seconds{30};
    return request;
}

} // namespace carawaylatch::orders::testing
