// Tests the lease: exploration of all interleavings with clocks of different rates, and
// every fault in every phase in virtual time.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/fleet/lease.h"
#include "carawaylatch/store/faultystore.h"
#include "carawaylatch/store/memorystore.h"
#include "testing/explorer.h"

namespace carawaylatch::fleet::testing
{

using base::ErrorKind;
using store::StoreFault;

namespace
{

constexpr int Length = 12; // lease duration in the explored model, in seconds

struct LeaseLimits
{
    int rates[2]; // seconds by which each router's clock advances in one tick
    int ticks = 0;
    int faults = 0;
    int restarts = 0;
};

struct PendingCall
{
    LeaseAction action;
    std::optional<base::Result<store::Version>> written; // result of a write, not delivered to the router yet
};

struct LeaseRouter
{
    Lease lease;
    std::uint64_t incarnation = 1;
    base::TimePoint now{base::hours{1}};
    std::optional<PendingCall> call;
};

// Two routers and one lease object. Calls take effect and are answered at any time.
class LeaseModel
{
public:
    explicit LeaseModel(LeaseLimits limits)
        : m_remaining(limits)
    {
        for (int i = 0; i < 2; ++i) {
            m_routers.push_back(LeaseRouter{makeLease(i, 1), 1, base::TimePoint{base::hours{1}}, std::nullopt});
        }
    }

    using Transitions = std::vector<carawaylatch::testing::Transition<LeaseModel>>;

    Transitions transitions() const
    {
        Transitions transitions;
        if (m_remaining.ticks > 0) {
            LeaseModel next = *this;
            --next.m_remaining.ticks;
            for (std::size_t i = 0; i < 2; ++i) {
                next.m_routers[i].now += base::seconds{m_remaining.rates[i]};
            }
            add(transitions, "tick", std::move(next));
        }
        for (std::size_t i = 0; i < 2; ++i) {
            addRouterSteps(transitions, i);
        }
        for (std::size_t i = 0; i < m_delayed.size(); ++i) {
            LeaseModel next = *this;
            (void)next.write(m_delayed[i]);
            next.m_delayed.erase(next.m_delayed.begin() + static_cast<std::ptrdiff_t>(i));
            add(transitions, "a delayed write arrives", std::move(next));
        }
        return transitions;
    }

    std::string violation() const
    {
        int holders = 0;
        for (const LeaseRouter &it : m_routers) {
            const auto fence = it.lease.fence(it.now);
            holders += fence ? 1 : 0;
            if (fence && fence->value < m_highestFence) {
                return "a holder uses an outdated fencing token";
            }
        }
        return holders > 1 ? "two routers hold the lease" : "";
    }

    std::string key() const
    {
        std::ostringstream out;
        for (const LeaseRouter &it : m_routers) {
            const LeaseState &state = it.lease.state();
            const auto since = [&it](base::TimePoint time) {
                return std::max<std::int64_t>(-2L * Length, std::chrono::duration_cast<base::seconds>(time - it.now).count());
            };
            out << it.incarnation << ',' << static_cast<int>(state.phase) << state.isCallPending << state.hasNoHolder << ','
                << (state.observedVersion ? static_cast<std::int64_t>(state.observedVersion->value) : -1) << ',' << since(state.observedAt) << ','
                << since(state.nextCall) << ',' << state.writeId << ',' << since(state.sentAt) << ',' << state.expected << ',' << state.heldVersion << ','
                << since(state.validUntil) << '|';
            if (it.call) {
                out << static_cast<int>(it.call->action.kind) << it.call->action.value << ',' << it.call->action.expected << ',';
                if (it.call->written) {
                    out << (*it.call->written ? it.call->written->value().value : 0) << 'w';
                }
            }
        }
        out << m_remaining.ticks << ',' << m_remaining.faults << ',' << m_remaining.restarts << ',' << m_object.version << m_object.value << ','
            << m_highestFence;
        for (const LeaseAction &it : m_delayed) {
            out << '|' << it.value << ',' << it.expected;
        }
        return out.str();
    }

private:
    static Lease makeLease(std::size_t router, std::uint64_t incarnation)
    {
        return Lease(base::RouterId(std::to_string(router)), base::Incarnation{incarnation}, LeaseSettings{base::seconds{Length}, base::seconds{1}});
    }

