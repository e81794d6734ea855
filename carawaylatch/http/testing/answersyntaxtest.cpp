// Responses that are none by HTTP, to every client of carawaylatchd: none may be taken for an answer, or for a refusal of a
// request that may have run.
#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "carawaylatch/http/engineclient.h"
#include "carawaylatch/http/serviceclient.h"
#include "carawaylatch/http/upstreamclient.h"
#include "carawaylatch/store/httpobjectstore.h"
#include "testing/answertable.h"

namespace carawaylatch::http::testing
{

using carawaylatch::testing::AnswerRow;
using carawaylatch::testing::AnswerTable;
using carawaylatch::testing::FailedRows;

namespace
{

constexpr base::Duration Timeout = base::seconds{5};

// Sends the same bytes to each request, and closes its connection in order.
class RawServer
{
public:
    RawServer()
        : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        CPPUNIT_ASSERT(::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) == 0 && ::listen(m_listener, 16) == 0);
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_endpoint = {"127.0.0.1", ntohs(address.sin_port)};
    }
    ~RawServer()
    {
        ::close(m_listener);
    }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    [[nodiscard]] const base::Endpoint &endpoint() const
    {
        return m_endpoint;
    }

    // Runs the call while one request is answered.
    void answer(const std::string &bytes, const std::function<void()> &call) const
    {
        std::thread server([this, &bytes] {
            int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            while (readRequest(socket).starts_with("DELETE")) { // of an attempt that was given up
                ::close(socket);
                socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            }
            static_cast<void>(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
            ::shutdown(socket, SHUT_WR);
            std::array<char, 4096> rest{};
            while (::recv(socket, rest.data(), rest.size(), 0) > 0) {}
            ::close(socket);
        });
        call();
        server.join();
    }

    // Runs the call while this many requests are answered, and each connection is closed right after its answer.
    void answerAndClose(const std::string &bytes, int requests, const std::function<void()> &call) const
    {
        std::thread server([this, &bytes, requests] {
            for (int i = 0; i < requests; ++i) {
                const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                static_cast<void>(readRequest(socket));
                static_cast<void>(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
                ::close(socket);
            }
        });
        call();
        server.join();
    }

    // Answers at the first bytes of a request, and reads no more of it.
    void answerEarly(const std::string &bytes, bool isClosed, const std::function<void()> &call) const
    {
        std::thread server([this, &bytes, isClosed] {
            constexpr int ReceiveBufferBytes = 16'384;
            ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof ReceiveBufferBytes); // inherited by connections
            const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            std::array<char, 1024> buf{};
            static_cast<void>(::recv(socket, buf.data(), buf.size(), 0));
            static_cast<void>(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
            std::this_thread::sleep_for(base::milliseconds{20}); // the client writes on
            if (isClosed) {
                ::shutdown(socket, SHUT_WR);
            }
            ::close(socket); // with a reset, since there are bytes that were not read
        });
        call();
        server.join();
    }

private:
    static std::string readRequest(int socket)
    {
        std::string text;
        std::array<char, 4096> buf{};
        for (std::size_t total = 0; total == 0 || text.size() < total;) {
            const ssize_t n = ::recv(socket, buf.data(), buf.size(), 0);
            if (n <= 0) {
                break;
            }
            text.append(buf.data(), static_cast<std::size_t>(n));
            const std::size_t head = text.find("\r\n\r\n");
            const std::size_t length = text.find("Content-Length: ");
            if (head != std::string::npos) {
                total = head + 4 + (length < head ? std::stoul(text.substr(length + 16)) : 0);
            }
        }
        return text;
    }

    const int m_listener;
    base::Endpoint m_endpoint;
};

class Listener : public relay::EngineListener
{
public:
    void onHead(const relay::EngineHead &) override
    {
    }
    void onToken(const relay::TokenEvent &) override
    {
    }
    void onDone(const relay::DoneEvent &) override
    {
        isDone = true;
    }
    void onBroken(relay::BreakKind kind, const base::Error &) override
    {
        broken = kind;
    }

    bool isDone = false;
    std::optional<relay::BreakKind> broken;
};

} // namespace

class ClientAnswerSyntaxTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClientAnswerSyntaxTest);
    CPPUNIT_TEST(testServices);
    CPPUNIT_TEST(testEngines);
    CPPUNIT_TEST(testReports);
    CPPUNIT_TEST(testEngineOrders);
    CPPUNIT_TEST(testObjects);
    CPPUNIT_TEST(testEarlyResponses);
    CPPUNIT_TEST(testConnectionsClosedWhileIdle);
    CPPUNIT_TEST_SUITE_END();

    RawServer m_server;

