// Measures the member list in virtual time over the routers' own state machines:
// steady traffic, a crash, a failure domain cut off and healed.
//
//     membership [--sizes=4,64,283,1000]
//
// Prints a Markdown table. Bytes are those of sealed messages, sent and received
// counted once each at their router. Every router starts with the whole table, as
// it does after a warm start.
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

constexpr std::uint32_t Domains = 12;
constexpr std::size_t SealBytes = 32;
constexpr base::Duration TickInterval = base::milliseconds{50};
constexpr base::Duration CutDuration = base::seconds{60};
constexpr base::Duration Longest = base::seconds{180};

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
            records.push_back(
                {idOf(n), base::FailureDomain("domain-" + std::to_string(n % Domains)), endpointOf(n), {n + 1}, 1'790'000'000'000U + n, 0, MemberState::Alive});
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
    void kill(std::uint32_t n)
    {
        m_isUp[n] = false;
    }
    void cutDomain(std::uint32_t domain)
    {
        for (std::uint32_t it = 0; it < Domains; ++it) {
            if (it != domain) {
                m_network.partition(domain, it);
            }
        }
    }
    std::uint64_t takeBytes()
    {
        return std::exchange(m_bytes, 0);
    }
    // Runs until all routers that are up see a router in the state; returns the seconds it took.
    double runUntilSeen(std::uint32_t n, MemberState state)
    {
        const auto start = m_network.now();
        while (m_network.now() < start + Longest) {
            m_network.runFor(base::milliseconds{100});
            bool isSeen = true;
            for (std::uint32_t i = 0; i < m_size && isSeen; ++i) {
                isSeen = !m_isUp[i] || i == n || stateOf(i, n) == state;
            }
            if (isSeen) {
                return base::toSeconds(m_network.now() - start);
            }
        }
        return -1;
    }
    // Runs until all tables have the same members again; returns the seconds it took.
    double runUntilEqual()
    {
        const auto start = m_network.now();
        while (m_network.now() < start + Longest) {
            m_network.runFor(base::milliseconds{500});
            const bool isEqual = std::all_of(m_lists.begin(), m_lists.end(), [&](const auto &it) {
                return it->digest() == m_lists.front()->digest() && it->digest().count == m_size;
            });
            if (isEqual) {
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
            act(n);
        }
        m_network.at(m_network.now() + TickInterval, [this, n] {
            tick(n);
        });
    }
    void act(std::uint32_t n)
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
            m_bytes += peer::encodeEnvelope({{send->to.id, {1ULL << 60U}}, 1'000'000, message}).size() + SealBytes;
            m_network.send(n % Domains, to % Domains, [this, to, sent = send->message] {
                if (m_isUp[to]) {
                    m_lists[to]->onMessage(sent, m_network.now());
                    act(to);
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

struct Steady
{
    double messages = 0; // sent by a router in a second
    double bytes = 0; // sent and received
    double cpu = 0; // microseconds in a second
};

// What a router sends it receives elsewhere: sent and received are twice the sum over all.
double rateOf(std::uint64_t bytes, std::uint32_t size, double duration)
{
    return 2.0 * static_cast<double>(bytes) / size / std::max(duration, 0.1);
}

Steady measureSteady(Fleet &fleet, std::uint32_t size)
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
        fleet.kill(size - 1);
        const double dead = fleet.runUntilSeen(size - 1, MemberState::Dead);
        std::printf("| %u | %.1f | %.0f | %.0f | %.1f | %.0f |", size, steady.messages, steady.bytes, steady.cpu, dead, rateOf(fleet.takeBytes(), size, dead));
        std::fflush(stdout);
    }
    Fleet fleet(size);
    fleet.network().runFor(base::seconds{20});
    fleet.cutDomain(0);
    (void)fleet.takeBytes();
    fleet.network().runFor(CutDuration);
    const double cutRate = rateOf(fleet.takeBytes(), size, base::toSeconds(CutDuration));
    fleet.network().removePartitions();
    const double heal = fleet.runUntilEqual();
    std::printf(" %.0f | %.1f | %.0f |\n", cutRate, heal, rateOf(fleet.takeBytes(), size, heal));
    std::fflush(stdout);
}

} // namespace

} // namespace carawaylatch::bench

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("measures the member list in virtual time");
    absl::ParseCommandLine(argc, argv);
    std::printf(
        "| routers | messages/s | bytes/s | CPU us/s | crash known to all after s | bytes/s then | bytes/s in the cut | healed after s | bytes/s then |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|\n");
    for (const auto &size : absl::GetFlag(FLAGS_sizes)) {
        carawaylatch::bench::measure(static_cast<std::uint32_t>(std::stoul(size)));
    }
    return 0;
}
