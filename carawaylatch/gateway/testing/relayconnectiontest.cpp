// Polls of a reader over loopback, on connections that are kept between them.
#include <cppunit/extensions/HelperMacros.h>

#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>

#include "carawaylatch/gateway/http2relay.h"

namespace carawaylatch::gateway::testing
{

namespace
{

class EmptySource : public RelaySource
{
public:
    Awaitable<std::unique_ptr<RelayAnswer>> answer(RelayPoll /*poll*/) override
    {
        auto known = std::make_unique<RelayAnswer>();
        known->isKnown = true;
        known->revision = 9;
        co_return known;
    }
};

} // namespace

class RelayConnectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayConnectionTest);
    CPPUNIT_TEST(testPollAfterTheReaderClosedAnIdleConnection);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_loop{1};
    EmptySource m_source;

    [[nodiscard]] std::unique_ptr<Http2Relay> startReader(const base::Endpoint &endpoint)
    {
        auto reader = std::make_unique<Http2Relay>(m_loop, endpoint);
        CPPUNIT_ASSERT(reader->listen(m_source).has_value());
        return reader;
    }
    // Returns why the poll failed, or an empty text.
    std::string poll(Http2Relay &router, const base::Endpoint &reader)
    {
        const RelayPoll poll{ObjectKind::Tables, 5, base::milliseconds{5}};
        std::optional<base::Result<RelayAnswer>> answer;
        const auto call = [&]() -> Awaitable<void> {
            answer = co_await router.poll(reader, poll, base::seconds{15});
        };
        boost::asio::co_spawn(m_loop, call(), boost::asio::detached);
        m_loop.restart();
        while (!answer) {
            m_loop.run_one();
        }
        return *answer ? std::string() : answer->error().message;
    }

public:
    // A reader that had restarted while nobody polled it counted as unreachable, as the first poll met the end of the old connection.
    void testPollAfterTheReaderClosedAnIdleConnection()
    {
        auto reader = startReader({"127.0.0.1", 0});
        const base::Endpoint endpoint = reader->endpoint();
        Http2Relay router(m_loop, {});
        CPPUNIT_ASSERT_EQUAL(std::string(), poll(router, endpoint));
        reader.reset();
        reader = startReader(endpoint);
        CPPUNIT_ASSERT_EQUAL(std::string(), poll(router, endpoint));
        reader.reset();
        CPPUNIT_ASSERT_MESSAGE("it is gone", !poll(router, endpoint).empty());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RelayConnectionTest);

} // namespace carawaylatch::gateway::testing
