// Stand-ins of the users' platform for the scripts of this review: the store, servers and clients over loopback,
// as PROTOCOL.md describes them. One thread for each connection; plain POSIX sockets.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const;
};

// Appends lines with the time since the start to the record file.
class Record
{
public:
    explicit Record(const std::string &path);
    void write(const std::string &line);
    [[nodiscard]] double now() const;

private:
    std::mutex m_mutex;
    std::string m_path;
    Clock::time_point m_start = Clock::now();
};

// One message, in either direction.
struct Message
{
    std::string start; // first line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const; // empty if absent
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

enum class ReadEnd {
    Complete,
    Closed, // before the first byte
    Broken, // the connection ended inside the message
    TimedOut,
};

class Connection
{
public:
    explicit Connection(int fd);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    [[nodiscard]] static std::unique_ptr<Connection> connect(const Address &to, milliseconds timeout);
    bool write(const std::string &bytes);
    // Reads a request or a response. `onBytes` sees the body as it arrives.
    ReadEnd read(Message &message, bool isResponse, milliseconds timeout);
    void close();
    void reset();
    // True if the peer has closed the connection or sent something unexpected.
    [[nodiscard]] bool isClosedByPeer();

    std::string error; // errno text of the last failure

private:
    ReadEnd fill(Clock::time_point until);
    bool takeLine(std::string &line);

    int m_fd;
    std::string m_input;
};

class Listener
{
public:
    using Handler = std::function<void(Connection &)>;
    Listener(const Address &address, Handler handler);
    ~Listener();
    void stop();

private:
    void run();

    int m_fd = -1;
    Handler m_handler;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

// The platform's store: objects by kind and name, revisions, watches.
class Store
{
public:
    explicit Store(const Address &address);
    // As the operator or a server; returns the revision.
    std::uint64_t put(const std::string &kind, const std::string &name, const Json &spec);
    void remove(const std::string &kind, const std::string &name);
    [[nodiscard]] Json get(const std::string &kind, const std::string &name);
    // Called before each call is answered, without the lock; false: the connection is closed without an answer.
    std::function<bool(const Message &)> beforeAnswer;

private:
    struct Event
    {
        std::uint64_t revision;
        std::string kind;
        Json object;
        bool isDeleted;
    };
    void serve(Connection &connection);
    int handle(const Message &request, Json &out);
    int watch(std::unique_lock<std::mutex> &lock, const std::string &kind, std::uint64_t since, milliseconds wait, Json &out);
    Json &write(const std::string &kind, const std::string &name, const Json &spec);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Json>> m_objects;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 100;
    Listener m_listener;
};

// A server that registers itself, beats and passes its requests to a handler.
class Server
{
public:
    // Returns false if the connection is to be closed.
    using Handler = std::function<bool(Server &, Connection &, const Message &)>;
    Server(Store &store, std::string id, std::string service, std::string zone, const Address &address, int slots, Handler handler);
    ~Server();
    void setState(const std::string &state);
    void addModel(const std::string &model, int version);

    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] const std::string &service() const
    {
        return m_service;
    }

private:
    void beat();
    void serve(Connection &connection);

    Store &m_store;
    const std::string m_id;
    const std::string m_service;
    const Address m_address;
    Handler m_handler;
    std::mutex m_mutex;
    Json m_spec;
    std::atomic<bool> m_isStopping{false};
    Listener m_listener;
    std::thread m_beats;
};

[[nodiscard]] std::string identity(const Message &request); // the fields that every answer carries
[[nodiscard]] std::string newRequestId();
// Ends the program with its verdict, without waiting for the threads of connections.
[[noreturn]] void end(int status);
// False if the environment has TROUBLE=0.
[[nodiscard]] bool hasTrouble();
// Waits until the gateways of a network say that they are ready, and then until they are in touch.
[[nodiscard]] bool waitReady(const std::string &network, int gateways);
// Where clients reach a gateway.
[[nodiscard]] Address frontend(const std::string &network, int gateway);

} // namespace review
