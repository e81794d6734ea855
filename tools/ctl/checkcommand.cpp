// check: reads files and says whether they form valid tables, without the platform.
#include <nlohmann/json.hpp>

#include <ostream>

#include "tools/ctl/command.h"
#include "tools/ctl/tablefiles.h"

namespace carawaylatch::ctl
{

namespace
{

class CheckCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "check";
    }
    std::string_view words() const override
    {
        return "FILE...";
    }
    std::string_view help() const override
    {
        return "check tables without the platform";
    }
    std::size_t minWords() const override
    {
        return 1;
    }
    std::size_t maxWords() const override
    {
        return MaxFiles;
    }

    base::Result<void> run(CommandContext &context) const override
    {
        BOOST_OUTCOME_TRY(rows, readTableFiles(context.words));
        BOOST_OUTCOME_TRY(tables, config::toTables(rows, context.words.size() == 1 ? context.words.front() : "tables"));
        if (context.options.output == OutputForm::Json) {
            const nlohmann::ordered_json json{
                {"valid", true}, {"customers", tables.customers.size()}, {"pools", tables.pools.size()}, {"routes", tables.routes.size()}};
            context.out << json.dump() << '\n';
        } else {
            context.out << "valid: " << tables.customers.size() << " customers, " << tables.pools.size() << " pools, " << tables.routes.size() << " routes\n";
        }
        return base::ok();
    }
};

} // namespace

const Command &checkCommand()
{
    static const CheckCommand Instance;
    return Instance;
}

} // namespace carawaylatch::ctl
