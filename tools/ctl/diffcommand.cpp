// diff: shows what applying files would change.
#include <nlohmann/json.hpp>

#include <ostream>

#include "tools/ctl/command.h"
#include "tools/ctl/rowdiff.h"
#include "tools/ctl/tablefiles.h"

namespace carawaylatch::ctl
{

namespace
{

base::Result<void> runDiff(CommandContext &context)
{
    config::ConfigStore store(context.objects);
    BOOST_OUTCOME_TRY(stored, store.load());
    BOOST_OUTCOME_TRY(changes, changesFor(context, stored.rows));
    if (context.options.output == OutputFormat::Json) {
        const nlohmann::ordered_json json{{"revision", stored.rows.revision.value}, {"changes", changesJson(stored.rows, changes)}};
        context.out << json.dump(2) << '\n';
        return base::ok();
    }
    context.out << renderChanges(stored.rows, changes) << changes.size() << " rows differ from revision " << stored.rows.revision.value << '\n';
    return base::ok();
}

} // namespace

const Command &diffCommand()
{
    static const Command Instance{"diff", "FILE...", "show what applying files would change", 1, MaxFiles, runDiff};
    return Instance;
}

} // namespace carawaylatch::ctl
