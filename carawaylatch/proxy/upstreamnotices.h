// One number that each upstream may name in its answers, such as a limit, merged with what other
// routers have seen.
//
// Each change gets the next generation, and a greater generation replaces a lower one, so that
// reports merge to the same result in any order. Of two changes of the same generation the lower
// number wins, and any number wins over none: lower numbers ask for more care.
//
// A state machine of the traffic thread without I/O. At most MaxReportedNotices upstreams.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/faultreport.h"

namespace carawaylatch::proxy
{

// An upstream, as reports name it.
struct UpstreamKey
{
    std::uint64_t idHash = 0;
    std::uint64_t startTimeMs = 0; // its incarnation
};

// What is known of one upstream.
struct KnownNotice
{
    std::uint64_t startTimeMs = 0;
    std::uint32_t generation = 0;
    std::uint32_t value = 0; // zero: none, or not any more
    base::TimePoint begunAt; // the upstream had named no number before
    base::TimePoint namedAt; // last seen in an answer or a notice
    base::TimePoint refreshedAt; // changed, or reported again because it still holds
    bool isReported = false;
};

class UpstreamNotices
{
public:
    // A number that nobody sees any more ends after `maxAge`. One that is still seen is reported again after
    // `refreshInterval`.
    UpstreamNotices(base::Duration maxAge, base::Duration refreshInterval);

    // An answer to a request that was sent at `sentAt` has named this number, or none (zero). Returns true if it
    // has changed.
    bool observe(const UpstreamKey &upstream, std::uint32_t value, base::TimePoint sentAt, base::TimePoint now);
    // Merges another router's notice. Returns true if the number has changed.
    bool apply(const UpstreamNotice &notice, base::TimePoint now);
    // Drops what is known of earlier incarnations of the upstream.
    void onListed(const UpstreamKey &upstream);
    // Drops numbers that nobody sees any more.
    void removeOutdated(base::TimePoint now);

    // nullptr if nothing is known of this incarnation.
    [[nodiscard]] const KnownNotice *find(const UpstreamKey &upstream) const;
    // The number that the upstream has named; zero: none.
    [[nodiscard]] std::uint32_t value(const UpstreamKey &upstream) const;
    // The hash of the id belongs to an upstream of which something is known.
    [[nodiscard]] bool knows(std::uint64_t idHash) const;
    [[nodiscard]] bool isEmpty() const;
    // Number of upstreams that have named a number.
    [[nodiscard]] std::size_t size() const;
    // Numbers that changed since the last call, or are due to be reported again.
    [[nodiscard]] std::vector<UpstreamNotice> takeChanges();
    [[nodiscard]] std::vector<UpstreamNotice> all() const;

private:
    // Returns what is known of this incarnation, nothing yet if a former one or none was known.
    KnownNotice &findOrAdd(const UpstreamKey &upstream);
    static void set(KnownNotice &known, std::uint32_t generation, std::uint32_t value, base::TimePoint now);
    void refresh(KnownNotice &known, base::TimePoint now) const;
    [[nodiscard]] static UpstreamNotice noticeOf(std::uint64_t idHash, const KnownNotice &known);

    base::Duration m_maxAge;
    base::Duration m_refreshInterval;
    std::unordered_map<std::uint64_t, KnownNotice> m_known; // by hash of the upstream's id
};

} // namespace carawaylatch::proxy
