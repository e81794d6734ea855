// check: checks whether files form valid tables, without the platform.
#include <nlohmann/json.hpp>

#include <ostream>

#include "tools/ctl/command.h"
#include "tools/ctl/tablefiles.h"

namespace carawaylatch::ctl
{

namespace
{

base::Result<void> runCheck(CommandContext &context)
{
    BOOST_OUTCOME_TRY(rows, readTableFiles(context.operands));
    BOOST_OUTCOME_TRY(tables, config::toTables(rows, context.operands.size() == 1 ? context.operands.front() : "tables"));
    if (context.options.output == OutputFormat::Json) {
        const nlohmann::ordered_json json{
            {"valid", true}, {"customers", tables.customers.size()}, {"pools", tables.pools.size()}, {"routes", tables.routes.size()}};
        context.out << json.dump() << '\n';
    } else {
        context.out << "valid: " << tables.customers.size() << " customers, " << tables.pools.size() << " pools, " << tables.routes.size() << " routes\n";
    }
    return base::ok();
}

} // namespace

const Command &checkCommand()
{
    static const Command Instance{"check", "FILE...", "check tables without the platform", 1, MaxFiles, runCheck};
    return Instance;
}

} // namespace carawaylatch::ctl
