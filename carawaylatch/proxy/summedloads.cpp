// Sums are updated by the difference between a sender's previous and new rows.
#include "carawaylatch/proxy/summedloads.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace carawaylatch::proxy
{

namespace
{

bool isZero(const PeerUpstreamLoad &load)
{
    return load.requests == 0 && load.prefillTokens == 0 && load.memoryTokens == 0;
}

std::uint32_t clampToField(std::uint64_t value)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(value, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

SummedLoads::SummedLoads(std::size_t maxSenders)
    : m_maxSenders(maxSenders)
{
}

SummedLoads::Sender *SummedLoads::apply(std::uint64_t sender, std::uint64_t incarnation, bool isFull, std::span<const PeerUpstreamLoad> loads,
                                        base::TimePoint now)
{
    auto it = m_senders.find(sender);
    if (it == m_senders.end() || it->second.incarnation != incarnation) {
        if (!isFull || (it == m_senders.end() && m_senders.size() >= m_maxSenders)) {
            return nullptr;
        }
        it = m_senders.try_emplace(sender).first;
    }
    Sender &entry = it->second;
    const bool isRestarted = std::exchange(entry.incarnation, incarnation) != incarnation;
    entry.lastHeardAt = now;
    if (isFull) {
        ++entry.fullRows;
    }
    for (const PeerUpstreamLoad &load : loads) {
        set(entry, load);
    }
    if (isFull) {
        // A list without room for more says nothing of the upstreams behind its last one; they follow in other messages.
        if (loads.size() >= MaxReportRows && !isRestarted) {
            for (auto &[upstream, row] : entry.rows) {
                if (upstream > loads.back().upstream) {
                    row.fullRows = entry.fullRows;
                }
            }
        }
        removeRows(entry);
    }
    return &entry;
}

void SummedLoads::setCounted(Sender &sender, bool isCounted)
{
    if (sender.isCounted == isCounted) {
        return;
    }
    sender.isCounted = isCounted;
    for (const auto &[upstream, row] : sender.rows) {
        const PeerUpstreamLoad none{upstream};
        changeSum(isCounted ? none : row.load, isCounted ? row.load : none);
    }
}

std::map<std::uint64_t, SummedLoads::Sender> &SummedLoads::senders()
{
    return m_senders;
}

const std::map<std::uint64_t, SummedLoads::Sender> &SummedLoads::senders() const
{
    return m_senders;
}

PeerUpstreamLoad SummedLoads::row(std::uint64_t sender, std::uint64_t upstream) const
{
    if (const auto it = m_senders.find(sender); it != m_senders.end()) {
        if (const auto row = it->second.rows.find(upstream); row != it->second.rows.end()) {
            return row->second.load;
        }
    }
    return {upstream};
}

PeerUpstreamLoad SummedLoads::at(std::uint64_t upstream) const
{
    const auto it = m_sums.find(upstream);
    if (it == m_sums.end()) {
        return {upstream};
    }
    return {upstream, clampToField(it->second.requests), clampToField(it->second.prefillTokens), clampToField(it->second.memoryTokens)};
}

void SummedLoads::addUpstreams(std::set<std::uint64_t> &upstreams) const
{
    for (const auto &[upstream, sum] : m_sums) {
        upstreams.insert(upstream);
    }
}

void SummedLoads::takeChanged(std::set<std::uint64_t> &upstreams)
{
    upstreams.merge(m_changed);
    m_changed.clear();
}

void SummedLoads::discardChanged()
{
    m_changed.clear();
}

void SummedLoads::set(Sender &sender, const PeerUpstreamLoad &load)
{
    const auto it = sender.rows.find(load.upstream);
    const PeerUpstreamLoad former = it != sender.rows.end() ? it->second.load : PeerUpstreamLoad{load.upstream};
    if (isZero(load)) {
        if (it != sender.rows.end()) {
            sender.rows.erase(it);
        }
    } else if (it != sender.rows.end()) {
        it->second = {load, sender.fullRows};
    } else if (sender.rows.size() < MaxSenderRows) {
        sender.rows.emplace(load.upstream, Sender::Row{load, sender.fullRows});
    } else {
        return;
    }
    if (sender.isCounted) {
        changeSum(former, load);
    }
}

void SummedLoads::changeSum(const PeerUpstreamLoad &former, const PeerUpstreamLoad &load)
{
    if (former.requests == load.requests && former.prefillTokens == load.prefillTokens && former.memoryTokens == load.memoryTokens) {
        return;
    }
    m_changed.insert(load.upstream);
    Sum &sum = m_sums[load.upstream];
    // The sums include the former values, so that they don't fall below zero.
    sum.requests = sum.requests - former.requests + load.requests;
    sum.prefillTokens = sum.prefillTokens - former.prefillTokens + load.prefillTokens;
    sum.memoryTokens = sum.memoryTokens - former.memoryTokens + load.memoryTokens;
    if (sum.requests == 0 && sum.prefillTokens == 0 && sum.memoryTokens == 0) {
        m_sums.erase(load.upstream);
    }
}

// Removes the rows that the last full list did not have.
void SummedLoads::removeRows(Sender &sender)
{
    std::erase_if(sender.rows, [this, &sender](const auto &it) {
        const auto &[upstream, row] = it;
        const bool isListed = row.fullRows == sender.fullRows;
        if (!isListed && sender.isCounted) {
            changeSum(row.load, PeerUpstreamLoad{upstream});
        }
        return !isListed;
    });
}

} // namespace carawaylatch::proxy
