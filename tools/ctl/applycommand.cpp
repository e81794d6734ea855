// apply: submits an edit to the platform and waits for the result.
//
// The edit carries an id, so that ConfigStore can find out by reading back whether an edit
// whose response was lost has been accepted. With --wait-seconds the command also polls
// the router until it and all its live peers have the revision in force.
#include <nlohmann/json.hpp>

#include <chrono>
#include <ostream>
#include <thread>

#include "tools/ctl/command.h"
#include "tools/ctl/rowdiff.h"
#include "tools/ctl/tablefiles.h"

namespace carawaylatch::ctl
{

namespace
{

constexpr base::Duration PollInterval = base::milliseconds{100};

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<base::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// The number of routers that have a revision in force, among a router and its live peers.
struct RolloutStatus
{
    std::size_t inForce = 0;
    std::size_t routers = 0;
};

base::Result<RolloutStatus> readRolloutStatus(RouterClient &router, base::Revision revision)
{
    BOOST_OUTCOME_TRY(text, router.status());
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("router") || !json.contains("peers")) {
        return base::fail(base::ErrorKind::Internal, "the router's status can't be read; use tools and routers of the same version");
    }
    RolloutStatus rollout;
    const auto count = [&](const nlohmann::json &row) {
        ++rollout.routers;
        rollout.inForce += row.value("revision", std::uint64_t{0}) >= revision.value ? 1 : 0;
    };
    count(json["router"]);
    for (const auto &it : json["peers"]) {
        if (it.value("state", "") == "live") {
            count(it);
        }
    }
    return rollout;
}

base::Result<RolloutStatus> waitForRouters(CommandContext &context, base::Revision revision)
{
    const base::SteadyClock clock;
    const auto end = clock.now() + context.options.wait;
    for (;;) {
        BOOST_OUTCOME_TRY(rollout, readRolloutStatus(context.router, revision));
        if (rollout.inForce == rollout.routers) {
            return rollout;
        }
        if (clock.now() >= end) {
            return base::fail(base::ErrorKind::Overloaded, "accepted as revision " + std::to_string(revision.value) + ", in force at "
                                                               + std::to_string(rollout.inForce) + " of " + std::to_string(rollout.routers)
                                                               + " routers when the wait ended; 'status' shows which lag");
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

void printResult(CommandContext &context, const config::RowSet &before, const config::Edit &edit, const config::CommitResult &accepted,
                 const RolloutStatus &rollout)
{
    const bool isDryRun = context.options.applyMode == ApplyMode::DryRun;
    if (context.options.output == OutputFormat::Json) {
        const nlohmann::ordered_json json{{"accepted", !isDryRun},
                                          {"revision", accepted.revision.value},
                                          {"changed_rows", accepted.changedRows},
                                          {"changes", changesJson(before, edit.changes)}};
        context.out << json.dump(2) << '\n';
        return;
    }
    context.out << renderChanges(before, edit.changes);
    if (accepted.changedRows == 0) {
        context.out << "nothing to change; revision " << accepted.revision.value << " already matches\n";
    } else if (isDryRun) {
        context.out << "dry run: valid, " << accepted.changedRows << " rows would change; nothing was written\n";
    } else {
        context.out << "accepted as revision " << accepted.revision.value << ", " << accepted.changedRows << " rows changed\n";
    }
    if (rollout.routers > 0) {
        context.out << "in force at " << rollout.inForce << " of " << rollout.routers << " routers\n";
    }
}

base::Result<void> runApply(CommandContext &context)
{
    if (context.operands.empty() && context.options.removals.empty()) {
        return base::fail(base::ErrorKind::InvalidArgument, "nothing to apply; name a file or use --remove");
    }
    config::ConfigStore store(context.objects);
    BOOST_OUTCOME_TRY(stored, store.load());
    BOOST_OUTCOME_TRY(changes, changesFor(context, stored.rows));
    base::Random random(context.options.editSeed);
    config::Edit edit;
    edit.id = config::randomEditId(random);
    edit.author = context.options.author;
    edit.madeAt = wallMilliseconds();
    edit.changes = changes;
    const bool isDryRun = context.options.applyMode == ApplyMode::DryRun;
    BOOST_OUTCOME_TRY(accepted, isDryRun ? store.dryRun(edit) : store.apply(edit));
    const bool isNew = accepted.changedRows > 0 && !isDryRun;
    RolloutStatus rollout;
    if (isNew && context.options.wait > base::Duration{}) {
        BOOST_OUTCOME_TRY(reached, waitForRouters(context, accepted.revision));
        rollout = reached;
    }
    printResult(context, stored.rows, edit, accepted, rollout);
    return base::ok();
}

} // namespace

const Command &applyCommand()
{
    static const Command Instance{"apply", "FILE...", "apply the rows of files as one edit; --dry-run, --whole, --remove, --author, --wait-seconds",
                                  0,       MaxFiles,  runApply};
    return Instance;
}

} // namespace carawaylatch::ctl