    void add(Transitions &transitions, std::string label, LeaseModel next) const
    {
        for (const LeaseRouter &it : next.m_routers) {
            next.m_highestFence = std::max(next.m_highestFence, it.lease.fence(it.now).value_or(base::FencingToken{}).value);
        }
        transitions.push_back({std::move(label), std::move(next)});
    }

    base::Result<store::Version> write(const LeaseAction &action)
    {
        if (m_object.version != action.expected) {
            return base::fail(ErrorKind::Conflict, "");
        }
        m_object.value = action.value;
        ++m_object.version.value;
        return m_object.version;
    }

    void addRouterSteps(Transitions &transitions, std::size_t index) const
    {
        const std::string name = "router " + std::to_string(index);
        const LeaseRouter &router = m_routers[index];
        if (m_remaining.restarts > 0) {
            LeaseModel next = *this;
            --next.m_remaining.restarts;
            if (router.call && router.call->action.kind == LeaseActionKind::Write && !router.call->written) {
                next.m_delayed.push_back(router.call->action);
            }
            next.m_routers[index] = LeaseRouter{makeLease(index, router.incarnation + 1), router.incarnation + 1, router.now, std::nullopt};
            add(transitions, name + " restarts", std::move(next));
        }
        if (!router.call) {
            LeaseModel next = *this;
            const LeaseAction action = next.m_routers[index].lease.poll(router.now);
            if (action.kind != LeaseActionKind::None) {
                next.m_routers[index].call = PendingCall{action, std::nullopt};
                add(transitions, name + (action.kind == LeaseActionKind::Read ? " reads" : " writes"), std::move(next));
            }
        } else if (router.call->written) {
            LeaseModel next = *this;
            LeaseRouter &target = next.m_routers[index];
            const auto written = *target.call->written;
            target.call.reset();
            target.lease.onWritten(target.now, written);
            add(transitions, name + " gets its answer", std::move(next));
        } else {
            addEffects(transitions, index);
        }
    }

    void addEffects(Transitions &transitions, std::size_t index) const
    {
        const std::string name = "call of router " + std::to_string(index);
        const bool isRead = m_routers[index].call->action.kind == LeaseActionKind::Read;
        LeaseModel next = *this;
        PendingCall &call = *next.m_routers[index].call;
        if (isRead) {
            next.m_routers[index].call.reset();
            next.m_routers[index].lease.onRead(m_routers[index].now,
                                               m_object.version.value == 0 ? base::Result<store::Object>(base::fail(ErrorKind::NotFound, "")) : m_object);
        } else {
            call.written = next.write(call.action);
        }
        add(transitions, name + " takes effect", std::move(next));
        if (m_remaining.faults == 0) {
            return;
        }
        if (isRead) {
            LeaseModel failed = *this;
            --failed.m_remaining.faults;
            failed.m_routers[index].call.reset();
            failed.m_routers[index].lease.onRead(m_routers[index].now, base::fail(ErrorKind::Unavailable, ""));
            add(transitions, name + ": unreachable", std::move(failed));
            return;
        }
        for (const StoreFault fault : {StoreFault::Down, StoreFault::ResponseLost, StoreFault::RequestLost}) {
            LeaseModel failed = *this;
            --failed.m_remaining.faults;
            PendingCall &failedCall = *failed.m_routers[index].call;
            if (fault == StoreFault::ResponseLost) {
                (void)failed.write(failedCall.action);
            } else if (fault == StoreFault::RequestLost) {
                failed.m_delayed.push_back(failedCall.action); // may still take effect
            }
            failedCall.written = base::fail(fault == StoreFault::Down ? ErrorKind::Unavailable : ErrorKind::Unclear, "");
            add(transitions, name + ": fault " + std::to_string(static_cast<int>(fault)), std::move(failed));
        }
    }

