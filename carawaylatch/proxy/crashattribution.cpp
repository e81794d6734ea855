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

bool CrashAttribution::Part::isBlocked(base::TimePoint now) const
{
    return blocks > 0 && now < blockedUntil;
}

std::size_t CrashAttribution::Part::separateCrashes() const
{
    std::size_t count = 0;
    base::TimePoint last;
    for (const Crash &crash : crashes) {
        if (count == 0 || crash.at - last >= SeparateCrashTime) {
            ++count;
            last = crash.at;
        }
    }
    return count;
}

bool CrashAttribution::Part::isOutdated(base::TimePoint now) const
{
    return blocks > 0 ? now >= blockedUntil + MaxBlockTime : now - changedAt >= EvidenceTime;
}

std::uint64_t CrashAttribution::partKey(std::uint64_t model, const PromptPart &part)
{
    return base::combineHashes(model, part.id);
}

void CrashAttribution::markChanged(Part &part, base::TimePoint now)
{
    part.isReported = false;
    part.changedAt = now;
}

void CrashAttribution::onAnswered(const base::ModelId &model, std::span<const PromptPart> parts, base::TimePoint now)
{
    const std::uint64_t modelHash = base::hash64(model.value());
    for (const PromptPart &part : sharedParts(parts)) {
        const std::uint64_t key = partKey(modelHash, part);
        if (m_answeredAt.size() >= MaxAnsweredParts && !m_answeredAt.contains(key)) {
            m_answeredAt.clear();
        }
        m_answeredAt[key] = now;
        if (const auto it = m_parts.find(key); it != m_parts.end()) {
            clearAnswered(key, it->second, now);
        }
    }
}

void CrashAttribution::onBrokenOff(BrokenRequest request)
{
    if (!sharedParts(request.parts).empty() && m_unconfirmed.size() < MaxUnconfirmed) {
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
    const std::uint64_t model = base::hash64(request.model.value());
    const auto parts = sharedParts(request.parts);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const std::uint64_t key = partKey(model, parts[i]);
        const auto answered = m_answeredAt.find(key);
        const bool isCleared = answered != m_answeredAt.end() && answered->second >= request.at;
        Part *entry = isCleared ? nullptr : findOrAdd(key, parts[i].id, now);
        if (entry != nullptr && addCrash(*entry, {crash, request.at}, now)) {
            const auto depth = std::min<std::size_t>(i, std::numeric_limits<std::uint8_t>::max());
            entry->depth = std::max(entry->depth, static_cast<std::uint8_t>(depth));
            markChanged(*entry, now);
        }
    }
}

CrashAttribution::Part *CrashAttribution::findOrAdd(std::uint64_t key, std::uint64_t id, base::TimePoint now)
{
    const auto it = m_parts.find(key);
    if (it != m_parts.end()) {
        return &it->second;
    }
    if (m_parts.size() >= MaxParts) {
        return nullptr;
    }
    Part &part = m_parts[key];
    part.id = id;
    part.changedAt = now;
    return &part;
}

bool CrashAttribution::addCrash(Part &part, const Crash &crash, base::TimePoint now) const
{
    const auto isSame = [&crash](const Crash &known) {
        return known.id == crash.id;
    };
    const bool isKnown = std::any_of(part.crashes.begin(), part.crashes.end(), isSame);
    const bool isExplained = std::any_of(m_parts.begin(), m_parts.end(), [&](const auto &it) {
        const Part &other = it.second;
        return &other != &part && other.isBlocked(now) && std::any_of(other.crashes.begin(), other.crashes.end(), isSame);
    });
    if (isKnown || isExplained) {
        return false;
    }
    if (part.crashes.size() >= MaxCrashesPerPart) {
        if (crash.at <= part.crashes.front().at) {
            return false;
        }
        part.crashes.erase(part.crashes.begin());
    }
    const auto after = std::upper_bound(part.crashes.begin(), part.crashes.end(), crash.at, [](base::TimePoint at, const Crash &known) {
        return at < known.at;
    });
    part.crashes.insert(after, crash);
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
    Part *part = findOrAdd(state.key, state.id, now);
    if (part == nullptr) {
        return;
    }
    if (state.generation < part->generation) {
        markChanged(*part, now); // the sender has missed that the part was cleared
        return;
    }
    bool isChanged = state.generation > part->generation || state.depth > part->depth;
    if (state.generation > part->generation) {
        unblock(*part, state.generation, now);
        part->crashes.clear();
    }
    part->depth = std::max(part->depth, state.depth);
    for (const CrashSample &sample : state.crashes) {
        isChanged = addCrash(*part, {sample.crash, now - sample.age}, now) || isChanged;
    }
    if (state.blocks > part->blocks) {
        part->blocks = state.blocks;
        block(*part, now + state.blockedFor, now);
    }
    if (isChanged) {
        markChanged(*part, now);
    }
    clearAnswered(state.key, *part, now);
}

