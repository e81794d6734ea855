// Attributes crashes of upstreams to parts of prompts or to whole requests, and blocks those that cause them.
//
// A prompt or a request can crash each upstream that begins to answer it. Sent again and again,
// by callers and by retries, it ends one upstream after the other. Handles requests that have a
// part of their prompts in common, or all that decides how they run, and arrive at any router, among
// sound requests that share the rest.
//
// The subjects of a request are each shared part of its prompt, and its fingerprint. All requests
// that break off at an upstream before or right after their first output are suspects, with each of
// their subjects. A complete response clears the subjects of its request. A subject is blocked after
// MinCrashes separate crashes without a response between them; if several qualify, the one that explains
// most crashes, and of these the last in the prompt, with the whole request after all parts.
// The crashes of a blocked part no longer count for others. Those of a blocked request count for
// another subject only once that has a crash beyond them: the wrong one of two requests may have been
// blocked. Its block ends when the other one is blocked for the same crashes and more. Crashes of
// several upstreams at the same moment count as one, because a failure outside the requests
// causes those.
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

// What crashes may be attributed to.
struct CrashSubjects
{
    const base::ModelId &model;
    std::span<const PromptPart> parts; // of the prompt; the last one is not shared
    std::uint64_t fingerprint = 0; // of the whole request; zero: unknown
};

// A request that broke off at an upstream.
struct BrokenRequest
{
    base::ModelId model;
    std::vector<PromptPart> parts;
    std::uint64_t fingerprint = 0;
    base::UpstreamId upstream;
    std::uint64_t startTimeMs = 0; // of the upstream
    base::TimePoint at;
};

// A subject was blocked or cleared, for logs.
struct CrashVerdict
{
    std::uint64_t id = 0; // of the part, or the fingerprint
    bool isRequest = false;
    bool isBlocked = false;
    std::size_t crashes = 0; // for which it was blocked
    base::Duration blockedFor{};
};

// Why a request may not be sent.
struct CrashBlock
{
    base::Duration left{}; // of the longest block
    bool isRequest = false; // of the request itself, not of a part
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
    // The same for a whole request: a retry can reach the next upstream, and crash it, this soon.
    static constexpr base::Duration SeparateRequestCrashTime = base::milliseconds{20};
    // A request whose output began longer ago did not cause the crash.
    static constexpr base::Duration FirstOutputTime = base::milliseconds{300};
    static constexpr std::size_t MaxSubjects = 1024;
    static constexpr std::size_t MaxUnconfirmed = 256;
    static constexpr std::size_t MaxAnsweredSubjects = 16'384;

    // True if the upstream, in the same life, has sent bytes after this time.
    using HasAnsweredSince = std::function<bool(const BrokenRequest &request, base::TimePoint since)>;

    // A response to such a request was completed.
    void onAnswered(const CrashSubjects &request, base::TimePoint now);
    void onBrokenOff(BrokenRequest request);
    // Confirms crashes that are due, and removes what is outdated.
    void advance(base::TimePoint now, const HasAnsweredSince &hasAnsweredSince);
    // Merges another router's report.
    void apply(const FaultReport &report, base::TimePoint now);

    // The longest block of the request's subjects; nothing if none is blocked.
    [[nodiscard]] std::optional<CrashBlock> blockOf(const CrashSubjects &request, base::TimePoint now) const;
    // True if an upstream has crashed under such a request, alike as a whole, since one was answered.
    [[nodiscard]] bool isSuspect(const CrashSubjects &request) const;
    // Number of parts or of requests that are blocked.
    [[nodiscard]] std::size_t blockedParts(base::TimePoint now) const;
    [[nodiscard]] std::size_t blockedRequests(base::TimePoint now) const;
    // States that changed since the last call; those beyond MaxReportedParts are left for the next call.
    [[nodiscard]] FaultReport takeChanges(base::TimePoint now);
    // All states, up to MaxReportedParts.
    [[nodiscard]] FaultReport fullReport(base::TimePoint now) const;
    // Verdicts since the last call.
    [[nodiscard]] std::vector<CrashVerdict> takeVerdicts();

private:
    struct Crash
    {
        std::uint64_t id = 0;
        base::TimePoint at;
    };
    // Invariant: a crash that is listed at a blocked part is listed at no other subject.
    struct Subject
    {
        std::uint64_t id = 0; // of the part, or the fingerprint
        std::uint32_t generation = 0;
        std::uint8_t blocks = 0;
        base::TimePoint blockedUntil;
        std::uint8_t depth = 0; // in the prompt, or RequestDepth
        std::vector<Crash> crashes; // ordered by time; at most MaxCrashesPerPart
        base::TimePoint changedAt;
        bool isReported = true;

        [[nodiscard]] bool isRequest() const;
        [[nodiscard]] bool isBlocked(base::TimePoint now) const;
        [[nodiscard]] bool lists(const Crash &crash) const;
        // Crashes that are far enough apart.
        [[nodiscard]] std::size_t separateCrashes() const;
        [[nodiscard]] bool isOutdated(base::TimePoint now) const;
    };
    using Subjects = std::unordered_map<std::uint64_t, Subject>;

    static constexpr std::uint8_t RequestDepth = 255; // the whole request; parts have lower depths

    // Calls `visit(key, id, depth)` for each subject of a request.
    template <typename Visit>
    static void forEachSubject(const CrashSubjects &request, const Visit &visit);
    [[nodiscard]] static PartState stateOf(std::uint64_t key, const Subject &subject, base::TimePoint now);
    void confirm(const BrokenRequest &request, base::TimePoint now);
    // Returns nullptr if the table is full.
    Subject *findOrAdd(std::uint64_t key, std::uint64_t id, base::TimePoint now);
    void merge(const PartState &state, base::TimePoint now);
    // Returns false if the crash was known, is explained by a blocked part or is older than all that are kept.
    bool addCrash(Subject &subject, const Crash &crash, base::TimePoint now) const;
    // The subject was cleared: its blocks end, and states of earlier generations no longer count.
    void unblock(Subject &subject, std::uint32_t generation, base::TimePoint now);
    void clearAnswered(std::uint64_t key, Subject &subject, base::TimePoint now);
    // Blocks the subjects that qualify, the most likely cause first.
    void blockCauses(base::TimePoint now);
    [[nodiscard]] bool qualifies(const Subject &subject, base::TimePoint now) const;
    [[nodiscard]] bool hasCrashBeyondRequests(const Subject &subject) const;
    void endDisprovedBlock(Subject &blocked, const Subject &cause, base::TimePoint now);
    [[nodiscard]] bool isLikelierCause(std::uint64_t key, const Subject &subject, std::uint64_t otherKey, const Subject &other) const;
    void block(Subject &subject, base::TimePoint until, base::TimePoint now);
    [[nodiscard]] std::size_t countBlocked(bool isRequest, base::TimePoint now) const;
    void removeOutdated(base::TimePoint now);
    static void markChanged(Subject &subject, base::TimePoint now);

    Subjects m_subjects;
    std::unordered_map<std::uint64_t, base::TimePoint> m_answeredAt; // by key of the subject; all are dropped at MaxAnsweredSubjects
    std::deque<BrokenRequest> m_unconfirmed; // oldest first
    std::vector<CrashVerdict> m_verdicts; // at most MaxSubjects
};

} // namespace carawaylatch::proxy
