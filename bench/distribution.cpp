// Compares ways to disseminate configuration edits, in virtual time over the routers'
// own state machines: the distribution tree against push gossip.
//
// Both have watchers, heartbeats that carry revisions, and requests that fill gaps. They
// differ in the recipients of a new edit: the tree sends it to the router's children by
// rank, gossip sends it once to a few routers chosen at random.
//
//     distribution [--sizes=4,64,283,3400]
//
// Prints a Markdown table. Bytes include the authentication code of each message.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "carawaylatch/config/distributor.h"
#include "carawaylatch/peer/codec.h"
#include "testing/virtualnetwork.h"

ABSL_FLAG(std::vector<std::string>, sizes, std::vector<std::string>({"4", "64", "283", "3400"}), "numbers of routers");
ABSL_FLAG(std::uint64_t, seed, 20261203, "seed of all random choices");

namespace carawaylatch::bench
{

namespace
{

using ::carawaylatch::testing::VirtualNetwork;

constexpr std::uint32_t DomainCount = 12;
constexpr std::size_t HmacBytes = 32;
constexpr std::uint32_t EditCount = 40;
constexpr base::Duration EditInterval = base::milliseconds{786}; // 110,000 edits a day
constexpr base::Duration HeartbeatInterval = base::milliseconds{500};
constexpr std::uint32_t ProbedPeers = 8; // peers that each router probes in turn
constexpr std::uint32_t GossipFanOut = 5;
constexpr std::uint32_t PoolCount = 50;

enum class Dissemination {
    Tree,
    Gossip,
};

struct Scenario
{
    const char *name;
    double loss;
    double dead; // fraction of routers that crashed and are still listed as members
};

constexpr Scenario Scenarios[] = {
    {"none", 0, 0}, {"1% of messages lost", 0.01, 0}, {"10% of messages lost", 0.1, 0}, {"2% of routers crashed, undetected", 0, 0.02}};

struct Result
{
    std::vector<double> times; // milliseconds until an edit is in force, for each edit and router
    std::uint64_t updates = 0; // messages that carry or request edits
    std::uint64_t updateBytes = 0;
    std::uint64_t behind = 0; // live routers without the last edit at the end
    double cpuSeconds = 0;
};

config::Edit makeEdit(std::uint64_t revision)
{
    config::Row row{{"pool", "pool-" + std::to_string(revision % PoolCount)},
                    {},
                    {{"model", "clause-7b", 0}, {"weights_version", std::to_string(revision), 0}, {"max_loads", "3", 0}},
                    0};
    return {{revision * 7'919}, "operator", 1'790'000'000'000, {revision}, {{config::RowChange::Kind::Put, std::move(row), base::Revision{0}}}};
}

class Fleet
{
public:
    Fleet(std::uint32_t size, Dissemination dissemination, const Scenario &scenario)
        : m_network(absl::GetFlag(FLAGS_seed))
        , m_random(absl::GetFlag(FLAGS_seed))
        , m_dissemination(dissemination)
        , m_size(size)
    {
        m_network.setFaults({scenario.loss, 0, base::milliseconds{1}, base::milliseconds{2}});
        std::vector<config::DistributionPeer> members;
        for (std::uint32_t n = 0; n < size; ++n) {
            members.push_back({idOf(n), domainOf(n)});
        }
        for (std::uint32_t n = 0; n < size; ++n) {
            config::DistributorOptions options;
            options.self = idOf(n);
            options.domain = domainOf(n);
            options.fanOut = dissemination == Dissemination::Tree ? options.fanOut : 0;
            m_nodes.push_back(std::make_unique<config::Distributor>(options));
            m_nodes.back()->onMembers(members);
            m_isDead.push_back(size > 4 && m_random.uniformReal() < scenario.dead);
            (void)m_nodes.back()->takeActions();
            startHeartbeat(n);
        }
    }

    Result run()
    {
        const auto start = std::clock();
        m_network.runFor(base::seconds{1});
        for (std::uint64_t revision = 1; revision <= EditCount; ++revision) {
            accept(makeEdit(revision));
            m_network.runFor(EditInterval);
        }
        m_network.runFor(base::seconds{20});
        m_result.cpuSeconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
        for (std::uint32_t n = 0; n < m_size; ++n) {
            m_result.behind += !m_isDead[n] && m_nodes[n]->revision().value != EditCount ? 1 : 0;
        }
        return std::move(m_result);
    }

private:
    static base::RouterId idOf(std::uint32_t n)
    {
        return base::RouterId("router-" + std::to_string(n));
    }
    static base::FailureDomain domainOf(std::uint32_t n)
    {
        return base::FailureDomain("domain-" + std::to_string(n % DomainCount));
    }
    static std::uint32_t indexOf(const base::RouterId &id)
    {
        return static_cast<std::uint32_t>(std::stoul(id.value().substr(id.value().find('-') + 1)));
    }

    void accept(config::Edit edit)
    {
        applyEdit(m_stored, edit);
        m_head.revision = edit.revision;
        m_head.edits.push_back(std::move(edit));
        m_acceptedAt = m_network.now();
        for (std::uint32_t n = 0; n < m_size; ++n) {
            if (m_nodes[n]->isWatcher() && !m_isDead[n]) {
                m_network.at(m_network.now() + base::milliseconds{4}, [this, n] { // latency of the watch and the read
                    m_nodes[n]->onStoredConfig(m_head, m_stored);
                    performActions(n);
                });
            }
        }
    }

    void startHeartbeat(std::uint32_t n)
    {
        std::vector<std::uint32_t> probed;
        for (std::uint32_t i = 0; i < ProbedPeers; ++i) {
            probed.push_back(static_cast<std::uint32_t>(m_random.below(m_size)));
        }
        const auto phase = base::Duration{static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(HeartbeatInterval.count())))};
        m_network.at(m_network.now() + phase, [this, n, probed] {
            heartbeat(n, probed, 0);
        });
    }

    void heartbeat(std::uint32_t n, const std::vector<std::uint32_t> &probed, std::size_t round)
    {
        m_network.at(m_network.now() + HeartbeatInterval, [this, n, probed, round] {
            heartbeat(n, probed, round + 1);
        });
        const auto to = probed[round % probed.size()];
        deliver(n, to, [this, n, to, revision = m_nodes[n]->revision()] {
            m_nodes[to]->onPeerRevision(idOf(n), revision, m_network.now());
            performActions(to);
            deliver(to, n, [this, n, to, reply = m_nodes[to]->revision()] {
                m_nodes[n]->onPeerRevision(idOf(to), reply, m_network.now());
                performActions(n);
            });
        });
    }

    void deliver(std::uint32_t from, std::uint32_t to, const VirtualNetwork::Event &event)
    {
        if (!m_isDead[from] && !m_isDead[to]) {
            m_network.send(from % DomainCount, to % DomainCount, event);
        }
    }

    void countUpdate(const peer::PeerMessage &message)
    {
        ++m_result.updates;
        m_result.updateBytes += peer::encodeEnvelope({{base::RouterId("router-1000"), {1ULL << 60U}}, 1'000'000, message}).size() + HmacBytes;
    }

    void performActions(std::uint32_t n)
    {
        for (auto &it : m_nodes[n]->takeActions()) {
            if (auto *update = std::get_if<config::SendUpdate>(&it)) {
                countUpdate(update->update);
                deliver(n, indexOf(update->to), [this, n, to = indexOf(update->to), sent = update->update] {
                    m_nodes[to]->onUpdate(idOf(n), sent, m_network.now());
                    performActions(to);
                });
            } else if (auto *request = std::get_if<config::SendRequest>(&it)) {
                countUpdate(request->request);
                deliver(n, indexOf(request->to), [this, n, to = indexOf(request->to), sent = request->request] {
                    m_nodes[to]->onRequest(idOf(n), sent);
                    performActions(to);
                });
            } else if (std::get_if<config::ConfigInForce>(&it) != nullptr) {
                onInForce(n);
            }
        }
    }

    void onInForce(std::uint32_t n)
    {
        if (m_nodes[n]->revision() == m_head.revision) {
            m_result.times.push_back(base::toSeconds(m_network.now() - m_acceptedAt) * 1'000);
        }
        if (m_dissemination == Dissemination::Gossip) {
            // Pushes the edit to a random router as if that router had requested it.
            const base::Revision before{m_nodes[n]->revision().value - 1};
            for (std::uint32_t i = 0; i < GossipFanOut; ++i) {
                m_nodes[n]->onRequest(idOf(static_cast<std::uint32_t>(m_random.below(m_size))), {before});
            }
            performActions(n);
        }
    }

    VirtualNetwork m_network;
    base::Random m_random;
    Dissemination m_dissemination;
    std::uint32_t m_size;
    std::vector<std::unique_ptr<config::Distributor>> m_nodes;
    std::vector<bool> m_isDead;
    config::Head m_head;
    config::RowSet m_stored;
    base::TimePoint m_acceptedAt;
    Result m_result;
};

double quantile(std::vector<double> &values, double q)
{
    if (values.empty()) {
        return 0;
    }
    const auto n = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
}

void measure(std::uint32_t size, const Scenario &scenario, Dissemination dissemination)
{
    auto result = Fleet(size, dissemination, scenario).run();
    const double perEdit = static_cast<double>(result.updates) / EditCount / size;
    const double rate = static_cast<double>(result.updateBytes) / size / (EditCount * base::toSeconds(EditInterval));
    std::printf("| %u | %s | %s | %.2f | %.0f | %.1f | %.1f | %.0f | %llu | %.1f |\n", size, scenario.name,
                dissemination == Dissemination::Tree ? "tree" : "gossip", perEdit, rate, quantile(result.times, 0.5), quantile(result.times, 0.99),
                quantile(result.times, 1), static_cast<unsigned long long>(result.behind), result.cpuSeconds * 1e6 / size / EditCount);
    std::fflush(stdout);
}

} // namespace

} // namespace carawaylatch::bench

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("compares the distribution of configurations by tree and by gossip");
    absl::ParseCommandLine(argc, argv);
    std::printf(
        "| routers | faults | dissemination | messages per edit and router | bytes/s per router | p50 ms | p99 ms | max ms | behind at the end | CPU us "
        "per edit and router |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto &size : absl::GetFlag(FLAGS_sizes)) {
        for (const auto &scenario : carawaylatch::bench::Scenarios) {
            carawaylatch::bench::measure(static_cast<std::uint32_t>(std::stoul(size)), scenario, carawaylatch::bench::Dissemination::Tree);
            carawaylatch::bench::measure(static_cast<std::uint32_t>(std::stoul(size)), scenario, carawaylatch::bench::Dissemination::Gossip);
        }
    }
    return 0;
}
