// Routers in front of brittle upstreams in virtual time, for tests of what all of them do together.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/placement.h"
#include "carawaylatch/proxy/upstreamtracker.h"

namespace carawaylatch::proxy::testing
{

struct BrittleFleetOptions
{
    std::size_t routers = 4;
    std::size_t servers = 3;
    std::uint32_t slots = 6;
    bool isEngine = false; // requests use memory, else slots only
    std::uint32_t rejections = 5; // that each server takes a second
    double reportLoss = 0; // share of the reports that are lost; 1: routers don't hear each other
    double load = 1; // offered, of what all slots can serve
    std::size_t activeRouters = 0; // that get requests, evenly; zero: all
    std::uint64_t seed = 1;
};

// Servers reject what finds no free slot or memory, from QueueTime on; before, they queue it.
class BrittleFleet
{
public:
    static constexpr base::Duration QueueTime = base::seconds{3};
    static constexpr base::Duration Step = base::milliseconds{5};

    explicit BrittleFleet(const BrittleFleetOptions &options);
    void run(base::Duration duration);
    // All servers start again under their ids, at the same time, and say from their first answer on that they are brittle.
    void restartServers();
    // The servers' answers no longer say that they are brittle.
    void endBrittle();
    // A router starts; it gets what another one knows.
    void addRouter();

    [[nodiscard]] base::TimePoint now() const;
    [[nodiscard]] UpstreamTracker &router(std::size_t i);
    [[nodiscard]] const std::vector<Upstream> &upstreams() const;
    // The most rejections of one server in any second.
    std::size_t worstSecond = 0;
    std::size_t rejected = 0;
    std::size_t served = 0; // since QueueTime
    double slotSeconds = 0; // used since QueueTime, of all servers

private:
    struct Server
    {
        std::uint32_t running = 0;
        double memory = 0;
        std::deque<base::TimePoint> rejections; // of the last second
    };
    struct Flight
    {
        std::size_t router = 0;
        std::size_t server = 0;
        std::uint64_t startTimeMs = 0;
        base::TimePoint arrivesAt;
        base::TimePoint endsAt; // set on arrival
        AttemptLoad load;
        bool hasArrived = false;
        bool isRejected = false;
    };

    void offer(std::size_t router);
    bool tryToSend(std::size_t router, std::uint32_t tokens);
    void arrive(Flight &flight);
    void answer(Flight &flight);
    void exchangeReports();
    void adopt();
    [[nodiscard]] base::Duration serviceTime();

    const BrittleFleetOptions m_options;
    base::Random m_random;
    base::TimePoint m_now;
    base::TimePoint m_start;
    FleetView m_view;
    std::vector<std::unique_ptr<UpstreamTracker>> m_routers;
    std::vector<std::deque<std::uint32_t>> m_waiting; // tokens of requests that no server may take, by router
    std::vector<Server> m_servers;
    std::deque<Flight> m_flights;
    PlacementTuning m_tuning;
    bool m_isBrittle = true;
};

} // namespace carawaylatch::proxy::testing
