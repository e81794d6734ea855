// history: who changed what and when, newest first.
#include <nlohmann/json.hpp>

#include <ctime>
#include <iomanip>
#include <ostream>
#include <sstream>

#include "carawaylatch/config/headstore.h"
#include "tools/ctl/command.h"

namespace carawaylatch::ctl
{

namespace
{

// Returns milliseconds since 1970 as UTC, such as "2026-05-04 13:05:09".
std::string wallTimeText(std::int64_t madeAt)
{
    const auto time = static_cast<std::time_t>(madeAt / 1000);
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%d %H:%M:%S");
    return out.str();
}

std::string changeText(const config::RowChange &change)
{
    return (change.kind == config::RowChange::Kind::Put ? "put " : "remove ") + config::rowLabel(change.row.key);
}

nlohmann::ordered_json editJson(const config::Edit &edit)
{
    auto changes = nlohmann::ordered_json::array();
    for (const auto &it : edit.changes) {
        changes.push_back(changeText(it));
    }
    return {{"revision", edit.revision.value}, {"author", edit.author}, {"made_at", wallTimeText(edit.madeAt)}, {"changes", std::move(changes)}};
}

class HistoryCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "history";
    }
    std::string_view words() const override
    {
        return "";
    }
    std::string_view help() const override
    {
        return "who changed what and when, newest first; --limit";
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
        BOOST_OUTCOME_TRY(edits, store.history(context.options.historyLimit));
        if (context.options.output == OutputForm::Json) {
            auto array = nlohmann::ordered_json::array();
            for (const auto &it : edits) {
                array.push_back(editJson(it));
            }
            context.out << array.dump(2) << '\n';
            return base::ok();
        }
        for (const auto &edit : edits) {
            context.out << "revision " << edit.revision.value << "  " << wallTimeText(edit.madeAt) << " UTC  " << edit.author << '\n';
            for (const auto &it : edit.changes) {
                context.out << "  " << changeText(it) << '\n';
            }
        }
        return base::ok();
    }
};

} // namespace

const Command &historyCommand()
{
    static const HistoryCommand Instance;
    return Instance;
}

} // namespace carawaylatch::ctl
