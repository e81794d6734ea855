// get: prints the accepted configuration from the platform.
#include <nlohmann/json.hpp>

#include <ostream>

#include "tools/ctl/command.h"
#include "tools/ctl/rowdiff.h"

namespace carawaylatch::ctl
{

namespace
{

base::Result<void> runGet(CommandContext &context)
{
    config::ConfigStore store(context.objects);
    BOOST_OUTCOME_TRY(stored, store.load());
    if (context.options.output == OutputFormat::Text) {
        context.out << "; revision " << stored.rows.revision.value << "\n" << config::formatRows(stored.rows);
        return base::ok();
    }
    auto rows = nlohmann::ordered_json::array();
    for (const auto &it : stored.rows.rows) {
        rows.push_back(rowJson(it));
    }
    context.out << nlohmann::ordered_json{{"revision", stored.rows.revision.value}, {"rows", rows}}.dump(2) << '\n';
    return base::ok();
}

} // namespace

const Command &getCommand()
{
    static const Command Instance{"get", "", "print the accepted tables, ready to be edited and applied", 0, 0, runGet};
    return Instance;
}

} // namespace carawaylatch::ctl
