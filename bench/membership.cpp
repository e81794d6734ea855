// Measures the member list in virtual time over the routers' own state machines:
// steady-state traffic, detection of a crash, and convergence after a network partition.
//
//     membership [--sizes=4,64,283,1000]
//
// Prints a Markdown table. Bytes include the authentication code of each message and count
// both what a router sends and what it receives. Every router starts with the complete
// member table, as after a warm start.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "carawaylatch/membership/memberlist.h"
#include "carawaylatch/peer/codec.h"
#include "testing/virtualnetwork.h"

ABSL_FLAG(std::vector<std::string>, sizes, std::vector<std::string>({"4", "64", "283", "1000"}), "numbers of routers");
ABSL_FLAG(std::uint64_t, seed, 20261203, "seed of all random choices");

namespace carawaylatch::bench
{

namespace
{

using ::carawaylatch::testing::VirtualNetwork;
using membership::MemberState;

constexpr std::uint32_t DomainCount = 12;
constexpr std::size_t HmacBytes = 32;
constexpr base::Duration TickInterval = base::milliseconds{50};
constexpr base::Duration PartitionDuration = base::seconds{60};
constexpr base::Duration MaxRunTime = base::seconds{180};

class Fleet
{
public:
    explicit Fleet(std::uint32_t size)
        : m_network(absl::GetFlag(FLAGS_seed))
        , m_size(size)
        , m_isUp(size, true)
    {
        std::vector<membership::MemberRecord> records;
        for (std::uint32_t n = 0; n < size; ++n) {
            records.push_back({idOf(n),
                               base::FailureDomain("domain-" + std::to_string(n % DomainCount)),
                               endpointOf(n),
                               {n + 1},
                               1'790'000'000'000U + n,
                               0,
                               MemberState::Alive});
        }
        for (std::uint32_t n = 0; n < size; ++n) {
            membership::MemberListOptions options;
            options.seed = absl::GetFlag(FLAGS_seed);
            m_lists.push_back(std::make_unique<membership::MemberList>(options, records[n], m_network.now()));
            m_lists.back()->onRecords(records, m_network.now());
            (void)m_lists.back()->takeActions();
        }
        base::Random random(absl::GetFlag(FLAGS_seed));
        for (std::uint32_t n = 0; n < size; ++n) {
            m_network.at(m_network.now() + base::microseconds{static_cast<std::int64_t>(random.below(50'000))}, [this, n] {
                tick(n);
            });
        }
    }

    VirtualNetwork &network()
    {
        return m_network;
    }
    void crash(std::uint32_t n)
    {
        m_isUp[n] = false;
    }
    void partitionDomain(std::uint32_t domain)
    {
        for (std::uint32_t it = 0; it < DomainCount; ++it) {
            if (it != domain) {
                m_network.partition(domain, it);
            }
        }
    }
    std::uint64_t takeBytes()
    {
        return std::exchange(m_bytes, 0);
    }
    // Runs until every running router has router `n` in the state. Returns the seconds it
    // took, -1 if it took longer than MaxRunTime.
    double runUntilObserved(std::uint32_t n, MemberState state)
    {
        const auto start = m_network.now();
        while (m_network.now() < start + MaxRunTime) {
            m_network.runFor(base::milliseconds{100});
            bool isObserved = true;
            for (std::uint32_t i = 0; i < m_size && isObserved; ++i) {
                isObserved = !m_isUp[i] || i == n || stateOf(i, n) == state;
            }
            if (isObserved) {
                return base::toSeconds(m_network.now() - start);
            }
        }
        return -1;
    }
    // Runs until all routers have the same complete member table. Returns the seconds it
    // took, -1 if it took longer than MaxRunTime.
    double runUntilConverged()
    {
        const auto start = m_network.now();
        while (m_network.now() < start + MaxRunTime) {
            m_network.runFor(base::milliseconds{500});
            const bool hasConverged = std::all_of(m_lists.begin(), m_lists.end(), [&](const auto &it) {
                return it->digest() == m_lists.front()->digest() && it->digest().count == m_size;
            });
            if (hasConverged) {
                return base::toSeconds(m_network.now() - start);
            }
        }
        return -1;
    }

private:
    static base::RouterId idOf(std::uint32_t n)
    {
        return base::RouterId("router-" + std::to_string(n));
    }
    static base::Endpoint endpointOf(std::uint32_t n)
    {
        return {"10.0." + std::to_string(n / 200) + '.' + std::to_string(n % 200), static_cast<std::uint16_t>(7'000)};
    }
    MemberState stateOf(std::uint32_t observer, std::uint32_t n) const
    {
        const auto state = m_lists[observer]->stateOf(idOf(n));
        return state.value_or(MemberState::Dead);
    }
    void tick(std::uint32_t n)
    {
        if (m_isUp[n]) {
            m_lists[n]->onTick(m_network.now());
            performActions(n);
        }
        m_network.at(m_network.now() + TickInterval, [this, n] {
            tick(n);
        });
    }
    void performActions(std::uint32_t n)
    {
        for (auto &it : m_lists[n]->takeActions()) {
            auto *send = std::get_if<membership::SendMember>(&it);
            if (send == nullptr || send->to.id.isEmpty()) {
                continue;
            }
            const auto to = static_cast<std::uint32_t>(std::stoul(send->to.id.value().substr(7)));
            const auto message = std::visit(
                [](const auto &value) {
                    return peer::PeerMessage(value);
                },
                send->message);
            m_bytes += peer::encodeEnvelope({{send->to.id, {1ULL << 60U}}, 1'000'000, message}).size() + HmacBytes;
            m_network.send(n % DomainCount, to % DomainCount, [this, to, sent = send->message] {
                if (m_isUp[to]) {
                    m_lists[to]->onMessage(sent, m_network.now());
                    performActions(to);
                }
            });
        }
    }

    VirtualNetwork m_network;
    std::uint32_t m_size;
    std::vector<bool> m_isUp;
    std::vector<std::unique_ptr<membership::MemberList>> m_lists;
    std::uint64_t m_bytes = 0;
};

struct SteadyState
{
    double messages = 0; // sent per router and second
    double bytes = 0; // sent and received per router and second
    double cpu = 0; // microseconds per router and second
};

// Returns the bytes sent and received per router and second. Each message is sent by
// one router and received by another, so the sum is twice the bytes sent.
double rateOf(std::uint64_t bytes, std::uint32_t size, double duration)
{
    return 2.0 * static_cast<double>(bytes) / size / std::max(duration, 0.1);
}

SteadyState measureSteady(Fleet &fleet, std::uint32_t size)
{
    constexpr double Duration = 30;
    fleet.network().runFor(base::seconds{20});
    (void)fleet.takeBytes();
    const auto messages = fleet.network().messages();
    const auto start = std::clock();
    fleet.network().runFor(base::fromSeconds(Duration));
    const double cpu = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    return {static_cast<double>(fleet.network().messages() - messages) / size / Duration, rateOf(fleet.takeBytes(), size, Duration),
            cpu * 1e6 / size / Duration};
}

void measure(std::uint32_t size)
{
    {
        Fleet fleet(size);
        const auto steady = measureSteady(fleet, size);
        fleet.crash(size - 1);
        const double detection = fleet.runUntilObserved(size - 1, MemberState::Dead);
        std::printf("| %u | %.1f | %.0f | %.0f | %.1f | %.0f |", size, steady.messages, steady.bytes, steady.cpu, detection,
                    rateOf(fleet.takeBytes(), size, detection));
        std::fflush(stdout);
    }
    Fleet fleet(size);
    fleet.network().runFor(base::seconds{20});
    fleet.partitionDomain(0);
    (void)fleet.takeBytes();
    fleet.network().runFor(PartitionDuration);
    const double partitionRate = rateOf(fleet.takeBytes(), size, base::toSeconds(PartitionDuration));
    fleet.network().removePartitions();
    const double convergence = fleet.runUntilConverged();
    std::printf(" %.0f | %.1f | %.0f |\n", partitionRate, convergence, rateOf(fleet.takeBytes(), size, convergence));
    std::fflush(stdout);
}

} // namespace

} // namespace carawaylatch::bench

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("measures the member list in virtual time");
    absl::ParseCommandLine(argc, argv);
    std::printf("| routers | messages/s | bytes/s | CPU us/s | crash detected by all after s | bytes/s until then | bytes/s during the partition | converged "
                "after s | bytes/s until then |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|\n");
    for (const auto &size : absl::GetFlag(FLAGS_sizes)) {
        carawaylatch::bench::measure(static_cast<std::uint32_t>(std::stoul(size)));
    }
    return 0;
}
