// Executes commits against an object store.
//
// After a failed operation or a conflict it waits with exponential backoff up to
// MaxPause, so that concurrent operators don't keep conflicting and a platform
// outage doesn't cause a retry storm.
#include "carawaylatch/config/configstore.h"

#include <algorithm>
#include <thread>

namespace carawaylatch::config
{

using base::ErrorKind;
using base::Result;

namespace
{

constexpr base::Duration MinPause = base::milliseconds{5};
constexpr base::Duration MaxPause = base::milliseconds{200};
constexpr int MaxSnapshotReads = 8;

void sleepFor(base::Duration duration)
{
    std::this_thread::sleep_for(duration);
}

} // namespace

std::vector<RowChange> changesBetween(const RowSet &current, const RowSet &wanted, FileScope scope)
{
    std::vector<RowChange> changes;
    for (const auto &it : wanted.rows) {
        const auto *row = current.find(it.key);
        if (row == nullptr || row->fields != it.fields) {
            changes.push_back({RowChange::Kind::Put, it, it.revision.value == 0 ? std::optional<base::Revision>{} : it.revision});
        }
    }
    for (const auto &it : current.rows) {
        if (scope == FileScope::AllRows && wanted.find(it.key) == nullptr) {
            changes.push_back({RowChange::Kind::Remove, Row{it.key, {}, {}, 0}, it.revision});
        }
    }
    return changes;
}

EditId randomEditId(base::Random &random)
{
    const auto id = random.next();
    return {id == 0 ? 1 : id};
}

ConfigStore::ConfigStore(store::ObjectStore &objects, CommitOptions options, Pause pause)
    : m_objects(objects)
    , m_options(options)
    , m_pause(pause ? std::move(pause) : Pause(sleepFor))
{
}

Result<CommitResult> ConfigStore::apply(Edit edit)
{
    return run(std::move(edit), m_options);
}

Result<CommitResult> ConfigStore::dryRun(Edit edit)
{
    auto options = m_options;
    options.dryRun = DryRun::On;
    return run(std::move(edit), options);
}

Result<CommitResult> ConfigStore::run(Edit edit, CommitOptions options)
{
    EditCommit commit(std::move(edit), options);
    execute(commit);
    return commit.outcome();
}

void ConfigStore::execute(EditCommit &commit)
{
    auto pause = MinPause;
    while (const auto *next = commit.request()) {
        const StoreRequest request = *next;
        bool isDone = false;
        if (request.kind == StoreRequest::Kind::Read) {
            const auto result = m_objects.read(request.name);
            isDone = result || result.error().kind == ErrorKind::NotFound;
            commit.onRead(result);
        } else if (request.kind == StoreRequest::Kind::Write) {
            const auto result = m_objects.write(request.name, request.value, request.expected);
            isDone = result.has_value();
            commit.onWritten(result);
        } else {
            const auto result = m_objects.remove(request.name, request.expected);
            isDone = true;
            commit.onWritten(result ? Result<store::Version>(store::Version{}) : Result<store::Version>(result.error()));
        }
        if (!isDone && commit.request() != nullptr) {
            m_pause(pause);
            pause = std::min(pause * 2, MaxPause);
        }
    }
}

Result<RowSet> ConfigStore::readSnapshot(const std::string &name)
{
    if (name != m_snapshotName) {
        BOOST_OUTCOME_TRY(object, m_objects.read(name));
        BOOST_OUTCOME_TRY(rows, parseSnapshot(object.value));
        m_snapshot = std::move(rows);
        m_snapshotName = name;
    }
    return m_snapshot;
}

Result<StoredConfig> ConfigStore::load()
{
    base::Error last;
    for (int i = 0; i < MaxSnapshotReads; ++i) {
        const auto object = m_objects.read(HeadName);
        if (!object && object.error().kind == ErrorKind::NotFound) {
            return StoredConfig{};
        }
        if (!object) {
            return object.error();
        }
        BOOST_OUTCOME_TRY(head, parseHead(object.value().value));
        Result<RowSet> snapshot = head.snapshotName.empty() ? Result<RowSet>(RowSet{}) : readSnapshot(head.snapshotName);
        if (snapshot) {
            auto rows = materialize(std::move(snapshot.value()), head);
            return StoredConfig{std::move(head), object.value().version, std::move(rows)};
        }
        last = snapshot.error();
        if (last.kind != ErrorKind::NotFound) {
            break;
        }
    }
    return last;
}

Result<std::vector<Edit>> ConfigStore::history(std::size_t limit)
{
    BOOST_OUTCOME_TRY(stored, load());
    std::vector<Edit> edits(stored.head.edits.rbegin(), stored.head.edits.rend());
    for (auto it = stored.head.history.rbegin(); it != stored.head.history.rend() && edits.size() < limit; ++it) {
        const auto object = m_objects.read(historyName(*it));
        if (!object && object.error().kind == ErrorKind::NotFound) {
            break;
        }
        if (!object) {
            return object.error();
        }
        BOOST_OUTCOME_TRY(segment, parseEdits(object.value().value));
        edits.insert(edits.end(), segment.rbegin(), segment.rend());
    }
    edits.resize(std::min(limit, edits.size()));
    return edits;
}

} // namespace carawaylatch::config
