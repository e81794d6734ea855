// Tests the contract of PeerTransport with the fake and with the HTTP/2 transport.
#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "carawaylatch/peer/http2session.h"
#include "carawaylatch/peer/http2transport.h"
#include "carawaylatch/peer/testing/fakenetwork.h"
#include "carawaylatch/peer/testing/samplemessages.h"
#include "testing/seed.h"

namespace carawaylatch::peer::testing
{

namespace
{

const std::string Key = "0123456789abcdef";
const PeerIdentity First{base::RouterId("a"), {1}};
const PeerIdentity Second{base::RouterId("b"), {2}};

// Collects delivered messages.
struct Inbox
{
    mutable std::mutex mutex;
    std::vector<PeerEnvelope> envelopes;

    PeerTransport::Handler handler()
    {
        return [this](const PeerEnvelope &it) {
            const std::lock_guard lock(mutex);
            envelopes.push_back(it);
        };
    }
    std::size_t size() const
    {
        const std::lock_guard lock(mutex);
        return envelopes.size();
    }
};

// TCP connection that sends raw bytes; closed by the destructor.
class RawConnection
{
public:
    explicit RawConnection(const base::Endpoint &to)
        : m_fd(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
        CPPUNIT_ASSERT(::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
    }
    ~RawConnection()
    {
        ::close(m_fd);
    }
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    void write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0) {
                return;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
    }
    // Shuts down the sending side.
    void finish() const
    {
        ::shutdown(m_fd, SHUT_WR);
    }
    // Returns the received bytes, empty after the other side closed the connection.
    std::string read() const
    {
        std::string buf(65'536, '\0');
        const auto n = ::recv(m_fd, buf.data(), buf.size(), 0);
        buf.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return buf;
    }

private:
    int m_fd;
};

// Creates transports of one kind that can reach each other.
class TransportFixture
{
public:
    virtual ~TransportFixture() = default;
    virtual std::unique_ptr<PeerTransport> createTransport(const PeerIdentity &self, const std::string &key, std::uint16_t port = 0) = 0;
    // Sends arbitrary bytes to an endpoint, bypassing PeerTransport::send().
    virtual void sendBytes(const base::Endpoint &to, const std::string &bytes) = 0;
    // Delivers messages until the condition holds. Returns false after a time limit.
    virtual bool waitFor(const std::function<bool()> &condition) = 0;
};

class FakeTransportFixture : public TransportFixture
{
public:
    std::unique_ptr<PeerTransport> createTransport(const PeerIdentity &self, const std::string &key, std::uint16_t port = 0) override
    {
        return std::make_unique<FakeTransport>(m_network, self, key, 0, port);
    }
    void sendBytes(const base::Endpoint &to, const std::string &bytes) override
    {
        FakeTransport unknownSender(m_network, First, Key);
        if (bytes.size() > MaxMessageBytes) {
            // A real connection rejects too large messages while reading them.
            m_network.transports.at(to)->refuseTooLarge();
        } else {
            unknownSender.sendBytes(to, bytes);
        }
    }
    bool waitFor(const std::function<bool()> &condition) override
    {
        for (int i = 0; i < 3 && !condition(); ++i) {
            m_network.wire.runFor(base::seconds{1});
        }
        return condition();
    }

private:
    FakeNetwork m_network;
};

class Http2TransportFixture : public TransportFixture
{
public:
    std::unique_ptr<PeerTransport> createTransport(const PeerIdentity &self, const std::string &key, std::uint16_t port = 0) override
    {
        Http2TransportOptions options;
        options.self = self;
        options.listen = {"127.0.0.1", port};
        options.key = key;
        return std::make_unique<Http2Transport>(options);
    }
    void sendBytes(const base::Endpoint &to, const std::string &bytes) override
    {
        const RawConnection connection(to);
        Http2Session session(Http2Session::Role::Client, 2 * MaxMessageBytes);
        (void)session.submit(bytes);
        for (auto responses = session.takeResponses(); responses.empty(); responses = session.takeResponses()) {
            for (auto output = session.takeOutput(); !output.empty(); output = session.takeOutput()) {
                connection.write(output);
            }
            if (!session.receive(connection.read())) {
                return;
            }
        }
    }
    bool waitFor(const std::function<bool()> &condition) override
    {
        constexpr int MaxTries = 2'000;
        for (int i = 0; i < MaxTries && !condition(); ++i) {
            std::this_thread::sleep_for(base::milliseconds{5});
        }
        return condition();
    }
};

std::uint64_t refusals(const PeerTransport &transport, PeerRefusal refusal)
{
    return transport.counters().refused.at(static_cast<std::size_t>(refusal));
}

} // namespace

// Cases for every transport.
template <typename Fixture>
class TransportContractTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TransportContractTest);
    CPPUNIT_TEST(testEveryKindArrives);
    CPPUNIT_TEST(testManyAndLargeMessagesArriveOnce);
    CPPUNIT_TEST(testInvalidMessagesAreRejectedAndCounted);
    CPPUNIT_TEST(testMessageToUnreachablePeerIsDropped);
    CPPUNIT_TEST(testDeliveryAfterPeerRestart);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fixture = std::make_unique<Fixture>();
        m_inbox = std::make_unique<Inbox>();
        m_sender = m_fixture->createTransport(First, Key);
        m_receiver = m_fixture->createTransport(Second, Key);
        CPPUNIT_ASSERT(m_sender->start([](const PeerEnvelope &) {}) && m_receiver->start(m_inbox->handler()));
    }
    void tearDown() override
    {
        m_sender.reset();
        m_receiver.reset();
        m_fixture.reset();
    }

    void testEveryKindArrives()
    {
        const auto messages = SampleMessages(::carawaylatch::testing::seed()).all();
        for (const auto &it : messages) {
            m_sender->send(m_receiver->endpoint(), it);
        }
        CPPUNIT_ASSERT(m_fixture->waitFor([&] {
            return m_inbox->size() == messages.size();
        }));
        std::set<std::size_t> kinds;
        for (const auto &it : m_inbox->envelopes) {
            CPPUNIT_ASSERT(it.sender == First);
            CPPUNIT_ASSERT(encodeEnvelope(it) == encodeEnvelope({First, it.sequence, messages[it.message.index()]}));
            kinds.insert(it.message.index());
        }
        CPPUNIT_ASSERT_EQUAL(messages.size(), kinds.size());
    }

    void testManyAndLargeMessagesArriveOnce()
    {
        constexpr std::size_t Count = 500;
        handover::SnapshotPart large{1, 0, 1, 0, std::string(1'000'000, 'x')};
        for (std::size_t i = 0; i < Count; ++i) {
            m_sender->send(m_receiver->endpoint(), config::ConfigRequest{{i}});
        }
        m_sender->send(m_receiver->endpoint(), large);
        m_sender->send(m_receiver->endpoint(), large);
        CPPUNIT_ASSERT(m_fixture->waitFor([&] {
            return m_inbox->size() == Count + 2;
        }));
        std::set<std::uint64_t> sequences;
        for (const auto &it : m_inbox->envelopes) {
            CPPUNIT_ASSERT(sequences.insert(it.sequence).second);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{Count + 2}, m_receiver->counters().receivedMessages);
        CPPUNIT_ASSERT(m_receiver->counters().receivedBytes > 2'000'000);
    }

    void testInvalidMessagesAreRejectedAndCounted()
    {
        AuthenticatedCodec codec({base::RouterId("c"), {3}}, Key);
        const auto validMessage = codec.encode(MarksRequest{});
        const MessageAuthenticator authenticator(Key);
        const struct
        {
            PeerRefusal refusal;
            std::string bytes;
        } cases[] = {
            {PeerRefusal::WrongKey, AuthenticatedCodec(First, "another key of 24 bytes!").encode(MarksRequest{})},
            {PeerRefusal::WrongKey, "short"},
            {PeerRefusal::WrongVersion, authenticator.sign("\x08\x07\x12\x01"
                                                           "c")},
            {PeerRefusal::TooLarge, std::string(MaxMessageBytes + 1, 'x')},
            {PeerRefusal::Malformed, authenticator.sign("\x08\x01\xff\xff\xff\xff")},
            {PeerRefusal::Malformed, authenticator.sign("\x08\x01")},
            {PeerRefusal::Replayed, validMessage},
        };
        m_fixture->sendBytes(m_receiver->endpoint(), validMessage);
        CPPUNIT_ASSERT(m_fixture->waitFor([&] {
            return m_inbox->size() == 1;
        }));
        for (const auto &it : cases) {
            const auto before = refusals(*m_receiver, it.refusal);
            m_fixture->sendBytes(m_receiver->endpoint(), it.bytes);
            CPPUNIT_ASSERT_MESSAGE(std::string(peerRefusalName(it.refusal)), m_fixture->waitFor([&] {
                return refusals(*m_receiver, it.refusal) == before + 1;
            }));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_inbox->size());
    }

    void testMessageToUnreachablePeerIsDropped()
    {
        const auto unreachable = m_receiver->endpoint();
        m_receiver.reset();
        m_sender->send(unreachable, MarksRequest{});
        CPPUNIT_ASSERT(m_fixture->waitFor([&] {
            return m_sender->counters().dropped == 1;
        }));
        m_sender->send({"not an address", 1}, MarksRequest{});
        CPPUNIT_ASSERT(m_fixture->waitFor([&] {
            return m_sender->counters().dropped == 2;
        }));
    }

    void testDeliveryAfterPeerRestart()
    {
        m_sender->send(m_receiver->endpoint(), MarksRequest{});
        CPPUNIT_ASSERT(m_fixture->waitFor([&] {
            return m_inbox->size() == 1;
        }));
        const auto port = m_receiver->endpoint().port;
        m_receiver->stop();
        Inbox inbox;
        const auto next = m_fixture->createTransport({Second.id, {77}}, Key, port);
        CPPUNIT_ASSERT(next->start(inbox.handler()));
        CPPUNIT_ASSERT(m_fixture->waitFor([&] {
            m_sender->send(next->endpoint(), MarksRequest{});
            return inbox.size() > 0;
        }));
        CPPUNIT_ASSERT_EQUAL(port, next->endpoint().port);
        next->stop();
    }

