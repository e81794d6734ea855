// Object store calls per order: counted with the real components for sequential orders,
// and in virtual time for group commit under load.
//
// The second part is a discrete-event model of JournalRecordStore: routers with one
// committer per range, a store with fixed latencies, and orders that write a claim, run
// for a fixed time and write their result. A committer with an outdated cached image
// fails its conditional write, then reads and writes again, as the real one does.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/orders/journalrecordstore.h"
#include "carawaylatch/orders/orderexecutor.h"
#include "carawaylatch/store/memorystore.h"

namespace
{

namespace base = carawaylatch::base;
namespace orders = carawaylatch::orders;
namespace store = carawaylatch::store;

// An in-memory object store that counts its calls.
class CountingStore : public store::MemoryStore
{
public:
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

    base::Result<store::Object> read(std::string_view name) override
    {
        ++reads;
        return MemoryStore::read(name);
    }
    base::Result<store::Version> write(std::string_view name, std::string_view value, store::Version expected) override
    {
        ++writes;
        return MemoryStore::write(name, value, expected);
    }
};

// A service that always succeeds, chosen always, with claimants that are always live.
class StubDependencies : public orders::ServiceConnection, public orders::UpstreamChooser, public orders::RouterLiveness
{
public:
    orders::ClaimantLiveness livenessOf(const base::RouterId & /*router*/, base::Incarnation /*incarnation*/) const override
    {
        return orders::ClaimantLiveness::Live;
    }
    base::Result<orders::ServiceAnswer> call(const orders::ServiceRequest &request) override
    {
        return orders::ServiceAnswer{201, "application/json", std::string(200, 'b'), request.attempt, {}};
    }
    base::Result<orders::ChosenUpstream> choose(const std::vector<base::UpstreamId> & /*refused*/) override
    {
        return orders::ChosenUpstream{base::UpstreamId("desk-1"), base::Endpoint{"127.0.0.1", 1}};
    }
};

void countStoreCalls(const char *name, CountingStore &store, orders::OrderRecordStore &claims)
{
    constexpr std::uint64_t Orders = 500;
    const base::SteadyClock clock;
    StubDependencies stubs;
    orders::OrderExecutor executor(base::RouterId("r1"), {1}, claims, stubs, clock);
    for (const char *kind : {"new", "duplicate"}) {
        const std::uint64_t reads = store.reads;
        const std::uint64_t writes = store.writes;
        for (std::uint64_t n = 0; n < Orders; ++n) {
            orders::OrderRequest request;
            request.customer = base::CustomerId("acme");
            request.key = "booking-" + std::to_string(n);
            request.service.body = "{\"tonnes\":10}";
            request.deadline = clock.now() + base::seconds{30};
            (void)executor.run(request, stubs, stubs);
        }
        std::printf("| %s | %s | %.2f | %.2f |\n", name, kind, static_cast<double>(store.writes - writes) / Orders,
                    static_cast<double>(store.reads - reads) / Orders);
    }
}

struct Load
{
    std::uint32_t routers = 1;
    std::uint32_t ranges = 1;
    double ordersPerSecond = 0; // over all routers
};

// The discrete-event model. Times are in seconds.
class GroupCommitModel
{
public:
    explicit GroupCommitModel(Load load)
        : m_load(load)
        , m_committers(static_cast<std::size_t>(load.routers) * load.ranges)
        , m_versions(load.ranges)
    {
    }

    void run()
    {
        schedule(0, [this] {
            onArrival();
        });
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
    }

    void print() const
    {
        const double orders = static_cast<double>(m_orders);
        std::printf("| %u | %u | %.0f | %.2f | %.1f | %.0f | %.0f | %.1f | %.1f |\n", m_load.routers, m_load.ranges, m_load.ordersPerSecond,
                    static_cast<double>(m_writes) / orders, 2 * orders / static_cast<double>(std::max<std::uint64_t>(1, m_writes - m_conflicts)),
                    static_cast<double>(m_writes) / Seconds, static_cast<double>(m_reads) / Seconds, 1e3 * percentile(0.5), 1e3 * percentile(0.99));
    }

private:
    static constexpr double Seconds = 20;
    static constexpr double CallLatency = 0.005; // of a read or write, which takes effect after half of it
    static constexpr double RunTime = 0.05; // of an order at the service

