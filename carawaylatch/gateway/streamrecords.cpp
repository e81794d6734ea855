// Encoding of the records, when they are written, and how questions are answered from them.
#include "carawaylatch/gateway/streamrecords.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "carawaylatch/gateway/storeversion.h"

namespace carawaylatch::gateway
{

namespace
{

constexpr std::size_t StreamDigits = 16;
constexpr base::Duration ReadPause = base::milliseconds{500}; // after a read that failed

base::Duration writeInterval(std::uint32_t routers)
{
    return std::max<base::Duration>(StreamRecords::MinWriteInterval, base::fromSeconds(static_cast<double>(routers) / StreamRecords::WritesPerSecond));
}

std::string hexadecimal(std::uint64_t value)
{
    char buf[StreamDigits];
    const auto end = std::to_chars(buf, buf + StreamDigits, value, 16).ptr;
    return {buf, end};
}

} // namespace

std::string encodeStreams(const std::vector<proxy::StreamOrigin> &streams)
{
    std::map<base::SoftwareVersion, std::string> lines;
    for (const proxy::StreamOrigin &origin : streams) {
        lines[origin.software].append(" ").append(hexadecimal(origin.stream));
    }
    std::string text;
    for (const auto &[software, line] : lines) {
        text.append(escapeName(software.value())).append(line).append("\n");
    }
    return text;
}

void decodeStreams(std::string_view text, const std::function<void(const proxy::StreamOrigin &)> &visit)
{
    while (!text.empty()) {
        const std::size_t lineEnd = std::min(text.find('\n'), text.size());
        std::string_view line = text.substr(0, lineEnd);
        text.remove_prefix(std::min(lineEnd + 1, text.size()));
        const std::size_t nameEnd = std::min(line.find(' '), line.size());
        const auto software = unescapeName(line.substr(0, nameEnd));
        if (!software || software->size() > SoftwareRecord::MaxNameBytes) {
            continue;
        }
        proxy::StreamOrigin origin{0, base::SoftwareVersion(*software)};
        line.remove_prefix(nameEnd);
        while (!line.empty()) {
            line.remove_prefix(1);
            const std::size_t wordEnd = std::min(line.find(' '), line.size());
            const auto [last, ec] = std::from_chars(line.data(), line.data() + wordEnd, origin.stream, 16);
            if (ec == std::errc{} && last == line.data() + wordEnd) {
                visit(origin);
            }
            line.remove_prefix(wordEnd);
        }
    }
}

StreamRecords::StreamRecords(std::uint64_t seed)
    : m_random(seed)
{
}

void StreamRecords::onStreamsSent(base::TimePoint now, const std::vector<proxy::StreamOrigin> &streams)
{
    for (const proxy::StreamOrigin &origin : streams) {
        add(now, origin);
    }
    m_isChanged = m_isChanged || !streams.empty();
}

void StreamRecords::add(base::TimePoint now, const proxy::StreamOrigin &origin)
{
    if (origin.software.value().size() > SoftwareRecord::MaxNameBytes) {
        return;
    }
    if (!m_streams.insert_or_assign(origin.stream, origin.software).second) {
        return;
    }
    m_order.push_back({now, origin.stream});
    if (m_order.size() > MaxStreams) {
        m_streams.erase(m_order.front().stream);
        m_order.pop_front();
    }
}

void StreamRecords::dropOld(base::TimePoint now, base::Duration maxStreamTime)
{
    while (!m_order.empty() && now - m_order.front().at >= maxStreamTime) {
        m_streams.erase(m_order.front().stream);
        m_order.pop_front();
    }
}

std::optional<base::SoftwareVersion> StreamRecords::find(std::uint64_t stream) const
{
    const auto it = m_streams.find(stream);
    return it == m_streams.end() ? std::nullopt : std::optional(it->second);
}

std::string StreamRecords::text() const
{
    std::vector<proxy::StreamOrigin> streams;
    streams.reserve(m_order.size());
    for (const Added &added : m_order) {
        streams.push_back({added.stream, m_streams.at(added.stream)});
    }
    return encodeStreams(streams);
}

RecordsAction StreamRecords::poll(base::TimePoint now, const RecordsInput &input)
{
    dropOld(now, input.maxStreamTime);
    if (std::exchange(m_era, input.era) != input.era) {
        m_isKnown = false; // the store may have lost the last writes
        m_isChanged = m_isChanged || !m_streams.empty();
    }
    if (m_isCallPending || now < m_nextCall) {
        return {};
    }
    if (!m_isKnown) {
        m_isCallPending = true;
        return {RecordsCall::Read, {}, 0};
    }
    // Records that nobody needs any more are removed from the object, which others would read for nothing.
    const bool isOutdated = m_hasStoredStreams && m_streams.empty();
    if (!(input.isNeeded && m_isChanged) && !isOutdated) {
        m_writeAt.reset();
        return {};
    }
    if (!m_writeAt) {
        const base::Duration interval = writeInterval(input.routers);
        // Routers begin to record at the same moment; the longer their interval, the more it spreads their writes.
        const bool isSpread = interval > MinWriteInterval && now - m_lastWrite >= interval;
        m_writeAt = isSpread ? now + base::fromSeconds(base::toSeconds(interval) * m_random.uniformReal()) : std::max(now, m_lastWrite + interval);
    }
    if (now < *m_writeAt) {
        return {};
    }
    m_writeAt.reset();
    m_lastWrite = now;
    m_isCallPending = true;
    m_isChanged = false;
    m_isWritingNone = m_streams.empty();
    return {RecordsCall::Write, text(), m_version};
}

void StreamRecords::onRead(base::TimePoint now, const base::Result<StoredObject> &result)
{
    m_isCallPending = false;
    if (result) {
        m_version = result.value().revision;
        m_isKnown = true;
        m_hasStoredStreams = !result.value().text.empty();
        decodeStreams(result.value().text, [this, now](const proxy::StreamOrigin &origin) {
            if (!m_streams.contains(origin.stream)) {
                add(now, origin);
            }
        });
    } else if (result.error().kind == base::ErrorKind::NotFound) {
        m_version = 0;
        m_isKnown = true;
        m_hasStoredStreams = false;
    } else {
        m_nextCall = now + ReadPause;
    }
}

void StreamRecords::onWritten(base::TimePoint /*now*/, const base::Result<std::uint64_t> &result)
{
    m_isCallPending = false;
    if (result) {
        m_version = result.value();
        m_hasStoredStreams = !m_isWritingNone;
        return;
    }
    m_isChanged = true;
    // A rejected write changed nothing; after others the object may have changed.
    m_isKnown = result.error().kind == base::ErrorKind::Unavailable;
}

OriginSearch::OriginSearch(std::vector<Question> questions)
    : m_questions(std::move(questions))
    , m_only(m_questions.size())
{
}

void OriginSearch::onSoftware(const std::optional<SoftwareRecord> &software, std::uint64_t era)
{
    const bool isComplete = software && software->completeEra == era;
    for (std::size_t i = 0; i < m_questions.size(); ++i) {
        const auto pool = isComplete ? software->pools.find(m_questions[i].pool) : SoftwareByPool::const_iterator{};
        if (isComplete && pool != software->pools.end() && pool->second.size() == 1) {
            m_only[i] = *pool->second.begin();
        } else {
            m_sought.insert(m_questions[i].stream);
        }
    }
}

bool OriginSearch::needsRecords() const
{
    return !m_sought.empty();
}

void OriginSearch::onRecords(std::string_view text)
{
    decodeStreams(text, [this](const proxy::StreamOrigin &origin) {
        if (m_sought.contains(origin.stream)) {
            m_found[origin.stream].insert(origin.software);
        }
    });
}

std::vector<proxy::OriginAnswer> OriginSearch::answers() const
{
    std::vector<proxy::OriginAnswer> answers;
    for (std::size_t i = 0; i < m_questions.size(); ++i) {
        const auto found = m_found.find(m_questions[i].stream);
        if (m_only[i]) {
            answers.push_back({proxy::OriginVerdict::Known, *m_only[i]});
        } else if (found != m_found.end() && found->second.size() == 1) {
            answers.push_back({proxy::OriginVerdict::Known, *found->second.begin()});
        } else {
            answers.push_back({proxy::OriginVerdict::Unknown, {}});
        }
    }
    return answers;
}

} // namespace carawaylatch::gateway
