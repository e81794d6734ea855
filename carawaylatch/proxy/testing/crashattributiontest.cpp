// Tests of the attribution of crashes to prompt parts, alone and shared by routers, in virtual time.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/crashattribution.h"
#include "carawaylatch/proxy/peerexchange.h"
#include "testing/seed.h"

namespace carawaylatch::proxy::testing
{

namespace
{

const base::TimePoint Start{base::hours{1}};
const base::ModelId Model{"m"};
constexpr std::uint64_t Template = 0xa1;
constexpr std::uint64_t Fatal = 0xdead;
constexpr base::Duration Tick = base::milliseconds{50}; // PeerExchange::ReportInterval

std::vector<PromptPart> prompt(std::initializer_list<std::uint64_t> shared)
{
    std::vector<PromptPart> parts;
    for (const std::uint64_t id : shared) {
        parts.push_back({id, 100});
    }
    parts.push_back({0xffff, 10}); // the request's own part
    return parts;
}

bool neverAnswers(const BrokenRequest & /*request*/, base::TimePoint /*since*/)
{
    return false;
}

// Routers that exchange their changes each tick with the neighbours that they have in a fleet.
class Fleet
{
public:
    explicit Fleet(std::size_t size)
        : routers(size)
        , m_peers(size)
    {
        std::vector<base::Endpoint> endpoints;
        for (std::size_t i = 0; i < size; ++i) {
            endpoints.push_back({"10.0.0.1", static_cast<std::uint16_t>(1000 + i)});
        }
        for (std::size_t i = 0; i < size; ++i) {
            for (const base::Endpoint &peer : reportPeers(endpoints, endpoints[i])) {
                m_peers[i].push_back(peer.port - 1000U);
            }
        }
    }

    void tick()
    {
        now += Tick;
        std::vector<std::string> reports;
        for (CrashAttribution &router : routers) {
            router.advance(now, neverAnswers);
            const FaultReport changes = router.takeChanges(now);
            reportedParts += changes.parts.size();
            reports.push_back(encodeFaultReport(changes));
        }
        for (std::size_t i = 0; i < routers.size(); ++i) {
            for (const std::size_t peer : m_peers[i]) {
                routers[peer].apply(decodeFaultReport(reports[i]).value(), now);
            }
        }
    }

    void run(base::Duration duration)
    {
        for (const base::TimePoint end = now + duration; now < end;) {
            tick();
        }
    }

    void breakOff(std::size_t router, std::initializer_list<std::uint64_t> shared, int upstream)
    {
        breakOffRequest(router, prompt(shared), 0, upstream);
    }

    void breakOffRequest(std::size_t router, std::vector<PromptPart> parts, std::uint64_t fingerprint, int upstream)
    {
        routers[router].onBrokenOff({Model, std::move(parts), fingerprint, base::UpstreamId("e" + std::to_string(upstream)), 1, now});
    }

    void answer(std::size_t router, std::initializer_list<std::uint64_t> shared)
    {
        routers[router].onAnswered({Model, prompt(shared), 0}, now);
    }

    void answerRequest(std::size_t router, std::uint64_t fingerprint)
    {
        routers[router].onAnswered({Model, {}, fingerprint}, now);
    }

    [[nodiscard]] bool isBlocked(std::size_t router, std::initializer_list<std::uint64_t> shared) const
    {
        return routers[router].blockOf({Model, prompt(shared), 0}, now).has_value();
    }

    [[nodiscard]] std::size_t blockedAt(std::initializer_list<std::uint64_t> shared) const
    {
        std::size_t n = 0;
        for (std::size_t i = 0; i < routers.size(); ++i) {
            n += isBlocked(i, shared) ? 1 : 0;
        }
        return n;
    }

    [[nodiscard]] bool isRequestBlocked(std::size_t router, std::uint64_t fingerprint) const
    {
        const auto block = routers[router].blockOf({Model, {}, fingerprint}, now);
        return block && block->isRequest;
    }

    [[nodiscard]] std::size_t requestBlockedAt(std::uint64_t fingerprint) const
    {
        std::size_t n = 0;
        for (std::size_t i = 0; i < routers.size(); ++i) {
            n += isRequestBlocked(i, fingerprint) ? 1 : 0;
        }
        return n;
    }

