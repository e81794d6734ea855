// Which routers of a failure domain watch the store, and from which of them this router
// learns of changes.
//
// The readers are the first few routers of the domain in rendezvous order, so that the
// routers agree without talking. A reader that fails is passed over for a while, longer
// each time, and the next router in the order counts as a reader meanwhile. A state machine
// without I/O.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::gateway
{

struct ReaderSettings
{
    std::size_t perDomain = 2; // zero: every router watches the store itself
    base::Duration minBackoff = base::seconds{2}; // of a reader that failed; doubles up to maxBackoff
    base::Duration maxBackoff = base::seconds{30};
};

class ReaderChoice
{
public:
    // `self` is the endpoint at which this router passes on changes; port zero: it neither
    // does so nor learns from others.
    ReaderChoice(base::Endpoint self, ReaderSettings settings);

    // Sets the routers of this router's failure domain by their endpoints; they may include
    // this one and routers that have stopped.
    void setRouters(std::span<const base::Endpoint> routers);
    // The reader to ask now, or nothing if this router is to watch the store itself.
    [[nodiscard]] std::optional<base::Endpoint> reader(base::TimePoint now) const;
    void onFailed(const base::Endpoint &reader, base::TimePoint now);
    void onAnswered(const base::Endpoint &reader);

private:
    struct Failure
    {
        base::TimePoint until;
        base::Duration backoff{};
    };
    const base::Endpoint m_self;
    const ReaderSettings m_settings;
    std::vector<base::Endpoint> m_order; // of all routers of the domain, the first readers first
    std::map<base::Endpoint, Failure> m_failures; // since the last answer
};

} // namespace carawaylatch::gateway
