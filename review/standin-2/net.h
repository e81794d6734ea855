// Sockets, HTTP/1.1 messages and child processes for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// One socket; closed at the end of its life. With linger, the close resets the connection.
class Socket
{
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    {
    }
    Socket(Socket &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
        , m_buffer(std::move(other.m_buffer))
    {
    }
    Socket &operator=(Socket &&other) noexcept
    {
        close();
        m_fd = std::exchange(other.m_fd, -1);
        m_buffer = std::move(other.m_buffer);
        return *this;
    }
    ~Socket()
    {
        close();
    }
    [[nodiscard]] bool isOpen() const
    {
        return m_fd >= 0;
    }
    [[nodiscard]] int fd() const
    {
        return m_fd;
    }
    void close()
    {
        if (m_fd >= 0) {
            ::close(std::exchange(m_fd, -1));
        }
    }
    void reset()
    {
        const linger hard{1, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }
    bool write(const std::string &text) const
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t n = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }
    // Reads up to and including the delimiter; nothing at the end of the connection.
    std::optional<std::string> readUntil(const std::string &delimiter)
    {
        std::size_t at = 0;
        while ((at = m_buffer.find(delimiter)) == std::string::npos) {
            if (!fill()) {
                return std::nullopt;
            }
        }
        std::string out = m_buffer.substr(0, at + delimiter.size());
        m_buffer.erase(0, out.size());
        return out;
    }
    std::optional<std::string> readExactly(std::size_t size)
    {
        while (m_buffer.size() < size) {
            if (!fill()) {
                return std::nullopt;
            }
        }
        std::string out = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return out;
    }

private:
    bool fill()
    {
        char chunk[16384];
        const ssize_t n = ::recv(m_fd, chunk, sizeof chunk, 0);
        if (n <= 0) {
            return false;
        }
        m_buffer.append(chunk, static_cast<std::size_t>(n));
        return true;
    }
    int m_fd;
    std::string m_buffer;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::inet_pton(AF_INET, ip.c_str(), &out.sin_addr) != 1) {
        throw std::runtime_error("no address: " + ip);
    }
    return out;
}

inline Socket connectTo(const std::string &ip, int port)
{
    Socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = addressOf(ip, port);
    const int on = 1;
    ::setsockopt(out.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(out.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return Socket();
    }
    return out;
}

inline void setReadTimeout(const Socket &socket, double seconds)
{
    timeval time{};
    time.tv_sec = static_cast<time_t>(seconds);
    time.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(time.tv_sec)) * 1e6);
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

inline int portOf(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

inline Socket listenOn(const std::string &ip, int port)
{
    Socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(out.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf(ip, port);
    if (::bind(out.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(out.fd(), 512) != 0) {
        throw std::runtime_error("can't listen on " + ip);
    }
    return out;
}

// A port that no earlier call has returned: the system may give one again before it is used.
inline int freePort(const std::string &ip)
{
    static std::set<int> given;
    while (true) {
        const int port = portOf(listenOn(ip, 0).fd());
        if (given.insert(port).second) {
            return port;
        }
    }
}

// Accepts connections for the rest of the program; a thread serves each.
inline int serve(const std::string &ip, std::function<void(Socket)> handler)
{
    auto listener = std::make_shared<Socket>(listenOn(ip, 0));
    const int port = portOf(listener->fd());
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int fd = ::accept4(listener->fd(), nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([handler, fd] {
                handler(Socket(fd));
            }).detach();
        }
    }).detach();
    return port;
}

struct Message
{
    std::string first; // request or status line
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
    [[nodiscard]] std::string word(int index) const
    {
        std::size_t begin = 0;
        for (; index > 0; --index) {
            begin = first.find(' ', begin) + 1;
        }
        return first.substr(begin, first.find(' ', begin) - begin);
    }
};

// Reads a message whose body has a length or none.
inline std::optional<Message> readMessage(Socket &socket)
{
    const auto head = socket.readUntil("\r\n\r\n");
    if (!head) {
        return std::nullopt;
    }
    Message out;
    std::size_t begin = head->find("\r\n");
    out.first = head->substr(0, begin);
    begin += 2;
    while (begin + 2 < head->size()) {
        const std::size_t end = head->find("\r\n", begin);
        const std::string line = head->substr(begin, end - begin);
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char &c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
        out.fields[name] = value;
        begin = end + 2;
    }
    const std::string length = out.field("content-length");
    if (!length.empty()) {
        const auto body = socket.readExactly(std::stoul(length));
        if (!body) {
            return std::nullopt;
        }
        out.body = *body;
    }
    return out;
}

inline std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A child process that ends with this object.
class Child
{
public:
    Child(const std::string &program, const std::string &settings, const std::string &log)
    {
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this program is killed
            if (std::freopen(log.c_str(), "a", stdout) == nullptr || ::dup2(1, 2) < 0) {
                ::_exit(126);
            }
            ::setenv("CARAWAYLATCH_NODE_FILE", settings.c_str(), 1);
            ::execl(program.c_str(), program.c_str(), nullptr);
            ::_exit(127);
        }
    }
    Child(const Child &) = delete;
    Child &operator=(const Child &) = delete;
    ~Child()
    {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
    [[nodiscard]] bool isRunning() const
    {
        return ::kill(m_pid, 0) == 0 && ::waitpid(m_pid, nullptr, WNOHANG) == 0;
    }
    void signal(int number) const
    {
        ::kill(m_pid, number);
    }

private:
    pid_t m_pid;
};

// Lines with their time, written to a file.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_out(path)
    {
    }
    void line(const std::string &text)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", now());
        const std::lock_guard lock(m_mutex);
        m_out << time << text << '\n';
    }
    void close()
    {
        const std::lock_guard lock(m_mutex);
        m_out.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

} // namespace review
