// Case 6: a reader of the server list is partitioned from the store for three seconds. Meanwhile a server
// that has just started leaves, and its entry is removed. Routers that are not disturbed must not send it
// requests later than drain_ms after that.
//
//   case6 GATEWAY FOLDER RECORD TROUBLE       TROUBLE: 0 or 1
//
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include <iostream>

#include "deployment.h"

namespace review
{

namespace
{

constexpr int Cycles = 12;
constexpr double CutSeconds = 3.5; // the pages: 5.5 to 7.6 s
constexpr double LeaveDelay = 1.3; // from the cut to the removal; longer than heartbeat_ms

struct Leaving
{
    std::string server;
    double acknowledgedAt;
};
struct Cut
{
    int router;
    double from;
    double to;
};

void warmUp(Server &server, double delay, const std::atomic<bool> &stop)
{
    sleepFor(delay);
    for (int cold = 4800; cold >= 0 && !stop; cold -= 1200) {
        server.beat(cold);
        sleepFor(1.2); // heartbeat_ms
    }
}

// A server that is still slow after its start, and writes its entry with each heartbeat until it leaves.
class WarmingServer
{
public:
    explicit WarmingServer(Server &server)
        : m_server(server)
        , m_thread([this] {
            for (int cold = 19200; !m_isLeaving; cold -= 1200) {
                m_server.beat(cold);
                for (int step = 0; step < 24 && !m_isLeaving; ++step) {
                    sleepFor(0.05); // heartbeat_ms is 1,200
                }
            }
        })
    {
    }
    Leaving leave()
    {
        m_isLeaving = true;
        m_thread.join();
        return {m_server.id(), m_server.leave()};
    }

private:
    Server &m_server;
    std::atomic<bool> m_isLeaving = false;
    std::thread m_thread;
};

using Routers = std::vector<std::unique_ptr<Router>>;

// Counts the requests that broke the rule, and records each.
int countBroken(Log &log, const std::vector<Leaving> &leaving, const std::vector<Cut> &cuts, const Routers &routers, Record &record)
{
    int broken = 0;
    for (const Run &run : log.runs()) {
        for (const Leaving &it : leaving) {
            if (it.server != run.server || run.at <= it.acknowledgedAt + DrainSeconds) {
                continue;
            }
            const Sent sent = log.sent(run.id);
            bool isInTouch = true;
            for (const Cut &cut : cuts) {
                const bool isHit = cut.router == static_cast<int>(sent.router) && run.at >= cut.from && sent.at <= cut.to;
                isInTouch = isInTouch && !isHit;
            }
            if (isInTouch) {
                ++broken;
                record.line("BROKEN   " + run.id + " from undisturbed router " + routers[sent.router]->ip + " reached server " + run.server + " "
                            + std::to_string(static_cast<int>((run.at - it.acknowledgedAt) * 1000))
                            + " ms after it was acknowledged as leaving (bound 2000 ms)");
            }
        }
    }
    return broken;
}

// Waits until all routers are ready; false if they don't get it.
bool awaitReady(const Routers &routers, Record &record)
{
    const double deadline = now() + 10;
    for (const auto &router : routers) {
        while (!router->isReady()) {
            if (now() > deadline || !router->process->isRunning()) {
                record.line("router " + router->ip + " does not get ready");
                return false;
            }
            sleepFor(0.1);
        }
    }
    return true;
}

bool areRunning(const Routers &routers, Record &record)
{
    for (const auto &router : routers) {
        if (!router->process->isRunning()) {
            record.line("router " + router->ip + " has ended");
            return false;
        }
    }
    return true;
}

int runCase(const std::string &gateway, const std::string &folder, Record &record, bool hasTrouble)
{
    // Threads of connections use these until the program ends, so they are never destroyed.
    Store &store = *new Store;
    Log &log = *new Log(record);
    auto &servers = *new std::vector<std::unique_ptr<Server>>;
    auto &links = *new std::vector<std::unique_ptr<StoreLink>>;
    store.put("config", "main", configuration(1));
    const auto addServer = [&](const std::string &id) -> Server & {
        servers.push_back(std::make_unique<Server>(store, log, id));
        return *servers.back();
    };
    addServer("i-stays0").beat(0);
    addServer("i-stays1").beat(0);
    const std::string addressBase = "127." + std::to_string(20 + ::getpid() % 200) + ".0."; // runs side by side don't share ports
    // Three routers in the first zone, of which one is the spare one that was added, and one in each other zone.
    const std::vector<std::string> zones{"dakar-a", "dakar-a", "dakar-a", "dakar-b", "dakar-c"};
    Routers routers;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        links.push_back(std::make_unique<StoreLink>(store, zones[i] == "dakar-a" ? static_cast<int>(i) : -1));
        routers.push_back(std::make_unique<Router>(gateway, folder, addressBase + std::to_string(21 + i), zones[i], links.back()->port()));
    }
    if (!awaitReady(routers, record)) {
        return 2;
    }
    sleepFor(3); // until the routers know each other
    std::atomic<bool> stop = false;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < routers.size(); ++i) {
        for (int k = 0; k < 5; ++k) {
            threads.push_back(startClient(*routers[i], i, k, log, stop));
        }
    }
    std::vector<Leaving> leaving;
    std::vector<Cut> cuts;
    std::vector<Server *> former;
    std::unique_ptr<WarmingServer> next;
    for (int cycle = 0; cycle < Cycles; ++cycle) {
        // The planned work: three servers are replaced by new ones, and one that started a cycle before leaves.
        const std::string suffix = std::to_string(cycle);
        std::vector<Server *> replacements;
        for (int k = 0; k < 3; ++k) {
            Server &server = addServer("i-new" + suffix + "-" + std::to_string(k));
            replacements.push_back(&server);
            threads.emplace_back([&server, k, &stop] {
                warmUp(server, 0.4 * k, stop);
            });
        }
        const auto left = std::exchange(next, std::make_unique<WarmingServer>(addServer("i-left" + suffix)));
        sleepFor(0.8);
        for (Server *server : former) {
            const double at = server->beat(0, "draining");
            leaving.push_back({server->id(), at});
            record.line("store acknowledges that server " + server->id() + " is draining");
        }
        const int reader = store.lastReader();
        if (hasTrouble && reader >= 0) {
            links[static_cast<std::size_t>(reader)]->setCut(true);
            record.line("router " + routers[static_cast<std::size_t>(reader)]->ip + " is partitioned from the store");
        }
        const double cutAt = now();
        sleepFor(LeaveDelay);
        if (left) {
            leaving.push_back(left->leave());
            record.line("store acknowledges that server " + leaving.back().server + " is gone");
        }
        sleepFor(CutSeconds - LeaveDelay);
        if (hasTrouble && reader >= 0) {
            links[static_cast<std::size_t>(reader)]->setCut(false);
            record.line("router " + routers[static_cast<std::size_t>(reader)]->ip + " reaches the store again");
            cuts.push_back({reader, cutAt, now() + StableSeconds});
        }
        for (Server *server : former) {
            server->leave();
        }
        former = replacements;
        sleepFor(3.2);
    }
    next->leave();
    stop = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    if (!areRunning(routers, record)) {
        return 2;
    }
    const int broken = countBroken(log, leaving, cuts, routers, record);
    const std::string summary = std::to_string(log.runs().size()) + " requests ran, " + std::to_string(broken) + " of them broke DRAIN";
    record.line(summary);
    std::cout << summary << std::endl;
    return broken > 0 ? 1 : 0;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::cerr << "usage: case6 GATEWAY FOLDER RECORD TROUBLE\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    review::Record record(argv[3]);
    int result = 2;
    try {
        result = review::runCase(argv[1], argv[2], record, std::string(argv[4]) != "0");
    } catch (const std::exception &ex) {
        record.line(std::string("could not run: ") + ex.what());
    }
    record.close();
    std::_Exit(result); // listeners run until the end of the program
}
