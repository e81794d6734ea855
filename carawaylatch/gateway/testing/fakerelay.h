// Polls between the control planes of one test, with faults of each router.
#pragma once

#include <map>
#include <optional>
#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "carawaylatch/gateway/watchrelay.h"

namespace carawaylatch::gateway::testing
{

enum class RelayFault {
    None,
    Closed, // connections are refused at once
    Silent, // polls are taken and never answered
    Late, // answers arrive LateDelay after they were made
};

// The sources of all routers by their endpoints.
struct RelayNetwork
{
    std::map<base::Endpoint, RelaySource *> sources;
    std::map<base::Endpoint, RelayFault> faults;
    base::Duration lateDelay = base::milliseconds{200};
};

class FakeRelay : public RelayClient
{
public:
    FakeRelay(boost::asio::io_context &loop, RelayNetwork &network)
        : m_loop(loop)
        , m_network(network)
    {
    }

    Awaitable<base::Result<RelayAnswer>> poll(base::Endpoint reader, RelayPoll poll, base::Duration timeout) override
    {
        ++polls;
        const auto source = m_network.sources.find(reader);
        const RelayFault fault = source == m_network.sources.end() ? RelayFault::Closed : m_network.faults[reader];
        if (fault == RelayFault::Closed) {
            noteEnd(poll, std::nullopt);
            co_return base::fail(base::ErrorKind::Unavailable, "refused");
        }
        if (fault == RelayFault::Silent) {
            co_await pause(timeout);
            noteEnd(poll, std::nullopt);
            co_return base::fail(base::ErrorKind::Unavailable, "no answer");
        }
        auto answer = co_await source->second->answer(poll);
        const bool isLate = m_network.faults[reader] == RelayFault::Late;
        if (isLate) {
            co_await pause(m_network.lateDelay);
        }
        noteEnd(poll, answer && answer->isKnown ? std::optional(reader) : std::nullopt, isLate);
        RelayAnswer unknown;
        co_return answer ? std::move(*answer) : std::move(unknown);
    }
    void interrupt(const base::Endpoint & /*reader*/) override
    {
    }

    int polls = 0;
    // Of the polls for the configuration:
    std::optional<base::Endpoint> answeredBy; // the last finished one; nothing if it failed
    int lateAnswers = 0;

private:
    void noteEnd(const RelayPoll &poll, const std::optional<base::Endpoint> &reader, bool isLate = false)
    {
        if (poll.kind == ObjectKind::Tables) {
            answeredBy = reader;
            lateAnswers += reader && isLate ? 1 : 0;
        }
    }
    Awaitable<void> pause(base::Duration duration)
    {
        boost::asio::steady_timer timer(m_loop, duration);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    boost::asio::io_context &m_loop;
    RelayNetwork &m_network;
};

} // namespace carawaylatch::gateway::testing