// Removes the crashes of a part before the last response to a request that has it.
void CrashAttribution::clearAnswered(std::uint64_t key, Part &part, base::TimePoint now)
{
    const auto answered = m_answeredAt.find(key);
    if (answered == m_answeredAt.end()) {
        return;
    }
    const std::size_t removed = std::erase_if(part.crashes, [&answered](const Crash &crash) {
        return crash.at <= answered->second;
    });
    const bool isUnexplainedBlock = part.isBlocked(now) && part.crashes.empty() && answered->second == now;
    if (removed == 0 && !isUnexplainedBlock) {
        return;
    }
    unblock(part, part.generation + 1, now);
    markChanged(part, now);
}

void CrashAttribution::unblock(Part &part, std::uint32_t generation, base::TimePoint now)
{
    if (part.isBlocked(now) && m_verdicts.size() < MaxParts) {
        m_verdicts.push_back({part.id, false, 0, {}});
    }
    part.generation = generation;
    part.blocks = 0;
    part.blockedUntil = {};
}

bool CrashAttribution::qualifies(const Part &part, base::TimePoint now) const
{
    if (part.isBlocked(now) || part.crashes.empty()) {
        return false;
    }
    return part.blocks == 0 ? part.separateCrashes() >= MinCrashes : part.crashes.back().at >= part.blockedUntil;
}

bool CrashAttribution::isLikelierCause(std::uint64_t key, const Part &part, std::uint64_t otherKey, const Part &other) const
{
    const auto rank = [this](std::uint64_t it, const Part &candidate) {
        return std::tuple(candidate.separateCrashes(), !m_answeredAt.contains(it), candidate.depth, it);
    };
    return rank(key, part) > rank(otherKey, other);
}

void CrashAttribution::blockCauses(base::TimePoint now)
{
    while (true) {
        auto cause = m_parts.end();
        for (auto it = m_parts.begin(); it != m_parts.end(); ++it) {
            if (qualifies(it->second, now) && (cause == m_parts.end() || isLikelierCause(it->first, it->second, cause->first, cause->second))) {
                cause = it;
            }
        }
        if (cause == m_parts.end()) {
            return;
        }
        Part &part = cause->second;
        const base::Duration duration = blockTime(part.blocks);
        part.blocks = part.blocks == std::numeric_limits<std::uint8_t>::max() ? part.blocks : static_cast<std::uint8_t>(part.blocks + 1);
        block(part, now + duration, now);
    }
}

void CrashAttribution::block(Part &part, base::TimePoint until, base::TimePoint now)
{
    part.blockedUntil = until;
    markChanged(part, now);
    if (!part.isBlocked(now)) {
        return;
    }
    if (m_verdicts.size() < MaxParts) {
        m_verdicts.push_back({part.id, true, part.crashes.size(), until - now});
    }
    for (auto &[key, other] : m_parts) {
        if (&other == &part || other.isBlocked(now)) {
            continue;
        }
        std::erase_if(other.crashes, [&part](const Crash &crash) {
            return std::any_of(part.crashes.begin(), part.crashes.end(), [&crash](const Crash &explained) {
                return explained.id == crash.id;
            });
        });
    }
}

std::optional<base::Duration> CrashAttribution::blockedFor(const base::ModelId &model, std::span<const PromptPart> parts, base::TimePoint now) const
{
    std::optional<base::Duration> longest;
    if (m_parts.empty()) {
        return longest;
    }
    const std::uint64_t modelHash = base::hash64(model.value());
    for (const PromptPart &part : sharedParts(parts)) {
        const auto it = m_parts.find(partKey(modelHash, part));
        if (it != m_parts.end() && it->second.isBlocked(now)) {
            longest = std::max(longest.value_or(base::Duration{}), it->second.blockedUntil - now);
        }
    }
    return longest;
}

std::size_t CrashAttribution::blockedParts(base::TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_parts.begin(), m_parts.end(), [now](const auto &it) {
        return it.second.isBlocked(now);
    }));
}

PartState CrashAttribution::stateOf(std::uint64_t key, const Part &part, base::TimePoint now)
{
    PartState state{key, part.id, part.generation, part.blocks, part.isBlocked(now) ? part.blockedUntil - now : base::Duration{}, part.depth, {}};
    for (const Crash &crash : part.crashes) {
        state.crashes.push_back({crash.id, now - crash.at});
    }
    return state;
}

FaultReport CrashAttribution::takeChanges(base::TimePoint now)
{
    FaultReport report;
    for (auto &[key, part] : m_parts) {
        if (!part.isReported && report.parts.size() < MaxReportedParts) {
            part.isReported = true;
            report.parts.push_back(stateOf(key, part, now));
        }
    }
    return report;
}

FaultReport CrashAttribution::fullReport(base::TimePoint now) const
{
    FaultReport report;
    for (const auto &[key, part] : m_parts) {
        if (report.parts.size() < MaxReportedParts) {
            report.parts.push_back(stateOf(key, part, now));
        }
    }
    return report;
}

std::vector<PartVerdict> CrashAttribution::takeVerdicts()
{
    return std::exchange(m_verdicts, {});
}

void CrashAttribution::removeOutdated(base::TimePoint now)
{
    std::erase_if(m_parts, [now](const auto &it) {
        return it.second.isOutdated(now);
    });
}

} // namespace carawaylatch::proxy
