// Reference model that checks the actions of a StreamAssembler after each event.
//
// The model tracks which attempts echoed their plan since their last run started,
// which tokens the caller received and whether the stream ended. After each event
// it checks the actions against the guarantees of StreamAssembler.
#pragma once

#include <map>
#include <string>

#include "carawaylatch/relay/streamassembler.h"

namespace carawaylatch::relay::testing
{

inline constexpr std::uint64_t AnswerTokens = 2;
inline constexpr base::TimePoint Start = base::TimePoint{base::hours{1}};
inline constexpr base::TimePoint FirstTokenDeadline = Start + base::seconds{10};
inline constexpr base::TimePoint Deadline = Start + base::seconds{60};

// Returns a plan for upstream `u`; each attempt runs on the upstream of its own number.
[[nodiscard]] AttemptPlan planOn(std::uint64_t u, std::uint64_t version = 7);
// Returns the echo that matches a plan.
[[nodiscard]] EngineHead echoOf(base::AttemptId attempt, const AttemptPlan &plan);
[[nodiscard]] std::string tokenText(std::uint64_t index);
[[nodiscard]] StreamOptions options(config::Idempotency idempotency = config::Idempotency::Idempotent);

class StreamModel
{
public:
    explicit StreamModel(const StreamOptions &options = testing::options());

    // Each function applies one event and checks the resulting actions.
    void start();
    void placed(std::uint64_t id, AttemptPurpose purpose, std::uint64_t version);
    // The placement returns the upstream of attempt 1 again, as attempt 50.
    void offerExcludedUpstream();
    // The placement returns an upstream with weights version 8, as attempt 50.
    void offerOtherWeights();
    void nothingOffered();
    void notPlaced(AttemptPurpose purpose);
    void sent(std::uint64_t id);
    void echo(std::uint64_t id, const EngineHead &echo);
    void head(std::uint64_t id); // with the matching echo
    void token(std::uint64_t id, std::uint64_t index);
    // A token `ahead` positions after the next one, with `padding` extra bytes.
    void tokenAhead(std::uint64_t id, std::uint64_t ahead, std::size_t padding);
    void done(std::uint64_t id, std::uint64_t count);
    void broken(std::uint64_t id, BreakKind kind);
    void callerGone();
    void tickAt(base::TimePoint time);
    void idle();
    void hedgeDue();
    // Completes the request: every placement and run succeeds from here on.
    void finishWithHealthyEngine();

    [[nodiscard]] const std::string &violation() const; // empty if none
    [[nodiscard]] const std::string &lastActions() const; // such as "cancel:1 place:fresh"
    [[nodiscard]] bool isOver() const;
    [[nodiscard]] bool isWhole() const;
    [[nodiscard]] const std::optional<base::Error> &error() const;
    [[nodiscard]] const StreamAssembler &assembler() const;

private:
    struct Run
    {
        AttemptPlan plan;
        bool isVerified = false; // echoed its plan since the run started
        bool isCancelled = false;
        std::uint64_t next = 0; // index of the next token that a healthy engine would send
    };

    // Passes one event to the assembler and checks the actions.
    template <typename... Params, typename... Args>
    void applyEvent(void (StreamAssembler::*event)(Params...), const Args &...args)
    {
        Actions out;
        (m_assembler.*event)(args..., m_now, out);
        check(out);
    }
    [[nodiscard]] AttemptPurpose needed() const;
    void place(std::uint64_t id, const AttemptPlan &plan, AttemptPurpose purpose);
    void check(const Actions &actions);
    void checkOne(const Action &action);
    void require(bool holds, const char *rule);

    StreamAssembler m_assembler;
    base::TimePoint m_now = Start;
    std::map<std::uint64_t, Run> m_runs;
    std::uint64_t m_lastId = 100; // of attempts that finishWithHealthyEngine() starts
    std::optional<AttemptPurpose> m_requestedPlacement;
    bool m_isHedgeRequested = false;
    std::optional<base::WeightsVersion> m_version;
    bool m_hasBegun = false;
    std::uint64_t m_received = 0;
    std::optional<std::uint64_t> m_finished;
    std::optional<base::Error> m_error;
    std::string m_lastActions;
    std::string m_violation;
};

} // namespace carawaylatch::relay::testing
