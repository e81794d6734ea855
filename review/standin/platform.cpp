// Sockets, store and servers of platform.h.
#include "platform.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>

namespace review
{

namespace
{

sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

bool equalsIgnoringCase(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && strcasecmp(left.c_str(), right.c_str()) == 0;
}

} // namespace

std::string Address::text() const
{
    return ip + ':' + std::to_string(port);
}

Record::Record(const std::string &path)
    : m_path(path)
{
}

double Record::now() const
{
    return std::chrono::duration<double>(Clock::now() - m_start).count();
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f s  ", now());
    std::ofstream(m_path, std::ios::app) << time << line << '\n';
}

std::string Message::field(const std::string &name) const
{
    for (const auto &[key, value] : fields) {
        if (equalsIgnoringCase(key, name)) {
            return value;
        }
    }
    return {};
}

std::string Message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string Message::target() const
{
    const std::size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
}

int Message::status() const
{
    const std::size_t space = start.find(' ');
    return space == std::string::npos ? 0 : std::atoi(start.c_str() + space);
}

Connection::Connection(int fd)
    : m_fd(fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    close();
}

std::unique_ptr<Connection> Connection::connect(const Address &to, milliseconds timeout)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = toSockaddr(to);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        pollfd descriptor{fd, POLLOUT, 0};
        int problem = errno == EINPROGRESS ? 0 : errno;
        if (problem == 0 && poll(&descriptor, 1, static_cast<int>(timeout.count())) == 1) {
            socklen_t size = sizeof problem;
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &problem, &size);
        } else if (problem == 0) {
            problem = ETIMEDOUT;
        }
        if (problem != 0) {
            ::close(fd);
            return nullptr;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Connection>(fd);
}