public:
    void testServices()
    {
        FailedRows failed;
        for (const AnswerRow &row : AnswerTable("X-Attempt-Id: 3\r\n", "booked").rows()) {
            m_server.answer(row.bytes, [&] {
                orders::ServiceRequest request;
                request.attempt = {3};
                request.endpoint = m_server.endpoint();
                request.method = "POST";
                request.path = "/book";
                request.body = "{}";
                request.timeout = Timeout;
                const auto answer = ServiceClient(Timeout).call(request);
                failed.check(row.isWhole == answer.has_value(), row.rule);
                failed.check(!answer || (answer.value().status == 200 && answer.value().body == "booked"), row.rule);
                failed.check(answer || answer.error().kind == base::ErrorKind::Unclear, row.rule); // the call may have run
            });
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed.text());
    }

    void testEngines()
    {
        FailedRows failed;
        const std::string events = "data: {\"index\":0,\"text\":\"a\"}\n\ndata: {\"done\":true,\"count\":1,\"usage\":{}}\n\n";
        for (const AnswerRow &row : AnswerTable("X-Attempt-Id: a1\r\n", events).rows()) {
            m_server.answer(row.bytes, [&] {
                relay::EngineRequest request;
                request.attempt = {0xA1};
                request.upstream = base::UpstreamId("engine-1");
                request.endpoint = m_server.endpoint();
                request.timeout = Timeout;
                Listener listener;
                EngineClient(Timeout).run(request, listener);
                failed.check(row.isWhole == listener.isDone, row.rule);
                failed.check(row.isWhole || listener.broken == relay::BreakKind::Lost, row.rule);
            });
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed.text());
    }

    void testReports()
    {
        FailedRows failed;
        const std::string report = R"({"incarnation":"a","model":"m","weights_version":1,"state":"live"})";
        for (const AnswerRow &row : AnswerTable("", report).rows()) {
            m_server.answer(row.bytes, [&] {
                failed.check(row.isWhole == UpstreamClient(Timeout).loadReport(m_server.endpoint()).has_value(), row.rule);
            });
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed.text());
    }

    void testEngineOrders()
    {
        FailedRows failed;
        for (const AnswerRow &row : AnswerTable("", "{}").rows()) {
            m_server.answer(row.bytes, [&] {
                const auto result = UpstreamClient(Timeout).order(base::UpstreamId("engine-1"), m_server.endpoint(), {});
                failed.check(row.isWhole == result.has_value(), row.rule);
                failed.check(result || result.error().kind == base::ErrorKind::Unclear, row.rule);
            });
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed.text());
    }

    void testObjects()
    {
        FailedRows failed;
        const std::string object = R"({"name":"o","version":4,"value":"YQ=="})";
        for (const AnswerRow &row : AnswerTable("", object).rows()) {
            m_server.answer(row.bytes, [&] {
                store::HttpObjectStore objects(m_server.endpoint(), base::FailureDomain("z"), Timeout);
                failed.check(row.isWhole == objects.read("o").has_value(), row.rule);
            });
            m_server.answer(row.bytes, [&] {
                store::HttpObjectStore objects(m_server.endpoint(), base::FailureDomain("z"), Timeout);
                const auto result = objects.write("o", "a", {});
                failed.check(row.isWhole == result.has_value(), row.rule);
                failed.check(result || result.error().kind == base::ErrorKind::Unclear, row.rule);
            });
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed.text());
    }

    // A server answers a long request before it has read it, and resets the connection, or ends it in order before.
    void testEarlyResponses()
    {
        FailedRows failed;
        for (const std::size_t bytes : {std::size_t{200'000}, std::size_t{4'000'000}}) {
            for (const bool isClosed : {false, true}) {
                m_server.answerEarly("HTTP/1.1 200 OK\r\nX-Attempt-Id: 3\r\nConnection: close\r\n\r\na part", isClosed, [&] {
                    const std::string body(bytes, 'u');
                    orders::ServiceRequest request;
                    request.attempt = {3};
                    request.endpoint = m_server.endpoint();
                    request.method = "POST";
                    request.path = "/book";
                    request.body = body;
                    request.timeout = Timeout;
                    const auto answer = ServiceClient(Timeout).call(request);
                    failed.check(!answer && answer.error().kind == base::ErrorKind::Unclear,
                                 std::to_string(bytes) + (isClosed ? " bytes, closed" : " bytes, reset"));
                });
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed.text());
    }

    // The end of a kept connection says nothing about a server; calls on it must not fail, nor be sent twice.
    void testConnectionsClosedWhileIdle()
    {
        constexpr int Calls = 3;
        const auto answerOf = [](const std::string &body) {
            return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        };
        const auto awaitEnd = [] {
            std::this_thread::sleep_for(base::milliseconds{20}); // of the connection
        };
        m_server.answerAndClose(answerOf(R"({"name":"o","version":4,"value":"YQ=="})"), Calls, [&] {
            store::HttpObjectStore objects(m_server.endpoint(), base::FailureDomain("z"), Timeout);
            CPPUNIT_ASSERT(objects.read("o").has_value());
            awaitEnd();
            CPPUNIT_ASSERT(objects.read("o").has_value());
            awaitEnd();
            CPPUNIT_ASSERT(objects.write("o", "a", {}).has_value());
        });
        m_server.answerAndClose(answerOf(R"({"incarnation":"a","model":"m","weights_version":1,"state":"live"})"), Calls, [&] {
            UpstreamClient client(Timeout);
            CPPUNIT_ASSERT(client.loadReport(m_server.endpoint()).has_value());
            awaitEnd();
            CPPUNIT_ASSERT(client.loadReport(m_server.endpoint()).has_value());
            awaitEnd();
            CPPUNIT_ASSERT(client.order(base::UpstreamId("engine-1"), m_server.endpoint(), {}).has_value());
        });
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ClientAnswerSyntaxTest);

} // namespace carawaylatch::http::testing
