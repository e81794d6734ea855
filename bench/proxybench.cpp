// Cost of the traffic plane: processor time and allocations of its thread per request and
// per stream event on loopback, and the cost of single steps without sockets: placing a
// prompt, applying the load report of a peer, writing a log line.
//
// The plane runs on a thread of its own; the client and the scripted upstream run on other
// threads, so that only the plane's thread is measured.
#include <benchmark/benchmark.h>

#include <fcntl.h>
#include <sys/resource.h>

#include <atomic>
#include <cstdlib>
#include <future>
#include <memory>
#include <new>
#include <string>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "carawaylatch/proxy/loadreport.h"
#include "carawaylatch/proxy/peerload.h"
#include "carawaylatch/proxy/placement.h"
#include "carawaylatch/proxy/trafficplane.h"
#include "carawaylatch/proxy/upstreamtracker.h"
#include "platform/headerdialect.h"
#include "platform/testing/scriptedserver.h"

namespace
{

std::atomic<std::uint64_t> allocations = 0; // of the threads that set isCounted
thread_local bool isCounted = false;

} // namespace

void *operator new(std::size_t size)
{
    if (isCounted) {
        allocations.fetch_add(1, std::memory_order_relaxed);
    }
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    std::abort();
}
void operator delete(void *memory) noexcept
{
    std::free(memory);
}
void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace
{

namespace base = carawaylatch::base;
namespace proxy = carawaylatch::proxy;
using platform::testing::callerRequest;
using platform::testing::chunk;
using platform::testing::event;
using platform::testing::LastChunk;
using platform::testing::okResponse;
using platform::testing::ScriptedResponse;
using platform::testing::ScriptedServer;
using platform::testing::streamHead;

class NullObserver : public proxy::TrafficObserver
{
public:
    void onUpstreamLeaving(const base::UpstreamId & /*upstream*/, std::uint64_t /*startTimeMs*/) override
    {
    }
    void onWeightsSeen(const base::UpstreamId & /*upstream*/, base::WeightsVersion /*weights*/) override
    {
    }
    void onRouterUnreachable(const base::Endpoint & /*peers*/) override
    {
    }
    void onStreamsSent(std::vector<proxy::StreamOrigin> /*streams*/) override
    {
    }
    void findOrigin(const base::PoolName & /*pool*/, std::uint64_t /*stream*/, std::function<void(proxy::OriginAnswer)> done) override
    {
        done({});
    }
};

// A traffic plane on its own thread, with one scripted upstream.
class TrafficPlaneFixture
{
public:
    explicit TrafficPlaneFixture(const ScriptedServer::Script &script)
        : m_server(m_upstreamLoop, script)
        , m_log(::open("/dev/null", O_WRONLY | O_CLOEXEC), 1'000'000, m_clock)
    {
        proxy::TrafficSettings settings;
        settings.callers = {"127.0.0.1", 0};
        settings.operators = {"127.0.0.1", 0};
        m_plane = std::make_unique<proxy::TrafficPlane>(m_planeLoop, m_clock, settings, m_dialect, m_observer, m_log, [] {
            return base::Duration{};
        });
        if (!m_plane->listen()) {
            std::abort();
        }
        m_plane->adopt(view());
        m_planeThread = std::thread([this] {
            isCounted = true;
            m_planeLoop.run();
        });
        m_upstreamThread = std::thread([this] {
            m_upstreamLoop.run();
        });
    }
    ~TrafficPlaneFixture()
    {
        m_planeLoop.stop();
        m_upstreamLoop.stop();
        m_planeThread.join();
        m_upstreamThread.join();
        m_plane->closeAll();
        m_planeLoop.restart();
        m_planeLoop.poll();
    }
    TrafficPlaneFixture(const TrafficPlaneFixture &) = delete;
    TrafficPlaneFixture &operator=(const TrafficPlaneFixture &) = delete;

    [[nodiscard]] base::Endpoint callers() const
    {
        return m_plane->callersEndpoint();
    }
    // Returns the processor time of the plane's thread in seconds.
    [[nodiscard]] double planeSeconds()
    {
        std::promise<double> seconds;
        boost::asio::post(m_planeLoop, [&seconds] {
            timespec time{};
            clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
            seconds.set_value(static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9);
        });
        return seconds.get_future().get();
    }

private:
    std::shared_ptr<const proxy::FleetView> view() const
    {
        auto table = std::make_shared<proxy::RouteTable>();
        table->version = 1;
        for (const auto &[prefix, kind] : {std::pair{"/call/", proxy::CallKind::Idempotent}, std::pair{"/stream/", proxy::CallKind::Stream}}) {
            proxy::Route route;
            route.host = "h";
            route.pathPrefix = prefix;
            route.kind = kind;
            route.isPublic = true;
            route.isResumable = true;
            route.pools.push_back({base::PoolName("p"), 1});
            table->routes.push_back(route);
        }
        table->pools.push_back(proxy::Pool{base::PoolName("p"), 100, std::nullopt});
        auto out = std::make_shared<proxy::FleetView>();
        out->table = table;
        proxy::Upstream upstream;
        upstream.id = base::UpstreamId("i-1");
        upstream.pool = base::PoolName("p");
        upstream.endpoint = m_server.endpoint();
        upstream.slots = 64;
        out->upstreams.push_back(upstream);
        return out;
    }

    boost::asio::io_context m_planeLoop{1};
    boost::asio::io_context m_upstreamLoop{1};
    base::SteadyClock m_clock;
    platform::HeaderDialect m_dialect;
    NullObserver m_observer;
    ScriptedServer m_server;
    carawaylatch::telemetry::EventLog m_log;
    std::unique_ptr<proxy::TrafficPlane> m_plane;
    std::thread m_planeThread;
    std::thread m_upstreamThread;
};

// Sends requests sequentially on one connection and reads each response up to `end`.
// Reports processor time and allocations of the plane per event.
void measureExchanges(benchmark::State &state, TrafficPlaneFixture &fixture, const std::string &request, const std::string &end, int eventsPerRequest)
{
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket socket(loop);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.callers().port});
    socket.set_option(boost::asio::ip::tcp::no_delay(true));
    std::string response;
    const double before = fixture.planeSeconds();
    const std::uint64_t allocatedBefore = allocations.load();
    std::int64_t n = 0;
    for (auto _ : state) {
        boost::asio::write(socket, boost::asio::buffer(request));
        response.clear();
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(response), end);
        ++n;
    }
    const double events = static_cast<double>(n) * eventsPerRequest;
    state.counters["plane_us"] = (fixture.planeSeconds() - before) * 1e6 / events;
    state.counters["allocations"] = static_cast<double>(allocations.load() - allocatedBefore) / events;
}

