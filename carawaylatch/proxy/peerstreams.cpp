// Which streams are known, and which are told.
#include "carawaylatch/proxy/peerstreams.h"

#include <algorithm>

namespace carawaylatch::proxy
{

void PeerStreams::add(std::uint64_t stream, const base::SoftwareVersion &software, base::TimePoint sentAt, base::TimePoint now)
{
    while (!m_order.empty() && now - m_streams.at(m_order.front()).sentAt >= MaxStreamTime) {
        removeOldest();
    }
    if (now - sentAt >= MaxStreamTime) {
        return;
    }
    const auto [it, isNew] = m_streams.try_emplace(stream, Stream{software, {}, sentAt});
    if (!isNew) {
        if (it->second.software != software) {
            it->second.other = software;
        }
        it->second.sentAt = std::max(it->second.sentAt, sentAt);
        return;
    }
    m_order.push_back(stream);
    if (m_order.size() > MaxStreams) {
        removeOldest();
    }
}

void PeerStreams::removeOldest()
{
    m_streams.erase(m_order.front());
    m_order.pop_front();
}

void PeerStreams::onSent(const std::vector<StreamOrigin> &streams, base::TimePoint now)
{
    for (const StreamOrigin &it : streams) {
        add(it.stream, it.software, now, now);
        m_changed.push_back(it.stream);
    }
}

void PeerStreams::apply(const StreamReport &report, base::TimePoint now)
{
    for (const ToldStream &it : report.streams) {
        add(it.stream, it.software, now - it.age, now);
    }
}

std::optional<OriginAnswer> PeerStreams::find(std::uint64_t stream, base::TimePoint now) const
{
    const auto it = m_streams.find(stream);
    if (it == m_streams.end() || now - it->second.sentAt >= MaxStreamTime) {
        return std::nullopt;
    }
    if (it->second.other) {
        return OriginAnswer{OriginVerdict::Unknown, {}};
    }
    return OriginAnswer{OriginVerdict::Known, it->second.software};
}

void PeerStreams::append(StreamReport &report, std::uint64_t stream, const Stream &value, base::TimePoint now)
{
    report.streams.push_back({stream, value.software, now - value.sentAt});
    if (value.other) {
        report.streams.push_back({stream, *value.other, now - value.sentAt});
    }
}

StreamReport PeerStreams::takeChanges(base::TimePoint now)
{
    StreamReport report;
    std::size_t taken = 0;
    while (taken < m_changed.size() && report.streams.size() + 1 < MaxReportedStreams) {
        const std::uint64_t stream = m_changed[taken++];
        if (const auto it = m_streams.find(stream); it != m_streams.end()) {
            append(report, stream, it->second, now);
        }
    }
    m_changed.erase(m_changed.begin(), m_changed.begin() + static_cast<std::ptrdiff_t>(taken));
    return report;
}

StreamReport PeerStreams::fullReport(base::TimePoint now) const
{
    StreamReport report;
    for (auto it = m_order.rbegin(); it != m_order.rend() && report.streams.size() + 1 < MaxReportedStreams; ++it) {
        append(report, *it, m_streams.at(*it), now);
    }
    return report;
}

std::size_t PeerStreams::size() const
{
    return m_streams.size();
}

} // namespace carawaylatch::proxy