private:
    std::unique_ptr<TransportFixture> m_fixture;
    std::unique_ptr<Inbox> m_inbox;
    std::unique_ptr<PeerTransport> m_sender;
    std::unique_ptr<PeerTransport> m_receiver;
};

using FakeTransportContractTest = TransportContractTest<FakeTransportFixture>;
using Http2TransportContractTest = TransportContractTest<Http2TransportFixture>;
CPPUNIT_TEST_SUITE_REGISTRATION(FakeTransportContractTest);
CPPUNIT_TEST_SUITE_REGISTRATION(Http2TransportContractTest);

// Cases for the HTTP/2 transport only.
class Http2TransportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(Http2TransportTest);
    CPPUNIT_TEST(testConnectionsAreBounded);
    CPPUNIT_TEST(testInvalidBytesCloseOnlyTheirConnection);
    CPPUNIT_TEST(testPortInUse);
    CPPUNIT_TEST_SUITE_END();

public:
    void testConnectionsAreBounded()
    {
        Http2TransportFixture fixture;
        Http2TransportOptions options{First, {"127.0.0.1", 0}, Key, 2, 4'000'000, base::seconds{1}};
        Http2Transport sender(options);
        CPPUNIT_ASSERT(sender.start([](const PeerEnvelope &) {}));
        Inbox inbox;
        std::vector<std::unique_ptr<PeerTransport>> receivers;
        for (std::uint64_t i = 0; i < 5; ++i) {
            receivers.push_back(fixture.createTransport({base::RouterId("r"), {i + 10}}, Key));
            CPPUNIT_ASSERT(receivers.back()->start(inbox.handler()));
            const auto before = inbox.size();
            sender.send(receivers.back()->endpoint(), MarksRequest{});
            CPPUNIT_ASSERT(fixture.waitFor([&] {
                return inbox.size() == before + 1;
            }));
            CPPUNIT_ASSERT(sender.counters().connections <= 2);
        }
        receivers.clear();
    }

    void testInvalidBytesCloseOnlyTheirConnection()
    {
        Http2TransportFixture fixture;
        Inbox inbox;
        const auto receiver = fixture.createTransport(Second, Key);
        const auto sender = fixture.createTransport(First, Key);
        CPPUNIT_ASSERT(receiver->start(inbox.handler()) && sender->start([](const PeerEnvelope &) {}));
        base::Random random(::carawaylatch::testing::seed());
        for (int i = 0; i < 20; ++i) {
            const RawConnection connection(receiver->endpoint());
            std::string bytes = i % 2 == 0 ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" : "";
            for (int n = 0; n < 2'000; ++n) {
                bytes += static_cast<char>(random.next());
            }
            connection.write(bytes);
            connection.finish();
            while (!connection.read().empty()) {}
        }
        sender->send(receiver->endpoint(), MarksRequest{});
        CPPUNIT_ASSERT(fixture.waitFor([&] {
            return inbox.size() == 1;
        }));
    }

    void testPortInUse()
    {
        Http2TransportFixture fixture;
        const auto first = fixture.createTransport(First, Key);
        CPPUNIT_ASSERT(first->start([](const PeerEnvelope &) {}));
        Http2Transport second({Second, first->endpoint(), Key, 2, 4'000'000, base::seconds{1}});
        const auto started = second.start([](const PeerEnvelope &) {});
        CPPUNIT_ASSERT(!started && started.error().message.find("change address or port in [peers]") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http2TransportTest);

} // namespace carawaylatch::peer::testing
