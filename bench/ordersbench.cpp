// Processor time of orders: the state machine alone, a complete order over an in-memory
// object store, a replayed answer, and a journal commit for several journal sizes.
#include <benchmark/benchmark.h>

#include <string>

#include "carawaylatch/orders/journalrecordstore.h"
#include "carawaylatch/orders/orderexecutor.h"
#include "carawaylatch/store/memorystore.h"

namespace
{

namespace base = carawaylatch::base;
namespace orders = carawaylatch::orders;
namespace store = carawaylatch::store;

class BenchService : public orders::ServiceConnection
{
public:
    [[nodiscard]] base::Result<orders::ServiceAnswer> call(const orders::ServiceRequest &request) override
    {
        return orders::ServiceAnswer{201, "application/json", std::string(200, 'b'), request.attempt, {}};
    }
};

class BenchChooser : public orders::UpstreamChooser
{
public:
    [[nodiscard]] base::Result<orders::ChosenUpstream> choose(const std::vector<base::UpstreamId> & /*refused*/) override
    {
        return orders::ChosenUpstream{base::UpstreamId("desk-1"), base::Endpoint{"127.0.0.1", 1}};
    }
};

class BenchLiveness : public orders::RouterLiveness
{
public:
    [[nodiscard]] orders::ClaimantLiveness livenessOf(const base::RouterId & /*router*/, base::Incarnation /*incarnation*/) const override
    {
        return orders::ClaimantLiveness::Live;
    }
};

orders::OrderRequest makeRequest(const base::Clock &clock, std::uint64_t n)
{
    orders::OrderRequest request;
    request.customer = base::CustomerId("acme");
    request.key = "booking-" + std::to_string(n);
    request.service.method = "POST";
    request.service.path = "/v1/services/desk/book";
    request.service.body = "{\"tonnes\":10}";
    request.deadline = clock.now() + base::seconds{30};
    return request;
}

void guardAlone(benchmark::State &state)
{
    const base::TimePoint now{base::hours{1}};
    const orders::OrderStateMachineRequest request{{base::RouterId("r1"), {1}, {1}}, 7, 0, now + base::seconds{30}};
    for (auto _ : state) {
        orders::OrderStateMachine stateMachine(request, {});
        (void)stateMachine.onStart(now);
        (void)stateMachine.onWritten(now, store::Version{1});
        (void)stateMachine.onSent(now, orders::ServiceAnswer{201, {}, {}, {1}, {}});
        benchmark::DoNotOptimize(stateMachine.onWritten(now, store::Version{2}));
    }
}
BENCHMARK(guardAlone);

void orderOverMemory(benchmark::State &state)
{
    store::MemoryStore store;
    orders::ObjectRecordStore claims(store);
    const BenchLiveness liveness;
    const base::SteadyClock clock;
    orders::OrderExecutor executor(base::RouterId("r1"), {1}, claims, liveness, clock);
    BenchService service;
    BenchChooser chooser;
    std::uint64_t n = 0;
    for (auto _ : state) {
        const auto request = makeRequest(clock, state.range(0) == 0 ? n++ : 0);
        benchmark::DoNotOptimize(executor.run(request, service, chooser));
    }
}
BENCHMARK(orderOverMemory)->ArgName("replay")->Arg(0)->Arg(1);

void journalCommit(benchmark::State &state)
{
    orders::JournalImage image;
    orders::OrderRecord record;
    record.claimant = {base::RouterId("router-1"), {1}, {1}};
    record.answer = {201, "application/json", std::string(200, 'b')};
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        (void)image.apply({base::CustomerId("acme"), "booking-" + std::to_string(i)}, record, {});
    }
    std::uint64_t n = 0;
    for (auto _ : state) {
        orders::JournalImage next = image;
        (void)next.apply({base::CustomerId("acme"), "new-" + std::to_string(n++)}, record, {});
        benchmark::DoNotOptimize(next.encode());
    }
    state.counters["bytes"] = static_cast<double>(image.encode().size());
}
BENCHMARK(journalCommit)->ArgName("records")->Arg(10)->Arg(100)->Arg(1000)->Arg(2500);

} // namespace

BENCHMARK_MAIN();
