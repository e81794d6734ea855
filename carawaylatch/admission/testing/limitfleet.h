// A fleet of CustomerLimits in one process with virtual time, for tests. Messages take a
// random time, may be lost and overtake each other; routers can be killed, frozen and cut
// off. All that is granted is recorded with the span in which it may be used.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "carawaylatch/admission/customerlimits.h"
#include "carawaylatch/base/hash.h"

namespace carawaylatch::admission::testing
{

struct FleetOptions
{
    std::size_t routers = 35;
    std::uint64_t seed = 1;
    base::Duration leastDelay{};
    base::Duration longestDelay{}; // of a message in one direction
    double loss = 0; // of messages in either direction
    std::vector<NamedLimit> limits;
    LimitTolerance tolerance{.slack = 110'000, .maxQueueWait = base::seconds{1}};
};

struct FleetRequest
{
    std::size_t router = 0;
    base::CustomerId customer;
    std::uint32_t cost = 0;
    int retries = 0; // how often the caller returns at the time that a refusal names
};

// A request that was granted, and when it may be used.
struct UsedTokens
{
    base::TimePoint earliest;
    base::TimePoint latest;
    double tokens = 0;
};

struct FleetUse
{
    std::vector<UsedTokens> granted;
    std::uint64_t asked = 0;
    std::uint64_t pending = 0;
    std::uint64_t overLimit = 0;
    std::uint64_t tooLarge = 0;
    std::uint64_t unavailable = 0;

    // Tokens decided on from `from` to `to`.
    [[nodiscard]] double tokens(base::TimePoint from, base::TimePoint to) const
    {
        double sum = 0;
        for (const UsedTokens &it : granted) {
            sum += it.earliest >= from && it.earliest < to ? it.tokens : 0;
        }
        return sum;
    }
};

class LimitFleet
{
public:
    struct Router
    {
        RouterKey key = 0;
        std::uint64_t process = 0; // zero: not running
        std::unique_ptr<CustomerLimits> limits;
        int side = 0; // of a divided network
        bool isFrozen = false;
        std::vector<std::function<void()>> whenThawed;
        std::map<std::uint64_t, FleetRequest> pending; // by ticket
    };

    explicit LimitFleet(FleetOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
        for (std::size_t n = 0; n < m_options.routers; ++n) {
            addRouter();
        }
        for (std::size_t n = 0; n < m_routers.size(); ++n) {
            listRouters(n);
        }
    }

    [[nodiscard]] base::TimePoint now() const
    {
        return m_now;
    }
    [[nodiscard]] base::Random &random()
    {
        return m_random;
    }
    [[nodiscard]] std::vector<Router> &routers()
    {
        return m_routers;
    }
    [[nodiscard]] FleetUse &use(const base::CustomerId &customer)
    {
        return m_use[customer];
    }
    void at(base::TimePoint time, std::function<void()> event)
    {
        m_events.emplace(time, std::move(event));
    }
    void run(base::Duration duration)
    {
        const base::TimePoint end = m_now + duration;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto node = m_events.extract(m_events.begin());
            m_now = std::max(m_now, node.key());
            node.mapped()();
        }
        m_now = end;
    }

