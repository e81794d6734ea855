// Case 1: lookups on a safe route, which a configuration moves to a service with long answers and another one moves back.
#include <cstdio>
#include <cstdlib>
#include <memory>

#include "platform.h"

namespace review
{

namespace
{

constexpr int TimeoutMs = 1500; // of the route, as of lot-lookup on gbsa
constexpr int DeadlineMs = 3000; // of the client
constexpr milliseconds ApplyTime{2000}; // config_apply_ms
constexpr std::size_t LongAnswer = 800'000;
constexpr std::size_t Piece = 40'000;
constexpr milliseconds PieceTime{45}; // 20 pieces: 0.9 s
const std::string Key = "ctnfzs989anu6wsjnban";

Json configuration(int version, const std::string &service)
{
    const Json route{{"name", "r-27eya6u"}, {"host", "voka93.example"}, {"path_prefix", "/filo73/de11/"},
                     {"kind", "safe"},      {"timeout_ms", TimeoutMs},  {"target_latency_ms", 300},
                     {"priority", 2},       {"service", service},       {"max_attempts", 2},
                     {"public", false},     {"sticky", false},          {"resumable", false}};
    Json services = Json::array();
    for (const char *name : {"desk", "archive"}) {
        services.push_back({{"name", name}, {"health_path", "/healthz"}, {"max_connections", 100}, {"protocol", "h1"}, {"tls", false}});
    }
    return Json{{"version", version},
                {"routes", Json::array({route})},
                {"services", services},
                {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
                {"tenants", Json::array({{{"name", "sese880"}, {"api_keys", Json::array({Key})}, {"priority", 1}, {"isolated", false}}})}};
}

struct Counts
{
    std::atomic<int> requests{0};
    std::atomic<int> whole{0};
    std::atomic<int> failures{0}; // explicit answers that are no success
    std::atomic<int> cuts{0}; // as the rule counts them
};

class Lookups
{
public:
    Lookups(std::string network, int gateways, Record &record)
        : m_network(std::move(network))
        , m_gateways(gateways)
        , m_record(record)
    {
    }
    bool answerShortly(Server &server, Connection &connection, const Message &request)
    {
        noteArrival(server, request);
        std::this_thread::sleep_for(milliseconds{30});
        return connection.write(head(request, 800) + std::string(800, 'a'));
    }
    bool answerAtLength(Server &server, Connection &connection, const Message &request)
    {
        noteArrival(server, request);
        bool isOpen = connection.write(head(request, LongAnswer));
        for (std::size_t sent = 0; isOpen && sent < LongAnswer; sent += Piece) {
            std::this_thread::sleep_for(PieceTime);
            isOpen = connection.write(std::string(Piece, 'b'));
        }
        m_record.write("server " + server.id() + (isOpen ? " has answered " : " is cut off from its caller in ") + request.field("Carawaylatch-Request-Id"));
        return isOpen;
    }
    // Sends lookups on a kept connection, one after the other.
    void runClient(int client)
    {
        const Address gateway = frontend(m_network, client % m_gateways);
        std::unique_ptr<Connection> connection;
        while (!isOver) {
            if (!connection || connection->isClosedByPeer()) {
                connection = Connection::connect(gateway, milliseconds{1000});
            }
            if (connection && !lookUp(*connection, client)) {
                connection->reset();
                connection.reset();
            }
            std::this_thread::sleep_for(milliseconds{150});
        }
    }
    // Tells and records the counts; true if the rule is broken.
    bool judge()
    {
        tell("around the configurations", m_inWindow);
        tell("at other times", m_elsewhere);
        const auto rate = [](const Counts &counts) {
            return counts.requests > 0 ? static_cast<double>(counts.cuts) / counts.requests : 0;
        };
        const bool isBroken = m_inWindow.cuts > 0 && rate(m_inWindow) > 3 * rate(m_elsewhere);
        m_record.write(isBroken ? "LOST is broken" : "LOST held");
        return isBroken;
    }

    std::atomic<bool> isPlanned{false}; // from the sending of a configuration until a second after it has to be in force
    std::atomic<bool> isOver{false};

private:
    static std::string head(const Message &request, std::size_t length)
    {
        return "HTTP/1.1 200 OK\r\n" + identity(request)
               + "Carawaylatch-Response-Signature: 3e1b.07.5a2\r\nCarawaylatch-Server-Load: 1,0,6\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    }
    void noteArrival(Server &server, const Message &request)
    {
        const std::string id = request.field("Carawaylatch-Request-Id");
        const std::lock_guard lock(m_mutex);
        ++m_arrivals[id];
        m_record.write("server " + server.id() + " (" + server.service() + ") runs " + id);
    }
    bool hasArrived(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals.contains(id);
    }
    // True if an answer has come, whatever it says.
    bool lookUp(Connection &connection, int client)
    {
        const std::string id = newRequestId();
        const bool isSentInWindow = isPlanned;
        const auto sentAt = Clock::now();
        std::string text = "GET /filo73/de11/2f HTTP/1.1\r\nHost: voka93.example\r\nCarawaylatch-Request-Id: ";
        text.append(id)
            .append("\r\nCarawaylatch-Deadline-Ms: ")
            .append(std::to_string(DeadlineMs))
            .append("\r\nCarawaylatch-Key: ")
            .append(Key)
            .append("\r\n\r\n");
        m_record.write("client " + std::to_string(client) + " sends request " + id);
        Message answer;
        const ReadEnd end = connection.write(text) ? connection.read(answer, true, milliseconds{DeadlineMs}) : ReadEnd::Broken;
        const auto elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - sentAt);
        const bool isWhole = end == ReadEnd::Complete && answer.status() == 200 && !answer.field("Carawaylatch-Response-Signature").empty();
        // The rule leaves out a request that has used seven tenths of its time.
        const bool isCut = (end == ReadEnd::Broken || end == ReadEnd::Closed) && hasArrived(id) && elapsed < milliseconds{TimeoutMs * 7 / 10};
        // One that was on its way as the configuration was sent is beside it, too.
        Counts &counts = isSentInWindow || isPlanned ? m_inWindow : m_elsewhere;
        ++counts.requests;
        counts.whole += isWhole ? 1 : 0;
        counts.failures += end == ReadEnd::Complete && !isWhole ? 1 : 0;
        counts.cuts += isCut ? 1 : 0;
        std::string line = "client " + std::to_string(client) + " request " + id + " after " + std::to_string(elapsed.count()) + " ms: ";
        if (end == ReadEnd::Complete) {
            line += isWhole ? "whole answer" : "answer " + std::to_string(answer.status());
        } else {
            line += "no whole answer, " + std::to_string(answer.body.size()) + " bytes of the body (" + connection.error + ")";
        }
        m_record.write(line);
        return end == ReadEnd::Complete;
    }
    void tell(const char *when, const Counts &counts)
    {
        const std::string text = std::string(when) + ": " + std::to_string(counts.requests) + " requests, " + std::to_string(counts.whole) + " whole answers, "
                                 + std::to_string(counts.failures) + " explicit failures, " + std::to_string(counts.cuts) + " cut after a server ran them";
        m_record.write(text);
        std::printf("%s\n", text.c_str());
    }

    const std::string m_network;
    const int m_gateways;
    Record &m_record;
    std::mutex m_mutex;
    std::map<std::string, int> m_arrivals; // at servers, by request
    Counts m_inWindow;
    Counts m_elsewhere;
};

void run(const std::string &network, int gateways, const std::string &path)
{
    Record record(path);
    Store store({network + ".1", 8784});
    store.put("config", "main", configuration(7, "desk"));
    Lookups lookups(network, gateways, record);
    std::vector<std::unique_ptr<Server>> servers;
    const char *zones[] = {"dakar-a", "dakar-b", "dakar-c"};
    for (int i = 0; i < 3; ++i) {
        const auto port = static_cast<std::uint16_t>(9000 + i);
        const auto otherPort = static_cast<std::uint16_t>(9100 + i);
        servers.push_back(std::make_unique<Server>(store, "i-7f3a91c" + std::to_string(i), "desk", zones[i], Address{network + ".2", port}, 6,
                                                   [&](Server &server, Connection &connection, const Message &request) {
                                                       return lookups.answerShortly(server, connection, request);
                                                   }));
        servers.push_back(std::make_unique<Server>(store, "i-5b20d7e" + std::to_string(i), "archive", zones[i], Address{network + ".2", otherPort}, 6,
                                                   [&](Server &server, Connection &connection, const Message &request) {
                                                       return lookups.answerAtLength(server, connection, request);
                                                   }));
    }
    if (!waitReady(network, gateways)) {
        record.write("a gateway did not become ready");
        end(2);
    }
    constexpr int ClientCount = 6;
    std::vector<std::thread> clients;
    clients.reserve(ClientCount);
    for (int i = 0; i < ClientCount; ++i) {
        clients.emplace_back([&lookups, i] {
            lookups.runClient(i);
        });
    }
    std::this_thread::sleep_for(milliseconds{4000});
    lookups.isPlanned = hasTrouble();
    if (hasTrouble()) {
        record.write("the operator moves the route to service archive (version 9)");
        store.put("config", "main", configuration(9, "archive"));
    }
    std::this_thread::sleep_for(milliseconds{4000});
    if (hasTrouble()) {
        record.write("the operator moves it back to service desk (version 12)");
        store.put("config", "main", configuration(12, "desk"));
    }
    std::this_thread::sleep_for(ApplyTime + milliseconds{1000});
    lookups.isPlanned = false;
    std::this_thread::sleep_for(milliseconds{4000});
    lookups.isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    end(lookups.judge() ? 1 : 0);
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    if (argc >= 5) {
        review::run(argv[1], std::atoi(argv[4]), argv[2]);
    }
    return 2;
}
