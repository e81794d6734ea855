// Fakes of an engine connection, a placer and a caller for tests.
//
// Each run of the fake engine takes the next fault from the script of its upstream;
// without one it returns the whole answer. Runs with a hanging fault block until
// they are cancelled.
#pragma once

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "carawaylatch/relay/engineconnection.h"
#include "carawaylatch/relay/relaydriver.h"

namespace carawaylatch::relay::testing
{

inline constexpr std::uint64_t FakeTokens = 5;
inline constexpr std::uint64_t FakeVersion = 7;

enum class Fault {
    None,
    NotSent,
    Refused,
    LostBeforeHead,
    LostMidStream, // after two tokens of this run
    MalformedMidStream,
    SilentReturn, // the run returns without a final event
    DuplicateTokens, // every token twice
    Gap, // one token is missing
    WrongCount,
    OtherAttempt, // answer of another attempt
    OldIncarnation,
    OldVersion,
    OtherSalt,
    Hang, // no answer until cancelled
    HangMidStream, // after two tokens, until cancelled
    AnswerAfterCancel, // hangs, then answers despite being cancelled
};
inline constexpr std::array AllFaults = {
    Fault::None,         Fault::NotSent,         Fault::Refused, Fault::LostBeforeHead, Fault::LostMidStream,    Fault::MalformedMidStream,
    Fault::SilentReturn, Fault::DuplicateTokens, Fault::Gap,     Fault::WrongCount,     Fault::OtherAttempt,     Fault::OldIncarnation,
    Fault::OldVersion,   Fault::OtherSalt,       Fault::Hang,    Fault::HangMidStream,  Fault::AnswerAfterCancel};

// Text of the whole answer.
[[nodiscard]] std::string fakeAnswer();

class FakeEngine : public EngineConnection
{
public:
    // Sets the faults of the next runs on this upstream, one per run.
    void script(const std::string &upstream, std::deque<Fault> faults);
    void run(const EngineRequest &request, EngineListener &listener) override;
    void cancel(base::AttemptId attempt) override;

    [[nodiscard]] std::vector<EngineRequest> requests() const;
    // Waits until n runs hang.
    void awaitHanging(std::size_t n);
    [[nodiscard]] bool wasCancelled(base::AttemptId attempt) const;

private:
    Fault nextFault(const EngineRequest &request);
    void hang(base::AttemptId attempt);
    static void answer(const EngineRequest &request, EngineListener &listener, Fault fault);

    mutable std::mutex m_mutex; // guards all members below
    std::condition_variable m_changed;
    std::map<std::string, std::deque<Fault>> m_scripts;
    std::vector<EngineRequest> m_requests; // prompts and texts are not kept
    std::set<base::AttemptId> m_cancelled;
    std::size_t m_hanging = 0;
};

// Returns the first of the upstreams e1, e2, ... that is not excluded.
class FakePlacer : public Placer
{
public:
    explicit FakePlacer(std::size_t upstreams);
    base::Result<AttemptPlan> place(const PlacementRequest &request) override;
    void firstToken(const AttemptPlan &plan, base::Duration sinceStart) override;
    void ended(const AttemptOutcome &outcome) override;

    std::vector<AttemptPurpose> placed;
    std::vector<AttemptOutcome> outcomes;
    std::uint32_t firstTokens = 0;

private:
    const std::size_t m_upstreams;
};

// A caller that checks the order of calls and may disconnect after some tokens.
class FakeCaller : public CallerSink
{
public:
    CallerState begin(const AttemptPlan &plan) override;
    CallerState token(std::uint64_t index, std::string_view text) override;
    void finish(const DoneEvent &done) override;
    void abort(const base::Error &error) override;
    CallerState state() const override;

    std::optional<std::uint64_t> leavesAfter; // disconnects after this many tokens
    std::function<void()> onFirstToken; // called once, from token(); may block
    std::atomic<bool> isGone = false;
    std::string text;
    std::uint64_t tokens = 0;
    std::optional<DoneEvent> done;
    std::optional<base::Error> error;
    std::string violation; // empty if the calls kept their order

private:
    class Call;
    std::atomic<bool> m_isInCall = false;
    void require(bool holds, const char *rule);
    bool m_hasBegun = false;
};

} // namespace carawaylatch::relay::testing
