// Executes a commit step by step against an in-memory store, with injected faults.
#pragma once

#include <optional>

#include "carawaylatch/config/editcommit.h"
#include "carawaylatch/config/tablefile.h"
#include "carawaylatch/store/faultystore.h"
#include "carawaylatch/store/memorystore.h"

namespace carawaylatch::config::testing
{

// An in-memory platform with fault injection for each call.
struct FaultyPlatform
{
    store::MemoryStore memory;
    store::FaultyStore faulty{memory};

    // Executes the next step of a commit with a fault.
    void executeStep(EditCommit &commit, store::StoreFault fault)
    {
        const StoreRequest request = *commit.request();
        faulty.inject(fault, fault == store::StoreFault::None ? 0 : 1);
        if (request.kind == StoreRequest::Kind::Read) {
            commit.onRead(faulty.read(request.name));
        } else if (request.kind == StoreRequest::Kind::Write) {
            commit.onWritten(faulty.write(request.name, request.value, request.expected));
        } else {
            const auto removed = faulty.remove(request.name, request.expected);
            commit.onWritten(removed ? base::Result<store::Version>(store::Version{}) : base::Result<store::Version>(removed.error()));
        }
        faulty.inject(store::StoreFault::None, 0);
    }

    // Executes all remaining steps without faults.
    void executeAll(EditCommit &commit)
    {
        while (commit.request() != nullptr) {
            executeStep(commit, store::StoreFault::None);
        }
    }
};

// Returns an edit of one pool; a different weights version makes the edits distinguishable.
inline Edit poolEdit(std::uint64_t id, const std::string &pool, std::uint64_t weights, std::optional<base::Revision> expected = {})
{
    Row row{{"pool", pool}, {}, {{"model", "m", 0}, {"weights_version", std::to_string(weights), 0}}, 0};
    return {{id}, "alice", 1, {}, {{RowChange::Kind::Put, std::move(row), expected}}};
}

} // namespace carawaylatch::config::testing
