// An engine connection for tests: each run follows a script.
//
// A script is taken by the upstream's name; a run of an upstream without a script
// answers the whole text. Runs block where the script says so, until the test
// releases them or they are cancelled.
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
    SilentReturn, // the run returns without a last event
    DuplicateTokens, // every token twice
    Gap, // leaves one token out
    WrongCount,
    OtherAttempt, // another attempt's answer
    OldIncarnation,
    OldVersion,
    OtherSalt,
    Hang, // no answer until cancelled
    HangMidStream, // after two tokens, until cancelled
    AnswerAfterCancel, // hangs, then answers all the same when cancelled
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
    // The next runs on this upstream follow these faults, one each.
    void script(const std::string &upstream, std::deque<Fault> faults);
    void run(const EngineRequest &request, EngineListener &listener) override;
    void cancel(base::AttemptId attempt) override;

    [[nodiscard]] std::vector<EngineRequest> requests() const;
    // Waits until so many runs hang.
    void awaitHanging(std::size_t n);
    [[nodiscard]] bool wasCancelled(base::AttemptId attempt) const;

private:
    Fault nextFault(const EngineRequest &request);
    void hang(base::AttemptId attempt);
    static void answer(const EngineRequest &request, EngineListener &listener, Fault fault);

    mutable std::mutex m_mutex; // guards all below
    std::condition_variable m_changed;
    std::map<std::string, std::deque<Fault>> m_scripts;
    std::vector<EngineRequest> m_requests; // prompts and texts are not kept
    std::set<base::AttemptId> m_cancelled;
    std::size_t m_hanging = 0;
};

// Places on upstreams e1, e2, ... in order, past those that are excluded.
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

// A caller that checks the order of calls and may leave after some tokens.
class FakeCaller : public CallerSink
{
public:
    CallerState begin(const AttemptPlan &plan) override;
    CallerState token(std::uint64_t index, std::string_view text) override;
    void finish(const DoneEvent &done) override;
    void abort(const base::Error &error) override;
    CallerState state() const override;

    std::optional<std::uint64_t> leavesAfter; // tokens
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