    LeaseLimits m_remaining;
    std::vector<LeaseRouter> m_routers;
    store::Object m_object;
    std::vector<LeaseAction> m_delayed;
    std::uint64_t m_highestFence = 0;
};

enum class LeaseFault {
    None,
    ShortOutage,
    LongOutage, // longer than the lease duration; affects this router only
    AnswerLost,
    RequestLost,
    Pause, // longer than the lease duration
    Restart,
};
constexpr std::size_t LeaseFaultCount = static_cast<std::size_t>(LeaseFault::Restart) + 1;

// Who holds the lease two minutes after the start, for each fault in one phase. h: the
// router, without interruption; r: the router, after an interruption; o: the other one.
struct LeaseRow
{
    LeasePhase phase;
    std::string_view holders;
};
constexpr LeaseRow LeaseRows[] = {
    {LeasePhase::Observing, "hooooor"}, // the lease is free; the other router starts 200 ms later
    {LeasePhase::Acquiring, "hoohror"}, //
    {LeasePhase::Verifying, "hrorror"}, // the write took effect, so the other router has to wait
    {LeasePhase::Holding, "hhohhor"}, // after a restart both routers observe; the restarted one started earlier
    {LeasePhase::Renewing, "hhohhoo"}, // after a restart the other router has observed for longer
};
static_assert(std::size(LeaseRows) == LeasePhaseCount, "a phase has no row");

// A router with a lease and its own faulty connection to the store.
struct LeaseClient
{
    explicit LeaseClient(std::string_view name, store::ObjectStore &platform)
        : router(name)
        , store(platform)
        , lease(router, base::Incarnation{1}, LeaseSettings{})
    {
    }

    // Executes an action; false if there is none.
    bool perform(base::TimePoint now, const LeaseAction &action)
    {
        if (action.kind == LeaseActionKind::Read) {
            lease.onRead(now, store.read("lease"));
        } else if (action.kind == LeaseActionKind::Write) {
            lease.onWritten(now, store.write("lease", action.value, action.expected));
        }
        return action.kind != LeaseActionKind::None;
    }

    base::RouterId router;
    store::FaultyStore store;
    Lease lease;
};

} // namespace

class LeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseTest);
    CPPUNIT_TEST(testAllInterleavings);
    CPPUNIT_TEST(testEveryFaultInEveryPhase);
    CPPUNIT_TEST(testRestoredStore);
    CPPUNIT_TEST(testRejectsMalformedLease);
    CPPUNIT_TEST_SUITE_END();

