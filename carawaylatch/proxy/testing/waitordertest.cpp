// Tests of the order in which waiting requests are served, without requests or a loop.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/waitorder.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

namespace
{

using Ticket = WaitOrder::Ticket;

QueuedRequest requestOf(const std::string &customer, std::uint64_t work = 1, std::uint32_t urgency = 0)
{
    return {urgency, base::CustomerId(customer), work};
}

std::vector<Ticket> ticketsOf(const WaitOrder &order)
{
    std::vector<Ticket> out;
    WaitOrder::Key passed;
    while (const auto ticket = order.after(passed)) {
        out.push_back(*ticket);
        passed = order.key(*ticket);
    }
    return out;
}

WaitOrder orderByCustomer()
{
    WaitOrder order;
    order.setOrder(QueueOrder::ByCustomer);
    return order;
}

Ticket serveFirst(WaitOrder &order)
{
    const Ticket ticket = *order.after({});
    order.leave(ticket, QueueExit::Served);
    return ticket;
}

// Start-time fair queueing within each urgency, with all tags computed anew for every question.
class Model
{
public:
    void join(Ticket ticket, const QueuedRequest &request)
    {
        m_waiting[ticket] = {request, m_virtualTime[request.urgency]};
    }
    void leave(Ticket ticket, QueueExit exit)
    {
        const QueuedRequest request = m_waiting.at(ticket).request;
        const std::uint64_t start = tags().at(ticket);
        std::uint64_t &virtualTime = m_virtualTime[request.urgency];
        auto &finish = m_finish[request.urgency];
        if (exit == QueueExit::Served) {
            virtualTime = std::max(virtualTime, start);
            finish[request.customer] = start + request.work;
        }
        m_waiting.erase(ticket);
        drop(request.urgency);
    }
    [[nodiscard]] std::vector<Ticket> order() const
    {
        std::vector<std::tuple<std::uint32_t, std::uint64_t, Ticket>> keys;
        for (const auto &[ticket, start] : tags()) {
            keys.emplace_back(m_waiting.at(ticket).request.urgency, start, ticket);
        }
        std::sort(keys.begin(), keys.end());
        std::vector<Ticket> out;
        std::transform(keys.begin(), keys.end(), std::back_inserter(out), [](const auto &it) {
            return std::get<2>(it);
        });
        return out;
    }

private:
    struct Waiting
    {
        QueuedRequest request;
        std::uint64_t joinedAt = 0;
    };

    [[nodiscard]] std::map<Ticket, std::uint64_t> tags() const
    {
        auto finish = m_finish;
        std::map<Ticket, std::uint64_t> out;
        for (const auto &[ticket, it] : m_waiting) {
            std::uint64_t &last = finish[it.request.urgency][it.request.customer];
            out[ticket] = std::max(it.joinedAt, last);
            last = out[ticket] + it.request.work;
        }
        return out;
    }
    // Drops idle customers behind the virtual time, and of the others the least ahead beyond one for each waiting request.
    void drop(std::uint32_t urgency)
    {
        std::set<base::CustomerId> busy;
        std::size_t waiting = 0;
        for (const auto &[ticket, it] : m_waiting) {
            if (it.request.urgency == urgency) {
                busy.insert(it.request.customer);
                ++waiting;
            }
        }
        std::set<std::pair<std::uint64_t, base::CustomerId>> idle;
        for (const auto &[customer, finish] : m_finish[urgency]) {
            if (!busy.contains(customer)) {
                idle.emplace(finish, customer);
            }
        }
        while (!idle.empty() && (idle.begin()->first <= m_virtualTime[urgency] || idle.size() > waiting)) {
            m_finish[urgency].erase(idle.begin()->second);
            idle.erase(idle.begin());
        }
        if (waiting == 0) {
            m_virtualTime[urgency] = 0;
        }
    }

    std::map<Ticket, Waiting> m_waiting;
    std::map<std::uint32_t, std::uint64_t> m_virtualTime;
    std::map<std::uint32_t, std::map<base::CustomerId, std::uint64_t>> m_finish;
};

// What one customer got of a pool in a replay.
struct Outcome
{
    int sent = 0;
    int served = 0;
    int longestWait = 0; // milliseconds, of those served
};

} // namespace

class WaitOrderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WaitOrderTest);
    CPPUNIT_TEST(testGeneratedSequencesByArrival);
    CPPUNIT_TEST(testGeneratedSequencesByCustomer);
    CPPUNIT_TEST(testSevenTimesTheUsualRate);
    CPPUNIT_TEST(testTenCustomersShareOneSlot);
    CPPUNIT_TEST(testLargeBesideSmall);
    CPPUNIT_TEST(testUrgentFirst);
    CPPUNIT_TEST(testRequestsThatLeaveAreNotCharged);
    CPPUNIT_TEST(testRequestsServedBeforeEarlierOnesAreCharged);
    CPPUNIT_TEST(testChargeStaysAfterLaterRequestLeaves);
    CPPUNIT_TEST(testAhead);
    CPPUNIT_TEST(testOrderChangesWhileRequestsWait);
    CPPUNIT_TEST(testStateIsBounded);
    CPPUNIT_TEST_SUITE_END();

    // A pool of ten slots and 100 ms for each request; A sends 350 requests a second, B 40, of equal work, for two
    // seconds. Requests leave after 360 ms in the queue.
    static std::map<std::string, Outcome> playSevenTimes(QueueOrder kind);

public:
    // Guards against any change of the order where customers do not share capacity.
    void testGeneratedSequencesByArrival()
    {
        base::Random random(carawaylatch::testing::seed());
        WaitOrder order;
        std::set<std::pair<std::uint32_t, Ticket>> model;
        for (int i = 0; i < 20'000; ++i) {
            if (model.empty() || random.below(5) < 3) {
                const auto urgency = static_cast<std::uint32_t>(random.below(20));
                std::size_t ahead = 0;
                for (const auto &[other, ticket] : model) {
                    ahead += other <= urgency ? 1 : 0;
                }
                const QueuedRequest request = requestOf("c" + std::to_string(random.below(4)), random.below(9000), urgency);
                CPPUNIT_ASSERT_EQUAL(ahead, order.ahead(request));
                model.emplace(urgency, order.join(request));
            } else {
                const auto it = random.below(2) == 0 ? model.begin() : std::next(model.begin(), static_cast<int>(random.below(model.size())));
                order.leave(it->second, random.below(2) == 0 ? QueueExit::Served : QueueExit::Left);
                model.erase(it);
            }
            if (i % 50 == 0 || model.size() < 10) {
                std::vector<Ticket> expected;
                std::transform(model.begin(), model.end(), std::back_inserter(expected), [](const auto &it) {
                    return it.second;
                });
                CPPUNIT_ASSERT(expected == ticketsOf(order));
            }
            while (model.size() > 300) {
                order.leave(model.begin()->second, QueueExit::Served);
                model.erase(model.begin());
            }
        }
    }

    void testGeneratedSequencesByCustomer()
    {
        base::Random random(carawaylatch::testing::seed());
        WaitOrder order = orderByCustomer();
        Model model;
        std::map<Ticket, base::CustomerId> customers;
        for (int i = 0; i < 6000; ++i) {
            const bool isFilling = (i / 100) % 2 == 0; // the queue becomes empty now and then
            if (customers.empty() || random.below(10) < (isFilling ? 7 : 3)) {
                const std::string customer = random.below(6) == 0 ? "" : "c" + std::to_string(random.below(5));
                const QueuedRequest request =
                    requestOf(customer, 1 + random.below(random.below(4) == 0 ? 55'000 : 900), static_cast<std::uint32_t>(random.below(3)));
                const std::size_t ahead = order.ahead(request);
                const Ticket ticket = order.join(request);
                model.join(ticket, request);
                customers[ticket] = request.customer;
                const auto tickets = ticketsOf(order);
                CPPUNIT_ASSERT_EQUAL(ahead, static_cast<std::size_t>(std::find(tickets.begin(), tickets.end(), ticket) - tickets.begin()));
            } else {
                const auto tickets = ticketsOf(order);
                const bool isLeaving = random.below(3) == 0;
                // Sometimes the first is passed over, as it is bound to some software; never by one of its own customer.
                const auto other = std::find_if(tickets.begin(), tickets.end(), [&](Ticket it) {
                    return customers[it] != customers[tickets.front()];
                });
                Ticket ticket = random.below(8) == 0 && other != tickets.end() ? *other : tickets.front();
                if (isLeaving) {
                    ticket = tickets[random.below(tickets.size())];
                }
                order.leave(ticket, isLeaving ? QueueExit::Left : QueueExit::Served);
                model.leave(ticket, isLeaving ? QueueExit::Left : QueueExit::Served);
                customers.erase(ticket);
            }
            CPPUNIT_ASSERT_MESSAGE("step " + std::to_string(i), model.order() == ticketsOf(order));
        }
    }

    void testSevenTimesTheUsualRate()
    {
        const auto before = playSevenTimes(QueueOrder::ByArrival).at("b");
        const auto shared = playSevenTimes(QueueOrder::ByCustomer);
        const Outcome &now = shared.at("b");
        std::cout << " b: " << before.served << " of " << before.sent << " by arrival, " << now.served << " by customer, longest wait " << now.longestWait
                  << " ms";
        CPPUNIT_ASSERT_EQUAL(now.sent, now.served);
        CPPUNIT_ASSERT_MESSAGE("the time of the requests in service", now.longestWait <= 100);
        CPPUNIT_ASSERT_MESSAGE("the rest is A's", shared.at("a").served >= 2 * 100 - now.sent - 10);
        CPPUNIT_ASSERT_MESSAGE("it was not so before", before.served < before.sent / 2);
    }

    void testTenCustomersShareOneSlot()
    {
        base::Random random(carawaylatch::testing::seed());
        WaitOrder order = orderByCustomer();
        std::map<Ticket, QueuedRequest> waiting;
        std::map<base::CustomerId, double> work;
        const auto send = [&](int customer) {
            const QueuedRequest request = requestOf("c" + std::to_string(customer), 200 + random.below(1000) * static_cast<std::uint64_t>(customer + 1));
            waiting[order.join(request)] = request;
        };
        for (int i = 0; i < 50; ++i) {
            send(i % 10);
        }
        double total = 0;
        for (int i = 0; i < 5000; ++i) {
            const auto it = waiting.find(serveFirst(order));
            work[it->second.customer] += static_cast<double>(it->second.work);
            total += static_cast<double>(it->second.work);
            const int customer = it->second.customer.value()[1] - '0';
            waiting.erase(it);
            send(customer);
        }
        for (const auto &[customer, done] : work) {
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(customer.value(), total / 10, done, total / 100);
        }
    }

    void testLargeBesideSmall()
    {
        WaitOrder order = orderByCustomer();
        std::map<Ticket, QueuedRequest> waiting;
        const auto send = [&](const QueuedRequest &request) {
            waiting[order.join(request)] = request;
        };
        for (int i = 0; i < 5; ++i) {
            send(requestOf("large", 55'000));
            send(requestOf("small", 860));
        }
        std::map<std::string, std::int64_t> work;
        for (int i = 0; i < 2000; ++i) {
            const auto it = waiting.find(serveFirst(order));
            const QueuedRequest request = it->second;
            work[request.customer.value()] += static_cast<std::int64_t>(request.work);
            waiting.erase(it);
            send(request);
            CPPUNIT_ASSERT_MESSAGE("never further apart than one request of each", std::abs(work["large"] - work["small"]) <= 55'000 + 860);
        }
    }

    // A continued stream has a smaller rank than new requests of its urgency.
    void testUrgentFirst()
    {
        WaitOrder order = orderByCustomer();
        for (int i = 0; i < 20; ++i) {
            order.join(requestOf("a", 1, 3));
        }
        const Ticket other = order.join(requestOf("b", 1, 3));
        for (int i = 0; i < 20; ++i) {
            order.join(requestOf("a", 55'000, 2));
        }
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT(serveFirst(order) > other);
        }
        CPPUNIT_ASSERT_EQUAL(Ticket{1}, serveFirst(order));
        CPPUNIT_ASSERT_EQUAL(other, serveFirst(order));
    }

    // A's requests time out in the queue; a customer that is charged for them would be behind all others afterwards.
    void testRequestsThatLeaveAreNotCharged()
    {
        WaitOrder order = orderByCustomer();
        std::vector<Ticket> sent(10);
        for (Ticket &ticket : sent) {
            ticket = order.join(requestOf("a", 100));
        }
        const Ticket first = order.join(requestOf("b", 100));
        const Ticket second = order.join(requestOf("b", 100));
        for (int i = 0; i < 9; ++i) {
            order.leave(sent[static_cast<std::size_t>(i)], QueueExit::Left);
        }
        CPPUNIT_ASSERT((ticketsOf(order) == std::vector<Ticket>{sent[9], first, second}));
    }

    // A's first request is bound to some software and is passed over. If the requests of A that are served meanwhile
    // were not charged, A's next one would always be before those of B, which would get nothing.
    void testRequestsServedBeforeEarlierOnesAreCharged()
    {
        WaitOrder order = orderByCustomer();
        order.join(requestOf("a", 10));
        const WaitOrder::Key passed = order.key(1);
        for (int i = 0; i < 10; ++i) {
            order.join(requestOf("b", 100));
        }
        Ticket next = order.join(requestOf("a", 100));
        int servedA = 0;
        for (int i = 0; i < 10; ++i) {
            const Ticket ticket = *order.after(passed);
            order.leave(ticket, QueueExit::Served);
            if (ticket == next) {
                ++servedA;
                next = order.join(requestOf("a", 100));
            }
        }
        CPPUNIT_ASSERT_EQUAL(5, servedA);
    }

    // The same where a request that joined after the one that was served leaves.
    void testChargeStaysAfterLaterRequestLeaves()
    {
        WaitOrder order = orderByCustomer();
        order.join(requestOf("a", 10));
        const Ticket served = order.join(requestOf("a", 100));
        const Ticket left = order.join(requestOf("a", 100));
        const Ticket last = order.join(requestOf("a", 100));
        order.leave(served, QueueExit::Served);
        order.leave(left, QueueExit::Left);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{110}, order.key(last).start);
        order.leave(last, QueueExit::Left);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{110}, order.key(order.join(requestOf("a", 100))).start);
    }

    void testAhead()
    {
        WaitOrder order = orderByCustomer();
        for (int i = 0; i < 9; ++i) {
            order.join(requestOf("a", 860));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, order.ahead(requestOf("a", 860)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, order.ahead(requestOf("b", 860)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, order.ahead(requestOf("b", 860, 1)));
    }

    // Requests that wait keep their positions; those that join by arrival are behind them.
    void testOrderChangesWhileRequestsWait()
    {
        WaitOrder order;
        std::vector<Ticket> expected{order.join(requestOf("a", 100)), order.join(requestOf("a", 100))};
        order.setOrder(QueueOrder::ByCustomer);
        const Ticket a1 = order.join(requestOf("a", 100));
        const Ticket a2 = order.join(requestOf("a", 100));
        const Ticket b1 = order.join(requestOf("b", 100));
        order.setOrder(QueueOrder::ByArrival);
        const Ticket last = order.join(requestOf("b", 100));
        order.setOrder(QueueOrder::ByCustomer);
        const Ticket c1 = order.join(requestOf("c", 100));
        expected.insert(expected.end(), {a1, b1, a2, last, c1});
        CPPUNIT_ASSERT(expected == ticketsOf(order));
        for (const Ticket ticket : expected) {
            CPPUNIT_ASSERT_EQUAL(ticket, serveFirst(order));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, order.size());
    }

    void testStateIsBounded()
    {
        StartTags tags;
        Ticket ticket = 0;
        for (int i = 0; i < 1000; ++i) {
            const base::CustomerId customer("c" + std::to_string(i));
            tags.join(base::CustomerId("waits"), ++ticket, 1'000'000);
            tags.join(customer, ++ticket, 55'000);
            tags.onServed(customer, ticket);
            if (i >= 3) {
                tags.onLeft(base::CustomerId("waits"), ticket - 7);
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(tags.customers()), tags.customers() <= std::size_t{8});
        }
        for (const Ticket left : {ticket - 5, ticket - 3, ticket - 1}) {
            tags.onLeft(base::CustomerId("waits"), left);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tags.customers());
    }
};

std::map<std::string, Outcome> WaitOrderTest::playSevenTimes(QueueOrder kind)
{
    constexpr int MaxWait = 360;
    constexpr int ServiceTime = 100;
    struct Sent
    {
        std::string customer;
        int at = 0;
    };
    WaitOrder order;
    order.setOrder(kind);
    std::map<std::string, Outcome> outcomes;
    std::map<Ticket, Sent> waiting;
    std::array<int, 10> freeAt{}; // of each slot
    for (std::size_t i = 0; i < freeAt.size(); ++i) {
        freeAt[i] = static_cast<int>(i) * ServiceTime / 10;
    }
    for (int ms = 0; ms < 2000 + MaxWait; ++ms) {
        const auto send = [&](const std::string &customer) {
            ++outcomes[customer].sent;
            waiting[order.join(requestOf(customer, 860))] = {customer, ms};
        };
        const bool isSending = ms < 2000;
        for (int i = 0; isSending && i < (ms + 1) * 350 / 1000 - ms * 350 / 1000; ++i) {
            send("a");
        }
        if (isSending && ms % 25 == 7) {
            send("b");
        }
        while (!waiting.empty() && ms - waiting.begin()->second.at >= MaxWait) {
            order.leave(waiting.begin()->first, QueueExit::Left);
            waiting.erase(waiting.begin());
        }
        for (int &slot : freeAt) {
            if (slot <= ms && !waiting.empty()) {
                const auto it = waiting.find(serveFirst(order));
                Outcome &outcome = outcomes[it->second.customer];
                ++outcome.served;
                outcome.longestWait = std::max(outcome.longestWait, ms - it->second.at);
                waiting.erase(it);
                slot = ms + ServiceTime;
            }
        }
    }
    return outcomes;
}
CPPUNIT_TEST_SUITE_REGISTRATION(WaitOrderTest);

} // namespace carawaylatch::proxy::testing
