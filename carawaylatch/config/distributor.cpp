// Choice of the watchers, forwarding tree and repair of gaps.
//
// Routers of one failure domain are ranked by rendezvous weight for RankingKey,
// with the same result on every router that has the same member list. The first
// few watch the platform. The router of rank i forwards edits to ranks f*i+1 to
// f*i+f, a heap of fan-out f, so that an edit reaches n routers in log_f(n) steps
// with n - 1 messages. Routers with different member lists may forward an edit
// twice or skip a router. A duplicate is dropped by its revision; a missing edit is
// detected by the next heartbeat from any router of any domain and requested from
// it. The tree therefore needs no repair protocol of its own, and a domain that
// can't reach the platform gets its edits through heartbeats between domains.
#include "carawaylatch/config/distributor.h"

#include <algorithm>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::config
{

namespace
{

constexpr std::string_view RankingKey = "configuration";

struct Ranked
{
    std::uint64_t weight = 0;
    const base::RouterId *id = nullptr;
};

} // namespace

Distributor::Distributor(DistributorOptions options)
    : m_options(std::move(options))
    , m_rows(std::make_shared<const RowSet>())
{
}

void Distributor::onMembers(std::span<const DistributionPeer> members)
{
    const auto key = base::hash64(m_options.domain.value(), base::hash64(RankingKey));
    std::vector<Ranked> ranked;
    for (const auto &it : members) {
        if (it.domain == m_options.domain) {
            ranked.push_back({base::rendezvousWeight(key, it.id.value()), &it.id});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &first, const Ranked &second) {
        return first.weight != second.weight ? first.weight > second.weight : *first.id < *second.id;
    });
    const auto selfRank = static_cast<std::size_t>(std::find_if(ranked.begin(), ranked.end(),
                                                                [this](const Ranked &it) {
                                                                    return *it.id == m_options.self;
                                                                })
                                                   - ranked.begin());
    m_children.clear();
    const auto first = selfRank * m_options.fanOut + 1;
    for (auto i = first; i < first + m_options.fanOut && i < ranked.size(); ++i) {
        m_children.push_back(*ranked[i].id);
    }
    const bool isWatcher = selfRank < ranked.size() && selfRank < m_options.watchers;
    if (isWatcher != m_isWatcher) {
        m_isWatcher = isWatcher;
        m_actions.push_back(isWatcher ? DistributorAction(StartWatch{}) : DistributorAction(StopWatch{}));
    }
}

void Distributor::onStoredConfig(const Head &head, const RowSet &rows)
{
    const auto before = revision();
    if (rows.revision <= before) {
        return;
    }
    if (!applyNextEdits(head.edits)) {
        (void)replaceRows(std::make_shared<const RowSet>(rows));
        m_edits.assign(head.edits.begin(), head.edits.end());
    }
    publish();
    forwardToChildren(before, nullptr);
}

void Distributor::onUpdate(const base::RouterId &from, const ConfigUpdate &update, base::TimePoint now)
{
    const auto before = revision();
    const bool isApplied = update.snapshot != nullptr ? replaceRows(update.snapshot) : applyNextEdits(update.edits);
    if (isApplied) {
        publish();
        forwardToChildren(before, &from);
    } else if (update.snapshot == nullptr && !update.edits.empty()) {
        onPeerRevision(from, update.edits.back().revision, now);
    }
}

void Distributor::onRequest(const base::RouterId &from, const ConfigRequest &request)
{
    if (auto update = updateAfter(request.after)) {
        m_actions.emplace_back(SendUpdate{from, std::move(*update)});
    }
}

void Distributor::onPeerRevision(const base::RouterId &peer, base::Revision revision, base::TimePoint now)
{
    if (revision <= this->revision()) {
        return;
    }
    const bool isRequested = m_requestedRevision >= revision && now < m_requestedAt + m_options.requestInterval;
    if (!isRequested) {
        m_requestedRevision = revision;
        m_requestedAt = now;
        m_actions.emplace_back(SendRequest{peer, {this->revision()}});
    }
}

std::vector<DistributorAction> Distributor::takeActions()
{
    return std::exchange(m_actions, {});
}

base::Revision Distributor::revision() const
{
    return m_rows->revision;
}

std::shared_ptr<const RowSet> Distributor::rows() const
{
    return m_rows;
}

bool Distributor::isWatcher() const
{
    return m_isWatcher;
}

std::span<const base::RouterId> Distributor::children() const
{
    return m_children;
}

// Applies the edits that follow the present revision; returns false if there are none.
bool Distributor::applyNextEdits(std::span<const Edit> edits)
{
    const auto next = std::find_if(edits.begin(), edits.end(), [this](const Edit &it) {
        return it.revision.value == revision().value + 1;
    });
    if (next == edits.end()) {
        return false;
    }
    auto rows = std::make_shared<RowSet>(*m_rows);
    for (auto it = next; it != edits.end() && it->revision.value == rows->revision.value + 1; ++it) {
        applyEdit(*rows, *it);
        m_edits.push_back(*it);
    }
    while (m_edits.size() > m_options.maxEdits) {
        m_edits.pop_front();
    }
    m_rows = std::move(rows);
    return true;
}

bool Distributor::replaceRows(std::shared_ptr<const RowSet> rows)
{
    if (rows->revision <= revision()) {
        return false;
    }
    m_rows = std::move(rows);
    m_edits.clear();
    return true;
}

void Distributor::publish()
{
    auto tables = toTables(*m_rows);
    ConfigInForce inForce{revision(), m_rows, nullptr, {}};
    if (tables) {
        m_tables = std::make_shared<const Tables>(std::move(tables.value()));
        inForce.tables = m_tables;
    } else {
        inForce.problem = tables.error().message;
    }
    m_actions.emplace_back(std::move(inForce));
}

// Forwards the edits newer than `after`, except to `from`. Full snapshots are sent on
// request only.
void Distributor::forwardToChildren(base::Revision after, const base::RouterId *from)
{
    const auto update = updateAfter(after);
    if (!update || update->snapshot != nullptr) {
        return;
    }
    for (const auto &it : m_children) {
        if (from == nullptr || it != *from) {
            m_actions.emplace_back(SendUpdate{it, *update});
        }
    }
}

std::optional<ConfigUpdate> Distributor::updateAfter(base::Revision revision) const
{
    if (revision >= this->revision()) {
        return {};
    }
    if (m_edits.empty() || m_edits.front().revision.value > revision.value + 1) {
        return ConfigUpdate{{}, m_rows};
    }
    const auto skip = revision.value + 1 - m_edits.front().revision.value;
    return ConfigUpdate{{m_edits.begin() + static_cast<std::ptrdiff_t>(skip), m_edits.end()}, nullptr};
}

} // namespace carawaylatch::config
