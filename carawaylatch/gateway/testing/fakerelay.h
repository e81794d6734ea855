// Polls between the control planes of one test, with faults of each router.
#pragma once

#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <utility> // boost/asio/awaitable.hpp 1.74 uses std::exchange without it
#include <vector>

#include <boost/asio/co_spawn.hpp>
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
    Silent, // polls and answers are on their way until this ends, as over a connection whose packets are sent again
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
        const auto call = std::make_shared<Call>(Call{reader, poll.kind, boost::asio::steady_timer(m_loop), {}, false, false});
        const auto endsAt = boost::asio::steady_timer::clock_type::now() + timeout;
        std::erase_if(m_calls, [](const std::weak_ptr<Call> &it) {
            return it.expired();
        });
        m_calls.push_back(call);
        bool isTaken = false;
        while (!call->isAnswered || m_network.faults[reader] == RelayFault::Silent) {
            const bool isSilent = m_network.faults[reader] == RelayFault::Silent;
            const bool isOver = isSilent && boost::asio::steady_timer::clock_type::now() >= endsAt;
            if (!isSilent && !std::exchange(isTaken, true)) {
                boost::asio::co_spawn(m_loop, source->second->answer(poll), [call](const std::exception_ptr &, std::unique_ptr<RelayAnswer> answer) {
                    call->answer = std::move(answer);
                    call->isAnswered = true;
                    call->ended.cancel();
                });
            }
            if (isOver || call->isInterrupted) {
                noteEnd(poll, std::nullopt);
                co_return base::fail(base::ErrorKind::Unavailable, isOver ? "no answer" : "interrupted");
            }
            call->ended.expires_after(FaultCheck);
            boost::system::error_code ignored;
            co_await call->ended.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        const std::unique_ptr<RelayAnswer> answer = std::move(call->answer);
        const bool isLate = m_network.faults[reader] == RelayFault::Late;
        if (isLate) {
            co_await pause(m_network.lateDelay);
        }
        noteEnd(poll, answer && answer->isKnown ? std::optional(reader) : std::nullopt, isLate);
        RelayAnswer unknown;
        co_return answer ? std::move(*answer) : std::move(unknown);
    }
    void interrupt(const base::Endpoint &reader) override
    {
        interruptIf([&reader](const Call &call) {
            return call.reader == reader;
        });
    }
    void interrupt(ObjectKind kind) override
    {
        interruptIf([kind](const Call &call) {
            return call.kind == kind;
        });
    }

    int polls = 0;
    // Of the polls for the configuration:
    std::optional<base::Endpoint> answeredBy; // the last finished one; nothing if it failed
    int lateAnswers = 0;

private:
    // A poll that its reader holds.
    struct Call
    {
        base::Endpoint reader;
        ObjectKind kind;
        boost::asio::steady_timer ended;
        std::unique_ptr<RelayAnswer> answer;
        bool isAnswered = false;
        bool isInterrupted = false;
    };
    template <typename Condition>
    void interruptIf(Condition condition)
    {
        for (const auto &it : m_calls) {
            if (const auto call = it.lock(); call && condition(*call)) {
                call->isInterrupted = true;
                call->ended.cancel();
            }
        }
    }
    static constexpr base::Duration FaultCheck = base::milliseconds{20}; // of a reader that falls silent while it holds a poll
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
    std::vector<std::weak_ptr<Call>> m_calls; // owned by the coroutines of the polls, which end with the event loop
};

} // namespace carawaylatch::gateway::testing
