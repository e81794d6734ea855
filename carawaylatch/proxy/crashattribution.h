// Attributes crashes of upstreams to parts of prompts, and blocks the parts that cause them.
//
// A prompt can crash each engine that begins to answer it. Sent again and again, by
// callers and by retries, such prompts end one engine after the other. Handles requests
// that have one such part in common and arrive at any router, among sound requests that
// share their other parts.
//
// All requests that break off at an upstream before or right after their first output are
// suspects, with each of their shared parts. A complete response clears the parts of its
// request. A part is blocked after MinCrashes separate crashes without a response between
// them; if several qualify, the one that explains most crashes, and of these the last in
// the prompt. Its crashes no longer count for other parts. Crashes of several upstreams at
// the same moment count as one, because a failure outside the prompts causes those.
//
// A block ends after BlockTime; one more crash renews it for twice as long. Routers exchange
// their state (faultreport.h), which merges to the same result in any order.
//
// A state machine of the traffic thread without I/O. Tables are bounded; when they are full,
// evidence is lost, and a block comes later.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/dialect.h"
#include "carawaylatch/proxy/faultreport.h"

namespace carawaylatch::proxy
{

// A request that broke off at an upstream.
struct BrokenRequest
{
    base::ModelId model;
    std::vector<PromptPart> parts;
    base::UpstreamId upstream;
    std::uint64_t startTimeMs = 0; // of the upstream
    base::TimePoint at;
};

// A part was blocked or cleared, for logs.
struct PartVerdict
{
    std::uint64_t id = 0;
    bool isBlocked = false;
    std::size_t crashes = 0; // for which it was blocked
    base::Duration blockedFor{};
};

class CrashAttribution
{
public:
    static constexpr std::size_t MinCrashes = 3;
    static constexpr base::Duration BlockTime = base::seconds{60}; // doubles up to MaxBlockTime
    static constexpr base::Duration MaxBlockTime = base::minutes{10};
    static constexpr base::Duration EvidenceTime = base::seconds{60}; // crashes that blocked nothing are forgotten after it
    // An upstream that sends bytes in this time after a break has not crashed.
    static constexpr base::Duration ConfirmationDelay = base::milliseconds{200};
    // Bytes sent before a crash may be read this long after the first connection was seen to end.
    static constexpr base::Duration LateBytesTime = base::milliseconds{50};
    static constexpr base::Duration SeparateCrashTime = base::milliseconds{100}; // closer crashes count as one
    // A request whose output began longer ago did not cause the crash.
    static constexpr base::Duration FirstOutputTime = base::milliseconds{300};
    static constexpr std::size_t MaxParts = 1024;
    static constexpr std::size_t MaxUnconfirmed = 256;
    static constexpr std::size_t MaxAnsweredParts = 16'384;

    // True if the upstream, in the same life, has sent bytes after this time.
    using HasAnsweredSince = std::function<bool(const BrokenRequest &request, base::TimePoint since)>;

    // A response to a request with these parts was completed.
    void onAnswered(const base::ModelId &model, std::span<const PromptPart> parts, base::TimePoint now);
    void onBrokenOff(BrokenRequest request);
    // Confirms crashes that are due, and removes what is outdated.
    void advance(base::TimePoint now, const HasAnsweredSince &hasAnsweredSince);
    // Merges another router's report.
    void apply(const FaultReport &report, base::TimePoint now);

    // The time left of the longest block of a shared part; nothing if none is blocked.
    [[nodiscard]] std::optional<base::Duration> blockedFor(const base::ModelId &model, std::span<const PromptPart> parts, base::TimePoint now) const;
    // Number of parts that are blocked.
    [[nodiscard]] std::size_t blockedParts(base::TimePoint now) const;
    // States that changed since the last call; those beyond MaxReportedParts are left for the next call.
    [[nodiscard]] FaultReport takeChanges(base::TimePoint now);
    // All states, up to MaxReportedParts.
    [[nodiscard]] FaultReport fullReport(base::TimePoint now) const;
    // Verdicts since the last call.
    [[nodiscard]] std::vector<PartVerdict> takeVerdicts();

private:
    struct Crash
    {
        std::uint64_t id = 0;
        base::TimePoint at;
    };
    // Invariant: a crash is listed at one blocked part at most, and then at no other part.
    struct Part
    {
        std::uint64_t id = 0;
        std::uint32_t generation = 0;
        std::uint8_t blocks = 0;
        base::TimePoint blockedUntil;
        std::uint8_t depth = 0;
        std::vector<Crash> crashes; // ordered by time; at most MaxCrashesPerPart
        base::TimePoint changedAt;
        bool isReported = true;

        [[nodiscard]] bool isBlocked(base::TimePoint now) const;
        // Crashes that are at least SeparateCrashTime apart.
        [[nodiscard]] std::size_t separateCrashes() const;
        [[nodiscard]] bool isOutdated(base::TimePoint now) const;
    };
    using Parts = std::unordered_map<std::uint64_t, Part>;

    // `model` is the hash of the model's id.
    [[nodiscard]] static std::uint64_t partKey(std::uint64_t model, const PromptPart &part);
    [[nodiscard]] static PartState stateOf(std::uint64_t key, const Part &part, base::TimePoint now);
    void confirm(const BrokenRequest &request, base::TimePoint now);
    // Returns nullptr if the table is full.
    Part *findOrAdd(std::uint64_t key, std::uint64_t id, base::TimePoint now);
    void merge(const PartState &state, base::TimePoint now);
    // Returns false if the crash was known, is explained by a blocked part or is older than all that are kept.
    bool addCrash(Part &part, const Crash &crash, base::TimePoint now) const;
    // The part was cleared: its blocks end, and states of earlier generations no longer count.
    void unblock(Part &part, std::uint32_t generation, base::TimePoint now);
    void clearAnswered(std::uint64_t key, Part &part, base::TimePoint now);
    // Blocks the parts that qualify, the most likely cause first.
    void blockCauses(base::TimePoint now);
    [[nodiscard]] bool qualifies(const Part &part, base::TimePoint now) const;
    [[nodiscard]] bool isLikelierCause(std::uint64_t key, const Part &part, std::uint64_t otherKey, const Part &other) const;
    void block(Part &part, base::TimePoint until, base::TimePoint now);
    void removeOutdated(base::TimePoint now);
    static void markChanged(Part &part, base::TimePoint now);

    Parts m_parts;
    std::unordered_map<std::uint64_t, base::TimePoint> m_answeredAt; // by key of the part; all are dropped at MaxAnsweredParts
    std::deque<BrokenRequest> m_unconfirmed; // oldest first
    std::vector<PartVerdict> m_verdicts; // at most MaxParts
};

} // namespace carawaylatch::proxy
