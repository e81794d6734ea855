// Evidence, verdicts and merging of crashattribution.h.
#include "carawaylatch/proxy/crashattribution.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/proxy/promptparts.h"

namespace carawaylatch::proxy
{

namespace
{

base::Duration blockTime(std::uint8_t blocks)
{
    constexpr std::uint8_t MaxDoublings = 4; // reaches MaxBlockTime
    return std::min<base::Duration>(CrashAttribution::BlockTime * (1U << std::min(blocks, MaxDoublings)), CrashAttribution::MaxBlockTime);
}

} // namespace

bool CrashAttribution::Subject::isRequest() const
{
    return depth == RequestDepth;
}

bool CrashAttribution::Subject::lists(const Crash &crash) const
{
    return std::any_of(crashes.begin(), crashes.end(), [&crash](const Crash &it) {
        return it.id == crash.id;
    });
}

bool CrashAttribution::Subject::isBlocked(base::TimePoint now) const
{
    return blocks > 0 && now < blockedUntil;
}

std::size_t CrashAttribution::Subject::separateCrashes() const
{
    const base::Duration separation = isRequest() ? SeparateRequestCrashTime : SeparateCrashTime;
    std::size_t count = 0;
    base::TimePoint last;
    for (const Crash &crash : crashes) {
        if (count == 0 || crash.at - last >= separation) {
            ++count;
            last = crash.at;
        }
    }
    return count;
}

bool CrashAttribution::Subject::isOutdated(base::TimePoint now) const
{
    return blocks > 0 ? now >= blockedUntil + MaxBlockTime : now - changedAt >= EvidenceTime;
}

template <typename Visit>
void CrashAttribution::forEachSubject(const CrashSubjects &request, const Visit &visit)
{
    constexpr std::size_t MaxPartDepth = RequestDepth - 1;
    const auto parts = sharedParts(request.parts);
    const std::uint64_t model = parts.empty() ? 0 : base::hash64(request.model.value());
    for (std::size_t i = 0; i < parts.size(); ++i) {
        visit(base::combineHashes(model, parts[i].id), parts[i].id, static_cast<std::uint8_t>(std::min(i, MaxPartDepth)));
    }
    if (request.fingerprint != 0) {
        visit(request.fingerprint, request.fingerprint, RequestDepth);
    }
}

void CrashAttribution::markChanged(Subject &subject, base::TimePoint now)
{
    subject.isReported = false;
    subject.changedAt = now;
}

void CrashAttribution::onAnswered(const CrashSubjects &request, base::TimePoint now)
{
    forEachSubject(request, [&](std::uint64_t key, std::uint64_t, std::uint8_t) {
        if (m_answeredAt.size() >= MaxAnsweredSubjects && !m_answeredAt.contains(key)) {
            m_answeredAt.clear();
        }
        m_answeredAt[key] = now;
        if (const auto it = m_subjects.find(key); it != m_subjects.end()) {
            clearAnswered(key, it->second, now);
        }
    });
}

void CrashAttribution::onBrokenOff(BrokenRequest request)
{
    if (m_unconfirmed.size() < MaxUnconfirmed) {
        m_unconfirmed.push_back(std::move(request));
    }
}

void CrashAttribution::advance(base::TimePoint now, const HasAnsweredSince &hasAnsweredSince)
{
    while (!m_unconfirmed.empty() && now - m_unconfirmed.front().at >= ConfirmationDelay) {
        const BrokenRequest request = std::move(m_unconfirmed.front());
        m_unconfirmed.pop_front();
        if (!hasAnsweredSince(request, request.at + LateBytesTime)) {
            confirm(request, now);
        }
    }
    blockCauses(now);
    removeOutdated(now);
}

void CrashAttribution::confirm(const BrokenRequest &request, base::TimePoint now)
{
    const std::uint64_t crash = base::combineHashes(base::hash64(request.upstream.value()), request.startTimeMs);
    forEachSubject({request.model, request.parts, request.fingerprint}, [&](std::uint64_t key, std::uint64_t id, std::uint8_t depth) {
        const auto answered = m_answeredAt.find(key);
        const bool isCleared = answered != m_answeredAt.end() && answered->second >= request.at;
        Subject *subject = isCleared ? nullptr : findOrAdd(key, id, now);
        if (subject == nullptr) {
            return;
        }
        subject->depth = std::max(subject->depth, depth);
        if (addCrash(*subject, {crash, request.at}, now)) {
            markChanged(*subject, now);
        }
    });
}

CrashAttribution::Subject *CrashAttribution::findOrAdd(std::uint64_t key, std::uint64_t id, base::TimePoint now)
{
    const auto it = m_subjects.find(key);
    if (it != m_subjects.end()) {
        return &it->second;
    }
    if (m_subjects.size() >= MaxSubjects) {
        return nullptr;
    }
    Subject &subject = m_subjects[key];
    subject.id = id;
    subject.changedAt = now;
    return &subject;
}

bool CrashAttribution::addCrash(Subject &subject, const Crash &crash, base::TimePoint now) const
{
    const bool isExplained = std::any_of(m_subjects.begin(), m_subjects.end(), [&](const auto &it) {
        return !it.second.isRequest() && &it.second != &subject && it.second.isBlocked(now) && it.second.lists(crash);
    });
    if (isExplained || subject.lists(crash)) {
        return false;
    }
    if (subject.crashes.size() >= MaxCrashesPerPart) {
        if (crash.at <= subject.crashes.front().at) {
            return false;
        }
        subject.crashes.erase(subject.crashes.begin());
    }
    const auto after = std::upper_bound(subject.crashes.begin(), subject.crashes.end(), crash.at, [](base::TimePoint at, const Crash &known) {
        return at < known.at;
    });
    subject.crashes.insert(after, crash);
    return true;
}

void CrashAttribution::apply(const FaultReport &report, base::TimePoint now)
{
    for (const PartState &state : report.parts) {
        merge(state, now);
    }
    blockCauses(now);
}

void CrashAttribution::merge(const PartState &state, base::TimePoint now)
{
    Subject *subject = findOrAdd(state.key, state.id, now);
    if (subject == nullptr) {
        return;
    }
    if (state.generation < subject->generation) {
        markChanged(*subject, now); // the sender has missed that the subject was cleared
        return;
    }
    bool isChanged = state.generation > subject->generation || state.depth > subject->depth;
    if (state.generation > subject->generation) {
        unblock(*subject, state.generation, now);
        subject->crashes.clear();
    }
    subject->depth = std::max(subject->depth, state.depth);
    for (const CrashSample &sample : state.crashes) {
        isChanged = addCrash(*subject, {sample.crash, now - sample.age}, now) || isChanged;
    }
    if (state.blocks > subject->blocks) {
        subject->blocks = state.blocks;
        block(*subject, now + state.blockedFor, now);
    }
    if (isChanged) {
        markChanged(*subject, now);
    }
    clearAnswered(state.key, *subject, now);
}

// Removes the crashes of a subject before the last response to a request that has it.
void CrashAttribution::clearAnswered(std::uint64_t key, Subject &subject, base::TimePoint now)
{
    const auto answered = m_answeredAt.find(key);
    if (answered == m_answeredAt.end()) {
        return;
    }
    const std::size_t removed = std::erase_if(subject.crashes, [&answered](const Crash &crash) {
        return crash.at <= answered->second;
    });
    const bool isUnexplainedBlock = subject.isBlocked(now) && subject.crashes.empty() && answered->second == now;
    if (removed == 0 && !isUnexplainedBlock) {
        return;
    }
    unblock(subject, subject.generation + 1, now);
    markChanged(subject, now);
}

void CrashAttribution::unblock(Subject &subject, std::uint32_t generation, base::TimePoint now)
{
    if (subject.isBlocked(now) && m_verdicts.size() < MaxSubjects) {
        m_verdicts.push_back({subject.id, subject.isRequest(), false, 0, {}});
    }
    subject.generation = generation;
    subject.blocks = 0;
    subject.blockedUntil = {};
}

bool CrashAttribution::qualifies(const Subject &subject, base::TimePoint now) const
{
    if (subject.isBlocked(now) || subject.crashes.empty()) {
        return false;
    }
    if (subject.blocks > 0) {
        return subject.crashes.back().at >= subject.blockedUntil;
    }
    return subject.separateCrashes() >= MinCrashes && hasCrashBeyondRequests(subject);
}

// True if a crash of a subject is not one of another request that was found to be the cause.
bool CrashAttribution::hasCrashBeyondRequests(const Subject &subject) const
{
    return std::any_of(subject.crashes.begin(), subject.crashes.end(), [&](const Crash &crash) {
        return std::none_of(m_subjects.begin(), m_subjects.end(), [&](const auto &it) {
            return &it.second != &subject && it.second.isRequest() && it.second.blocks > 0 && it.second.lists(crash);
        });
    });
}

bool CrashAttribution::isLikelierCause(std::uint64_t key, const Subject &subject, std::uint64_t otherKey, const Subject &other) const
{
    const auto rank = [this](std::uint64_t it, const Subject &candidate) {
        return std::tuple(candidate.separateCrashes(), !m_answeredAt.contains(it), candidate.depth, it);
    };
    return rank(key, subject) > rank(otherKey, other);
}

void CrashAttribution::blockCauses(base::TimePoint now)
{
    while (true) {
        auto cause = m_subjects.end();
        for (auto it = m_subjects.begin(); it != m_subjects.end(); ++it) {
            if (qualifies(it->second, now) && (cause == m_subjects.end() || isLikelierCause(it->first, it->second, cause->first, cause->second))) {
                cause = it;
            }
        }
        if (cause == m_subjects.end()) {
            return;
        }
        Subject &subject = cause->second;
        const base::Duration duration = blockTime(subject.blocks);
        subject.blocks = subject.blocks == std::numeric_limits<std::uint8_t>::max() ? subject.blocks : static_cast<std::uint8_t>(subject.blocks + 1);
        block(subject, now + duration, now);
    }
}

void CrashAttribution::block(Subject &subject, base::TimePoint until, base::TimePoint now)
{
    subject.blockedUntil = until;
    markChanged(subject, now);
    if (!subject.isBlocked(now)) {
        return;
    }
    if (m_verdicts.size() < MaxSubjects) {
        m_verdicts.push_back({subject.id, subject.isRequest(), true, subject.crashes.size(), until - now});
    }
    for (auto &[key, other] : m_subjects) {
        if (&other == &subject) {
            continue;
        }
        if (subject.isRequest()) {
            endDisprovedBlock(other, subject, now);
        } else if (!other.isBlocked(now)) {
            std::erase_if(other.crashes, [&subject](const Crash &crash) {
                return subject.lists(crash);
            });
        }
    }
}

// Ends the block of a request if another request was beside all of its crashes and beside more.
void CrashAttribution::endDisprovedBlock(Subject &blocked, const Subject &cause, base::TimePoint now)
{
    const bool isExplained = std::all_of(blocked.crashes.begin(), blocked.crashes.end(), [&cause](const Crash &crash) {
        return cause.lists(crash);
    });
    if (blocked.isRequest() && blocked.isBlocked(now) && isExplained && blocked.crashes.size() < cause.crashes.size()) {
        unblock(blocked, blocked.generation + 1, now);
        blocked.crashes.clear();
        markChanged(blocked, now);
    }
}

std::optional<CrashBlock> CrashAttribution::blockOf(const CrashSubjects &request, base::TimePoint now) const
{
    std::optional<CrashBlock> longest;
    if (m_subjects.empty()) {
        return longest;
    }
    forEachSubject(request, [&](std::uint64_t key, std::uint64_t, std::uint8_t) {
        const auto it = m_subjects.find(key);
        if (it == m_subjects.end() || !it->second.isBlocked(now)) {
            return;
        }
        const base::Duration left = it->second.blockedUntil - now;
        if (!longest || left > longest->left) {
            longest = CrashBlock{left, it->second.isRequest()};
        }
    });
    return longest;
}

bool CrashAttribution::isSuspect(const CrashSubjects &request) const
{
    const auto it = m_subjects.find(request.fingerprint);
    return it != m_subjects.end() && (it->second.blocks > 0 || !it->second.crashes.empty());
}

std::size_t CrashAttribution::countBlocked(bool isRequest, base::TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_subjects.begin(), m_subjects.end(), [isRequest, now](const auto &it) {
        return it.second.isRequest() == isRequest && it.second.isBlocked(now);
    }));
}