    // Not listed before listRouters().
    std::size_t addRouter()
    {
        m_routers.push_back({.key = base::hash64("router" + std::to_string(m_routers.size())), .limits = nullptr, .whenThawed = {}, .pending = {}});
        start(m_routers.size() - 1);
        return m_routers.size() - 1;
    }
    void start(std::size_t n)
    {
        Router &router = m_routers[n];
        router.process = ++m_processes;
        router.isFrozen = false;
        router.limits = std::make_unique<CustomerLimits>(router.key, router.process, m_random.next(), m_now);
        router.limits->configure(m_options.limits, m_options.tolerance, m_now);
        tick(n, router.process);
    }
    // The router learns of all routers that there are now.
    void listRouters(std::size_t n)
    {
        std::vector<RouterKey> keys;
        for (const Router &it : m_routers) {
            keys.push_back(it.key);
        }
        if (m_routers[n].limits) {
            m_routers[n].limits->setRouters(keys, static_cast<std::uint32_t>(keys.size()), m_now);
        }
    }
    void kill(std::size_t n)
    {
        m_routers[n].process = 0;
        m_routers[n].limits.reset();
        m_routers[n].whenThawed.clear();
        m_routers[n].pending.clear();
    }
    void freeze(std::size_t n, base::Duration duration)
    {
        m_routers[n].isFrozen = true;
        at(m_now + duration, [this, n] {
            m_routers[n].isFrozen = false;
            const auto events = std::exchange(m_routers[n].whenThawed, {});
            for (const auto &event : events) {
                event();
            }
        });
    }
    void setLimits(const std::vector<NamedLimit> &limits)
    {
        m_options.limits = limits;
    }
    void configure(std::size_t n)
    {
        onRouter(n, m_routers[n].process, [this, n] {
            m_routers[n].limits->configure(m_options.limits, m_options.tolerance, m_now);
        });
    }
    void request(const FleetRequest &request)
    {
        ++m_use[request.customer].asked;
        onRouter(request.router, m_routers[request.router].process, [this, request] {
            decided(request, m_routers[request.router].limits->request(request.customer, request.cost, m_now));
        });
    }
    // The router with the greatest part of a group's limits.
    [[nodiscard]] std::size_t coordinator(std::uint32_t group) const
    {
        const auto held = [&](const Router &router) {
            return router.limits ? router.limits->heldShare(group, m_now) : 0.0;
        };
        const auto it = std::max_element(m_routers.begin(), m_routers.end(), [&](const Router &a, const Router &b) {
            return held(a) < held(b);
        });
        return static_cast<std::size_t>(it - m_routers.begin());
    }

private:
    // Runs an event of a process, when it is not frozen, and then sends its messages.
    void onRouter(std::size_t n, std::uint64_t process, std::function<void()> event)
    {
        Router &router = m_routers[n];
        if (process == 0 || router.process != process) {
            return;
        }
        if (router.isFrozen) {
            router.whenThawed.emplace_back([this, n, process, event = std::move(event)] {
                onRouter(n, process, event);
            });
            return;
        }
        event();
        for (const LimitMessage &message : router.limits->takeMessages(m_now)) {
            send(n, message);
        }
        for (const TicketDecision &it : router.limits->takeDecisions(m_now)) {
            const auto pending = router.pending.extract(it.ticket);
            decided(pending.mapped(), it.decision);
        }
    }
    void tick(std::size_t n, std::uint64_t process)
    {
        if (m_routers[n].process == process) {
            onRouter(n, process, [] {});
            at(m_now + CustomerLimits::TickInterval, [this, n, process] {
                tick(n, process);
            });
        }
    }
    void decided(const FleetRequest &request, const LimitDecision &decision)
    {
        FleetUse &use = m_use[request.customer];
        switch (decision.verdict) {
        case LimitVerdict::Granted:
            use.granted.push_back({.earliest = m_now, .latest = decision.usableUntil + m_options.tolerance.maxQueueWait, .tokens = double(request.cost)});
            return;
        case LimitVerdict::Pending:
            ++use.pending;
            m_routers[request.router].pending[decision.ticket] = request;
            return;
        case LimitVerdict::TooLarge:
            ++use.tooLarge;
            return;
        case LimitVerdict::OverLimit:
            ++use.overLimit;
            break;
        case LimitVerdict::Unavailable:
            ++use.unavailable;
            break;
        }
        if (request.retries > 0) {
            FleetRequest again = request;
            --again.retries;
            at(m_now + decision.retryAfter, [this, again] {
                this->request(again);
            });
        }
    }
    [[nodiscard]] base::Duration delay()
    {
        return m_options.leastDelay + base::Duration{m_random.below((m_options.longestDelay - m_options.leastDelay).count() + 1)};
    }
    [[nodiscard]] bool isLost(std::size_t from, std::size_t to)
    {
        return m_routers[from].side != m_routers[to].side || m_random.uniformReal() < m_options.loss;
    }
    void send(std::size_t from, const LimitMessage &message)
    {
        const std::uint64_t process = m_routers[from].process;
        const auto it = std::find_if(m_routers.begin(), m_routers.end(), [&](const Router &router) {
            return router.key == message.to;
        });
        const auto to = static_cast<std::size_t>(it - m_routers.begin());
        if (it == m_routers.end() || it->process == 0) {
            at(m_now + delay(), [this, from, process, id = message.id] {
                fail(from, process, id);
            });
        } else if (!isLost(from, to)) {
            at(m_now + delay(), [this, from, process, to, message] {
                deliver(from, process, to, message);
            });
        }
    }
    void fail(std::size_t from, std::uint64_t process, std::uint64_t id)
    {
        onRouter(from, process, [this, from, id] {
            m_routers[from].limits->onFailure(id, m_now);
        });
    }
    void deliver(std::size_t from, std::uint64_t process, std::size_t to, const LimitMessage &message)
    {
        onRouter(to, m_routers[to].process, [this, from, process, to, message] {
            CustomerLimits &limits = *m_routers[to].limits;
            if (const auto *poll = std::get_if<SharePoll>(&message.content)) {
                respond(from, process, to, [answer = limits.onPoll(*poll, m_now)](CustomerLimits &it, base::TimePoint now) {
                    it.onAnswer(answer, now);
                });
            } else {
                const TokenRequest &request = std::get<TokenRequest>(message.content);
                respond(from, process, to, [id = message.id, grant = limits.onTokenRequest(request, m_now)](CustomerLimits &it, base::TimePoint now) {
                    it.onGrant(id, grant, now);
                });
            }
        });
    }
    void respond(std::size_t from, std::uint64_t process, std::size_t to, std::function<void(CustomerLimits &, base::TimePoint)> apply)
    {
        if (!isLost(from, to)) {
            at(m_now + delay(), [this, from, process, apply = std::move(apply)] {
                onRouter(from, process, [this, from, apply] {
                    apply(*m_routers[from].limits, m_now);
                });
            });
        }
    }

