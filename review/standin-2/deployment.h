// Routers of a small deployment with the settings of deploy/gateway.ini, servers of a plain
// service, and clients that send requests which may run once at most.
#pragma once

#include "store.h"

namespace review
{

constexpr double DrainSeconds = 2; // bound drain_ms
constexpr double StableSeconds = 3; // bound stable_window_ms

struct Router
{
    Router(const std::string &program, const std::string &folder, const std::string &ip, const std::string &zone, int storePort)
        : ip(ip)
        , callers(freePort(ip))
        , ready(freePort(ip))
    {
        const std::string settings = folder + "/" + ip + ".ini";
        const auto endpoint = [&ip](int port) {
            return ip + ":" + std::to_string(port) + "\n";
        };
        std::ofstream out(settings);
        out << "[gateway]\nid = " << ip << "\nfailure_domain = " << zone << "\ncallers = " << endpoint(callers) << "operators = " << endpoint(ready)
            << "metrics = " << endpoint(freePort(ip)) << "peers = " << endpoint(freePort(ip)) << "relay = " << endpoint(freePort(ip))
            << "memory_mb = 165\ngrace_seconds = 8\n\n[store]\naddress = 127.0.0.1:" << storePort
            << "\n\n[retries]\nshare = 0.2\nreserve = 54\n\n[queue]\n\n[configuration]\nmax_age_ms = 5000\n\n[upstreams]\nleave_within_ms = 2000\n\n"
               "[weights]\nchange_within_ms = 8000\nlease_ms = 3000\n\n[limits]\n";
        out.close();
        process = std::make_unique<Child>(program, settings, folder + "/" + ip + ".log");
    }
    // True if the platform's balancer gets a 200.
    [[nodiscard]] bool isReady() const
    {
        Socket socket = connectTo(ip, ready);
        if (!socket.isOpen()) {
            return false;
        }
        setReadTimeout(socket, 1);
        socket.write("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto answer = readMessage(socket);
        return answer && answer->word(1) == "200";
    }
    std::string ip;
    int callers;
    int ready;
    std::unique_ptr<Child> process;
};

inline Json configuration(std::uint64_t version)
{
    Json tenants = Json::array();
    for (int i = 0; i < 8; ++i) {
        tenants.push_back({{"name", "tenant" + std::to_string(i)}, {"api_keys", {"key" + std::to_string(i)}}, {"priority", 1}, {"isolated", false}});
    }
    const Json route{{"name", "booking"},        {"host", "desk.example"}, {"path_prefix", "/booking/"}, {"kind", "unsafe"},  {"timeout_ms", 3000},
                     {"target_latency_ms", 300}, {"priority", 2},          {"service", "desk"},          {"max_attempts", 2}, {"public", false},
                     {"sticky", false},          {"resumable", false}};
    const Json service{{"name", "desk"}, {"health_path", "/healthz"}, {"max_connections", 100}, {"protocol", "h1"}, {"tls", false}};
    return {{"version", version},
            {"routes", {route}},
            {"services", {service}},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
            {"tenants", tenants}};
}

// A request as a client sent it, and the runs of all requests, for the record and the check.
struct Sent
{
    std::string id;
    std::size_t router;
    double at;
};
struct Run
{
    std::string id;
    std::string server;
    double at;
};

class Log
{
public:
    explicit Log(Record &record)
        : m_record(record)
    {
    }
    void onSent(const std::string &id, std::size_t router, const std::string &ip)
    {
        const std::lock_guard lock(m_mutex);
        m_sent[id] = Sent{id, router, now()};
        m_record.line("sent     " + id + " to router " + ip);
    }
    void onAnswered(const std::string &id, const std::string &status)
    {
        m_record.line("answered " + id + " " + status);
    }
    void onRun(const std::string &id, const std::string &server)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({id, server, now()});
        m_record.line("runs     " + id + " at server " + server);
    }
    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    Sent sent(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_sent[id];
    }

private:
    Record &m_record;
    std::mutex m_mutex;
    std::map<std::string, Sent> m_sent;
    std::vector<Run> m_runs;
};

// A server of the service. It serves as long as the program runs, also after it has left the list: "at times many seconds".
class Server
{
public:
    Server(Store &store, Log &log, std::string id)
        : m_store(store)
        , m_id(std::move(id))
        , m_born(1'700'000'000'000ULL + static_cast<std::uint64_t>(now() * 1000))
        , m_port(serve("127.0.0.1", [&log, name = m_id](Socket socket) {
            answer(std::move(socket), log, name);
        }))
    {
    }
    // Writes the server's entry; returns when it is acknowledged.
    double beat(int coldMilliseconds, const std::string &state = "ready")
    {
        return m_store.put("servers", m_id,
                           {{"service", "desk"},
                            {"address", "127.0.0.1:" + std::to_string(m_port)},
                            {"zone", "dakar-a"},
                            {"version", "v1"},
                            {"slots", 6},
                            {"state", state},
                            {"cold_remaining_ms", coldMilliseconds},
                            {"sequence", ++m_sequence},
                            {"born", m_born}});
    }
    double leave()
    {
        return m_store.remove("servers", m_id);
    }
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }

private:
    static void answer(Socket socket, Log &log, const std::string &name)
    {
        while (const auto request = readMessage(socket)) {
            const std::string id = request->field("carawaylatch-request-id");
            const std::string echo = "Carawaylatch-Request-Id: " + id + "\r\n";
            if (request->field("carawaylatch-target-instance") != name) {
                if (!socket.write(response(421, echo + "Carawaylatch-Instance-Id: " + name + "\r\n", ""))) {
                    return;
                }
                continue;
            }
            log.onRun(id, name);
            sleepFor(0.03);
            if (!socket.write(
                    response(200, echo + "Carawaylatch-Response-Signature: " + name + "." + id + "\r\nKeep-Alive: timeout=5\r\n", std::string(800, 'x')))) {
                return;
            }
        }
    }
    Store &m_store;
    const std::string m_id;
    const std::uint64_t m_born;
    const int m_port;
    int m_sequence = 0;
};

// Clients of one router: each keeps a connection and sends a request some times a second until `stop` is set.
inline std::thread startClient(const Router &router, std::size_t index, int number, Log &log, const std::atomic<bool> &stop)
{
    return std::thread([&router, index, number, &log, &stop] {
        Socket socket;
        unsigned seed = static_cast<unsigned>(index * 100 + static_cast<std::size_t>(number));
        for (int i = 0; !stop; ++i) {
            if (!socket.isOpen()) {
                socket = connectTo(router.ip, router.callers);
            }
            const std::string id = "r" + std::to_string(index) + "c" + std::to_string(number) + "n" + std::to_string(i);
            if (socket.isOpen()) {
                setReadTimeout(socket, 3.2);
                log.onSent(id, index, router.ip);
                socket.write("POST /booking/truck HTTP/1.1\r\nHost: desk.example\r\nCarawaylatch-Request-Id: " + id
                             + "\r\nCarawaylatch-Deadline-Ms: 3000\r\nCarawaylatch-Key: key" + std::to_string(number % 8)
                             + "\r\nContent-Length: 10\r\n\r\n0123456789");
                const auto answer = readMessage(socket);
                log.onAnswered(id, answer ? answer->word(1) : "by a closed connection");
                if (!answer || answer->field("connection") == "close") {
                    socket.close();
                }
            }
            seed = seed * 1103515245U + 12345U;
            sleepFor(0.1 + 0.4 * ((seed >> 16U) % 1000) / 1000.0);
        }
    });
}

} // namespace review
