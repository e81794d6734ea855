// Limits of requests a second that upstreams name, and this router's part of each.
//
// An upstream in need names a limit for all routers together. Each router that shares the
// upstream may send one request per interval, which is the number of these routers divided by
// the limit. This needs no messages on the path of a request, and holds while routers are cut
// off from each other. All of them may send at the same moment, so that a time T sees at most
// limit * (T + MaxLateness) + (routers that share) requests. A low limit is therefore shared by
// a few routers only, the first in rendezvous order; the others send nothing there.
//
// Routers tell each other the limits that they see, because those that send nothing can't see
// them (faultreport.h). Each change gets the next generation, and a greater generation replaces
// a lower one, so that reports merge to the same result in any order.
//
// A state machine of the traffic thread without I/O. At most MaxReportedLimits upstreams.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "carawaylatch/base/ids.h"
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

class RequestLimits
{
public:
    static constexpr base::Duration MaxAge = base::minutes{10}; // a limit that nobody sees any more ends after it
    // A request that is sent up to this long after it was due doesn't delay the next one. Waiting requests are
    // placed that late.
    static constexpr base::Duration MaxLateness = base::milliseconds{50};
    static constexpr base::Duration RefreshInterval = base::seconds{60}; // of reports of a limit that still holds

    // `routers` are the endpoints of the fleet, with or without `self`. If they are fewer than `count`, all
    // `count` routers share each upstream.
    void setRouters(std::span<const base::Endpoint> routers, const base::Endpoint &self, std::uint32_t count);

    // An answer to a request that was sent at `sentAt` has named this limit, or none. Returns true if the limit
    // has changed.
    bool observe(const UpstreamKey &upstream, std::optional<double> perSecond, base::TimePoint sentAt, base::TimePoint now);
    // Merges another router's notice. Returns true if the limit has changed.
    bool apply(const UpstreamLimit &notice, base::TimePoint now);
    // This router sends a request.
    void onRequest(const UpstreamKey &upstream, base::TimePoint now);
    // Drops what is known of earlier incarnations of the upstream.
    void onListed(const UpstreamKey &upstream);
    // Drops limits that nobody sees any more.
    void removeOutdated(base::TimePoint now);

    // The limit in requests a second; zero: none.
    [[nodiscard]] double perSecond(const UpstreamKey &upstream) const;
    // When this router may send the next request; nothing if there is no limit. TimePoint::max(): only other
    // routers may.
    [[nodiscard]] std::optional<base::TimePoint> nextRequestAt(const UpstreamKey &upstream) const;
    // True if there is a limit and it began after this time.
    [[nodiscard]] bool hasBegunAfter(const UpstreamKey &upstream, base::TimePoint at) const;
    // Number of upstreams that have a limit.
    [[nodiscard]] std::size_t size() const;
    // Limits that changed since the last call, or are due to be reported again.
    [[nodiscard]] std::vector<UpstreamLimit> takeChanges();
    [[nodiscard]] std::vector<UpstreamLimit> all() const;

private:
    struct Limit
    {
        std::uint64_t startTimeMs = 0;
        std::uint32_t generation = 0;
        std::uint32_t milliPerSecond = 0; // zero: the limit has ended
        base::TimePoint begunAt; // the upstream had no limit before
        base::TimePoint namedAt; // last seen in an answer or a notice
        base::TimePoint refreshedAt; // changed, or reported again because it still holds
        base::TimePoint lastRequestAt; // when the last request of this router was due, or the start of the limit
        base::Duration interval{}; // between requests of this router; zero: it sends none
        bool isReported = false;
    };
    using Limits = std::unordered_map<std::uint64_t, Limit>;

    [[nodiscard]] const Limit *find(const UpstreamKey &upstream) const;
    // Returns the limit of this incarnation, which is new if a former one or none was known.
    Limit &findOrAdd(const UpstreamKey &upstream);
    void set(std::uint64_t idHash, Limit &limit, std::uint32_t generation, std::uint32_t milliPerSecond, base::TimePoint now);
    static void refresh(Limit &limit, base::TimePoint now);
    [[nodiscard]] base::Duration intervalOf(std::uint64_t idHash, std::uint32_t milliPerSecond) const;
    [[nodiscard]] static UpstreamLimit noticeOf(std::uint64_t idHash, const Limit &limit);

    Limits m_limits; // by hash of the upstream's id
    std::vector<base::Endpoint> m_fleet; // as set last, with m_count
    std::uint32_t m_count = 0;
    std::vector<std::uint64_t> m_others; // hashes of the other routers; empty if they are not all known
    std::uint64_t m_self = 0; // hash of this router
    std::uint32_t m_routers = 1;
};

} // namespace carawaylatch::proxy