    FleetOptions m_options;
    base::Random m_random;
    base::TimePoint m_now = base::TimePoint{base::hours{1}};
    std::multimap<base::TimePoint, std::function<void()>> m_events;
    std::vector<Router> m_routers;
    std::map<base::CustomerId, FleetUse> m_use;
    std::uint64_t m_processes = 0;
};

// The most that may be used in any window, each request at the worst moment of its span, as a part of what
// `allowed` gives for a window that starts at a time.
template <typename Allowed>
[[nodiscard]] double worstWindow(const FleetUse &use, base::Duration window, Allowed &&allowed)
{
    std::multimap<base::TimePoint, double> changes; // of the sum, by the window's start
    for (const UsedTokens &it : use.granted) {
        changes.emplace(it.earliest - window, it.tokens);
        changes.emplace(it.latest + base::Duration{1}, -it.tokens);
    }
    double sum = 0;
    double worst = 0;
    for (auto it = changes.begin(); it != changes.end();) {
        const base::TimePoint start = it->first;
        for (; it != changes.end() && it->first == start; ++it) {
            sum += it->second;
        }
        worst = std::max(worst, sum / allowed(start));
    }
    return worst;
}

[[nodiscard]] inline double allowedInWindow(const CustomerLimit &limit, const LimitTolerance &tolerance)
{
    return (limit.perSecond * base::toSeconds(tolerance.window) + limit.burst) * (1 + tolerance.overshoot) + tolerance.slack;
}

} // namespace carawaylatch::admission::testing