std::size_t CrashAttribution::blockedParts(base::TimePoint now) const
{
    return countBlocked(false, now);
}

std::size_t CrashAttribution::blockedRequests(base::TimePoint now) const
{
    return countBlocked(true, now);
}

PartState CrashAttribution::stateOf(std::uint64_t key, const Subject &subject, base::TimePoint now)
{
    PartState state{key,           subject.id, subject.generation, subject.blocks, subject.isBlocked(now) ? subject.blockedUntil - now : base::Duration{},
                    subject.depth, {}};
    for (const Crash &crash : subject.crashes) {
        state.crashes.push_back({crash.id, now - crash.at});
    }
    return state;
}

FaultReport CrashAttribution::takeChanges(base::TimePoint now)
{
    FaultReport report;
    for (auto &[key, subject] : m_subjects) {
        if (!subject.isReported && report.parts.size() < MaxReportedParts) {
            subject.isReported = true;
            report.parts.push_back(stateOf(key, subject, now));
        }
    }
    return report;
}

FaultReport CrashAttribution::fullReport(base::TimePoint now) const
{
    FaultReport report;
    for (const auto &[key, subject] : m_subjects) {
        if (report.parts.size() < MaxReportedParts) {
            report.parts.push_back(stateOf(key, subject, now));
        }
    }
    return report;
}

std::vector<CrashVerdict> CrashAttribution::takeVerdicts()
{
    return std::exchange(m_verdicts, {});
}

void CrashAttribution::removeOutdated(base::TimePoint now)
{
    std::erase_if(m_subjects, [now](const auto &it) {
        return it.second.isOutdated(now);
    });
}

} // namespace carawaylatch::proxy
