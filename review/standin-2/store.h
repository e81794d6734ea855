// The platform's store as PROTOCOL.md describes it: lists, watches, reads and conditional
// writes of objects, with one revision counter. Routers reach it through relays of their
// own, each of which can be cut.
#pragma once

#include <condition_variable>
#include <set>

#include <nlohmann/json.hpp>

#include "net.h"

namespace review
{

using Json = nlohmann::json;

class Store
{
public:
    // Creates or replaces an object; returns when the write is acknowledged.
    double put(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard lock(m_mutex);
        apply(kind, name, spec);
        return now();
    }
    double remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        erase(kind, name);
        return now();
    }

    // Answers one connection, of the router with this number.
    void answer(Socket socket, int router)
    {
        while (const auto request = readMessage(socket)) {
            sleepFor(0.004); // the pages' time of an answer
            if (!socket.write(reply(*request, router))) {
                return;
            }
        }
    }

    // The router that asked for the list of servers last, by a list or a watch.
    int lastReader()
    {
        const std::lock_guard lock(m_mutex);
        return m_lastReader;
    }

private:
    struct Object
    {
        std::uint64_t revision = 0;
        Json spec;
    };
    struct Event
    {
        std::uint64_t revision;
        std::string kind;
        Json value;
    };

    static Json shown(const std::string &name, const Object &object)
    {
        return {{"metadata", {{"name", name}, {"revision", object.revision}, {"created", 1}, {"finalizers", Json::array()}, {"deleting", false}}},
                {"spec", object.spec},
                {"status", nullptr}};
    }
    void apply(const std::string &kind, const std::string &name, const Json &spec)
    {
        Object &object = m_objects[kind][name];
        if (object.revision != 0 && object.spec == spec) {
            return; // a write that changes nothing makes no event
        }
        object = Object{++m_revision, spec};
        m_events.push_back({m_revision, kind, {{"deleted", false}, {"object", shown(name, object)}}});
        m_changed.notify_all();
    }
    void erase(const std::string &kind, const std::string &name)
    {
        auto &objects = m_objects[kind];
        const auto it = objects.find(name);
        if (it == objects.end()) {
            return;
        }
        Object object = it->second;
        objects.erase(it);
        object.revision = ++m_revision;
        m_events.push_back({m_revision, kind, {{"deleted", true}, {"object", shown(name, object)}}});
        m_changed.notify_all();
    }
    static std::string query(const std::string &target, const std::string &name)
    {
        const std::size_t mark = target.find('?');
        std::size_t at = mark == std::string::npos ? mark : target.find(name + "=", mark);
        if (at == std::string::npos) {
            return {};
        }
        at += name.size() + 1;
        return target.substr(at, target.find('&', at) - at);
    }
    static std::string json(int status, const Json &value)
    {
        return response(status, "Content-Type: application/json\r\n", value.dump());
    }

    std::string reply(const Message &request, int router)
    {
        const std::string method = request.word(0);
        const std::string target = request.word(1);
        const std::string prefix = "/-/objects/";
        const std::string path = target.substr(prefix.size(), target.find('?') - std::min(target.size(), prefix.size()));
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (method == "GET" && name.empty()) {
            m_lastReader = kind == "servers" && router >= 0 ? router : m_lastReader; // below zero: a router that is not disturbed
            const std::string watch = query(target, "watch");
            return watch.empty() ? list(kind) : this->watch(lock, kind, std::stoull(watch), std::stod("0" + query(target, "wait_ms")) / 1000);
        }
        auto &objects = m_objects[kind];
        if (method == "GET") {
            const auto it = objects.find(name);
            return it == objects.end() ? json(404, Json::object()) : json(200, shown(name, it->second));
        }
        if (method == "DELETE") {
            erase(kind, name);
            return json(200, Json::object());
        }
        const Json body = Json::parse(request.body);
        const std::string written = body["metadata"]["name"];
        const auto it = objects.find(written);
        if (method == "POST" && it != objects.end()) {
            return json(409, shown(written, it->second));
        }
        if (method == "PUT") {
            if (it == objects.end()) {
                return json(404, Json::object());
            }
            if (body["metadata"].contains("revision") && body["metadata"]["revision"] != it->second.revision) {
                return json(409, shown(written, it->second));
            }
        }
        apply(kind, written, body["spec"]);
        return json(200, shown(written, objects[written]));
    }
    std::string list(const std::string &kind)
    {
        Json items = Json::array();
        for (const auto &[name, object] : m_objects[kind]) {
            items.push_back(shown(name, object));
        }
        return json(200, {{"items", items}, {"more", false}, {"as_of", m_revision}});
    }
    std::string watch(std::unique_lock<std::mutex> &lock, const std::string &kind, std::uint64_t since, double wait)
    {
        const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(wait);
        while (true) {
            Json events = Json::array();
            for (const Event &event : m_events) {
                if (event.revision > since && event.kind == kind) {
                    events.push_back(event.value);
                }
            }
            if (!events.empty() || std::chrono::steady_clock::now() >= until) {
                return json(200, {{"events", events}, {"as_of", m_revision}});
            }
            m_changed.wait_until(lock, std::chrono::time_point_cast<std::chrono::steady_clock::duration>(until));
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 10;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    int m_lastReader = -1;
};

// A router's way to the store. While it is cut, connections are reset and refused.
class StoreLink
{
public:
    StoreLink(Store &store, int router)
        : m_port(serve("127.0.0.1", [this, &store, router](Socket socket) {
            const Socket own(::dup(socket.fd())); // keeps the number while it is listed
            if (!add(own.fd())) {
                socket.reset();
                return;
            }
            store.answer(std::move(socket), router);
            removeFd(own.fd());
        }))
    {
    }
    [[nodiscard]] int port() const
    {
        return m_port;
    }
    void setCut(bool isCut)
    {
        const std::lock_guard lock(m_mutex);
        m_isCut = isCut;
        if (isCut) {
            for (const int fd : m_fds) {
                ::shutdown(fd, SHUT_RDWR);
            }
        }
    }

private:
    bool add(int fd)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isCut) {
            m_fds.insert(fd);
        }
        return !m_isCut;
    }
    void removeFd(int fd)
    {
        const std::lock_guard lock(m_mutex);
        m_fds.erase(fd);
    }
    std::mutex m_mutex;
    std::set<int> m_fds;
    bool m_isCut = false;
    const int m_port;
};

} // namespace review
