// Sums of the load rows of several senders, with the upstreams whose sum has changed.
//
// Like PeerLoad, for LoadSummaries: a sender can be left out of the sums without losing its rows, since it sends all
// of them only when it connects or once a second, and the division into arcs may change at any time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <unordered_map>

#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/loadreport.h"

namespace carawaylatch::proxy
{

class SummedLoads
{
public:
    static constexpr std::size_t MaxSenderRows = 16'384; // more than the 10,000 upstreams of the largest planned fleet; further rows are ignored

    struct Sender
    {
        std::uint64_t incarnation = 0;
        base::TimePoint lastHeardAt;
        std::uint32_t coveredRouters = 1; // whose load is in the rows
        bool isCounted = false; // in the sums
        std::uint32_t fullRows = 0; // number of full lists applied
        struct Row
        {
            PeerUpstreamLoad load; // not zero
            std::uint32_t fullRows = 0; // of the sender when the row was last listed
        };
        std::unordered_map<std::uint64_t, Row> rows; // by upstream; at most MaxSenderRows
    };

    explicit SummedLoads(std::size_t maxSenders);

    // Applies rows of a sender; a new one is not counted at first. Returns nullptr for changes of an incarnation that has
    // sent no full list yet, and for a sender beyond the maximum.
    Sender *apply(std::uint64_t sender, std::uint64_t incarnation, bool isFull, std::span<const PeerUpstreamLoad> loads, base::TimePoint now);
    void setCounted(Sender &sender, bool isCounted);
    template <typename Predicate>
    void removeIf(Predicate predicate);

    [[nodiscard]] std::map<std::uint64_t, Sender> &senders();
    [[nodiscard]] const std::map<std::uint64_t, Sender> &senders() const;
    // Row of one sender; zero if it has none.
    [[nodiscard]] PeerUpstreamLoad row(std::uint64_t sender, std::uint64_t upstream) const;
    // Sum over all counted senders, at most the largest value of a field.
    [[nodiscard]] PeerUpstreamLoad at(std::uint64_t upstream) const;
    // Adds the upstreams with a sum that is not zero.
    void addUpstreams(std::set<std::uint64_t> &upstreams) const;
    // Moves the upstreams whose sum has changed since the last call.
    void takeChanged(std::set<std::uint64_t> &upstreams);
    void discardChanged();

private:
    struct Sum
    {
        std::uint64_t requests = 0;
        std::uint64_t prefillTokens = 0;
        std::uint64_t memoryTokens = 0;
    };

    void set(Sender &sender, const PeerUpstreamLoad &load);
    void changeSum(const PeerUpstreamLoad &former, const PeerUpstreamLoad &load);
    void removeRows(Sender &sender);

    std::size_t m_maxSenders;
    std::map<std::uint64_t, Sender> m_senders; // at most m_maxSenders
    std::unordered_map<std::uint64_t, Sum> m_sums; // by upstream; only those with load
    std::set<std::uint64_t> m_changed; // upstreams; bounded by the rows that were counted since it was last taken or discarded
};

template <typename Predicate>
void SummedLoads::removeIf(Predicate predicate)
{
    for (auto it = m_senders.begin(); it != m_senders.end();) {
        if (!predicate(it->first, it->second)) {
            ++it;
            continue;
        }
        setCounted(it->second, false);
        it = m_senders.erase(it);
    }
}

} // namespace carawaylatch::proxy
