// Generated runs of a fleet with limits: whatever happens to routers and messages, no
// window may see more than the limit allows, each request counted at the worst moment at
// which it may be used.
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>
#include <vector>

#include "carawaylatch/admission/testing/limitfleet.h"
#include "testing/seed.h"

namespace carawaylatch::admission::testing
{

namespace
{

constexpr base::Duration ApplyTime = base::seconds{3}; // until all routers have learnt of a configuration or a list of routers
constexpr base::Duration RunTime = base::seconds{60};
constexpr std::uint64_t Runs = 40; // each with a seed of its own
constexpr std::uint64_t RestartRuns = 6;
constexpr std::uint32_t LargestRequest = 9'200;
const base::CustomerId Customer("acme");

// A run that is a function of its seed.
class GeneratedRun
{
public:
    using Fault = void (GeneratedRun::*)();

    explicit GeneratedRun(std::uint64_t seed)
        : m_random(seed)
        , m_options(makeOptions(seed))
        , m_fleet(m_options)
    {
        m_limits.emplace_back(m_fleet.now(), m_options.limits[0].limit);
    }

    void run()
    {
        run(Faults);
    }
    // Restarts of all routers and of single ones, with changed lists and candidates that are cut off.
    void runRestarts()
    {
        run(RestartFaults);
    }
    [[nodiscard]] double worst()
    {
        return worstWindow(m_fleet.use(Customer), m_options.tolerance.window, [this](base::TimePoint start) {
            return allowed(start);
        });
    }
    [[nodiscard]] const FleetUse &use()
    {
        return m_fleet.use(Customer);
    }
    [[nodiscard]] std::string describe()
    {
        const CustomerLimit &limit = m_options.limits[0].limit;
        return std::to_string(m_options.routers) + " routers, rate " + std::to_string(limit.perSecond) + ", slack " + std::to_string(m_options.tolerance.slack)
               + ", loss " + std::to_string(m_options.loss) + ", delay " + base::formatMilliseconds(m_options.longestDelay) + ", worst "
               + std::to_string(worst()) + ", granted " + std::to_string(use().granted.size()) + " of " + std::to_string(use().asked);
    }

private:
    template <std::size_t Count>
    void run(const std::array<Fault, Count> &faults)
    {
        const base::TimePoint end = m_fleet.now() + RunTime;
        load(end);
        for (base::TimePoint at = m_fleet.now() + base::seconds{4}; at < end; at += base::milliseconds{200 + m_random.below(3'000)}) {
            m_fleet.at(at, [this, &faults] {
                (this->*faults.at(m_random.below(faults.size())))();
            });
        }
        m_fleet.run(RunTime);
    }
    FleetOptions makeOptions(std::uint64_t seed)
    {
        constexpr std::array Rates{46'000.0, 300'000.0, 1'200'000.0};
        CustomerLimit limit{.unit = LimitUnit::Tokens};
        LimitTolerance tolerance;
        do { // a limit without room for the largest request checks little
            limit.perSecond = Rates.at(m_random.below(Rates.size()));
            limit.burst = limit.perSecond * m_random.uniformReal();
            tolerance = {.slack = m_random.below(2) == 0 ? 0 : 110'000.0, .maxQueueWait = base::milliseconds{m_random.below(1'000)}};
        } while (bucketCapacity(limit, tolerance) < LargestRequest);
        return {.routers = 3 + m_random.below(38),
                .seed = seed,
                .longestDelay = base::milliseconds{1 + m_random.below(m_random.below(2) == 0 ? 5 : 300)},
                .loss = m_random.below(2) == 0 ? 0 : 0.1 * m_random.uniformReal(),
                .limits = {{.customer = Customer, .limit = limit}},
                .tolerance = tolerance};
    }
    void load(base::TimePoint end)
    {
        constexpr double Mean = 3'200; // of the sizes below
        const double perSecond = m_options.limits[0].limit.perSecond * (0.5 + 3 * m_random.uniformReal());
        for (base::TimePoint at = m_fleet.now(); at < end; at += base::fromSeconds(2 * m_random.uniformReal() * Mean / perSecond)) {
            m_fleet.at(at, [this] {
                constexpr std::array<std::uint32_t, 4> Sizes{200, 860, LargestRequest, 2'540};
                m_fleet.request({.router = randomRouter(), .customer = Customer, .cost = Sizes.at(m_random.below(Sizes.size())), .retries = 1});
            });
        }
    }
    std::size_t randomRouter()
    {
        return m_random.below(m_fleet.routers().size());
    }
    // Half of the faults strike a coordinator.
    std::size_t victim()
    {
        return m_random.below(2) == 0 ? randomRouter() : m_fleet.coordinator(limitGroup(base::hash64(Customer.value())));
    }
    void cut()
    {
        const std::size_t coordinator = victim();
        for (LimitFleet::Router &it : m_fleet.routers()) {
            it.side = m_random.below(3) == 0 ? 1 : 0;
        }
        m_fleet.routers()[coordinator].side = 1;
    }
    void heal()
    {
        for (LimitFleet::Router &it : m_fleet.routers()) {
            it.side = 0;
        }
    }
    void freeze()
    {
        const std::size_t n = victim();
        if (!m_fleet.routers()[n].isFrozen) {
            m_fleet.freeze(n, base::milliseconds{10 + m_random.below(m_random.below(2) == 0 ? 500 : 6'000)});
        }
    }
    void restart()
    {
        const std::size_t n = victim();
        if (m_fleet.routers()[n].process == 0) {
            return;
        }
        m_fleet.kill(n);
        m_fleet.at(m_fleet.now() + base::milliseconds{m_random.below(3'000)}, [this, n] {
            m_fleet.start(n);
            m_fleet.listRouters(n);
        });
    }
    void restartAll()
    {
        for (std::size_t n = 0; n < m_fleet.routers().size(); ++n) {
            if (m_fleet.routers()[n].process == 0) {
                continue; // starts again by itself
            }
            m_fleet.kill(n);
            m_fleet.at(m_fleet.now() + base::milliseconds{300 + m_random.below(100)}, [this, n] {
                m_fleet.start(n);
                m_fleet.listRouters(n);
            });
        }
    }
    void add()
    {
        if (m_fleet.routers().size() < 40) {
            m_fleet.addRouter();
            everywhere(&LimitFleet::listRouters);
        }
    }
    void changeLimit()
    {
        CustomerLimit limit = m_options.limits[0].limit;
        const double part = 0.25 + 0.75 * m_random.uniformReal();
        limit.perSecond *= part;
        limit.burst *= part;
        m_limits.emplace_back(m_fleet.now(), limit);
        m_fleet.setLimits({{.customer = Customer, .limit = limit}});
        everywhere(&LimitFleet::configure);
    }
    void everywhere(void (LimitFleet::*change)(std::size_t))
    {
        for (std::size_t n = 0; n < m_fleet.routers().size(); ++n) {
            m_fleet.at(m_fleet.now() + base::milliseconds{m_random.below(base::toMilliseconds(ApplyTime))}, [this, n, change] {
                (m_fleet.*change)(n);
            });
        }
    }
    // By the highest limit that may bind a window with this start.
    [[nodiscard]] double allowed(base::TimePoint start) const
    {
        double highest = 0;
        for (std::size_t n = 0; n < m_limits.size(); ++n) {
            const bool isBefore = n + 1 < m_limits.size() && start >= m_limits[n + 1].first + ApplyTime + m_options.tolerance.window;
            const bool isAfter = start + m_options.tolerance.window < m_limits[n].first;
            if (!isBefore && !isAfter) {
                highest = std::max(highest, allowedInWindow(m_limits[n].second, m_options.tolerance));
            }
        }
        return highest;
    }

    static constexpr std::array<Fault, 7> RestartFaults{&GeneratedRun::cut,     &GeneratedRun::heal,       &GeneratedRun::heal, &GeneratedRun::freeze,
                                                        &GeneratedRun::restart, &GeneratedRun::restartAll, &GeneratedRun::add};
    static constexpr std::array<Fault, 7> Faults{&GeneratedRun::cut,     &GeneratedRun::heal, &GeneratedRun::heal,       &GeneratedRun::freeze,
                                                 &GeneratedRun::restart, &GeneratedRun::add,  &GeneratedRun::changeLimit};

    base::Random m_random;
    FleetOptions m_options;
    LimitFleet m_fleet;
    std::vector<std::pair<base::TimePoint, CustomerLimit>> m_limits; // and when each was set
};

} // namespace

class LimitFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitFleetTest);
    CPPUNIT_TEST(testGeneratedRuns);
    CPPUNIT_TEST(testGeneratedRestarts);
    CPPUNIT_TEST_SUITE_END();

public:
    void testGeneratedRuns()
    {
        checkRuns(Runs, &GeneratedRun::run);
    }
    // Shares are used early after restarts; a former candidate may then use one at the same time.
    void testGeneratedRestarts()
    {
        checkRuns(RestartRuns, &GeneratedRun::runRestarts);
    }

private:
    static void checkRuns(std::uint64_t runs, void (GeneratedRun::*play)())
    {
        const std::uint64_t first = carawaylatch::testing::seed();
        std::string broken;
        double worst = 0;
        for (std::uint64_t seed = first; seed < first + runs; ++seed) {
            GeneratedRun run(seed);
            (run.*play)();
            worst = std::max(worst, run.worst());
            CPPUNIT_ASSERT(!run.use().granted.empty());
            if (run.worst() > 1) {
                broken += "seed " + std::to_string(seed) + ": " + run.describe() + "\n";
            }
        }
        std::cout << " seeds " << first << " to " << first + runs - 1 << ", worst window " << worst << " of the allowed\n";
        CPPUNIT_ASSERT_EQUAL(std::string{}, broken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitFleetTest);

} // namespace carawaylatch::admission::testing