public:
    void testAllInterleavings()
    {
        constexpr LeaseLimits Cases[] = {
            {{2, 3}, 4, 0, 0},
            {{4, 6}, 3, 1, 0},
            {{4, 4}, 3, 0, 1},
        };
        constexpr std::size_t MaxDepth = 100;
        for (const LeaseLimits &it : Cases) {
            const auto result = carawaylatch::testing::explore(LeaseModel(it), MaxDepth);
            std::cout << "clock rates " << it.rates[0] << ':' << it.rates[1] << ", " << it.ticks << " ticks, " << it.faults << " faults, " << it.restarts
                      << " restarts: " << result.states << " states, depth " << result.depth << (result.isComplete ? ", complete" : ", cut off") << '\n';
            CPPUNIT_ASSERT_EQUAL(std::string(), result.violation);
            CPPUNIT_ASSERT(result.isComplete);
        }
    }

    void testEveryFaultInEveryPhase()
    {
        for (const LeaseRow &row : LeaseRows) {
            std::string holders;
            for (std::size_t fault = 0; fault < LeaseFaultCount; ++fault) {
                holders += holderAfter(row.phase, static_cast<LeaseFault>(fault));
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE("phase " + std::to_string(static_cast<int>(row.phase)), std::string(row.holders), holders);
        }
    }

    // Whatever a store that has lost its latest writes holds, another router may hold the lease until its duration has passed.
    void testRestoredStore()
    {
        const LeaseSettings settings{base::seconds{3}, base::seconds{1}, true};
        const base::TimePoint start{base::hours{1}};
        const store::Object own{"lease", encodeLease({base::RouterId("a"), base::Incarnation{7}, 1}), store::Version{50}};
        const std::pair<std::string_view, base::Result<store::Object>> contents[] = {
            {"absent", base::fail(ErrorKind::NotFound, "no object")},
            {"released", store::Object{"lease", encodeReleasedLease(), store::Version{50}}},
            {"own", own},
            {"of an earlier incarnation", store::Object{"lease", encodeLease({base::RouterId("a"), base::Incarnation{6}, 9}), store::Version{50}}},
            {"of another router", store::Object{"lease", encodeLease({base::RouterId("b"), base::Incarnation{1}, 1}), store::Version{50}}}};
        for (const auto &[text, content] : contents) {
            const std::string name(text);
            Lease lease(base::RouterId("a"), base::Incarnation{7}, settings);
            CPPUNIT_ASSERT(lease.poll(start).kind == LeaseActionKind::Read);
            lease.onRead(start, base::fail(ErrorKind::NotFound, "no object"));
            CPPUNIT_ASSERT(lease.poll(start).kind == LeaseActionKind::Write);
            lease.onWritten(start, store::Version{40});
            CPPUNIT_ASSERT(lease.isHeld(start));
            lease.onStoreRestored(start);
            base::TimePoint now = start;
            for (; !lease.isHeld(now) && now < start + base::seconds{20}; now += base::milliseconds{100}) {
                const LeaseAction action = lease.poll(now);
                if (action.kind == LeaseActionKind::Read) {
                    lease.onRead(now, content);
                } else if (action.kind == LeaseActionKind::Write) {
                    CPPUNIT_ASSERT_MESSAGE(name, now >= start + 2 * settings.duration);
                    lease.onWritten(now, store::Version{60});
                }
            }
            CPPUNIT_ASSERT_MESSAGE(name, lease.isHeld(now));
        }
    }

    void testRejectsMalformedLease()
    {
        for (const char *bytes : {"", "r", "r 1", "r 1 x", " 1 1", "r 1 -1", "r 99999999999999999999 1"}) {
            CPPUNIT_ASSERT_MESSAGE(bytes, !decodeLease(bytes));
        }
        const LeaseHolder holder{base::RouterId("a b"), base::Incarnation{UINT64_MAX}, 3};
        CPPUNIT_ASSERT(decodeLease(encodeLease(holder)).value() == holder);
    }

private:
    static char holderAfter(LeasePhase phase, LeaseFault fault)
    {
        store::MemoryStore platform;
        LeaseClient one("one", platform);
        LeaseClient two("two", platform);
        if (phase == LeasePhase::Verifying) {
            one.store.inject(StoreFault::ResponseLost, 1, 1);
        }
        const base::TimePoint start{base::hours{1}};
        std::optional<base::TimePoint> faultAt;
        std::optional<base::TimePoint> lostAt;
        for (base::TimePoint now = start; now < start + base::minutes{2}; now += base::milliseconds{100}) {
            const bool isPaused = faultAt && fault == LeaseFault::Pause && now < *faultAt + base::seconds{40};
            for (int i = 0; i < 3 && !isPaused; ++i) {
                const LeaseAction action = one.lease.poll(now);
                if (!faultAt && one.lease.state().phase == phase) {
                    faultAt = now;
                    inject(one, fault);
                    if (fault == LeaseFault::Pause || fault == LeaseFault::Restart) {
                        break; // the call that poll() returned is never made
                    }
                }
                if (!one.perform(now, action)) {
                    break;
                }
            }
            const bool isOver = faultAt && now > *faultAt + (fault == LeaseFault::ShortOutage ? base::seconds{2} : base::seconds{40});
            if (isOver && (fault == LeaseFault::ShortOutage || fault == LeaseFault::LongOutage)) {
                one.store.inject(StoreFault::None);
            }
            if (now >= start + base::milliseconds{200}) {
                (void)two.perform(now, two.lease.poll(now));
            }
            CPPUNIT_ASSERT(!one.lease.isHeld(now) || !two.lease.isHeld(now));
            lostAt = faultAt && !one.lease.isHeld(now) ? now : lostAt;
        }
        const base::TimePoint end = start + base::minutes{2};
        if (two.lease.isHeld(end)) {
            return 'o';
        }
        return !one.lease.isHeld(end) ? '-' : (lostAt ? 'r' : 'h');
    }

    static void inject(LeaseClient &actor, LeaseFault fault)
    {
        switch (fault) {
        case LeaseFault::ShortOutage:
        case LeaseFault::LongOutage:
            actor.store.inject(StoreFault::Down);
            break;
        case LeaseFault::AnswerLost:
            actor.store.inject(StoreFault::ResponseLost, 1);
            break;
        case LeaseFault::RequestLost:
            actor.store.inject(StoreFault::RequestLost, 1);
            break;
        case LeaseFault::Restart:
            actor.lease = Lease(actor.router, base::Incarnation{2}, LeaseSettings{});
            break;
        case LeaseFault::None:
        case LeaseFault::Pause:
            break;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);

} // namespace carawaylatch::fleet::testing