void benchCall(benchmark::State &state)
{
    TrafficPlaneFixture fixture([](const std::string &, const std::string &id) {
        return ScriptedResponse{{okResponse(id, std::string(799, 'x') + '!')}};
    });
    measureExchanges(state, fixture, callerRequest("/call/", "a1", {}, std::string(static_cast<std::size_t>(state.range(0)), 'b')), "!", 1);
}
BENCHMARK(benchCall)->Arg(600)->Arg(18000)->UseRealTime();

void benchStreamEvent(benchmark::State &state)
{
    constexpr int Events = 50;
    TrafficPlaneFixture fixture([](const std::string &, const std::string &id) {
        ScriptedResponse response{{streamHead(id)}, base::microseconds{300}};
        for (int i = 1; i <= Events; ++i) {
            response.writes.push_back(chunk(event(i)));
        }
        response.writes.emplace_back(LastChunk);
        return response;
    });
    measureExchanges(state, fixture, callerRequest("/stream/", "a1"), "0\r\n\r\n", Events);
}
BENCHMARK(benchStreamEvent)->UseRealTime();

// A pool of engines of one model, with load of a peer reported for each.
struct EnginePool
{
    explicit EnginePool(int engines)
    {
        auto table = std::make_shared<proxy::RouteTable>();
        table->pools.push_back(proxy::Pool{base::PoolName("p"), 100, proxy::EngineCapacity{100'000, 16}});
        view.table = table;
        proxy::LoadReport report;
        report.isFullReport = true;
        for (int i = 0; i < engines; ++i) {
            proxy::Upstream upstream;
            upstream.id = base::UpstreamId("i-" + std::to_string(1'000'000 + i));
            upstream.pool = base::PoolName("p");
            upstream.slots = 16;
            upstream.models[base::ModelId("m")] = base::WeightsVersion{1};
            view.upstreams.push_back(upstream);
            report.loads.push_back({base::hash64(upstream.id.value()), 2, 500, 18'000});
        }
        tracker.adopt(view, {});
        static_cast<void>(tracker.applyReport(report, {}));
    }
    proxy::FleetView view;
    proxy::UpstreamTracker tracker;
};

void benchPlace(benchmark::State &state)
{
    EnginePool pool(static_cast<int>(state.range(0)));
    const proxy::PlacementTuning tuning;
    proxy::PlacementQuery query;
    query.pool = base::PoolName("p");
    query.model = base::ModelId("m");
    query.sharedTokens = 6000;
    query.memoryTokens = 9000;
    for (auto _ : state) {
        ++query.prefixKey;
        benchmark::DoNotOptimize(proxy::place(query, pool.view, pool.tracker, tuning));
    }
}
BENCHMARK(benchPlace)->Arg(9)->Arg(90)->Arg(833);

// Encodes, decodes and applies an incremental load report of a peer.
void benchReport(benchmark::State &state)
{
    proxy::LoadReport report;
    report.isFullReport = true;
    proxy::PeerLoad peerLoad;
    peerLoad.apply(report, {});
    report.isFullReport = false;
    for (std::uint64_t i = 0; i < static_cast<std::uint64_t>(state.range(0)); ++i) {
        report.loads.push_back({i, 1, 9000, 9000});
        report.placements.push_back({i, i});
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::string text = encodeLoadReport(report);
        bytes = text.size();
        benchmark::DoNotOptimize(peerLoad.apply(proxy::decodeLoadReport(text).value(), {}));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(benchReport)->Arg(1)->Arg(5)->Arg(50);

// Writes the log line of a finished request, flushed as often as by the plane.
void benchLogLine(benchmark::State &state)
{
    const base::SteadyClock clock;
    carawaylatch::telemetry::EventLog log(::open("/dev/null", O_WRONLY | O_CLOEXEC), 1'000'000, clock);
    constexpr int LinesForEachFlush = 10; // 50 ms at 200 requests a second
    int lines = 0;
    for (auto _ : state) {
        log.write(base::LogEvent::RequestEnded, {{"id", "9c41d07be2a35f68"},
                                                 {"route", "r-1"},
                                                 {"pool", "p"},
                                                 {"upstream", "i-7f3a91c2"},
                                                 {"attempts", "1"},
                                                 {"sent", "1"},
                                                 {"unexecuted", "0"},
                                                 {"status", "200"},
                                                 {"outcome", "served"},
                                                 {"reason", ""},
                                                 {"queued_ms", "0.1"},
                                                 {"first_ms", "203.4"},
                                                 {"pause_ms", "58.1"},
                                                 {"total_ms", "1203.9"},
                                                 {"table", "7"},
                                                 {"view", "212"},
                                                 {"age_ms", "713.2"}});
        if (++lines % LinesForEachFlush == 0) {
            log.flush();
        }
    }
}
BENCHMARK(benchLogLine);

} // namespace

BENCHMARK_MAIN();
