// Tests that texts which earlier builds have stored or sent are decoded to what their writers meant, and that
// this build writes what it has written before; docs/design/build-contract.md has the rules.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/fleet/lease.h"
#include "carawaylatch/gateway/fleetstate.h"
#include "carawaylatch/gateway/softwareversions.h"
#include "carawaylatch/gateway/storeversion.h"
#include "carawaylatch/gateway/streamrecords.h"
#include "carawaylatch/gateway/watchrelay.h"

namespace carawaylatch::gateway::testing
{

namespace
{

// A text as a build wrote it. A build is named by the last commit of the landing in which it ran.
struct Recorded
{
    const char *build;
    std::string_view text;
};

const base::Endpoint Peers{"10.0.0.1", 7003};
const RouterEntry WithoutRelay{Peers, {}, {}};
const RouterEntry Reader{Peers, base::FailureDomain("z1"), base::Endpoint{"10.0.0.1", 7004}};

ChangingEngines changingEngines()
{
    ChangingEngines out;
    out.engines = {base::UpstreamId("m-1"), base::UpstreamId("m-2")};
    out.changed = {{base::UpstreamId("m-3"), base::WeightsVersion{7}}};
    return out;
}

// The last text is the one that this build writes.
std::string newest(const std::vector<Recorded> &recorded)
{
    return std::string(recorded.back().text);
}

SoftwareRecord softwareRecord()
{
    SoftwareRecord record;
    record.completeEra = 2;
    record.add(base::PoolName("m 1"), base::SoftwareVersion("1.0"));
    record.add(base::PoolName("m 1"), base::SoftwareVersion("2/b"));
    record.add(base::PoolName("q"), base::SoftwareVersion(""));
    return record;
}

RelayAnswer relayAnswer()
{
    RelayAnswer answer;
    answer.isKnown = true;
    answer.revision = 44;
    answer.age = base::milliseconds{120};
    answer.held = base::milliseconds{30};
    answer.objects = {StoredObject{"changing", "m-1 m-3=7", 43, false}, StoredObject{"router.10.0.0.9", "", 44, true}};
    answer.changeAge = base::milliseconds{200};
    return answer;
}

} // namespace

class BuildContractTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BuildContractTest);
    CPPUNIT_TEST(testLease);
    CPPUNIT_TEST(testChangingEngines);
    CPPUNIT_TEST(testRouters);
    CPPUNIT_TEST(testSoftwareVersions);
    CPPUNIT_TEST(testStreams);
    CPPUNIT_TEST(testRelayPolls);
    CPPUNIT_TEST(testRelayAnswers);
    CPPUNIT_TEST(testRelayAnswersAfterAnOutage);
    CPPUNIT_TEST(testRelayAnswersOfLaterEras);
    CPPUNIT_TEST(testRelayContact);
    CPPUNIT_TEST(testPartsOfALaterBuild);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a holder that another build does not recognize.
    void testLease()
    {
        const fleet::LeaseHolder holder{base::RouterId("10.0.0.1"), base::Incarnation{70}, 3};
        const std::vector<Recorded> recorded{
            {"9c5a2bb", "10.0.0.1 70 3"}, {"0268692", "10.0.0.1 70 3"}, {"d1f7250", "10.0.0.1 70 3"},
            {"af84c7d", "10.0.0.1 70 3"}, {"5c96e71", "10.0.0.1 70 3"}, {"372c752", "10.0.0.1 70 3"},
        };
        for (const Recorded &it : recorded) {
            const auto decoded = fleet::decodeLease(it.text);
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.has_value() && decoded.value() == holder);
        }
        CPPUNIT_ASSERT_EQUAL(newest(recorded), fleet::encodeLease(holder));
        CPPUNIT_ASSERT_EQUAL(std::string("released"), fleet::encodeReleasedLease()); // by all builds
    }

    // Guards against a successor that does not know which engines a holder of another build has ordered.
    void testChangingEngines()
    {
        const std::vector<Recorded> recorded{
            {"9c5a2bb", "m-1 m-2 m-3=7"},
            {"0268692", "m-1 m-2 m-3=7"},
            {"d1f7250", "m-1 m-2 m-3=7"},
            {"af84c7d", "m-1 m-2 m-3=7"},
            {"5c96e71", "m-1 m-2 m-3=7"},
            {"372c752", "m-1 m-2 m-3=7 m-4=0"},
            {"fc2a9c4", "@10.0.0.1=2 *=900 m-1 m-2 m-3=7 m-4=0"},
        };
        for (const Recorded &it : recorded) {
            const ChangingEngines decoded = ChangingEngines::decode(it.text);
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.engines == changingEngines().engines);
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.changed.at(base::UpstreamId("m-3")) == base::WeightsVersion{7});
        }
        ChangingEngines changing = changingEngines();
        changing.changed.emplace(base::UpstreamId("m-4"), base::WeightsVersion{});
        changing.writer = base::RouterId("10.0.0.1");
        changing.isIncomplete = true;
        changing.incompleteFor = base::milliseconds{900};
        CPPUNIT_ASSERT(ChangingEngines::decode(recorded.back().text).changed == changing.changed);
        CPPUNIT_ASSERT_EQUAL(newest(recorded), changing.encode());
    }

    void testRouters()
    {
        const std::vector<Recorded> withPeers{
            {"9c5a2bb", "10.0.0.1:7003"}, {"0268692", "10.0.0.1:7003"}, {"d1f7250", "10.0.0.1:7003"},
            {"af84c7d", "10.0.0.1:7003"}, {"5c96e71", "10.0.0.1:7003"}, {"372c752", "10.0.0.1:7003"},
        };
        const std::vector<Recorded> withRelay{
            {"0268692", "10.0.0.1:7003 z1 10.0.0.1:7004"}, {"d1f7250", "10.0.0.1:7003 z1 10.0.0.1:7004"}, {"af84c7d", "10.0.0.1:7003 z1 10.0.0.1:7004"},
            {"5c96e71", "10.0.0.1:7003 z1 10.0.0.1:7004"}, {"372c752", "10.0.0.1:7003 z1 10.0.0.1:7004"},
        };
        for (const Recorded &it : withPeers) {
            CPPUNIT_ASSERT_MESSAGE(it.build, decodeRouter(it.text) == WithoutRelay);
        }
        for (const Recorded &it : withRelay) {
            CPPUNIT_ASSERT_MESSAGE(it.build, decodeRouter(it.text) == Reader);
        }
        CPPUNIT_ASSERT_EQUAL(newest(withPeers), encodeRouter(WithoutRelay));
        CPPUNIT_ASSERT_EQUAL(newest(withRelay), encodeRouter(Reader));
        CPPUNIT_ASSERT_EQUAL(std::string("router"), encodeRouter(RouterEntry{})); // by all builds
    }

    void testSoftwareVersions()
    {
        const std::vector<Recorded> recorded{
            {"5c96e71", "complete 2 m%201=1.0,2%2Fb q="},
            {"372c752", "complete 2 m%201=1.0,2%2Fb q="},
        };
        for (const Recorded &it : recorded) {
            CPPUNIT_ASSERT_MESSAGE(it.build, SoftwareRecord::decode(it.text) == softwareRecord());
        }
        CPPUNIT_ASSERT_EQUAL(newest(recorded), softwareRecord().encode());
        CPPUNIT_ASSERT_EQUAL(std::string("incomplete"), SoftwareRecord{}.encode());
    }

    void testStreams()
    {
        const std::vector<proxy::StreamOrigin> streams{
            {0x1f, base::SoftwareVersion("1.0")}, {0x2, base::SoftwareVersion("1.0")}, {0xffffffffffffffff, base::SoftwareVersion("2/b")}};
        const std::vector<Recorded> recorded{
            {"5c96e71", "1.0 1f 2\n2%2Fb ffffffffffffffff\n"},
            {"372c752", "1.0 1f 2\n2%2Fb ffffffffffffffff\n"},
        };
        for (const Recorded &it : recorded) {
            std::vector<proxy::StreamOrigin> decoded;
            decodeStreams(it.text, [&decoded](const proxy::StreamOrigin &origin) {
                decoded.push_back(origin);
            });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.build, streams.size(), decoded.size());
            for (std::size_t i = 0; i < streams.size(); ++i) {
                CPPUNIT_ASSERT_MESSAGE(it.build, streams[i].stream == decoded[i].stream && streams[i].software == decoded[i].software);
            }
        }
        CPPUNIT_ASSERT_EQUAL(newest(recorded), encodeStreams(streams));
    }

    void testRelayPolls()
    {
        const std::vector<Recorded> recorded{
            {"0268692", R"({"kind":3,"since":41,"wait_us":800000})"}, {"d1f7250", R"({"kind":3,"since":41,"wait_us":800000})"},
            {"af84c7d", R"({"kind":3,"since":41,"wait_us":800000})"}, {"5c96e71", R"({"kind":3,"since":41,"wait_us":800000})"},
            {"372c752", R"({"kind":3,"since":41,"wait_us":800000})"},
        };
        for (const Recorded &it : recorded) {
            const auto decoded = decodeRelayPoll(it.text);
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.has_value());
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.value().kind == ObjectKind::Coordination);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.build, std::uint64_t{41}, decoded.value().since);
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.value().wait == base::milliseconds{800});
        }
        CPPUNIT_ASSERT_EQUAL(newest(recorded), encodeRelayPoll(RelayPoll{ObjectKind::Coordination, 41, base::milliseconds{800}}));
    }

    // Builds that do not tell how old a change may be: the objects are taken, and may be as old as the last confirmation.
    void testRelayAnswers()
    {
        const std::vector<Recorded> recorded{
            {"0268692",
             R"({"age_us":120000,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":43,"text":"m-1 m-3=7"},{"name":"router.10.0.0.9","removed":1,"revision":44,"text":""}],"outage":0,"revision":44})"},
            {"d1f7250",
             R"({"age_us":120000,"eras":1,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":43,"text":"m-1 m-3=7"},{"name":"router.10.0.0.9","removed":1,"revision":44,"text":""}],"outage":0,"revision":44})"},
            {"af84c7d",
             R"({"age_us":120000,"eras":1,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":43,"text":"m-1 m-3=7"},{"name":"router.10.0.0.9","removed":1,"revision":44,"text":""}],"outage":0,"revision":44})"},
            {"5c96e71",
             R"({"age_us":120000,"change_age_us":200000,"eras":1,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":43,"text":"m-1 m-3=7"},{"name":"router.10.0.0.9","removed":1,"revision":44,"text":""}],"outage":0,"revision":44})"},
            {"372c752",
             R"({"age_us":120000,"change_age_us":200000,"eras":1,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":43,"text":"m-1 m-3=7"},{"name":"router.10.0.0.9","removed":1,"revision":44,"text":""}],"outage":0,"revision":44})"},
        };
        for (const Recorded &it : recorded) {
            const RelayAnswer decoded = decodedAnswer(it);
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.isKnown);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.build, std::uint64_t{44}, decoded.revision);
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.age == base::milliseconds{120} && decoded.held == base::milliseconds{30});
            CPPUNIT_ASSERT_MESSAGE(it.build, !decoded.returnAge);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.build, std::size_t{2}, decoded.objects.size());
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.objects[0].text == "m-1 m-3=7" && !decoded.objects[0].isRemoved && decoded.objects[0].revision == 43);
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.objects[1].name == "router.10.0.0.9" && decoded.objects[1].isRemoved);
            const bool tells = it.text.find("change_age_us") != std::string_view::npos;
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.changeAge == (tells ? std::optional<base::Duration>(base::milliseconds{200}) : std::nullopt));
        }
        CPPUNIT_ASSERT_EQUAL(newest(recorded), encodeRelayAnswer(relayAnswer()));
        const std::vector<Recorded> unknown{
            {"0268692", R"({"age_us":0,"held_us":0,"known":0,"objects":[],"outage":0,"revision":0})"},
            {"d1f7250", R"({"age_us":0,"held_us":0,"known":0,"objects":[],"outage":0,"revision":0})"},
            {"af84c7d", R"({"age_us":0,"held_us":0,"known":0,"objects":[],"outage":0,"revision":0})"},
            {"5c96e71", R"({"age_us":0,"held_us":0,"known":0,"objects":[],"outage":0,"revision":0})"},
            {"372c752", R"({"age_us":0,"held_us":0,"known":0,"objects":[],"outage":0,"revision":0})"},
        };
        for (const Recorded &it : unknown) {
            CPPUNIT_ASSERT_MESSAGE(it.build, !decodedAnswer(it).isKnown);
        }
        CPPUNIT_ASSERT_EQUAL(newest(unknown), encodeRelayAnswer(RelayAnswer{}));
    }

    // Builds that do not tell when the store was back: it was just now.
    void testRelayAnswersAfterAnOutage()
    {
        const std::vector<Recorded> recorded{
            {"0268692",
             R"({"age_us":120000,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":43,"text":"m-1 m-3=7"},{"name":"router.10.0.0.9","removed":1,"revision":44,"text":""}],"outage":1,"revision":44})"},
            {"d1f7250",
             R"({"age_us":120000,"eras":1,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":43,"text":"m-1 m-3=7"},{"name":"router.10.0.0.9","removed":1,"revision":44,"text":""}],"outage":1,"revision":44})"},
            {"af84c7d",
             R"({"age_us":120000,"eras":1,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":43,"text":"m-1 m-3=7"},{"name":"router.10.0.0.9","removed":1,"revision":44,"text":""}],"outage":1,"revision":44})"},
            {"5c96e71",
             R"({"age_us":120000,"change_age_us":200000,"eras":1,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":43,"text":"m-1 m-3=7"},{"name":"router.10.0.0.9","removed":1,"revision":44,"text":""}],"outage":1,"revision":44})"},
            {"372c752",
             R"({"age_us":120000,"change_age_us":200000,"eras":1,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":43,"text":"m-1 m-3=7"},{"name":"router.10.0.0.9","removed":1,"revision":44,"text":""}],"outage":1,"return_age_us":500000,"revision":44})"},
        };
        for (const Recorded &it : recorded) {
            const bool tells = it.text.find("return_age_us") != std::string_view::npos;
            const RelayAnswer decoded = decodedAnswer(it);
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.returnAge == base::Duration(tells ? base::milliseconds{500} : base::milliseconds{0}));
        }
        RelayAnswer answer = relayAnswer();
        answer.returnAge = base::milliseconds{500};
        CPPUNIT_ASSERT_EQUAL(newest(recorded), encodeRelayAnswer(answer));
    }

    // Builds that compare revisions of different eras are not believed after the store came back from a copy.
    void testRelayAnswersOfLaterEras()
    {
        const std::vector<Recorded> recorded{
            {"d1f7250",
             R"({"age_us":120000,"eras":1,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":35184372088875,"text":"m-1"}],"outage":1,"revision":35184372088876})"},
            {"af84c7d",
             R"({"age_us":120000,"eras":1,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":35184372088875,"text":"m-1"}],"outage":1,"revision":35184372088876})"},
            {"5c96e71",
             R"({"age_us":120000,"change_age_us":200000,"eras":1,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":35184372088875,"text":"m-1"}],"outage":1,"revision":35184372088876})"},
            {"372c752",
             R"({"age_us":120000,"change_age_us":200000,"eras":1,"held_us":30000,"known":1,"objects":[{"name":"changing","revision":35184372088875,"text":"m-1"}],"outage":1,"return_age_us":500000,"revision":35184372088876})"},
        };
        for (const Recorded &it : recorded) {
            const RelayAnswer decoded = decodedAnswer(it);
            CPPUNIT_ASSERT_MESSAGE(it.build, decoded.isKnown);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.build, makeVersion(2, 44), decoded.revision);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.build, makeVersion(2, 43), decoded.objects.at(0).revision);
        }
        const Recorded former{"a build without eras", R"({"age_us":0,"held_us":0,"known":1,"objects":[],"outage":0,"revision":35184372088876})"};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, eraOf(35184372088876));
        CPPUNIT_ASSERT(!decodedAnswer(former).isKnown);
    }

    // Until when a reader was told, from the landing after 8c65f07 on. Rows that can't be read are left out; the rest holds.
    void testRelayContact()
    {
        RelayPoll poll{ObjectKind::Coordination, 41, base::milliseconds{800}};
        poll.revisions = {{ObjectKind::Tables, 40}, {ObjectKind::Upstreams, 41}};
        const std::string pollText = R"({"kind":3,"revisions":[[0,40],[2,41]],"since":41,"wait_us":800000})";
        CPPUNIT_ASSERT_EQUAL(pollText, encodeRelayPoll(poll));
        CPPUNIT_ASSERT(decodeRelayPoll(pollText).value().revisions == poll.revisions);
        RelayAnswer refusal;
        refusal.refusal = RelayRefusal::NoStore;
        refusal.held = base::milliseconds{20};
        refusal.toldAges = {{ObjectKind::Coordination, base::milliseconds{350}}};
        const std::string refusalText = R"({"age_us":0,"held_us":20000,"known":0,"objects":[],"outage":0,"refusal":4,"revision":0,"told_age_us":[[3,350000]]})";
        CPPUNIT_ASSERT_EQUAL(refusalText, encodeRelayAnswer(refusal));
        CPPUNIT_ASSERT(decodeRelayAnswer(refusalText).value().toldAges == refusal.toldAges);
        RelayAnswer answer = relayAnswer();
        answer.toldAges = {{ObjectKind::Upstreams, base::milliseconds{3}}, {ObjectKind::Coordination, base::milliseconds{250}}};
        CPPUNIT_ASSERT(decodeRelayAnswer(encodeRelayAnswer(answer)).value().toldAges == answer.toldAges);
        const RelayAnswer odd = decodedAnswer(
            {"odd", R"({"age_us":1,"held_us":1,"known":1,"objects":[],"outage":0,"revision":44,"told_age_us":[1,[2],[2,-1],[2,"x"],[9,5],[2,5,6],{},[3,7]]})"});
        CPPUNIT_ASSERT(odd.isKnown && odd.toldAges.size() == 1 && odd.toldAges.at(ObjectKind::Coordination) == std::chrono::microseconds{7});
        for (const char *text : {R"({"kind":3,"since":41,"wait_us":1,"revisions":7})", R"({"kind":3,"since":41,"wait_us":1,"revisions":{"0":[1]}})"}) {
            CPPUNIT_ASSERT(decodeRelayPoll(text).value().revisions.empty());
        }
    }

    // A later build may add members to polls and answers, parts to a router's object and words for engines that nobody lists.
    void testPartsOfALaterBuild()
    {
        const auto poll = decodeRelayPoll(R"({"kind":3,"since":41,"wait_us":800000,"later":{"a":[1]}})");
        CPPUNIT_ASSERT(poll.has_value() && poll.value().since == 41);
        const RelayAnswer answer = decodedAnswer(
            {"later", R"({"age_us":1,"held_us":1,"known":1,"later":"x","objects":[{"name":"n","text":"t","revision":4,"later":1}],"outage":0,"revision":44})"});
        CPPUNIT_ASSERT(answer.isKnown && answer.objects.size() == 1);
        CPPUNIT_ASSERT(!decodeRelayPoll(R"({"kind":5,"since":41,"wait_us":800000})").has_value()); // a kind that is not passed on

        const auto router = decodeRouter("10.0.0.1:7003 z1 10.0.0.1:7004 later");
        CPPUNIT_ASSERT(router && router->peers == Peers && router->relay.port == 0);

        const ChangingEngines changing = ChangingEngines::decode("m-1 m-2 later=x m-3=7");
        CPPUNIT_ASSERT(changing.engines == changingEngines().engines);
        CPPUNIT_ASSERT(changing.changed.contains(base::UpstreamId("m-3")));

        CPPUNIT_ASSERT(!SoftwareRecord::decode("complete 2 q=1.0 later").completeEra);
        CPPUNIT_ASSERT(SoftwareRecord::decode("complete 2 q=1.0 later").pools.contains(base::PoolName("q")));
    }

private:
    static RelayAnswer decodedAnswer(const Recorded &recorded)
    {
        auto decoded = decodeRelayAnswer(recorded.text);
        CPPUNIT_ASSERT_MESSAGE(recorded.build, decoded.has_value());
        return decoded.value();
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BuildContractTest);

} // namespace carawaylatch::gateway::testing
