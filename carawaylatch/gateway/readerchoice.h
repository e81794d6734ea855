// Which routers of a failure domain watch the store, and from which of them this router
// learns of changes.
//
// The readers are the first few routers of the domain in rendezvous order, so that the
// routers agree without talking. A reader that fails is passed over for a while. Routers
// behind the first ones are polled only while all of the first ones have failed: otherwise
// they don't know of the failure, are no readers themselves, and fail in turn. A router
// polls only routers before it in the order. A state machine without I/O.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/objectclient.h"

namespace carawaylatch::gateway
{

struct ReaderSettings
{
    std::size_t perDomain = 2; // zero: every router watches the store itself
    base::Duration minBackoff = base::seconds{2}; // of a reader that failed; doubles up to maxBackoff
    base::Duration maxBackoff = base::seconds{30};
};

// Why a reader is not polled for a while.
enum class ReaderFailure {
    Unreachable, // no connection, no answer in time, or it is stopping; the time doubles with each failure
    // It answers, but not with what is needed. It can serve again at any moment, and a poll that fails costs one call to
    // the store at most, so the time does not grow.
    NotServing,
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
    // True if this router is among the first of its domain, whether these work or not, or learns
    // from no reader. False until the routers are known.
    [[nodiscard]] bool isAmongFirst() const;
    void onFailed(const base::Endpoint &reader, base::TimePoint now, ReaderFailure failure = ReaderFailure::Unreachable, ObjectKind kind = ObjectKind::Tables);
    // The router has said that it is no reader.
    void onNotReader(const base::Endpoint &router, base::TimePoint now, ObjectKind kind);
    // The reader does not know the changes since the revision that this router knows; the next poll names one that this
    // router then has from the store. The reader counts as failed if it does not know that one either.
    void onBehind(const base::Endpoint &reader, base::TimePoint now, ObjectKind kind);
    void onAnswered(const base::Endpoint &reader, ObjectKind kind = ObjectKind::Tables);
    // The store answers this router again after an outage, so readers that did not serve are tried at once.
    void onStoreRegained();

private:
    struct Failure
    {
        base::TimePoint since;
        base::TimePoint until;
        base::Duration backoff{};
        bool isUnreachable = false;
        ObjectKind kind = ObjectKind::Tables; // whose poll failed first
    };
    // Position in the order; the number of routers if it is not among them.
    [[nodiscard]] std::size_t rankOf(const base::Endpoint &router) const;
    [[nodiscard]] const Failure *failureOf(const base::Endpoint &router, base::TimePoint now) const;

    const base::Endpoint m_self;
    const ReaderSettings m_settings;
    std::vector<base::Endpoint> m_order; // of all routers of the domain, the first readers first
    bool m_hasRouters = false;
    std::map<base::Endpoint, Failure> m_failures; // since the last answer; only of routers in m_order
    std::map<ObjectKind, base::Endpoint> m_behind; // reader whose last answer for the kind was that it does not know the changes
};

} // namespace carawaylatch::gateway
