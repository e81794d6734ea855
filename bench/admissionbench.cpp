// Cost of admission and of the relay, for 8 to 640 customers.
//
//   EnterLeave/C            admits and releases one request without waiting, C customers
//   EnterLeaveThreads/C     the same from eight threads
//   QueuePushPop/C          pops and pushes one entry of a fair queue with C backlogged customers
//   ReportAnswerApply/C     exchanges share tables between two routers, C active customers;
//                           message bytes and bytes of state
//   Token                   passes one token through the stream assembler
//   OpenStream/T            heap bytes of an open stream after T tokens
#include <benchmark/benchmark.h>

#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

#include "carawaylatch/admission/admissioncontroller.h"
#include "carawaylatch/relay/streamassembler.h"

namespace carawaylatch::bench
{

namespace
{

constexpr base::TimePoint Start = base::TimePoint{base::hours{1}};
const base::SteadyClock Clock;
constexpr std::int64_t CurrentCustomers = 8;
constexpr std::int64_t DesignCustomers = 640;

base::CustomerId customerName(std::int64_t i)
{
    return base::CustomerId("customer-" + std::to_string(i));
}

config::Tables tables(std::int64_t customers)
{
    config::Tables tables;
    for (std::int64_t i = 0; i < customers; ++i) {
        tables.customers.push_back({.id = customerName(i), .keyDigest = {}, .weight = 1, .requestsPerSecond = 1e6, .concurrency = 1000});
    }
    return tables;
}

admission::LimiterOptions limits(const std::string &router)
{
    return {.router = base::RouterId(router), .incarnation = {1}, .fleetSize = 4, .slot = 0};
}

std::unique_ptr<admission::AdmissionController> makeAdmissionController(std::int64_t customers)
{
    admission::AdmissionOptions options;
    options.limits = limits("a");
    auto admissionController = std::make_unique<admission::AdmissionController>(options, Clock);
    admissionController->configure(tables(customers), Clock.now());
    return admissionController;
}

void admitRelease(benchmark::State &state)
{
    static std::unique_ptr<admission::AdmissionController> admissionController;
    if (state.thread_index() == 0) {
        admissionController = makeAdmissionController(state.range(0));
    }
    std::int64_t n = state.thread_index();
    for (auto _ : state) {
        const auto now = Clock.now();
        auto ticket = admissionController->admit(
            {.customer = customerName(n++ % state.range(0)), .tokens = 1000, .deadline = now + base::seconds{10}, .callerGone = {}}, now);
        benchmark::DoNotOptimize(ticket);
    }
}
BENCHMARK(admitRelease)->Name("EnterLeave")->RangeMultiplier(3)->Range(CurrentCustomers, DesignCustomers);
BENCHMARK(admitRelease)->Name("EnterLeaveThreads")->Arg(CurrentCustomers)->Arg(DesignCustomers)->Threads(8)->UseRealTime();

void queuePushPop(benchmark::State &state)
{
    admission::FairQueue queue;
    std::uint64_t id = 0;
    const auto push = [&](std::int64_t customer) {
        return queue.push(
            {.id = ++id, .customer = customerName(customer), .tokens = 1000 + id % 5000, .enqueued = Start, .deadline = Start + base::seconds{10}});
    };
    for (std::int64_t i = 0; i < 4 * state.range(0); ++i) {
        (void)push(i % state.range(0));
    }
    const auto all = [](const base::CustomerId &) {
        return true;
    };
    for (auto _ : state) {
        const auto entry = queue.pop(Start, all);
        (void)push(static_cast<std::int64_t>(entry->id) % state.range(0));
    }
}
BENCHMARK(queuePushPop)->Name("QueuePushPop")->RangeMultiplier(3)->Range(CurrentCustomers, DesignCustomers);

// Estimates the encoded size of a message: a header, and for each entry the
// customer's name and eight bytes of numbers.
template <typename Message>
std::size_t messageBytes(const Message &message)
{
    constexpr std::size_t HeaderBytes = 64;
    std::size_t bytes = HeaderBytes;
    for (const auto &it : message.entries) {
        bytes += it.customer.value().size() + 8;
    }
    return bytes;
}

void exchangeShares(benchmark::State &state)
{
    admission::Limiter lender(limits("lender"), Start);
    admission::Limiter borrower(limits("borrower"), Start);
    const config::Tables all = tables(state.range(0));
    lender.configure(all.customers, Start);
    borrower.configure(all.customers, Start);
    for (const config::Customer &it : all.customers) {
        borrower.setWaiting(it.id, 300);
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto report = borrower.report(base::RouterId("lender"), Start);
        const auto table = lender.answer(report, Start);
        borrower.apply(table, Start);
        bytes = messageBytes(report) + messageBytes(table);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["stateBytes"] = static_cast<double>(lender.memoryBytes() + borrower.memoryBytes()) / 2;
}
BENCHMARK(exchangeShares)->Name("ReportAnswerApply")->RangeMultiplier(3)->Range(CurrentCustomers, DesignCustomers);

// Returns a stream that has received its response head and no token.
std::unique_ptr<relay::StreamAssembler> openStream(relay::Actions &out)
{
    relay::StreamOptions options;
    options.firstTokenDeadline = Start + base::hours{1};
    options.deadline = Start + base::hours{1};
    options.maxTokens = ~0ULL;
    options.maxTextBytes = ~0ULL;
    auto stream = std::make_unique<relay::StreamAssembler>(options, Start);
    const relay::AttemptPlan plan{
        .upstream = base::UpstreamId("engine-1"), .endpoint = {"127.0.0.1", 9000}, .incarnation = {1}, .weightsVersion = {1}, .salt = {1}};
    stream->start(Start, out);
    stream->placed({1}, plan, relay::AttemptPurpose::Fresh, Start, out);
    stream->head({1}, {{1}, {1}, {1}, {1}}, Start, out);
    out.clear();
    return stream;
}

void token(benchmark::State &state)
{
    relay::Actions out;
    auto stream = openStream(out);
    std::uint64_t n = 0;
    for (auto _ : state) {
        stream->token({1}, {n++, "word"}, Start, out);
        out.clear();
    }
}
BENCHMARK(token)->Name("Token");

void openStreams(benchmark::State &state)
{
    constexpr std::size_t Streams = 290;
    relay::Actions out;
    double bytes = 0;
    for (auto _ : state) {
        const auto before = mallinfo2().uordblks;
        std::vector<std::unique_ptr<relay::StreamAssembler>> streams;
        streams.reserve(Streams);
        for (std::size_t i = 0; i < Streams; ++i) {
            streams.push_back(openStream(out));
            for (std::int64_t n = 0; n < state.range(0); ++n) {
                streams.back()->token({1}, {static_cast<std::uint64_t>(n), "word"}, Start, out);
                out.clear();
            }
        }
        bytes = static_cast<double>(mallinfo2().uordblks - before) / Streams;
    }
    state.counters["bytesEach"] = bytes;
}
BENCHMARK(openStreams)->Name("OpenStream")->Arg(1)->Arg(250)->Arg(1000)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace carawaylatch::bench

BENCHMARK_MAIN();
