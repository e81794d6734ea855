// Case 2: a configuration makes a tenant isolated whose prompt parts lie in the shared KV cache of the engines.
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <set>

#include "platform.h"

namespace review
{

namespace
{

constexpr milliseconds ApplyTime{2000}; // config_apply_ms
const std::string Model = "daka510000";
const std::string KeyT = "ctnfzs989anu6wsjnban"; // of sese880, which becomes isolated
const std::string KeyU = "fqasnmgkcuyj8pjbvk9m"; // of toto114, which never is
const std::string KeyV = "hq2x7d0ck41mvb93wzpe"; // of vivi302, which is isolated all the time

Json tenant(const std::string &name, const std::string &key, bool isIsolated)
{
    return Json{{"name", name}, {"api_keys", Json::array({key})}, {"priority", 1}, {"isolated", isIsolated}};
}

Json configuration(int version, bool isTIsolated)
{
    const Json route{{"name", "r-27eya6u"},      {"host", "jepu9.example"}, {"path_prefix", "/lepu270/"}, {"kind", "streaming"}, {"timeout_ms", 5000},
                     {"target_latency_ms", 600}, {"priority", 1},           {"service", "llm"},           {"max_attempts", 2},   {"public", false},
                     {"sticky", true},           {"resumable", true},       {"target_gap_ms", 500}};
    const Json engine{{"slots", 64},           {"kv_tokens", 110592}, {"kv_token_bytes", 163840},
                      {"link_mbps", 550000.0}, {"moves", true},       {"backups", true},
                      {"stride", 4},           {"max_inflight", 12},  {"pin_ms", 4000.0},
                      {"hold_ms", 2000.0},     {"handle_s", 5.0},     {"models", Json::array({{{"name", Model}}})}};
    return Json{
        {"version", version},
        {"routes", Json::array({route})},
        {"services",
         Json::array({{{"name", "llm"}, {"health_path", "/healthz"}, {"max_connections", 360}, {"protocol", "h1"}, {"tls", false}, {"engine", engine}}})},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
        {"tenants", Json::array({tenant("sese880", KeyT, isTIsolated), tenant("toto114", KeyU, false), tenant("vivi302", KeyV, true)})}};
}

// The KV cache of the engines, as the page tells it: parts lie under the text of Carawaylatch-Cache-Salt, and a part is
// found if all parts before it are. Knows which tenant's request made each.
class Caches
{
public:
    explicit Caches(Record &record)
        : m_record(record)
    {
    }
    // A configuration is acknowledged that makes these tenants isolated.
    void setIsolated(const std::set<std::string> &tenants, Clock::time_point since)
    {
        const std::lock_guard lock(m_mutex);
        m_isolated = tenants;
        m_since = since;
    }
    void run(const std::string &server, const Message &request)
    {
        const std::lock_guard lock(m_mutex);
        const std::string tenant = request.field("Carawaylatch-Tenant");
        const std::string salt = request.field("Carawaylatch-Cache-Salt");
        const std::string from = request.field("Carawaylatch-Kv-Fetch-From");
        const bool isSettled = Clock::now() > m_since + ApplyTime + milliseconds{1000};
        std::string chain = salt;
        std::string used;
        std::string text = request.field("Carawaylatch-Prompt-Prefix");
        for (std::size_t comma = 0; comma != std::string::npos;) {
            comma = text.find(',');
            chain += '/' + text.substr(0, comma);
            text = comma == std::string::npos ? std::string() : text.substr(comma + 1);
            auto it = m_parts.find({server, chain});
            if (it == m_parts.end() && !from.empty()) {
                if (const auto source = m_parts.find({from, chain}); source != m_parts.end()) {
                    it = m_parts.emplace(std::pair{server, chain}, source->second).first;
                }
            }
            if (it == m_parts.end()) {
                m_parts.emplace(std::pair{server, chain}, tenant); // it is read, and kept
                continue;
            }
            used += (used.empty() ? "" : ", ") + std::string("a part made by ") + it->second;
            const bool isForeign = it->second != tenant && (m_isolated.contains(it->second) || m_isolated.contains(tenant));
            if (isForeign && isSettled) {
                ++broken;
                m_record.write("WALL: " + request.field("Carawaylatch-Request-Id") + " of " + tenant + " uses a part that a request of " + it->second
                               + " made");
            }
        }
        m_record.write("engine " + server + " runs " + request.field("Carawaylatch-Request-Id") + " of " + tenant + ", salt \"" + salt + "\""
                       + (used.empty() ? "" : ", uses " + used));
    }
    int broken = 0;

private:
    Record &m_record;
    std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, std::string> m_parts; // by engine and chain of parts: the tenant that made it
    std::set<std::string> m_isolated;
    Clock::time_point m_since;
};

// The engine's part of a request: its cache, and a short stream.
bool answer(Caches &caches, const Address &address, Connection &connection, const Message &request)
{
    if (request.target() == "/-/report") {
        const Json report{{"stage", "both"}, {"models", Json::array({{{"name", Model}, {"version", 1}, {"adapters", Json::array()}}})},
                          {"busy", false},   {"sequence", 0},
                          {"queued", 0},     {"active", 0},
                          {"kv_used", 0},    {"kv_total", 110592},
                          {"handles", 0}};
        const std::string body = report.dump();
        return connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    caches.run(address.text(), request);
    std::this_thread::sleep_for(milliseconds{40});
    std::string out = "HTTP/1.1 200 OK\r\n" + identity(request)
                      + "Carawaylatch-Response-Signature: 3e1b.07.5a2\r\nCarawaylatch-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n";
    for (int event = 1; event <= 4; ++event) {
        out.append("18\r\nid: ").append(std::to_string(event)).append("\ndata: 0123456789\n\n\r\n");
    }
    return connection.write(out + "0\r\n\r\n");
}

// Sends a request with one of four templates, which the tenants have in common; true if it is served.
bool send(const Address &gateway, const std::string &key, int number, Record &record)
{
    const std::string templates[] = {"5c1e07a2:2520,91bd3f06:3780", "5c1e07a3:2520,91bd3f07:3780", "5c1e07a4:2520,91bd3f08:3780",
                                     "5c1e07a5:2520,91bd3f09:3780"};
    const auto connection = Connection::connect(gateway, milliseconds{1000});
    const std::string id = newRequestId();
    std::string text = "POST /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nCarawaylatch-Request-Id: ";
    text.append(id).append("\r\nCarawaylatch-Model: ").append(Model).append("\r\nCarawaylatch-Token-Usage: 9190,13\r\nCarawaylatch-Prompt-Prefix: ");
    text.append(templates[number % 4]).append(",").append(id.substr(8)).append(":2890\r\nCarawaylatch-Deadline-Ms: 5000\r\nCarawaylatch-Key: ");
    text.append(key).append("\r\nContent-Length: 4\r\n\r\nwhat");
    record.write("client sends " + id + " with key " + key);
    Message answer;
    const bool isServed =
        connection && connection->write(text) && connection->read(answer, true, milliseconds{5000}) == ReadEnd::Complete && answer.status() == 200;
    record.write("client gets for " + id + ": " + (isServed ? "served" : "status " + std::to_string(answer.status())));
    std::this_thread::sleep_for(milliseconds{50});
    return isServed;
}

void run(const std::string &network, int gateways, const std::string &path)
{
    Record record(path);
    Store store({network + ".1", 8784});
    Caches caches(record);
    caches.setIsolated({"vivi302"}, Clock::now());
    store.put("config", "main", configuration(7, false));
    store.put("versions", Model, Json{{"model", Model}, {"version", 1}});
    std::vector<std::unique_ptr<Server>> servers;
    const char *zones[] = {"dakar-a", "dakar-b", "dakar-c"};
    for (int i = 0; i < 3; ++i) {
        const Address address{network + ".2", static_cast<std::uint16_t>(9000 + i)};
        servers.push_back(std::make_unique<Server>(store, "i-7f3a91c" + std::to_string(i), "llm", zones[i], address, 64,
                                                   [&caches, address](Server &, Connection &connection, const Message &request) {
                                                       return answer(caches, address, connection, request);
                                                   }));
        servers.back()->addModel(Model, 1);
    }
    if (!waitReady(network, gateways)) {
        record.write("a gateway did not become ready");
        end(2);
    }
    constexpr int Rounds = 24;
    int served = 0;
    const auto sendAll = [&](const std::string &key) {
        for (int i = 0; i < Rounds; ++i) {
            served += send(frontend(network, i % gateways), key, i, record) ? 1 : 0;
            served += send(frontend(network, i % gateways), KeyV, i, record) ? 1 : 0;
        }
    };
    sendAll(KeyT);
    std::this_thread::sleep_for(milliseconds{1000});
    if (hasTrouble()) {
        record.write("the operator makes sese880 isolated (version 9)");
        store.put("config", "main", configuration(9, true));
        caches.setIsolated({"sese880", "vivi302"}, Clock::now());
    }
    std::this_thread::sleep_for(ApplyTime * 3);
    sendAll(KeyU);
    const std::string text = std::to_string(served) + " of " + std::to_string(4 * Rounds) + " requests served, " + std::to_string(caches.broken)
                             + " uses of a part of another tenant where one of the two is isolated";
    record.write(text);
    std::printf("%s\n", text.c_str());
    if (served < 2 * Rounds) {
        end(2);
    }
    end(caches.broken > 0 ? 1 : 0);
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
