// A fleet of load summary state machines in virtual time, whose reports and summaries arrive after random delays, and
// the loads that the tests set.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/loadsummaries.h"
#include "carawaylatch/proxy/peerexchange.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

inline const base::TimePoint Start{base::hours{1}};
inline constexpr base::Duration Tick = base::milliseconds{50};
// A report, an arc summary and a fleet summary, each up to a tick late and 3 ms under way.
inline constexpr base::Duration TwoIntervals = 3 * Tick + base::milliseconds{10};
inline constexpr std::uint64_t Upstreams = 6;
inline constexpr std::uint64_t IdleUpstream = Upstreams; // has no load at first

inline base::Endpoint endpointOf(std::size_t router)
{
    return {"10.0." + std::to_string(100 + router / 100) + "." + std::to_string(100 + router % 100), 7000};
}

inline std::uint64_t keyOf(std::size_t router)
{
    return base::hash64("router-" + std::to_string(router));
}

struct RouterList
{
    explicit RouterList(std::size_t routers)
    {
        for (std::size_t i = 0; i < routers; ++i) {
            endpoints.push_back(endpointOf(i));
            keys.push_back(keyOf(i));
        }
    }

    void give(LoadSummaries &machine, std::size_t self, base::TimePoint now) const
    {
        machine.setRouters(endpoints, keys, endpointOf(self), now);
    }

    std::vector<base::Endpoint> endpoints;
    std::vector<std::uint64_t> keys;
};

class SummaryFleet
{
public:
    struct Router
    {
        explicit Router(std::size_t index)
            : machine(keyOf(index), 1)
        {
        }

        LoadSummaries machine;
        std::map<std::uint64_t, std::uint32_t> loads;
        std::set<std::uint64_t> changed;
        std::vector<base::Endpoint> peers;
        std::set<std::size_t> reported; // peers that have got a full report
        base::TimePoint reportedAt;
        bool isAlive = true;
        std::size_t sent = 0; // summaries
        std::size_t placements = 0; // of the summaries received
    };

    explicit SummaryFleet(std::size_t routers)
        : m_random(carawaylatch::testing::seed())
    {
        for (std::size_t i = 0; i < routers; ++i) {
            add(routers);
        }
        for (std::size_t i = 0; i < routers; ++i) {
            for (std::uint64_t upstream = 0; upstream < Upstreams; ++upstream) {
                setLoad(i, upstream, static_cast<std::uint32_t>(m_random.below(4)));
            }
        }
    }

    void add(std::size_t listed)
    {
        const std::size_t index = m_routers.size();
        m_routers.emplace_back(index);
        setList(index, listed);
        at(m_now + base::milliseconds{m_random.below(50)}, [this, index] {
            tick(index);
        });
    }

    void setList(std::size_t router, std::size_t listed)
    {
        const RouterList list(listed);
        for (std::size_t i = 0; i < listed; ++i) {
            m_indexes[endpointOf(i)] = i;
        }
        Router &it = m_routers.at(router);
        list.give(it.machine, router, m_now);
        it.peers = reportPeers(list.endpoints, endpointOf(router));
    }

    void setLoad(std::size_t router, std::uint64_t upstream, std::uint32_t requests)
    {
        m_routers.at(router).loads[upstream] = requests;
        m_routers.at(router).changed.insert(upstream);
    }

    void run(base::Duration duration)
    {
        const base::TimePoint end = m_now + duration;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }

    // Load of the routers in `from` except one, scaled as if `covered` of all routers were known.
    [[nodiscard]] std::uint32_t expected(std::size_t except, std::uint64_t upstream, std::size_t covered, const std::function<bool(std::size_t)> &from) const
    {
        double sum = 0;
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            const auto it = m_routers[i].loads.find(upstream);
            sum += i != except && from(i) && it != m_routers[i].loads.end() ? it->second : 0;
        }
        return static_cast<std::uint32_t>(std::round(sum * static_cast<double>(m_routers.size() - 1) / static_cast<double>(covered - 1)));
    }

    // Checks that the live routers in `from` know the load of all of `from`, and that it covers so many.
    void check(const std::string &when, std::size_t covered, const std::function<bool(std::size_t)> &from) const
    {
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            const Router &router = m_routers[i];
            if (!router.isAlive || !from(i)) {
                continue;
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(when + ": router " + std::to_string(i), covered, std::size_t{router.machine.coveredRouters(m_now)});
            for (std::uint64_t upstream = 0; upstream <= IdleUpstream; ++upstream) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(when + ": router " + std::to_string(i), expected(i, upstream, covered, from),
                                             router.machine.others(upstream, m_now).value().requests);
            }
        }
    }

    void checkAll(const std::string &when) const
    {
        check(when, m_routers.size(), [](std::size_t) {
            return true;
        });
    }

    // Router of that rank in an arc, for lists in the order of the endpoints.
    [[nodiscard]] std::size_t ranked(std::size_t arc, std::size_t rank) const
    {
        return indexOfRank(arcAt(m_routers.size(), arc), rank);
    }

    Router &router(std::size_t index)
    {
        return m_routers.at(index);
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_routers.size();
    }

    base::Random &random()
    {
        return m_random;
    }

    [[nodiscard]] base::TimePoint now() const
    {
        return m_now;
    }

    std::function<bool(std::size_t, std::size_t)> isCut = [](std::size_t, std::size_t) {
        return false;
    };
    std::uint64_t lostPercent = 0; // of the summaries

private:
    void at(base::TimePoint time, std::function<void()> event)
    {
        m_events.emplace(time, std::move(event));
    }

    // Messages on one path may overtake each other by less than a tick.
    template <typename Deliver>
    bool send(std::size_t from, std::size_t to, Deliver deliver)
    {
        if (isCut(from, to) || to >= m_routers.size() || !m_routers[to].isAlive) {
            return false;
        }
        at(m_now + base::microseconds{200 + m_random.below(2800)}, [this, to, deliver = std::move(deliver)] {
            if (m_routers[to].isAlive) {
                deliver(m_routers[to]);
            }
        });
        return true;
    }

    void tick(std::size_t index)
    {
        Router &router = m_routers[index];
        if (!router.isAlive) {
            return;
        }
        at(m_now + Tick, [this, index] {
            tick(index);
        });
        sendReports(index);
        for (const auto &[receivers, summary] : router.machine.due(m_now)) {
            const auto received = decodeLoadSummary(encodeLoadSummary(summary));
            CPPUNIT_ASSERT(received.has_value());
            const LoadSummary &decoded = received.value();
            for (const base::Endpoint &receiver : receivers) {
                ++router.sent;
                if (m_random.below(100) < lostPercent) {
                    continue;
                }
                send(index, m_indexes.at(receiver), [this, decoded](Router &to) {
                    to.placements += decoded.placements.size();
                    to.machine.onSummary(decoded, m_now);
                });
            }
        }
    }

    void sendReports(std::size_t index)
    {
        Router &router = m_routers[index];
        const LoadReport changes = report(index, router.changed, false);
        std::set<std::uint64_t> all;
        for (const auto &[upstream, requests] : router.loads) {
            all.insert(upstream);
        }
        const LoadReport full = report(index, all, true);
        router.machine.onOwnLoad(changes, m_now);
        const bool isDue = !changes.loads.empty() || m_now - router.reportedAt >= base::milliseconds{400};
        router.changed.clear();
        if (isDue) {
            router.reportedAt = m_now;
        }
        for (const base::Endpoint &peer : router.peers) {
            const std::size_t to = m_indexes.at(peer);
            const bool needsFull = !router.reported.contains(to);
            if (!needsFull && !isDue) {
                continue;
            }
            const bool isSent = send(index, to, [this, report = needsFull ? full : changes](Router &receiver) {
                receiver.machine.onReport(report, m_now);
            });
            isSent ? (void)router.reported.insert(to) : (void)router.reported.erase(to);
        }
    }

    [[nodiscard]] LoadReport report(std::size_t index, const std::set<std::uint64_t> &upstreams, bool isFull) const
    {
        LoadReport report{keyOf(index), 1, isFull, {}, {}};
        for (const std::uint64_t upstream : upstreams) {
            const std::uint32_t requests = m_routers[index].loads.at(upstream);
            report.loads.push_back({upstream, requests, requests * 10, requests * 100});
        }
        return report;
    }

    base::Random m_random;
    base::TimePoint m_now = Start;
    std::multimap<base::TimePoint, std::function<void()>> m_events;
    std::vector<Router> m_routers;
    std::map<base::Endpoint, std::size_t> m_indexes;
};

} // namespace carawaylatch::proxy::testing
