// Tests the encoding of all message kinds, the decoding of corrupted bytes, message
// authentication and replay protection.
#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "carawaylatch/peer/authenticatedcodec.h"
#include "carawaylatch/peer/codec.h"
#include "carawaylatch/peer/testing/samplemessages.h"
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
    CPPUNIT_TEST(testEveryKindRoundTrips);
    CPPUNIT_TEST(testFullConfigurationRoundTrips);
    CPPUNIT_TEST(testCorruptedBytesAreRejectedOrDecode);
    CPPUNIT_TEST(testMessageAuthenticator);
    CPPUNIT_TEST(testReplayFilterMatchesReferenceSet);
    CPPUNIT_TEST(testReplayFilterIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEveryKindRoundTrips()
    {
        SampleMessages samples(::carawaylatch::testing::seed());
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

    void testFullConfigurationRoundTrips()
    {
        config::RowSet rows;
        rows.revision = {5};
        rows.put({{"pool", "p"}, {3}, {{"model", "m", 0}, {"unknown", "kept", 0}}, 0});
        const config::ConfigUpdate update{{}, std::make_shared<const config::RowSet>(rows)};
        const auto decoded = decodeEnvelope(encodeEnvelope({Sender, 1, update}));
        CPPUNIT_ASSERT(*std::get<config::ConfigUpdate>(decoded.value().message).snapshot == rows);
    }

    void testCorruptedBytesAreRejectedOrDecode()
    {
        base::Random random(::carawaylatch::testing::seed());
        SampleMessages samples(::carawaylatch::testing::seed());
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

    void testMessageAuthenticator()
    {
        const MessageAuthenticator authenticator{std::string(Key)};
        const MessageAuthenticator other("another key of 24 bytes!");
        const auto signedBytes = authenticator.sign("message");
        CPPUNIT_ASSERT_EQUAL(std::string("message"), std::string(authenticator.verify(signedBytes).value()));
        CPPUNIT_ASSERT(!other.verify(signedBytes) && !authenticator.verify("") && !authenticator.verify("message"));
        for (std::size_t i = 0; i < signedBytes.size(); ++i) {
            auto corrupted = signedBytes;
            corrupted[i] ^= 1;
            CPPUNIT_ASSERT(!authenticator.verify(corrupted));
        }
    }

    // Compares the window with a set of all numbers admitted before.
    void testReplayFilterMatchesReferenceSet()
    {
        base::Random random(::carawaylatch::testing::seed());
        ReplayFilter replayFilter;
        std::set<std::uint64_t> admitted;
        std::uint64_t greatest = 0;
        for (int i = 0; i < 20'000; ++i) {
            const auto distance = random.below(ReplayFilter::WindowBits + 200);
            const auto sequence = std::max<std::uint64_t>(1, greatest + random.below(10) == 0 ? 1 : greatest + 3 - std::min(greatest, distance));
            const bool isTooOld = sequence + ReplayFilter::WindowBits <= greatest;
            const bool expected = !isTooOld && !admitted.contains(sequence);
            CPPUNIT_ASSERT_EQUAL(expected, replayFilter.admit(Sender, sequence));
            if (expected) {
                admitted.insert(sequence);
                greatest = std::max(greatest, sequence);
            }
        }
        CPPUNIT_ASSERT_MESSAGE("another incarnation has its own window", replayFilter.admit({Sender.id, {10}}, 1));
        CPPUNIT_ASSERT(!replayFilter.admit(Sender, 0));
    }

    void testReplayFilterIsBounded()
    {
        ReplayFilter replayFilter;
        for (std::uint64_t i = 0; i < ReplayFilter::MaxSenders + 10; ++i) {
            CPPUNIT_ASSERT(replayFilter.admit({base::RouterId("r"), {i + 1}}, 5));
        }
        CPPUNIT_ASSERT_MESSAGE("the most recently used window is kept", !replayFilter.admit({base::RouterId("r"), {ReplayFilter::MaxSenders}}, 5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

} // namespace carawaylatch::peer::testing
