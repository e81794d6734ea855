// get: prints the configuration that the platform holds.
#include <nlohmann/json.hpp>

#include <ostream>

#include "tools/ctl/command.h"
#include "tools/ctl/rowdiff.h"

namespace carawaylatch::ctl
{

namespace
{

class GetCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "get";
    }
    std::string_view words() const override
    {
        return "";
    }
    std::string_view help() const override
    {
        return "print the accepted tables, ready to be edited and applied";
    }
    std::size_t minWords() const override
    {
        return 0;
    }
    std::size_t maxWords() const override
    {
        return 0;
    }

    base::Result<void> run(CommandContext &context) const override
    {
        config::HeadStore store(context.objects);
        BOOST_OUTCOME_TRY(stored, store.load());
        if (context.options.output == OutputForm::Text) {
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
};

} // namespace

const Command &getCommand()
{
    static const GetCommand Instance;
    return Instance;
}

} // namespace carawaylatch::ctl