    struct Event
    {
        double time;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return time > other.time;
        }
    };
    struct Record
    {
        double enqueuedAt;
        bool isClaim;
    };
    struct Committer
    {
        std::deque<Record> waiting;
        bool isBusy = false;
        std::uint64_t version = 0; // of the cached image
    };

    void schedule(double time, std::function<void()> action)
    {
        m_events.push(Event{time, std::move(action)});
    }

    void onArrival()
    {
        if (m_now >= Seconds) {
            return;
        }
        ++m_orders;
        submit(m_random.below(m_committers.size()), true);
        schedule(m_now - std::log1p(-m_random.uniformReal()) / m_load.ordersPerSecond, [this] {
            onArrival();
        });
    }

    void submit(std::size_t index, bool isClaim)
    {
        m_committers[index].waiting.push_back(Record{m_now, isClaim});
        if (!m_committers[index].isBusy) {
            write(index, std::exchange(m_committers[index].waiting, {}));
        }
    }

    void write(std::size_t index, std::deque<Record> batch)
    {
        Committer &committer = m_committers[index];
        committer.isBusy = true;
        ++m_writes;
        schedule(m_now + CallLatency / 2, [this, index, batch = std::move(batch)]() mutable {
            std::uint64_t &version = m_versions[index % m_load.ranges];
            const bool isCurrent = version == m_committers[index].version;
            m_committers[index].version = isCurrent ? ++version : 0;
            schedule(m_now + CallLatency / 2, [this, index, isCurrent, done = std::move(batch)]() mutable {
                isCurrent ? finish(index, done) : readAndRetry(index, std::move(done));
            });
        });
    }

    void readAndRetry(std::size_t index, std::deque<Record> batch)
    {
        ++m_conflicts;
        ++m_reads;
        schedule(m_now + CallLatency / 2, [this, index] {
            m_committers[index].version = m_versions[index % m_load.ranges];
        });
        schedule(m_now + CallLatency, [this, index, retried = std::move(batch)]() mutable {
            write(index, std::move(retried));
        });
    }

    void finish(std::size_t index, const std::deque<Record> &batch)
    {
        for (const Record &it : batch) {
            if (it.isClaim) {
                m_claimTimes.push_back(m_now - it.enqueuedAt);
                schedule(m_now + RunTime, [this, index] {
                    submit(index, false);
                });
            }
        }
        Committer &committer = m_committers[index];
        committer.isBusy = false;
        if (!committer.waiting.empty()) {
            write(index, std::exchange(committer.waiting, {}));
        }
    }

    [[nodiscard]] double percentile(double fraction) const
    {
        std::vector<double> sorted = m_claimTimes;
        std::sort(sorted.begin(), sorted.end());
        return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
    }

    Load m_load;
    double m_now = 0;
    std::priority_queue<Event> m_events;
    std::vector<Committer> m_committers; // router r and range g at index r * ranges + g
    std::vector<std::uint64_t> m_versions;
    base::Random m_random{1};
    std::uint64_t m_orders = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_conflicts = 0;
    std::vector<double> m_claimTimes;
};

} // namespace

int main()
{
    std::printf("| store | order | writes | reads |\n|---|---|---|---|\n");
    CountingStore single;
    orders::ObjectRecordStore singleClaims(single);
    countStoreCalls("single object", single, singleClaims);
    CountingStore journal;
    orders::JournalRecordStore journalClaims(journal, orders::JournalSettings{});
    countStoreCalls("journal", journal, journalClaims);

    std::printf("\n| routers | ranges | orders/s | writes per order | records per write | writes/s | reads/s | claim p50 ms | claim p99 ms |\n"
                "|---|---|---|---|---|---|---|---|---|\n");
    for (const std::uint32_t routers : {1U, 4U, 16U}) {
        for (const std::uint32_t ranges : {1U, 16U}) {
            for (const double rate : {10.0, 100.0, 1000.0, 1500.0}) {
                GroupCommitModel model(Load{routers, ranges, rate});
                model.run();
                model.print();
            }
        }
    }
    return 0;
}
