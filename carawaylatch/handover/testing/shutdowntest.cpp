// Tests of graceful shutdown. Runs all event sequences up to a depth and checks the
// invariants after each event: requests are refused only after the load balancer's
// lag, no stream is aborted without a second signal, and peers are notified before
// the exit.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/handover/shutdown.h"
#include "testing/seed.h"

namespace carawaylatch::handover::testing
{

using base::TimePoint;

namespace
{

constexpr ShutdownOptions Options{base::seconds{2}, base::seconds{2}, base::milliseconds{500}};

constexpr std::size_t EventCount = std::size(AllShutdownEvents);
constexpr std::size_t ChoiceCount = EventCount * 2 * 2; // with or without open streams, with or without time passing

// Signals sent and actions emitted so far.
struct Observed
{
    std::vector<ShutdownAction> actions;
    int signals = 0;

    [[nodiscard]] bool has(ShutdownAction action) const
    {
        return std::find(actions.begin(), actions.end(), action) != actions.end();
    }
};

void check(bool isTrue, const std::string &path, const char *text)
{
    CPPUNIT_ASSERT_MESSAGE(std::string(text) + " after " + path, isTrue);
}

// Checks the actions that one event caused.
void checkActions(Observed &observed, const std::vector<ShutdownAction> &actions, std::size_t streams, TimePoint now, TimePoint notReadySince,
                  const std::string &path)
{
    for (const auto it : actions) {
        check(!observed.has(it), path, "an action was emitted twice");
        observed.actions.push_back(it);
        switch (it) {
        case ShutdownAction::BecomeNotReady:
            check(observed.signals == 1, path, "the shutdown started without a signal");
            break;
        case ShutdownAction::RefuseRequests:
            check(observed.has(ShutdownAction::BecomeNotReady), path, "requests refused while ready");
            check(observed.signals > 1 || now >= notReadySince + Options.drainLag, path, "requests refused within the load balancer's lag");
            break;
        case ShutdownAction::HandOver:
            check(observed.has(ShutdownAction::RefuseRequests), path, "state handed over while requests are accepted");
            break;
        case ShutdownAction::AbortStreams:
            check(observed.signals > 1, path, "streams aborted without a second signal");
            break;
        case ShutdownAction::Depart:
            check(streams == 0 && observed.has(ShutdownAction::HandOver), path, "departed with open streams or before the hand-over");
            break;
        case ShutdownAction::Exit:
            check(observed.has(ShutdownAction::Depart), path, "exit without notifying peers");
            break;
        }
    }
}

} // namespace

class ShutdownTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShutdownTest);
    CPPUNIT_TEST(testAllEventSequences);
    CPPUNIT_TEST(testOpenStreamsHaveNoTimeout);
    CPPUNIT_TEST(testSecondSignalAbortsStreams);
    CPPUNIT_TEST_SUITE_END();

public:
    // All sequences of four events, then random ones of nine.
    void testAllEventSequences()
    {
        constexpr std::size_t FourEventSequences = ChoiceCount * ChoiceCount * ChoiceCount * ChoiceCount;
        for (std::size_t n = 0; n < FourEventSequences; ++n) {
            runSequence(n, 4);
        }
        base::Random random(::carawaylatch::testing::seed());
        for (int i = 0; i < 50'000; ++i) {
            runSequence(random.next(), 9);
        }
    }

    void testOpenStreamsHaveNoTimeout()
    {
        Shutdown shutdown(Options);
        TimePoint now{base::hours{1}};
        shutdown.onEvent(ShutdownEvent::Signal, 1, now);
        for (int i = 0; i < 10'000; ++i) {
            now += base::seconds{1};
            shutdown.onEvent(ShutdownEvent::Tick, 1, now);
        }
        CPPUNIT_ASSERT(shutdown.step() == ShutdownStep::Finishing && !shutdown.nextDeadline());
        shutdown.onEvent(ShutdownEvent::StreamsChanged, 0, now);
        CPPUNIT_ASSERT(shutdown.step() == ShutdownStep::Departing);
        shutdown.onEvent(ShutdownEvent::Departed, 0, now);
        CPPUNIT_ASSERT(shutdown.step() == ShutdownStep::Exited);
    }

    void testSecondSignalAbortsStreams()
    {
        Shutdown shutdown(Options);
        const TimePoint now{base::hours{1}};
        shutdown.onEvent(ShutdownEvent::Signal, 4, now);
        shutdown.onEvent(ShutdownEvent::Signal, 4, now);
        const auto actions = shutdown.takeActions();
        CPPUNIT_ASSERT(std::find(actions.begin(), actions.end(), ShutdownAction::AbortStreams) != actions.end());
        CPPUNIT_ASSERT(shutdown.step() == ShutdownStep::Finishing);
    }

private:
    static void runSequence(std::size_t n, int depth)
    {
        Shutdown shutdown(Options);
        Observed observed;
        TimePoint now{base::hours{1}};
        TimePoint notReadySince;
        std::string path;
        for (int i = 0; i < depth; ++i, n /= ChoiceCount) {
            const auto choice = n % ChoiceCount;
            const auto event = AllShutdownEvents[choice % EventCount];
            const std::size_t streams = choice / EventCount % 2 * 3;
            now += choice / EventCount / 2 == 0 ? base::milliseconds{0} : base::milliseconds{2'100};
            observed.signals += event == ShutdownEvent::Signal ? 1 : 0;
            path += std::to_string(choice) + ' ';
            shutdown.onEvent(event, streams, now);
            if (notReadySince == TimePoint{} && shutdown.step() != ShutdownStep::Running) {
                notReadySince = now;
            }
            checkActions(observed, shutdown.takeActions(), streams, now, notReadySince, path);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownTest);

} // namespace carawaylatch::handover::testing
