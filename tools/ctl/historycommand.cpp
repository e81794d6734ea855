// history: lists the accepted edits with author, time and changes, newest first.
#include <nlohmann/json.hpp>

#include <ctime>
#include <iomanip>
#include <ostream>
#include <sstream>

#include "carawaylatch/config/configstore.h"
#include "tools/ctl/command.h"

namespace carawaylatch::ctl
{

namespace
{

// Formats milliseconds since the Unix epoch as UTC, such as "2026-05-04 13:05:09".
std::string wallTimeText(std::int64_t madeAt)
{
    const auto time = static_cast<std::time_t>(madeAt / 1000);
    std::tm utc{};
    gmtime_r(&time, &utc);
    std::ostringstream out;
    out << std::put_time(&utc, "%Y-%m-%d %H:%M:%S");
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

base::Result<void> runHistory(CommandContext &context)
{
    config::ConfigStore store(context.objects);
    BOOST_OUTCOME_TRY(edits, store.history(context.options.historyLimit));
    if (context.options.output == OutputFormat::Json) {
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

} // namespace

const Command &historyCommand()
{
    static const Command Instance{"history", "", "list edits with author, time and changes, newest first; --limit", 0, 0, runHistory};
    return Instance;
}

} // namespace carawaylatch::ctl