    std::vector<CrashAttribution> routers;
    base::TimePoint now = Start;
    std::size_t reportedParts = 0;

private:
    std::vector<std::vector<std::size_t>> m_peers;
};

} // namespace

class CrashAttributionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashAttributionTest);
    CPPUNIT_TEST(testRequestsWithAFatalPart);
    CPPUNIT_TEST(testFatalPartAtEachDepth);
    CPPUNIT_TEST(testUpstreamsThatFailTogether);
    CPPUNIT_TEST(testUpstreamThatStillAnswers);
    CPPUNIT_TEST(testAnswerClearsAPart);
    CPPUNIT_TEST(testBlockEndsAndIsRenewed);
    CPPUNIT_TEST(testRouterThatStartsLater);
    CPPUNIT_TEST(testRequestThatComesAgain);
    CPPUNIT_TEST(testFatalRequestsAmongOthers);
    CPPUNIT_TEST(testSoundRequestThatIsBlockedFirst);
    CPPUNIT_TEST(testRequestThatWasAnsweredBefore);
    CPPUNIT_TEST(testFatalRequestAndItsParts);
    CPPUNIT_TEST(testFatalPartAndItsRequests);
    CPPUNIT_TEST(testRequestsAtUpstreamsThatFailTogether);
    CPPUNIT_TEST(testAnswerClearsARequest);
    CPPUNIT_TEST(testReportsInAnyOrder);
    CPPUNIT_TEST(testTablesAreBounded);
    CPPUNIT_TEST(testReportEncoding);
    CPPUNIT_TEST(testMalformedReports);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: requests with a fatal part at random routers, a few a second, of which each sent one ends an engine; sound
    // requests share the template and the session, some are at the engine that ends. The users allow three sends
    // later than three seconds after the fifth crash.
    void testRequestsWithAFatalPart()
    {
        constexpr base::Duration StableWindow = base::seconds{3};
        for (const std::size_t routers : {1, 4, 35, 77}) {
            for (const int interval : {50, 200, 600, 2000}) { // ms between requests with the part
                base::Random random(carawaylatch::testing::seed() + routers);
                Fleet fleet(routers);
                int crashes = 0;
                int late = 0;
                base::TimePoint fifthAt = base::TimePoint::max();
                const base::TimePoint end = fleet.now + base::seconds{30};
                for (base::TimePoint next = fleet.now; fleet.now < end; fleet.tick()) {
                    const std::uint64_t session = 0xc0 + random.below(4);
                    fleet.answer(random.below(routers), {Template, session});
                    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.blockedAt({Template, session}));
                    const std::size_t router = random.below(routers);
                    if (fleet.now < next) {
                        continue;
                    }
                    next += base::milliseconds{interval};
                    if (fleet.isBlocked(router, {Template, 0xc0, Fatal})) {
                        continue;
                    }
                    late += fifthAt != base::TimePoint::max() && fleet.now - fifthAt > StableWindow ? 1 : 0;
                    fifthAt = ++crashes == 5 ? fleet.now : fifthAt;
                    fleet.breakOff(router, {Template, 0xc0, Fatal}, crashes);
                    fleet.breakOff(random.below(routers), {Template, session}, crashes);
                }
                const std::string text = std::to_string(routers) + " routers, " + std::to_string(interval) + " ms, " + std::to_string(crashes) + " crashes";
                CPPUNIT_ASSERT_EQUAL_MESSAGE(text, routers, fleet.blockedAt({Template, 0xc0, Fatal}));
                CPPUNIT_ASSERT_MESSAGE(text, late <= 3);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0}, fleet.blockedAt({Template, 0xc0}));
            }
        }
    }

    // The part stands first, in the middle or last of the shared ones; its neighbours are answered elsewhere.
    void testFatalPartAtEachDepth()
    {
        for (std::size_t depth = 0; depth < 3; ++depth) {
            Fleet fleet(4);
            for (int crash = 0; crash < 3; ++crash) {
                std::vector<std::uint64_t> ids{Template, 0xc0};
                ids.insert(ids.begin() + static_cast<std::ptrdiff_t>(depth), Fatal);
                fleet.breakOff(0, {ids[0], ids[1], ids[2]}, crash);
                fleet.run(base::milliseconds{300});
                fleet.answer(1, {Template, 0xc0});
                fleet.run(base::milliseconds{300});
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.blockedAt({Fatal}));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.blockedAt({Template, 0xc0}));
        }
    }

    // A failure domain loses power, twice: the prompts are not the cause.
    void testUpstreamsThatFailTogether()
    {
        Fleet fleet(4);
        for (int failure = 0; failure < 2; ++failure) {
            for (int upstream = 0; upstream < 6; ++upstream) {
                fleet.breakOff(upstream % 4, {Template, 0xc0}, failure * 10 + upstream);
            }
            fleet.run(base::seconds{1});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.blockedAt({Template, 0xc0}));
    }

    void testUpstreamThatStillAnswers()
    {
        CrashAttribution router;
        for (int i = 0; i < 5; ++i) {
            const base::TimePoint now = Start + base::seconds{i};
            router.onBrokenOff({Model, prompt({Fatal}), 0, base::UpstreamId("e" + std::to_string(i)), 1, now});
            router.advance(now + base::milliseconds{250}, [now](const BrokenRequest &request, base::TimePoint since) {
                CPPUNIT_ASSERT(request.at == now && since == now + CrashAttribution::LateBytesTime);
                return true;
            });
        }
        CPPUNIT_ASSERT(router.fullReport(Start).parts.empty());
    }

    // Before the block, and during it by a request that was under way.
    void testAnswerClearsAPart()
    {
        Fleet fleet(4);
        for (int crash = 0; crash < 6; ++crash) {
            fleet.breakOff(crash % 4, {Template, Fatal}, crash);
            fleet.run(base::milliseconds{300});
            if (crash == 1) {
                fleet.answer(2, {Template, Fatal});
                fleet.tick();
            }
            const std::size_t expected = crash < 4 ? 0 : 4;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(crash), expected, fleet.blockedAt({Template, Fatal}));
        }
        fleet.answer(3, {Template, Fatal});
        fleet.run(base::milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.blockedAt({Template, Fatal}));
        const auto verdicts = fleet.routers[0].takeVerdicts();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, verdicts.size());
        CPPUNIT_ASSERT(verdicts[0].isBlocked && !verdicts[1].isBlocked && verdicts[1].id == Fatal);
    }

    void testBlockEndsAndIsRenewed()
    {
        Fleet fleet(2);
        int upstream = 0;
        const auto crash = [&] {
            fleet.breakOff(0, {Template, Fatal}, upstream++);
            fleet.run(base::milliseconds{300});
        };
        crash();
        crash();
        crash();
        for (int renewal = 0; renewal < 6; ++renewal) {
            const auto left = fleet.routers[1].blockOf({Model, prompt({Fatal}), 0}, fleet.now);
            CPPUNIT_ASSERT(left.has_value());
            const base::Duration expected = std::min<base::Duration>(CrashAttribution::BlockTime * (1 << renewal), CrashAttribution::MaxBlockTime);
            CPPUNIT_ASSERT(left->left <= expected && left->left > expected - base::seconds{1});
            fleet.run(left->left + base::seconds{1});
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.blockedAt({Fatal}));
            crash(); // one is enough now
        }
        const auto left = fleet.routers[0].blockOf({Model, prompt({Fatal}), 0}, fleet.now);
        fleet.run(left->left + CrashAttribution::MaxBlockTime + base::seconds{1});
        CPPUNIT_ASSERT(fleet.routers[0].fullReport(fleet.now).parts.empty());
    }

    void testRouterThatStartsLater()
    {
        Fleet fleet(2);
        for (int crash = 0; crash < 3; ++crash) {
            fleet.breakOff(0, {Template, Fatal}, crash);
            fleet.run(base::milliseconds{300});
        }
        CrashAttribution started;
        started.apply(fleet.routers[1].fullReport(fleet.now), fleet.now);
        CPPUNIT_ASSERT(started.blockOf({Model, prompt({Fatal}), 0}, fleet.now).has_value());
        CPPUNIT_ASSERT(!started.blockOf({base::ModelId("other"), prompt({Fatal}), 0}, fleet.now).has_value());
        CPPUNIT_ASSERT(!started.blockOf({Model, {}, 0}, fleet.now).has_value());
    }

    // Load: the same request at random routers, with one retry at once; each send ends an upstream, on which other
    // requests run. The users allow three sends later than three seconds after the third crash.
    void testRequestThatComesAgain()
    {
        constexpr base::Duration StableWindow = base::seconds{3};
        for (const std::size_t routers : {1, 4, 35, 77}) {
            for (const int interval : {100, 300, 1000, 3000}) { // ms between the requests
                base::Random random(carawaylatch::testing::seed() + routers);
                Fleet fleet(routers);
                int crashes = 0;
                int late = 0;
                std::uint64_t sound = 1;
                base::TimePoint thirdAt = base::TimePoint::max();
                const base::TimePoint end = fleet.now + base::seconds{150};
                for (base::TimePoint next = fleet.now; fleet.now < end; fleet.tick()) {
                    fleet.answerRequest(random.below(routers), ++sound);
                    const std::size_t router = random.below(routers);
                    if (fleet.now < next || fleet.isRequestBlocked(router, Fatal)) {
                        continue;
                    }
                    next = fleet.now + base::milliseconds{interval};
                    const bool isRetried = !fleet.routers[router].isSuspect({Model, {}, Fatal});
                    for (int send = 0; send < (isRetried ? 2 : 1); ++send) {
                        late += thirdAt != base::TimePoint::max() && fleet.now - thirdAt > StableWindow ? 1 : 0;
                        thirdAt = ++crashes == 3 ? fleet.now : thirdAt;
                        fleet.breakOffRequest(router, {}, Fatal, crashes);
                        fleet.breakOffRequest(random.below(routers), {}, ++sound, crashes);
                        fleet.now += base::milliseconds{25}; // until the retry has ended its upstream
                    }
                }
                const std::string text = std::to_string(routers) + " routers, " + std::to_string(interval) + " ms, " + std::to_string(crashes) + " crashes";
                CPPUNIT_ASSERT_EQUAL_MESSAGE(text, routers, fleet.requestBlockedAt(Fatal));
                CPPUNIT_ASSERT_MESSAGE(text, late <= 3);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0}, fleet.requestBlockedAt(2));
            }
        }
    }

    // Two fatal requests crash upstreams in turn; a third one is at some of them, and one at all of the first until it is
    // itself blocked.
    void testFatalRequestsAmongOthers()
    {
        constexpr std::uint64_t OtherFatal = 0xdeae;
        constexpr std::uint64_t AtSome = 0x51;
        constexpr std::uint64_t AtAll = 0x52;
        Fleet fleet(4);
        for (int crash = 0; crash < 8; ++crash) {
            const std::uint64_t fatal = crash % 2 == 0 ? Fatal : OtherFatal;
            if (!fleet.isRequestBlocked(0, fatal)) {
                fleet.breakOffRequest(crash % 4, {}, fatal, crash);
                if (crash == 0 || crash == 2) {
                    fleet.breakOffRequest(1, {}, AtSome, crash);
                }
                if (crash % 2 == 0 && !fleet.isRequestBlocked(2, AtAll)) {
                    fleet.breakOffRequest(2, {}, AtAll, crash);
                }
            }
            fleet.run(base::milliseconds{400});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.requestBlockedAt(Fatal));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.requestBlockedAt(OtherFatal));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.requestBlockedAt(AtSome));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("two routers found one each, and nothing tells which is the cause", std::size_t{4}, fleet.requestBlockedAt(AtAll));
    }

    // A sound request was at all of the first three crashes and is taken for the cause: the next crash shows the fatal one.
    void testSoundRequestThatIsBlockedFirst()
    {
        constexpr std::uint64_t Sound = Fatal + 1; // the greater fingerprint is taken if nothing else tells them apart
        Fleet fleet(4);
        for (int crash = 0; crash < 3; ++crash) {
            fleet.breakOffRequest(crash, {}, Fatal, crash);
            fleet.breakOffRequest(crash, {}, Sound, crash);
            fleet.run(base::milliseconds{400});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.requestBlockedAt(Sound));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.requestBlockedAt(Fatal));
        fleet.breakOffRequest(3, {}, Fatal, 3);
        fleet.run(base::milliseconds{400});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.requestBlockedAt(Fatal));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.requestBlockedAt(Sound));
    }

    // Of two requests at the same crashes, the one that was answered before is not the cause.
    void testRequestThatWasAnsweredBefore()
    {
        constexpr std::uint64_t Sound = Fatal + 1;
        Fleet fleet(4);
        for (std::size_t router = 0; router < 4; ++router) {
            fleet.answerRequest(router, Sound);
        }
        fleet.tick();
        for (int crash = 0; crash < 3; ++crash) {
            fleet.breakOffRequest(crash, {}, Fatal, crash);
            fleet.breakOffRequest(crash, {}, Sound, crash);
            fleet.run(base::milliseconds{400});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.requestBlockedAt(Fatal));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.requestBlockedAt(Sound));
    }

    // A request with a prompt crashes upstreams: the prompts that share its template are not blocked with it, also
    // not when the block ends.
    void testFatalRequestAndItsParts()
    {
        Fleet fleet(4);
        for (int crash = 0; crash < 3; ++crash) {
            fleet.breakOffRequest(crash, prompt({Template, 0xc0}), Fatal, crash);
            fleet.run(base::milliseconds{400});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.requestBlockedAt(Fatal));
        for (int second = 0; second < 63; ++second) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.blockedAt({Template, 0xc0}));
            fleet.run(base::seconds{1});
        }
    }

    // The first crashes come from one request with the part, by retries; another one with it shows the part.
    void testFatalPartAndItsRequests()
    {
        Fleet fleet(4);
        for (int crash = 0; crash < 4; ++crash) {
            fleet.breakOffRequest(crash, prompt({Template, 0xdd}), crash < 3 ? Fatal : Fatal + 1, crash);
            fleet.run(base::milliseconds{300});
            fleet.answer(0, {Template});
            fleet.run(base::milliseconds{300});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.blockedAt({0xdd}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.blockedAt({Template}));
    }

    // A failure domain loses power, twice, while all its upstreams run requests that are alike.
    void testRequestsAtUpstreamsThatFailTogether()
    {
        Fleet fleet(4);
        for (int failure = 0; failure < 2; ++failure) {
            for (int upstream = 0; upstream < 6; ++upstream) {
                fleet.breakOffRequest(upstream % 4, {}, 0x51, failure * 10 + upstream);
            }
            fleet.run(base::seconds{1});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.requestBlockedAt(0x51));
    }

    void testAnswerClearsARequest()
    {
        Fleet fleet(4);
        for (int crash = 0; crash < 5; ++crash) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.requestBlockedAt(Fatal));
            fleet.breakOffRequest(crash % 4, {}, Fatal, crash);
            fleet.run(base::milliseconds{300});
            CPPUNIT_ASSERT(fleet.routers[3].isSuspect({Model, {}, Fatal}));
            if (crash == 1) {
                fleet.answerRequest(2, Fatal);
                fleet.run(base::milliseconds{100});
                CPPUNIT_ASSERT(!fleet.routers[3].isSuspect({Model, {}, Fatal}));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.requestBlockedAt(Fatal));
        fleet.answerRequest(3, Fatal);
        fleet.run(base::milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.requestBlockedAt(Fatal));
        const auto verdicts = fleet.routers[0].takeVerdicts();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, verdicts.size());
        CPPUNIT_ASSERT(verdicts[0].isBlocked && verdicts[0].isRequest && !verdicts[1].isBlocked && verdicts[1].isRequest);
    }

    // Routers that have got the same reports in different orders agree, and stop reporting.
    void testReportsInAnyOrder()
    {
        base::Random random(carawaylatch::testing::seed());
        for (int round = 0; round < 100; ++round) {
            Fleet fleet(5);
            for (int step = 0; step < 40; ++step) {
                const std::size_t router = random.below(5);
                const std::uint64_t part = 1 + random.below(3);
                const std::uint64_t fingerprint = 100 + random.below(3);
                if (random.below(4) == 0) {
                    fleet.answer(router, {part});
                    fleet.answerRequest(router, fingerprint);
                } else {
                    fleet.breakOffRequest(router, prompt({part, 10 + random.below(3)}), fingerprint, static_cast<int>(random.below(12)));
                }
                fleet.run(Tick * static_cast<std::int64_t>(1 + random.below(8)));
            }
            fleet.run(base::seconds{2});
            const std::size_t reported = fleet.reportedParts;
            fleet.run(base::seconds{2});
            CPPUNIT_ASSERT_EQUAL_MESSAGE("reports end", reported, fleet.reportedParts);
            for (std::uint64_t part = 1; part < 13; ++part) {
                const std::size_t blocked = fleet.blockedAt({part});
                CPPUNIT_ASSERT_MESSAGE("routers agree on part " + std::to_string(part), blocked == 0 || blocked == 5);
            }
            for (std::uint64_t fingerprint = 100; fingerprint < 103; ++fingerprint) {
                const std::size_t blocked = fleet.requestBlockedAt(fingerprint);
                CPPUNIT_ASSERT_MESSAGE("routers agree on request " + std::to_string(fingerprint), blocked == 0 || blocked == 5);
            }
        }
    }

    void testTablesAreBounded()
    {
        CrashAttribution router;
        for (std::size_t i = 0; i < 20'000; ++i) {
            const base::TimePoint now = Start + base::milliseconds{i};
            router.onBrokenOff({Model, prompt({i}), 0, base::UpstreamId("e"), i, now});
            router.onAnswered({Model, prompt({1'000'000 + i}), 0}, now);
            if (i % 100 == 0) {
                router.advance(now, neverAnswers);
            }
        }
        std::size_t reported = 0;
        for (FaultReport report = router.takeChanges(Start); !report.parts.empty(); report = router.takeChanges(Start)) {
            CPPUNIT_ASSERT(report.parts.size() <= MaxReportedParts);
            reported += report.parts.size();
        }
        CPPUNIT_ASSERT_EQUAL(CrashAttribution::MaxSubjects, reported);
    }

    void testReportEncoding()
    {
        base::Random random(carawaylatch::testing::seed());
        for (int i = 0; i < 200; ++i) {
            FaultReport report;
            for (std::uint64_t n = random.below(4); n > 0; --n) {
                PartState part{random.next(),
                               random.next(),
                               static_cast<std::uint32_t>(random.next()),
                               static_cast<std::uint8_t>(random.next()),
                               base::milliseconds{random.below(60'000)},
                               static_cast<std::uint8_t>(random.next()),
                               {}};
                part.crashes.resize(random.below(MaxCrashesPerPart + 1), {random.next(), base::milliseconds{random.below(60'000)}});
                report.parts.push_back(part);
            }
            for (std::uint64_t n = random.below(4); n > 0; --n) {
                report.leaving.push_back({random.next(), random.next()});
            }
            for (std::uint64_t n = random.below(4); n > 0; --n) {
                report.limits.push_back({random.next(), random.next(), static_cast<std::uint32_t>(random.next()), static_cast<std::uint32_t>(random.next())});
            }
            for (std::uint64_t n = random.below(4); n > 0; --n) {
                report.brittle.push_back({random.next(), random.next(), static_cast<std::uint32_t>(random.next()), static_cast<std::uint32_t>(random.next())});
            }
            const std::string bytes = encodeFaultReport(report);
            CPPUNIT_ASSERT(isFaultReport(bytes) && bytes.size() <= MaxReportBytes);
            const auto decoded = decodeFaultReport(bytes);
            CPPUNIT_ASSERT(decoded.has_value());
            CPPUNIT_ASSERT_EQUAL(bytes, encodeFaultReport(decoded.value()));
            CPPUNIT_ASSERT(report.leaving == decoded.value().leaving);
            CPPUNIT_ASSERT(report.limits == decoded.value().limits);
            CPPUNIT_ASSERT(report.brittle == decoded.value().brittle);
            CPPUNIT_ASSERT(!decodeLoadReport(bytes).has_value()); // what a router of the version before makes of it
        }
        CPPUNIT_ASSERT(!isFaultReport(encodeLoadReport({})));
    }

    void testMalformedReports()
    {
        FaultReport report;
        report.parts.push_back({1, 2, 3, 4, base::seconds{5}, 6, {{7, base::seconds{8}}}});
        FaultReport limits;
        limits.limits.push_back({1, 2, 3, 4});
        FaultReport brittle;
        brittle.brittle.push_back({1, 2, 3, 4});
        const std::string bytes = encodeFaultReport(report);
        for (const std::string &it : {bytes, encodeFaultReport(limits), encodeFaultReport(brittle)}) {
            for (std::size_t n = 0; n < it.size(); ++n) {
                CPPUNIT_ASSERT(!decodeFaultReport(it.substr(0, n)).has_value());
            }
            CPPUNIT_ASSERT(!decodeFaultReport(it + "x").has_value());
        }
        base::Random random(carawaylatch::testing::seed());
        CrashAttribution router;
        for (int i = 0; i < 2000; ++i) {
            std::string changed = bytes;
            changed[1 + random.below(changed.size() - 1)] = static_cast<char>(random.next());
            if (const auto decoded = decodeFaultReport(changed)) {
                router.apply(decoded.value(), Start);
            }
        }
        CPPUNIT_ASSERT(router.fullReport(Start).parts.size() <= MaxReportedParts);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CrashAttributionTest);

} // namespace carawaylatch::proxy::testing