bool Connection::write(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            error = std::strerror(errno);
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

void Connection::close()
{
    if (m_fd >= 0) {
        ::close(std::exchange(m_fd, -1));
    }
}

void Connection::reset()
{
    if (m_fd >= 0) {
        const linger now{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
}

bool Connection::isClosedByPeer()
{
    char byte = 0;
    const ssize_t n = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN) || n > 0;
}

ReadEnd Connection::fill(Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd descriptor{m_fd, POLLIN, 0};
    const int ready = left <= 0 ? 0 : poll(&descriptor, 1, static_cast<int>(std::min<long>(left, 600'000)));
    if (ready == 0) {
        error = "timed out";
        return ReadEnd::TimedOut;
    }
    char bytes[16'384];
    const ssize_t n = recv(m_fd, bytes, sizeof bytes, 0);
    if (n <= 0) {
        error = n == 0 ? "end of connection" : std::strerror(errno);
        return n == 0 ? ReadEnd::Closed : ReadEnd::Broken;
    }
    m_input.append(bytes, static_cast<std::size_t>(n));
    return ReadEnd::Complete;
}

bool Connection::takeLine(std::string &line)
{
    const std::size_t end = m_input.find("\r\n");
    if (end == std::string::npos) {
        return false;
    }
    line = m_input.substr(0, end);
    m_input.erase(0, end + 2);
    return true;
}

ReadEnd Connection::read(Message &message, bool isResponse, milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    message = {};
    bool hasBegun = !m_input.empty();
    const auto more = [&] {
        const ReadEnd end = fill(until);
        const bool isFirst = !hasBegun;
        hasBegun = true;
        return end == ReadEnd::Closed && !isFirst ? ReadEnd::Broken : end;
    };
    const auto line = [&](std::string &out) {
        while (!takeLine(out)) {
            if (const ReadEnd end = more(); end != ReadEnd::Complete) {
                return end;
            }
        }
        return ReadEnd::Complete;
    };
    if (const ReadEnd end = line(message.start); end != ReadEnd::Complete) {
        return end;
    }
    while (true) {
        std::string text;
        if (const ReadEnd end = line(text); end != ReadEnd::Complete) {
            return end;
        }
        if (text.empty()) {
            break;
        }
        const std::size_t colon = text.find(':');
        const std::size_t value = colon == std::string::npos ? text.size() : text.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(text.substr(0, colon), value == std::string::npos ? std::string() : text.substr(value));
    }
    const std::string length = message.field("Content-Length");
    if (equalsIgnoringCase(message.field("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::string text;
            if (const ReadEnd end = line(text); end != ReadEnd::Complete) {
                return end;
            }
            const std::size_t size = std::strtoul(text.c_str(), nullptr, 16);
            while (m_input.size() < size + 2) {
                if (const ReadEnd end = more(); end != ReadEnd::Complete) {
                    message.body.append(m_input); // the part that has arrived
                    return end;
                }
            }
            message.body.append(m_input, 0, size);
            m_input.erase(0, size + 2);
            if (size == 0) {
                return ReadEnd::Complete;
            }
        }
    }
    if (!length.empty()) {
        const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
        while (m_input.size() < size) {
            if (const ReadEnd end = more(); end != ReadEnd::Complete) {
                message.body = m_input;
                return end;
            }
        }
        message.body = m_input.substr(0, size);
        m_input.erase(0, size);
        return ReadEnd::Complete;
    }
    if (isResponse && message.status() != 204) {
        while (true) {
            const ReadEnd end = fill(until);
            if (end != ReadEnd::Complete) {
                message.body = std::exchange(m_input, {});
                return end == ReadEnd::Closed ? ReadEnd::Complete : end;
            }
        }
    }
    return ReadEnd::Complete;
}

Listener::Listener(const Address &address, Handler handler)
    : m_handler(std::move(handler))
{
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = toSockaddr(address);
    if (bind(m_fd, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0 || listen(m_fd, 512) != 0) {
        std::fprintf(stderr, "can't listen on %s: %s\n", address.text().c_str(), std::strerror(errno));
        std::exit(2);
    }
    m_thread = std::thread([this] {
        run();
    });
}

Listener::~Listener()
{
    stop();
}

void Listener::stop()
{
    if (!m_isStopping.exchange(true)) {
        shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        close(m_fd);
    }
}

void Listener::run()
{
    while (!m_isStopping) {
        const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
            // The program ends with exit(), so threads of connections need no end of their own.
            std::thread([this, fd] {
                Connection connection(fd);
                m_handler(connection);
            }).detach();
        }
    }
}

Store::Store(const Address &address)
    : m_listener(address, [this](Connection &connection) {
        serve(connection);
    })
{
}

Json &Store::write(const std::string &kind, const std::string &name, const Json &spec)
{
    Json &object = m_objects[kind][name];
    const Json created = object.is_object() ? object["metadata"]["created"] : Json(m_revision + 1);
    object = Json{{"metadata", {{"name", name}, {"revision", ++m_revision}, {"created", created}, {"finalizers", Json::array()}, {"deleting", false}}},
                  {"spec", spec},
                  {"status", nullptr}};
    m_events.push_back({m_revision, kind, object, false});
    m_changed.notify_all();
    return object;
}

std::uint64_t Store::put(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::lock_guard lock(m_mutex);
    return write(kind, name, spec)["metadata"]["revision"].get<std::uint64_t>();
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    auto &objects = m_objects[kind];
    if (const auto it = objects.find(name); it != objects.end()) {
        Json object = it->second;
        objects.erase(it);
        object["metadata"]["revision"] = ++m_revision;
        m_events.push_back({m_revision, kind, object, true});
        m_changed.notify_all();
    }
}

Json Store::get(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end() || !objects->second.contains(name)) {
        return nullptr;
    }
    return objects->second.at(name);
}

void Store::serve(Connection &connection)
{
    Message request;
    while (connection.read(request, false, milliseconds{120'000}) == ReadEnd::Complete) {
        if (beforeAnswer && !beforeAnswer(request)) {
            return;
        }
        Json out;
        const int status = handle(request, out);
        const std::string body = out.is_null() ? std::string() : out.dump();
        if (!connection.write("HTTP/1.1 " + std::to_string(status) + " S\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                              + "\r\n\r\n" + body)) {
            return;
        }
    }
}

int Store::watch(std::unique_lock<std::mutex> &lock, const std::string &kind, std::uint64_t since, milliseconds wait, Json &out)
{
    const auto until = Clock::now() + wait;
    out = Json{{"events", Json::array()}};
    while (true) {
        for (const Event &event : m_events) {
            if (event.revision > since && event.kind == kind) {
                out["events"].push_back({{"object", event.object}, {"deleted", event.isDeleted}});
            }
        }
        if (!out["events"].empty() || Clock::now() >= until) {
            out["as_of"] = m_revision;
            return 200;
        }
        m_changed.wait_until(lock, until);
    }
}

int Store::handle(const Message &request, Json &out)
{
    const std::string target = request.target();
    const std::size_t question = std::min(target.find('?'), target.size());
    const std::string path = target.substr(0, question);
    const std::string query = target.substr(question);
    const auto parameter = [&query](const std::string &name) -> std::optional<std::string> {
        for (const char *mark : {"?", "&"}) {
            const std::size_t at = query.find(mark + name + '=');
            if (at != std::string::npos) {
                const std::size_t begin = at + name.size() + 2;
                return query.substr(begin, query.find('&', begin) - begin);
            }
        }
        return std::nullopt;
    };
    const std::string prefix = "/-/objects/";
    if (!path.starts_with(prefix)) {
        return 404;
    }
    const std::string rest = path.substr(prefix.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash < rest.size() ? rest.substr(slash + 1) : std::string();
    std::unique_lock lock(m_mutex);
    auto &objects = m_objects[kind];
    if (request.method() == "GET" && name.empty() && parameter("watch")) {
        return watch(lock, kind, std::stoull(*parameter("watch")), milliseconds{std::stol(parameter("wait_ms").value_or("0"))}, out);
    }
    if (request.method() == "GET" && name.empty()) {
        const std::string after = parameter("after").value_or("");
        out = Json{{"items", Json::array()}, {"more", false}, {"as_of", m_revision}};
        for (const auto &[key, object] : objects) {
            if (key > after) {
                out["items"].push_back(object);
            }
        }
        return 200;
    }
    const auto it = objects.find(name);
    if (request.method() == "GET") {
        if (it == objects.end()) {
            return 404;
        }
        out = it->second;
        return 200;
    }
    const Json body = request.body.empty() ? Json::object() : Json::parse(request.body, nullptr, false);
    if (request.method() == "POST") {
        const std::string created = body["metadata"]["name"].get<std::string>();
        if (objects.contains(created)) {
            out = objects.at(created);
            return 409;
        }
        out = write(kind, created, body["spec"]);
        return 201;
    }
    if (it == objects.end()) {
        return 404;
    }
    const std::uint64_t current = it->second["metadata"]["revision"].get<std::uint64_t>();
    const auto inQuery = parameter("revision");
    const bool isInBody = body.contains("metadata") && body["metadata"].contains("revision");
    const std::uint64_t expected = inQuery ? std::stoull(*inQuery) : (isInBody ? body["metadata"]["revision"].get<std::uint64_t>() : current);
    if (expected != current) {
        out = it->second;
        return 409;
    }
    if (request.method() == "PUT") {
        if (it->second["spec"] != body["spec"]) {
            write(kind, name, body["spec"]);
        }
        out = m_objects[kind][name];
        return 200;
    }
    Json object = it->second;
    objects.erase(it);
    object["metadata"]["revision"] = ++m_revision;
    m_events.push_back({m_revision, kind, object, true});
    m_changed.notify_all();
    out = object;
    return 200;
}

Server::Server(Store &store, std::string id, std::string service, std::string zone, const Address &address, int slots, Handler handler)
    : m_store(store)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_address(address)
    , m_handler(std::move(handler))
    , m_listener(address, [this](Connection &connection) {
        serve(connection);
    })
{
    const auto born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    m_spec = Json{{"service", m_service}, {"address", address.text()}, {"zone", zone},  {"version", "v1"}, {"slots", slots},
                  {"state", "ready"},     {"cold_remaining_ms", 0},    {"sequence", 0}, {"born", born}};
    m_store.put("servers", m_id, m_spec);
    m_beats = std::thread([this] {
        beat();
    });
}

Server::~Server()
{
    m_isStopping = true;
    m_beats.join();
    m_listener.stop();
}

void Server::beat()
{
    for (int tick = 0; !m_isStopping; ++tick) {
        std::this_thread::sleep_for(milliseconds{50});
        if (tick % 24 == 23) {
            const std::lock_guard lock(m_mutex);
            m_spec["sequence"] = m_spec["sequence"].get<int>() + 1;
            m_store.put("servers", m_id, m_spec);
        }
    }
}

void Server::setState(const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    m_spec["state"] = state;
    m_store.put("servers", m_id, m_spec);
}

void Server::addModel(const std::string &model, int version)
{
    const std::lock_guard lock(m_mutex);
    m_spec["stage"] = "both";
    m_spec["models"] = Json::array({{{"name", model}, {"version", version}, {"adapters", Json::array()}}});
    m_store.put("servers", m_id, m_spec);
}

void Server::serve(Connection &connection)
{
    Message request;
    while (connection.read(request, false, milliseconds{20'000}) == ReadEnd::Complete) {
        const std::string target = request.field("Carawaylatch-Target-Instance");
        if (!target.empty() && target != m_id) {
            if (!connection.write("HTTP/1.1 421 Misdirected Request\r\n" + identity(request) + "Carawaylatch-Instance-Id: " + m_id
                                  + "\r\nContent-Length: 0\r\n\r\n")) {
                return;
            }
            continue;
        }
        if (!m_handler(*this, connection, request)) {
            return;
        }
    }
}

std::string identity(const Message &request)
{
    const std::string id = request.field("Carawaylatch-Request-Id");
    return id.empty() ? std::string() : "Carawaylatch-Request-Id: " + id + "\r\n";
}

std::string newRequestId()
{
    static std::atomic<std::uint64_t> last{0x9c41d07b00000000};
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++last));
    return text;
}

void end(int status)
{
    std::fflush(stdout);
    std::_Exit(status);
}

bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

Address frontend(const std::string &network, int gateway)
{
    return {network + '.' + std::to_string(10 + gateway), 8782};
}

bool waitReady(const std::string &network, int gateways)
{
    constexpr milliseconds StableWindow{3000};
    const auto until = Clock::now() + milliseconds{15'000};
    for (int i = 0; i < gateways; ++i) {
        Address ready = frontend(network, i);
        ready.port = 8789;
        bool isReady = false;
        while (!isReady) {
            if (Clock::now() > until) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds{100});
            const auto connection = Connection::connect(ready, milliseconds{500});
            Message answer;
            isReady = connection && connection->write("GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                      && connection->read(answer, true, milliseconds{1000}) == ReadEnd::Complete && answer.status() == 200;
        }
    }
    std::this_thread::sleep_for(StableWindow + milliseconds{500});
    return true;
}

} // namespace review
