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
// them (faultreport.h, upstreamnotices.h).
//
// A state machine of the traffic thread without I/O. At most MaxReportedNotices upstreams.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/proxy/routershare.h"
#include "carawaylatch/proxy/upstreamnotices.h"

namespace carawaylatch::proxy
{

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
    bool apply(const UpstreamNotice &notice, base::TimePoint now);
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
    [[nodiscard]] std::vector<UpstreamNotice> takeChanges();
    [[nodiscard]] std::vector<UpstreamNotice> all() const;

private:
    // When this router sends requests to an upstream that has a limit.
    struct Pace
    {
        std::uint64_t startTimeMs = 0;
        base::TimePoint lastRequestAt; // when the last request of this router was due, or the start of the limit
        base::Duration interval{}; // between requests of this router; zero: it sends none
    };

    // Brings the pace in line with a limit that has changed; `hadLimit` tells whether there was one before.
    void setPace(const UpstreamKey &upstream, bool hadLimit, base::TimePoint now);
    [[nodiscard]] base::Duration intervalOf(std::uint64_t idHash, std::uint32_t milliPerSecond) const;

    UpstreamNotices m_limits{MaxAge, RefreshInterval}; // in thousandths of requests a second
    RouterShare m_routers;
    std::unordered_map<std::uint64_t, Pace> m_paces; // by hash of the upstream's id
};

} // namespace carawaylatch::proxy
