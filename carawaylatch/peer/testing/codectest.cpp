// Encoding of all kinds of message, damaged bytes, seals and replays.
#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "carawaylatch/peer/codec.h"
#include "carawaylatch/peer/gate.h"
#include "carawaylatch/peer/testing/samples.h"
#include "testing/seed.h"

namespace carawaylatch::peer::testing
{

namespace
{

const PeerIdentity Sender{base::RouterId("a"), {9}};
constexpr std::string_view Key = "0123456789abcdef";

} // namespace

class CodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CodecTest);
    CPPUNIT_TEST(testEveryKindSurvives);
    CPPUNIT_TEST(testWholeConfigurationSurvives);
    CPPUNIT_TEST(testDamagedBytesAreRefusedOrDecode);
    CPPUNIT_TEST(testSeal);
    CPPUNIT_TEST(testReplayGuardAgainstSet);
    CPPUNIT_TEST(testReplayGuardIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEveryKindSurvives()
    {
        Samples samples(::carawaylatch::testing::seed());
        std::set<std::string_view> names;
        for (int round = 0; round < 50; ++round) {
            const auto messages = samples.all();
            CPPUNIT_ASSERT_EQUAL(std::variant_size_v<PeerMessage>, messages.size());
            for (std::size_t i = 0; i < messages.size(); ++i) {
                const PeerEnvelope envelope{Sender, 77, messages[i]};
                const auto bytes = encodeEnvelope(envelope);
                const auto decoded = decodeEnvelope(bytes);
                CPPUNIT_ASSERT_MESSAGE(std::string(messageKindName(messages[i])), decoded.has_value());
                CPPUNIT_ASSERT(decoded.value().sender == Sender && decoded.value().sequence == 77);
                CPPUNIT_ASSERT_EQUAL(i, decoded.value().message.index());
                CPPUNIT_ASSERT(encodeEnvelope(decoded.value()) == bytes);
                names.insert(messageKindName(messages[i]));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<PeerMessage>, names.size());
    }

    void testWholeConfigurationSurvives()
    {
        config::RowSet rows;
        rows.revision = {5};
        rows.put({{"pool", "p"}, {3}, {{"model", "m", 0}, {"unknown", "kept", 0}}, 0});
        const config::ConfigUpdate update{{}, std::make_shared<const config::RowSet>(rows)};
        const auto decoded = decodeEnvelope(encodeEnvelope({Sender, 1, update}));
        CPPUNIT_ASSERT(*std::get<config::ConfigUpdate>(decoded.value().message).snapshot == rows);
    }

    void testDamagedBytesAreRefusedOrDecode()
    {
        base::Random random(::carawaylatch::testing::seed());
        Samples samples(::carawaylatch::testing::seed());
        int refused = 0;
        for (int round = 0; round < 300; ++round) {
            for (const auto &it : samples.all()) {
                auto bytes = encodeEnvelope({Sender, 1, it});
                for (auto n = random.below(4) + 1; n > 0; --n) {
                    switch (random.below(3)) {
                    case 0:
                        bytes[random.below(bytes.size())] = static_cast<char>(random.next());
                        break;
                    case 1:
                        bytes.resize(random.below(bytes.size()) + 1);
                        break;
                    default:
                        bytes.insert(random.below(bytes.size()), 1, static_cast<char>(random.next()));
                        break;
                    }
                }
                refused += decodeEnvelope(bytes) ? 0 : 1;
                (void)decodeSnapshot(bytes);
            }
        }
        CPPUNIT_ASSERT(refused > 1'000);
    }

    void testSeal()
    {
        const Seal seal{std::string(Key)};
        const Seal other("another key of 24 bytes!");
        const auto sealed = seal.close("message");
        CPPUNIT_ASSERT_EQUAL(std::string("message"), std::string(seal.open(sealed).value()));
        CPPUNIT_ASSERT(!other.open(sealed) && !seal.open("") && !seal.open("message"));
        for (std::size_t i = 0; i < sealed.size(); ++i) {
            auto damaged = sealed;
            damaged[i] ^= 1;
            CPPUNIT_ASSERT(!seal.open(damaged));
        }
    }

    // The window against a set of all numbers admitted before.
    void testReplayGuardAgainstSet()
    {
        base::Random random(::carawaylatch::testing::seed());
        ReplayGuard guard;
        std::set<std::uint64_t> admitted;
        std::uint64_t greatest = 0;
        for (int i = 0; i < 20'000; ++i) {
            const auto back = random.below(ReplayGuard::WindowBits + 200);
            const auto sequence = std::max<std::uint64_t>(1, greatest + random.below(10) == 0 ? 1 : greatest + 3 - std::min(greatest, back));
            const bool isTooOld = sequence + ReplayGuard::WindowBits <= greatest;
            const bool expected = !isTooOld && !admitted.contains(sequence);
            CPPUNIT_ASSERT_EQUAL(expected, guard.admit(Sender, sequence));
            if (expected) {
                admitted.insert(sequence);
                greatest = std::max(greatest, sequence);
            }
        }
        CPPUNIT_ASSERT_MESSAGE("another life counts anew", guard.admit({Sender.id, {10}}, 1));
        CPPUNIT_ASSERT(!guard.admit(Sender, 0));
    }

    void testReplayGuardIsBounded()
    {
        ReplayGuard guard;
        for (std::uint64_t i = 0; i < ReplayGuard::MaxSenders + 10; ++i) {
            CPPUNIT_ASSERT(guard.admit({base::RouterId("r"), {i + 1}}, 5));
        }
        CPPUNIT_ASSERT_MESSAGE("the newest is held", !guard.admit({base::RouterId("r"), {ReplayGuard::MaxSenders}}, 5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

} // namespace carawaylatch::peer::testing
