// The table of commands and the dispatch by name.
#include "tools/ctl/command.h"

#include <algorithm>
#include <array>

namespace carawaylatch::ctl
{

std::span<const Command *const> allCommands()
{
    static const std::array<const Command *, 13> Commands{
        &checkCommand(),  &applyCommand(),   &getCommand(),    &diffCommand(),   &historyCommand(),  &drainCommand(),  &undrainCommand(),
        &statusCommand(), &explainCommand(), &digestCommand(), &eventsCommand(), &settingsCommand(), &tablesCommand(),
    };
    return Commands;
}

base::Result<void> runCommand(CommandContext &context)
{
    if (context.operands.empty()) {
        return base::fail(base::ErrorKind::InvalidArgument, "no command; --help lists all commands");
    }
    const auto name = context.operands.front();
    const auto commands = allCommands();
    const auto it = std::find_if(commands.begin(), commands.end(), [&](const Command *command) {
        return command->name == name;
    });
    if (it == commands.end()) {
        return base::fail(base::ErrorKind::InvalidArgument, "unknown command '" + name + "'; --help lists all commands");
    }
    context.operands.erase(context.operands.begin());
    if (context.operands.size() < (*it)->minOperands || context.operands.size() > (*it)->maxOperands) {
        return base::fail(base::ErrorKind::InvalidArgument, "write: carawaylatchctl " + name + " " + std::string((*it)->operands));
    }
    return (*it)->run(context);
}

} // namespace carawaylatch::ctl
